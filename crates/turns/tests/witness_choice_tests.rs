//! Tests of the choice of the gateways that hold the records of a request's sends.

use foxnotch_turns::witness_choice::{rank_witnesses, silent_last};
use foxnotch_wire::{NodeId, ProgramKey};
use proptest::prelude::*;
use std::collections::BTreeSet;

/// Number of witnesses of a request.
const WITNESSES: usize = 2;

/// The nodes that hold a send of a gateway: itself and its witnesses among the other nodes that it knows.
fn holders(program: ProgramKey, known: &BTreeSet<u32>, gateway: u32) -> Vec<u32> {
    let others: Vec<NodeId> = known.iter().filter(|node| **node != gateway).map(|node| NodeId(*node)).collect();
    let ranked = rank_witnesses(program, &others);
    ranked.iter().take(WITNESSES).map(|node| node.0).chain([gateway]).collect()
}

proptest! {
    /// Each gateway that sends a request asks a node that holds the sends of every other, also if the gateway that made
    /// them is gone, and one that the first knew.
    #[test]
    fn the_next_gateway_asks_a_node_that_holds_the_sends_before(
        nodes in prop::collection::btree_set(any::<u32>(), 4..60),
        picked in any::<prop::sample::Index>(),
        next in any::<prop::sample::Index>(),
        program in any::<u64>(),
    ) {
        let all: Vec<u32> = nodes.iter().copied().collect();
        let (first, second) = (all[picked.index(all.len())], all[next.index(all.len())]);
        prop_assume!(first != second);
        let program = ProgramKey(program);
        let held_by = holders(program, &nodes, first);
        let mut known = nodes.clone();
        known.remove(&first);
        let asked = holders(program, &known, second);
        prop_assert!(asked.iter().any(|node| held_by.contains(node)), "held by {held_by:?}, asked {asked:?}");
    }

    /// A gateway that joins or is not known to all does not keep two gateways from asking the same node.
    #[test]
    fn a_node_that_only_one_gateway_knows_leaves_a_common_witness(
        nodes in prop::collection::btree_set(any::<u32>(), 5..60),
        unknown in any::<prop::sample::Index>(),
        program in any::<u64>(),
    ) {
        let all: Vec<u32> = nodes.iter().copied().collect();
        let unknown = all[unknown.index(all.len())];
        let senders: Vec<u32> = all.iter().copied().filter(|node| *node != unknown).take(2).collect();
        let mut fewer = nodes.clone();
        fewer.remove(&unknown);
        let program = ProgramKey(program);
        let (held_by, asked) = (holders(program, &nodes, senders[0]), holders(program, &fewer, senders[1]));
        prop_assert!(asked.iter().any(|node| held_by.contains(node)), "held by {held_by:?}, asked {asked:?}");
    }
}

/// Silent nodes rank last, in the same order.
#[test]
fn silent_nodes_rank_last() {
    let nodes: Vec<NodeId> = (1..=9).map(NodeId).collect();
    let program = ProgramKey(7);
    let ranked = rank_witnesses(program, &nodes);
    let silent = ranked[0];
    let mut expected = ranked[1..].to_vec();
    expected.push(silent);
    assert_eq!(silent_last(ranked, |node| node == silent), expected);
}
