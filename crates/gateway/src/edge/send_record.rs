//! Records the engines that one request was sent to, and how each send ended.

use crate::edge::send_watch::SendWatch;
use crate::engines::connection::ConnectionId;
use crate::engines::engine::Engine;
use crate::engines::selector::Choice;
use foxnotch_scheduler::quota::ProgramStage;
use foxnotch_scheduler::retry::{NextStep, PauseDecision, RepeatLimit, SendCounts, SendOutcome};
use foxnotch_turns::identity::RequestKey;
use std::time::Duration;

/// The record of one request's sends: which engines it was sent to, and the counts from which
/// [`foxnotch_scheduler::retry`] decides the next step.
///
/// Invariant: an engine that may have run the request is never chosen for it again.
#[derive(Default)]
pub struct SendRecord {
    /// Identifiers of the engines to which the request is not sent until it has paused once more before a retry: those
    /// that failed or refused the request since its last pause, and all of `ruled_out_engines`.
    excluded_engines: Vec<String>,
    /// Identifiers of the engines that are not tried again ([`SendOutcome::rules_out_engine`]).
    ruled_out_engines: Vec<String>,
    /// The engine that the request was sent to last, with the facts by which that engine was chosen.
    last_choice: Option<Choice>,
    counts: SendCounts,
    /// The connections over which the request was sent.
    used_connections: Vec<ConnectionId>,
    /// Number of sends of the request, in all attempts, under which engines may have ended.
    possible_ends: usize,
    /// The watch of the send whose answer has not been read to its end, or of the next one.
    watch: Option<SendWatch>,
}

impl SendRecord {
    /// Whether no engine is excluded: since the last pause no send has ended without an answer, and no engine may have
    /// run the request.
    pub fn has_no_exclusions(&self) -> bool {
        self.excluded_engines.is_empty()
    }

    /// Identifiers of the engines that are not chosen until the next pause.
    pub fn excluded_engines(&self) -> &[String] {
        &self.excluded_engines
    }

    /// The connections over which the request was sent, to be extended by each send.
    pub(super) fn used_connections(&mut self) -> &mut Vec<ConnectionId> {
        &mut self.used_connections
    }

    /// The counts of the sends so far, by outcome.
    pub fn counts(&self) -> &SendCounts {
        &self.counts
    }

    /// Number of sends of the request, in all attempts, under which engines may have ended.
    pub fn possible_ends(&self) -> usize {
        self.possible_ends
    }

    /// Sets the number of sends under which engines may have ended.
    pub fn set_possible_ends(&mut self, possible_ends: usize) {
        self.possible_ends = possible_ends;
    }

    /// Sets the watch of the send that is made now, or of the next one.
    pub(super) fn set_watch(&mut self, watch: SendWatch) {
        self.watch = Some(watch);
    }

    /// Takes the watch of the last send, or of the next one.
    pub(super) fn take_watch(&mut self) -> Option<SendWatch> {
        self.watch.take()
    }

    /// The send now counts for the request with this key.
    pub(super) fn set_request(&mut self, request: RequestKey) {
        if let Some(watch) = &mut self.watch {
            watch.set_request(request);
        }
    }

    /// The last engine has not run the request. Its watch serves for the next engine.
    pub(super) fn note_not_run(&mut self) {
        if let Some(watch) = &mut self.watch {
            watch.note_not_run();
        }
    }

    /// Ends the watch of the last send, which was lost. Returns once that is recorded.
    pub(super) async fn finish_lost(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.finish_lost().await;
        }
    }

    /// Ends the watch of the last send: its engine has answered.
    pub(super) fn finish_watch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.finish();
        }
    }

    /// Whether an engine may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.counts.may_have_run()
    }

    /// Records the engine that the request is sent to next.
    pub fn note_choice(&mut self, choice: Choice) {
        self.last_choice = Some(choice);
    }

    /// The engine that the request was sent to last, with the facts by which that engine was chosen.
    pub fn last_choice(&self) -> Option<&Choice> {
        self.last_choice.as_ref()
    }

    /// Records a send to `engine` that ended without a usable answer, and decides the next step.
    pub fn note_outcome(
        &mut self,
        engine: &Engine,
        outcome: SendOutcome,
        stage: ProgramStage,
        repetition: RepeatLimit,
    ) -> NextStep {
        self.excluded_engines.push(engine.entry.id.clone());
        if outcome.rules_out_engine() {
            self.ruled_out_engines.push(engine.entry.id.clone());
        }
        self.counts.note_outcome(outcome, stage, repetition)
    }

    /// Records that no permit was granted for a send to a cold engine.
    pub fn note_no_permit(&mut self) {
        self.counts.note_permit_refusal();
    }

    /// Whether the engine is not tried again for this request.
    pub fn rules_out(&self, engine: &Engine) -> bool {
        self.ruled_out_engines.contains(&engine.entry.id)
    }

    /// Decides whether engines are tried again after a pause. From then on, only engines that are ruled out are excluded.
    pub fn decide_pause(&mut self, stage: ProgramStage, time_left: Duration) -> PauseDecision {
        self.excluded_engines.clone_from(&self.ruled_out_engines);
        self.counts.decide_pause(stage, time_left)
    }
}
