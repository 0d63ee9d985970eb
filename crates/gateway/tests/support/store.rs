//! An in-memory stub of the platform's metadata store with objects, revisions, lists and watches. Tests can inject the
//! faults that a store may have: no answers, rejected calls, lost answers, dropped history. All clones share one state,
//! and the stub counts calls.

use foxnotch_gateway::ports::store::{
    Change, Changes, Freshness, Kind, Listing, MetadataStore, ObjectBody, StoreError, StoredObject,
};
use foxnotch_wire::ReplicaSet;
use futures_util::future::BoxFuture;
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

/// Time after which a call to a silent store fails, in place of the timeout of the platform's adapter.
const SILENT_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The shortest wait of the watches that [`StubStore::silence_watches_of_this_node`] silences.
const SHORTEST_SILENCED_WAIT: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
struct Entry {
    kind: Kind,
    object: StoredObject,
    is_deleted: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Every change, oldest first.
    history: Vec<Entry>,
    /// The oldest revision from which a watch can start; earlier history was dropped.
    oldest_revision: u64,
    /// Whether calls get no answer.
    is_silent: bool,
    /// Whether list, watch and probe calls of all nodes are rejected.
    refuses: bool,
    /// List calls for this kind are rejected.
    refused_list: Option<Kind>,
    lose_answers: bool,
    watch_waits: Vec<Duration>,
    received_bytes: u64,
    calls: usize,
    lists: usize,
    stale_lists: usize,
    retired: HashSet<String>,
}

impl State {
    /// Adds a change to the history. Returns its revision.
    fn record(&mut self, kind: Kind, name: &str, body: ObjectBody, is_deleted: bool) -> u64 {
        self.revision += 1;
        let object = StoredObject { name: name.to_owned(), revision: self.revision, body };
        self.history.push(Entry { kind, object, is_deleted });
        self.revision
    }

    /// Returns the objects of a kind that have not been deleted.
    fn current_objects(&self, kind: Kind) -> Vec<StoredObject> {
        let mut objects: Vec<StoredObject> = Vec::new();
        for entry in self.history.iter().filter(|entry| entry.kind == kind) {
            objects.retain(|object| object.name != entry.object.name);
            if !entry.is_deleted {
                objects.push(entry.object.clone());
            }
        }
        objects
    }

    /// Writes the replica set if its current revision is `revision`, as one atomic step: of two concurrent writes, one
    /// fails.
    fn compare_and_swap(&mut self, set: ReplicaSet, revision: Option<u64>) -> Result<(), StoreError> {
        let current = self.current_objects(Kind::ReplicaSet).first().map(|object| object.revision);
        if current != revision {
            return Err(StoreError::Conflict);
        }
        self.record(Kind::ReplicaSet, "main", ObjectBody::ReplicaSet(set), false);
        Ok(())
    }
}

/// A handle to an in-memory store.
#[derive(Clone, Default)]
pub struct StubStore {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    /// Whether list, watch and probe calls through this handle, and through clones that share the flag, are rejected.
    refuses_this_node: Arc<AtomicBool>,
    /// Whether watches through this handle that wait for changes get no answer.
    silences_watches: Arc<AtomicBool>,
}

impl StubStore {
    fn with_state<T>(&self, action: impl FnOnce(&mut State) -> T) -> T {
        action(&mut self.state.lock().expect("no thread panicked while holding the lock"))
    }

    /// Returns a handle to the same store for one node, whose calls can be rejected separately.
    pub fn clone_for_one_node(&self) -> Self {
        Self { refuses_this_node: Arc::default(), silences_watches: Arc::default(), ..self.clone() }
    }

    /// From now on, watches through this handle that wait for changes get no answer, as on connections that have fallen
    /// silent. All other calls are answered.
    pub fn silence_watches_of_this_node(&self) {
        self.silences_watches.store(true, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Sets whether list, watch and probe calls through this handle are rejected immediately. Writes are still served.
    pub fn refuse_this_node(&self, refuses: bool) {
        self.refuses_this_node.store(refuses, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Writes an object. Returns its new revision.
    pub fn put(&self, kind: Kind, name: &str, body: ObjectBody) -> u64 {
        self.record(kind, name, body, false)
    }

    /// Deletes an object, whose last content was `body`. Returns the revision of the deletion.
    pub fn remove(&self, kind: Kind, name: &str, body: ObjectBody) -> u64 {
        self.record(kind, name, body, true)
    }

    fn record(&self, kind: Kind, name: &str, body: ObjectBody, is_deleted: bool) -> u64 {
        let revision = self.with_state(|state| state.record(kind, name, body, is_deleted));
        self.changed.notify_waiters();
        revision
    }

    /// Stops answering: calls in progress and new calls time out.
    pub fn stop_answering(&self) {
        self.with_state(|state| state.is_silent = true);
        self.changed.notify_waiters();
    }

    /// Adds one to the number of received bytes, as if a part of a large response arrived.
    pub fn count_received_byte(&self) {
        self.with_state(|state| state.received_bytes += 1);
    }

    /// Answers new calls again. Calls made before still time out.
    pub fn resume_answering(&self) {
        self.with_state(|state| state.is_silent = false);
    }

    /// Sets whether list, watch and probe calls of all nodes are rejected immediately. Writes are still served.
    pub fn refuse_calls(&self, refuses: bool) {
        self.with_state(|state| state.refuses = refuses);
        self.changed.notify_waiters();
    }

    /// Rejects list calls for this kind immediately; `None` ends that.
    pub fn refuse_list(&self, kind: Option<Kind>) {
        self.with_state(|state| state.refused_list = kind);
    }

    /// Returns an error if the store rejects the calls of this handle.
    fn check_served(&self) -> Result<(), StoreError> {
        if self.with_state(|state| state.refuses) || self.refuses_this_node.load(Ordering::SeqCst) {
            return Err(StoreError::Unavailable("refused".to_owned()));
        }
        Ok(())
    }

    /// Sets whether the answers to writes of the replica set get lost. The writes are carried out.
    pub fn lose_answers(&self, lose: bool) {
        self.with_state(|state| state.lose_answers = lose);
    }

    /// Drops the history, so that watches from earlier revisions fail.
    pub fn drop_history(&self) {
        self.with_state(|state| state.oldest_revision = state.revision);
    }

    /// Returns the requested waits of all watches so far.
    pub fn watch_waits(&self) -> Vec<Duration> {
        self.with_state(|state| state.watch_waits.clone())
    }

    /// Returns the number of list and watch calls so far, without rejected lists.
    pub fn call_count(&self) -> usize {
        self.with_state(|state| state.calls)
    }

    /// Returns the number of list calls so far, including rejected ones.
    pub fn list_count(&self) -> usize {
        self.with_state(|state| state.lists)
    }

    /// Returns the number of list calls so far that allowed stale results.
    pub fn stale_list_count(&self) -> usize {
        self.with_state(|state| state.stale_lists)
    }

    /// Returns the names of the retirements that were reported as done.
    pub fn completed_retirements(&self) -> HashSet<String> {
        self.with_state(|state| state.retired.clone())
    }

    /// Returns the stored replica set.
    pub fn replica_set(&self) -> Option<ReplicaSet> {
        self.with_state(|state| state.current_objects(Kind::ReplicaSet)).into_iter().find_map(|object| {
            match object.body {
                ObjectBody::ReplicaSet(set) => Some(set),
                _ => None,
            }
        })
    }

    /// Returns the size of each replica set that was ever stored, oldest first.
    pub fn replica_set_sizes(&self) -> Vec<usize> {
        let size = |entry: &Entry| match &entry.object.body {
            ObjectBody::ReplicaSet(set) => Some(set.members.len()),
            _ => None,
        };
        self.with_state(|state| state.history.iter().filter_map(size).collect())
    }

    /// Waits for [`SILENT_CALL_TIMEOUT`] and fails, like a call that gets no answer.
    async fn time_out<T>(&self) -> Result<T, StoreError> {
        tokio::time::sleep(SILENT_CALL_TIMEOUT).await;
        Err(StoreError::Unanswered("silent".to_owned()))
    }

    fn changes_since(&self, kind: Kind, since: u64) -> Result<Changes, StoreError> {
        self.with_state(|state| {
            if since < state.oldest_revision {
                return Err(StoreError::HistoryGone);
            }
            let entries = state.history.iter().filter(|entry| entry.kind == kind && entry.object.revision > since);
            let changes = entries
                .map(|entry| Change { object: entry.object.clone(), is_deleted: entry.is_deleted })
                .collect::<Vec<_>>();
            Ok(Changes { changes, revision: state.revision })
        })
    }

    async fn watch_changes(&self, kind: Kind, since: u64, wait: Duration) -> Result<Changes, StoreError> {
        self.with_state(|state| {
            state.calls += 1;
            state.watch_waits.push(wait);
        });
        let until = tokio::time::Instant::now() + wait;
        loop {
            let notified = self.changed.notified();
            if self.silences_watches.load(Ordering::SeqCst) && wait >= SHORTEST_SILENCED_WAIT {
                std::future::pending::<()>().await;
            }
            self.check_served()?;
            if self.with_state(|state| state.is_silent) {
                tokio::time::sleep_until(until).await;
                return self.time_out().await;
            }
            let changes = self.changes_since(kind, since)?;
            if !changes.changes.is_empty() || tokio::time::Instant::now() >= until {
                return Ok(changes);
            }
            // Ends with a change or with the end of the wait. The loop checks for both.
            let _ = tokio::time::timeout_at(until, notified).await;
        }
    }
}

impl MetadataStore for StubStore {
    fn received_bytes(&self) -> u64 {
        self.with_state(|state| state.received_bytes)
    }

    fn list(&self, kind: Kind, freshness: Freshness) -> BoxFuture<'_, Result<Listing, StoreError>> {
        Box::pin(async move {
            self.with_state(|state| state.lists += 1);
            if freshness == Freshness::MayBeOld {
                self.with_state(|state| state.stale_lists += 1);
            }
            self.check_served()?;
            if self.with_state(|state| state.refused_list == Some(kind)) {
                return Err(StoreError::Unavailable("refused".to_owned()));
            }
            self.with_state(|state| state.calls += 1);
            if self.with_state(|state| state.is_silent) {
                return self.time_out().await;
            }
            Ok(self.with_state(|state| Listing { objects: state.current_objects(kind), revision: state.revision }))
        })
    }

    fn watch(&self, kind: Kind, revision: u64, wait: Duration) -> BoxFuture<'_, Result<Changes, StoreError>> {
        Box::pin(self.watch_changes(kind, revision, wait))
    }

    fn probe(&self, within: Duration) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async move {
            self.check_served()?;
            if self.with_state(|state| state.is_silent) {
                tokio::time::sleep(within).await;
                return Err(StoreError::Unanswered("silent".to_owned()));
            }
            Ok(())
        })
    }

    fn write_replica_set(&self, set: ReplicaSet, revision: Option<u64>) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async move {
            if self.with_state(|state| state.is_silent) {
                return self.time_out().await;
            }
            self.with_state(|state| state.compare_and_swap(set, revision))?;
            self.changed.notify_waiters();
            if self.with_state(|state| state.lose_answers) {
                return Err(StoreError::Unanswered("lost".to_owned()));
            }
            Ok(())
        })
    }

    fn report_retirement(&self, name: String, done: bool) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async move {
            if self.with_state(|state| state.is_silent) {
                return self.time_out().await;
            }
            if done {
                self.with_state(|state| state.retired.insert(name));
            }
            Ok(())
        })
    }
}
