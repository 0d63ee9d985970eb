//! The versioned set of replicas and the rules by which it changes.
//!
//! Invariant: each majority of a version overlaps each majority of the next version. This holds because the two
//! versions differ by one member. The exception is a set of two in which one member is replaced; the other member is
//! then in every majority of both versions ([`decide_replacement`]). Version v + 1 is written only once a majority of v
//! is synced to v, see [`has_synced_majority`].
//!
//! All rules are pure functions. The set manager in the gateway crate collects their inputs, carries out the decision,
//! or logs why it has to wait ([`WaitReason`]). `docs/design/replica-set.md` shows each rule with examples.
//!
//! Terms: a replica is *complete* if it holds every write that it ever acknowledged. It is *synced* to a version if it
//! holds every write that was acknowledged under earlier versions. A replica with an empty disk is *refilled*: it pulls
//! entries from other replicas until it is complete.
//!
//! - [`quorum_sizes`]: the number of members that a write, a denial, a refill and a join need
//! - `tolerance`: the losses that a deployment has to survive, and the size of set that they require
//! - `changes`: bootstrapping the set, joining, retiring and removing members
//! - `refill`: refilling an empty replica, and syncing a member to a new version
//! - `coverage`: whether the replicas from which a replica has pulled hold every acknowledged write
//! - `standbys`: the order in which standbys join

mod changes;
mod coverage;
pub mod quorum_sizes;
mod refill;
mod standbys;
mod tolerance;
mod wait_reason;

pub use changes::{
    check_change_allowed, check_retirement_complete, decide_bootstrap, decide_join, decide_removal_before_join,
    decide_replacement, decide_retirement, has_synced_majority, may_shrink, member_to_remove, BootstrapDecision,
    JoinChange, JoinFacts, RetirementDecision, RetirementFacts, SilentNodes,
};
pub use coverage::{covers_previous_version, MissingTexts, PulledReplica, SyncedMember};
pub use quorum_sizes::{denial_quorum, majority, majority_overlap_quorum, refill_quorum, write_quorum};
pub use refill::{
    check_pull_sufficient, decide_refill_completion, NewestVersion, RefillDecision, RefillFacts, SufficientPull,
};
pub use standbys::{join_order, Standby};
pub use tolerance::{min_set_size, SetTarget, Tolerance};
pub use wait_reason::WaitReason;

use foxnotch_wire::{NodeId, ReplicaMember, ReplicaSet};

/// The entry of `node` in the set, if it is a member.
pub fn find_member(set: &ReplicaSet, node: NodeId) -> Option<&ReplicaMember> {
    set.members.iter().find(|member| member.node == node)
}

/// Whether `node` is a member of the set.
pub fn contains(set: &ReplicaSet, node: NodeId) -> bool {
    find_member(set, node).is_some()
}

/// Version 1 of a set, with `member` as its only member.
pub fn initial_set(member: ReplicaMember) -> ReplicaSet {
    ReplicaSet { version: 1, members: vec![member], previous: Vec::new() }
}

/// The next version of `set`, with `member` added, or with its new address if the node is a member already.
pub fn with_member(set: &ReplicaSet, member: ReplicaMember) -> ReplicaSet {
    with_replacement(set, member.node, member)
}

/// The next version of `set`, without `node`.
pub fn without_member(set: &ReplicaSet, node: NodeId) -> ReplicaSet {
    let members = set.members.iter().filter(|known| known.node != node).copied().collect();
    ReplicaSet { version: set.version + 1, members, previous: set.members.clone() }
}

/// The next version of `set`, with `member` instead of `replaced`. The two may be different nodes only in a set of two,
/// see [`decide_replacement`].
pub fn with_replacement(set: &ReplicaSet, replaced: NodeId, member: ReplicaMember) -> ReplicaSet {
    let mut members: Vec<_> = set.members.iter().filter(|known| known.node != replaced).copied().collect();
    members.push(member);
    members.sort_by_key(|member| member.node);
    ReplicaSet { version: set.version + 1, members, previous: set.members.clone() }
}
