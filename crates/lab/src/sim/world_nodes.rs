//! Nodes in the simulated world: start, crash, suspension, planned stop, and the effects of their steps.

use super::action::{NODES, REPLICAS, ZONES};
use super::disk::{PendingWrite, SimDisk};
use super::network::Network;
use super::oracle::Invariant;
use super::platform::{Watch, MACHINE_LIST_PERIOD_MS};
use super::world::{NodeRef, World, WorldEvent};
use foxnotch_core::effect::{Effect, Event};
use foxnotch_core::guard::Guard;
use foxnotch_core::node::{Disk, Node, NodeConfig};
use foxnotch_core::ownership::ReplicaNode;
use foxnotch_core::request::Reply;
use foxnotch_core::router::RoutingPolicy;
use foxnotch_core::session::SessionInput;
use foxnotch_membership::Millis;
use foxnotch_wire::{decode, encode, MemberAddress, MemberState, MemberUpdate, Message, NodeId};

/// Interval between two ticks of a node.
const TICK_MS: u64 = 50;
/// Maximum time by which a synchronised write takes longer than one millisecond.
const MAX_WRITE_MS: u64 = 4;
/// Minimum time for which a draining node continues to answer.
const MIN_DRAIN_MS: u64 = 1500;
/// Interval between two checks of whether a draining node has finished.
const DRAIN_CHECK_MS: u64 = 100;
/// Time between a node's planned stop and its restart.
const RESTART_DELAY_MS: u64 = 1000;
/// Maximum time for which the store delays the response to a read while nothing changes.
const WATCH_TIMEOUT_MS: u64 = 5000;
/// Extra delay of a read while the store is slow.
const SLOW_STORE_DELAY_MS: u64 = 1500;
/// Retention time of ended programs; longer than a run, so that none is deleted.
const RETENTION_MS: u64 = 10_000_000;

/// A node's process and its machine. The inbox stores the events for a suspended process.
pub(super) struct SimNode {
    pub(super) id: NodeId,
    pub(super) zone: u8,
    pub(super) generation: u64,
    pub(super) highest_revision: u64,
    pub(super) started_at: u64,
    pub(super) draining: bool,
    pub(super) frozen_until: u64,
    disk: Option<SimDisk>,
    disk_was_lost: bool,
    node: Option<Node>,
    inbox: Vec<Event>,
}

impl SimNode {
    pub(super) fn new(id: NodeId, zone: u8, is_replica: bool) -> Self {
        Self {
            id,
            zone,
            generation: 0,
            highest_revision: 0,
            started_at: 0,
            draining: false,
            frozen_until: 0,
            disk: is_replica.then(|| SimDisk::initialised(u64::from(id.0))),
            disk_was_lost: false,
            node: None,
            inbox: Vec::new(),
        }
    }

    /// The node's state machine; none while the node is down or suspended.
    pub(super) fn active_node(&self) -> Option<&Node> {
        self.node.as_ref().filter(|_| self.frozen_until == 0)
    }

    pub(super) fn is_up(&self) -> bool {
        self.node.is_some()
    }

    pub(super) fn node_ref(&self) -> NodeRef {
        NodeRef { node: self.id, generation: self.generation }
    }
}

fn member_update(id: u32, incarnation: u64) -> MemberUpdate {
    MemberUpdate {
        node: NodeId(id),
        state: MemberState::Alive,
        incarnation,
        zone: zone_of(id),
        address: MemberAddress::default(),
        config_revision: 0,
    }
}

fn zone_of(id: u32) -> u8 {
    ((id - 1) % u32::from(ZONES) + 1) as u8
}

impl World {
    pub(super) fn start_node(&mut self, id: NodeId) {
        let guards = self.guards;
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.node.is_some() {
            return;
        }
        node.generation += 1;
        node.started_at = now;
        node.highest_revision = 0;
        node.draining = false;
        node.frozen_until = 0;
        node.inbox.clear();
        let disk = node.disk.as_mut().map_or(Disk::None, |disk| disk.start(now));
        let config = NodeConfig {
            own: member_update(id.0, now),
            seeds: (1..=NODES).map(|id| member_update(id, 0)).collect(),
            replicas: (1..=REPLICAS).map(|id| ReplicaNode { id, zone: zone_of(id) }).collect(),
            routing: RoutingPolicy::Cost,
            disk,
            guards,
            retention_ms: RETENTION_MS,
        };
        node.node = Some(Node::new(config, Millis(now)));
        let reference = node.node_ref();
        self.schedule(1, WorldEvent::Tick(reference));
        self.schedule(1, WorldEvent::Poll(reference));
    }

    fn running_node(&mut self, reference: NodeRef) -> Option<&mut SimNode> {
        let node = self.nodes.get_mut(&reference.node)?;
        (node.generation == reference.generation && node.node.is_some()).then_some(node)
    }

    pub(super) fn on_tick(&mut self, reference: NodeRef) {
        let now = self.now;
        let Some(node) = self.running_node(reference) else { return };
        if now >= node.frozen_until {
            self.step_node(reference, Event::Tick);
        }
        self.schedule(TICK_MS, WorldEvent::Tick(reference));
    }

    /// Delivers the machine list to a node and schedules the next read.
    pub(super) fn on_poll(&mut self, reference: NodeRef) {
        if self.running_node(reference).is_none() {
            return;
        }
        let machines = self.machine_list.shown_machines(self.now);
        self.deliver(reference, Event::Machines(machines));
        self.schedule(MACHINE_LIST_PERIOD_MS, WorldEvent::Poll(reference));
    }

    /// Delivers an event to a node; a suspended node processes it when it resumes.
    pub(super) fn deliver(&mut self, to: NodeRef, event: Event) {
        let now = self.now;
        let Some(node) = self.running_node(to) else { return };
        if now < node.frozen_until {
            node.inbox.push(event);
            return;
        }
        self.step_node(to, event);
    }

    fn step_node(&mut self, reference: NodeRef, event: Event) {
        let now = Millis(self.now);
        let Some(node) = self.running_node(reference) else { return };
        let Some(state) = &mut node.node else { return };
        let effects = state.step(event, now);
        for effect in effects {
            self.apply_effect(reference, effect);
        }
    }

    fn apply_effect(&mut self, from: NodeRef, effect: Effect) {
        match effect {
            Effect::Send { to, message, .. } => self.send_message(from, to, message),
            Effect::Persist { ticket, records } => {
                if let Some(disk) = self.running_node(from).and_then(|node| node.disk.as_mut()) {
                    disk.queue_write(PendingWrite { ticket, records });
                }
                let time = 1 + self.draw_up_to(MAX_WRITE_MS);
                self.schedule(time, WorldEvent::Written { node: from, ticket });
            }
            Effect::Reply { id, reply } => self.on_reply(from, id, reply),
            Effect::Engine { engine, command } => {
                let delay = Network::draw_delay(&mut self.random);
                self.schedule(delay, WorldEvent::DeliverCommand { engine, from, command: Box::new(command) });
            }
            Effect::PollEngine { engine, after_event } => self.poll_engine(from, engine, after_event),
            Effect::PollStore { after } => {
                let slow = if self.now < self.store.slow_until { SLOW_STORE_DELAY_MS } else { 0 };
                let delay = slow + Network::draw_delay(&mut self.random);
                self.schedule(delay, WorldEvent::StoreRead { reader: from, after });
            }
            Effect::Plain { .. } => {}
        }
    }

    fn send_message(&mut self, from: NodeRef, to: NodeId, message: Message) {
        let (Some(sender), Some(receiver)) = (self.nodes.get(&from.node), self.nodes.get(&to)) else { return };
        let (from_zone, to_zone) = (sender.zone, receiver.zone);
        let Ok(bytes) = encode(from.node, message) else { return };
        for delay in self.network.draw_delivery_delays(from_zone, to_zone, self.now, &mut self.random) {
            self.schedule(delay, WorldEvent::Message { from: from.node, to, bytes: bytes.clone() });
        }
    }

    pub(super) fn on_message(&mut self, from: NodeId, to: NodeId, bytes: &[u8]) {
        let Some(node) = self.nodes.get(&to) else { return };
        if !node.is_up() {
            return;
        }
        let reference = node.node_ref();
        if let Ok(envelope) = decode(bytes) {
            self.deliver(reference, Event::Message { from, message: envelope.message });
        }
    }

    pub(super) fn on_written(&mut self, reference: NodeRef, ticket: u64) {
        let Some(node) = self.running_node(reference) else { return };
        if let Some(disk) = &mut node.disk {
            disk.finish_writes(ticket);
        }
        self.deliver(reference, Event::Persisted(ticket));
    }

    /// Whether a node may lose its disk. The disk of every other replica must be intact or refilled, because the loss
    /// of two of the three disks loses histories permanently.
    pub(super) fn can_lose_disk(&self, id: NodeId) -> bool {
        let others = self.nodes.values().filter(|node| node.id != id && node.disk.is_some());
        others.into_iter().all(|node| !node.disk_was_lost || node.active_node().is_some_and(Node::is_ready))
    }

    pub(super) fn kill(&mut self, id: NodeId, down_ms: u64, lose_disk: bool) {
        self.disturbed_until = self.disturbed_until.max(self.now + down_ms);
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.node.take().is_none() {
            return;
        }
        let reference = node.node_ref();
        let pending = node.disk.as_ref().map_or(0, SimDisk::pending);
        let survivors = self.draw_up_to(pending as u64) as usize;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if let Some(disk) = &mut node.disk {
            disk.crash(survivors);
            if lose_disk {
                *disk = SimDisk::default();
            }
            node.disk_was_lost |= lose_disk;
        }
        self.break_sessions_of(reference, false);
        self.schedule(down_ms, WorldEvent::Start(id));
    }

    pub(super) fn freeze(&mut self, id: NodeId, frozen_ms: u64) {
        self.disturbed_until = self.disturbed_until.max(self.now + frozen_ms);
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.node.is_none() || node.frozen_until > 0 {
            return;
        }
        node.frozen_until = now + frozen_ms;
        let reference = node.node_ref();
        self.schedule(frozen_ms, WorldEvent::Wake(reference));
    }

    pub(super) fn wake(&mut self, reference: NodeRef) {
        let Some(node) = self.running_node(reference) else { return };
        node.frozen_until = 0;
        for event in std::mem::take(&mut node.inbox) {
            self.deliver(reference, event);
        }
    }

    pub(super) fn drain(&mut self, id: NodeId) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.node.is_none() || node.draining {
            return;
        }
        node.draining = true;
        let reference = node.node_ref();
        self.deliver(reference, Event::Drain);
        self.schedule(MIN_DRAIN_MS, WorldEvent::DrainCheck(reference));
    }

    /// Stops a draining node once it has no request in flight.
    pub(super) fn check_drain(&mut self, reference: NodeRef) {
        let now = self.now;
        let has_sessions = self.sessions.values().any(|session| session.node == reference);
        let waits = self.guards.is_active(Guard::Drain) && has_sessions;
        let Some(node) = self.running_node(reference) else { return };
        let drained = node.active_node().is_some_and(Node::is_drained);
        if !drained || waits || now < node.frozen_until {
            self.schedule(DRAIN_CHECK_MS, WorldEvent::DrainCheck(reference));
            return;
        }
        node.node = None;
        let id = node.id;
        if let Some(disk) = &mut node.disk {
            let pending = disk.pending();
            disk.crash(pending);
        }
        self.disturbed_until = self.disturbed_until.max(now + RESTART_DELAY_MS);
        self.break_sessions_of(reference, true);
        self.schedule(RESTART_DELAY_MS, WorldEvent::Start(id));
    }

    /// Breaks the connections of all sessions on a node that has stopped.
    fn break_sessions_of(&mut self, reference: NodeRef, planned: bool) {
        let ended: Vec<_> =
            self.sessions.iter().filter(|(_, session)| session.node == reference).map(|(id, _)| *id).collect();
        for id in ended {
            if planned {
                let detail = format!("node {} was stopped with a request in flight", reference.node);
                self.oracle.record_violation(Invariant::PlannedStop, self.now, detail);
            }
            self.break_session(id);
        }
    }

    pub(super) fn set_disk_full(&mut self, id: NodeId, full: bool) {
        let Some(node) = self.nodes.get(&id) else { return };
        let reference = node.node_ref();
        self.deliver(reference, Event::DiskFull(full));
    }

    pub(super) fn on_store_read(&mut self, reader: NodeRef, after: u64) {
        let delay = Network::draw_delay(&mut self.random);
        if self.now < self.store.down_until {
            self.schedule(delay, WorldEvent::Deliver { to: reader, event: Box::new(Event::StoreFailed) });
            return;
        }
        let watch =
            Watch { node: reader.node, generation: reader.generation, after, until: self.now + WATCH_TIMEOUT_MS };
        self.store.watches.push(watch);
        self.answer_watches();
        self.schedule(WATCH_TIMEOUT_MS, WorldEvent::WatchesDue);
    }

    /// Answers the watches for which the store has changes, and those that have reached their timeout.
    pub(super) fn answer_watches(&mut self) {
        let revision = self.store.model.revision();
        let now = self.now;
        let due = |watch: &mut Watch| watch.after < revision || now >= watch.until;
        let answered: Vec<Watch> = self.store.watches.extract_if(.., due).collect();
        for watch in answered {
            let delta = self.store.delta(watch.after);
            let to = NodeRef { node: watch.node, generation: watch.generation };
            let delay = Network::draw_delay(&mut self.random);
            self.schedule(delay, WorldEvent::Deliver { to, event: Box::new(Event::StoreObjects(delta)) });
        }
    }

    /// Passes a reply of a node's state machine to the session that waits for it.
    fn on_reply(&mut self, from: NodeRef, id: foxnotch_core::request::RequestId, reply: Reply) {
        let session = self.sessions.iter().find(|(_, session)| session.node == from && session.request == Some(id));
        let Some((session, attempt)) = session.map(|(id, session)| (*id, session.attempt)) else { return };
        self.schedule(0, WorldEvent::SessionInput { session, attempt, input: SessionInput::Reply(reply) });
    }
}
