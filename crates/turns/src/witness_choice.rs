//! Ranks the gateways that may hold the records of a request's sends.

use foxnotch_wire::{NodeId, ProgramKey};
use xxhash_rust::xxh3::xxh3_64;

/// Ranks nodes by a hash of the request and the node (rendezvous hashing), so that all gateways rank the same nodes
/// alike. Nodes that are `silent` rank after all others. `program` is the program of the request's records.
pub fn rank_witnesses(program: ProgramKey, nodes: &[NodeId], silent: impl Fn(NodeId) -> bool) -> Vec<NodeId> {
    let weight = |node: &NodeId| {
        let mut bytes = program.0.to_le_bytes().to_vec();
        bytes.extend_from_slice(&node.0.to_le_bytes());
        xxh3_64(&bytes)
    };
    let mut ranked = nodes.to_vec();
    ranked.sort_by_cached_key(|node| (silent(*node), weight(node)));
    ranked
}
