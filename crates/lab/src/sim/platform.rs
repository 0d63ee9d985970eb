//! The simulated platform: engines, object API and machine list.

use crate::model::engine::{DispatchKey, EngineModel, EngineParameters};
use crate::model::objects::ObjectModel;
use foxnotch::backend::object_to_wire;
use foxnotch_core::router::{Machine, MachineRole};
use foxnotch_wire::{ConfigDelta, EngineId, NodeId};
use std::collections::{BTreeMap, VecDeque};

/// Name of the model that all simulated engines serve.
pub const MODEL: &str = "model";

/// A node that reads the answer stream of a dispatch.
#[derive(Clone, Copy, Debug)]
pub struct Follower {
    /// The node that reads the stream.
    pub node: NodeId,
    /// Number of the node's start after which it opened the stream. After a restart the node no longer reads the
    /// stream.
    pub generation: u64,
    /// Bytes of the answer sent so far.
    pub sent_bytes: usize,
}

/// An engine: its model and its state as a process.
#[derive(Clone, Debug)]
pub struct SimEngine {
    /// Identifier of the engine.
    pub id: EngineId,
    /// Zone of the engine.
    pub zone: u8,
    /// The engine's queue, cache and answers.
    pub model: EngineModel,
    /// Whether the process runs.
    pub up: bool,
    /// Number of restarts so far.
    pub generation: u64,
    /// Whether the engine is leaving; the machine list shows this after its lag.
    pub leaving: bool,
    /// The followers of each dispatch.
    pub followers: BTreeMap<DispatchKey, Vec<Follower>>,
    /// Time of the scheduled next step in milliseconds; none when no step is scheduled.
    pub scheduled: Option<u64>,
}

/// Parameters of the simulated engines. Several tokens a step make a simulation faster.
pub fn engine_parameters() -> EngineParameters {
    EngineParameters {
        model: MODEL.to_owned(),
        batch_limit: 8,
        prefill_rate: 20_000,
        prefill_chunk: 1024,
        step_base_us: 30_000,
        step_call_us: 2_000,
        tokens_per_step: 8,
        capacity_blocks: 512,
        report_lag_us: 200_000,
    }
}

impl SimEngine {
    /// Creates a running engine with an empty cache.
    pub fn new(id: EngineId, zone: u8) -> Self {
        Self {
            id,
            zone,
            model: EngineModel::new(engine_parameters()),
            up: true,
            generation: 0,
            leaving: false,
            followers: BTreeMap::new(),
            scheduled: None,
        }
    }

    /// The engine's entry in the machine list.
    pub fn machine(&self) -> Machine {
        Machine {
            id: self.id.0,
            role: MachineRole::Engine,
            serves: MODEL.to_owned(),
            zone: self.zone,
            address: String::new(),
            leaving: self.leaving,
        }
    }
}

/// A node's pending read of the object API, answered at the next change.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// The node that waits for a change.
    pub node: NodeId,
    /// Number of the node's start after which it sent the read.
    pub generation: u64,
    /// The revision that the node already has.
    pub after: u64,
    /// Time at which the read is answered even without a change, milliseconds.
    pub until: u64,
}

/// The object API with its faults.
#[derive(Clone, Debug, Default)]
pub struct SimStore {
    /// The stored objects and their revisions.
    pub model: ObjectModel,
    /// End of the current outage, milliseconds.
    pub down_until: u64,
    /// End of the current slowness, milliseconds.
    pub slow_until: u64,
    /// Number of further writes whose response is lost.
    pub lose_answers: u8,
    /// Reads that wait for a change.
    pub watches: Vec<Watch>,
    /// Time of the last accepted write, milliseconds.
    pub written_at: u64,
}

impl SimStore {
    /// The changes after a revision, in the form in which nodes receive them.
    pub fn delta(&self, after: u64) -> ConfigDelta {
        let list = self.model.list_after(after);
        ConfigDelta {
            since: after,
            revision: list.revision,
            objects: list.objects.iter().map(object_to_wire).collect(),
        }
    }
}

/// One published state of the machine list and its time.
#[derive(Clone, Debug)]
struct ListVersion {
    made_at: u64,
    machines: Vec<Machine>,
}

/// The machine list, which shows each change with a delay.
#[derive(Clone, Debug, Default)]
pub struct SimMachineList {
    versions: VecDeque<ListVersion>,
    /// Time until which the list shows no further change, milliseconds.
    pub stuck_until: u64,
}

/// Interval at which a node reads the list.
pub const MACHINE_LIST_PERIOD_MS: u64 = 1000;
/// Delay with which the list shows a change.
pub const MACHINE_LIST_LAG_MS: u64 = 500;

impl SimMachineList {
    /// Publishes a new state of the list, which shows it after [`MACHINE_LIST_LAG_MS`].
    pub fn publish(&mut self, machines: Vec<Machine>, now: u64) {
        self.versions.push_back(ListVersion { made_at: now, machines });
    }

    /// The machines that the list shows now.
    pub fn shown_machines(&mut self, now: u64) -> Vec<Machine> {
        while now >= self.stuck_until
            && self.versions.len() > 1
            && self.versions[1].made_at + MACHINE_LIST_LAG_MS <= now
        {
            self.versions.pop_front();
        }
        self.versions.front().map(|version| version.machines.clone()).unwrap_or_default()
    }
}
