//! The owner of one program.
//!
//! It writes the program's history under its epoch, computes the program state from it and runs the calls. Invariants:
//! a command to an engine or a reply to a caller that depends on an entry is issued only once the entry is committed;
//! once the owner learns of a higher epoch, it does nothing more.

mod calls;
mod requests;
mod running;

use crate::configuration::Configuration;
use crate::effect::{Effect, EngineCommand};
use crate::guard::{Guard, Guards};
use crate::program::ProgramState;
use crate::proposer::{Phase, Proposer, Send};
use crate::request::{Refusal, RefusalKind, Reply, Request, RequestBody, RequestId, RunState};
use crate::retry::RetryBudget;
use crate::router::Router;
use foxnotch_membership::Millis;
use foxnotch_wire::{AcceptReply, BranchId, CallKey, Closed, EngineId, Entry, NodeId, ProgramId, Promise, ROOT_BRANCH};
pub use running::priority;
use running::RunningCall;
use std::collections::BTreeMap;

/// Milliseconds for which a request waits for a majority before it is refused.
const QUORUM_TIMEOUT_MS: u64 = 1500;
/// Milliseconds after which a caller should retry when a program has moved to another owner.
const MOVED_RETRY_MS: u64 = 100;
/// Milliseconds after which a caller should retry when no majority of replicas can be reached.
const NO_QUORUM_RETRY_MS: u64 = 1000;
/// Milliseconds without use after which an idle owner is removed from memory. If the program's instance no longer
/// exists, the owner ends the program after the same time.
const EVICTION_IDLE_MS: u64 = 60_000;

/// The parts of the node's state that an owner uses in a step, and the step's output.
pub struct Context<'a> {
    /// The time of the step.
    pub now: Millis,
    /// The guards that are not disabled.
    pub guards: Guards,
    /// Chooses the engines for the owner's calls.
    pub router: &'a mut Router,
    /// The configuration that the node has applied.
    pub configuration: &'a Configuration,
    /// The node's retry budget.
    pub retries: &'a mut RetryBudget,
    /// The effects of the step.
    pub effects: &'a mut Vec<Effect>,
    /// The messages to send to replicas.
    pub sends: &'a mut Vec<Send>,
}

impl Context<'_> {
    fn reply(&mut self, id: RequestId, reply: Reply) {
        self.effects.push(Effect::Reply { id, reply });
    }

    fn refuse(&mut self, id: RequestId, kind: RefusalKind, run: RunState, retry_after: Option<u64>) {
        self.reply(id, Reply::Refused(Refusal { kind, run, retry_after }));
    }

    fn command_engine(&mut self, engine: EngineId, command: EngineCommand) {
        self.effects.push(Effect::Engine { engine, command });
    }
}

/// A request that waits until the owner has adopted the history.
#[derive(Clone, Debug)]
struct QueuedRequest {
    id: RequestId,
    request: Request,
    arrived_at: Millis,
}

/// A reply that is sent once the first `entries` entries are committed.
#[derive(Clone, Debug)]
struct CommitWaiter {
    id: RequestId,
    entries: usize,
    reply: Reply,
}

/// A request that this owner would refuse by its current state. It is served again once a majority has confirmed that
/// no other owner can have a newer state.
#[derive(Clone, Debug)]
struct ConfirmWaiter {
    id: RequestId,
    request: Request,
    round: u32,
}

/// The owner of one program.
#[derive(Clone, Debug)]
pub struct Owner {
    program: ProgramId,
    proposer: Proposer,
    state: ProgramState,
    /// Number of entries that are applied to `state`, committed or not.
    applied_entries: usize,
    /// Whether the adopted history is committed under this epoch, so that requests are served.
    ready: bool,
    /// Number of committed entries that the owner has handled.
    handled_entries: usize,
    queued_requests: Vec<QueuedRequest>,
    commit_waiters: Vec<CommitWaiter>,
    confirm_waiters: Vec<ConfirmWaiter>,
    calls: BTreeMap<CallKey, RunningCall>,
    last_used_at: Millis,
    idle_copy: Option<IdleCopy>,
}

/// Whether a majority has confirmed that this owner's epoch is still the highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EpochCheck {
    /// This owner has seen no higher epoch, but has not asked the replicas since the request arrived.
    Unconfirmed,
    /// A majority has confirmed the epoch since the request arrived.
    Confirmed,
}

/// A takeover of a program by a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Takeover {
    /// The node that becomes the owner.
    pub node: NodeId,
    /// A term that the node has never used before.
    pub term: u64,
    /// The program that gets a new owner.
    pub program: ProgramId,
}

/// A replica's copy of an idle program's history. The node that stores it takes the program over without a caller's
/// request, to end the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleCopy {
    /// Number of entries in the copy.
    pub entries: usize,
    /// When the copy was last used.
    pub since: Millis,
}

impl Owner {
    /// Starts to take over a program.
    pub fn take_over(takeover: Takeover, replicas: &[NodeId], context: &mut Context<'_>) -> Self {
        let Takeover { node, term, program } = takeover;
        let mut proposer = Proposer::new(node, term, context.guards, program, replicas, context.now);
        context.sends.extend(proposer.prepare(context.now));
        Self {
            program,
            proposer,
            state: ProgramState::default(),
            applied_entries: 0,
            ready: false,
            handled_entries: 0,
            queued_requests: Vec::new(),
            commit_waiters: Vec::new(),
            confirm_waiters: Vec::new(),
            calls: BTreeMap::new(),
            last_used_at: context.now,
            idle_copy: None,
        }
    }

    /// Starts to take over a program that appears to be idle, to end it.
    pub fn take_over_idle(takeover: Takeover, replicas: &[NodeId], idle: IdleCopy, context: &mut Context<'_>) -> Self {
        let owner = Self::take_over(takeover, replicas, context);
        Self { idle_copy: Some(idle), ..owner }
    }

    /// The program state computed from all entries, committed or not.
    pub fn state(&self) -> &ProgramState {
        &self.state
    }

    /// Whether calls are in flight or requests wait.
    pub fn is_busy(&self) -> bool {
        let has_waiters = !self.commit_waiters.is_empty() || !self.confirm_waiters.is_empty();
        has_waiters || !self.queued_requests.is_empty() || !self.calls.is_empty()
    }

    /// Whether the owner can be removed from memory: it has lost its epoch or has nothing to do.
    pub fn can_be_dropped(&self, now: Millis) -> bool {
        if self.proposer.phase() == Phase::Fenced {
            return true;
        }
        let idle = !self.is_busy() && (self.proposer.is_quiescent() || !self.ready);
        let empty = self.ready && self.state.opened.is_none();
        idle && (empty || self.state.closed || now.since(self.last_used_at) >= EVICTION_IDLE_MS)
    }

    /// Serves a caller's request, or queues it until the history is adopted.
    pub fn on_request(&mut self, id: RequestId, request: Request, context: &mut Context<'_>) {
        self.last_used_at = context.now;
        if self.ready {
            self.serve(id, request, EpochCheck::Unconfirmed, context);
        } else {
            self.queued_requests.push(QueuedRequest { id, request, arrived_at: context.now });
        }
    }

    /// Removes a caller whose connection was closed. Its calls continue.
    pub fn on_caller_gone(&mut self, id: RequestId) {
        self.commit_waiters.retain(|waiter| waiter.id != id);
        self.confirm_waiters.retain(|waiter| waiter.id != id);
        for call in self.calls.values_mut() {
            call.waiters.retain(|waiter| *waiter != id);
        }
    }

    /// Handles a replica's promise.
    pub fn on_promise(&mut self, from: NodeId, promise: Promise, context: &mut Context<'_>) {
        let sends = self.proposer.on_promise(from, promise, context.now);
        context.sends.extend(sends);
        self.advance(context);
    }

    /// Handles a replica's reply to an accept.
    pub fn on_accept_reply(&mut self, from: NodeId, reply: AcceptReply, context: &mut Context<'_>) {
        let sends = self.proposer.on_accept_reply(from, reply, context.now);
        context.sends.extend(sends);
        self.advance(context);
    }

    /// Acts on the phase of the proposer and handles newly committed entries.
    fn advance(&mut self, context: &mut Context<'_>) {
        match self.proposer.phase() {
            Phase::Preparing => {}
            Phase::Fenced => self.refuse_all_as_moved(context),
            Phase::Leading if self.ready => self.handle_commits(context),
            Phase::Leading => self.become_ready(context),
        }
    }

    fn become_ready(&mut self, context: &mut Context<'_>) {
        if !self.proposer.is_quiescent() {
            return;
        }
        self.ready = true;
        self.apply_new_entries();
        self.handled_entries = self.applied_entries;
        // If the adopted history has as many entries as the idle copy, the program was not used after the copy.
        if let Some(idle) = self.idle_copy.take().filter(|idle| idle.entries == self.applied_entries) {
            self.last_used_at = idle.since;
        }
        self.resume_calls(context);
        if self.state.closed {
            self.release_engine_memory(ROOT_BRANCH, context);
        }
        // A majority promised this epoch, but some of the promises may be outdated: another owner may have written
        // entries under a higher epoch since then, in particular if the adopted history is empty, so that nothing had
        // to be written again. The requests are therefore served as unconfirmed.
        for queued in std::mem::take(&mut self.queued_requests) {
            self.serve(queued.id, queued.request, EpochCheck::Unconfirmed, context);
        }
    }

    /// Applies the entries that are not yet part of the program state.
    fn apply_new_entries(&mut self) {
        for entry in &self.proposer.entries()[self.applied_entries..] {
            self.state.apply(entry);
        }
        self.applied_entries = self.proposer.entries().len();
    }

    /// Appends entries to the history and applies them to the state at once, so that later requests are checked against
    /// them.
    fn append(&mut self, entries: Vec<Entry>, context: &mut Context<'_>) {
        let sends = self.proposer.append(entries, context.now);
        context.sends.extend(sends);
        self.apply_new_entries();
    }

    /// Sends the reply once all entries appended so far are committed.
    fn reply_when_committed(&mut self, id: RequestId, reply: Reply, context: &mut Context<'_>) {
        let entries = self.proposer.entries().len();
        if self.proposer.committed() >= entries {
            context.reply(id, reply);
        } else {
            self.commit_waiters.push(CommitWaiter { id, entries, reply });
        }
    }

    fn handle_commits(&mut self, context: &mut Context<'_>) {
        let committed = self.proposer.committed();
        while self.handled_entries < committed {
            let entry = self.proposer.entries()[self.handled_entries].clone();
            self.handled_entries += 1;
            self.handle_committed_entry(&entry, context);
        }
        let waiters = std::mem::take(&mut self.commit_waiters);
        for waiter in waiters {
            if waiter.entries <= committed {
                context.reply(waiter.id, waiter.reply);
            } else {
                self.commit_waiters.push(waiter);
            }
        }
        self.serve_confirmed_requests(context);
    }

    fn serve_confirmed_requests(&mut self, context: &mut Context<'_>) {
        let confirmed = self.proposer.confirmed_round();
        let is_confirmed = |waiter: &mut ConfirmWaiter| waiter.round <= confirmed;
        let ready: Vec<ConfirmWaiter> = self.confirm_waiters.extract_if(.., is_confirmed).collect();
        for waiter in ready {
            self.serve(waiter.id, waiter.request, EpochCheck::Confirmed, context);
        }
    }

    /// Serves the request again once a majority has confirmed that no higher epoch has replaced this owner's.
    fn serve_after_confirmation(&mut self, id: RequestId, request: Request, context: &mut Context<'_>) {
        let (round, sends) = self.proposer.start_confirmation(context.now);
        context.sends.extend(sends);
        self.confirm_waiters.push(ConfirmWaiter { id, request, round });
    }

    fn handle_committed_entry(&mut self, entry: &Entry, context: &mut Context<'_>) {
        match entry {
            Entry::Dispatched(dispatched) => {
                let key = self.call_key(dispatched.branch, dispatched.sequence);
                self.on_intent_committed(key, dispatched.attempt, context);
            }
            Entry::Answered(answered) => {
                let key = self.call_key(answered.branch, answered.sequence);
                self.on_end_committed(key, context);
            }
            Entry::Closed(closed) => self.release_engine_memory(closed.branch, context),
            Entry::Opened(_) | Entry::BranchOpened(_) => {}
        }
    }

    fn call_key(&self, branch: BranchId, sequence: u32) -> CallKey {
        CallKey { program: self.program, branch, sequence }
    }

    /// Releases the engine memory held for an ended branch, or for the whole program if it has ended.
    fn release_engine_memory(&mut self, branch: BranchId, context: &mut Context<'_>) {
        if !context.guards.is_active(Guard::HoldRelease) {
            return;
        }
        if branch == ROOT_BRANCH {
            context.router.on_program_end(self.program);
        }
        for engine in self.state.engines_used() {
            context.command_engine(engine, EngineCommand::Release { program: self.program, branch });
        }
    }

    /// Refuses every waiting caller because the program has moved to another owner.
    fn refuse_all_as_moved(&mut self, context: &mut Context<'_>) {
        for queued in std::mem::take(&mut self.queued_requests) {
            let run = run_state_of(&queued.request);
            context.refuse(queued.id, RefusalKind::Moved, run, Some(MOVED_RETRY_MS));
        }
        for waiter in std::mem::take(&mut self.confirm_waiters) {
            let run = run_state_of(&waiter.request);
            context.refuse(waiter.id, RefusalKind::Moved, run, Some(MOVED_RETRY_MS));
        }
        for waiter in std::mem::take(&mut self.commit_waiters) {
            context.refuse(waiter.id, RefusalKind::Moved, RunState::MayHaveRun, Some(MOVED_RETRY_MS));
        }
        for (key, call) in std::mem::take(&mut self.calls) {
            context.router.on_call_end(call.engine, key, true, context.now);
            for waiter in call.waiters {
                context.refuse(waiter, RefusalKind::Moved, RunState::MayHaveRun, Some(MOVED_RETRY_MS));
            }
        }
    }

    /// Resends unanswered messages, handles timeouts and ends the program if it is idle.
    pub fn tick(&mut self, context: &mut Context<'_>) {
        let sends = self.proposer.tick(context.now);
        context.sends.extend(sends);
        self.advance(context);
        if self.proposer.phase() == Phase::Fenced {
            return;
        }
        self.refuse_overdue_requests(context);
        if self.ready {
            self.tick_calls(context);
            self.close_when_idle(context);
        }
    }

    fn refuse_overdue_requests(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let overdue = |queued: &mut QueuedRequest| now.since(queued.arrived_at) >= QUORUM_TIMEOUT_MS;
        let refused: Vec<QueuedRequest> = self.queued_requests.extract_if(.., overdue).collect();
        for queued in refused {
            let run = run_state_of(&queued.request);
            context.refuse(queued.id, RefusalKind::NoQuorum, run, Some(NO_QUORUM_RETRY_MS));
        }
    }

    fn close_when_idle(&mut self, context: &mut Context<'_>) {
        let Some(opened) = &self.state.opened else { return };
        let instance = context.configuration.instance(&opened.instance.to_string_lossy());
        let idle_ms = instance.map_or(EVICTION_IDLE_MS, |instance| instance.policy.idle_ms);
        let idle = !self.is_busy() && context.now.since(self.last_used_at) >= idle_ms;
        if idle && !self.state.closed && self.proposer.is_quiescent() {
            self.append(vec![Entry::Closed(Closed { branch: ROOT_BRANCH })], context);
        }
    }
}

/// Whether a request on which this owner has not acted may have run on an engine through another node.
fn run_state_of(request: &Request) -> RunState {
    match &request.body {
        RequestBody::Call(call) if !call.resend => RunState::NotRun,
        RequestBody::Call(_) | RequestBody::Read(_) | RequestBody::Cancel(_) => RunState::MayHaveRun,
        RequestBody::Open { .. } | RequestBody::OpenBranch { .. } | RequestBody::Close { .. } => RunState::NotRun,
    }
}
