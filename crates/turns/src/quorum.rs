//! Counts the replies of replicas toward a quorum.

use foxnotch_wire::{NodeId, ReplicaReport, ReplicaStanding};
use std::collections::BTreeMap;

/// The replicas' reports in their replies to one request, at most one for each replica.
///
/// Invariant: a reply does not count if another reply reports a different disk for the same node. When a lost disk is
/// replaced, the replica pulls all entries to the replacement disk from other replicas. Each of these other replicas
/// records the identity of the replacement disk before it answers the pull, and reports the identity in every later
/// reply. So a write cannot count both a reply from the lost disk and a reply of a replica from which the replacement
/// disk had pulled before the write.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    reports: BTreeMap<NodeId, ReplicaReport>,
}

impl Tally {
    /// Adds the report in a replica's reply. A later report of the same replica replaces the earlier one.
    pub fn add(&mut self, report: ReplicaReport) {
        self.reports.insert(report.own.node, report);
    }

    /// Number of replies that count toward a quorum.
    pub fn counted_reply_count(&self) -> usize {
        self.counted_replicas().count()
    }

    /// The replicas whose replies count: their standing is [`ReplicaStanding::Counts`], and no other reply reports a
    /// different disk for the same node.
    pub fn counted_replicas(&self) -> impl Iterator<Item = NodeId> + '_ {
        let counts =
            |report: &&ReplicaReport| report.standing == ReplicaStanding::Counts && !self.is_disk_contradicted(report);
        self.reports.values().filter(counts).map(|report| report.own.node)
    }

    /// Whether another replica reports a different disk for the replica that sent `report`.
    fn is_disk_contradicted(&self, report: &ReplicaReport) -> bool {
        let others = self.reports.values().flat_map(|other| &other.others);
        others.into_iter().any(|known| known.node == report.own.node && known.disk != report.own.disk)
    }
}
