//! Follows objects of the platform's store: lists them once, then watches, and lists again when history is gone.

use crate::logging::part;
use crate::peers::view::{Origin, ViewHolder};
use crate::ports::configuration::EngineEntry;
use crate::ports::store::{Change, Kind, MetadataStore, ObjectBody, StoreError};
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The longest wait of one watch. A store that falls silent swallows the watches that wait, and says nothing of it when
/// it is back; so this bounds the time for which nothing is heard.
const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// The longest wait of a watch whose news has seconds to arrive: each watch costs a call.
const LONG_WATCH_WAIT: Duration = Duration::from_secs(6);
/// The first pause after a failure, in milliseconds; doubled for each one that follows.
const FIRST_PAUSE_MS: u64 = 80;
/// The longest pause, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 700;

/// Takes what is listed and what changes.
pub trait Follower: Send + 'static {
    /// All objects follow; what was known before may be gone.
    fn restart(&mut self) {}
    /// Takes an object, or the news that it is gone.
    fn take(&mut self, change: Change);
    /// Everything up to a revision was taken.
    fn publish(&mut self, _revision: u64) {}
}

/// Follows a kind for ever.
pub async fn follow(store: Arc<dyn MetadataStore>, kind: Kind, mut follower: impl Follower) {
    let mut revision = None;
    let mut failures = 0;
    let mut lost_at: Option<Instant> = None;
    loop {
        let outcome = step(&*store, kind, revision, &mut follower).await;
        match outcome {
            Ok(newest) => {
                if let Some(since) = lost_at.take() {
                    log::info!(target: part::STORE, "The store is back: kind={kind:?} after={:?}.", since.elapsed());
                }
                revision = Some(newest);
                failures = 0;
            }
            Err(StoreError::HistoryGone) => {
                log::info!(target: part::STORE, "History of {kind:?} is gone; it is listed anew.");
                revision = None;
            }
            Err(error) => {
                if lost_at.is_none() {
                    log::warn!(target: part::STORE, "The store is lost: kind={kind:?} revision={revision:?}: {error}.");
                    lost_at = Some(Instant::now());
                }
                tokio::time::sleep(pause(failures)).await;
                failures += 1;
            }
        }
    }
}

async fn step(
    store: &dyn MetadataStore,
    kind: Kind,
    revision: Option<u64>,
    follower: &mut impl Follower,
) -> Result<u64, StoreError> {
    let Some(since) = revision else {
        let listing = store.list(kind).await?;
        follower.restart();
        for object in listing.objects {
            follower.take(Change { object, gone: false });
        }
        follower.publish(listing.revision);
        return Ok(listing.revision);
    };
    let wait = match kind {
        Kind::Configuration | Kind::Engines => WATCH_WAIT,
        Kind::ReplicaSet | Kind::Retirements => LONG_WATCH_WAIT,
    };
    let changes = store.watch(kind, since, wait).await?;
    let newest = changes.revision.max(since);
    if !changes.changes.is_empty() {
        for change in changes.changes {
            follower.take(change);
        }
        follower.publish(newest);
    }
    Ok(newest)
}

fn pause(failures: u32) -> Duration {
    let longest = FIRST_PAUSE_MS.saturating_mul(1 << failures.min(8)).min(LONGEST_PAUSE_MS);
    Duration::from_millis(rand::rng().random_range(longest / 2..=longest))
}

/// Brings the configuration into the view.
pub struct ConfigurationFollower {
    /// The view.
    pub view: Arc<ViewHolder>,
}

impl Follower for ConfigurationFollower {
    fn take(&mut self, change: Change) {
        let object = change.object;
        match object.body {
            ObjectBody::Configuration(configuration) if !change.gone => {
                self.view.adopt_configuration(object.revision, configuration, Origin::Store);
            }
            ObjectBody::Unreadable(problem) => {
                log::error!(target: part::STORE, "Configuration {} is not taken, the one in force stays: {problem}.", object.name);
            }
            _ => {}
        }
    }
}

/// Brings the list of engines into the view.
pub struct EngineFollower {
    view: Arc<ViewHolder>,
    engines: BTreeMap<String, EngineEntry>,
}

impl EngineFollower {
    /// A follower that knows no engine.
    pub fn new(view: Arc<ViewHolder>) -> Self {
        Self { view, engines: BTreeMap::new() }
    }
}

impl Follower for EngineFollower {
    fn restart(&mut self) {
        self.engines.clear();
    }

    fn take(&mut self, change: Change) {
        if change.gone {
            self.engines.remove(&change.object.name);
            return;
        }
        match change.object.body {
            ObjectBody::Engine(engine) => {
                self.engines.insert(change.object.name, engine);
            }
            ObjectBody::Unreadable(problem) => {
                log::error!(target: part::STORE, "Engine {} is not used: {problem}.", change.object.name);
                self.engines.remove(&change.object.name);
            }
            _ => {}
        }
    }

    fn publish(&mut self, revision: u64) {
        self.view.adopt_engines(revision, self.engines.values().cloned().collect(), Origin::Store);
    }
}
