//! Decides whether the replicas from which a replica has pulled hold, together, every acknowledged write.

use super::quorum_sizes::{majority_overlap_quorum, refill_quorum};
use super::{Tolerance, WaitReason};
use foxnotch_wire::{NodeId, ReplicaMember, ReplicaSet};

/// Another replica from which all entries were pulled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PulledReplica {
    /// The replica's node identifier.
    pub node: NodeId,
    /// Whether the replica holds everything that it ever acknowledged. False while it is being refilled.
    pub complete: bool,
    /// The version of the set that the replica is synced to. The replica holds everything that was acknowledged under
    /// earlier versions.
    pub synced: u64,
    /// The replicas whose disk identities this replica knows, whether they are members or not.
    pub known_replicas: Vec<NodeId>,
}

/// A complete replica and the version of the set that it is synced to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SyncedMember {
    /// The replica's node identifier.
    pub node: NodeId,
    /// The set version that the replica is synced to. The replica holds everything that was acknowledged under earlier
    /// versions.
    pub synced: u64,
}

/// Whether the complete replicas `known`, which all know `set`, together hold everything that was acknowledged under
/// the previous version and earlier ones. `losses` is the number of losses that the previous version had to survive.
///
/// If so, no further write can be acknowledged under the previous version: too few of its members remain that do not
/// know `set`.
pub fn covers_previous_version(set: &ReplicaSet, losses: usize, known: &[SyncedMember]) -> bool {
    if set.previous.is_empty() {
        return true;
    }
    let was_member = |known: &&SyncedMember| set.previous.iter().any(|member| member.node == known.node);
    let previous_members: Vec<&SyncedMember> = known.iter().filter(was_member).collect();
    // `set` was written only once a majority of the previous version was synced to the previous version.
    let holds_earlier = previous_members.iter().any(|member| member.synced + 1 >= set.version)
        || previous_members.len() >= majority_overlap_quorum(set.previous.len());
    holds_earlier && previous_members.len() >= refill_quorum(set.previous.len(), losses)
}

/// Whether the replicas in `pulled`, and `own`, together hold everything that was acknowledged under earlier versions
/// of the set. `own` is the replica that has pulled, or `None` if it is not complete itself.
///
/// One complete replica that is synced to `set` is enough, since it has pulled everything from earlier versions.
/// Members of earlier versions may be lost permanently, so it must not be necessary to read them again.
pub(super) fn holds_earlier_versions(
    set: &ReplicaSet,
    tolerance: Tolerance,
    pulled: &[PulledReplica],
    own: Option<SyncedMember>,
) -> bool {
    let is_synced = |replica: &PulledReplica| replica.complete && replica.synced == set.version;
    let known: Vec<SyncedMember> = complete_replicas(pulled).chain(own).collect();
    pulled.iter().any(is_synced) || covers_previous_version(set, tolerance.max_losses(&set.previous), &known)
}

/// The complete replicas among those in `pulled`.
pub(super) fn complete_replicas(pulled: &[PulledReplica]) -> impl Iterator<Item = SyncedMember> + '_ {
    let complete = pulled.iter().filter(|replica| replica.complete);
    complete.map(|replica| SyncedMember { node: replica.node, synced: replica.synced })
}

/// The number of `members` that are in `pulled` and complete.
pub(super) fn complete_member_count(pulled: &[PulledReplica], members: &[ReplicaMember]) -> usize {
    let is_complete = |member: &&ReplicaMember| complete_replicas(pulled).any(|replica| replica.node == member.node);
    members.iter().filter(is_complete).count()
}

/// Texts that this replica may store and does not have, although it knows that other replicas have them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MissingTexts {
    /// Number of turns whose text is missing here although this replica may store it.
    pub count: usize,
    /// Members that have been dead or unknown for so long that no step waits for them any longer.
    pub gone_members: Vec<NodeId>,
}

/// Checks that entries were pulled from every member that may hold a missing text. Text that is restricted to regions
/// may be on fewer members than a quorum. So while any text is missing, all members that are not gone have to be read.
/// Returns the missing texts if all these members were read, since no remaining member has them. Returns `None` if no
/// text is missing.
pub(super) fn check_missing_texts(
    set: &ReplicaSet,
    own: NodeId,
    pulled: &[PulledReplica],
    missing: MissingTexts,
) -> Result<Option<MissingTexts>, WaitReason> {
    if missing.count == 0 {
        return Ok(None);
    }
    let is_not_read = |member: &&ReplicaMember| {
        let node = member.node;
        let is_gone = missing.gone_members.contains(&node);
        node != own && !is_gone && !pulled.iter().any(|replica| replica.node == node)
    };
    let not_read = set.members.iter().filter(is_not_read).count();
    if not_read > 0 {
        return Err(WaitReason::TextsMissing { missing: missing.count, not_read });
    }
    Ok(Some(missing))
}
