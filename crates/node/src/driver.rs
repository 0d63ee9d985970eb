//! Runs the node's state machine in one task. The driver receives events and commands through channels, passes them to
//! [`Node::step`], and performs the returned effects with the modules that do I/O.

use crate::backend::Backends;
use crate::logging::part;
use crate::storage::WriteBatch;
use crate::transport::{caller_socket, PeerSender};
use foxnotch_core::effect::{Effect, Event};
use foxnotch_core::node::{Node, NodeStatus, ProgramStatus};
use foxnotch_core::request::{Refusal, RefusalKind, Reply, Request, RequestId, RunState};
use foxnotch_membership::Millis;
use foxnotch_wire::{EngineId, NodeId};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};

/// Interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of each of the driver's two channels, in events or commands.
pub const EVENT_QUEUE_LENGTH: usize = 16_384;
/// Maximum number of events that are handled before ticks and commands are checked again.
const EVENTS_PER_BATCH: usize = 256;

/// The machine's current time, in milliseconds since the Unix epoch.
pub fn wall_clock() -> Millis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Millis(since_epoch.as_millis() as u64)
}

/// The state of a node and of its programs at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// State and counters of the node.
    pub status: NodeStatus,
    /// The programs that the node owns.
    pub programs: Vec<ProgramStatus>,
    /// Whether the node accepts requests.
    pub ready: bool,
}

/// The back end chosen for a plain request, which is a single request without a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainChoice {
    /// Identifies the request in [`NodeHandle::report_plain_ended`].
    pub id: RequestId,
    /// The engine id of the back end.
    pub backend: EngineId,
    /// The back end's address, IP:port.
    pub address: String,
}

/// A command from the HTTP interface to the driver.
enum Command {
    Request { request: Request, replies: mpsc::UnboundedSender<Reply> },
    Plain { tenant: String, instance: String, avoid: Option<EngineId>, answer: oneshot::Sender<Option<PlainChoice>> },
    PlainEnded { id: RequestId, answered: bool },
    Snapshot(oneshot::Sender<Snapshot>),
    AddressOf(NodeId, oneshot::Sender<Option<SocketAddr>>),
    IsDrained(oneshot::Sender<bool>),
}

/// Handle with which the HTTP interface sends commands and events to the driver.
#[derive(Clone)]
pub struct NodeHandle {
    commands: mpsc::Sender<Command>,
    events: mpsc::Sender<Event>,
}

impl NodeHandle {
    /// Submits a caller's request and returns the channel of its replies. When the receiver is dropped, the node
    /// considers the caller disconnected.
    pub async fn submit_request(&self, request: Request) -> mpsc::UnboundedReceiver<Reply> {
        let (replies, receiver) = mpsc::unbounded_channel();
        self.send_command(Command::Request { request, replies }).await;
        receiver
    }

    /// Chooses a back end for a plain request, if possible another one than `avoid`. None when there is no back end.
    pub async fn choose_plain_backend(
        &self,
        tenant: String,
        instance: String,
        avoid: Option<EngineId>,
    ) -> Option<PlainChoice> {
        self.query(|answer| Command::Plain { tenant, instance, avoid, answer }).await.flatten()
    }

    /// Reports that a plain request has ended, and whether its back end answered.
    pub async fn report_plain_ended(&self, id: RequestId, answered: bool) {
        self.send_command(Command::PlainEnded { id, answered }).await;
    }

    /// The current state of the node; none when the driver has ended.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        self.query(Command::Snapshot).await
    }

    /// The address at which another node listens for callers; none when it is unknown.
    pub async fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        self.query(|answer| Command::AddressOf(node, answer)).await.flatten()
    }

    /// Whether a stopping node has no work in flight; true when the driver has ended.
    pub async fn is_drained(&self) -> bool {
        self.query(Command::IsDrained).await.unwrap_or(true)
    }

    /// Sends an event to the state machine.
    pub async fn send_event(&self, event: Event) {
        if self.events.send(event).await.is_err() {
            log::debug!(target: part::NODE, "An event was dropped: the driver has ended.");
        }
    }

    /// Sends a command and waits for its answer; none when the driver has ended.
    async fn query<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (answer, receiver) = oneshot::channel();
        self.send_command(command(answer)).await;
        receiver.await.ok()
    }

    /// Sends a command. When the driver has ended, the command is dropped and its answer channel closes, so that the
    /// waiting task continues.
    async fn send_command(&self, command: Command) {
        if self.commands.send(command).await.is_err() {
            log::debug!(target: part::NODE, "A command was dropped: the driver has ended.");
        }
    }
}

/// The state machine of a node and the modules that perform its effects.
pub struct Driver {
    node: Node,
    peers: PeerSender,
    backends: Backends,
    disk: Option<std::sync::mpsc::Sender<WriteBatch>>,
    reply_senders: HashMap<RequestId, mpsc::UnboundedSender<Reply>>,
    plain_senders: HashMap<RequestId, oneshot::Sender<Option<PlainChoice>>>,
    last_request_id: u64,
    /// Events that arise while effects are performed. They are handled after all effects of the current event.
    internal_events: VecDeque<Event>,
}

/// The receiving ends of the driver's channels.
pub struct DriverInput {
    commands: mpsc::Receiver<Command>,
    events: mpsc::Receiver<Event>,
}

/// Creates the driver's channels: the handle, the sender of events, and the receiving ends.
pub fn create_channels() -> (NodeHandle, mpsc::Sender<Event>, DriverInput) {
    let (command_sender, commands) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let (event_sender, events) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let handle = NodeHandle { commands: command_sender, events: event_sender.clone() };
    (handle, event_sender, DriverInput { commands, events })
}

impl Driver {
    /// Creates the driver of `node`. Without `disk`, the node's records are not written.
    pub fn new(
        node: Node,
        peers: PeerSender,
        backends: Backends,
        disk: Option<std::sync::mpsc::Sender<WriteBatch>>,
    ) -> Self {
        Self {
            node,
            peers,
            backends,
            disk,
            reply_senders: HashMap::new(),
            plain_senders: HashMap::new(),
            last_request_id: 0,
            internal_events: VecDeque::new(),
        }
    }

    /// Runs until all senders of one of the two channels have been dropped.
    pub async fn run(mut self, mut input: DriverInput) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut events = Vec::with_capacity(EVENTS_PER_BATCH);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.handle_event(Event::Tick),
                count = input.events.recv_many(&mut events, EVENTS_PER_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    for event in events.drain(..) {
                        self.handle_event(event);
                    }
                }
                command = input.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
            }
        }
    }

    fn next_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        RequestId(self.last_request_id)
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Request { request, replies } => {
                let id = self.next_request_id();
                self.reply_senders.insert(id, replies);
                self.handle_event(Event::Request { id, request });
            }
            Command::Plain { tenant, instance, avoid, answer } => {
                let id = self.next_request_id();
                self.plain_senders.insert(id, answer);
                self.handle_event(Event::Plain { id, tenant, instance, avoid });
            }
            Command::PlainEnded { id, answered } => self.handle_event(Event::PlainEnded { id, answered }),
            Command::Snapshot(answer) => {
                let snapshot = Snapshot {
                    status: self.node.status(),
                    programs: self.node.programs(),
                    ready: self.node.is_ready(),
                };
                send_answer(answer, snapshot);
            }
            Command::AddressOf(node, answer) => {
                send_answer(answer, self.node.address_of(node).map(|address| caller_socket(&address)));
            }
            Command::IsDrained(answer) => send_answer(answer, self.node.is_drained()),
        }
    }

    fn handle_event(&mut self, event: Event) {
        if let Event::Machines(machines) = &event {
            self.backends.set_machines(machines);
        }
        let effects = self.node.step(event, wall_clock());
        for effect in effects {
            self.perform_effect(effect);
        }
        while let Some(event) = self.internal_events.pop_front() {
            self.handle_event(event);
        }
    }

    fn perform_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, address, message, datagram } => self.peers.send(to, &address, message, datagram),
            Effect::Persist { ticket, records } => {
                let batch = WriteBatch { ticket, records };
                if self.disk.as_ref().is_some_and(|disk| disk.send(batch).is_err()) {
                    // The writer thread ends when the disk fails, and the process then ends as well. The records are
                    // not reported as persisted, so the node acknowledges nothing that depends on them.
                    log::error!(target: part::DISK, "A batch of records was not written: the writer thread has ended.");
                }
            }
            Effect::Reply { id, reply } => self.send_reply(id, reply),
            Effect::Engine { engine, command } => self.backends.execute(engine, command),
            Effect::PollEngine { engine, after_event } => self.backends.poll_engine(engine, after_event),
            Effect::PollStore { after } => self.backends.poll_store(after),
            Effect::Plain { id, backend } => self.answer_plain_request(id, backend),
        }
    }

    fn send_reply(&mut self, id: RequestId, reply: Reply) {
        let is_last = !matches!(reply, Reply::Tokens { .. });
        let Some(replies) = self.reply_senders.get(&id) else { return };
        let is_caller_gone = replies.send(reply).is_err();
        if is_last || is_caller_gone {
            self.reply_senders.remove(&id);
        }
        if is_caller_gone && !is_last {
            self.internal_events.push_back(Event::CallerGone(id));
        }
    }

    fn answer_plain_request(&mut self, id: RequestId, backend: Option<EngineId>) {
        let Some(answer) = self.plain_senders.remove(&id) else { return };
        let choice = backend.and_then(|backend| {
            let address = self.backends.address(backend)?;
            Some(PlainChoice { id, backend, address })
        });
        let has_no_address = choice.is_none() && backend.is_some();
        let is_undelivered = answer.send(choice).is_err();
        if has_no_address || is_undelivered {
            log::debug!(target: part::NODE, "A plain request was not sent: the address of its back end is not known, so it is refused, or its caller has disconnected.");
            self.internal_events.push_back(Event::PlainEnded { id, answered: true });
        }
    }
}

/// Sends the answer of a command to the task that waits for it.
fn send_answer<T>(answer: oneshot::Sender<T>, value: T) {
    if answer.send(value).is_err() {
        log::trace!(target: part::NODE, "An answer was dropped: the task that asked for it has ended.");
    }
}

/// The refusal that a caller gets when the node ends before it has answered the request. With `resend`, the request may
/// have run on an earlier dispatch.
pub fn refusal_without_answer(resend: bool) -> Refusal {
    let run = if resend { RunState::MayHaveRun } else { RunState::NotRun };
    Refusal { kind: RefusalKind::Leaving, run, retry_after: Some(1000) }
}
