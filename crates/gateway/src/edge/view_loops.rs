//! Background tasks for the gateway's view: one applies each change to the routes and engines, the other obtains the
//! replica set and the configuration while one of them is missing, and a newer replica set when a turn needs it.

use crate::edge::gateway::Gateway;
use crate::logging::part;
use crate::peers::members::Members;
use crate::peers::view::ViewHolder;
use crate::ports::store::{Freshness, Kind, MetadataStore};
use crate::store_followers::ReplicaSetFollower;
use crate::store_watch::Follower;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Time between two requests for the replica set, or for a configuration, while one of them is missing or outdated.
const VIEW_PULL_PERIOD: Duration = Duration::from_millis(400);

/// Updates the gateway's routes and engines now and at each change of the view, until the process ends.
pub(super) async fn apply_view_changes(gateway: Arc<Gateway>) {
    let mut changed = gateway.view.subscribe();
    loop {
        gateway.apply_view();
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Keeps the replica set and the configuration known, until the process ends.
///
/// While one of them is missing, pulls both from replicas, so that the set is known before the first turn needs it.
/// Both come from replicas, because only replicas have them while the store is unavailable. Once both are known, reads
/// the set from the store whenever `replica_set_refresh_request` is notified. This read accepts an old set, because
/// replicas send a newer set to a gateway that uses an older one.
pub(super) async fn keep_replica_set_and_configuration_known(
    store: Arc<dyn MetadataStore>,
    members: Arc<Members>,
    view: Arc<ViewHolder>,
    replica_set_refresh_request: Arc<Notify>,
) {
    let is_known = || view.replica_set().version > 0 && view.get().configuration.revision > 0;
    loop {
        if is_known() {
            replica_set_refresh_request.notified().await;
            adopt_replica_set_from_store(&*store, &view).await;
            tokio::time::sleep(VIEW_PULL_PERIOD).await;
            continue;
        }
        // A turn that waits for the set notifies `replica_set_refresh_request`, which ends the pause early.
        let is_requested = tokio::time::timeout(VIEW_PULL_PERIOD, replica_set_refresh_request.notified()).await.is_ok();
        let is_answered = members.pull_view_from_replica().await;
        if is_requested && !(is_answered && view.replica_set().version > 0) {
            adopt_replica_set_from_store(&*store, &view).await;
            tokio::time::sleep(VIEW_PULL_PERIOD).await;
        }
    }
}

/// Reads the replica set from the store and puts it into the view, unless the view has a newer one.
async fn adopt_replica_set_from_store(store: &dyn MetadataStore, view: &Arc<ViewHolder>) {
    match store.list(Kind::ReplicaSet, Freshness::MayBeOld).await {
        Ok(listing) => ReplicaSetFollower { view: view.clone() }.apply_list(listing.objects, listing.revision),
        Err(error) => {
            log::debug!(target: part::STORE, "The replica set could not be read from the platform's store: {error}.")
        }
    }
}
