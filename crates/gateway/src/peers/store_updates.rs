//! Store updates: messages with the newest revisions of the platform's store, sent between nodes so that only a few of
//! them have to watch the store.
//!
//! A node that watches the store sends the revisions of its view to the nodes that [`compute_watcher_assignment`] returns,
//! regularly and after each change. A node that receives such an update pulls the parts in which it is behind, and then
//! forwards the update to its own receivers.

use crate::logging::part;
use crate::peers::engine_list::misses_software_versions;
use crate::peers::member_table::MemberTable;
use crate::peers::view::{View, ViewHolder};
use crate::peers::view_pulls::ViewPulls;
use crate::peers::watcher_role::{compute_watcher_assignment, Assignment, NodeInZone, Rank, WatcherRole};
use foxnotch_wire::{MemberState, MemberUpdate, Message, NodeId, ShortRevision, StoreUpdate, PROTOCOL_VERSION};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, MissedTickBehavior};

/// Shortest time between two regular updates that a node sends, as a fraction of the update period. A group head (see
/// `watcher_role`) receives the updates of two watchers and must not forward both.
const MIN_SEND_INTERVAL_FRACTION: f64 = 0.5;

/// Whether some part of the view is older than the revision that the update states for that part.
fn is_behind(view: &View, update: &StoreUpdate) -> bool {
    update.configuration_revision > view.configuration.revision
        || update.engines_revision > view.engines.revision
        || update.retirements_revision.is_after(view.retirements.revision)
        || update.zone_drains_revision.is_after(view.zone_drains.revision)
}

/// Sends and receives store updates.
pub(super) struct StoreUpdates {
    table: Arc<MemberTable>,
    view: Arc<ViewHolder>,
    watcher_role: Arc<WatcherRole>,
    view_pulls: Arc<ViewPulls>,
    /// Notified when this node's view has caught up with another node's update.
    update_accepted: Notify,
}

impl StoreUpdates {
    /// Creates the sender and receiver; [`Self::run`] starts sending updates.
    pub(super) fn new(
        table: Arc<MemberTable>,
        view: Arc<ViewHolder>,
        watcher_role: Arc<WatcherRole>,
        view_pulls: Arc<ViewPulls>,
    ) -> Self {
        Self { table, view, watcher_role, view_pulls, update_accepted: Notify::new() }
    }

    /// Sends updates to other nodes and decides repeatedly whether this node watches the platform's store. Never
    /// returns.
    pub(super) async fn run(&self) {
        let mut changed = self.view.subscribe();
        let period = self.watcher_role.times().update_period;
        let mut ticks = tokio::time::interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut previous = Assignment::default();
        let mut sent_at: Option<Instant> = None;
        loop {
            let (is_due, is_change) = tokio::select! {
                _ = ticks.tick() => (self.watcher_role.must_watch(), false),
                () = self.update_accepted.notified() => (true, false),
                _ = changed.changed() => (true, true),
            };
            let assignment = self.compute_own_rank_and_receivers();
            self.reevaluate_watcher_role(&assignment, &previous);
            let sent_recently = sent_at.is_some_and(|at| at.elapsed() < period.mul_f64(MIN_SEND_INTERVAL_FRACTION));
            if is_change || (is_due && !sent_recently) {
                self.send_update(&assignment.receivers);
                sent_at = Some(Instant::now());
            }
            previous = assignment;
        }
    }

    fn reevaluate_watcher_role(&self, assignment: &Assignment, previous: &Assignment) {
        self.watcher_role.set_rank(assignment.rank);
        let watched = self.watcher_role.must_watch();
        if self.watcher_role.reevaluate() == watched && assignment.rank == previous.rank {
            return;
        }
        let watch_state = if self.watcher_role.must_watch() { "watched by" } else { "not watched by" };
        log::info!(
            target: part::STORE,
            "The platform's store is {watch_state} this node: rank={:?} tells={} age={:?}; `rank` is this node's rank \
             in the distribution of store updates, `tells` the number of nodes to which it sends them, `age` the time \
             since the store's last answer.",
            assignment.rank,
            assignment.receivers.len(),
            self.watcher_role.latest_contact_age(),
        );
    }

    /// This node's rank and receivers, computed from the members that are neither dead nor leaving.
    fn compute_own_rank_and_receivers(&self) -> Assignment {
        let (own, mut members) = self.table.own_and_known_members();
        members.retain(|update| !matches!(update.state, MemberState::Dead | MemberState::Leaving));
        let is_gateway = |update: &&MemberUpdate| update.address.caller_port != 0;
        let in_zone = |update: &MemberUpdate| NodeInZone { node: update.node, zone: update.zone };
        let all = || members.iter().chain([&own]);
        let gateways: Vec<NodeInZone> = all().filter(is_gateway).map(in_zone).collect();
        let replicas: Vec<NodeInZone> = all().filter(|update| !is_gateway(update)).map(in_zone).collect();
        if own.state == MemberState::Leaving {
            // Other nodes know that this node is leaving and send updates to its receivers.
            return Assignment { rank: Rank::Listener, receivers: Vec::new() };
        }
        compute_watcher_assignment(in_zone(&own), &gateways, &replicas)
    }

    fn is_gateway(&self) -> bool {
        self.table.own_and_known_members().0.address.caller_port != 0
    }

    fn send_update(&self, nodes: &[NodeId]) {
        let Some(age) = self.watcher_role.latest_contact_age() else { return };
        let view = self.view.get();
        if view.unconfirmed.is_some() {
            // An update states the store's present revisions. An unconfirmed configuration may be older than the one
            // in the store.
            return;
        }
        let update = StoreUpdate {
            configuration_revision: view.configuration.revision,
            engines_revision: view.engines.revision,
            retirements_revision: ShortRevision::of(view.retirements.revision),
            zone_drains_revision: ShortRevision::of(view.zone_drains.revision),
            contact_age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
        };
        self.table.send_to(nodes, &Message::StoreUpdate(update));
    }

    /// Handles another node's update, written in `version`: pulls the parts in which this node is behind, and accepts
    /// the update once it has caught up.
    pub(super) fn handle_update(self: &Arc<Self>, from: NodeId, version: u8, mut update: StoreUpdate) {
        let is_from_older_build = version < PROTOCOL_VERSION;
        if is_from_older_build {
            // The sender's build does not know zone drains. The update gets this node's own revision of them, so that
            // they count as up to date.
            update.zone_drains_revision = ShortRevision::of(self.view.get().zone_drains.revision);
        }
        self.view.record_peer_configuration_revision(update.configuration_revision);
        let contact_age = Duration::from_millis(u64::from(update.contact_age_ms));
        if !is_behind(&self.view.get(), &update) {
            self.accept_update(&update, contact_age, is_from_older_build);
            return;
        }
        let Some(sender) = self.table.find_member(from) else { return };
        let received_at = Instant::now();
        let updates = self.clone();
        let is_behind = move |view: &View| is_behind(view, &update);
        self.view_pulls.pull_view_after_delay(sender, Duration::ZERO, is_behind, move || {
            updates.accept_update(&update, contact_age + received_at.elapsed(), is_from_older_build);
        });
    }

    /// Accepts an update after this node has caught up with it: confirms the configuration, records when the store last
    /// answered, and lets [`Self::run`] forward the update. An update from a node of an older build is ignored if this
    /// node's configuration is partial, or if the deployment uses features that the older build does not know. This
    /// node then watches the store itself until a node of its own build sends it updates.
    fn accept_update(&self, update: &StoreUpdate, contact_age: Duration, is_from_older_build: bool) {
        let view = self.view.get();
        if is_from_older_build && (view.is_configuration_partial || view.uses_features_unknown_to_older_builds()) {
            return;
        }
        if misses_software_versions(&view.engines.value) && self.is_gateway() {
            // Other nodes may get the list from an older build for as long as the upgrade takes.
            self.watcher_role.watch_on_demand();
        }
        self.view.confirm_configuration(update.configuration_revision);
        self.view.confirm_engines(contact_age);
        self.watcher_role.record_update(contact_age);
        self.update_accepted.notify_one();
    }
}
