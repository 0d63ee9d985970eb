//! Keeps the replica set whole: founds it, joins it while it is too small, refills, syncs after each change, takes out
//! members that are gone, and leaves when its machine is retired.
//!
//! The set has as many members as the tolerance needs, however many replicas run: each turn is written to all members. The
//! other replicas stand by, hold nothing, and take the places of members that are lost or leave.
//!
//! One step at a time; each step may fail and is taken again. Only compare-and-swap on the platform's store changes the
//! set.

use crate::locks::lock;
use crate::logging::part;
use crate::peers::members::{socket_of, Members};
use crate::peers::rpc_client::RpcClient;
use crate::peers::view::{Origin, ViewHolder};
use crate::ports::store::{Freshness, Kind, MetadataStore, ObjectBody, StoreError};
use crate::replica::core::ReplicaCore;
use crate::replica::sync::{address_of, pull_all, Heard};
use foxnotch_turns::identity::node_id;
use foxnotch_turns::replica_set::{self, SetTarget, Standby};
use foxnotch_wire::{NodeId, ReplicaMember, ReplicaSet, RpcBody, SetNews};
use futures_util::future::join_all;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two steps while something is to be done.
const BUSY_PERIOD: Duration = Duration::from_millis(150);
/// Time between two looks while nothing is to be done.
const REST_PERIOD: Duration = Duration::from_millis(500);
/// Time for one exchange about the set.
const SET_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which a member that membership holds for dead is taken out.
const REMOVAL_DELAY: Duration = Duration::from_millis(1500);
/// Time for which a member may stay unknown after this process has started.
const UNKNOWN_DELAY: Duration = Duration::from_secs(6);
/// Time after the start in which a replica of a new deployment hears of others, before the first of them founds the set.
const FOUNDING_DELAY: Duration = Duration::from_millis(400);
/// Time by which each further replica waits longer before it founds the set, in case those before it cannot.
const FOUNDING_PATIENCE: Duration = Duration::from_millis(400);
/// Time by which each further standby waits longer before it joins, in case those before it cannot.
const JOINING_PATIENCE: Duration = Duration::from_millis(1000);
/// Time after the start for which a newcomer waits for members that it does not hear and that are not dead.
const UNHEARD_DELAY: Duration = Duration::from_secs(8);
/// Share of the time allowed for a retirement after which the set may become smaller than is safe for a further loss.
const PATIENCE: f64 = 0.55;

/// A request to take this replica out of service.
#[derive(Clone, Copy, Debug)]
pub struct Retirement {
    /// When it was seen.
    pub since: Instant,
    /// The time allowed.
    pub within: Duration,
    /// Whether the start of it was reported.
    pub started: bool,
    /// Whether it was reported as done.
    pub done: bool,
}

/// Why a step was not taken.
#[derive(Debug, thiserror::Error)]
enum StepError {
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("the set has changed meanwhile")]
    Overtaken,
    #[error("no majority is synced to version {0} yet; check that the other replicas run")]
    NotSynced(u64),
    #[error("only {0} replicas would remain; add a machine with a disk, then this one can go")]
    TooFewRemain(usize),
    #[error("{0} members of the set do not answer; they are taken out once they are found dead")]
    Unheard(usize),
    #[error("too few complete replicas were heard ({0}); check that the other replicas run")]
    TooFewHeard(usize),
}

/// Takes the steps.
pub struct Steward {
    core: Arc<ReplicaCore>,
    client: Arc<RpcClient>,
    members: Arc<Members>,
    view: Arc<ViewHolder>,
    store: Arc<dyn MetadataStore>,
    own: ReplicaMember,
    name: String,
    target: SetTarget,
    retirement: Mutex<Option<Retirement>>,
    silent_since: Mutex<HashMap<NodeId, Instant>>,
    /// Since when this version of the set has been too small.
    too_small: Mutex<Option<TooSmall>>,
    started_at: Instant,
}

/// A version of the set that has too few members.
#[derive(Clone, Copy, Debug)]
struct TooSmall {
    version: u64,
    since: Instant,
}

/// What the steward works with.
pub struct StewardParts {
    /// The replica.
    pub core: Arc<ReplicaCore>,
    /// Asks other nodes.
    pub client: Arc<RpcClient>,
    /// The members.
    pub members: Arc<Members>,
    /// The view.
    pub view: Arc<ViewHolder>,
    /// The platform's store.
    pub store: Arc<dyn MetadataStore>,
    /// This replica as a member.
    pub own: ReplicaMember,
    /// This node's name.
    pub name: String,
    /// How large the set is to be.
    pub target: SetTarget,
}

impl Steward {
    /// A steward that has not begun.
    pub fn new(parts: StewardParts) -> Self {
        let StewardParts { core, client, members, view, store, own, name, target } = parts;
        let retirement = Mutex::default();
        let silent_since = Mutex::default();
        Self {
            core,
            client,
            members,
            view,
            store,
            own,
            name,
            target,
            retirement,
            silent_since,
            too_small: Mutex::default(),
            started_at: Instant::now(),
        }
    }

    /// Takes a request to retire this replica, if there is one.
    fn note_retirement(&self) {
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

    /// The replicas that are to leave, or have left.
    fn retiring(&self) -> Vec<NodeId> {
        self.view.get().retirements.value.iter().map(|request| node_id(&request.name)).collect()
    }

    fn retirement(&self) -> Option<Retirement> {
        *lock(&self.retirement)
    }

    fn mark_retirement(&self, mark: impl FnOnce(&mut Retirement)) {
        if let Some(retirement) = lock(&self.retirement).as_mut() {
            mark(retirement);
        }
    }

    /// Takes steps for ever.
    pub async fn run(self: Arc<Self>) {
        let mut last_problem = String::new();
        loop {
            let period = match self.step().await {
                Ok(true) => BUSY_PERIOD,
                Ok(false) => REST_PERIOD,
                Err(error) => {
                    let problem = error.to_string();
                    if problem != last_problem {
                        log::info!(target: part::REPLICA, "A step waits: {problem}.");
                        last_problem = problem;
                    }
                    BUSY_PERIOD
                }
            };
            tokio::time::sleep(period).await;
        }
    }

    /// Takes one step. Returns whether another may follow at once.
    async fn step(&self) -> Result<bool, StepError> {
        let newest = self.view.set();
        self.core.adopt_set(&newest, Origin::Peer).await;
        self.note_retirement();
        let state = self.core.state();
        if state.set.version == 0 {
            return self.found(state.complete == 1).await;
        }
        if state.complete != 1 {
            return self.refill(&state.set).await;
        }
        if replica_set::contains(&state.set, self.own.node) && state.synced < state.set.version {
            return self.sync(&state.set).await;
        }
        if let Some(retirement) = self.retirement().filter(|retirement| !retirement.done) {
            return self.leave(&state.set, retirement).await;
        }
        if self.retirement().is_none() && self.is_wanted(&state.set) {
            return self.join(&state.set).await;
        }
        self.remove_dead(&state.set).await
    }

    /// Whether this replica is to join: it is a member under an address that it no longer has, or the set has too few
    /// members and no standby before this one has joined in time.
    fn is_wanted(&self, set: &ReplicaSet) -> bool {
        if let Some(member) = replica_set::member(set, self.own.node) {
            return *member != self.own;
        }
        let Some(since) = self.too_small_since(set) else { return false };
        let zones = self.zones_of(&self.staying(set));
        let rank = self.rank_among(&zones, &self.standbys(set));
        since.elapsed() >= JOINING_PATIENCE * rank
    }

    /// Since when this version of the set has been too small, as this replica sees it.
    fn too_small_since(&self, set: &ReplicaSet) -> Option<Instant> {
        let reached = self.target.is_reached_by(&self.staying(set));
        let mut too_small = lock(&self.too_small);
        if reached {
            *too_small = None;
            return None;
        }
        let known = too_small.filter(|known| known.version == set.version);
        let noted = known.unwrap_or(TooSmall { version: set.version, since: Instant::now() });
        *too_small = Some(noted);
        Some(noted.since)
    }

    /// The members that are neither lost nor about to leave.
    fn staying(&self, set: &ReplicaSet) -> Vec<ReplicaMember> {
        let retiring = self.retiring();
        let lost = self.long_silent(set);
        let stays = |member: &&ReplicaMember| !retiring.contains(&member.node) && !lost.contains(&member.node);
        set.members.iter().filter(stays).copied().collect()
    }

    /// The replicas that could join, this one included.
    fn standbys(&self, set: &ReplicaSet) -> Vec<Standby> {
        let retiring = self.retiring();
        let replicas = self.members.standing_replicas().into_iter();
        let free =
            replicas.filter(|update| !replica_set::contains(set, update.node) && !retiring.contains(&update.node));
        free.map(|update| Standby { node: update.node, zone: update.zone }).collect()
    }

    /// The zones of members that membership knows.
    fn zones_of(&self, members: &[ReplicaMember]) -> Vec<u8> {
        let replicas = self.members.standing_replicas();
        let zone_of = |member: &ReplicaMember| {
            let known = replicas.iter().find(|update| update.node == member.node);
            known.map(|update| update.zone)
        };
        members.iter().filter_map(zone_of).collect()
    }

    /// How many standbys go before this one.
    fn rank_among(&self, member_zones: &[u8], standbys: &[Standby]) -> u32 {
        let order = replica_set::join_order(member_zones, standbys);
        let rank = order.iter().position(|node| *node == self.own.node);
        rank.map_or(0, |rank| rank as u32)
    }

    /// Whether it is this replica's turn to found the set of a new deployment.
    fn may_found(&self) -> bool {
        let rank = self.rank_among(&[], &self.standbys(&ReplicaSet::default()));
        self.started_at.elapsed() >= FOUNDING_DELAY + FOUNDING_PATIENCE * rank
    }

    /// Finds the set in the store, or writes the first one.
    async fn found(&self, complete: bool) -> Result<bool, StepError> {
        if complete && !self.may_found() {
            return Ok(false);
        }
        if let Some((set, _)) = self.read_set().await? {
            self.core.adopt_set(&set, Origin::Store).await;
            return Ok(true);
        }
        if !complete {
            return Ok(false);
        }
        let set = replica_set::founding(self.own);
        self.store.write_replica_set(set.clone(), None).await?;
        log::info!(target: part::REPLICA, "Replica set founded: member={}.", self.own.node);
        self.core.adopt_set(&set, Origin::Store).await;
        self.tell_standbys(&set).await;
        Ok(true)
    }

    async fn read_set(&self) -> Result<Option<(ReplicaSet, u64)>, StoreError> {
        let listing = self.store.list(Kind::ReplicaSet, Freshness::Newest).await?;
        let found = listing.objects.into_iter().find_map(|object| match object.body {
            ObjectBody::ReplicaSet(set) => Some((set, object.revision)),
            _ => None,
        });
        Ok(found)
    }

    /// Fills an empty replica. Whether or not it is a member, it counts for nothing before.
    async fn refill(&self, set: &ReplicaSet) -> Result<bool, StepError> {
        let heard = pull_all(&self.core, &self.client, set, &self.own).await;
        self.check_current(set)?;
        let counted = complete_members(&heard, &set.members);
        let before = complete_members(&heard, &set.previous);
        let earlier = set.previous.is_empty()
            || is_any_synced(&heard, set)
            || before >= replica_set::refill_quorum(set.previous.len());
        if counted < replica_set::refill_quorum(set.members.len()) || !earlier {
            return Err(StepError::TooFewHeard(counted));
        }
        let version = set.version;
        let is_member = replica_set::contains(set, self.own.node);
        let written = self
            .core
            .change_state(move |state| {
                if state.set.version == version {
                    state.complete = 1;
                    state.synced = if is_member { version } else { 0 };
                }
            })
            .await;
        log::info!(target: part::REPLICA, "Refilled: heard={counted} set={version} written={}.", written.is_ok());
        Ok(true)
    }

    /// Pulls what a majority of the version before holds.
    async fn sync(&self, set: &ReplicaSet) -> Result<bool, StepError> {
        let heard = pull_all(&self.core, &self.client, set, &self.own).await;
        self.check_current(set)?;
        let complete: Vec<NodeId> = heard.iter().filter(|heard| heard.complete).map(|heard| heard.node).collect();
        if !is_any_synced(&heard, set) && !replica_set::covers_previous(set, self.own.node, &complete) {
            return Err(StepError::TooFewHeard(complete.len()));
        }
        let version = set.version;
        let written = self
            .core
            .change_state(move |state| {
                if state.set.version == version {
                    state.synced = version;
                }
            })
            .await;
        log::info!(target: part::REPLICA, "Synced to replica set {version}: heard={} written={}.", complete.len(), written.is_ok());
        Ok(true)
    }

    fn check_current(&self, set: &ReplicaSet) -> Result<(), StepError> {
        if self.core.set().version == set.version {
            Ok(())
        } else {
            Err(StepError::Overtaken)
        }
    }

    /// Tells all members the set and asks which are synced to it.
    async fn synced_members(&self, set: &ReplicaSet) -> Vec<NodeId> {
        let own = self.core.state();
        let news = SetNews { set: set.clone(), synced: own.synced };
        let asks = set.members.iter().filter(|member| member.node != self.own.node).map(|member| {
            let body = RpcBody::AdoptSet(news.clone());
            let patience = self.core.patience(member.node, SET_TIMEOUT);
            async move { (member.node, self.client.call(address_of(member), body, patience).await) }
        });
        let mut synced = Vec::new();
        for (node, answer) in join_all(asks).await {
            let Ok(RpcBody::SetKnown(news)) = answer else { continue };
            self.core.adopt_set(&news.set, Origin::Peer).await;
            if news.synced == set.version {
                synced.push(node);
            }
        }
        if replica_set::contains(set, self.own.node) && own.synced == set.version {
            synced.push(self.own.node);
        }
        synced
    }

    /// Writes the next version if the present one allows it, and tells all members.
    async fn change_set(&self, set: &ReplicaSet, next: ReplicaSet) -> Result<bool, StepError> {
        let synced = self.synced_members(set).await;
        self.check_current(set)?;
        if !replica_set::may_follow(set, &synced) {
            return Err(StepError::NotSynced(set.version));
        }
        self.write_set(set, next, &synced).await
    }

    /// Writes the next version by compare-and-swap, and tells all members.
    async fn write_set(&self, set: &ReplicaSet, next: ReplicaSet, synced: &[NodeId]) -> Result<bool, StepError> {
        let Some((stored, revision)) = self.read_set().await? else { return Err(StepError::Overtaken) };
        if stored.version != set.version {
            self.core.adopt_set(&stored, Origin::Store).await;
            return Err(StepError::Overtaken);
        }
        self.store.write_replica_set(next.clone(), Some(revision)).await?;
        log::info!(target: part::REPLICA, "Replica set changed: version={} members={:?} synced={synced:?}.", next.version, next.members.iter().map(|member| member.node.0).collect::<Vec<_>>());
        self.core.adopt_set(&next, Origin::Store).await;
        tokio::join!(self.synced_members(&next), self.tell_standbys(&next));
        Ok(true)
    }

    /// Tells the replicas that stand by of the set. One that does not hear it learns it from the platform's store.
    async fn tell_standbys(&self, set: &ReplicaSet) {
        let news = SetNews { set: set.clone(), synced: self.core.state().synced };
        let replicas = self.members.standing_replicas().into_iter();
        let others = replicas.filter(|update| update.node != self.own.node && !replica_set::contains(set, update.node));
        let tells = others.filter_map(|update| {
            let address = socket_of(&update.address)?;
            Some(self.client.call(address, RpcBody::AdoptSet(news.clone()), SET_TIMEOUT))
        });
        let told = join_all(tells).await;
        let heard = told.iter().filter(|answer| answer.is_ok()).count();
        log::debug!(target: part::REPLICA, "Standbys told of replica set {}: heard={heard} of={}.", set.version, told.len());
    }

    /// Becomes a member, with all that the members hold. A lost member is taken out first.
    async fn join(&self, set: &ReplicaSet) -> Result<bool, StepError> {
        if let Some(rest) = self.rest_of_larger(set) {
            return self.change_set(set, rest).await;
        }
        let heard = pull_all(&self.core, &self.client, set, &self.own).await;
        self.check_current(set)?;
        let counted = complete_members(&heard, &set.members);
        let own = usize::from(replica_set::contains(set, self.own.node));
        if counted + own < replica_set::refill_quorum(set.members.len()) {
            return Err(StepError::TooFewHeard(counted));
        }
        if let Some(lost) = self.lost_of_two(set) {
            return self.replace(set, lost).await;
        }
        if counted + own < set.members.len() && self.started_at.elapsed() < UNHEARD_DELAY {
            // A member that does not answer is either found dead soon, and then taken out first, or it answers again.
            return Err(StepError::Unheard(set.members.len() - counted - own));
        }
        self.change_set(set, replica_set::with_member(set, self.own)).await
    }

    /// The member that is dead, while this replica is none.
    fn lost_member(&self, set: &ReplicaSet) -> Option<NodeId> {
        let is_newcomer = !replica_set::contains(set, self.own.node);
        let dead = self.long_silent(set).into_iter().find(|node| self.members.is_dead(*node));
        dead.filter(|_| is_newcomer)
    }

    /// In a set of two: the member that is dead.
    fn lost_of_two(&self, set: &ReplicaSet) -> Option<NodeId> {
        self.lost_member(set).filter(|_| set.members.len() == 2)
    }

    /// In a larger set: the set without the member that is dead. That one is taken out before this replica joins: a set
    /// that has grown around a dead member would lose its majority for good with the next loss.
    fn rest_of_larger(&self, set: &ReplicaSet) -> Option<ReplicaSet> {
        let lost = self.lost_member(set).filter(|_| set.members.len() > 2)?;
        let rest = replica_set::without_member(set, lost);
        let losses = self.target.tolerance.losses(&rest.members);
        (rest.members.len() > losses).then_some(rest)
    }

    /// Takes the place of the dead member of a set of two, once the other is synced.
    async fn replace(&self, set: &ReplicaSet, lost: NodeId) -> Result<bool, StepError> {
        let synced = self.synced_members(set).await;
        self.check_current(set)?;
        if !set.members.iter().all(|member| member.node == lost || synced.contains(&member.node)) {
            return Err(StepError::NotSynced(set.version));
        }
        self.write_set(set, replica_set::with_replacement(set, lost, self.own), &synced).await
    }

    /// Leaves the set, waits until the rest holds everything, reports.
    async fn leave(&self, set: &ReplicaSet, retirement: Retirement) -> Result<bool, StepError> {
        if !retirement.started {
            self.store.report_retirement(self.name.clone(), false).await?;
            self.mark_retirement(|retirement| retirement.started = true);
        }
        if replica_set::contains(set, self.own.node) {
            let rest = replica_set::without_member(set, self.own.node);
            let remaining = rest.members.len();
            if remaining <= self.target.tolerance.losses(&rest.members) {
                // Without this replica a loss of disks that has to be borne would take acknowledged turns along.
                return Err(StepError::TooFewRemain(remaining));
            }
            let safe = self.may_shrink(set);
            let waited = retirement.since.elapsed().as_secs_f64() > retirement.within.as_secs_f64() * PATIENCE;
            if !safe && !waited {
                return Ok(false);
            }
            return self.change_set(set, rest).await;
        }
        let synced = self.synced_members(set).await;
        self.check_current(set)?;
        let reachable = set.members.iter().filter(|member| self.members.is_reachable(member.node)).count();
        if !replica_set::may_follow(set, &synced) || synced.len() < reachable {
            return Err(StepError::NotSynced(set.version));
        }
        self.store.report_retirement(self.name.clone(), true).await?;
        self.mark_retirement(|retirement| retirement.done = true);
        log::info!(target: part::REPLICA, "Retired: all turns are held by {} others.", synced.len());
        Ok(true)
    }

    /// Takes out a member that has been silent for long, if this replica is the first of those alive and enough remain.
    async fn remove_dead(&self, set: &ReplicaSet) -> Result<bool, StepError> {
        let dead = self.long_silent(set).first().copied();
        let alive = |member: &&ReplicaMember| member.node == self.own.node || !self.members.is_dead(member.node);
        let first = set.members.iter().find(alive).map(|member| member.node);
        let Some(node) = dead.filter(|_| self.may_shrink(set) && first == Some(self.own.node)) else {
            return Ok(false);
        };
        log::info!(target: part::REPLICA, "Node {node} has been silent for long and is taken out of replica set {}.", set.version);
        self.change_set(set, replica_set::without_member(set, node)).await
    }

    /// Whether a set with one member less still serves after every loss that has to be borne.
    fn may_shrink(&self, set: &ReplicaSet) -> bool {
        set.members.len() > 2 * self.target.tolerance.losses(&set.members) + 1
    }

    /// The members that have been dead, or never heard of, for long.
    fn long_silent(&self, set: &ReplicaSet) -> Vec<NodeId> {
        let others = set.members.iter().map(|member| member.node).filter(|node| *node != self.own.node);
        let silent: Vec<NodeId> = others.filter(|node| !self.members.is_reachable(*node)).collect();
        let mut silent_since = lock(&self.silent_since);
        silent_since.retain(|node, _| silent.contains(node));
        for node in &silent {
            silent_since.entry(*node).or_insert_with(Instant::now);
        }
        let is_long_silent = |node: &NodeId| {
            let delay = if self.members.is_dead(*node) { REMOVAL_DELAY } else { UNKNOWN_DELAY };
            silent_since.get(node).is_some_and(|since| since.elapsed() > delay)
        };
        silent.into_iter().filter(is_long_silent).collect()
    }
}

/// Whether one of those heard is synced to the set: it holds all that was acknowledged under earlier versions, so the
/// members of those need not be heard any more; some may be gone for good.
fn is_any_synced(heard: &[Heard], set: &ReplicaSet) -> bool {
    heard.iter().any(|heard| heard.complete && heard.synced == set.version)
}

fn complete_members(heard: &[Heard], members: &[ReplicaMember]) -> usize {
    let is_complete = |member: &&ReplicaMember| heard.iter().any(|heard| heard.complete && heard.node == member.node);
    members.iter().filter(is_complete).count()
}
