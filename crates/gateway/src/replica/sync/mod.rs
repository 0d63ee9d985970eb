//! Pulls from other replicas the entries and the parts of the view that this replica is missing: after a loss of its
//! disk, before it joins the set, and after each change of the set. `foxnotch_turns::replica_set` decides whether the
//! pulls were sufficient.

mod stored_parts;

pub(super) use stored_parts::{stored_view_from_answer, MAX_CONTENT_SILENCE};

use crate::logging::part;
use crate::peers::addresses::replica_socket_address;
use crate::peers::rpc_client::{AnswerTimeout, RpcClient, RpcError};
use crate::peers::view::Origin;
use crate::replica::service::ReplicaService;
use foxnotch_turns::replica_set::{self, PulledReplica};
use foxnotch_wire::{FetchEntries, ListMarks, Marks, NodeId, ReplicaMember, ReplicaSet, RpcBody, TurnId};
use futures_util::future::join_all;
use std::sync::Arc;
use std::time::Duration;

/// Time without any received byte after which a pull of marks is aborted.
const MAX_LIST_SILENCE: Duration = Duration::from_millis(1500);
/// Time without any received byte of the answer after which a pull of entries is aborted.
const MAX_PAGE_SILENCE: Duration = Duration::from_secs(2);
/// Maximum number of turns in one request for entries: 32 KB of identifiers.
const MAX_TURNS_PER_REQUEST: usize = 2000;

/// Number of lists of marks that are requested at the same time. A list has every turn of a replica, so all lists
/// together may need as much memory as the turns.
const CONCURRENT_LISTS: usize = 2;

/// Another replica, with its marks: summaries of the turns that it has stored.
struct ListedReplica {
    member: ReplicaMember,
    marks: Marks,
}

/// Pulls missing entries and newer parts of the stored view from all other members of the set and of its previous
/// version. Returns the members from which everything was pulled.
///
/// A few of these members list their marks at a time; the missing entries are fetched from one member after another,
/// the members in this replica's zone first. Each entry is thus fetched once, mostly from a replica in the same zone.
pub async fn pull_from_members(
    replica: &Arc<ReplicaService>,
    client: &Arc<RpcClient>,
    set: &ReplicaSet,
    own: &ReplicaMember,
) -> Vec<PulledReplica> {
    let mut others: Vec<ReplicaMember> = set.members.clone();
    others.extend(set.previous.iter().filter(|member| !replica_set::contains(set, member.node)));
    others.retain(|member| member.node != replica.own_node());
    others.sort_by_key(|member| member.zone != own.zone);
    let mut pulled = Vec::new();
    for members in others.chunks(CONCURRENT_LISTS) {
        let lists = members.iter().map(|member| list_marks(replica, client, set, *member));
        for listed in join_all(lists).await.into_iter().flatten() {
            pulled.extend(pull_missing_entries_and_parts(replica, client, listed).await);
        }
    }
    pulled
}

/// Returns the answer of another replica. Logs a failed call and returns none; the set manager repeats the pull later.
fn answer_or_log(answer: Result<RpcBody, RpcError>, node: NodeId, request: &str) -> Option<RpcBody> {
    match answer {
        Ok(body) => Some(body),
        Err(error) => {
            log::info!(
                target: part::REPLICA,
                "Could not pull turns from node {node}; this replica tries again later: wanted={request}: {error}. \
                 `wanted` is `marks` for the list of the turns that the node stores, `entries` for the turns \
                 themselves.",
            );
            None
        }
    }
}

async fn list_marks(
    replica: &Arc<ReplicaService>,
    client: &Arc<RpcClient>,
    set: &ReplicaSet,
    member: ReplicaMember,
) -> Option<ListedReplica> {
    let request = ListMarks { own: replica.state().disk_identity(), set: set.clone() };
    let timeout = AnswerTimeout::with_max_silence(replica.answer_timeout(member.node, MAX_LIST_SILENCE));
    let answer = client.call_with_timeout(replica_socket_address(&member), RpcBody::ListMarks(request), timeout).await;
    let RpcBody::Marks(marks) = answer_or_log(answer, member.node, "marks")? else { return None };
    replica.state().record_peer_disk(marks.report.own).await;
    replica.adopt_set(&marks.set, Origin::Peer).await;
    Some(ListedReplica { member, marks })
}

/// Pulls the entries that this replica is missing and the listed replica has stored, and the parts of the view of which
/// the listed replica stores a newer version. Returns none if the other replica does not answer as expected, or if what
/// it sent cannot be stored; failed calls and writes are logged.
async fn pull_missing_entries_and_parts(
    replica: &Arc<ReplicaService>,
    client: &Arc<RpcClient>,
    listed: ListedReplica,
) -> Option<PulledReplica> {
    let ListedReplica { member, marks } = listed;
    let mut turns_to_fetch = replica.turns().turns_to_pull(&marks);
    let count = turns_to_fetch.len();
    while !turns_to_fetch.is_empty() {
        let page: Vec<TurnId> = turns_to_fetch.iter().take(MAX_TURNS_PER_REQUEST).copied().collect();
        let request = RpcBody::FetchEntries(FetchEntries { zone: replica.turns().zone(), turns: page.clone() });
        let timeout = AnswerTimeout::with_max_silence(MAX_PAGE_SILENCE);
        let answer = client.call_with_timeout(replica_socket_address(&member), request, timeout).await;
        let RpcBody::Entries(entries) = answer_or_log(answer, member.node, "entries")? else { return None };
        let fetched: Vec<TurnId> = entries.entries.iter().map(|entry| entry.turn).collect();
        if !fetched.is_empty() && replica.turns().store(entries.entries).await.is_err() {
            // The disk writer has logged the error.
            return None;
        }
        // Turns that were requested before the last returned one but are missing from the answer have expired at the
        // other replica. If the answer is empty, all requested turns have. Turns after the last returned one may not
        // have fitted into the answer and are requested again.
        let last = fetched.last().and_then(|last| page.iter().position(|turn| turn == last));
        turns_to_fetch.drain(..last.map_or(page.len(), |index| index + 1));
    }
    // A replica counts as pulled only if its stored view was pulled too: a refilled disk must hold the newest parts.
    stored_parts::pull_stored_view(replica, client, &member).await?;
    let complete = marks.complete == 1;
    log::info!(
        target: part::REPLICA,
        "Pulled the turn entries that this replica was missing from node {} (`complete` is false if that node is \
         being refilled itself, `set` is its version of the replica set): entries={count} complete={complete} set={}.",
        member.node,
        marks.set.version,
    );
    let known_replicas = marks.report.others.iter().map(|disk| disk.node).collect();
    Some(PulledReplica { node: member.node, complete, synced: marks.synced, known_replicas })
}
