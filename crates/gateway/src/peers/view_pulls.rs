//! Schedules this node's pulls of other nodes' views: one pull at a time.
//!
//! Several members announce the same newer view within milliseconds, and each answer may hold the whole configuration.
//! Concurrent pulls would fill this node's link, and those of the members, with the same content.

use crate::locks::lock;
use crate::peers::addresses::member_socket_address;
use crate::peers::rpc_client::RpcClient;
use crate::peers::view::{View, ViewHolder};
use crate::peers::view_exchange::{self, PullError};
use foxnotch_wire::{MemberUpdate, NodeId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// Time after a failed pull in which the same node is not asked again, so that another node that announced the view is
/// asked first. Most failed pulls take about as long as this pause, so two nodes are asked alternately.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Schedules the pulls of this node.
pub(super) struct ViewPulls {
    client: Arc<RpcClient>,
    view: Arc<ViewHolder>,
    /// One permit, held by the pull in progress.
    active_permit: Arc<Semaphore>,
    /// One permit, held by a pull that is delayed in case the newer view arrives from the store or by a store update.
    delayed_permit: Arc<Semaphore>,
    /// When the last failed pull from each node ended. Entries older than [`FAILURE_PAUSE`] are removed.
    failures: Mutex<HashMap<NodeId, Instant>>,
}

impl ViewPulls {
    /// Creates a scheduler with no pull in progress.
    pub(super) fn new(client: Arc<RpcClient>, view: Arc<ViewHolder>) -> Self {
        let one_permit = || Arc::new(Semaphore::new(1));
        Self { client, view, active_permit: one_permit(), delayed_permit: one_permit(), failures: Mutex::default() }
    }

    /// Pulls the view of the node at `address`, after the pull in progress if there is one.
    ///
    /// # Errors
    /// [`PullError`], which has been logged.
    pub(super) async fn pull_view_from(&self, address: SocketAddr) -> Result<(), PullError> {
        // The semaphore lives as long as `self` and is never closed, so this cannot fail.
        let _permit = self.active_permit.acquire().await;
        view_exchange::pull_newer_parts(&self.client, &self.view, address).await
    }

    fn failed_recently(&self, node: NodeId) -> bool {
        let mut failures = lock(&self.failures);
        failures.retain(|_, failed_at| failed_at.elapsed() < FAILURE_PAUSE);
        failures.contains_key(&node)
    }

    fn record_failure(&self, node: NodeId) {
        lock(&self.failures).insert(node, Instant::now());
    }

    /// Pulls the view of a member that has a newer one, unless the newer view arrives from the store or by a store
    /// update within `usual_delay`. Pulls at once if this node has no configuration or no list of engines.
    pub(super) fn pull_view_if_behind(self: &Arc<Self>, from: MemberUpdate, usual_delay: Duration) {
        // A view may have the zone drains but neither a configuration nor a list of engines. Its revision may still
        // equal that of the complete views of other nodes, so the revision alone does not show that parts are missing.
        let misses_a_part = |view: &View| view.configuration.revision == 0 || view.engines.revision == 0;
        let delay = if misses_a_part(&self.view.get()) { Duration::ZERO } else { usual_delay };
        let is_behind = move |view: &View| {
            from.config_revision > view.revision() || from.config_revision > 0 && misses_a_part(view)
        };
        self.pull_view_after_delay(from, delay, is_behind, || {});
    }

    /// Pulls the view of a member after `delay`, if `is_behind` still returns true for this node's view at that time.
    /// Then calls `caught_up` if `is_behind` returns false, whether because of the pull or for another reason.
    ///
    /// Does nothing in these cases:
    ///
    /// - `is_behind` returns false already before the delay.
    /// - A pull from the member failed recently.
    /// - `delay` is zero and a pull is in progress.
    /// - `delay` is not zero and another pull is delayed already.
    pub(super) fn pull_view_after_delay(
        self: &Arc<Self>,
        from: MemberUpdate,
        delay: Duration,
        is_behind: impl Fn(&View) -> bool + Send + 'static,
        caught_up: impl FnOnce() + Send + 'static,
    ) {
        let Some(address) = member_socket_address(&from.address) else { return };
        if !is_behind(&self.view.get()) || self.failed_recently(from.node) {
            return;
        }
        let permits = if delay.is_zero() { &self.active_permit } else { &self.delayed_permit };
        let Ok(permit) = permits.clone().try_acquire_owned() else { return };
        let pulls = self.clone();
        tokio::spawn(async move {
            let mut permit_after_delay = None;
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
                // The semaphore lives as long as `pulls` and is never closed, so this cannot fail.
                permit_after_delay = pulls.active_permit.acquire().await.ok();
            }
            let is_still_behind = is_behind(&pulls.view.get());
            if is_still_behind && view_exchange::pull_newer_parts(&pulls.client, &pulls.view, address).await.is_err() {
                pulls.record_failure(from.node);
            }
            if !is_behind(&pulls.view.get()) {
                caught_up();
            }
            drop(permit_after_delay);
            drop(permit);
        });
    }
}
