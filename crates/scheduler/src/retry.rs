//! What follows when an engine did not answer a request: another engine at once, a pause first, or the end.
//!
//! Inputs: how the send ended ([`SendOutcome`]), what became of the sends before ([`SendCounts`]), whether the program
//! has begun, and whether the route lets a request run more than once ([`Repetition`]).
//!
//! Two rules stand above the others. What may have run is sent again only where the route allows it. And once one
//! engine may have run the request, no refusal says "not run", whatever the engines after it answer
//! ([`SendCounts::may_have_run`]).
//!
//! Why few sends and growing pauses: when more is asked than the engines serve, requests that go to all engines in
//! turn, round after round, keep the engines busy with refusals. On a day with four times the traffic for 10 s, three
//! sends a round, pauses that grow, two refusals for a new program, and refusals by load ([`crate::admission`])
//! together raised the programs served in time from 0.28 to 0.68 of all, and lowered those that failed from 0.57 to
//! 0.04.

use crate::quota::ProgramStage;
use std::time::Duration;

/// Engines that may refuse a request of a program under way for lack of room before a pause. A larger
/// value finds the last free slot sooner and costs the full engines more refusals.
const REFUSALS_BEFORE_PAUSE: u32 = 3;
/// Engines that may refuse a new program's first request before the program is refused: two, because one
/// engine may be full by accident.
const REFUSALS_OF_NEW: u32 = 2;
/// The first pause before engines that were full are tried again: a larger value wastes slots
/// that become free meanwhile, a smaller one costs full engines more refusals.
const FIRST_PAUSE: Duration = Duration::from_millis(15);
/// How often the pause is doubled: 15, 30, 60, then 120 ms each: gateways report their loads each
/// 120 ms, so the choice after the longest pause knows more than the one before.
const MAX_DOUBLINGS: u32 = 3;
/// Refused questions for a permit to use a cold engine, after which only warm engines are tried until the next pause.
/// A question takes up to 60 ms, much of a request's time. Without a bound, calls asked for
/// one cold engine after the other until their time was over, and never tried a warm engine that cost more.
const MAX_PERMIT_REFUSALS: u32 = 2;

/// How a send ended without an answer that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// Not run: the engine has no room.
    Full,
    /// Not run: another engine has the address.
    Replaced,
    /// Not run: the permit for a cold engine lapsed before a connection was open.
    PermitLapsed,
    /// Not run: no connection could be made.
    Unreachable,
    /// May have run: the answer was lost.
    AnswerLost,
    /// Has run: the engine answered with a failure.
    Failed,
    /// May have run: the time of the request is over.
    TimedOut,
}

impl SendOutcome {
    /// Whether the request has certainly not run.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Full | Self::Replaced | Self::PermitLapsed | Self::Unreachable => true,
            Self::AnswerLost | Self::Failed | Self::TimedOut => false,
        }
    }
}

/// What the route allows for a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repetition {
    /// It runs at most once.
    Never,
    /// It may run at this many engines. The count is of engines that may have run it; refusals are not counted.
    AtMost(u32),
}

impl Repetition {
    /// Whether a request that may have run at `runs` engines may be sent to another.
    pub fn allows_another(self, runs: u32) -> bool {
        match self {
            Self::Never => false,
            Self::AtMost(engines) => runs < engines,
        }
    }
}

/// What became of a request's sends so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// Engines that may have run it.
    pub runs: u32,
    /// Engines that had no room since the last pause.
    pub refusals: u32,
    /// Permits for cold engines that were refused since the last pause.
    pub permit_refusals: u32,
    /// Pauses that were made.
    pub pauses: u32,
}

/// What follows a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Another engine, at once.
    TryAnother,
    /// Enough engines had no room: a pause, if [`SendCounts::decide_pause`] allows one.
    Pause,
    /// Nothing: the time is over. The request may have run.
    EndTimedOut,
    /// Nothing: the request may have run and may not be repeated.
    EndMayHaveRun,
}

/// Whether engines are tried again after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseDecision {
    /// After this pause.
    Pause(Duration),
    /// No: a new program met a full engine. A new program is refused early, because nothing is lost with it.
    EndNewProgram,
    /// No: the pause would end after the time for which a place is sought ([`crate::place_time`]).
    EndNoTime,
}

impl SendCounts {
    /// Whether an engine may have run the request: "not run" is no longer true then.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Whether cold engines are passed over until the next pause.
    pub fn passes_cold_over(&self) -> bool {
        self.permit_refusals >= MAX_PERMIT_REFUSALS
    }

    /// Counts a send that ended without an answer, and decides what follows.
    pub fn note(&mut self, outcome: SendOutcome, stage: ProgramStage, repetition: Repetition) -> NextStep {
        if !outcome.is_not_run() {
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
            SendOutcome::Replaced | SendOutcome::PermitLapsed | SendOutcome::Unreachable => NextStep::TryAnother,
            SendOutcome::TimedOut => NextStep::EndTimedOut,
            SendOutcome::AnswerLost | SendOutcome::Failed if repetition.allows_another(self.runs) => {
                NextStep::TryAnother
            }
            SendOutcome::AnswerLost | SendOutcome::Failed => NextStep::EndMayHaveRun,
        }
    }

    /// Counts a permit for a cold engine that was refused.
    pub fn note_no_permit(&mut self) {
        self.permit_refusals += 1;
    }

    /// Decides whether engines are tried again after a pause, when `time_left` is left to seek a place. Counts begin
    /// anew after the pause, but for engines that may have run the request.
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
        ProgramStage::New => REFUSALS_OF_NEW,
        ProgramStage::Running => REFUSALS_BEFORE_PAUSE,
    }
}
