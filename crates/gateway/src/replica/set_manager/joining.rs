//! Decides when a standby becomes a member, and which member it replaces.
//!
//! After a pull, [`decide_join`] decides whether and how the standby joins. This module determines the order in which
//! standbys join, and removes a dead member before a join.

use super::{ReplicaSetManager, StepError};
use crate::locks::lock;
use crate::replica::sync::pull_from_members;
use foxnotch_turns::replica_set::{
    self, decide_join, decide_removal_before_join, decide_replacement, JoinChange, JoinFacts, Standby,
};
use foxnotch_wire::{NodeId, ReplicaMember, ReplicaSet};
use std::time::{Duration, Instant};

/// Additional time that each further standby in the join order waits, so that it joins only if the standbys before it
/// have not joined.
const JOINING_DELAY_STEP: Duration = Duration::from_millis(1000);
/// Time, counted from the start of a standby's process, during which the standby waits for members that do not answer
/// and are not known to be dead. It is far longer than membership takes to detect a dead member.
const SILENT_MEMBER_WAIT: Duration = Duration::from_secs(8);

/// A version of the set that has too few members, and the time at which this replica first saw that the set has too
/// few.
#[derive(Clone, Copy, Debug)]
pub(super) struct UndersizedSet {
    version: u64,
    since: Instant,
}

impl ReplicaSetManager {
    /// Whether this replica should join. That is so if the set lists it with an outdated address, or if the set has too
    /// few members and the standbys before this one in the join order have not joined in time.
    pub(super) fn should_join(&self, set: &ReplicaSet) -> bool {
        if let Some(member) = replica_set::find_member(set, self.own.node) {
            return *member != self.own;
        }
        let Some(since) = self.undersized_since(set) else { return false };
        let zones = self.zones_of_live_members(&self.remaining_members(set));
        let rank = self.standby_rank(&zones, &self.standbys(set));
        since.elapsed() >= JOINING_DELAY_STEP * rank
    }

    /// When this replica first saw that this version of the set is too small; none while it is large enough. The set
    /// also counts as too small while this replica, as a member, would improve the durability of turns that are
    /// restricted to regions.
    fn undersized_since(&self, set: &ReplicaSet) -> Option<Instant> {
        let remaining_members = self.remaining_members(set);
        let is_large_enough =
            self.target.is_reached_by(&remaining_members) && !self.would_help_restricted_turns(&remaining_members);
        let mut undersized_set = lock(&self.undersized_set);
        if is_large_enough {
            *undersized_set = None;
            return None;
        }
        let previous = undersized_set.filter(|previous| previous.version == set.version);
        let noted = previous.unwrap_or(UndersizedSet { version: set.version, since: Instant::now() });
        *undersized_set = Some(noted);
        Some(noted.since)
    }

    /// The members that are neither gone (see [`super::SilentMembers`]) nor retiring.
    fn remaining_members(&self, set: &ReplicaSet) -> Vec<ReplicaMember> {
        let retiring = self.retiring_nodes();
        let gone = self.silent_members.update_and_list_gone(set);
        let stays = |member: &&ReplicaMember| !retiring.contains(&member.node) && !gone.contains(&member.node);
        set.members.iter().filter(stays).copied().collect()
    }

    /// The live replicas that are neither members nor retiring, this one included if it is among them.
    pub(super) fn standbys(&self, set: &ReplicaSet) -> Vec<Standby> {
        let retiring = self.retiring_nodes();
        let replicas = self.members.live_replicas().into_iter();
        let candidates =
            replicas.filter(|update| !replica_set::contains(set, update.node) && !retiring.contains(&update.node));
        candidates.map(|update| Standby { node: update.node, zone: update.zone }).collect()
    }

    /// The zones of those of the given members that membership considers alive.
    fn zones_of_live_members(&self, members: &[ReplicaMember]) -> Vec<u8> {
        let replicas = self.members.live_replicas();
        let zone_of = |member: &ReplicaMember| {
            let live = replicas.iter().find(|update| update.node == member.node);
            live.map(|update| update.zone)
        };
        members.iter().filter_map(zone_of).collect()
    }

    /// Number of standbys that precede this one in the join order.
    pub(super) fn standby_rank(&self, member_zones: &[u8], standbys: &[Standby]) -> u32 {
        let order = replica_set::join_order(member_zones, standbys);
        let rank = order.iter().position(|node| *node == self.own.node);
        rank.map_or(0, |rank| rank as u32)
    }

    /// Takes the next step toward joining the set. Removes a dead member if there is one, the set has more than two
    /// members, and enough members remain. Otherwise pulls everything from the members and becomes a member. In a set
    /// of two with a dead member, this replica takes the dead member's place.
    pub(super) async fn take_join_step(&self, set: &ReplicaSet) -> Result<bool, StepError> {
        let dead_member = self.dead_member(set);
        if let Some(rest) = decide_removal_before_join(set, self.target.tolerance, dead_member) {
            return self.change_set(set, rest).await;
        }
        let pulled = pull_from_members(&self.replica, &self.client, set, &self.own).await;
        self.check_set_unchanged(set)?;
        let is_newly_started = self.started_at.elapsed() < SILENT_MEMBER_WAIT;
        let facts = JoinFacts { set, own: self.own.node, pulled: &pulled, is_newly_started };
        match decide_join(&facts, || self.dead_member(set))? {
            JoinChange::Replace(dead) => self.replace_dead_member(set, dead).await,
            JoinChange::Add => self.change_set(set, replica_set::with_member(set, self.own)).await,
        }
    }

    /// The first member of the set that is dead and has been silent for long. None if there is no such member, or if
    /// this replica is a member itself.
    fn dead_member(&self, set: &ReplicaSet) -> Option<NodeId> {
        let is_newcomer = !replica_set::contains(set, self.own.node);
        let silent = self.silent_members.update_and_list_gone(set);
        let dead = silent.into_iter().find(|node| self.members.is_dead(*node));
        dead.filter(|_| is_newcomer)
    }

    /// Replaces the dead member of a set of two, once the other member is synced.
    async fn replace_dead_member(&self, set: &ReplicaSet, dead: NodeId) -> Result<bool, StepError> {
        let synced = self.send_set_to_members(set).await;
        self.check_set_unchanged(set)?;
        let next = decide_replacement(set, dead, self.own, &synced)?;
        self.write_set(set, next, &synced).await
    }
}
