//! A second implementation of the rules of a replica set, composed from the quorum sizes. Tests compare the rules in
//! `foxnotch_turns::replica_set` with it, case by case.

use foxnotch_turns::replica_set::{
    contains, covers_previous_version, has_synced_majority, majority_overlap_quorum, refill_quorum, with_replacement,
    without_member, SyncedMember, Tolerance,
};
use foxnotch_wire::{NodeId, ReplicaMember, ReplicaSet};

/// A replica from which entries were pulled: whether it is complete, and the version of the set to which it is synced.
#[derive(Clone, Debug)]
pub struct Pulled {
    pub node: NodeId,
    pub complete: bool,
    pub synced: u64,
}

/// Whether a version of the set is known to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Newest {
    NotChecked,
    Confirmed,
    NotConfirmed,
}

/// The number of texts that a replica may store but is missing, and the members that have been dead or unknown for so
/// long that no step waits for them.
#[derive(Clone, Debug, Default)]
pub struct Texts {
    pub missing: usize,
    pub gone: Vec<NodeId>,
}

/// The reason why a change of the set or a refill has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCause {
    TooFewRead(usize),
    ConfirmNewest,
    NotConfirmed(u64),
    TextsMissing { missing: usize, unread: usize },
    MembersNotRead(usize),
    TooFewRemain(usize),
    LastInRegions,
    NotSynced(u64),
}

/// The way in which a replica joins the set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinKind {
    Replace(NodeId),
    Add,
}

fn complete_members(pulled: &[Pulled]) -> Vec<SyncedMember> {
    let complete = pulled.iter().filter(|pulled| pulled.complete);
    complete.map(|pulled| SyncedMember { node: pulled.node, synced: pulled.synced }).collect()
}

fn is_any_synced(pulled: &[Pulled], set: &ReplicaSet) -> bool {
    pulled.iter().any(|pulled| pulled.complete && pulled.synced == set.version)
}

fn complete_member_count(pulled: &[Pulled], members: &[ReplicaMember]) -> usize {
    let is_complete = |member: &&ReplicaMember| pulled.iter().any(|known| known.complete && known.node == member.node);
    members.iter().filter(is_complete).count()
}

fn check_texts(set: &ReplicaSet, own: NodeId, pulled: &[Pulled], texts: &Texts) -> Result<(), WaitCause> {
    if texts.missing == 0 {
        return Ok(());
    }
    let is_unread = |member: &&ReplicaMember| {
        let node = member.node;
        node != own && !texts.gone.contains(&node) && !pulled.iter().any(|pulled| pulled.node == node)
    };
    let unread = set.members.iter().filter(is_unread).count();
    if unread > 0 {
        return Err(WaitCause::TextsMissing { missing: texts.missing, unread });
    }
    Ok(())
}

/// Whether an empty replica may be refilled. Returns the number of complete members that it has read.
pub fn refill(
    set: &ReplicaSet,
    tolerance: Tolerance,
    own: NodeId,
    pulled: &[Pulled],
    newest: Newest,
    texts: &Texts,
) -> Result<usize, WaitCause> {
    let read = complete_member_count(pulled, &set.members);
    let losses = tolerance.max_losses(&set.members);
    let covers = covers_previous_version(set, tolerance.max_losses(&set.previous), &complete_members(pulled));
    let holds_earlier = is_any_synced(pulled, set) || covers;
    if read < refill_quorum(set.members.len(), losses) || !holds_earlier {
        return Err(WaitCause::TooFewRead(read));
    }
    if read < majority_overlap_quorum(set.members.len()) {
        match newest {
            Newest::NotChecked => return Err(WaitCause::ConfirmNewest),
            Newest::NotConfirmed => return Err(WaitCause::NotConfirmed(set.version)),
            Newest::Confirmed => {}
        }
    }
    check_texts(set, own, pulled, texts)?;
    Ok(read)
}

/// Whether a complete member is synced to `set` after a pull. Returns the number of complete replicas that it has read.
pub fn sync(
    set: &ReplicaSet,
    tolerance: Tolerance,
    own: SyncedMember,
    pulled: &[Pulled],
    texts: &Texts,
) -> Result<usize, WaitCause> {
    let complete = complete_members(pulled);
    let known: Vec<SyncedMember> = complete.iter().copied().chain([own]).collect();
    let covers = covers_previous_version(set, tolerance.max_losses(&set.previous), &known);
    if !is_any_synced(pulled, set) && !covers {
        return Err(WaitCause::TooFewRead(complete.len()));
    }
    check_texts(set, own.node, pulled, texts)?;
    Ok(complete.len())
}

/// The set without its dead member, which has to be removed before a replica joins.
pub fn change_before_join(set: &ReplicaSet, tolerance: Tolerance, dead: Option<NodeId>) -> Option<ReplicaSet> {
    let dead = dead.filter(|_| set.members.len() > 2)?;
    let rest = without_member(set, dead);
    let losses = tolerance.max_losses(&rest.members);
    (rest.members.len() > losses).then_some(rest)
}

/// Whether a replica may join after a pull, and which member it replaces.
pub fn join(
    set: &ReplicaSet,
    own: NodeId,
    pulled: &[Pulled],
    dead: Option<NodeId>,
    is_new: bool,
) -> Result<JoinKind, WaitCause> {
    let read = complete_member_count(pulled, &set.members);
    let own = usize::from(contains(set, own));
    if read + own < majority_overlap_quorum(set.members.len()) {
        return Err(WaitCause::TooFewRead(read));
    }
    if let Some(dead) = dead.filter(|_| set.members.len() == 2) {
        return Ok(JoinKind::Replace(dead));
    }
    if read + own < set.members.len() && is_new {
        return Err(WaitCause::MembersNotRead(set.members.len() - read - own));
    }
    Ok(JoinKind::Add)
}

/// Whether a set could lose one member and still have a majority after every tolerated loss.
pub fn may_shrink(set: &ReplicaSet, tolerance: Tolerance) -> bool {
    set.members.len() > 2 * tolerance.max_losses(&set.members) + 1
}

/// The set without a member that retires, or `None` while the member waits for a standby.
pub fn retire(
    set: &ReplicaSet,
    own: NodeId,
    tolerance: Tolerance,
    is_last_in_regions: bool,
    has_waited: bool,
) -> Result<Option<ReplicaSet>, WaitCause> {
    let rest = without_member(set, own);
    let remaining = rest.members.len();
    if remaining <= tolerance.max_losses(&rest.members) {
        return Err(WaitCause::TooFewRemain(remaining));
    }
    if is_last_in_regions {
        return Err(WaitCause::LastInRegions);
    }
    if !may_shrink(set, tolerance) && !has_waited {
        return Ok(None);
    }
    Ok(Some(rest))
}

/// Whether the remaining members hold all acknowledged entries after a retirement: a majority of them, and at least as
/// many as are reachable, are synced to `set`.
pub fn retired(set: &ReplicaSet, synced: &[NodeId], reachable: usize) -> Result<(), WaitCause> {
    if !has_synced_majority(set, synced) || synced.len() < reachable {
        return Err(WaitCause::NotSynced(set.version));
    }
    Ok(())
}

/// The member that `own` removes from the set.
pub fn remove(
    set: &ReplicaSet,
    own: NodeId,
    tolerance: Tolerance,
    long_silent: &[NodeId],
    gone_for_good: &[NodeId],
    is_dead: impl Fn(NodeId) -> bool,
) -> Option<NodeId> {
    let alive = |member: &&ReplicaMember| member.node == own || !is_dead(member.node);
    if set.members.iter().find(alive).map(|member| member.node) != Some(own) {
        return None;
    }
    if may_shrink(set, tolerance) && !long_silent.is_empty() {
        return Some(long_silent[0]);
    }
    let gone = *gone_for_good.first()?;
    let rest = without_member(set, gone).members;
    (rest.len() > tolerance.max_losses(&rest)).then_some(gone)
}

/// Whether the next version of the set may be written.
pub fn change(set: &ReplicaSet, synced: &[NodeId], is_restricted_text_unsynced: bool) -> Result<(), WaitCause> {
    if !has_synced_majority(set, synced) || is_restricted_text_unsynced {
        return Err(WaitCause::NotSynced(set.version));
    }
    Ok(())
}

/// The set of two members with `own` in place of the dead member.
pub fn replace(set: &ReplicaSet, dead: NodeId, own: ReplicaMember, synced: &[NodeId]) -> Result<ReplicaSet, WaitCause> {
    if !set.members.iter().all(|member| member.node == dead || synced.contains(&member.node)) {
        return Err(WaitCause::NotSynced(set.version));
    }
    Ok(with_replacement(set, dead, own))
}
