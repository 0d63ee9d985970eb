//! The order in which standbys join the set.

use foxnotch_wire::NodeId;

/// A replica that is not a member and may join the set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standby {
    /// The node identifier of the replica.
    pub node: NodeId,
    /// The number that membership gives the replica's zone.
    pub zone: u8,
}

/// The order in which standbys join a set. `member_zones` has the zone of each member. Standbys in zones with the
/// fewest members come first, so that copies of turns are spread over zones. Standbys whose zones have equally many
/// members are ordered by node identifier. All nodes that know the same members and standbys compute the same order.
pub fn join_order(member_zones: &[u8], standbys: &[Standby]) -> Vec<NodeId> {
    let members_in = |zone: u8| member_zones.iter().filter(|known| **known == zone).count();
    let mut ordered: Vec<(usize, NodeId)> =
        standbys.iter().map(|standby| (members_in(standby.zone), standby.node)).collect();
    ordered.sort_unstable();
    ordered.into_iter().map(|(_, node)| node).collect()
}
