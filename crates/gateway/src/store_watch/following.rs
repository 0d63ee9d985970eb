//! Follows the objects of one kind: makes one call to the store after another, and applies the answer or handles the
//! failure of each.

use crate::logging::part;
use crate::peers::watcher_role::WatcherRole;
use crate::ports::store::{Changes, Freshness, Kind, MetadataStore, StoreError};
use crate::store_watch::pacing::{pause_after_failure, watch_wait, ChangeRate, BATCH_PAUSE};
use crate::store_watch::Follower;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;

/// Properties of an answer of the store.
#[derive(Clone, Copy, Debug)]
struct AnswerSummary {
    /// Whether the answer contains a list or changes, which the follower has to apply.
    changed: bool,
    /// Whether the answer shows every change that was made before the call.
    is_newest: bool,
}

/// The state of the calls by which the objects of one kind are followed.
pub(super) struct KindWatch<F> {
    store: Arc<dyn MetadataStore>,
    kind: Kind,
    watcher_role: Arc<WatcherRole>,
    follower: F,
    /// The revision up to which the follower has all changes of the kind; `None` if all objects have to be listed.
    revision: Option<u64>,
    /// The revision of the last list or changes that the follower received, from this watch or from other nodes. It is
    /// below `revision` if only objects of other kinds have changed since.
    delivered_revision: u64,
    /// How fresh the next listing has to be.
    freshness: Freshness,
    /// Number of calls that failed since the last call that succeeded.
    failures: u32,
    /// When calls began to fail, for the log; `None` once the log says that calls succeed again.
    failing_since: Option<Instant>,
    /// Whether the store has answered with fresh data since this node began to watch or since the last failure.
    is_in_contact: bool,
    /// Receives a new count whenever the store stops answering probes.
    silences: watch::Receiver<u64>,
    change_rate: ChangeRate,
}

impl<F: Follower> KindWatch<F> {
    /// Creates the state for a kind whose objects were not listed yet.
    pub(super) fn new(store: Arc<dyn MetadataStore>, kind: Kind, watcher_role: Arc<WatcherRole>, follower: F) -> Self {
        let silences = watcher_role.subscribe_unanswered_probes();
        Self {
            store,
            kind,
            watcher_role,
            follower,
            revision: None,
            delivered_revision: 0,
            freshness: Freshness::MayBeOld,
            failures: 0,
            failing_since: None,
            is_in_contact: false,
            silences,
            change_rate: ChangeRate::default(),
        }
    }

    /// If the kind is zone drains, marks it as failing until the store answers a call for zone drains. Answers to calls
    /// for other kinds do not remove the mark. Until the mark is removed, this node does not know how old its list of
    /// drained zones is, nor how old a drain is that it receives from another node.
    pub(super) fn mark_zone_drains_unconfirmed(&self) {
        if self.kind == Kind::ZoneDrains {
            self.watcher_role.set_kind_failing(self.kind, true);
        }
    }

    /// Lists the objects with a cheap call whose answer may be old. Repeats the call until it succeeds or this node has
    /// to watch the store. Later changes come from other nodes, or from this node's watch.
    pub(super) async fn list_at_start(&mut self) {
        while self.revision.is_none() && !self.watcher_role.must_watch() {
            match self.list_and_apply().await {
                Ok(_) => self.failures = 0,
                Err(error) => self.handle_failure(&error).await,
            }
        }
    }

    /// Makes the next watch start at the follower's revision, if other nodes' updates have raised that revision while
    /// this node did not watch the store.
    pub(super) fn resume_from_known_revision(&mut self) {
        let known = self.follower.known_revision();
        if known > self.revision.unwrap_or(0) {
            self.revision = Some(known);
            self.delivered_revision = known;
        }
    }

    /// Makes one call and applies its answer. Cancels the call when this node no longer has to watch the store, or when
    /// a probe finds that the store does not answer.
    pub(super) async fn make_call(&mut self) {
        self.silences.mark_unchanged();
        let watcher_role = self.watcher_role.clone();
        let mut silences = self.silences.clone();
        let outcome = tokio::select! {
            outcome = self.list_or_watch() => outcome,
            () = watcher_role.wait_until_must_watch_is(false) => {
                self.is_in_contact = false;
                self.mark_zone_drains_unconfirmed();
                return;
            }
            _ = silences.changed() => Err(StoreError::Unanswered("a probe got no answer during the call".to_owned())),
        };
        self.watcher_role.set_kind_failing(self.kind, outcome.is_err());
        match outcome {
            Ok(answer) => self.record_success_and_pace(answer).await,
            Err(StoreError::HistoryGone) => {
                log::info!(
                    target: part::STORE,
                    "The store no longer has the history of changes of {:?}; listing all objects of this kind again.",
                    self.kind
                );
                self.revision = None;
                self.freshness = Freshness::Newest;
            }
            Err(error) => self.handle_failure(&error).await,
        }
    }

    async fn list_or_watch(&mut self) -> Result<AnswerSummary, StoreError> {
        match self.revision {
            Some(since) => self.watch_and_apply(since).await,
            None => self.list_and_apply().await,
        }
    }

    async fn watch_and_apply(&mut self, since: u64) -> Result<AnswerSummary, StoreError> {
        let wait = watch_wait(self.kind, self.is_in_contact);
        let changes = self.store.watch(self.kind, since, wait).await?;
        let newest = changes.revision.max(since);
        let changed = !changes.changes.is_empty();
        if changed {
            self.deliver_changes(changes, newest)?;
        }
        self.follower.confirm_up_to(newest);
        self.revision = Some(newest);
        Ok(AnswerSummary { changed, is_newest: true })
    }

    /// Passes changes to the follower.
    ///
    /// # Errors
    /// [`StoreError::HistoryGone`] if the follower's state is older than the revision at which the changes begin. All
    /// objects are then listed again, as if the store had dropped the history.
    fn deliver_changes(&mut self, changes: Changes, newest: u64) -> Result<(), StoreError> {
        // Between `delivered_revision` and the watch's first revision no object of this kind has changed.
        if !self.follower.apply_changes(changes.changes, self.delivered_revision, newest) {
            log::error!(
                target: part::STORE,
                "Changes of {:?} after revision {} up to {newest} cannot be applied, because this node's state is \
                 older; listing all objects of this kind again.",
                self.kind,
                self.delivered_revision
            );
            return Err(StoreError::HistoryGone);
        }
        self.delivered_revision = newest;
        Ok(())
    }

    async fn list_and_apply(&mut self) -> Result<AnswerSummary, StoreError> {
        let listing = self.store.list(self.kind, self.freshness).await?;
        self.follower.apply_list(listing.objects, listing.revision);
        self.revision = Some(listing.revision);
        self.delivered_revision = listing.revision;
        let is_newest = self.freshness == Freshness::Newest;
        if is_newest {
            self.follower.confirm_up_to(listing.revision);
        }
        self.freshness = Freshness::MayBeOld;
        Ok(AnswerSummary { changed: true, is_newest })
    }

    async fn record_success_and_pace(&mut self, answer: AnswerSummary) {
        if answer.is_newest {
            self.watcher_role.record_contact();
            self.is_in_contact = true;
        }
        if let Some(since) = self.failing_since.take() {
            log::info!(
                target: part::STORE,
                "Calls to the store succeed again: kind={:?} after={:?}; `after` is the time since the first failed \
                 call.",
                self.kind,
                since.elapsed()
            );
        }
        self.failures = 0;
        if answer.changed && self.change_rate.count_and_check_limit(Instant::now()) {
            tokio::time::sleep(BATCH_PAUSE).await;
        }
    }

    /// Waits before the next call. The wait is a pause and, from the second consecutive failure on, also the time until
    /// the store answers any call of this node. That time is limited to the change limit, since the store may reject
    /// cheap calls, such as probes, and still answer other calls. Logs one line at the first failure;
    /// `record_success_and_pace` logs one when calls succeed again.
    async fn handle_failure(&mut self, error: &StoreError) {
        if self.failing_since.is_none() {
            log::warn!(
                target: part::STORE,
                "Calls to the store fail and are retried; until one succeeds, this node uses the objects of this \
                 kind that it has: kind={:?} revision={:?}: {error}.",
                self.kind,
                self.revision
            );
            self.failing_since = Some(Instant::now());
        }
        self.is_in_contact = false;
        tokio::time::sleep(pause_after_failure(self.failures)).await;
        if self.failures > 0 {
            self.watcher_role.wait_until_answered(self.watcher_role.times().change_limit).await;
        }
        self.failures += 1;
    }
}
