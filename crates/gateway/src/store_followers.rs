//! Followers that copy the contents of the platform's store into this node's view, one for each kind of object.
//!
//! Each follower converts lists and changes of objects into its part of the view, and reports the revision up to which
//! that part is complete. The view ignores lists and changes that are older than its state; `store_watch` decides when
//! the store is read. An object that cannot be read is logged here. If this object is the configuration or the replica
//! set, the previous one stays in force.

use crate::logging::part;
use crate::peers::engine_list::{ApplyOutcome, EngineChanges};
use crate::peers::view::{Origin, ViewHolder};
use crate::ports::configuration::{EngineEntry, RetirementRequest};
use crate::ports::store::{Change, ObjectBody, StoredObject};
use crate::store_watch::Follower;
use foxnotch_scheduler::zone_drain::ZoneDrains;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Copies the configuration into the view.
pub struct ConfigurationFollower {
    /// The view that receives the configuration.
    pub view: Arc<ViewHolder>,
}

impl Follower for ConfigurationFollower {
    fn apply_object(&mut self, object: StoredObject) {
        match object.body {
            ObjectBody::Configuration(configuration) => {
                self.view.adopt_configuration(object.revision, configuration, Origin::Store);
            }
            ObjectBody::Unreadable(problem) => {
                log::error!(
                    target: part::STORE,
                    "Configuration {} in the store is rejected, so the configuration in force stays: {problem}.",
                    object.name
                );
            }
            // The adapter delivers no other body for this kind.
            _ => {}
        }
    }

    fn confirm_up_to(&mut self, revision: u64) {
        self.view.confirm_configuration(revision);
    }

    /// There is only one configuration object, so all objects of this kind are known up to that object's revision.
    fn known_revision(&self) -> u64 {
        self.view.get().whole_configuration_revision()
    }
}

/// Copies the list of engines into the view.
pub struct EngineFollower {
    /// The view that receives the list of engines.
    pub view: Arc<ViewHolder>,
}

/// Returns the engine that an object describes; logs an object that cannot be read.
fn read_engine(object: StoredObject) -> Option<EngineEntry> {
    match object.body {
        ObjectBody::Engine(engine) => Some(engine),
        ObjectBody::Unreadable(problem) => {
            log::error!(
                target: part::STORE,
                "Engine {} gets no requests, because its entry cannot be read: {problem}.",
                object.name,
            );
            None
        }
        _ => None,
    }
}

/// Reduces changes to the latest one of each engine. An engine that was deleted, or whose entry cannot be read, is
/// removed from the view and gets no requests.
fn latest_engine_changes(changes: Vec<Change>) -> EngineChanges {
    let mut latest: BTreeMap<String, Option<EngineEntry>> = BTreeMap::new();
    for change in changes {
        let name = change.object.name.clone();
        let engine = if change.is_deleted { None } else { read_engine(change.object) };
        latest.insert(name, engine);
    }
    let mut changes = EngineChanges::default();
    for (name, engine) in latest {
        match engine {
            Some(engine) => changes.changed.push(engine),
            None => changes.gone.push(name),
        }
    }
    changes
}

impl Follower for EngineFollower {
    fn apply_list(&mut self, objects: Vec<StoredObject>, revision: u64) {
        let engines = objects.into_iter().filter_map(read_engine).collect();
        self.view.adopt_engines(revision, engines, Origin::Store);
    }

    fn apply_changes(&mut self, changes: Vec<Change>, since: u64, revision: u64) -> bool {
        self.view.record_versions_in_changes(changes.iter().filter_map(|change| match &change.object.body {
            ObjectBody::Engine(engine) => Some(engine),
            _ => None,
        }));
        let applied = self.view.adopt_engine_changes(since, revision, latest_engine_changes(changes), Origin::Store);
        applied != ApplyOutcome::Gap
    }

    fn confirm_up_to(&mut self, _revision: u64) {
        self.view.confirm_engines(Duration::ZERO);
    }

    /// While software versions are missing, this node's watch begins at the revision up to which it has itself read the
    /// store, so that it reads the entries that came from nodes of older builds.
    fn known_revision(&self) -> u64 {
        self.view.get().whole_engines_revision()
    }
}

/// Copies the replica set into the view. Replicas watch the store for changes of the set. A gateway reads the set from
/// the store only when a turn needs a set and the gateway has none, or when too few replicas of its set answer a turn.
pub struct ReplicaSetFollower {
    /// The view that receives the replica set.
    pub view: Arc<ViewHolder>,
}

impl Follower for ReplicaSetFollower {
    fn apply_object(&mut self, object: StoredObject) {
        match object.body {
            ObjectBody::ReplicaSet(set) => {
                self.view.adopt_set(&set, Origin::Store);
            }
            ObjectBody::Unreadable(problem) => {
                log::error!(
                    target: part::STORE,
                    "The replica set in the store is rejected, and this node goes on using the set that it has: \
                     {problem}."
                );
            }
            _ => {}
        }
    }
}

/// Copies operators' requests to retire replicas into the view.
pub struct RetirementFollower {
    /// The view that receives the retirement requests.
    pub view: Arc<ViewHolder>,
}

fn read_retirement(object: StoredObject) -> Option<RetirementRequest> {
    match object.body {
        ObjectBody::Retirement { within, done } => {
            // Every realistic time fits into 64 bits.
            let within_ms = u64::try_from(within.as_millis()).unwrap_or(u64::MAX);
            Some(RetirementRequest { name: object.name, within_ms, done })
        }
        ObjectBody::Unreadable(problem) => {
            log::error!(
                target: part::STORE,
                "The request to retire replica {} is ignored, because it cannot be read: {problem}.",
                object.name,
            );
            None
        }
        _ => None,
    }
}

impl Follower for RetirementFollower {
    fn apply_list(&mut self, objects: Vec<StoredObject>, revision: u64) {
        let requests = objects.into_iter().filter_map(read_retirement).collect();
        self.view.adopt_retirements(revision, requests, Origin::Store);
    }

    fn apply_changes(&mut self, changes: Vec<Change>, _since: u64, revision: u64) -> bool {
        let mut requests = (*self.view.get().retirements.value).clone();
        for change in changes {
            requests.retain(|request| request.name != change.object.name);
            if !change.is_deleted {
                requests.extend(read_retirement(change.object));
            }
        }
        self.view.adopt_retirements(revision, requests, Origin::Store);
        true
    }

    fn known_revision(&self) -> u64 {
        self.view.get().retirements.revision
    }
}

/// Copies the drained zones into the view.
pub struct ZoneDrainFollower {
    /// The view that receives the drained zones.
    pub view: Arc<ViewHolder>,
}

impl Follower for ZoneDrainFollower {
    fn apply_list(&mut self, objects: Vec<StoredObject>, revision: u64) {
        // Only the object's name is used, which is the zone's name. So an object whose content cannot be read drains
        // its zone too.
        let drains = ZoneDrains::of(objects.into_iter().map(|object| object.name));
        self.view.adopt_zone_drains(revision, drains, Origin::Store);
    }

    fn apply_changes(&mut self, changes: Vec<Change>, _since: u64, revision: u64) -> bool {
        let mut drains = (*self.view.get().zone_drains.value).clone();
        for change in changes {
            if change.is_deleted {
                drains.remove(&change.object.name);
            } else {
                drains.insert(change.object.name);
            }
        }
        self.view.adopt_zone_drains(revision, drains, Origin::Store);
        true
    }

    /// If the view has no revision of the zone drains yet, the first confirmation shows that the store has no drains,
    /// and sets the revision. Later confirmations change nothing and are not sent to other nodes.
    fn confirm_up_to(&mut self, revision: u64) {
        let known = self.view.get().zone_drains;
        if known.revision == 0 {
            self.view.adopt_zone_drains(revision, (*known.value).clone(), Origin::Store);
        }
    }

    fn known_revision(&self) -> u64 {
        self.view.get().zone_drains.revision
    }
}
