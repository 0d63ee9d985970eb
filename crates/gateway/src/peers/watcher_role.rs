//! Decides which nodes watch the platform's store.
//!
//! Each call to the store costs money, and all machines share the store's rate limit, so only two gateways of the whole
//! fleet watch the store. The gateways of a zone form groups of sixteen, and two of each group are its heads. The
//! watchers send store updates to all heads, and each head forwards them to its group. A node that gets no recent
//! update watches the store itself until such an update arrives, so no node depends on another for longer than
//! [`WatcherTimes::contact_limit`].
//!
//! The module performs no I/O.

use crate::locks::lock;
use crate::ports::store::Kind;
use foxnotch_wire::NodeId;
use std::collections::{BTreeMap, HashSet};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Number of gateways that watch the store for the whole fleet. If one of the two fails, or the store rejects its
/// calls, the other one still watches, and no third gateway has to. More watchers cost more calls: with one watcher for
/// each 16 gateways, a fleet of 51 gateways made 962 calls a day.
const WATCHER_COUNT: usize = 2;
/// Maximum number of gateways in a group, all of one zone. It bounds the traffic of a head, which sends about 2 KB per
/// second to a whole group.
const GROUP_SIZE: usize = 16;
/// Number of heads in each group, which forward the watchers' updates to the group. With two, one may fail.
const HEADS_PER_GROUP: usize = 2;
/// Age at which the store's last answer is too old to rely on, as a fraction of the change limit (the time within which
/// a change has to be in force everywhere).
const CONTACT_LIMIT_FRACTION: f64 = 0.6;
/// Time from the start of a watcher's process until it watches the store, as a fraction of the change limit. A watcher
/// has to find the other members first.
const WATCHER_START_FRACTION: f64 = 0.2;
/// Time without an update after which a node watches the store itself, as fractions of the change limit: for the first
/// head of a group, the second, and all other nodes. Heads begin earlier because other nodes depend on them.
const SILENCE_LIMIT_FRACTIONS: [f64; 3] = [0.35, 0.43, 0.5];
/// Time between two updates of a watching gateway, as a fraction of the change limit.
const UPDATE_PERIOD_FRACTION: f64 = 0.12;
/// Time between two probes of the store, as a fraction of the change limit.
const PROBE_PERIOD_FRACTION: f64 = 0.24;

/// Periods and limits that follow from a deployment's change limit.
#[derive(Clone, Copy, Debug)]
pub struct WatcherTimes {
    /// The change limit: the time within which a change has to be in force on all nodes.
    pub change_limit: Duration,
    /// Age at which the store's last answer is too old to rely on. A node whose updates are based on an older answer
    /// watches the store itself.
    pub contact_limit: Duration,
    /// Time between two updates of a watching gateway.
    pub update_period: Duration,
    /// Time between two probes of the store.
    pub probe_period: Duration,
}

impl WatcherTimes {
    /// Computes the times for a deployment with this change limit.
    pub fn for_change_limit(change_limit: Duration) -> Self {
        Self {
            change_limit,
            contact_limit: change_limit.mul_f64(CONTACT_LIMIT_FRACTION),
            update_period: change_limit.mul_f64(UPDATE_PERIOD_FRACTION),
            probe_period: change_limit.mul_f64(PROBE_PERIOD_FRACTION),
        }
    }

    /// Time without an update after which a node of this rank watches the store itself. It is counted from the last
    /// update, or from the node's start if there was none.
    pub fn silence_limit(&self, rank: Rank) -> Duration {
        let fraction = match rank {
            Rank::Watcher => WATCHER_START_FRACTION,
            Rank::FirstHead => SILENCE_LIMIT_FRACTIONS[0],
            Rank::OtherHead => SILENCE_LIMIT_FRACTIONS[1],
            Rank::Listener => SILENCE_LIMIT_FRACTIONS[2],
        };
        self.change_limit.mul_f64(fraction)
    }
}

/// A node's rank in the distribution of store updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rank {
    /// Watches the store and sends updates to the heads.
    Watcher,
    /// Gets updates from the watchers and forwards them to its group.
    FirstHead,
    /// Same as the first head but, if no updates arrive, begins to watch the store itself a little later.
    OtherHead,
    /// Gets updates from the heads of its group.
    #[default]
    Listener,
}

/// A node and the number of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeInZone {
    /// The node's identifier.
    pub node: NodeId,
    /// The number of the node's zone.
    pub zone: u8,
}

/// A node's rank and receivers, computed from the members that the node knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// The node's rank, which determines when it watches the store itself.
    pub rank: Rank,
    /// The nodes to which the node sends updates.
    pub receivers: Vec<NodeId>,
}

/// The gateways of each zone, ordered by identifier. Identifiers are hashes of the nodes' names, so the order is
/// unrelated to the machines on which the gateways run.
type GatewaysByZone = BTreeMap<u8, Vec<NodeId>>;

fn group_gateways_by_zone(gateways: &[NodeInZone]) -> GatewaysByZone {
    let mut zones = GatewaysByZone::new();
    for gateway in gateways {
        zones.entry(gateway.zone).or_default().push(gateway.node);
    }
    for nodes in zones.values_mut() {
        nodes.sort_unstable();
        nodes.dedup();
    }
    zones
}

/// Selects the gateways that watch the store. They are the first gateways of different zones or, if there are too few
/// zones, the first gateways of one zone.
fn select_watchers(zones: &GatewaysByZone) -> Vec<NodeId> {
    let mut ordered: Vec<(usize, NodeId)> = Vec::new();
    for nodes in zones.values() {
        ordered.extend(nodes.iter().take(WATCHER_COUNT).enumerate().map(|(position, node)| (position, *node)));
    }
    ordered.sort_unstable();
    ordered.into_iter().take(WATCHER_COUNT).map(|(_, node)| node).collect()
}

fn group_heads(zones: &GatewaysByZone) -> impl Iterator<Item = NodeId> + '_ {
    zones
        .values()
        .flat_map(|nodes| nodes.chunks(GROUP_SIZE))
        .flat_map(|group| group.iter().take(HEADS_PER_GROUP).copied())
}

/// Computes the assignment of `own`, which may be a gateway or a replica. All nodes that know the same members compute
/// consistent assignments.
pub fn compute_watcher_assignment(own: NodeInZone, gateways: &[NodeInZone], replicas: &[NodeInZone]) -> Assignment {
    let zones = group_gateways_by_zone(gateways);
    let watchers = select_watchers(&zones);
    let mut receivers = Vec::new();
    let mut rank = Rank::Listener;
    let zone = zones.get(&own.zone).map_or(&[][..], Vec::as_slice);
    if let Some(position) = zone.iter().position(|node| *node == own.node) {
        let position_in_group = position % GROUP_SIZE;
        if position_in_group < HEADS_PER_GROUP {
            rank = if position_in_group == 0 { Rank::FirstHead } else { Rank::OtherHead };
            let group = zone.iter().skip(position - position_in_group).take(GROUP_SIZE);
            receivers.extend(group.skip(HEADS_PER_GROUP).copied());
        }
        if position < HEADS_PER_GROUP {
            // Replicas are few, so the heads of their zone's first group send updates to all of them.
            receivers.extend(replicas.iter().filter(|replica| replica.zone == own.zone).map(|replica| replica.node));
        }
    }
    if watchers.contains(&own.node) {
        rank = Rank::Watcher;
        receivers.extend(group_heads(&zones).filter(|head| !watchers.contains(head)));
        let without_gateways = replicas.iter().filter(|replica| !zones.contains_key(&replica.zone));
        receivers.extend(without_gateways.map(|replica| replica.node));
    }
    receivers.retain(|node| *node != own.node);
    receivers.sort_unstable();
    receivers.dedup();
    Assignment { rank, receivers }
}

/// The last update that this node has received and caught up with.
#[derive(Clone, Copy, Debug)]
struct ReceivedUpdate {
    at: Instant,
    /// When the store last answered a node that watches it, according to this update and all earlier ones.
    contact_at: Instant,
}

#[derive(Debug)]
struct RoleState {
    rank: Rank,
    started_at: Instant,
    update: Option<ReceivedUpdate>,
    /// When the store last answered this node.
    contact_at: Option<Instant>,
    /// Kinds of objects for which this node's last call to the store failed.
    failing: HashSet<Kind>,
    /// Until this time, set by [`WatcherRole::watch_on_demand`], this node watches the store even if it gets updates.
    demanded_until: Option<Instant>,
}

/// Decides whether this node has to watch the store, and records when the store last answered it.
#[derive(Debug)]
pub struct WatcherRole {
    times: WatcherTimes,
    state: Mutex<RoleState>,
    must_watch: watch::Sender<bool>,
    /// Number of probes that the store did not answer.
    unanswered_probes: watch::Sender<u64>,
    /// Number of recorded answers of the store.
    answers: watch::Sender<u64>,
}

impl WatcherRole {
    /// Creates the state of a node that has just started. The node waits for its first update as long as for later
    /// ones.
    pub fn new(times: WatcherTimes) -> Self {
        let state = RoleState {
            rank: Rank::Listener,
            started_at: Instant::now(),
            update: None,
            contact_at: None,
            failing: HashSet::new(),
            demanded_until: None,
        };
        Self {
            times,
            state: Mutex::new(state),
            must_watch: watch::Sender::new(false),
            unanswered_probes: watch::Sender::new(0),
            answers: watch::Sender::new(0),
        }
    }

    /// The times that follow from the change limit.
    pub fn times(&self) -> WatcherTimes {
        self.times
    }

    fn state(&self) -> MutexGuard<'_, RoleState> {
        lock(&self.state)
    }

    /// Records that the store has just answered this node.
    pub fn record_contact(&self) {
        self.state().contact_at = Some(Instant::now());
        self.answers.send_modify(|count| *count += 1);
    }

    /// Waits until the store answers this node again, at most for `limit`.
    pub async fn wait_until_answered(&self, limit: Duration) {
        let mut answers = self.answers.subscribe();
        // An answer and the timeout both end the wait.
        let _ = tokio::time::timeout(limit, answers.changed()).await;
    }

    /// Records whether this node's last call to the store for objects of this kind failed.
    pub fn set_kind_failing(&self, kind: Kind, failing: bool) {
        let mut state = self.state();
        if failing {
            state.failing.insert(kind);
        } else {
            state.failing.remove(&kind);
        }
    }

    /// Reports that the store did not answer a probe. The store may then never answer the watches in progress either.
    pub fn report_unanswered_probe(&self) {
        self.unanswered_probes.send_modify(|count| *count += 1);
    }

    /// Subscribes to the number of probes that the store did not answer.
    pub fn subscribe_unanswered_probes(&self) -> watch::Receiver<u64> {
        self.unanswered_probes.subscribe()
    }

    /// Records an update that this node has caught up with. The update is based on an answer that the store gave
    /// `contact_age` ago.
    pub fn record_update(&self, contact_age: Duration) {
        let now = Instant::now();
        let answered_at = now.checked_sub(contact_age).unwrap_or(now);
        let mut state = self.state();
        let contact_at = state.update.map_or(answered_at, |previous| previous.contact_at.max(answered_at));
        state.update = Some(ReceivedUpdate { at: now, contact_at });
    }

    /// Sets this node's rank.
    pub fn set_rank(&self, rank: Rank) {
        self.state().rank = rank;
    }

    /// Makes this node watch the store at once, for [`WatcherTimes::contact_limit`], because a request needs data that
    /// no other node has sent.
    pub fn watch_on_demand(&self) {
        self.state().demanded_until = Some(Instant::now() + self.times.contact_limit);
        self.reevaluate();
    }

    /// Time since the store last answered this node. None if this node does not watch the store, if calls of some kind
    /// fail, or if the answer is too old to rely on.
    pub fn contact_age(&self) -> Option<Duration> {
        let state = self.state();
        let contact_at = state.contact_at.filter(|_| state.failing.is_empty() && *self.must_watch.borrow())?;
        let age = contact_at.elapsed();
        (age < self.times.contact_limit).then_some(age)
    }

    /// Time since the store last answered this node or a node whose updates reach this node. This node states the time
    /// in the updates that it sends. None if the answer is too old to rely on.
    pub fn latest_contact_age(&self) -> Option<Duration> {
        let own_contact_age = self.contact_age();
        let state = self.state();
        let update_contact_age =
            state.update.map(|update| update.contact_at.elapsed()).filter(|age| *age < self.times.contact_limit);
        own_contact_age.into_iter().chain(update_contact_age).min()
    }

    /// Decides again whether this node has to watch the store. Returns true if it has to.
    pub fn reevaluate(&self) -> bool {
        let must_watch = {
            let state = self.state();
            let silence_limit = self.times.silence_limit(state.rank);
            let startup_wait_passed = state.started_at.elapsed() >= silence_limit;
            let is_fresh = |update: &ReceivedUpdate| {
                update.at.elapsed() < silence_limit && update.contact_at.elapsed() < self.times.contact_limit
            };
            let is_demanded = state.demanded_until.is_some_and(|until| until > Instant::now());
            is_demanded
                || startup_wait_passed && (state.rank == Rank::Watcher || !state.update.as_ref().is_some_and(is_fresh))
        };
        self.must_watch.send_if_modified(|decided| std::mem::replace(decided, must_watch) != must_watch);
        must_watch
    }

    /// The last decision whether this node has to watch the store.
    pub fn must_watch(&self) -> bool {
        *self.must_watch.borrow()
    }

    /// Waits until the decision whether this node has to watch the store equals `wanted`.
    pub async fn wait_until_must_watch_is(&self, wanted: bool) {
        let mut decided = self.must_watch.subscribe();
        // The sender lives as long as `self`.
        let _ = decided.wait_for(|must_watch| *must_watch == wanted).await;
    }
}
