//! Follows the objects of one kind in the platform's store: lists them once, then watches for changes, and lists them
//! again when the store has dropped the history.
//!
//! This module owns the loop of calls, the pauses between them and the recovery after failures. A [`Follower`]
//! interprets the objects. [`WatcherRole`] decides whether this node has to watch the store at all, since most nodes
//! get changes from other nodes. [`MetadataStore`] sends each call once.
//!
//! `following` makes the calls, `pacing` has their waits and pauses, `probe` detects a store that no longer answers.
//! `confirmation` reads the list of engines on demand.

pub mod confirmation;
mod following;
mod pacing;
mod probe;

pub use probe::probe_store;

use crate::peers::watcher_role::WatcherRole;
use crate::ports::store::{Change, Kind, MetadataStore, StoredObject};
use following::KindWatch;
use std::sync::Arc;

/// Applies listed objects and changes to this node's state. Revisions are those of the store; the objects of all kinds
/// have one sequence of revisions.
pub trait Follower: Send + 'static {
    /// Applies the present state of one object. This is enough for a kind that has only one object. Followers of other
    /// kinds override [`Self::apply_list`] and [`Self::apply_changes`] instead.
    fn apply_object(&mut self, _object: StoredObject) {}
    /// Applies a list of all objects of the kind, as of a revision.
    fn apply_list(&mut self, objects: Vec<StoredObject>, _revision: u64) {
        objects.into_iter().for_each(|object| self.apply_object(object));
    }
    /// Applies all changes of the kind after the revision `_since`, up to and including `_revision`. Returns false if
    /// the follower's state is older than `_since`; all objects are then listed again. By default, deletions are
    /// ignored.
    fn apply_changes(&mut self, changes: Vec<Change>, _since: u64, _revision: u64) -> bool {
        changes.into_iter().filter(|change| !change.is_deleted).for_each(|change| self.apply_object(change.object));
        true
    }
    /// Records that the follower has received all changes of the kind up to this revision, and that the store has no
    /// later changes of the kind at present.
    fn confirm_up_to(&mut self, _revision: u64) {}
    /// The revision up to which the follower has applied all changes of the kind, whether from the store or from other
    /// nodes; 0 if unknown.
    fn known_revision(&self) -> u64 {
        0
    }
}

/// When the objects of a kind are listed for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialList {
    /// As soon as the process starts, since the process serves no request without these objects.
    AtStart,
    /// When this node has to watch the store for the first time.
    WhenWatching,
}

/// Follows the objects of a kind whenever this node has to watch the store; never returns.
pub async fn follow_kind(
    store: Arc<dyn MetadataStore>,
    kind: Kind,
    initial_list: InitialList,
    watcher_role: Arc<WatcherRole>,
    follower: impl Follower,
) {
    let mut watch = KindWatch::new(store, kind, watcher_role.clone(), follower);
    watch.mark_zone_drains_unconfirmed();
    if initial_list == InitialList::AtStart {
        watch.list_at_start().await;
    }
    loop {
        if !watcher_role.must_watch() {
            watcher_role.wait_until_must_watch_is(true).await;
            watch.resume_from_known_revision();
        }
        watch.make_call().await;
    }
}
