//! The state of a replica that must survive a restart of the process: its disk's identity, whether it is complete, the
//! replica set, and the identities of the other replicas' disks.

use crate::locks::lock;
use crate::logging::part;
use crate::replica::disk::{Disk, DiskError};
use foxnotch_turns::replica_set;
use foxnotch_turns::segment::{Record, ReplicaState};
use foxnotch_wire::{DiskIdentity, NodeId, ReplicaReport, ReplicaSet, ReplicaSetUpdate, ReplicaStanding};
use std::sync::Mutex;

/// Owns the state in memory, and writes each change to disk.
pub struct DurableState {
    own: NodeId,
    disk: Disk,
    state: Mutex<ReplicaState>,
    /// Held while the state is being written, so that changes are written in order.
    write_order: tokio::sync::Mutex<()>,
}

impl DurableState {
    /// Creates the owner of the state that was read from disk at the start.
    pub fn new(own: NodeId, disk: Disk, state: ReplicaState) -> Self {
        Self { own, disk, state: Mutex::new(state), write_order: tokio::sync::Mutex::new(()) }
    }

    /// A copy of the state.
    pub fn get(&self) -> ReplicaState {
        lock(&self.state).clone()
    }

    /// The newest replica set that this replica knows.
    pub fn replica_set(&self) -> ReplicaSet {
        lock(&self.state).set.clone()
    }

    /// Changes the state and writes it to disk. In memory the change takes effect even when the write fails.
    ///
    /// # Errors
    /// [`DiskError`]; whether the new state is on disk is then unknown.
    pub async fn change(&self, change: impl FnOnce(&mut ReplicaState)) -> Result<(), DiskError> {
        let _order = self.write_order.lock().await;
        let mut state = self.get();
        change(&mut state);
        if state == *lock(&self.state) {
            return Ok(());
        }
        let written = self.disk.write(vec![Record::State(state.clone())]).await;
        *lock(&self.state) = state;
        written.map(drop)
    }

    /// Gives a disk that has no identity a random one. A replica of a new deployment (`is_first_start`) is complete at
    /// once, since there was no data that it could have lost.
    ///
    /// # Errors
    /// [`DiskError`], when the identity could not be written.
    pub async fn ensure_disk_identity(&self, is_first_start: bool) -> Result<(), DiskError> {
        if lock(&self.state).disk != 0 {
            return Ok(());
        }
        let disk = rand::random::<u64>().max(1);
        let written = self
            .change(move |state| {
                state.disk = disk;
                state.complete = u8::from(is_first_start);
            })
            .await;
        log::info!(
         target: part::REPLICA,
         "The disk was empty and got a new identity (if `complete` is false, this replica's answers count toward no \
          quorum until it is refilled from other replicas): disk={disk:016x} complete={is_first_start}.",
        );
        written.map(drop)
    }

    /// The identity of this replica's disk.
    pub fn disk_identity(&self) -> DiskIdentity {
        DiskIdentity { node: self.own, disk: lock(&self.state).disk }
    }

    /// Records the identity of another replica's disk. Must finish before any answer to that replica is sent.
    pub async fn record_peer_disk(&self, identity: DiskIdentity) {
        if identity.node == self.own {
            return;
        }
        let is_known = lock(&self.state).peers.contains(&identity);
        if is_known {
            return;
        }
        let written = self
            .change(move |state| {
                state.peers.retain(|peer| peer.node != identity.node);
                state.peers.push(identity);
            })
            .await;
        log::info!(
            target: part::REPLICA,
            "New disk identity {:016x} of node {} recorded: that node has a new disk, or is new to this replica \
             (`written` tells whether the record is on this replica's disk): written={}.",
            identity.disk,
            identity.node,
            written.is_ok(),
        );
    }

    /// Whether this replica's answers count toward quorums, and the disk identities by which callers check the answers
    /// of the other members.
    pub fn own_report(&self) -> ReplicaReport {
        let state = lock(&self.state);
        let counts_in_quorums = state.complete == 1 && replica_set::contains(&state.set, self.own);
        let standing = if counts_in_quorums { ReplicaStanding::Counts } else { ReplicaStanding::Refilling };
        let own = DiskIdentity { node: self.own, disk: state.disk };
        // Callers count only the answers of members, so they do not need the disk identities of other replicas.
        let is_member = |peer: &&DiskIdentity| replica_set::contains(&state.set, peer.node);
        let others = state.peers.iter().filter(is_member).copied().collect();
        ReplicaReport { own, standing, others }
    }

    /// The set, and the version of the set that this replica is synced to.
    pub fn replica_set_update(&self) -> ReplicaSetUpdate {
        let state = lock(&self.state);
        ReplicaSetUpdate { set: state.set.clone(), synced: state.synced }
    }
}
