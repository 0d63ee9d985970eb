//! The number of members that each operation needs, from the size of the set (`members`) and the largest number of
//! members whose loss it has to survive (`losses`, see [`super::Tolerance::max_losses`]).
//!
//! [`denial_quorum`] and [`refill_quorum`] depend on [`write_quorum`], and [`majority_overlap_quorum`] depends on
//! [`majority`]. A change of one requires a check of the others; the tests in `set_guarantees_tests.rs` check them for
//! each size and number of losses.

/// The smallest number of members that is more than half of the set.
pub fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// The smallest number of members that always include a member of every majority: one more than the number of members
/// outside of a majority.
pub fn majority_overlap_quorum(members: usize) -> usize {
    members - majority(members) + 1
}

/// The number of members that have to store a write: a majority, and at least one more than `losses`.
pub fn write_quorum(members: usize, losses: usize) -> usize {
    majority(members).max(losses + 1)
}

/// The number of members that have to report that they do not have an entry before it is certain that no write quorum
/// stores the entry. The number also covers write quorums of the previous version of the set, whose writes some members
/// may not have pulled yet. Two consecutive versions differ by one member, so a majority of this version overlaps every
/// write quorum of the previous one.
pub fn denial_quorum(members: usize, losses: usize) -> usize {
    let for_this_version = (members + 1).saturating_sub(write_quorum(members, losses));
    for_this_version.max(majority(members))
}

/// The number of complete members from which an empty replica has to pull all entries. They overlap every
/// [`write_quorum`], so the replica then holds every acknowledged write. The number never exceeds the members that
/// remain after `losses` disks are lost.
pub fn refill_quorum(members: usize, losses: usize) -> usize {
    (members + 1).saturating_sub(write_quorum(members, losses)).max(1)
}
