//! The state machine of one node: membership, configuration, replica, owners and router.
//!
//! [`Node::step`] passes each [`Event`] to the component that handles it. Messages that the node sends to itself are
//! handled before the step returns. A message that depends on records is held until [`Event::Persisted`] reports
//! that they are on disk.

mod control;
mod status;

use crate::configuration::Configuration;
use crate::effect::{Effect, EngineUpdate, Event};
use crate::guard::{Guard, Guards};
use crate::owner::{Context, Owner, Takeover};
use crate::ownership::{majority, owner_of, replicas_of, ReplicaNode};
use crate::proposer::Send;
use crate::replica::{Record, Replica, StoredState};
use crate::request::{Hop, Refusal, RefusalKind, Reply, Request, RequestBody, RequestId, RunState};
use crate::retry::RetryBudget;
use crate::router::{Router, RoutingPolicy};
use foxnotch_membership::{Datagram, Membership, Millis};
use foxnotch_wire::{Accept, CallKey, EngineId, MemberState, MemberUpdate, Message, NodeId, Prepare, ProgramId};
pub use status::{Counters, MemberStatus, NodeStatus, ProgramStatus};
use std::collections::{BTreeMap, VecDeque};

/// Milliseconds after which a caller should retry when no majority of replicas can be reached.
const NO_QUORUM_RETRY_MS: u64 = 1000;
/// Milliseconds between two steps from which on the node is considered to have been paused. It normally steps many
/// times per second.
const PAUSE_THRESHOLD_MS: u64 = 1000;
/// Number of low bits of a term that hold the takeover counter; the bits above hold the node's start time in
/// milliseconds. Only a node that made more than four million takeovers per millisecond would use a term twice.
const TAKEOVER_COUNT_BITS: u32 = 22;
/// Maximum number of queued messages from the node to itself; further ones are dropped.
const MAX_SELF_MESSAGES: usize = 100_000;

/// The state of the disk when the node starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disk {
    /// The node stores no histories.
    None,
    /// The content of a disk that an earlier run wrote or that was initialised for a new deployment.
    Recovered(StoredState),
    /// The disk is new and empty; the value identifies it.
    Empty(u64),
}

/// The arguments with which a node is started.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The node's own entry in the member list.
    pub own: MemberUpdate,
    /// Members that the node knows at its start.
    pub seeds: Vec<MemberUpdate>,
    /// All nodes that store histories.
    pub replicas: Vec<ReplicaNode>,
    /// The policy by which engines are chosen.
    pub routing: RoutingPolicy,
    /// The state of the node's disk.
    pub disk: Disk,
    /// The active guards; a test can remove one.
    pub guards: Guards,
    /// Milliseconds for which a history is stored after its last use, once its program has ended.
    pub retention_ms: u64,
}

/// A plain request in flight: one that belongs to no program.
#[derive(Clone, Copy, Debug)]
struct PlainRequest {
    backend: EngineId,
    key: CallKey,
}

/// A message that is sent once the records it depends on are on disk.
#[derive(Clone, Debug)]
struct HeldMessage {
    to: NodeId,
    message: Message,
}

/// The state machine of a node.
#[derive(Clone, Debug)]
pub struct Node {
    id: NodeId,
    guards: Guards,
    replicas: Vec<ReplicaNode>,
    membership: Membership,
    configuration: Configuration,
    router: Router,
    replica: Option<Replica>,
    owners: BTreeMap<ProgramId, Owner>,
    /// The program of each unanswered request.
    requests: BTreeMap<RequestId, ProgramId>,
    plain_requests: BTreeMap<RequestId, PlainRequest>,
    retries: RetryBudget,
    last_ticket: u64,
    /// Messages that wait for a write to disk, by the ticket of the write.
    held_messages: BTreeMap<u64, Vec<HeldMessage>>,
    self_messages: VecDeque<Message>,
    timers: control::Timers,
    draining: bool,
    plain_sequence: u32,
    retention_ms: u64,
    /// The node's start time in the upper bits of a term, without the takeover counter.
    term_base: u64,
    last_step_at: Millis,
    /// When each history stored on this node was last used.
    last_used: BTreeMap<ProgramId, Millis>,
    counters: Counters,
}

impl Node {
    /// Creates a node that starts at `now`.
    pub fn new(config: NodeConfig, now: Millis) -> Self {
        let id = config.own.node;
        let others: Vec<NodeId> =
            config.replicas.iter().map(|replica| NodeId(replica.id)).filter(|node| *node != id).collect();
        let replica = match config.disk {
            Disk::None => None,
            Disk::Recovered(stored) => Some(Replica::recovered(config.guards, stored)),
            Disk::Empty(store) => Some(Replica::refilling(config.guards, &others, store)),
        };
        Self {
            id,
            guards: config.guards,
            replicas: config.replicas,
            membership: Membership::new(config.own, &config.seeds, now),
            configuration: Configuration::new(config.guards),
            router: Router::new(config.routing),
            replica,
            owners: BTreeMap::new(),
            requests: BTreeMap::new(),
            plain_requests: BTreeMap::new(),
            retries: RetryBudget::default(),
            last_ticket: 0,
            held_messages: BTreeMap::new(),
            self_messages: VecDeque::new(),
            timers: control::Timers::new(now),
            draining: false,
            plain_sequence: 0,
            retention_ms: config.retention_ms,
            term_base: now.0 << TAKEOVER_COUNT_BITS,
            last_step_at: now,
            last_used: BTreeMap::new(),
            counters: Counters::default(),
        }
    }

    /// Handles one event and returns the effects that the driver has to carry out.
    pub fn step(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now.since(self.last_step_at) >= PAUSE_THRESHOLD_MS {
            self.router.on_pause(now);
        }
        self.last_step_at = now;
        match event {
            Event::Request { id, request } => self.on_request(id, request, now, &mut effects),
            Event::CallerGone(id) => self.on_caller_gone(id),
            Event::Message { from, message } => self.on_message(from, message, now, &mut effects),
            Event::Unreachable(node) => self.membership.on_unreachable(node, now),
            Event::Persisted(ticket) => self.on_persisted(ticket, now, &mut effects),
            Event::DiskFull(full) => self.replica.iter_mut().for_each(|replica| replica.set_disk_full(full)),
            Event::Engine { key, attempt, update, .. } => {
                self.on_engine_update(key, attempt, update, now, &mut effects)
            }
            Event::Report { engine, report } => self.router.on_report(engine, report, now),
            Event::Machines(machines) => self.router.set_machines(&machines, now),
            Event::StoreObjects(delta) => self.on_store_objects(&delta, now, &mut effects),
            Event::StoreFailed => self.timers.on_store_failed(now),
            Event::Plain { id, tenant, instance, avoid } => {
                self.on_plain_request(id, &tenant, &instance, avoid, now, &mut effects);
            }
            Event::PlainEnded { id, answered } => self.on_plain_request_ended(id, answered, now),
            Event::Tick => self.on_tick(now, &mut effects),
            Event::Drain => {
                self.draining = true;
                self.membership.leave();
            }
        }
        self.handle_own_messages(now, &mut effects);
        self.remove_finished(&mut effects, now);
        effects
    }

    /// Whether the node is stopping and has no work in flight.
    pub fn is_drained(&self) -> bool {
        let busy = self.owners.values().any(Owner::is_busy) || !self.plain_requests.is_empty();
        self.draining && (!busy || !self.guards.is_active(Guard::Drain))
    }

    /// Calls `work` with the owners and a [`Context`] of this node, then sends the messages that it produced.
    fn with_context<T>(
        &mut self,
        now: Millis,
        effects: &mut Vec<Effect>,
        work: impl FnOnce(&mut BTreeMap<ProgramId, Owner>, &mut Context<'_>) -> T,
    ) -> T {
        let mut sends = Vec::new();
        let mut context = Context {
            now,
            guards: self.guards,
            router: &mut self.router,
            configuration: &self.configuration,
            retries: &mut self.retries,
            effects,
            sends: &mut sends,
        };
        let result = work(&mut self.owners, &mut context);
        for send in sends {
            self.send(send, effects);
        }
        result
    }

    /// Sends a message to another node, or queues a message to this node for the end of the step.
    fn send(&mut self, send: Send, effects: &mut Vec<Effect>) {
        if send.to == self.id {
            if self.self_messages.len() < MAX_SELF_MESSAGES {
                self.self_messages.push_back(send.message);
            }
            return;
        }
        if let Some(address) = self.membership.address(send.to) {
            effects.push(Effect::Send { to: send.to, address, message: send.message, datagram: false });
        }
    }

    fn handle_own_messages(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        while let Some(message) = self.self_messages.pop_front() {
            self.on_message(self.id, message, now, effects);
        }
    }

    fn on_request(&mut self, id: RequestId, request: Request, now: Millis, effects: &mut Vec<Effect>) {
        let program = program_of(&request);
        self.counters.requests += 1;
        if let Some(node) = self.forward_target(program, request.hop) {
            effects.push(Effect::Reply { id, reply: Reply::Forward(node) });
            return;
        }
        if !self.is_quorum_reachable(program) {
            self.refuse_without_quorum(id, &request, effects);
            return;
        }
        if !self.owners.contains_key(&program) {
            self.take_over(program, now, effects);
        }
        self.requests.insert(id, program);
        self.with_context(now, effects, |owners, context| {
            if let Some(owner) = owners.get_mut(&program) {
                owner.on_request(id, request, context);
            }
        });
    }

    /// The node to which a request has to be forwarded; none if this node serves it. A draining node continues to serve
    /// the programs that are busy on it, so that a planned stop interrupts no call.
    fn forward_target(&self, program: ProgramId, hop: Hop) -> Option<NodeId> {
        let eligible_owner =
            owner_of(program, self.membership.nodes_accepting_work()).filter(|owner| *owner != self.id);
        let busy_here = self.owners.get(&program).is_some_and(Owner::is_busy);
        match hop {
            Hop::Final => None,
            _ if self.draining => eligible_owner.filter(|_| !busy_here),
            Hop::Forwarded => None,
            Hop::Direct => {
                let leaving = self.membership.members().filter(|member| member.update.state == MemberState::Leaving);
                let candidates = self.membership.nodes_accepting_work().chain(leaving.map(|member| member.update.node));
                owner_of(program, candidates).filter(|owner| *owner != self.id)
            }
        }
    }

    fn is_quorum_reachable(&self, program: ProgramId) -> bool {
        let replicas = replicas_of(program, &self.replicas);
        let reachable = replicas.iter().filter(|replica| self.membership.is_reachable(**replica)).count();
        reachable >= majority(replicas.len())
    }

    fn refuse_without_quorum(&self, id: RequestId, request: &Request, effects: &mut Vec<Effect>) {
        let may_have_run = matches!(&request.body, RequestBody::Call(call) if call.resend);
        let run = if may_have_run { RunState::MayHaveRun } else { RunState::NotRun };
        let refusal = Refusal { kind: RefusalKind::NoQuorum, run, retry_after: Some(NO_QUORUM_RETRY_MS) };
        effects.push(Effect::Reply { id, reply: Reply::Refused(refusal) });
    }

    fn take_over(&mut self, program: ProgramId, now: Millis, effects: &mut Vec<Effect>) {
        let replicas = replicas_of(program, &self.replicas);
        let takeover = self.next_takeover(program);
        self.with_context(now, effects, |owners, context| {
            let owner = Owner::take_over(takeover, &replicas, context);
            owners.insert(program, owner);
        });
    }

    /// A takeover with a term that this node has never used: its start time followed by a counter.
    fn next_takeover(&mut self, program: ProgramId) -> Takeover {
        self.counters.takeovers += 1;
        Takeover { node: self.id, term: self.term_base + self.counters.takeovers, program }
    }

    fn on_caller_gone(&mut self, id: RequestId) {
        if let Some(program) = self.requests.remove(&id) {
            if let Some(owner) = self.owners.get_mut(&program) {
                owner.on_caller_gone(id);
            }
        }
    }

    fn on_engine_update(
        &mut self,
        key: CallKey,
        attempt: u32,
        update: EngineUpdate,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.with_context(now, effects, |owners, context| {
            if let Some(owner) = owners.get_mut(&key.program) {
                owner.on_engine_update(key, attempt, update, context);
            }
        });
    }

    fn on_message(&mut self, from: NodeId, message: Message, now: Millis, effects: &mut Vec<Effect>) {
        match message {
            Message::Ping(ping) => {
                let datagrams = self.membership.on_ping(from, ping, now);
                self.finish_probe(from, datagrams, now, effects);
            }
            Message::PingRequest(request) => {
                let datagrams = self.membership.on_ping_request(from, request, now);
                self.send_datagrams(datagrams, effects);
            }
            Message::Ack(ack) => {
                let datagrams = self.membership.on_ack(ack, now);
                self.finish_probe(from, datagrams, now, effects);
            }
            Message::Prepare(prepare) => self.on_prepare(from, prepare, now, effects),
            Message::Accept(accept) => self.on_accept(from, accept, now, effects),
            Message::Promise(promise) => self.with_context(now, effects, |owners, context| {
                if let Some(owner) = owners.get_mut(&promise.log.program) {
                    owner.on_promise(from, promise, context);
                }
            }),
            Message::AcceptReply(reply) => self.with_context(now, effects, |owners, context| {
                if let Some(owner) = owners.get_mut(&reply.program) {
                    owner.on_accept_reply(from, reply, context);
                }
            }),
            Message::MemberPull(pull) => {
                self.membership.on_member_list(&[pull.asker], now);
                let list = self.membership.member_list();
                self.send(Send { to: from, message: Message::MemberList(list) }, effects);
            }
            Message::MemberList(list) => {
                self.membership.on_member_list(&list.members, now);
                self.timers.on_members_received(now);
            }
            Message::ConfigPull(pull) => self.on_config_pull(from, pull, effects),
            Message::ConfigDelta(delta) => self.on_config_delta(&delta, now, effects),
            Message::RefillRequest(request) => {
                let answer = self.replica.as_mut().and_then(|replica| replica.serve_refill(from, request));
                if let Some((page, record)) = answer {
                    self.persist_then_send(vec![record], from, Message::RefillPage(page), effects);
                }
            }
            Message::RefillPage(page) => self.on_refill_page(from, page, now, effects),
            // Only gateways exchange load reports and store updates; owners use the engines' own reports.
            Message::LoadReport(_) | Message::StoreUpdate(_) => {}
        }
    }

    /// Sends the answers to a probe message. The message has told this node the sender's configuration revision; if it
    /// is newer, the changes are requested at once.
    fn finish_probe(&mut self, from: NodeId, datagrams: Vec<Datagram>, now: Millis, effects: &mut Vec<Effect>) {
        self.send_datagrams(datagrams, effects);
        self.pull_configuration(from, now, effects);
    }

    fn on_prepare(&mut self, from: NodeId, prepare: Prepare, now: Millis, effects: &mut Vec<Effect>) {
        self.record_use(prepare.program, now);
        let answer = self.replica.as_mut().and_then(|replica| replica.prepare(prepare));
        if let Some((promise, record)) = answer {
            self.persist_then_send(record.into_iter().collect(), from, Message::Promise(promise), effects);
        }
    }

    fn on_accept(&mut self, from: NodeId, accept: Accept, now: Millis, effects: &mut Vec<Effect>) {
        self.record_use(accept.program, now);
        if let Some((reply, record)) = self.replica.as_mut().map(|replica| replica.accept(accept)) {
            self.persist_then_send(record.into_iter().collect(), from, Message::AcceptReply(reply), effects);
        }
    }

    /// Records when the replica's copy of a program was last used.
    fn record_use(&mut self, program: ProgramId, now: Millis) {
        if self.replica.is_some() {
            self.last_used.insert(program, now);
        }
    }

    /// Passes records to the driver and sends the message once they are on disk. A message without records of its own
    /// waits for the latest write in progress, because its content may depend on it: the reply to a repeated accept
    /// reports entries that the first accept is still writing.
    fn persist_then_send(&mut self, records: Vec<Record>, to: NodeId, message: Message, effects: &mut Vec<Effect>) {
        let held = HeldMessage { to, message };
        if records.is_empty() {
            match self.held_messages.last_entry() {
                Some(mut last) => last.get_mut().push(held),
                None => self.send(Send { to: held.to, message: held.message }, effects),
            }
            return;
        }
        let ticket = self.begin_persist(records, effects);
        self.held_messages.entry(ticket).or_default().push(held);
    }

    /// Passes records to the driver. Returns the ticket that identifies the write.
    fn begin_persist(&mut self, records: Vec<Record>, effects: &mut Vec<Effect>) -> u64 {
        self.last_ticket += 1;
        self.held_messages.insert(self.last_ticket, Vec::new());
        effects.push(Effect::Persist { ticket: self.last_ticket, records });
        self.last_ticket
    }

    fn on_persisted(&mut self, ticket: u64, now: Millis, effects: &mut Vec<Effect>) {
        for held in self.held_messages.remove(&ticket).unwrap_or_default() {
            self.send(Send { to: held.to, message: held.message }, effects);
        }
        self.on_refill_persisted(now, effects);
    }

    /// Removes answered requests and the owners that are no longer needed.
    fn remove_finished(&mut self, effects: &mut [Effect], now: Millis) {
        for effect in effects.iter() {
            let Effect::Reply { id, reply } = effect else { continue };
            if !matches!(reply, Reply::Tokens { .. }) {
                self.requests.remove(id);
                self.counters.count_reply(reply);
            }
        }
        let router = &mut self.router;
        self.owners.retain(|program, owner| {
            let keep = !owner.can_be_dropped(now);
            if !keep {
                router.on_program_end(*program);
            }
            keep
        });
    }
}

/// The program to which a request refers.
fn program_of(request: &Request) -> ProgramId {
    match &request.body {
        RequestBody::Open { instance, key } => crate::ownership::program_id(&request.tenant, instance, key),
        RequestBody::Call(call) => call.key.program,
        RequestBody::Read(key) | RequestBody::Cancel(key) => key.program,
        RequestBody::OpenBranch { program, .. } | RequestBody::Close { program, .. } => *program,
    }
}
