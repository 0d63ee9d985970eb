//! Counting the answers of replicas.

use foxnotch_wire::{NodeId, ReplicaStanding, Witness};
use std::collections::BTreeMap;

/// The answers to one request.
///
/// Invariant: an answer from a disk that another answer knows to be lost is not counted. Whoever fills an empty disk
/// notes its identity first, so a write can not rest on a lost disk and on one that was read before the write.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    witnesses: BTreeMap<NodeId, Witness>,
}

impl Tally {
    /// Takes an answer; a later one of the same replica replaces the earlier.
    pub fn add(&mut self, witness: Witness) {
        self.witnesses.insert(witness.own.node, witness);
    }

    /// Answers that count.
    pub fn count(&self) -> usize {
        self.counted().count()
    }

    /// The replicas whose answers count.
    pub fn counted(&self) -> impl Iterator<Item = NodeId> + '_ {
        let counts = |witness: &&Witness| witness.standing == ReplicaStanding::Counts && !self.is_contradicted(witness);
        self.witnesses.values().filter(counts).map(|witness| witness.own.node)
    }

    fn is_contradicted(&self, witness: &Witness) -> bool {
        let others = self.witnesses.values().flat_map(|other| &other.others);
        others.into_iter().any(|known| known.node == witness.own.node && known.disk != witness.own.disk)
    }
}
