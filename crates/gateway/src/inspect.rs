//! Operators' commands that query a running gateway or replica (`foxnotch members`, `view`, `replicas`). They send
//! requests to the port at which the process answers other nodes, and format the answers as text. They change nothing.

use crate::peers::addresses::member_socket_address;
use crate::peers::addresses::replica_socket_address;
use crate::peers::rpc_client::{RpcClient, RpcError};
use crate::peers::view::UnconfirmedConfiguration;
use crate::peers::view_codec::decode_view_part;
use foxnotch_scheduler::zone_drain::ZoneDrains;
use foxnotch_turns::replica_set;
use foxnotch_wire::{NodeId, ReplicaMember, ReplicaSetUpdate, RpcBody, ViewUpdate};
use futures_util::future::join_all;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout of one request. It is short because an operator waits at the terminal.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The node number that these requests state as their sender. No node has this number.
const OPERATOR_NODE: NodeId = NodeId(0);

/// Why a node could not be queried, with the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InspectError {
    /// The node did not answer.
    #[error(transparent)]
    NoAnswer(#[from] RpcError),
    /// The node at this address sent an answer of another kind than requested.
    #[error(
        "the node at {0} answers something else; check that it runs this version and that this is its port for nodes"
    )]
    OtherAnswer(SocketAddr),
}

/// Returns the text that lists the members known to the node at `address`, one per line.
///
/// # Errors
/// [`InspectError`].
pub async fn fetch_members_report(address: SocketAddr) -> Result<String, InspectError> {
    let client = RpcClient::new(OPERATOR_NODE);
    let RpcBody::Members(list) = client.call(address, RpcBody::ShowMembers, ANSWER_TIMEOUT).await? else {
        return Err(InspectError::OtherAnswer(address));
    };
    let mut members = list.members;
    members.sort_by_key(|member| (member.address.caller_port == 0, member.zone, member.node));
    let mut text = String::from("node        role     zone  state    revision  address\n");
    for member in &members {
        let role = if member.address.caller_port == 0 { "replica" } else { "gateway" };
        let state = member.state.name();
        let address =
            member_socket_address(&member.address).map_or_else(|| "no IPv4".to_owned(), |address| address.to_string());
        // Writing into a text does not fail.
        let _ = writeln!(
            text,
            "{:<11} {role:<8} {:<5} {state:<8} {:<9} {address}",
            member.node.0, member.zone, member.config_revision,
        );
    }
    Ok(text)
}

/// Returns the text that describes the view of the gateway or replica at `address`, one line for each part: the
/// configuration and whether the platform's store has confirmed it, the engines, the drained zones, and the replica
/// set.
///
/// # Errors
/// [`InspectError`].
pub async fn fetch_view_report(address: SocketAddr) -> Result<String, InspectError> {
    let client = RpcClient::new(OPERATOR_NODE);
    let RpcBody::View(update) = client.call(address, RpcBody::ShowView, ANSWER_TIMEOUT).await? else {
        return Err(InspectError::OtherAnswer(address));
    };
    let status = match (update.configuration_revision, update.configuration_stored_at_ms) {
        (0, _) => "none known".to_owned(),
        (_, 0) => "in force".to_owned(),
        (_, at_ms) => {
            let age = UnconfirmedConfiguration { at_ms }.age().as_secs();
            format!(
                "kept on replicas' disks {age} s ago, not confirmed by the platform's store since; it denies nothing"
            )
        }
    };
    let (version, revision) = (update.configuration_version, update.configuration_revision);
    let drained = describe_drained_zones(&update);
    Ok(format!(
        "configuration: version={version} revision={revision}: {status}\n\
         engines: revision={}\n\
         drained zones: revision={}: {drained}\n\
         replica set: version={} members={}\n",
        update.engines_revision,
        update.zone_drains_revision,
        update.set.version,
        update.set.members.len(),
    ))
}

/// Returns the drained zones of a view as text for one line.
fn describe_drained_zones(update: &ViewUpdate) -> String {
    if update.zone_drains_revision == 0 {
        return "not known".to_owned();
    }
    let Some(drains) = decode_view_part::<ZoneDrains>(&update.zone_drains) else {
        return "cannot be read; check that the node runs this version".to_owned();
    };
    let zones: Vec<&str> = drains.zones().collect();
    if zones.is_empty() {
        "none".to_owned()
    } else {
        zones.join(", ")
    }
}

/// Returns the text that describes the replica set known to the node at `address`. Each replica of the set has a line
/// that says whether the replica is synced to the set.
///
/// # Errors
/// [`InspectError`] if the node at `address` does not answer. A replica that does not answer is reported in its line.
pub async fn fetch_replicas_report(address: SocketAddr) -> Result<String, InspectError> {
    let client = RpcClient::new(OPERATOR_NODE);
    let RpcBody::SetKnown(update) = client.call(address, RpcBody::ShowSet, ANSWER_TIMEOUT).await? else {
        return Err(InspectError::OtherAnswer(address));
    };
    let set = update.set;
    let requests = set.members.iter().map(|member| async {
        let answer = client.call(replica_socket_address(member), RpcBody::ShowSet, ANSWER_TIMEOUT).await;
        (*member, answer)
    });
    let mut text = format!("replica set version {}: {} replicas\n", set.version, set.members.len());
    let mut synced = Vec::new();
    for (member, answer) in join_all(requests).await {
        let status = describe_replica_status(&member, answer, set.version, &mut synced);
        // Writing into a text does not fail.
        let _ = writeln!(text, "{:<11} {:<21} {status}", member.node.0, replica_socket_address(&member));
    }
    let may_change = replica_set::has_synced_majority(&set, &synced);
    let verdict =
        if may_change { "the set may change" } else { "no majority is synced: start the replicas that do not answer" };
    // Writing into a text does not fail.
    let _ = writeln!(text, "synced: {} of {}; {verdict}", synced.len(), set.members.len());
    Ok(text)
}

/// Returns the status that a replica's answer shows, for the replica's line of the output. Adds the replica to `synced`
/// if it is synced to `version`.
fn describe_replica_status(
    member: &ReplicaMember,
    answer: Result<RpcBody, RpcError>,
    version: u64,
    synced: &mut Vec<NodeId>,
) -> String {
    match answer {
        Ok(RpcBody::SetKnown(ReplicaSetUpdate { set, synced: synced_to }))
            if set.version == version && synced_to == version =>
        {
            synced.push(member.node);
            "synced".to_owned()
        }
        Ok(RpcBody::SetKnown(ReplicaSetUpdate { set, synced: synced_to })) => {
            format!("goes by version {}, synced to {synced_to}", set.version)
        }
        Ok(_) => "answers something else".to_owned(),
        Err(error) => error.to_string(),
    }
}
