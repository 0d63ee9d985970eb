//! Computes which node owns a program and which nodes store its history.
//!
//! Both use rendezvous hashing: each candidate gets a score for the key and the highest score wins, so a change of the
//! candidates moves only the keys of the nodes that were added or removed.

use foxnotch_wire::{NodeId, ProgramId};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::{xxh3_128, xxh3_64_with_seed};

/// Number of copies of each history.
pub const REPLICATION_FACTOR: usize = 3;

/// A node that stores histories.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaNode {
    /// The node's id. A machine that replaces the node uses the same id and starts with an empty disk.
    pub id: u32,
    /// The node's zone.
    pub zone: u8,
}

/// The score of `candidate` for `key`.
pub fn rendezvous_score(key: u128, candidate: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), candidate)
}

/// The id of the program that `tenant` opens on `instance` with `key`.
pub fn program_id(tenant: &str, instance: &str, key: &str) -> ProgramId {
    let mut bytes = Vec::with_capacity(tenant.len() + instance.len() + key.len() + 8);
    for part in [tenant, instance, key] {
        bytes.extend_from_slice(&(part.len() as u32).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    ProgramId(xxh3_128(&bytes))
}

/// The node that owns `program` among `candidates`; none when there are no candidates.
pub fn owner_of(program: ProgramId, candidates: impl Iterator<Item = NodeId>) -> Option<NodeId> {
    candidates.max_by_key(|node| (rendezvous_score(program.0, u64::from(node.0)), *node))
}

/// The nodes that store `program`'s history, at most [`REPLICATION_FACTOR`]: first the node with the highest score in
/// each zone, then the remaining nodes in descending order of score.
pub fn replicas_of(program: ProgramId, nodes: &[ReplicaNode]) -> Vec<NodeId> {
    let mut ranked = nodes.to_vec();
    ranked.sort_by_key(|node| std::cmp::Reverse((rendezvous_score(program.0, u64::from(node.id)), node.id)));
    let mut zones = BTreeSet::new();
    let (mut first, rest): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|node| zones.insert(node.zone));
    first.extend(rest);
    first.truncate(REPLICATION_FACTOR);
    first.into_iter().map(|node| NodeId(node.id)).collect()
}

/// The number of replicas in a majority: any two majorities share at least one replica.
pub fn majority(replicas: usize) -> usize {
    replicas / 2 + 1
}
