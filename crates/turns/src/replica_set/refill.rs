//! Decides when a replica holds every acknowledged write: after the loss of its disk (refill), and after each change of
//! the set (sync).

use super::coverage::{
    check_missing_texts, complete_member_count, complete_replicas, holds_earlier_versions, MissingTexts, PulledReplica,
    SyncedMember,
};
use super::quorum_sizes::{majority_overlap_quorum, refill_quorum};
use super::{Tolerance, WaitReason};
use foxnotch_wire::{NodeId, ReplicaSet};

/// Whether a version of the set is known to be the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewestVersion {
    /// Not checked yet.
    NotChecked,
    /// The platform's store holds this version, or every known replica replied and knows no newer version.
    Confirmed,
    /// The store did not reply, and neither did a replica that may know a newer version.
    NotConfirmed,
}

/// The inputs of [`decide_refill_completion`].
#[derive(Clone, Copy, Debug)]
pub struct RefillFacts<'a> {
    /// The set that the replica has pulled for.
    pub set: &'a ReplicaSet,
    /// The losses that the set has to survive.
    pub tolerance: Tolerance,
    /// The empty replica, whether it is a member or not.
    pub own: NodeId,
    /// The replicas from which all entries were pulled.
    pub pulled: &'a [PulledReplica],
    /// Whether `set` is known to be the newest version.
    pub newest: NewestVersion,
}

/// The result of a pull that read enough replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SufficientPull {
    /// Number of complete replicas that were read: for a refill, members of the set; for a sync, also former members.
    pub read: usize,
    /// The texts that are missing here and that no member that was read has; `None` if no text is missing here.
    pub unavailable_texts: Option<MissingTexts>,
}

/// The decision on an empty replica after a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RefillDecision {
    /// The replica holds everything that was acknowledged, and its replies count from now on.
    Refilled(SufficientPull),
    /// The replica has to check whether the set is the newest version, and then decide again with the result in
    /// [`RefillFacts::newest`].
    ConfirmNewest,
    /// The replica has to pull again later.
    Wait(WaitReason),
}

/// Decides whether an empty replica holds every acknowledged write. It does if all of these conditions are met:
///
/// 1. It has read enough complete members to overlap every write quorum ([`refill_quorum`]), so it holds each write
///    that was acknowledged under `set`.
/// 2. It holds every write of earlier versions: a replica that was read is complete and synced to `set`, or the
///    complete replicas that were read cover the previous version ([`super::covers_previous_version`]).
/// 3. If the members that were read do not overlap every majority ([`majority_overlap_quorum`]), `set` is confirmed as
///    the newest version. Otherwise a majority that was not read may have written a newer version and acknowledged
///    writes under it.
/// 4. It has all texts that it may store, or it has read every member that is not gone, so that no remaining member has
///    a text that is missing here. `missing_texts` is called only after the other conditions are met.
pub fn decide_refill_completion(facts: &RefillFacts, missing_texts: impl FnOnce() -> MissingTexts) -> RefillDecision {
    let RefillFacts { set, tolerance, own, pulled, newest } = *facts;
    let read = complete_member_count(pulled, &set.members);
    let needed = refill_quorum(set.members.len(), tolerance.max_losses(&set.members));
    if read < needed {
        return RefillDecision::Wait(WaitReason::TooFewComplete { read, needed });
    }
    if !holds_earlier_versions(set, tolerance, pulled, None) {
        return RefillDecision::Wait(WaitReason::EarlierVersionNotCovered { read });
    }
    if read < majority_overlap_quorum(set.members.len()) {
        match newest {
            NewestVersion::NotChecked => return RefillDecision::ConfirmNewest,
            NewestVersion::NotConfirmed => {
                return RefillDecision::Wait(WaitReason::NewestNotConfirmed { version: set.version });
            }
            NewestVersion::Confirmed => {}
        }
    }
    match check_missing_texts(set, own, pulled, missing_texts()) {
        Ok(unavailable_texts) => RefillDecision::Refilled(SufficientPull { read, unavailable_texts }),
        Err(reason) => RefillDecision::Wait(reason),
    }
}

/// Checks that a complete member is synced to `set` after a pull: it holds everything that was acknowledged under
/// earlier versions, and it has all texts that it may store, or has read every member that is not gone.
///
/// `missing_texts` is called only after the first condition is met.
///
/// # Errors
/// The reason why the member has to pull again.
pub fn check_pull_sufficient(
    set: &ReplicaSet,
    tolerance: Tolerance,
    own: SyncedMember,
    pulled: &[PulledReplica],
    missing_texts: impl FnOnce() -> MissingTexts,
) -> Result<SufficientPull, WaitReason> {
    let read = complete_replicas(pulled).count();
    if !holds_earlier_versions(set, tolerance, pulled, Some(own)) {
        return Err(WaitReason::EarlierVersionNotCovered { read });
    }
    let unavailable_texts = check_missing_texts(set, own.node, pulled, missing_texts())?;
    Ok(SufficientPull { read, unavailable_texts })
}
