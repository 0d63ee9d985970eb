//! The simulated world: virtual clock, event queue, and the application of actions.

use super::action::{Action, ENGINES, NODES, REPLICAS, ZONES};
use super::caller::{SimCaller, BUDGET_TOKENS, INSTANCE, SMALL_BUDGET_TOKENS, SMALL_INSTANCE, TENANT};
use super::network::Network;
use super::oracle::{Invariant, Oracle};
use super::platform::{SimEngine, SimMachineList, SimStore, MODEL};
use super::world_nodes::SimNode;
use super::world_sessions::{SessionId, SimSession};
use foxnotch::protocol::objects::{KindName, WriteObject};
use foxnotch_core::effect::{EngineCommand, Event};
use foxnotch_core::guard::Guards;
use foxnotch_core::session::SessionInput;
use foxnotch_wire::{EngineId, NodeId, ProgramId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Time within which every node has to apply an accepted configuration, counted from the write, the node's start or
/// the end of the last fault, whichever is latest.
const CONFIGURATION_LIMIT_MS: u64 = 5_000;
/// Time without faults at the end of a run, in which all programs have to finish.
const SETTLE_MS: u64 = 90_000;
/// Interval between two checks of the invariants of the whole world.
const CHECK_PERIOD_MS: u64 = 250;
/// The virtual time at which a run starts.
const START_TIME_MS: u64 = 1_000_000;

/// Identifies one run of a node's process; `generation` counts the node's starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NodeRef {
    pub(super) node: NodeId,
    pub(super) generation: u64,
}

/// An event of the world's queue.
#[derive(Clone, Debug)]
pub(super) enum WorldEvent {
    /// A node's periodic tick.
    Tick(NodeRef),
    /// A node reads the machine list.
    Poll(NodeRef),
    Deliver {
        to: NodeRef,
        event: Box<Event>,
    },
    Message {
        from: NodeId,
        to: NodeId,
        bytes: Vec<u8>,
    },
    /// A node's disk has finished a write.
    Written {
        node: NodeRef,
        ticket: u64,
    },
    /// A node starts after a crash or a planned stop.
    Start(NodeId),
    /// A suspended node resumes.
    Wake(NodeRef),
    /// A draining node stops if it has no request in flight.
    DrainCheck(NodeRef),
    DeliverCommand {
        engine: EngineId,
        from: NodeRef,
        command: Box<EngineCommand>,
    },
    EngineStep {
        engine: EngineId,
        generation: u64,
    },
    EngineStart(EngineId),
    EngineReturns(EngineId),
    StoreRead {
        reader: NodeRef,
        after: u64,
    },
    /// A node's read of the object API may have reached its timeout.
    WatchesDue,
    DiskFull {
        node: NodeId,
        full: bool,
    },
    SessionInput {
        session: SessionId,
        attempt: u64,
        input: SessionInput,
    },
    SessionDeadline(SessionId),
    /// A caller sends the request that opens or closes its program.
    Caller(u32),
    /// A caller sends the next request of a branch's script.
    CallerScript {
        caller: u32,
        script: usize,
        request: u64,
    },
    CallerTimeout {
        session: SessionId,
    },
    /// The periodic check of the invariants.
    Check,
}

#[derive(Clone, Debug)]
struct QueuedEvent {
    at: u64,
    order: u64,
    item: WorldEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// The whole state of a simulation.
pub struct World {
    pub(super) now: u64,
    pub(super) random: StdRng,
    pub(super) guards: Guards,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    scheduled: u64,
    pub(super) network: Network,
    pub(super) nodes: BTreeMap<NodeId, SimNode>,
    pub(super) engines: BTreeMap<EngineId, SimEngine>,
    pub(super) store: SimStore,
    pub(super) machine_list: SimMachineList,
    pub(super) callers: Vec<SimCaller>,
    pub(super) sessions: BTreeMap<SessionId, SimSession>,
    pub(super) next_session: u64,
    pub(super) oracle: Oracle,
    /// The time at which the last fault so far ends, milliseconds; checks with a time limit count from then.
    pub(super) disturbed_until: u64,
    pub(super) settling: bool,
    faults: BTreeMap<&'static str, u64>,
}

impl World {
    /// Creates a world without faults, with all nodes up and the configuration applied.
    pub fn new(seed: u64, guards: Guards) -> Self {
        let mut world = Self {
            now: START_TIME_MS,
            random: StdRng::seed_from_u64(seed),
            guards,
            queue: BinaryHeap::new(),
            scheduled: 0,
            network: Network::default(),
            nodes: BTreeMap::new(),
            engines: BTreeMap::new(),
            store: SimStore::default(),
            machine_list: SimMachineList::default(),
            callers: Vec::new(),
            sessions: BTreeMap::new(),
            next_session: 0,
            oracle: Oracle::default(),
            disturbed_until: START_TIME_MS,
            settling: false,
            faults: BTreeMap::new(),
        };
        world.write_declarations();
        for id in 1..=ENGINES {
            let zone = ((id - 1) % u32::from(ZONES) + 1) as u8;
            world.engines.insert(EngineId(id), SimEngine::new(EngineId(id), zone));
        }
        world.publish_machines();
        for id in 1..=NODES {
            let zone = ((id - 1) % u32::from(ZONES) + 1) as u8;
            let node = SimNode::new(NodeId(id), zone, id <= REPLICAS);
            world.nodes.insert(NodeId(id), node);
            world.start_node(NodeId(id));
        }
        world.schedule(CHECK_PERIOD_MS, WorldEvent::Check);
        world.advance(3_000);
        world
    }

    fn write_declarations(&mut self) {
        let template = json!({
            "name": "agent",
            "parameters": {
                "budget": { "type": "integer", "default": BUDGET_TOKENS },
                "priority": { "type": "integer", "default": 5, "minimum": 0, "maximum": 9 },
            },
            "spec": {
                "service": "program", "model": MODEL, "budget_tokens": "$budget", "priority": "$priority",
                "call_limit": 60, "hold_ms": 6000, "idle_ms": 15_000, "max_wait_ms": 6000,
            },
        });
        self.write_object(KindName::Template, "agent", &template);
        let instance = |name: &str, budget: u64| json!({ "name": name, "tenant": TENANT, "template": "agent", "values": { "budget": budget } });
        self.write_object(KindName::Instance, INSTANCE, &instance(INSTANCE, BUDGET_TOKENS));
        self.write_object(KindName::Instance, SMALL_INSTANCE, &instance(SMALL_INSTANCE, SMALL_BUDGET_TOKENS));
    }

    fn write_object(&mut self, kind: KindName, name: &str, body: &serde_json::Value) {
        let expected_revision = self.store.model.get(kind, name).map_or(0, |object| object.revision);
        let write = WriteObject { expected_revision, body: body.clone() };
        if self.store.model.write(kind, name, &write).is_ok() {
            self.store.written_at = self.now;
        }
    }

    /// The oracle, with the violations found so far.
    pub fn oracle(&self) -> &Oracle {
        &self.oracle
    }

    /// The number of faults of each kind so far.
    pub fn faults(&self) -> &BTreeMap<&'static str, u64> {
        &self.faults
    }

    /// The virtual time in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    pub(super) fn schedule(&mut self, after: u64, item: WorldEvent) {
        self.scheduled += 1;
        let scheduled = QueuedEvent { at: self.now + after, order: self.scheduled, item };
        self.queue.push(Reverse(scheduled));
    }

    /// Processes all events of the next `milliseconds`; stops early at a violation.
    pub fn advance(&mut self, milliseconds: u64) {
        let end = self.now + milliseconds;
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            self.process_event(next.item);
            if !self.oracle.violations().is_empty() {
                return;
            }
        }
        self.now = end;
    }

    fn process_event(&mut self, item: WorldEvent) {
        match item {
            WorldEvent::Tick(node) => self.on_tick(node),
            WorldEvent::Poll(node) => self.on_poll(node),
            WorldEvent::Deliver { to, event } => self.deliver(to, *event),
            WorldEvent::Message { from, to, bytes } => self.on_message(from, to, &bytes),
            WorldEvent::Written { node, ticket } => self.on_written(node, ticket),
            WorldEvent::Start(node) => self.start_node(node),
            WorldEvent::Wake(node) => self.wake(node),
            WorldEvent::DrainCheck(node) => self.check_drain(node),
            WorldEvent::DeliverCommand { engine, from, command } => self.on_engine_command(engine, from, *command),
            WorldEvent::EngineStep { engine, generation } => self.on_engine_step(engine, generation),
            WorldEvent::EngineStart(engine) => self.start_engine(engine),
            WorldEvent::EngineReturns(engine) => self.engine_returns(engine),
            WorldEvent::StoreRead { reader, after } => self.on_store_read(reader, after),
            WorldEvent::WatchesDue => self.answer_watches(),
            WorldEvent::DiskFull { node, full } => self.set_disk_full(node, full),
            WorldEvent::SessionInput { session, attempt, input } => self.on_session_input(session, attempt, input),
            WorldEvent::SessionDeadline(session) => self.on_session_deadline(session),
            WorldEvent::Caller(caller) => self.send_program_request(caller),
            WorldEvent::CallerScript { caller, script, request } => self.send_script_request(caller, script, request),
            WorldEvent::CallerTimeout { session } => self.on_caller_timeout(session),
            WorldEvent::Check => self.check_invariants(),
        }
    }

    fn extend_disturbance(&mut self, milliseconds: u64) {
        self.disturbed_until = self.disturbed_until.max(self.now + milliseconds);
    }

    /// Applies one action.
    pub fn apply(&mut self, action: Action) {
        if let Some(fault) = action.fault() {
            *self.faults.entry(fault).or_default() += 1;
        }
        match action {
            Action::Advance(milliseconds) => self.advance(milliseconds),
            Action::Open(seed) => self.add_caller(seed),
            Action::Kill { node, down_ms } => self.kill(NodeId(node), down_ms, false),
            Action::LoseDisk { node, down_ms } => {
                if self.can_lose_disk(NodeId(node)) {
                    self.kill(NodeId(node), down_ms, true);
                }
            }
            Action::Freeze { node, frozen_ms } => self.freeze(NodeId(node), frozen_ms),
            Action::Drain { node } => self.drain(NodeId(node)),
            Action::CutOneWay { from, to, cut_ms } => {
                self.extend_disturbance(cut_ms);
                self.network.cut(from, to, self.now + cut_ms);
            }
            Action::CutZone { zone, cut_ms } => self.cut_zone(zone, cut_ms),
            Action::Disturb { lost_percent, doubled_percent, late_ms, for_ms } => {
                self.extend_disturbance(for_ms + late_ms);
                self.network.disturb(lost_percent, doubled_percent, late_ms, self.now + for_ms);
            }
            Action::StoreDown(down_ms) => {
                self.extend_disturbance(down_ms);
                self.store.down_until = self.now + down_ms;
            }
            Action::StoreSlow(slow_ms) => {
                self.extend_disturbance(slow_ms);
                self.store.slow_until = self.now + slow_ms;
            }
            Action::StoreLosesAnswers(count) => self.store.lose_answers += count,
            Action::Operator(value) => self.operator_writes(u64::from(value), None),
            Action::OperatorRace(value) => self.operators_race(u64::from(value)),
            Action::EngineDies { engine, down_ms } => self.engine_dies(EngineId(engine), down_ms),
            Action::EngineLeaves { engine, away_ms } => self.engine_leaves(EngineId(engine), away_ms),
            Action::DiskFull { node, full_ms } => {
                self.extend_disturbance(full_ms);
                self.set_disk_full(NodeId(node), true);
                self.schedule(full_ms, WorldEvent::DiskFull { node: NodeId(node), full: false });
            }
            Action::MachineListLags(milliseconds) => {
                self.machine_list.stuck_until = self.machine_list.stuck_until.max(self.now + milliseconds);
                self.oracle.machine_list_stuck(self.now, self.machine_list.stuck_until);
            }
        }
    }

    fn cut_zone(&mut self, zone: u8, cut_ms: u64) {
        self.extend_disturbance(cut_ms);
        for other in (1..=ZONES).filter(|other| *other != zone) {
            self.network.cut(zone, other, self.now + cut_ms);
            self.network.cut(other, zone, self.now + cut_ms);
        }
    }

    /// Has an operator change a parameter by compare-and-swap and read the object back, as operators do when a response
    /// is lost. The write expects revision `expected`; none for the current one.
    fn operator_writes(&mut self, value: u64, expected: Option<u64>) {
        if self.now < self.store.down_until {
            return;
        }
        let current = self.store.model.get(KindName::Instance, INSTANCE).map_or(0, |object| object.revision);
        let expected_revision = expected.unwrap_or(current);
        let body = json!({
            "name": INSTANCE, "tenant": TENANT, "template": "agent",
            "values": { "budget": BUDGET_TOKENS, "priority": value % 10 },
        });
        let written = self.store.model.write(KindName::Instance, INSTANCE, &WriteObject { expected_revision, body });
        let Ok(revision) = written else { return };
        self.store.lose_answers = self.store.lose_answers.saturating_sub(1);
        self.store.written_at = self.now;
        let stored = self.store.model.get(KindName::Instance, INSTANCE).map_or(0, |object| object.revision);
        if stored != revision {
            self.oracle.record_violation(
                Invariant::Configuration,
                self.now,
                "an accepted write was overwritten without a revision conflict",
            );
        }
        self.answer_watches();
    }

    /// Has two operators read the same revision and both write: the store must refuse one of the writes.
    fn operators_race(&mut self, value: u64) {
        let current = self.store.model.get(KindName::Instance, INSTANCE).map_or(0, |object| object.revision);
        let before = self.store.model.revision();
        self.operator_writes(value, Some(current));
        self.operator_writes(value + 1, Some(current));
        if self.store.model.revision() > before + 1 {
            self.oracle.record_violation(
                Invariant::Configuration,
                self.now,
                "the store accepted two writes that expected the same revision",
            );
        }
    }

    /// Checks the invariants that must hold at any time.
    fn check_invariants(&mut self) {
        self.schedule(CHECK_PERIOD_MS, WorldEvent::Check);
        let revision = self.store.model.revision();
        let quiet_since = self.disturbed_until.max(self.store.written_at);
        let mut findings = Vec::new();
        for node in self.nodes.values_mut() {
            let Some(running) = node.active_node() else { continue };
            let own = running.config_revision();
            if own < node.highest_revision {
                findings.push(format!(
                    "node {} returned from configuration revision {} to {own}",
                    node.id, node.highest_revision
                ));
            }
            node.highest_revision = own;
            let due = quiet_since.max(node.started_at) + CONFIGURATION_LIMIT_MS;
            if self.now > due && own != revision {
                findings.push(format!("node {} still applies configuration revision {own}, not {revision}", node.id));
            }
        }
        let held = self.held_programs();
        self.oracle.check_holds(&held, self.disturbed_until, self.now);
        for finding in findings {
            self.oracle.record_violation(Invariant::Configuration, self.now, finding);
        }
    }

    /// Ends every fault, runs the world until all programs had time to finish, and checks the invariants of the end
    /// state.
    pub fn finish(&mut self) {
        self.settling = true;
        self.network.heal();
        self.store.down_until = 0;
        self.store.slow_until = 0;
        self.machine_list.stuck_until = 0;
        self.advance(SETTLE_MS);
        if !self.oracle.violations().is_empty() {
            return;
        }
        self.check_callers_done();
        let held = self.held_programs();
        self.oracle.check_end_state(&held, self.now);
    }

    fn held_programs(&mut self) -> BTreeSet<ProgramId> {
        let now_us = self.now * 1000;
        self.engines.values_mut().flat_map(|engine| engine.model.held_programs(now_us)).collect()
    }

    pub(super) fn publish_machines(&mut self) {
        let machines = self.engines.values().map(SimEngine::machine).collect();
        self.machine_list.publish(machines, self.now);
    }

    /// Draws a number from 0 to `maximum`, both included.
    pub(super) fn draw_up_to(&mut self, maximum: u64) -> u64 {
        self.random.random_range(0..=maximum)
    }
}
