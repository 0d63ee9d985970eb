//! Which gateways watch the platform's store.
//!
//! Each call to the store is dear and its rate is shared by all machines, so one gateway of each group watches and the
//! others of the group, all in its zone, take its news. A gateway that hears no fresh news watches by itself until
//! it hears some again; so no gateway depends on another for longer than [`DutyTimes::contact_limit`].

use crate::locks::lock;
use crate::ports::store::Kind;
use foxnotch_wire::NodeId;
use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Gateways of one zone that share a watching one: bounds what that one sends.
const GROUP_SIZE: usize = 16;
/// Share of the time for a change after which news from another gateway are too old.
const CONTACT_SHARE: f64 = 0.6;
/// Share of that time after which a gateway that heard nothing watches by itself.
const SILENCE_SHARE: f64 = 0.4;
/// Share of that time between two messages of a watching gateway.
const PERIOD_SHARE: f64 = 0.12;
/// Share of that time between two questions whether the store still answers.
const PROBE_SHARE: f64 = 0.24;

/// The times that a deployment's bound for changes leaves.
#[derive(Clone, Copy, Debug)]
pub struct DutyTimes {
    /// Age of the last answer of the store at which news that rest on it do not count any more.
    pub contact_limit: Duration,
    /// Time without news after which a gateway watches by itself.
    pub silence_limit: Duration,
    /// Time between two messages of a watching gateway.
    pub period: Duration,
    /// Time between two questions whether the store still answers.
    pub probe_period: Duration,
}

impl DutyTimes {
    /// The times when a change has to be in force everywhere within `bound`.
    pub fn within(bound: Duration) -> Self {
        Self {
            contact_limit: bound.mul_f64(CONTACT_SHARE),
            silence_limit: bound.mul_f64(SILENCE_SHARE),
            period: bound.mul_f64(PERIOD_SHARE),
            probe_period: bound.mul_f64(PROBE_SHARE),
        }
    }
}

/// The group of `own` among the gateways of its zone: the first of it watches, the rest take its news.
///
/// Nodes are numbered by hashes, so the order has nothing to do with machines.
pub fn group_of(own: NodeId, zone: &[NodeId]) -> Vec<NodeId> {
    let mut ordered: Vec<NodeId> = zone.iter().copied().filter(|node| *node != own).collect();
    ordered.push(own);
    ordered.sort_unstable();
    let rank = ordered.iter().position(|node| *node == own).unwrap_or(0);
    let first = rank - rank % GROUP_SIZE;
    ordered.into_iter().skip(first).take(GROUP_SIZE).collect()
}

/// News as they were heard.
#[derive(Clone, Copy, Debug)]
struct HeardNews {
    at: Instant,
    /// When the store had last answered the teller.
    contact_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    is_first: bool,
    news: Option<HeardNews>,
    contact_at: Option<Instant>,
    /// Kinds of which the last call failed.
    failing: HashSet<Kind>,
}

/// Whether this node has to watch the store, and how fresh its own contact with it is.
#[derive(Debug)]
pub struct WatchDuty {
    times: DutyTimes,
    state: Mutex<State>,
    must_watch: watch::Sender<bool>,
    silences: watch::Sender<u64>,
}

impl WatchDuty {
    /// A node that watches until it has heard news.
    pub fn new(times: DutyTimes) -> Self {
        Self { times, state: Mutex::default(), must_watch: watch::Sender::new(true), silences: watch::Sender::new(0) }
    }

    /// The times that it goes by.
    pub fn times(&self) -> DutyTimes {
        self.times
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// The store has answered.
    pub fn note_contact(&self) {
        let mut state = self.state();
        state.contact_at = Some(Instant::now());
    }

    /// The store serves calls of this kind, or does not.
    pub fn note_watches(&self, kind: Kind, failing: bool) {
        let mut state = self.state();
        if failing {
            state.failing.insert(kind);
        } else {
            state.failing.remove(&kind);
        }
    }

    /// A question was not answered: watches that wait may never be.
    pub fn note_silence(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Told of each silence.
    pub fn silences(&self) -> watch::Receiver<u64> {
        self.silences.subscribe()
    }

    /// News from another gateway, to which the store last answered `contact_age` ago.
    pub fn take_news(&self, contact_age: Duration) {
        let now = Instant::now();
        let contact_at = now.checked_sub(contact_age).unwrap_or(now);
        self.state().news = Some(HeardNews { at: now, contact_at });
    }

    /// Whether this node is the first of its group.
    pub fn set_first(&self, is_first: bool) {
        self.state().is_first = is_first;
    }

    /// How long ago the store last answered this node; none when it does not serve its watches.
    pub fn contact_age(&self) -> Option<Duration> {
        let state = self.state();
        let contact_at = state.contact_at.filter(|_| state.failing.is_empty())?;
        let age = contact_at.elapsed();
        (age < self.times.contact_limit).then_some(age)
    }

    /// Decides anew whether this node has to watch. Returns it.
    pub fn review(&self) -> bool {
        let must_watch = {
            let state = self.state();
            let fresh = |news: &HeardNews| {
                news.at.elapsed() < self.times.silence_limit && news.contact_at.elapsed() < self.times.contact_limit
            };
            state.is_first || !state.news.as_ref().is_some_and(fresh)
        };
        self.must_watch.send_if_modified(|known| std::mem::replace(known, must_watch) != must_watch);
        must_watch
    }

    /// Whether this node had to watch when that was last decided.
    pub fn must_watch(&self) -> bool {
        *self.must_watch.borrow()
    }

    /// Waits until this node has to watch, or need not.
    pub async fn until(&self, wanted: bool) {
        let mut decided = self.must_watch.subscribe();
        // The sender lives as long as `self`.
        let _ = decided.wait_for(|must_watch| *must_watch == wanted).await;
    }
}
