//! Decides when the set may change: it is bootstrapped, a replica joins, a member retires, or a dead member is removed.
//!
//! The functions compute the next version of the set from what the caller knows, or return the reason why the change
//! has to wait. The caller writes the version by compare-and-swap, so only one of two concurrent changes succeeds.

use super::coverage::{complete_member_count, PulledReplica};
use super::quorum_sizes::{majority, majority_overlap_quorum};
use super::{contains, with_replacement, without_member, Tolerance, WaitReason};
use foxnotch_wire::{NodeId, ReplicaMember, ReplicaSet};
use std::time::Duration;

/// Time that the first replica in join order waits after its start before it may write the first version of the set in
/// a new deployment. In this time the replicas discover each other.
const BOOTSTRAP_DELAY: Duration = Duration::from_millis(400);
/// Time that a replica additionally waits for each replica before it in join order. The earlier replicas can write the
/// first version in this time; the later one writes it only if they do not.
const BOOTSTRAP_DELAY_STEP: Duration = Duration::from_millis(400);

/// The next step of a replica that knows no set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BootstrapDecision {
    /// The replica waits, so that replicas earlier in join order can write the first version.
    Wait,
    /// The replica reads the set from the platform's store. It never writes a first version, because its empty disk
    /// has replaced a lost disk.
    LookUp,
    /// The replica reads the set from the platform's store, and writes the first version if the store has none.
    LookUpOrCreate,
}

/// Decides the next step of a replica that knows no set. Only replicas of a new deployment (`is_first_start`) may write
/// the first version. The first replica in join order may write it `BOOTSTRAP_DELAY` after its start. Each later
/// replica waits longer, by one `BOOTSTRAP_DELAY_STEP` for each standby before it in join order (`standbys_before`).
pub fn decide_bootstrap(is_first_start: bool, since_start: Duration, standbys_before: u32) -> BootstrapDecision {
    if !is_first_start {
        BootstrapDecision::LookUp
    } else if since_start < BOOTSTRAP_DELAY + BOOTSTRAP_DELAY_STEP * standbys_before {
        BootstrapDecision::Wait
    } else {
        BootstrapDecision::LookUpOrCreate
    }
}

/// Whether a majority of `set` is synced to `set`, so that the next version may be written. `synced` are the nodes that
/// are synced to `set`.
///
/// Until a majority is synced, a write acknowledged under the previous version may be on a majority of `set.previous`
/// only. With a synced majority, the write is also on a majority of `set`, and a gateway with an older version of the
/// set can no longer reach a majority.
pub fn has_synced_majority(set: &ReplicaSet, synced: &[NodeId]) -> bool {
    let count = set.members.iter().filter(|member| synced.contains(&member.node)).count();
    count >= majority(set.members.len())
}

/// Checks that the next version may be written: a majority is synced to `set`, and the change need not wait for texts
/// that are restricted to regions ([`crate::record_quorum::is_restricted_text_unsynced`]).
///
/// # Errors
/// [`WaitReason::NotSynced`].
pub fn check_change_allowed(
    set: &ReplicaSet,
    synced: &[NodeId],
    is_restricted_text_unsynced: bool,
) -> Result<(), WaitReason> {
    if !has_synced_majority(set, synced) || is_restricted_text_unsynced {
        return Err(WaitReason::NotSynced { version: set.version });
    }
    Ok(())
}

/// The next version of the set without its dead member, to be written before a replica joins a set of more than two
/// members. A set that grows while it has a dead member would permanently lose its majority with the next loss of a
/// member. Returns `None` if no member is dead, the set has at most two members, or too few members would remain.
pub fn decide_removal_before_join(
    set: &ReplicaSet,
    tolerance: Tolerance,
    dead_member: Option<NodeId>,
) -> Option<ReplicaSet> {
    let dead = dead_member.filter(|_| set.members.len() > 2)?;
    may_lose_member(set, tolerance, dead).then(|| without_member(set, dead))
}

/// The inputs of [`decide_join`].
#[derive(Clone, Copy, Debug)]
pub struct JoinFacts<'a> {
    /// The newest version of the set that this replica knows.
    pub set: &'a ReplicaSet,
    /// The replica that joins. It is a member already if only its address has changed.
    pub own: NodeId,
    /// The replicas from which all entries were pulled.
    pub pulled: &'a [PulledReplica],
    /// Whether the process started so recently that it cannot know yet which of the members that do not reply are dead.
    pub is_newly_started: bool,
}

/// The way in which a replica joins the set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinChange {
    /// The joining replica replaces this dead member of a set of two, see [`decide_replacement`].
    Replace(NodeId),
    /// The joining replica is added as a further member. If it is a member already, its address is updated.
    Add,
}

/// Decides whether a replica may join after a pull, and how. `dead_member` returns the dead member of the set, if there
/// is one; it is called only if enough members were read.
///
/// The replica has to read enough complete members to overlap every majority. For a refill, it is enough to overlap
/// every write quorum, because a refill has to succeed with the members that a tolerated loss leaves. These may be
/// fewer than a majority. A join would gain nothing from reading fewer members, since the next version is written only
/// while a majority of the set is synced ([`check_change_allowed`]).
///
/// # Errors
/// The reason why the replica has to pull again.
pub fn decide_join(facts: &JoinFacts, dead_member: impl FnOnce() -> Option<NodeId>) -> Result<JoinChange, WaitReason> {
    let JoinFacts { set, own, pulled, is_newly_started } = *facts;
    let size = set.members.len();
    let read = complete_member_count(pulled, &set.members);
    let own_copy = usize::from(contains(set, own));
    let needed = majority_overlap_quorum(size);
    if read + own_copy < needed {
        return Err(WaitReason::TooFewComplete { read, needed });
    }
    if let Some(dead) = dead_member().filter(|_| size == 2) {
        return Ok(JoinChange::Replace(dead));
    }
    if read + own_copy < size && is_newly_started {
        // A member that does not reply either replies again soon, or is considered dead and removed before the join.
        return Err(WaitReason::MembersNotRead { count: size - read - own_copy });
    }
    Ok(JoinChange::Add)
}

/// Returns the next version of a set of two, with `own` instead of `dead`, if the other member is synced. The two
/// versions differ in two nodes. This is safe because the remaining member holds every acknowledged write and is in
/// every majority of the next version.
///
/// # Errors
/// [`WaitReason::NotSynced`].
pub fn decide_replacement(
    set: &ReplicaSet,
    dead: NodeId,
    own: ReplicaMember,
    synced: &[NodeId],
) -> Result<ReplicaSet, WaitReason> {
    if !set.members.iter().all(|member| member.node == dead || synced.contains(&member.node)) {
        return Err(WaitReason::NotSynced { version: set.version });
    }
    Ok(with_replacement(set, dead, own))
}

/// The inputs of [`decide_retirement`].
#[derive(Clone, Copy, Debug)]
pub struct RetirementFacts<'a> {
    /// The current set.
    pub set: &'a ReplicaSet,
    /// The member that is to retire.
    pub own: NodeId,
    /// The losses that the set has to survive.
    pub tolerance: Tolerance,
    /// Whether this member stores texts restricted to regions in which no other member is alive.
    pub is_last_in_regions: bool,
    /// Whether the member has waited for a standby to join for as long as the time limit of the retirement allows.
    pub has_waited: bool,
}

/// The next step of a member that is to retire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetirementDecision {
    /// The member writes this version of the set, which does not include the member.
    Leave(ReplicaSet),
    /// The member waits for a standby to join first.
    WaitForStandby,
}

/// Decides whether a member may retire. The member does not wait for a standby if the set may shrink ([`may_shrink`]),
/// or if the member has waited long enough (`has_waited`).
///
/// # Errors
/// The reason why the member must not retire yet.
pub fn decide_retirement(facts: &RetirementFacts) -> Result<RetirementDecision, WaitReason> {
    let RetirementFacts { set, own, tolerance, is_last_in_regions, has_waited } = *facts;
    let set_without_member = without_member(set, own);
    let remaining = set_without_member.members.len();
    if remaining <= tolerance.max_losses(&set_without_member.members) {
        // Without this replica, a tolerated loss of disks could destroy acknowledged turns.
        return Err(WaitReason::TooFewRemain { remaining });
    }
    if is_last_in_regions {
        return Err(WaitReason::LastInRegions);
    }
    if !may_shrink(set, tolerance) && !has_waited {
        return Ok(RetirementDecision::WaitForStandby);
    }
    Ok(RetirementDecision::Leave(set_without_member))
}

/// Checks that a retirement is complete: `set`, which no longer contains the retired member, has a synced majority, and
/// all members that are up are synced. So none of them still has to pull entries from the retired member. `members_up`
/// is the number of members that are up.
///
/// # Errors
/// [`WaitReason::NotSynced`].
pub fn check_retirement_complete(set: &ReplicaSet, synced: &[NodeId], members_up: usize) -> Result<(), WaitReason> {
    if !has_synced_majority(set, synced) || synced.len() < members_up {
        return Err(WaitReason::NotSynced { version: set.version });
    }
    Ok(())
}

/// Whether the set could lose one member and still have a majority after every tolerated loss.
pub fn may_shrink(set: &ReplicaSet, tolerance: Tolerance) -> bool {
    set.members.len() > 2 * tolerance.max_losses(&set.members) + 1
}

/// Members of the set that do not reply, each list in the order of the set.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilentNodes<'a> {
    /// Those that have not replied for long.
    pub long_silent: &'a [NodeId],
    /// Those that have not replied for longer than a restart takes.
    pub gone_for_good: &'a [NodeId],
}

/// The member that the replica `own` has to remove from the set. `None` if no member is to be removed, or if `own` is
/// not the first living member of the set: only the first one removes another member, so that two members do not act
/// at the same time.
///
/// A member that has not replied for long is removed if the set is still large enough without it. A member that is gone
/// for good is removed as long as more members than losses remain: while it is counted, an empty disk needs more
/// complete members for its refill than a tolerated loss leaves, so the loss of one disk could end all service although
/// another member holds everything.
pub fn member_to_remove(
    set: &ReplicaSet,
    own: NodeId,
    tolerance: Tolerance,
    silent: SilentNodes<'_>,
    is_dead: impl Fn(NodeId) -> bool,
) -> Option<NodeId> {
    let is_alive = |member: &&ReplicaMember| member.node == own || !is_dead(member.node);
    let first_alive = set.members.iter().find(is_alive).map(|member| member.node);
    let long_silent = silent.long_silent.first().filter(|_| may_shrink(set, tolerance));
    let gone_for_good = silent.gone_for_good.first().filter(|node| may_lose_member(set, tolerance, **node));
    long_silent.or(gone_for_good).copied().filter(|_| first_alive == Some(own))
}

/// Whether more members than losses remain without this member, so that one of them holds each acknowledged write after
/// every tolerated loss.
fn may_lose_member(set: &ReplicaSet, tolerance: Tolerance, node: NodeId) -> bool {
    let remaining = without_member(set, node).members;
    remaining.len() > tolerance.max_losses(&remaining)
}
