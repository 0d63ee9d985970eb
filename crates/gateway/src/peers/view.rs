//! What this node knows of the platform: the configuration, the engines and the replica set.
//!
//! Invariant: each part is only ever replaced by one of a higher revision, wherever it comes from. So nothing that was
//! in force goes back within the life of the process.

use crate::locks::lock;
use crate::logging::part;
use crate::ports::configuration::{Configuration, EngineEntry};
use foxnotch_wire::ReplicaSet;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// A part of the view with its revision.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// The revision; 0 when nothing is known.
    pub revision: u64,
    /// The content.
    pub value: Arc<T>,
}

impl<T: Default> Default for Versioned<T> {
    fn default() -> Self {
        Self { revision: 0, value: Arc::default() }
    }
}

/// All parts.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub configuration: Versioned<Configuration>,
    /// The engines, ordered by identifier.
    pub engines: Versioned<Vec<EngineEntry>>,
    /// The replica set.
    pub set: Arc<ReplicaSet>,
}

impl View {
    /// The newest revision of any part that the platform counts.
    pub fn revision(&self) -> u64 {
        self.configuration.revision.max(self.engines.revision)
    }
}

/// Where a change came from, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The platform's store.
    Store,
    /// Another node.
    Peer,
    /// This node's disk.
    Disk,
}

/// The view, shared by all parts of the process.
pub struct ViewHolder {
    view: Mutex<View>,
    changed: watch::Sender<u64>,
}

impl Default for ViewHolder {
    fn default() -> Self {
        Self { view: Mutex::default(), changed: watch::Sender::new(0) }
    }
}

impl ViewHolder {
    /// The view as it is.
    pub fn get(&self) -> View {
        lock(&self.view).clone()
    }

    /// The replica set as it is.
    pub fn set(&self) -> Arc<ReplicaSet> {
        lock(&self.view).set.clone()
    }

    /// Told of each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn change(&self, apply: impl FnOnce(&mut View) -> bool) -> bool {
        let changed = apply(&mut lock(&self.view));
        if changed {
            self.changed.send_modify(|count| *count += 1);
        }
        changed
    }

    /// Takes a configuration if it is newer.
    pub fn adopt_configuration(&self, revision: u64, configuration: Configuration, origin: Origin) -> bool {
        let version = configuration.version;
        let routes = configuration.routes.len();
        let adopted = self.change(|view| {
            let newer = revision > view.configuration.revision;
            if newer {
                view.configuration = Versioned { revision, value: Arc::new(configuration) };
            }
            newer
        });
        if adopted {
            log::info!(target: part::VIEW, "Configuration in force: version={version} revision={revision} routes={routes} origin={origin:?}.");
        }
        adopted
    }

    /// Takes a list of engines if it is newer.
    pub fn adopt_engines(&self, revision: u64, mut engines: Vec<EngineEntry>, origin: Origin) -> bool {
        engines.sort_by(|left, right| left.id.cmp(&right.id));
        let draining = engines.iter().filter(|engine| engine.draining).count();
        let count = engines.len();
        let adopted = self.change(|view| {
            let newer = revision > view.engines.revision;
            let differs = *view.engines.value != engines;
            if newer {
                view.engines = Versioned { revision, value: Arc::new(engines) };
            }
            newer && differs
        });
        if adopted {
            log::info!(target: part::VIEW, "Engines known: count={count} draining={draining} revision={revision} origin={origin:?}.");
        }
        adopted
    }

    /// Takes a replica set if it is newer.
    pub fn adopt_set(&self, set: &ReplicaSet, origin: Origin) -> bool {
        let adopted = self.change(|view| {
            let newer = set.version > view.set.version;
            if newer {
                view.set = Arc::new(set.clone());
            }
            newer
        });
        if adopted {
            let members: Vec<u32> = set.members.iter().map(|member| member.node.0).collect();
            log::info!(target: part::VIEW, "Replica set known: version={} members={members:?} origin={origin:?}.", set.version);
        }
        adopted
    }
}
