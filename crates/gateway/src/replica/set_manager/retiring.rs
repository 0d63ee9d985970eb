//! When a member goes out of the set: its machine is retired, or it has been dead for long.
//!
//! [`may_retire`] and [`member_to_remove`] decide; here is the state of a retirement, and what is reported and written.

use super::{ReplicaSetManager, StepError};
use crate::locks::lock;
use crate::logging::part;
use foxnotch_turns::identity::node_id;
use foxnotch_turns::replica_set::{
    self, check_retired, may_retire, member_to_remove, RetirementDecision, RetirementFacts,
};
use foxnotch_wire::{NodeId, RegionId, ReplicaSet};
use std::time::{Duration, Instant};

/// Share of the time allowed for a retirement after which the set may become smaller than the tolerance needs: no
/// standby has joined, and the rest of the time is left for the other members to sync.
const STANDBY_WAIT_SHARE: f64 = 0.55;

/// A request to take this replica out of service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retirement {
    /// When it was seen.
    since: Instant,
    /// The time allowed.
    within: Duration,
    /// Whether the start of it was reported.
    started: bool,
    /// Whether it was reported as done.
    pub(super) done: bool,
}

impl ReplicaSetManager {
    /// Takes a request to retire this replica, if there is one.
    pub(super) fn note_retirement(&self) {
        let requests = self.view.get().retirements.value;
        let Some(request) = requests.iter().find(|request| request.name == self.name) else { return };
        let mut retirement = lock(&self.retirement);
        if retirement.is_none() {
            let within = Duration::from_millis(request.within_ms);
            let done = request.done;
            log::info!(target: part::REPLICA, "Retirement asked for: within={within:?} done={done}.");
            *retirement = Some(Retirement { since: Instant::now(), within, started: done, done });
        }
    }

    /// The replicas that are to retire, or have retired.
    pub(super) fn retiring(&self) -> Vec<NodeId> {
        self.view.get().retirements.value.iter().map(|request| node_id(&request.name)).collect()
    }

    /// The request to retire this replica.
    pub(super) fn retirement(&self) -> Option<Retirement> {
        *lock(&self.retirement)
    }

    fn mark_retirement(&self, mark: impl FnOnce(&mut Retirement)) {
        if let Some(retirement) = lock(&self.retirement).as_mut() {
            mark(retirement);
        }
    }

    /// Takes this replica out of the set, waits until the rest holds everything, reports.
    pub(super) async fn retire(&self, set: &ReplicaSet, retirement: Retirement) -> Result<bool, StepError> {
        if !retirement.started {
            self.store.report_retirement(self.name.clone(), false).await?;
            self.mark_retirement(|retirement| retirement.started = true);
        }
        if replica_set::contains(set, self.own.node) {
            return self.leave_set(set, retirement).await;
        }
        let synced = self.synced_members(set).await;
        self.check_current(set)?;
        let members_up = set.members.iter().filter(|member| self.members.is_reachable(member.node)).count();
        check_retired(set, &synced, members_up)?;
        self.store.report_retirement(self.name.clone(), true).await?;
        self.mark_retirement(|retirement| retirement.done = true);
        log::info!(target: part::REPLICA, "Retired: all turns are held by {} others.", synced.len());
        Ok(true)
    }

    /// Writes the set without this replica once it may go.
    async fn leave_set(&self, set: &ReplicaSet, retirement: Retirement) -> Result<bool, StepError> {
        let waited = retirement.since.elapsed().as_secs_f64();
        let facts = RetirementFacts {
            set,
            own: self.own.node,
            tolerance: self.target.tolerance,
            is_last_in_regions: self.is_last_in_regions(set),
            has_waited: waited > retirement.within.as_secs_f64() * STANDBY_WAIT_SHARE,
        };
        match may_retire(&facts)? {
            RetirementDecision::Leave(rest) => self.change_set(set, rest).await,
            RetirementDecision::WaitForStandby => Ok(false),
        }
    }

    /// Whether some of the bound texts that are held here may be held by no other member that is alive.
    fn is_last_in_regions(&self, set: &ReplicaSet) -> bool {
        let is_other = |node| node != self.own.node && !self.members.is_dead(node);
        let others = || set.members.iter().filter(|member| is_other(member.node));
        let is_last = |regions: &Vec<RegionId>| !others().any(|member| self.regions.may_hold(member.zone, regions));
        self.replica.turns().bound_regions().iter().any(is_last)
    }

    /// Takes out a member that has been silent for long, if this replica is the first of those alive and enough remain.
    pub(super) async fn remove_dead(&self, set: &ReplicaSet) -> Result<bool, StepError> {
        let long_silent = self.silent_members.note_and_list(set);
        let is_dead = |node| self.members.is_dead(node);
        let removed = member_to_remove(set, self.own.node, self.target.tolerance, &long_silent, is_dead);
        let Some(node) = removed else { return Ok(false) };
        log::info!(
            target: part::REPLICA,
            "Node {node} has been silent for long and is taken out of replica set {}.",
            set.version,
        );
        self.change_set(set, replica_set::without_member(set, node)).await
    }
}
