//! Decides what the gateway does after a send without a usable response: try another engine immediately, pause first,
//! or end the request.
//!
//! Inputs: how the send ended ([`SendOutcome`]), the counts of the earlier sends ([`SendCounts`]), the stage of the
//! program, and whether the route lets a request run more than once ([`RepeatLimit`]).
//!
//! Two rules take precedence over the others. The gateway repeats a request that may have run only where the route
//! allows it. Once an engine may have run the request, the gateway never reports "not run" to the caller, whatever the
//! later engines answer ([`SendCounts::may_have_run`]).
//!
//! The number of sends is small, and the pauses grow, because requests that repeatedly try all engines when demand
//! exceeds the capacity keep the engines busy with refusing them.

use crate::quota::ProgramStage;
use std::time::Duration;

/// Number of engines that may refuse a request of a running program for lack of capacity before the gateway pauses. A
/// larger value finds the last free slot sooner and costs the full engines more refusals.
const RUNNING_REFUSALS_BEFORE_PAUSE: u32 = 3;
/// Number of engines that may refuse a new program's first request before the gateway refuses the program: two, because
/// one engine may be full by chance.
const NEW_REFUSALS_BEFORE_PAUSE: u32 = 2;
/// The first pause before the gateway tries full engines again. A longer pause wastes slots that become free
/// meanwhile; a shorter one costs the full engines more refusals.
const FIRST_PAUSE: Duration = Duration::from_millis(15);
/// Number of times that the pause is doubled: 15, 30, 60, then always 120 ms. Gateways report their loads every 120 ms,
/// so the choice of an engine after the longest pause uses newer loads than the choice before the pause.
const MAX_DOUBLINGS: u32 = 3;
/// Number of refused permits for cold engines after which the gateway tries only warm engines until the next pause.
/// Asking for a permit takes up to 60 ms, a large part of a request's time limit. Without this bound, the gateway asked
/// for permits for one cold engine after the other until the request's time limit had passed, and never tried a warm
/// engine with a higher cost.
const MAX_PERMIT_REFUSALS: u32 = 2;

/// How a send ended without a usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// Not run: the engine has no capacity left.
    Full,
    /// Not run: the engine refused the request, but does not end its refusal.
    EndlessRefusal,
    /// Not run: another engine now has this address.
    Replaced,
    /// Not run: the permit for a cold engine expired before a connection was open.
    PermitLapsed,
    /// Not run: no connection could be opened.
    Unreachable,
    /// May have run: the response was lost.
    AnswerLost,
    /// Has run: the engine answered with a failure.
    Failed,
    /// May have run: no response arrived within the request's time.
    TimedOut,
}

impl SendOutcome {
    /// Whether the engine is not tried again for the same request: it may have run the request, or it is faulty.
    pub fn rules_out_engine(self) -> bool {
        self == Self::EndlessRefusal || !self.has_certainly_not_run()
    }

    /// Whether the request has certainly not run.
    pub fn has_certainly_not_run(self) -> bool {
        match self {
            Self::Full | Self::EndlessRefusal | Self::Replaced | Self::PermitLapsed | Self::Unreachable => true,
            Self::AnswerLost | Self::Failed | Self::TimedOut => false,
        }
    }
}

/// Whether the route lets a request that may have run be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatLimit {
    /// The request runs at most once.
    Never,
    /// The request may run at up to this many engines. Engines that refused the request do not count.
    AtMost(u32),
}

impl RepeatLimit {
    /// Whether a request that may have run at `runs` engines may be sent to another engine.
    pub fn allows_another_run(self, runs: u32) -> bool {
        match self {
            Self::Never => false,
            Self::AtMost(engines) => runs < engines,
        }
    }
}

/// Counts of a request's sends and their outcomes so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// Number of engines that may have run the request.
    pub runs: u32,
    /// Number of engines that refused the request for lack of capacity since the last pause.
    pub refusals: u32,
    /// Number of permits for cold engines that replicas refused since the last pause.
    pub permit_refusals: u32,
    /// Number of pauses so far.
    pub pauses: u32,
}

/// The gateway's next step after a send without a usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send to another engine immediately.
    TryAnother,
    /// Enough engines were full: pause, if [`SendCounts::decide_pause`] allows it.
    Pause,
    /// End: no response arrived within the request's time; the request may have run.
    EndTimedOut,
    /// End: the request may have run, and the route forbids another run.
    EndMayHaveRun,
}

/// Whether the gateway tries engines again after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseDecision {
    /// Try again after this pause.
    Pause(Duration),
    /// End: full engines refused the first request of a new program. New programs are refused early, because their
    /// refusal loses no earlier work.
    EndNewProgram,
    /// End: the pause would end after the placement timeout ([`crate::placement_timeout`]).
    EndNoTime,
}

impl SendCounts {
    /// Whether an engine may have run the request, so that the gateway may no longer report "not run" to the caller.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Whether the gateway skips cold engines until the next pause.
    pub fn skips_cold_engines(&self) -> bool {
        self.permit_refusals >= MAX_PERMIT_REFUSALS
    }

    /// Counts a send that ended without a usable response, and decides the next step.
    pub fn note_outcome(&mut self, outcome: SendOutcome, stage: ProgramStage, repeat_limit: RepeatLimit) -> NextStep {
        if !outcome.has_certainly_not_run() {
            self.runs = self.runs.saturating_add(1);
        }
        match outcome {
            SendOutcome::Full => {
                self.refusals += 1;
                if self.refusals >= refusals_before_pause(stage) {
                    NextStep::Pause
                } else {
                    NextStep::TryAnother
                }
            }
            SendOutcome::EndlessRefusal
            | SendOutcome::Replaced
            | SendOutcome::PermitLapsed
            | SendOutcome::Unreachable => NextStep::TryAnother,
            SendOutcome::TimedOut => NextStep::EndTimedOut,
            SendOutcome::AnswerLost | SendOutcome::Failed if repeat_limit.allows_another_run(self.runs) => {
                NextStep::TryAnother
            }
            SendOutcome::AnswerLost | SendOutcome::Failed => NextStep::EndMayHaveRun,
        }
    }

    /// Counts a refused permit for a cold engine.
    pub fn note_permit_refusal(&mut self) {
        self.permit_refusals += 1;
    }

    /// Decides whether the gateway tries engines again after a pause, with `time_left` until the placement timeout.
    /// Resets the counts of refusals, but not the count of engines that may have run the request.
    pub fn decide_pause(&mut self, stage: ProgramStage, time_left: Duration) -> PauseDecision {
        let is_refused = self.refusals > 0;
        let pause = FIRST_PAUSE.saturating_mul(1 << self.pauses.min(MAX_DOUBLINGS));
        *self = Self { runs: self.runs, refusals: 0, permit_refusals: 0, pauses: self.pauses + 1 };
        if stage == ProgramStage::New && is_refused {
            PauseDecision::EndNewProgram
        } else if pause > time_left {
            PauseDecision::EndNoTime
        } else {
            PauseDecision::Pause(pause)
        }
    }
}

fn refusals_before_pause(stage: ProgramStage) -> u32 {
    match stage {
        ProgramStage::New => NEW_REFUSALS_BEFORE_PAUSE,
        ProgramStage::Running => RUNNING_REFUSALS_BEFORE_PAUSE,
    }
}
