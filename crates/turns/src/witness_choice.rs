//! Ranks the gateways that may hold the records of a request's sends.

use foxnotch_wire::{NodeId, ProgramKey};
use xxhash_rust::xxh3::xxh3_64;

/// Ranks nodes by a hash of the request and the node (rendezvous hashing), so that all gateways rank the same nodes
/// alike. `program` is the program of the request's records.
pub fn rank_witnesses(program: ProgramKey, nodes: &[NodeId]) -> Vec<NodeId> {
    let weight = |node: &NodeId| {
        let mut bytes = program.0.to_le_bytes().to_vec();
        bytes.extend_from_slice(&node.0.to_le_bytes());
        xxh3_64(&bytes)
    };
    let mut ranked = nodes.to_vec();
    ranked.sort_by_cached_key(weight);
    ranked
}

/// Moves the `silent` nodes behind all others, each part in the order of rank.
pub fn silent_last(mut ranked: Vec<NodeId>, silent: impl Fn(NodeId) -> bool) -> Vec<NodeId> {
    ranked.sort_by_key(|node| silent(*node));
    ranked
}
