//! Reads and writes the set in the platform's store, and exchanges it with other replicas.
//!
//! The replica that changes the set writes the new version by compare-and-swap on the store and then sends it to all
//! replicas. A replica that does not receive the version reads it from the store.

use super::{ReplicaSetManager, StepError};
use crate::logging::part;
use crate::peers::addresses::{member_socket_address, replica_socket_address};
use crate::peers::view::Origin;
use crate::ports::store::{Freshness, Kind, ObjectBody, StoreError};
use foxnotch_turns::replica_set::check_change_allowed;
use foxnotch_turns::{record_quorum, replica_set};
use foxnotch_wire::{NodeId, ReplicaSet, ReplicaSetUpdate, RpcBody};
use futures_util::future::join_all;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for one exchange of the set with another replica, which writes the set to its disk before it answers.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// A replica to which the set is sent.
struct SetPeer {
    node: NodeId,
    address: SocketAddr,
    /// Timeout for the replica's answer.
    timeout: Duration,
}

/// The answer of a replica that has adopted the set.
struct SetAnswer {
    node: NodeId,
    /// The version of the set that the replica is synced to.
    synced: u64,
}

impl ReplicaSetManager {
    /// Reads the set from the platform's store, with the revision of its object.
    pub(super) async fn read_set(&self) -> Result<Option<(ReplicaSet, u64)>, StoreError> {
        let listing = self.store.list(Kind::ReplicaSet, Freshness::Newest).await?;
        let found = listing.objects.into_iter().find_map(|object| match object.body {
            ObjectBody::ReplicaSet(set) => Some((set, object.revision)),
            _ => None,
        });
        Ok(found)
    }

    /// Sends the set to all other members. Returns the members that are synced to the set, including this replica if it
    /// is one of them.
    pub(super) async fn send_set_to_members(&self, set: &ReplicaSet) -> Vec<NodeId> {
        let own_synced = self.replica.state().get().synced;
        let others = set.members.iter().filter(|member| member.node != self.own.node);
        let peers = others.map(|member| SetPeer {
            node: member.node,
            address: replica_socket_address(member),
            timeout: self.replica.answer_timeout(member.node, EXCHANGE_TIMEOUT),
        });
        let answers = self.exchange_set(set, peers).await;
        let is_synced = |answer: &&SetAnswer| answer.synced == set.version;
        let mut synced: Vec<NodeId> = answers.iter().filter(is_synced).map(|answer| answer.node).collect();
        if replica_set::contains(set, self.own.node) && own_synced == set.version {
            synced.push(self.own.node);
        }
        synced
    }

    /// Sends the set to other replicas, and adopts a newer set from their answers. Returns the answers.
    async fn exchange_set(&self, set: &ReplicaSet, peers: impl Iterator<Item = SetPeer>) -> Vec<SetAnswer> {
        let update = ReplicaSetUpdate { set: set.clone(), synced: self.replica.state().get().synced };
        let calls = peers.map(|peer| {
            let body = RpcBody::AdoptSet(update.clone());
            async move { (peer.node, self.client.call(peer.address, body, peer.timeout).await) }
        });
        let mut answers = Vec::new();
        for (node, answer) in join_all(calls).await {
            let Ok(RpcBody::SetKnown(update)) = answer else { continue };
            self.replica.adopt_set(&update.set, Origin::Peer).await;
            answers.push(SetAnswer { node, synced: update.synced });
        }
        answers
    }

    /// Writes the next version of the set if [`check_change_allowed`] allows a change of the current one, and sends the
    /// next version to all replicas.
    pub(super) async fn change_set(&self, set: &ReplicaSet, next: ReplicaSet) -> Result<bool, StepError> {
        let synced = self.send_set_to_members(set).await;
        self.check_set_unchanged(set)?;
        check_change_allowed(set, &synced, self.is_restricted_text_unsynced(set, &synced))?;
        self.write_set(set, next, &synced).await
    }

    /// Whether texts that are restricted to regions may be on too few members to change the set.
    fn is_restricted_text_unsynced(&self, set: &ReplicaSet, synced: &[NodeId]) -> bool {
        let is_reachable = |node| node == self.own.node || self.members.is_reachable(node);
        let has_restricted_text = self.replica.turns().has_restricted_texts();
        record_quorum::is_restricted_text_unsynced(
            &self.regions,
            self.own.node,
            has_restricted_text,
            &set.members,
            synced,
            is_reachable,
        )
    }

    /// Writes the next version of the set by compare-and-swap, and sends it to all replicas.
    pub(super) async fn write_set(
        &self,
        set: &ReplicaSet,
        next: ReplicaSet,
        synced: &[NodeId],
    ) -> Result<bool, StepError> {
        let Some((stored, revision)) = self.read_set().await? else { return Err(StepError::SetChanged) };
        if stored.version != set.version {
            self.replica.adopt_set(&stored, Origin::Store).await;
            return Err(StepError::SetChanged);
        }
        self.store.write_replica_set(next.clone(), Some(revision)).await?;
        let members: Vec<u32> = next.members.iter().map(|member| member.node.0).collect();
        log::info!(
            target: part::REPLICA,
            "Replica set changed: version={} members={members:?} synced={synced:?}; `synced` lists the replicas that \
             were synced to the previous version.",
            next.version,
        );
        self.replica.adopt_set(&next, Origin::Store).await;
        tokio::join!(self.send_set_to_members(&next), self.send_set_to_standbys(&next));
        Ok(true)
    }

    /// Sends the set to all other live replicas, and adopts a newer set from their answers. Returns the replicas that
    /// answered.
    pub(super) async fn exchange_set_with_live_replicas(&self, set: &ReplicaSet) -> Vec<NodeId> {
        let others = self.members.live_replicas().into_iter().filter(|update| update.node != self.own.node);
        let peers = others.filter_map(|update| {
            let address = member_socket_address(&update.address)?;
            Some(SetPeer { node: update.node, address, timeout: EXCHANGE_TIMEOUT })
        });
        let answers = self.exchange_set(set, peers).await;
        answers.into_iter().map(|answer| answer.node).collect()
    }

    /// Sends the set to the standbys.
    pub(super) async fn send_set_to_standbys(&self, set: &ReplicaSet) {
        let update = ReplicaSetUpdate { set: set.clone(), synced: self.replica.state().get().synced };
        let replicas = self.members.live_replicas().into_iter();
        let standbys =
            replicas.filter(|standby| standby.node != self.own.node && !replica_set::contains(set, standby.node));
        let calls = standbys.filter_map(|standby| {
            let address = member_socket_address(&standby.address)?;
            Some(self.client.call(address, RpcBody::AdoptSet(update.clone()), EXCHANGE_TIMEOUT))
        });
        let answers = join_all(calls).await;
        let answered = answers.iter().filter(|answer| answer.is_ok()).count();
        log::debug!(
            target: part::REPLICA,
            "Version {} of the replica set was sent to the standbys (`heard` is the number that answered, `of` the \
             number of standbys): heard={answered} of={}.",
            set.version,
            answers.len(),
        );
    }
}
