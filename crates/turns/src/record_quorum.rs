//! Decides when a turn whose text is restricted to regions counts as stored.
//!
//! Invariant: when a turn counts as stored, its text is on enough members in its regions, and a write quorum of the
//! whole set has its entry, with or without text. So the text survives a loss within the tolerance, and every denial
//! quorum ([`crate::replica_set::denial_quorum`]) includes a member that has the entry. Where the regions have too few
//! members to survive such a loss, all members in the regions hold the text, see [`RecordQuorum::may_lose_all_copies`].

use crate::quorum::Tally;
use crate::replica_set::{write_quorum, Tolerance};
use crate::zone_regions::ZoneRegions;
use foxnotch_wire::{NodeId, RegionId, ReplicaMember, ReplicaSet};

/// The acknowledgements and copies of the text that a write needs before its turn counts as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordQuorum {
    /// Number of members that have to acknowledge the entry, with or without its text.
    pub acknowledgements: usize,
    /// Members in whose zones the text may be stored.
    holders: Vec<NodeId>,
    /// Number of `holders` that have to store the text: `copies_for_all_losses`, or all of them if there are fewer.
    pub copies: usize,
    /// Number of copies with which the text survives every loss within the tolerance.
    pub copies_for_all_losses: usize,
}

impl RecordQuorum {
    /// Computes the quorum for text that is restricted to `regions`; an empty list means no restriction. Returns `None`
    /// if no member of the set may store the text.
    pub fn of(set: &ReplicaSet, tolerance: Tolerance, zones: &ZoneRegions, regions: &[RegionId]) -> Option<Self> {
        let inside = set.members.iter().filter(|member| zones.may_store_text(member.zone, regions));
        let members: Vec<_> = inside.copied().collect();
        if members.is_empty() && !regions.is_empty() {
            return None;
        }
        let acknowledgements = write_quorum(set.members.len(), tolerance.max_losses(&set.members));
        let copies_for_all_losses = tolerance.max_losses(&members) + 1;
        let copies = copies_for_all_losses.min(members.len());
        let holders = members.iter().map(|member| member.node).collect();
        Some(Self { acknowledgements, holders, copies, copies_for_all_losses })
    }

    /// Whether a loss within the tolerance can destroy all copies of the text, because too few members may store it.
    pub fn may_lose_all_copies(&self) -> bool {
        self.copies < self.copies_for_all_losses
    }

    /// Whether these replies suffice for the turn to count as stored.
    pub fn is_met_by(&self, tally: &Tally) -> bool {
        let copies = tally.counted_replicas().filter(|node| self.holders.contains(node)).count();
        tally.counted_reply_count() >= self.acknowledgements && copies >= self.copies
    }
}

/// The number of further members in `regions` that are needed for text restricted to `regions` to survive every loss
/// within the tolerance.
fn missing_member_count(
    members: &[ReplicaMember],
    tolerance: Tolerance,
    zones: &ZoneRegions,
    regions: &[RegionId],
) -> usize {
    let inside: Vec<_> = members.iter().filter(|member| zones.may_store_text(member.zone, regions)).copied().collect();
    (tolerance.max_losses(&inside) + 1).saturating_sub(inside.len())
}

/// Whether adding `standby` to the set reduces the number of further members that text restricted to `regions` needs to
/// survive every tolerated loss. If the tolerance allows the loss of all disks in the regions at once, no number of
/// members is enough, and further members do not help.
pub fn would_standby_improve_durability(
    members: &[ReplicaMember],
    standby: ReplicaMember,
    tolerance: Tolerance,
    zones: &ZoneRegions,
    regions: &[RegionId],
) -> bool {
    let mut with_standby: Vec<ReplicaMember> = members.to_vec();
    with_standby.push(standby);
    missing_member_count(&with_standby, tolerance, zones, regions)
        < missing_member_count(members, tolerance, zones, regions)
}

/// Whether a change of the set has to wait because texts may be restricted to regions and a member that answers is not
/// synced. A restricted text may be on fewer members than a majority, so a synced majority does not imply that the text
/// is on enough members.
///
/// `own` is the replica that changes the set. `has_restricted_text` is whether that replica has an entry of a
/// restricted text. If the replica is not synced itself, it may miss such an entry, so restricted texts cannot be ruled
/// out.
pub fn is_restricted_text_unsynced(
    zones: &ZoneRegions,
    own: NodeId,
    has_restricted_text: bool,
    members: &[ReplicaMember],
    synced: &[NodeId],
    answers: impl Fn(NodeId) -> bool,
) -> bool {
    let may_have_restricted_text = zones.has_regions() && (has_restricted_text || !synced.contains(&own));
    may_have_restricted_text && members.iter().any(|member| answers(member.node) && !synced.contains(&member.node))
}
