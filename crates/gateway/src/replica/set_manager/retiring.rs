//! Removes a member from the set when its machine is retired, or when it has been dead for long.
//!
//! [`decide_retirement`] and [`member_to_remove`] decide whether to remove a member. This module holds the state of a
//! retirement, reports its progress to the platform's store and writes the next version of the set.

use super::{ReplicaSetManager, StepError};
use crate::locks::lock;
use crate::logging::part;
use foxnotch_turns::identity::node_id;
use foxnotch_turns::replica_set::{
    self, check_retirement_complete, decide_retirement, member_to_remove, RetirementDecision, RetirementFacts,
    SilentNodes,
};
use foxnotch_wire::{NodeId, RegionId, ReplicaSet};
use std::time::{Duration, Instant};

/// Time for which a retiring member waits for a standby to join, as a fraction of the time allowed for the retirement.
/// Afterwards the set may become smaller than the tolerance needs; the rest of the time is for the other members to
/// sync.
const STANDBY_WAIT_FRACTION: f64 = 0.55;

/// A request to retire this replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retirement {
    /// When this replica received the request.
    requested_at: Instant,
    /// The time allowed for the retirement.
    allowed_time: Duration,
    /// Whether the start of the retirement was reported to the platform's store.
    started: bool,
    /// Whether the completion of the retirement was reported to the platform's store.
    pub(super) done: bool,
}

impl ReplicaSetManager {
    /// Records a request to retire this replica, if the view has one.
    pub(super) fn record_retirement_request(&self) {
        let requests = self.view.get().retirements.value;
        let Some(request) = requests.iter().find(|request| request.name == self.name) else { return };
        let mut retirement = lock(&self.retirement);
        if retirement.is_none() {
            let allowed_time = Duration::from_millis(request.within_ms);
            let done = request.done;
            log::info!(
                target: part::REPLICA,
                "Retirement of this replica requested (`within` is the time allowed, `done` tells whether the \
                 retirement has already been completed): within={allowed_time:?} done={done}.",
            );
            *retirement = Some(Retirement { requested_at: Instant::now(), allowed_time, started: done, done });
        }
    }

    /// The replicas that are to be retired, or have been retired.
    pub(super) fn retiring_nodes(&self) -> Vec<NodeId> {
        self.view.get().retirements.value.iter().map(|request| node_id(&request.name)).collect()
    }

    /// The request to retire this replica; none if there is no such request.
    pub(super) fn retirement(&self) -> Option<Retirement> {
        *lock(&self.retirement)
    }

    fn update_retirement(&self, change: impl FnOnce(&mut Retirement)) {
        if let Some(retirement) = lock(&self.retirement).as_mut() {
            change(retirement);
        }
    }

    /// Takes the next step of retiring this replica: reports the start of the retirement, removes this replica from the
    /// set, and, once the other members have stored everything, reports the retirement as done.
    pub(super) async fn retire(&self, set: &ReplicaSet, retirement: Retirement) -> Result<bool, StepError> {
        if !retirement.started {
            self.store.report_retirement(self.name.clone(), false).await?;
            self.update_retirement(|retirement| retirement.started = true);
        }
        if replica_set::contains(set, self.own.node) {
            return self.leave_set(set, retirement).await;
        }
        let synced = self.send_set_to_members(set).await;
        self.check_set_unchanged(set)?;
        let members_up = set.members.iter().filter(|member| self.members.is_reachable(member.node)).count();
        check_retirement_complete(set, &synced, members_up)?;
        self.store.report_retirement(self.name.clone(), true).await?;
        self.update_retirement(|retirement| retirement.done = true);
        log::info!(target: part::REPLICA, "Retired: all turns are stored by {} other replicas.", synced.len());
        Ok(true)
    }

    /// Writes the set without this replica once [`decide_retirement`] allows it.
    async fn leave_set(&self, set: &ReplicaSet, retirement: Retirement) -> Result<bool, StepError> {
        let waited = retirement.requested_at.elapsed().as_secs_f64();
        let facts = RetirementFacts {
            set,
            own: self.own.node,
            tolerance: self.target.tolerance,
            is_last_in_regions: self.is_last_in_regions(set),
            has_waited: waited > retirement.allowed_time.as_secs_f64() * STANDBY_WAIT_FRACTION,
        };
        match decide_retirement(&facts)? {
            RetirementDecision::Leave(rest) => self.change_set(set, rest).await,
            RetirementDecision::WaitForStandby => Ok(false),
        }
    }

    /// Whether this replica stores text that is restricted to regions in which no other live member is.
    fn is_last_in_regions(&self, set: &ReplicaSet) -> bool {
        let is_other = |node| node != self.own.node && !self.members.is_dead(node);
        let others = || set.members.iter().filter(|member| is_other(member.node));
        let is_last =
            |regions: &Vec<RegionId>| !others().any(|member| self.regions.may_store_text(member.zone, regions));
        self.replica.turns().region_lists_of_restricted_texts().iter().any(is_last)
    }

    /// Removes a member that has been silent for long, if this replica is the first live member of the set and
    /// enough members remain.
    pub(super) async fn remove_dead_member(&self, set: &ReplicaSet) -> Result<bool, StepError> {
        let long_silent = self.silent_members.update_and_list_gone(set);
        let gone_for_good = self.silent_members.list_gone_for_good(set);
        let silent = SilentNodes { long_silent: &long_silent, gone_for_good: &gone_for_good };
        let is_dead = |node| self.members.is_dead(node);
        let removed = member_to_remove(set, self.own.node, self.target.tolerance, silent, is_dead);
        let Some(node) = removed else { return Ok(false) };
        log::info!(
            target: part::REPLICA,
            "Node {node} has been silent for long and is being removed from the replica set, which is at version {}.",
            set.version,
        );
        self.change_set(set, replica_set::without_member(set, node)).await
    }
}
