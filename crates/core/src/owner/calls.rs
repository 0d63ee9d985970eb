//! Runs the calls of a program, from the intent to the committed end.

use super::running::{priority, CallPhase, RunningCall};
use super::{Context, Owner};
use crate::effect::{EngineCommand, EngineUpdate, StartCall};
use crate::guard::Guard;
use crate::prefix::{block_hashes, BlockHash};
use crate::program::{tokens_of, CallState};
use crate::request::{CallRequest, RefusalKind, Reply, RequestId, RunState};
use crate::router::{EngineChoice, PlacementRequest};
use foxnotch_membership::Millis;
use foxnotch_wire::{Answered, CallKey, Dispatched, EngineId, Entry, Outcome};

/// Milliseconds after which the owner asks an engine for an answer again, and after which a caller should retry.
const RESUME_DELAY_MS: u64 = 200;
/// Number of lost connections to the engine after which an attempt is considered failed.
const MAX_LOST_CONNECTIONS: u32 = 5;
/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 5;
/// Milliseconds within which an engine has to start a call. Twice the estimated wait is added; the time runs from the
/// choice of the engine.
const START_WINDOW_MS: u64 = 1500;
/// Maximum milliseconds by which the clocks of two machines may differ.
const MAX_CLOCK_SKEW_MS: u64 = 250;
/// Milliseconds for which engine memory is held when a test has removed the guard that releases it.
const UNRELEASED_HOLD_MS: u64 = u32::MAX as u64;

/// The data of a call from which its [`PlacementRequest`]s are made.
struct PlacementInputs {
    model: String,
    prompt: Vec<u8>,
    blocks: Vec<BlockHash>,
    maximum_output_tokens: u64,
    maximum_wait_ms: u64,
    cache_weight: u64,
}

impl PlacementInputs {
    fn placement(&self, key: CallKey, avoid: Option<EngineId>) -> PlacementRequest<'_> {
        PlacementRequest {
            key,
            model: &self.model,
            blocks: &self.blocks,
            prompt_tokens: tokens_of(self.prompt.len()),
            maximum_output_tokens: self.maximum_output_tokens,
            maximum_wait_ms: self.maximum_wait_ms,
            cache_weight: self.cache_weight,
            avoid,
        }
    }
}

impl Owner {
    fn placement_inputs(
        &self,
        prompt: Vec<u8>,
        maximum_output_tokens: u32,
        deadline: Millis,
        context: &Context<'_>,
    ) -> Result<PlacementInputs, RefusalKind> {
        let opened = self.state.opened.as_ref().ok_or(RefusalKind::UnknownProgram)?;
        let instance = context.configuration.instance(&opened.instance.to_string_lossy());
        let policy = &instance.ok_or(RefusalKind::UnknownInstance)?.policy;
        Ok(PlacementInputs {
            model: policy.model.clone(),
            blocks: block_hashes(&prompt),
            prompt,
            maximum_output_tokens: u64::from(maximum_output_tokens),
            maximum_wait_ms: policy.max_wait_ms.min(deadline.since(context.now)),
            cache_weight: policy.cache_weight,
        })
    }

    /// Chooses an engine for a new call and writes the intent; refuses the call if no engine can accept it.
    pub(super) fn dispatch_new(
        &mut self,
        id: RequestId,
        request: CallRequest,
        reserved_tokens: u64,
        context: &mut Context<'_>,
    ) {
        let key = request.key;
        let mut prompt =
            self.state.branches.get(&key.branch).map(|branch| branch.prompt(key.sequence)).unwrap_or_default();
        prompt.extend_from_slice(&request.input);
        let inputs = match self.placement_inputs(prompt, request.maximum_output_tokens, request.deadline, context) {
            Ok(inputs) => inputs,
            Err(kind) => return Self::refuse_call(id, request.resend, kind, RESUME_DELAY_MS, context),
        };
        let placement = inputs.placement(key, None);
        let EngineChoice { engine, wait_ms } = match context.router.choose(&placement, context.now) {
            Ok(choice) => choice,
            Err(refusal) => return Self::refuse_call(id, request.resend, refusal.kind, refusal.retry_after, context),
        };
        context.retries.add_request_credit();
        context.router.on_dispatch(engine, &placement, context.now);
        let dispatched = Dispatched {
            branch: key.branch,
            sequence: key.sequence,
            attempt: 0,
            engine,
            reserved_tokens,
            maximum_output_tokens: request.maximum_output_tokens,
            repeatable: u8::from(request.repeatable),
            deadline: request.deadline.0,
            start_by: latest_start(context.now, wait_ms, request.deadline),
            input: foxnotch_wire::Text { bytes: request.input },
        };
        self.calls.insert(key, RunningCall::dispatched(engine, id));
        self.append(vec![Entry::Dispatched(dispatched)], context);
        if !context.guards.is_active(Guard::IntentRecord) {
            self.send_start_command(key, context);
        }
    }

    /// Adds a caller to a call in flight and sends the caller the text received so far.
    pub(super) fn follow_call(&mut self, id: RequestId, key: CallKey, context: &mut Context<'_>) {
        let Some(call) = self.calls.get_mut(&key) else {
            context.refuse(id, RefusalKind::Moved, RunState::MayHaveRun, Some(RESUME_DELAY_MS));
            return;
        };
        call.waiters.push(id);
        if !call.received_text.is_empty() {
            context.reply(id, Reply::Tokens { offset: 0, text: call.received_text.clone() });
        }
    }

    /// Continues the calls that an earlier owner had in flight.
    pub(super) fn resume_calls(&mut self, context: &mut Context<'_>) {
        let running: Vec<(CallKey, CallState)> = self
            .state
            .running_calls()
            .map(|(branch, sequence, call)| (self.call_key(branch, sequence), call.clone()))
            .collect();
        for (key, state) in running {
            self.calls.insert(key, RunningCall::adopted(state.engine, state.attempt));
            context.command_engine(state.engine, EngineCommand::Resume { key, attempt: state.attempt });
        }
    }

    /// Sends the call to its engine, because a majority has stored the intent of this attempt.
    pub(super) fn on_intent_committed(&mut self, key: CallKey, attempt: u32, context: &mut Context<'_>) {
        let waiting = |call: &&mut RunningCall| call.phase == CallPhase::Intending && call.attempt == attempt;
        if self.calls.get_mut(&key).filter(waiting).is_none() {
            return;
        }
        let late = self.start_deadline_of(key).is_some_and(|start_by| context.now >= start_by);
        let engine_accepts =
            self.calls.get(&key).is_some_and(|call| context.router.accepts_dispatch(call.engine, context.now));
        if late || !engine_accepts {
            // Either this owner was paused past the latest start time, and another owner may have continued on the
            // assumption that the call was never sent. Or the engine accepts no more calls.
            self.on_attempt_failed(key, false, context);
            return;
        }
        self.send_start_command(key, context);
    }

    fn start_deadline_of(&self, key: CallKey) -> Option<Millis> {
        let branch = self.state.branches.get(&key.branch)?;
        branch.calls.get(key.sequence as usize).map(|call| Millis(call.start_by))
    }

    /// Whether an engine might still start a call: its latest start time has not passed, and no update has shown that
    /// it was started or will not be. It may be queued at an engine that cannot be reached, or an earlier owner's start
    /// command may still be in transit. The next call of the branch has to wait until this is ruled out. A call whose
    /// intent is still being written has not been sent.
    fn may_still_start(&self, key: CallKey, now: Millis) -> bool {
        let may_be_sent = |call: &RunningCall| !call.start_outcome_known && call.phase != CallPhase::Intending;
        let start_unknown = self.calls.get(&key).is_some_and(may_be_sent);
        start_unknown && self.start_deadline_of(key).is_some_and(|start_by| now < start_by.plus(MAX_CLOCK_SKEW_MS))
    }

    fn send_start_command(&mut self, key: CallKey, context: &mut Context<'_>) {
        let Some(branch) = self.state.branches.get(&key.branch) else { return };
        let Some(state) = branch.calls.get(key.sequence as usize) else { return };
        let Some(call) = self.calls.get_mut(&key) else { return };
        let Some(opened) = &self.state.opened else { return };
        let Some(instance) = context.configuration.instance(&opened.instance.to_string_lossy()) else {
            let outcome = call.unanswered_outcome();
            self.append_end(key, outcome, Vec::new(), context);
            return;
        };
        call.phase = CallPhase::Running;
        let policy = &instance.policy;
        let releases = context.guards.is_active(Guard::HoldRelease);
        let start = StartCall {
            key,
            attempt: call.attempt,
            epoch: self.proposer.epoch(),
            model: policy.model.clone(),
            adapter: policy.adapter.clone(),
            prompt: branch.prompt(key.sequence),
            maximum_output_tokens: state.maximum_output_tokens,
            priority: priority(policy.priority, branch.used_tokens),
            hold_ms: if releases { policy.hold_ms } else { UNRELEASED_HOLD_MS },
            start_by: Millis(state.start_by),
        };
        context.command_engine(call.engine, EngineCommand::Start(start));
    }

    /// Handles an engine's update about a call.
    pub fn on_engine_update(&mut self, key: CallKey, attempt: u32, update: EngineUpdate, context: &mut Context<'_>) {
        self.last_used_at = context.now;
        let key = if context.guards.is_active(Guard::AnswerIdentity) { key } else { self.first_call_in_flight(key) };
        let Some(call) = self.calls.get_mut(&key) else { return };
        let awaited = matches!(call.phase, CallPhase::Running | CallPhase::Lost(_));
        let same_attempt = call.attempt == attempt || !context.guards.is_active(Guard::AnswerIdentity);
        if !awaited || !same_attempt {
            return;
        }
        call.update_start_outcome(&update);
        if call.deferred_outcome.is_some() {
            // The call was stopped: the update matters only for `start_outcome_known`, which is set above.
            return;
        }
        match update {
            EngineUpdate::Tokens { offset, text } => call.forward_new_text(offset, &text, context),
            EngineUpdate::Finished { text } => self.on_answer(key, text, context),
            EngineUpdate::Refused => self.on_attempt_failed(key, false, context),
            EngineUpdate::Unknown | EngineUpdate::Stopped => self.on_attempt_failed(key, true, context),
            EngineUpdate::Lost => self.on_connection_lost(key, context),
        }
    }

    /// The first call in flight, which gets any answer when a test has removed [`Guard::AnswerIdentity`].
    fn first_call_in_flight(&self, key: CallKey) -> CallKey {
        self.calls.keys().next().copied().unwrap_or(key)
    }

    fn on_answer(&mut self, key: CallKey, text: Vec<u8>, context: &mut Context<'_>) {
        let Some(call) = self.calls.get(&key) else { return };
        context.router.on_call_end(call.engine, key, true, context.now);
        if let Some(branch) = self.state.branches.get(&key.branch) {
            let mut full_text = branch.prompt(key.sequence);
            full_text.extend_from_slice(&text);
            context.router.on_blocks_computed(call.engine, &block_hashes(&full_text), context.now);
        }
        self.append_end(key, Outcome::Done, text, context);
    }

    fn on_connection_lost(&mut self, key: CallKey, context: &mut Context<'_>) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        call.lost_connections += 1;
        call.may_have_run = true;
        if call.lost_connections >= MAX_LOST_CONNECTIONS {
            self.on_attempt_failed(key, true, context);
        } else {
            call.phase = CallPhase::Lost(context.now.plus(RESUME_DELAY_MS));
        }
    }

    /// Handles an attempt for which the engine will not return an answer: starts another attempt if that is allowed,
    /// otherwise ends the call. While the engine might still start the call, asks it for the answer again instead.
    fn on_attempt_failed(&mut self, key: CallKey, may_have_run: bool, context: &mut Context<'_>) {
        let may_still_start = self.may_still_start(key, context.now);
        let Some(call) = self.calls.get_mut(&key) else { return };
        if may_still_start {
            call.phase = CallPhase::Lost(context.now.plus(RESUME_DELAY_MS));
            return;
        }
        call.may_have_run |= may_have_run;
        call.received_text.clear();
        context.router.on_call_end(call.engine, key, false, context.now);
        let outcome = call.unanswered_outcome();
        if !self.dispatch_again(key, context) {
            self.append_end(key, outcome, Vec::new(), context);
        }
    }

    /// Writes the intent of another attempt; false if no other attempt is possible.
    fn dispatch_again(&mut self, key: CallKey, context: &mut Context<'_>) -> bool {
        let Some(branch) = self.state.branches.get(&key.branch) else { return false };
        let Some(state) = branch.calls.get(key.sequence as usize) else { return false };
        let Some(call) = self.calls.get(&key) else { return false };
        let deadline = Millis(state.deadline);
        let allowed = (state.repeatable || !call.may_have_run) && call.attempt + 1 < MAX_ATTEMPTS;
        if !allowed || context.now >= deadline {
            return false;
        }
        let prompt = branch.prompt(key.sequence);
        let Ok(inputs) = self.placement_inputs(prompt, state.maximum_output_tokens, deadline, context) else {
            return false;
        };
        let placement = inputs.placement(key, Some(call.engine));
        let mut chosen = context.router.choose(&placement, context.now);
        if chosen.is_err() {
            chosen = context.router.choose(&inputs.placement(key, None), context.now);
        }
        let Ok(EngineChoice { engine, wait_ms }) = chosen else { return false };
        if !context.retries.try_take() {
            return false;
        }
        context.router.on_dispatch(engine, &placement, context.now);
        let dispatched = Dispatched {
            branch: key.branch,
            sequence: key.sequence,
            attempt: call.attempt + 1,
            engine,
            reserved_tokens: state.reserved_tokens,
            maximum_output_tokens: state.maximum_output_tokens,
            repeatable: u8::from(state.repeatable),
            deadline: state.deadline,
            start_by: latest_start(context.now, wait_ms, deadline),
            input: foxnotch_wire::Text::default(),
        };
        if let Some(call) = self.calls.get_mut(&key) {
            call.attempt += 1;
            call.engine = engine;
            call.lost_connections = 0;
            call.adopted = false;
            call.start_outcome_known = false;
            call.phase = CallPhase::Intending;
        }
        self.append(vec![Entry::Dispatched(dispatched)], context);
        true
    }

    /// Stops a call in flight: sends a cancel command to the engine and ends the call, at once or when no engine can
    /// start it any more.
    pub(super) fn stop_call(&mut self, key: CallKey, outcome: Outcome, context: &mut Context<'_>) {
        let may_still_start = self.may_still_start(key, context.now);
        let Some(call) = self.calls.get_mut(&key).filter(|call| call.phase != CallPhase::Ending) else { return };
        context.router.on_call_end(call.engine, key, true, context.now);
        context.command_engine(call.engine, EngineCommand::Cancel { key, attempt: call.attempt });
        if may_still_start {
            call.deferred_outcome = Some(outcome);
        } else {
            self.append_end(key, outcome, Vec::new(), context);
        }
    }

    /// Ends a stopped call once no engine can start it any more. Returns false if the call has no deferred outcome.
    fn try_deferred_end(&mut self, key: CallKey, context: &mut Context<'_>) -> bool {
        let Some(outcome) = self.calls.get(&key).and_then(|call| call.deferred_outcome) else { return false };
        if !self.may_still_start(key, context.now) {
            self.append_end(key, outcome, Vec::new(), context);
        }
        true
    }

    /// Writes a call's end to the history. Charges the actual use of an answered call, nothing for a call that did not
    /// run, and otherwise the whole reservation.
    fn append_end(&mut self, key: CallKey, outcome: Outcome, output: Vec<u8>, context: &mut Context<'_>) {
        let Some(state) =
            self.state.branches.get(&key.branch).and_then(|branch| branch.calls.get(key.sequence as usize))
        else {
            return;
        };
        let charged_tokens = match outcome {
            Outcome::Done => tokens_of(state.input.len()) + tokens_of(output.len()),
            Outcome::NotRun => 0,
            Outcome::MayHaveRun | Outcome::Cancelled => state.reserved_tokens,
        };
        if let Some(call) = self.calls.get_mut(&key) {
            call.phase = CallPhase::Ending;
        }
        let answered = Answered {
            branch: key.branch,
            sequence: key.sequence,
            outcome,
            charged_tokens,
            output: foxnotch_wire::Text { bytes: output },
        };
        self.append(vec![Entry::Answered(answered)], context);
    }

    /// Sends the result to the waiting callers, because a majority has stored the call's end.
    pub(super) fn on_end_committed(&mut self, key: CallKey, context: &mut Context<'_>) {
        let Some(call) = self.calls.remove(&key) else { return };
        let state = self.state.branches.get(&key.branch).and_then(|branch| branch.calls.get(key.sequence as usize));
        let Some(end) = state.and_then(|state| state.end.as_ref()) else { return };
        for waiter in call.waiters {
            let text = end.output.clone();
            let reply = Reply::Finished { outcome: end.outcome, text, charged_tokens: end.charged_tokens };
            context.reply(waiter, reply);
        }
    }

    /// Ends the calls whose deadline has passed and asks the engines again for answers whose connection was lost.
    pub(super) fn tick_calls(&mut self, context: &mut Context<'_>) {
        let keys: Vec<CallKey> = self.calls.keys().copied().collect();
        for key in keys {
            if self.try_deferred_end(key, context) {
                continue;
            }
            if self.deadline_of(key).is_some_and(|deadline| context.now >= deadline) {
                self.on_deadline(key, context);
            } else {
                self.resume_lost(key, context);
            }
        }
    }

    fn deadline_of(&self, key: CallKey) -> Option<Millis> {
        let branch = self.state.branches.get(&key.branch)?;
        branch.calls.get(key.sequence as usize).map(|call| Millis(call.deadline))
    }

    fn on_deadline(&mut self, key: CallKey, context: &mut Context<'_>) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        for waiter in std::mem::take(&mut call.waiters) {
            context.refuse(waiter, RefusalKind::DeadlinePassed, RunState::MayHaveRun, Some(RESUME_DELAY_MS));
        }
        self.stop_call(key, Outcome::MayHaveRun, context);
    }

    fn resume_lost(&mut self, key: CallKey, context: &mut Context<'_>) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        if let CallPhase::Lost(at) = call.phase {
            if context.now >= at {
                call.phase = CallPhase::Running;
                let (engine, attempt) = (call.engine, call.attempt);
                context.command_engine(engine, EngineCommand::Resume { key, attempt });
            }
        }
    }
}

/// The latest time at which an engine may start a call that is dispatched now, in milliseconds.
fn latest_start(now: Millis, wait_ms: u64, deadline: Millis) -> u64 {
    now.plus(2 * wait_ms + START_WINDOW_MS).min(deadline).0
}
