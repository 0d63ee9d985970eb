//! Clients of the platform's services: engines, the object API and the machine list. Each client implements one
//! concrete protocol. Another protocol needs another client in this module and no change in `foxnotch-core`.

mod engine;
mod machines;
mod store;

use crate::http::HttpClient;
use crate::logging::part;
use foxnotch_core::effect::{EngineCommand, Event};
use foxnotch_core::router::Machine;
use foxnotch_wire::EngineId;
pub use machines::run_machine_list;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
pub use store::{object_to_wire, ObjectStore, StoreError};
use tokio::sync::mpsc;

/// The engines from which a report has been requested and not yet received.
type PendingPolls = Arc<Mutex<HashSet<EngineId>>>;

/// Sends the state machine's commands to back ends. Each command runs in its own task and reports its results as
/// events.
pub struct Backends {
    client: HttpClient,
    events: mpsc::Sender<Event>,
    store: ObjectStore,
    addresses: HashMap<EngineId, String>,
    pending_polls: PendingPolls,
}

impl Backends {
    /// Creates the clients. The engines' addresses are set later by [`Backends::set_machines`].
    pub fn new(client: HttpClient, events: mpsc::Sender<Event>, store: ObjectStore) -> Self {
        Self { client, events, store, addresses: HashMap::new(), pending_polls: PendingPolls::default() }
    }

    /// Stores the addresses of the machines. The address of an engine that is no longer listed stays, because calls
    /// may still be running on it.
    pub fn set_machines(&mut self, machines: &[Machine]) {
        for machine in machines {
            self.addresses.insert(EngineId(machine.id), machine.address.clone());
        }
    }

    /// The address of a back end, IP:port; none if the back end was in no machine list received so far.
    pub fn address(&self, engine: EngineId) -> Option<String> {
        self.addresses.get(&engine).cloned()
    }

    /// Starts a task that sends a command to an engine.
    pub fn execute(&self, engine: EngineId, command: EngineCommand) {
        let connection = self.connection(engine);
        tokio::spawn(async move { connection.execute(command).await });
    }

    fn connection(&self, engine: EngineId) -> engine::EngineConnection {
        engine::EngineConnection {
            client: self.client.clone(),
            events: self.events.clone(),
            engine,
            address: self.address(engine),
        }
    }

    /// Requests a report from an engine, unless an earlier request is still in progress.
    pub fn poll_engine(&self, engine: EngineId, after_event: u64) {
        let Ok(mut pending_polls) = self.pending_polls.lock() else { return };
        if !pending_polls.insert(engine) {
            return;
        }
        drop(pending_polls);
        let connection = self.connection(engine);
        let pending_polls = self.pending_polls.clone();
        tokio::spawn(async move {
            connection.request_report(after_event).await;
            if let Ok(mut pending_polls) = pending_polls.lock() {
                pending_polls.remove(&engine);
            }
        });
    }

    /// Requests from the object API the objects that changed after revision `after`, and reports them as an event.
    pub fn poll_store(&self, after: u64) {
        let store = self.store.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let event = store.watch(after).await;
            if events.send(event).await.is_err() {
                log::debug!(target: part::STORE, "A configuration change was dropped: the driver has ended.");
            }
        });
    }
}
