//! The state of a call in flight, and the priority with which it is sent to an engine.

use super::Context;
use crate::effect::EngineUpdate;
use crate::request::{Reply, RequestId};
use foxnotch_membership::Millis;
use foxnotch_wire::{EngineId, Outcome};

/// Unit, in tokens, of attained service, which is the number of tokens that a branch has used. Each doubling of the
/// units raises the priority by one step.
const SERVICE_STEP_TOKENS: u64 = 512;
/// Number of steps of attained service within one declared priority.
const SERVICE_STEPS: u32 = 16;

/// The phase of a call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallPhase {
    /// The intent is being written to the history.
    Intending,
    /// The call was sent to the engine.
    Running,
    /// The connection to the engine failed, or the engine did not run the call but may still start it. The owner asks
    /// the engine for the answer again at the given time.
    Lost(Millis),
    /// The end of the call is being written to the history.
    Ending,
}

/// A call in flight.
#[derive(Clone, Debug)]
pub(super) struct RunningCall {
    pub(super) engine: EngineId,
    /// The requests that wait for the answer.
    pub(super) waiters: Vec<RequestId>,
    pub(super) attempt: u32,
    pub(super) phase: CallPhase,
    /// The part of the answer received so far.
    pub(super) received_text: Vec<u8>,
    pub(super) lost_connections: u32,
    /// Whether any engine may have started the call.
    pub(super) may_have_run: bool,
    /// Whether an earlier owner sent the current attempt.
    pub(super) adopted: bool,
    /// Whether no engine can start the current attempt any more: it was started, or the engine will not start it.
    pub(super) start_outcome_known: bool,
    /// The outcome of a stopped call, recorded once no engine can start it any more.
    pub(super) deferred_outcome: Option<Outcome>,
}

impl RunningCall {
    /// A new call of this owner whose intent is about to be written.
    pub(super) fn dispatched(engine: EngineId, waiter: RequestId) -> Self {
        Self {
            engine,
            waiters: vec![waiter],
            attempt: 0,
            phase: CallPhase::Intending,
            received_text: Vec::new(),
            lost_connections: 0,
            may_have_run: false,
            adopted: false,
            start_outcome_known: false,
            deferred_outcome: None,
        }
    }

    /// A call that an earlier owner sent to an engine.
    pub(super) fn adopted(engine: EngineId, attempt: u32) -> Self {
        Self {
            engine,
            waiters: Vec::new(),
            attempt,
            phase: CallPhase::Running,
            received_text: Vec::new(),
            lost_connections: 0,
            may_have_run: true,
            adopted: true,
            start_outcome_known: false,
            deferred_outcome: None,
        }
    }

    /// Updates `start_outcome_known` after an engine's update. If an earlier owner sent the call, an update that the
    /// engine does not run it changes nothing: the earlier owner's start command may still be in transit.
    pub(super) fn update_start_outcome(&mut self, update: &EngineUpdate) {
        self.start_outcome_known |= match update {
            EngineUpdate::Tokens { .. } | EngineUpdate::Finished { .. } => true,
            EngineUpdate::Refused | EngineUpdate::Unknown | EngineUpdate::Stopped => !self.adopted,
            EngineUpdate::Lost => false,
        };
    }

    /// The outcome of the call if no engine returns its answer.
    pub(super) fn unanswered_outcome(&self) -> Outcome {
        if self.may_have_run {
            Outcome::MayHaveRun
        } else {
            Outcome::NotRun
        }
    }

    /// Appends the new part of a piece of the answer to `received_text` and sends it to the waiting callers.
    pub(super) fn forward_new_text(&mut self, offset: usize, text: &[u8], context: &mut Context<'_>) {
        let known_bytes = self.received_text.len();
        if offset > known_bytes || offset + text.len() <= known_bytes {
            return;
        }
        let new_text = &text[known_bytes - offset..];
        self.received_text.extend_from_slice(new_text);
        for waiter in &self.waiters {
            context.reply(*waiter, Reply::Tokens { offset: known_bytes, text: new_text.to_vec() });
        }
    }
}

/// The priority sent to the engine; lower values run first. Calls are ordered by declared priority, then by attained
/// service. Calls with the most attained service run first, so that programs in progress finish before new ones take
/// their place (docs/decisions/0006).
pub fn priority(declared: u32, attained_tokens: u64) -> u32 {
    let steps = u64::BITS - (attained_tokens / SERVICE_STEP_TOKENS).leading_zeros();
    declared * SERVICE_STEPS + SERVICE_STEPS - 1 - steps.min(SERVICE_STEPS - 1)
}
