//! This node's view of the platform: the configuration, the engines, retirements, zone drains and the replica set.
//!
//! Invariant: each part is only replaced by one of a higher revision, whatever its source. So no part returns to an
//! older state while the process runs. There are two exceptions for what came from nodes of older builds: a partial
//! configuration is replaced by the whole one of the same revision, and so are engines' entries without a software
//! version.
//!
//! A configuration that was read from replicas' disks is marked as [`UnconfirmedConfiguration`] until the platform's
//! store has confirmed it: it is used to serve requests, but not to deny any.

use crate::clock::time_of_day_ms;
use crate::locks::lock;
use crate::logging::part;
use crate::peers::engine_list::{misses_software_versions, ApplyOutcome, EngineChanges, EngineList};
use crate::peers::view_codec::encode_view_part;
use crate::peers::watcher_role::WatcherRole;
use crate::ports::configuration::{Configuration, EngineEntry, RetirementRequest};
use foxnotch_scheduler::residency::Residency;
use foxnotch_scheduler::stream_version::OnlyVersion;
use foxnotch_scheduler::version_history::{Continuity, EngineStart, ListedEngine, VersionHistory};
use foxnotch_scheduler::zone_drain::{DrainStarts, ZoneDrains};
use foxnotch_wire::{Content, ReplicaSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A part of the view with its revision.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// The store's revision of the part; 0 if the part was not received yet.
    pub revision: u64,
    /// The part's content as of that revision.
    pub value: Arc<T>,
}

impl<T: Default> Default for Versioned<T> {
    fn default() -> Self {
        Self { revision: 0, value: Arc::default() }
    }
}

/// Marks a configuration that was read from replicas' disks and that the platform's store has not confirmed yet. The
/// store may have a newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedConfiguration {
    /// When the configuration was first written to a disk, in milliseconds since 1970. For display only, since the
    /// clocks of machines differ and jump.
    pub at_ms: u64,
}

impl UnconfirmedConfiguration {
    /// Time since the configuration was first written to a disk, by this node's clock.
    pub fn age(self) -> Duration {
        Duration::from_millis(time_of_day_ms().saturating_sub(self.at_ms))
    }
}

/// All parts of the view.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration that this node applies, with its revision; revision 0 while none is known.
    pub configuration: Versioned<Configuration>,
    /// Present while the store has not confirmed the configuration.
    pub unconfirmed: Option<UnconfirmedConfiguration>,
    /// Whether the configuration came from a node of an older build, which drops the fields that it does not know.
    pub is_configuration_partial: bool,
    /// The engines, ordered by identifier.
    pub engines: Versioned<Vec<EngineEntry>>,
    /// The operator's requests to retire replicas.
    pub retirements: Versioned<Vec<RetirementRequest>>,
    /// Drained zones, whose engines get no new work.
    pub zone_drains: Versioned<ZoneDrains>,
    /// The time at which this node learned of each drain. It determines which programs may continue in a drained zone.
    pub drain_starts: Arc<DrainStarts>,
    /// The newest known version of the replica set; version 0 while none is known.
    pub set: Arc<ReplicaSet>,
}

impl View {
    /// The revision of the configuration if it is whole. For a partial one, the revision minus 1, so that this node
    /// pulls the whole configuration of the same revision.
    pub fn whole_configuration_revision(&self) -> u64 {
        self.configuration.revision.saturating_sub(u64::from(self.is_configuration_partial))
    }

    /// The revision of the list of engines if it has the software versions of all of them. Otherwise 0, so that this
    /// node gets the whole list again.
    pub fn whole_engines_revision(&self) -> u64 {
        if misses_software_versions(&self.engines.value) {
            0
        } else {
            self.engines.revision
        }
    }

    /// Whether the deployment uses a feature that nodes of older builds do not know: zone drains, requests restricted
    /// to regions, or engines with a slow start. If it does, the views of those nodes are incomplete.
    pub fn uses_features_unknown_to_older_builds(&self) -> bool {
        let configuration = &self.configuration.value;
        let tenants = configuration.tenants.iter().flatten();
        self.zone_drains.revision > 0
            || configuration.services.iter().any(|service| service.slow_start.is_some())
            || configuration.routes.iter().any(|route| route.residency != Residency::default())
            || tenants.into_iter().any(|tenant| tenant.residency != Residency::default())
    }

    /// The highest revision of the configuration, the engines and the zone drains.
    pub fn revision(&self) -> u64 {
        self.configuration.revision.max(self.engines.revision).max(self.zone_drains.revision)
    }
}

/// Source of a change of the view. A configuration from [`Self::OlderPeer`] is marked as partial; otherwise the source
/// is only logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// An answer of the platform's store to this node.
    Store,
    /// Another node, which sent its view or a part of it.
    Peer,
    /// Another node, of an older build: the fields that its build does not know are missing.
    OlderPeer,
    /// This node's disk, from which the part was read when the process started.
    Disk,
    /// Disks of replicas. So many replicas have answered that the others cannot store a newer version.
    StoredByReplicas,
}

/// What the history of software versions reads of an engine's entry.
fn listed_engine(entry: &EngineEntry) -> ListedEngine {
    ListedEngine {
        service: entry.service.clone(),
        start: EngineStart { id: entry.id.clone(), address: entry.address.clone(), started_at_ms: entry.started_at_ms },
        version: entry.software_version.clone(),
    }
}

/// The view, and the list of engines with its latest changes, which are sent to other nodes instead of the whole list.
#[derive(Debug, Default)]
struct ViewState {
    view: View,
    engines: EngineList,
    /// The software versions that the engines of the list have and had.
    versions: VersionHistory,
}

impl ViewState {
    fn copy_engines_into_view(&mut self, continuity: Continuity) {
        self.view.engines = Versioned { revision: self.engines.revision(), value: self.engines.engines().clone() };
        let listed = self.engines.engines().iter().map(listed_engine).collect();
        self.versions.add_list(listed, continuity, Instant::now());
    }
}

/// The view of this process, shared between its tasks.
pub struct ViewHolder {
    state: Mutex<ViewState>,
    changed: watch::Sender<u64>,
    /// The highest configuration revision that another node has reported.
    newest_peer_configuration: AtomicU64,
    /// The last encoded configuration, with its revision. It is cached so that each configuration is encoded only once
    /// for all nodes that pull it.
    encoded: Mutex<(u64, Content)>,
    /// Tells how long ago the store last confirmed this node's data. A drain of which this node learns now was set at
    /// most that long ago. Unset in replicas, which do not need that time.
    watcher_role: OnceLock<Arc<WatcherRole>>,
}

impl Default for ViewHolder {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            newest_peer_configuration: AtomicU64::new(0),
            encoded: Mutex::default(),
            watcher_role: OnceLock::new(),
        }
    }
}

impl ViewHolder {
    /// A snapshot of the view.
    pub fn get(&self) -> View {
        lock(&self.state).view.clone()
    }

    /// Sets the role that tells how long ago the store last confirmed this node's data.
    pub fn set_watcher_role(&self, watcher_role: Arc<WatcherRole>) {
        // A process has one role; a second call changes nothing.
        let _ = self.watcher_role.set(watcher_role);
    }

    /// Records that another node has a configuration of this revision.
    pub fn record_peer_configuration_revision(&self, revision: u64) {
        self.newest_peer_configuration.fetch_max(revision, Ordering::Relaxed);
    }

    /// Whether another node has reported a newer configuration than this node has.
    pub fn is_configuration_behind(&self) -> bool {
        self.newest_peer_configuration.load(Ordering::Relaxed) > lock(&self.state).view.configuration.revision
    }

    /// Whether the configuration was read from replicas' disks and is not confirmed yet.
    pub fn is_configuration_unconfirmed(&self) -> bool {
        lock(&self.state).view.unconfirmed.is_some()
    }

    /// A configuration, encoded for other nodes. Caches the last encoded configuration by its revision.
    pub fn encoded_configuration(&self, configuration: &Versioned<Configuration>) -> Content {
        let mut encoded = lock(&self.encoded);
        if encoded.0 != configuration.revision {
            *encoded = (configuration.revision, encode_view_part(&*configuration.value));
        }
        encoded.1.clone()
    }

    /// The newest known version of the replica set; version 0 while none is known.
    pub fn replica_set(&self) -> Arc<ReplicaSet> {
        lock(&self.state).view.set.clone()
    }

    /// Subscribes to changes of any part; the channel's value is the number of changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Changes the view and notifies the subscribers. `apply` returns whether it has changed the view.
    fn update_view(&self, apply: impl FnOnce(&mut View) -> bool) -> bool {
        let changed = apply(&mut lock(&self.state).view);
        if changed {
            self.changed.send_modify(|count| *count += 1);
        }
        changed
    }

    /// Adopts a configuration if it is newer. Returns whether it was adopted.
    pub fn adopt_configuration(&self, revision: u64, configuration: Configuration, origin: Origin) -> bool {
        let version = configuration.version;
        let routes = configuration.routes.len();
        let adopted = self.replace_configuration(revision, configuration, None, origin);
        if adopted {
            log::info!(
                target: part::VIEW,
                "Configuration in force: version={version} revision={revision} routes={routes} origin={origin:?}.",
            );
        }
        adopted
    }

    /// Adopts an unconfirmed configuration, from replicas' disks, if it is newer. Returns whether it was adopted.
    pub fn adopt_unconfirmed_configuration(
        &self,
        revision: u64,
        configuration: Configuration,
        unconfirmed: UnconfirmedConfiguration,
        origin: Origin,
    ) -> bool {
        let version = configuration.version;
        let routes = configuration.routes.len();
        let adopted = self.replace_configuration(revision, configuration, Some(unconfirmed), origin);
        if adopted {
            log::warn!(
                target: part::VIEW,
                "Unconfirmed configuration from replicas' disks in force until the store answers: version={version} \
                 revision={revision} routes={routes} age={:?} origin={origin:?}; `age` is the time since a replica \
                 first stored the configuration.",
                unconfirmed.age(),
            );
        }
        adopted
    }

    fn replace_configuration(
        &self,
        revision: u64,
        configuration: Configuration,
        unconfirmed: Option<UnconfirmedConfiguration>,
        origin: Origin,
    ) -> bool {
        let is_partial = origin == Origin::OlderPeer;
        self.update_view(|view| {
            // The whole configuration replaces a partial one of the same revision, which otherwise would stay in force
            // until the next change.
            let current_revision =
                if is_partial { view.configuration.revision } else { view.whole_configuration_revision() };
            let is_newer = revision > current_revision;
            if is_newer {
                view.configuration = Versioned { revision, value: Arc::new(configuration) };
                view.unconfirmed = unconfirmed;
                view.is_configuration_partial = is_partial;
                *lock(&self.encoded) = Default::default();
            }
            is_newer
        })
    }

    /// Records that the platform's store has, at present, no configuration above revision `newest`. Confirms an
    /// unconfirmed configuration whose revision is at most `newest`.
    pub fn confirm_configuration(&self, newest: u64) {
        let confirmed = {
            let view = &mut lock(&self.state).view;
            let unconfirmed = view.unconfirmed.take_if(|_| (1..=newest).contains(&view.configuration.revision));
            unconfirmed.map(|unconfirmed| (unconfirmed, view.configuration.value.version))
        };
        if let Some((unconfirmed, version)) = confirmed {
            log::info!(
                target: part::VIEW,
                "The store confirmed the configuration from replicas' disks: version={version} age={:?}; `age` is the \
                 time since a replica first stored the configuration.",
                unconfirmed.age(),
            );
        }
    }

    /// Adopts a list of engines if it is newer, or completes entries that came from nodes of older builds. Returns whether the
    /// list differs from the one before.
    pub fn adopt_engines(&self, revision: u64, engines: Vec<EngineEntry>, origin: Origin) -> bool {
        let adopted = {
            let mut state = lock(&self.state);
            let (before, revision_before) = (state.engines.engines().clone(), state.engines.revision());
            let is_replaced = state.engines.replace(revision, engines);
            if is_replaced {
                let is_same_revision = state.engines.revision() == revision_before;
                let continuity = if is_same_revision { Continuity::SameRevision } else { Continuity::ResultOnly };
                state.copy_engines_into_view(continuity);
            }
            is_replaced && before != *state.engines.engines()
        };
        if adopted {
            self.publish_engine_change(origin);
        }
        adopted
    }

    /// Applies all changes of engines after `since`, up to and including `revision`. If it returns
    /// [`ApplyOutcome::Gap`], the caller has to get the whole list instead.
    pub fn adopt_engine_changes(
        &self,
        since: u64,
        revision: u64,
        changes: EngineChanges,
        origin: Origin,
    ) -> ApplyOutcome {
        let applied = {
            let mut state = lock(&self.state);
            let applied = state.engines.apply_changes(since, revision, changes);
            match applied {
                // The store sends every change, other nodes send the latest state of each engine.
                ApplyOutcome::Applied if origin != Origin::Store => {
                    state.copy_engines_into_view(Continuity::ResultOnly);
                }
                ApplyOutcome::Applied => state.copy_engines_into_view(Continuity::AllChanges),
                ApplyOutcome::VersionsFilledIn => state.copy_engines_into_view(Continuity::SameRevision),
                ApplyOutcome::AlreadyKnown | ApplyOutcome::Gap => {}
            }
            applied
        };
        if matches!(applied, ApplyOutcome::Applied | ApplyOutcome::VersionsFilledIn) {
            self.publish_engine_change(origin);
        }
        applied
    }

    /// Records the software versions of engines that the store names in its changes, including those of engines that are
    /// gone again when the changes are applied.
    pub fn record_versions_in_changes<'a>(&self, entries: impl Iterator<Item = &'a EngineEntry>) {
        let mut state = lock(&self.state);
        for entry in entries {
            state.versions.add_passing_engine(listed_engine(entry), Instant::now());
        }
    }

    /// Records that the list of engines was that of the store `age` ago.
    pub fn confirm_engines(&self, age: Duration) {
        if let Some(at) = Instant::now().checked_sub(age) {
            lock(&self.state).versions.confirm(at);
        }
    }

    /// The software version that all engines of a service have, including those that get no new requests. `None` if
    /// they have several, if the version of an engine is unknown, or if no engine is listed.
    pub fn only_version(&self, service: &str) -> Option<OnlyVersion<String>> {
        lock(&self.state).versions.only_version(service, Instant::now())
    }

    /// Whether the software version of a listed engine is unknown.
    pub fn misses_software_versions(&self) -> bool {
        misses_software_versions(&lock(&self.state).view.engines.value)
    }

    /// The changes of engines since a revision; none when the whole list has to be sent instead.
    pub fn engine_changes_since(&self, since: u64) -> Option<EngineChanges> {
        lock(&self.state).engines.changes_since(since)
    }

    fn publish_engine_change(&self, origin: Origin) {
        self.changed.send_modify(|count| *count += 1);
        let engines = self.get().engines;
        let draining = engines.value.iter().filter(|engine| engine.draining).count();
        log::info!(
            target: part::VIEW,
            "List of engines updated: count={} draining={draining} revision={} origin={origin:?}.",
            engines.value.len(),
            engines.revision,
        );
    }

    /// Adopts the list of retirement requests if it is newer. Returns whether it differs from the one before.
    pub fn adopt_retirements(&self, revision: u64, requests: Vec<RetirementRequest>, origin: Origin) -> bool {
        let names: Vec<String> = requests.iter().map(|request| request.name.clone()).collect();
        let adopted = self.update_view(|view| {
            let is_newer = revision > view.retirements.revision;
            let differs = *view.retirements.value != requests;
            if is_newer {
                view.retirements = Versioned { revision, value: Arc::new(requests) };
            }
            is_newer && differs
        });
        if adopted {
            log::info!(
             target: part::VIEW,
             "The list of replicas that are to retire or have retired was updated (`names` are their node names): \
              names={names:?} revision={revision} origin={origin:?}.",
            );
        }
        adopted
    }

    /// Adopts the list of drained zones if it is newer. Returns whether it differs from the one before, or is the
    /// first.
    pub fn adopt_zone_drains(&self, revision: u64, drains: ZoneDrains, origin: Origin) -> bool {
        let zones: Vec<String> = drains.zones().map(str::to_owned).collect();
        // The time since the store last confirmed the data before this change. The store update that announces the
        // change does not affect this time yet: it is recorded only after its data is adopted.
        let known_age = self.watcher_role.get().and_then(|watcher_role| watcher_role.latest_contact_age());
        let adopted = self.update_view(|view| {
            let known_before = view.zone_drains.revision;
            let is_newer = revision > known_before;
            // The first list is a change even if it is empty: before it, the node did not know whether zones are
            // drained.
            let differs = known_before == 0 || *view.zone_drains.value != drains;
            if is_newer {
                let is_age_bounded = known_before > 0 && known_age.is_some();
                Arc::make_mut(&mut view.drain_starts).update(&drains, Instant::now(), is_age_bounded);
                view.zone_drains = Versioned { revision, value: Arc::new(drains) };
            }
            is_newer && differs
        });
        if adopted {
            log::info!(
                target: part::VIEW,
                "List of drained zones updated: zones={zones:?} revision={revision} origin={origin:?} \
                 knowledge_age={known_age:?}; `knowledge_age` is the time since the store confirmed the previous list.",
            );
        }
        adopted
    }

    /// Adopts a replica set if it is newer. Returns whether it was adopted.
    pub fn adopt_set(&self, set: &ReplicaSet, origin: Origin) -> bool {
        let adopted = self.update_view(|view| {
            let is_newer = set.version > view.set.version;
            if is_newer {
                view.set = Arc::new(set.clone());
            }
            is_newer
        });
        if adopted {
            let members: Vec<u32> = set.members.iter().map(|member| member.node.0).collect();
            log::info!(
                target: part::VIEW,
                "Replica set adopted: version={} members={members:?} origin={origin:?}.",
                set.version,
            );
        }
        adopted
    }
}
