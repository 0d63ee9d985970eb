//! Follows objects of the platform's store: lists them once, then watches, and lists again when history is gone.

use crate::logging::part;
use crate::peers::view::{Origin, ViewHolder};
use crate::peers::watch_duty::WatchDuty;
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
/// The wait of the first watch after a failure.
const RECOVERY_WAIT: Duration = Duration::from_millis(200);
/// Pause before more changes are asked for while they come one after the other: each answer costs a call.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
/// Answers with changes that are taken without a pause in one [`CHANGE_WINDOW`].
const PROMPT_CHANGES: u32 = 4;
/// The time over which answers with changes are counted.
const CHANGE_WINDOW: Duration = Duration::from_secs(1);
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

/// Follows a kind for ever, while this node has to.
pub async fn follow(store: Arc<dyn MetadataStore>, kind: Kind, duty: Arc<WatchDuty>, mut follower: impl Follower) {
    let mut revision = None;
    let mut failures = 0;
    let mut lost_at: Option<Instant> = None;
    let mut silences = duty.silences();
    let mut changes = ChangeRate::default();
    loop {
        duty.until(true).await;
        silences.mark_unchanged();
        let outcome = tokio::select! {
            outcome = step(&*store, kind, revision, wait_of(kind, failures), &mut follower) => outcome,
            () = duty.until(false) => {
                // What others tell meanwhile is not in the follower: it lists when it goes on.
                revision = None;
                continue;
            }
            _ = silences.changed() => Err(StoreError::Unanswered("another question was not answered".to_owned())),
        };
        duty.note_watches(kind, outcome.is_err());
        match outcome {
            Ok(stepped) => {
                duty.note_contact();
                if let Some(since) = lost_at.take() {
                    log::info!(target: part::STORE, "The store is back: kind={kind:?} after={:?}.", since.elapsed());
                }
                revision = Some(stepped.revision);
                failures = 0;
                if stepped.changed && changes.is_over_at(Instant::now()) {
                    tokio::time::sleep(SETTLE_PAUSE).await;
                }
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

/// Asks for ever whether the store still answers, while this node has to watch it: a store that has fallen silent says
/// nothing on the watches that wait, also when it is back.
pub async fn probe(store: Arc<dyn MetadataStore>, duty: Arc<WatchDuty>) {
    let period = duty.times().probe_period;
    let mut answered = true;
    loop {
        tokio::time::sleep(period).await;
        duty.until(true).await;
        if duty.contact_age().is_some_and(|age| age < period) {
            continue;
        }
        match store.probe(period).await {
            Ok(()) => {
                duty.note_contact();
                answered = true;
            }
            Err(error) => {
                if std::mem::replace(&mut answered, false) {
                    log::info!(target: part::STORE, "The store does not answer a probe: {error}.");
                    duty.note_silence();
                }
            }
        }
    }
}

/// Counts answers with changes.
#[derive(Default)]
struct ChangeRate {
    window_began_at: Option<Instant>,
    count: u32,
}

impl ChangeRate {
    /// Counts one more. Returns whether so many came lately that a pause is due.
    fn is_over_at(&mut self, now: Instant) -> bool {
        if self.window_began_at.is_none_or(|began_at| now.duration_since(began_at) > CHANGE_WINDOW) {
            self.window_began_at = Some(now);
            self.count = 0;
        }
        self.count += 1;
        self.count > PROMPT_CHANGES
    }
}

/// How far a step has come.
struct Stepped {
    /// Everything up to this revision was taken.
    revision: u64,
    /// Whether anything had changed.
    changed: bool,
}

async fn step(
    store: &dyn MetadataStore,
    kind: Kind,
    revision: Option<u64>,
    wait: Duration,
    follower: &mut impl Follower,
) -> Result<Stepped, StoreError> {
    let Some(since) = revision else {
        let listing = store.list(kind).await?;
        follower.restart();
        for object in listing.objects {
            follower.take(Change { object, gone: false });
        }
        follower.publish(listing.revision);
        return Ok(Stepped { revision: listing.revision, changed: false });
    };
    let changes = store.watch(kind, since, wait).await?;
    let newest = changes.revision.max(since);
    let changed = !changes.changes.is_empty();
    if changed {
        for change in changes.changes {
            follower.take(change);
        }
        follower.publish(newest);
    }
    Ok(Stepped { revision: newest, changed })
}

/// The wait of the next watch: short after a failure, to see soon whether the store serves this node again.
fn wait_of(kind: Kind, failures: u32) -> Duration {
    match kind {
        _ if failures > 0 => RECOVERY_WAIT,
        Kind::Configuration | Kind::Engines => WATCH_WAIT,
        Kind::ReplicaSet | Kind::Retirements => LONG_WATCH_WAIT,
    }
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
