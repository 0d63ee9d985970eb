//! Sessions and callers in the simulated world.

use super::caller::{Behaviour, CallerState, ScriptState, SimCaller, TENANT};
use super::network::Network;
use super::oracle::{Invariant, SentCall};
use super::world::{NodeRef, World, WorldEvent};
use foxnotch_core::effect::Event;
use foxnotch_core::request::{Hop, RefusalKind, Reply, Request, RequestBody, RequestId, RunState};
use foxnotch_core::session::{Session, SessionAction, SessionInput};
use foxnotch_wire::{CallKey, NodeId, ROOT_BRANCH};

/// Time after a call's deadline within which its caller must have received a final reply.
const REPLY_GRACE_MS: u64 = 2_000;
/// Time that a caller waits for the reply to a request without a deadline.
const OTHER_REQUEST_TIMEOUT_MS: u64 = 20_000;
/// Time after which a connection attempt to an unreachable node fails.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Pause before a caller sends its request to another node.
const RETRY_PAUSE_MS: u64 = 100;
/// Time after a request's deadline at which its session refuses the request if it has no final reply.
const DEADLINE_GRACE_MS: u64 = 500;

/// Identifies a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SessionId(pub(super) u64);

/// The party that waits for a session's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    /// A caller. `script` is the index of the branch's script; none when the request opens or closes the program.
    Caller { caller: u32, script: Option<usize>, request: u64, call: Option<CallKey> },
    /// A session on another node that forwarded its request; `attempt` is the number of its attempt.
    Session { session: SessionId, attempt: u64 },
}

/// A node's handling of one request.
#[derive(Clone, Debug)]
pub(super) struct SimSession {
    pub(super) node: NodeRef,
    pub(super) requester: Requester,
    /// The request to the node's own state machine; none while another node serves it.
    pub(super) request: Option<RequestId>,
    session: Session,
    /// Counts the attempts to serve the request here or on another node; results of earlier attempts are ignored.
    pub(super) attempt: u64,
}

impl World {
    /// Starts a session for a request that a node received, and schedules its deadlines.
    fn begin_session(&mut self, node: NodeRef, requester: Requester, request: Request) {
        self.next_session += 1;
        let id = SessionId(self.next_session);
        let session = Session::new(request);
        let action = session.start();
        if let Some(deadline) = session.deadline() {
            let left = deadline.0.saturating_sub(self.now);
            self.schedule(left + DEADLINE_GRACE_MS, WorldEvent::SessionDeadline(id));
        }
        if matches!(requester, Requester::Caller { .. }) {
            let timeout = session
                .deadline()
                .map_or(OTHER_REQUEST_TIMEOUT_MS, |deadline| deadline.0.saturating_sub(self.now) + REPLY_GRACE_MS);
            self.schedule(timeout, WorldEvent::CallerTimeout { session: id });
        }
        self.sessions.insert(id, SimSession { node, requester, request: None, session, attempt: 0 });
        self.perform_action(id, action);
    }

    fn perform_action(&mut self, id: SessionId, action: SessionAction) {
        match action {
            SessionAction::ServeHere { request, delay_ms } => {
                let Some(session) = self.sessions.get_mut(&id) else { return };
                session.attempt += 1;
                self.next_session += 1;
                let request_id = RequestId(self.next_session);
                session.request = Some(request_id);
                let node = session.node;
                let event = Event::Request { id: request_id, request };
                self.schedule(delay_ms, WorldEvent::Deliver { to: node, event: Box::new(event) });
            }
            SessionAction::ForwardTo { node, request } => self.forward_request(id, node, request),
            SessionAction::SendPart(reply) => self.send_reply(id, reply),
            SessionAction::SendFinal(reply) => {
                self.send_reply(id, reply);
                self.sessions.remove(&id);
            }
            SessionAction::Ignore => {}
        }
    }

    /// Forwards a session's request to another node. When the connection fails, reports that to the session and its
    /// node.
    fn forward_request(&mut self, id: SessionId, to: NodeId, request: Request) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.attempt += 1;
        session.request = None;
        let attempt = session.attempt;
        let requester = Requester::Session { session: id, attempt };
        let from = session.node;
        if self.can_connect(from.node, to) {
            self.begin_session_on(to, requester, request);
            return;
        }
        let delay = if self.is_reachable_machine(from.node, to) { 1 } else { CONNECT_TIMEOUT_MS };
        self.schedule(delay, WorldEvent::Deliver { to: from, event: Box::new(Event::Unreachable(to)) });
        self.schedule(delay, WorldEvent::SessionInput { session: id, attempt, input: SessionInput::Undelivered });
    }

    fn begin_session_on(&mut self, to: NodeId, requester: Requester, request: Request) {
        let Some(node) = self.nodes.get(&to) else { return };
        let reference = node.node_ref();
        self.begin_session(reference, requester, request);
    }

    /// Whether the network delivers messages between the machines of two nodes in both directions.
    fn is_reachable_machine(&self, from: NodeId, to: NodeId) -> bool {
        let (Some(from), Some(to)) = (self.nodes.get(&from), self.nodes.get(&to)) else { return false };
        !self.network.is_cut(from.zone, to.zone, self.now) && !self.network.is_cut(to.zone, from.zone, self.now)
    }

    /// Whether a node can open a connection to another node's process.
    fn can_connect(&self, from: NodeId, to: NodeId) -> bool {
        self.is_reachable_machine(from, to) && self.nodes.get(&to).is_some_and(|node| node.is_up())
    }

    /// Passes the result of an attempt to its session; ignores it if the session has begun a newer attempt.
    pub(super) fn on_session_input(&mut self, id: SessionId, attempt: u64, input: SessionInput) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id).filter(|session| session.attempt == attempt) else { return };
        let frozen = self.nodes.get(&session.node.node).is_some_and(|node| now < node.frozen_until);
        if frozen {
            // The node's process is suspended, and its sessions with it.
            let left = self.nodes[&session.node.node].frozen_until - now;
            self.schedule(left, WorldEvent::SessionInput { session: id, attempt, input });
            return;
        }
        let action = session.session.next_action(input);
        self.perform_action(id, action);
    }

    /// Makes a session refuse its request shortly after the request's deadline.
    pub(super) fn on_session_deadline(&mut self, id: SessionId) {
        let now = self.now;
        let Some(session) = self.sessions.get(&id) else { return };
        let until = self.nodes.get(&session.node.node).map_or(0, |node| node.frozen_until);
        if now < until {
            self.schedule(until - now, WorldEvent::SessionDeadline(id));
            return;
        }
        let reply = session.session.deadline_passed_reply();
        self.perform_action(id, SessionAction::SendFinal(reply));
    }

    fn send_reply(&mut self, id: SessionId, reply: Reply) {
        let Some(session) = self.sessions.get(&id) else { return };
        let (requester, node) = (session.requester, session.node.node);
        match requester {
            Requester::Session { session: forwarding_session, attempt } => {
                let Some(waiting) = self.sessions.get(&forwarding_session).filter(|waiting| waiting.attempt == attempt)
                else {
                    return;
                };
                let broken = !self.is_reachable_machine(node, waiting.node.node);
                let input = if broken { SessionInput::Failed } else { SessionInput::Reply(reply) };
                let delay = if broken { CONNECT_TIMEOUT_MS } else { Network::draw_delay(&mut self.random) };
                self.schedule(delay, WorldEvent::SessionInput { session: forwarding_session, attempt, input });
            }
            Requester::Caller { .. } => self.on_caller_reply(requester, reply),
        }
    }

    /// Removes a session whose node has stopped and reports the broken connection to its requester.
    pub(super) fn break_session(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        match session.requester {
            Requester::Session { session: forwarding_session, attempt } => {
                self.schedule(
                    1,
                    WorldEvent::SessionInput { session: forwarding_session, attempt, input: SessionInput::Failed },
                );
            }
            Requester::Caller { .. } => self.on_broken_connection(session.requester),
        }
    }

    /// Handles a caller that received no final reply in time. This is a violation unless the node is suspended or
    /// down, or a fault is active or has just ended.
    pub(super) fn on_caller_timeout(&mut self, id: SessionId) {
        let now = self.now;
        let Some(session) = self.sessions.get(&id) else { return };
        let is_unavailable =
            self.nodes.get(&session.node.node).is_none_or(|node| node.frozen_until > now || !node.is_up());
        let has_recent_fault = self.disturbed_until + REPLY_GRACE_MS > now;
        let requester = session.requester;
        if !is_unavailable && !has_recent_fault {
            let detail = format!("a caller received no final reply in time ({requester:?})");
            self.oracle.record_violation(Invariant::Liveness, now, detail);
            return;
        }
        self.sessions.remove(&id);
        self.on_broken_connection(requester);
    }

    /// Adds a caller, which opens its program.
    pub(super) fn add_caller(&mut self, seed: u32) {
        let id = self.callers.len() as u32;
        let caller = SimCaller::new(id, seed, super::action::NODES);
        self.callers.push(caller);
        self.schedule(1, WorldEvent::Caller(id));
    }

    /// Sends a caller's request to the caller's current node; when the node is down, schedules a retry on the
    /// next node.
    fn send_to_node(&mut self, caller: u32, requester: Requester, body: RequestBody) {
        let Some(sender) = self.callers.get_mut(caller as usize) else { return };
        let node = NodeId(sender.node);
        if let RequestBody::Call(call) = &body {
            let sent = SentCall {
                key: call.key,
                input: call.input.clone(),
                maximum_output_tokens: call.maximum_output_tokens,
                repeatable: call.repeatable,
                deadline: call.deadline.0,
            };
            self.oracle.call_sent(&sent);
        }
        let up = self.nodes.get(&node).is_some_and(|node| node.is_up());
        if !up {
            if let Requester::Caller { call: Some(key), .. } = requester {
                // The request was not delivered, so it cannot have run.
                self.oracle.refused_not_run(key, self.now);
            }
            self.retry(requester, RETRY_PAUSE_MS);
            return;
        }
        let request = Request { tenant: TENANT.to_owned(), hop: Hop::Direct, body };
        self.begin_session_on(node, requester, request);
    }

    /// Sends the caller's request to open or close its program.
    pub(super) fn send_program_request(&mut self, id: u32) {
        let Some(caller) = self.callers.get_mut(id as usize) else { return };
        let body = match caller.state {
            CallerState::Opening => caller.open_request(),
            CallerState::Closing => caller.close_request(),
            CallerState::Running | CallerState::Done | CallerState::Gone => return,
        };
        caller.times_sent += 1;
        caller.request += 1;
        let requester = Requester::Caller { caller: id, script: None, request: caller.request, call: None };
        self.send_to_node(id, requester, body);
    }

    /// Sends the next request of a branch's script.
    pub(super) fn send_script_request(&mut self, id: u32, index: usize, request: u64) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(id as usize) else { return };
        if caller.state != CallerState::Running || caller.scripts[index].request != request {
            return;
        }
        caller.scripts[index].request += 1;
        caller.scripts[index].times_sent += 1;
        let request = caller.scripts[index].request;
        if caller.scripts[index].state == ScriptState::Opening {
            let body = caller.branch_request(index);
            let requester = Requester::Caller { caller: id, script: Some(index), request, call: None };
            return self.send_to_node(id, requester, body);
        }
        let script = &caller.scripts[index];
        let (sequence, resend) = (script.sequence, script.undecided);
        let Some(call) = caller.call_request(index, sequence, now, resend) else {
            return self.end_script(id, index);
        };
        let requester = Requester::Caller { caller: id, script: Some(index), request, call: Some(call.key) };
        let behaviour = caller.behaviour;
        let first = caller.scripts[index].times_sent == 1;
        self.send_to_node(id, requester, RequestBody::Call(call));
        if first && behaviour == Behaviour::SendsDuplicates && self.draw_up_to(2) == 0 {
            self.send_duplicate(id, index, sequence, request);
        }
        if first && behaviour == Behaviour::SendsEarly && self.draw_up_to(1) == 0 {
            self.send_next_call_early(id, index, sequence + 1);
        }
    }

    /// Sends a call that is in flight to another node too.
    fn send_duplicate(&mut self, id: u32, index: usize, sequence: u32, request: u64) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(id as usize) else { return };
        if caller.scripts[index].request != request {
            return;
        }
        let Some(call) = caller.call_request(index, sequence, now, true) else { return };
        caller.scripts[index].undecided = true;
        caller.node = caller.node % super::action::NODES + 1;
        let requester = Requester::Caller { caller: id, script: Some(index), request, call: Some(call.key) };
        let node = NodeId(caller.node);
        if self.nodes.get(&node).is_some_and(|node| node.is_up()) {
            self.send_to_node(id, requester, RequestBody::Call(call));
        }
    }

    /// Sends a branch's call with this sequence number although the branch's previous call is still in flight.
    fn send_next_call_early(&mut self, id: u32, index: usize, sequence: u32) {
        let now = self.now;
        let Some(caller) = self.callers.get(id as usize) else { return };
        let Some(call) = caller.call_request(index, sequence, now, false) else { return };
        let node = NodeId(caller.node);
        if self.nodes.get(&node).is_some_and(|node| node.is_up()) {
            // No script waits for request 0: the oracle checks the reply, and the caller ignores it.
            let requester = Requester::Caller { caller: id, script: Some(index), request: 0, call: Some(call.key) };
            self.send_to_node(id, requester, RequestBody::Call(call));
        }
    }

    /// Handles a broken connection: the node may have accepted the request, so the caller resends it.
    fn on_broken_connection(&mut self, requester: Requester) {
        self.mark_undecided(requester);
        self.retry(requester, RETRY_PAUSE_MS);
    }

    /// Records that a node may have accepted the current call of a script.
    fn mark_undecided(&mut self, requester: Requester) {
        let Requester::Caller { caller, script: Some(script), .. } = requester else { return };
        if let Some(caller) = self.callers.get_mut(caller as usize) {
            caller.scripts[script].undecided = true;
        }
    }

    /// Schedules a request again, on the next node, unless a newer request has replaced it.
    fn retry(&mut self, requester: Requester, after: u64) {
        let Requester::Caller { caller: id, script, request, .. } = requester else { return };
        let Some(caller) = self.callers.get_mut(id as usize) else { return };
        let current = script.map_or(caller.request, |script| caller.scripts[script].request);
        if current != request {
            return;
        }
        caller.node = caller.node % super::action::NODES + 1;
        match script {
            Some(script) => self.schedule(after, WorldEvent::CallerScript { caller: id, script, request }),
            None => self.schedule(after, WorldEvent::Caller(id)),
        }
    }

    fn on_caller_reply(&mut self, requester: Requester, reply: Reply) {
        let Requester::Caller { caller: id, script, request, call } = requester else { return };
        self.report_to_oracle(call, &reply);
        let Some(caller) = self.callers.get_mut(id as usize) else { return };
        let current = script.map_or(caller.request, |script| caller.scripts[script].request);
        if current != request {
            if request == 0 || matches!(&reply, Reply::Refused(refusal) if refusal.run == RunState::MayHaveRun) {
                self.mark_undecided_unless_not_run(requester, &reply);
            }
            return;
        }
        match reply {
            Reply::Tokens { .. } => {}
            Reply::Opened(program) => self.on_opened(id, program == self.callers[id as usize].program),
            Reply::BranchOpened(branch) => self.on_branch_opened(id, script, branch),
            Reply::Closed => self.on_closed(id),
            Reply::Finished { .. } => self.on_finished(id, script),
            Reply::Refused(refusal) => self.on_refused(requester, refusal),
            Reply::Forward(_) => {
                self.oracle.record_violation(Invariant::Liveness, self.now, "a caller was redirected to another node")
            }
        }
    }

    /// Handles a reply to a call that was sent early or twice: unless the call did not run, a node may have accepted
    /// it.
    fn mark_undecided_unless_not_run(&mut self, requester: Requester, reply: &Reply) {
        if !matches!(reply, Reply::Refused(refusal) if refusal.run == RunState::NotRun) {
            self.mark_undecided(requester);
        }
    }

    /// Reports a caller's reply to the oracle.
    fn report_to_oracle(&mut self, call: Option<CallKey>, reply: &Reply) {
        let Some(key) = call else { return };
        match reply {
            Reply::Tokens { offset, text } => self.oracle.check_tokens(key, *offset, text, self.now),
            Reply::Finished { outcome, text, .. } => self.oracle.call_ended(key, *outcome, text, self.now),
            Reply::Refused(refusal) if refusal.run == RunState::NotRun => self.oracle.refused_not_run(key, self.now),
            _ => {}
        }
    }

    fn on_opened(&mut self, id: u32, is_expected_program: bool) {
        if !is_expected_program {
            self.oracle.record_violation(
                Invariant::History,
                self.now,
                "the reply to an open request names another program",
            );
            return;
        }
        let caller = &mut self.callers[id as usize];
        caller.state = CallerState::Running;
        caller.times_sent = 0;
        let (program, budget) = (caller.program, caller.budget());
        self.oracle.branch_opened(program, ROOT_BRANCH, None, budget);
        for script in 0..self.callers[id as usize].scripts.len() {
            let after = 1 + 40 * script as u64;
            self.schedule(after, WorldEvent::CallerScript { caller: id, script, request: 0 });
        }
    }

    fn on_closed(&mut self, id: u32) {
        let caller = &mut self.callers[id as usize];
        caller.state = CallerState::Done;
        let program = caller.program;
        self.oracle.program_closed(program, self.now);
    }

    fn on_branch_opened(&mut self, id: u32, script: Option<usize>, branch: foxnotch_wire::BranchId) {
        let Some(script) = script else { return };
        let caller = &mut self.callers[id as usize];
        let is_duplicate = caller.scripts.iter().any(|other| other.branch == Some(branch));
        caller.scripts[script].branch = Some(branch);
        caller.scripts[script].state = ScriptState::Running;
        caller.scripts[script].times_sent = 0;
        let (program, request) = (caller.program, caller.scripts[script].request);
        if is_duplicate {
            self.oracle.record_violation(Invariant::History, self.now, "two sub-agents received the same branch");
        }
        self.oracle.branch_opened(program, branch, Some(ROOT_BRANCH), super::caller::SUB_AGENT_BUDGET_TOKENS);
        self.schedule(1, WorldEvent::CallerScript { caller: id, script, request });
    }

    /// Handles the end of a call: after the pause that the script sets, the caller sends the next call.
    fn on_finished(&mut self, id: u32, script: Option<usize>) {
        let Some(index) = script else { return };
        let caller = &mut self.callers[id as usize];
        let script = &mut caller.scripts[index];
        script.sequence += 1;
        script.times_sent = 0;
        // The script no longer waits for the reply to the duplicate of this call.
        script.request += 1;
        script.undecided = caller.behaviour == Behaviour::SendsEarly;
        let request = script.request;
        let pause = script.calls.get(script.sequence as usize).map_or(1, |call| call.pause_ms);
        let disappears = caller.behaviour == Behaviour::Disappears
            && index == 0
            && script.sequence > caller.last_call_before_leaving;
        if disappears {
            caller.state = CallerState::Gone;
            return;
        }
        self.schedule(pause, WorldEvent::CallerScript { caller: id, script: index, request });
    }

    fn on_refused(&mut self, requester: Requester, refusal: foxnotch_core::request::Refusal) {
        let Requester::Caller { caller: id, script, .. } = requester else { return };
        self.callers[id as usize].last_refusal = Some(refusal);
        if refusal.run == RunState::MayHaveRun {
            self.mark_undecided(requester);
        }
        if let Some(after) = refusal.retry_after {
            return self.retry(requester, after);
        }
        match refusal.kind {
            RefusalKind::BudgetExceeded | RefusalKind::CallLimit => {
                if let Some(script) = script {
                    self.end_script(id, script);
                }
            }
            RefusalKind::OutOfOrder => self.retry(requester, RETRY_PAUSE_MS),
            // The program reached its idle timeout while its caller could reach no node.
            RefusalKind::Closed => self.callers[id as usize].state = CallerState::Done,
            RefusalKind::UnknownInstance => self.retry(requester, RETRY_PAUSE_MS),
            kind => {
                let program = self.callers[id as usize].program;
                let detail = format!("a valid request for {program} was refused: {kind} ({requester:?})");
                self.oracle.record_violation(Invariant::History, self.now, detail);
            }
        }
    }

    fn end_script(&mut self, id: u32, index: usize) {
        let caller = &mut self.callers[id as usize];
        caller.scripts[index].state = ScriptState::Done;
        if caller.state == CallerState::Running && caller.all_scripts_done() {
            caller.state = CallerState::Closing;
            self.schedule(1, WorldEvent::Caller(id));
        }
    }

    /// Records a violation for each caller that is neither done nor gone at the end of the run.
    pub(super) fn check_callers_done(&mut self) {
        let unfinished: Vec<String> = self
            .callers
            .iter()
            .filter(|caller| !matches!(caller.state, CallerState::Done | CallerState::Gone))
            .map(|caller| {
                let scripts: Vec<_> =
                    caller.scripts.iter().map(|script| (script.state, script.sequence, script.times_sent)).collect();
                let last = caller.last_refusal;
                format!("caller {} ({}) is stuck: {:?} {scripts:?} {last:?}", caller.id, caller.program, caller.state)
            })
            .collect();
        for detail in unfinished {
            self.oracle.record_violation(Invariant::Liveness, self.now, detail);
        }
    }
}
