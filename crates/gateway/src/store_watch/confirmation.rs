//! Lets the store confirm the list of engines when a request needs one that is newer than the request.
//!
//! Most nodes hear of changes from other nodes, and an open connection may have fallen silent, so the list in the view
//! may be behind by an unknown time. One read of the store serves all requests that arrived before the read began.

use crate::peers::view::ViewHolder;
use crate::ports::store::{Freshness, Kind, MetadataStore, StoreError};
use crate::store_followers::EngineFollower;
use crate::store_watch::Follower;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Time limit of one read. It exceeds an answer of a slow store.
const READ_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of reads until the list counts as not confirmed. The first one may use an open connection that has fallen
/// silent; the next one uses another connection.
const MAX_READS: usize = 2;
/// Time after a failure in which requests are told of that failure, so that they do not wait for a store that does not
/// answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// The wait of the watch that returns the changes up to now.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// The last confirmation that was tried.
#[derive(Debug)]
struct LatestRead {
    begun_at: Instant,
    ended_at: Instant,
    outcome: Result<(), StoreError>,
}

impl LatestRead {
    /// Whether the outcome holds for a request that needs the list as of `needed_at`.
    fn applies_to(&self, needed_at: Instant) -> bool {
        let is_recent_failure = self.outcome.is_err() && self.ended_at.elapsed() < FAILURE_PAUSE;
        self.begun_at >= needed_at || is_recent_failure
    }
}

/// Lets the store confirm the view's list of engines.
pub struct EngineListConfirmation {
    store: Arc<dyn MetadataStore>,
    view: Arc<ViewHolder>,
    latest: Mutex<Option<LatestRead>>,
}

impl EngineListConfirmation {
    /// Creates a confirmation of the list in `view` by `store`.
    pub fn new(store: Arc<dyn MetadataStore>, view: Arc<ViewHolder>) -> Self {
        Self { store, view, latest: Mutex::default() }
    }

    /// Brings the view's list of engines to a state that the store had at `needed_at` or later.
    ///
    /// # Errors
    /// [`StoreError`] if the store does not answer; the list may then be older.
    pub async fn confirm_as_of(&self, needed_at: Instant) -> Result<(), StoreError> {
        // Requests that wait here share the outcome of the first one's read.
        let mut latest = self.latest.lock().await;
        if let Some(read) = latest.as_ref().filter(|read| read.applies_to(needed_at)) {
            return read.outcome.clone();
        }
        let begun_at = Instant::now();
        let outcome = self.read_repeatedly().await;
        *latest = Some(LatestRead { begun_at, ended_at: Instant::now(), outcome: outcome.clone() });
        outcome
    }

    async fn read_repeatedly(&self) -> Result<(), StoreError> {
        let mut outcome = Ok(());
        for _ in 0..MAX_READS {
            let read = tokio::time::timeout(READ_TIMEOUT, self.read()).await;
            outcome = read.unwrap_or_else(|_| Err(StoreError::Unanswered("no answer in time".to_owned())));
            if !matches!(outcome, Err(StoreError::Unanswered(_))) {
                break;
            }
        }
        outcome
    }

    /// Reads the changes since the view's list, or the whole list if the store has dropped these changes or the view
    /// lacks software versions.
    async fn read(&self) -> Result<(), StoreError> {
        let begun_at = Instant::now();
        let mut follower = EngineFollower { view: self.view.clone() };
        let since = follower.known_revision();
        if since == 0 || !self.read_changes(&mut follower, since).await? {
            let listing = self.store.list(Kind::Engines, Freshness::Newest).await?;
            follower.apply_list(listing.objects, listing.revision);
        }
        self.view.confirm_engines(begun_at.elapsed());
        Ok(())
    }

    /// Applies the changes after the revision `since`. Returns false if the whole list has to be read instead.
    async fn read_changes(&self, follower: &mut EngineFollower, since: u64) -> Result<bool, StoreError> {
        let changes = match self.store.watch(Kind::Engines, since, SHORTEST_WAIT).await {
            Ok(changes) => changes,
            Err(StoreError::HistoryGone) => return Ok(false),
            Err(error) => return Err(error),
        };
        let newest = changes.revision.max(since);
        Ok(changes.changes.is_empty() || follower.apply_changes(changes.changes, since, newest))
    }
}
