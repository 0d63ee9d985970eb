//! Checks before each send whether too many engines have ended under the request.
//!
//! [`foxnotch_scheduler::engine_losses`] decides. A connection to an engine also breaks when only an answer is lost, so
//! this module first finds out which of the lost engines run: those that have answered since. Once a request has lost an engine, each further send is
//! recorded before it is made, so that its engine counts also if this gateway is killed.

use crate::edge::call::Call;
use crate::edge::dispatch::EngineDispatcher;
use crate::edge::refusal::Refusal;
use crate::edge::send_record::SendRecord;
use crate::edge::send_watch::{check_by_connecting, EngineCheck, SendWatch};
use crate::engines::engine::Engine;
use crate::engines::peer_loads::LoadEstimate;
use crate::logging::part;
use foxnotch_scheduler::engine_losses::{EngineEnds, SendDecision, MAX_ENDED_ENGINES};
use foxnotch_turns::engine_losses::{loss_program, EngineLosses};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Number of lost engines from which a request is sent to the engine with the fewest requests, so that as few other
/// requests as possible lose their engine if it ends as well.
const MIN_LOSSES_TO_ISOLATE: usize = 2;

/// Time after a loss from which an answer of the engine proves that it runs. A process that ends may answer for a moment.
const PROOF_DELAY: Duration = Duration::from_millis(200);

/// Which of the lost engines of a request have ended.
struct LostEngines {
    /// The engines that have ended for certain.
    ended: BTreeSet<u32>,
    /// Lost engines that have answered nothing since. One may accept connections and end all the same, or another
    /// process may listen at its address.
    unproven: usize,
}

impl EngineDispatcher {
    /// Refuses a call under whose request too many engines have ended or may have ended.
    ///
    /// # Errors
    /// [`Refusal::EnginesEnded`], [`Refusal::EngineLossesUnknown`].
    pub(super) async fn check_engine_losses(&self, call: &Call, sends: &mut SendRecord) -> Result<(), Refusal> {
        if sends.losses().is_none() {
            match self.losses.losses_of(call).await {
                Ok(losses) => sends.set_losses(losses),
                Err(_) => return Err(self.refuse_unknown_losses(sends)),
            }
        } else if let Some(losses) = self.losses.known_losses(loss_program(call.request_key())) {
            // The outcomes of this call's earlier sends are known since.
            sends.set_losses(losses);
        }
        let losses = sends.losses().cloned().unwrap_or_default();
        self.decide_send(call, &losses, losses.open_sends().len(), sends).await
    }

    /// Decides whether a call may be sent once more. `open_sends` counts the sends whose outcome is unknown, without
    /// the one that is to be made.
    async fn decide_send(
        &self,
        call: &Call,
        losses: &EngineLosses,
        open_sends: usize,
        sends: &SendRecord,
    ) -> Result<(), Refusal> {
        let served_after = if call.is_named() { 0 } else { losses.served_after() };
        if losses.lost().len().saturating_sub(served_after) + open_sends < MAX_ENDED_ENGINES {
            return Ok(());
        }
        let engines = self.find_ended_engines(call, losses).await;
        // Equal requests of other callers may all have lost an engine that runs.
        let unproven = if call.is_named() { engines.unproven } else { 0 };
        let ended = (engines.ended.len() + unproven).saturating_sub(served_after);
        let ends = EngineEnds { ended, open_sends };
        let attempt = &call.metadata.attempt;
        let facts = describe_losses(call, losses, &engines, open_sends);
        match ends.decide_send() {
            SendDecision::Send => {
                self.metrics.count_suspect_request("sent");
                log::info!(target: part::CALL, "Call {attempt} is sent on although engines were lost under it: {facts}.");
                Ok(())
            }
            SendDecision::RefuseEnded => {
                self.metrics.count_suspect_request("refused");
                log::info!(target: part::CALL, "Call {attempt} is not sent: engines ended under it: {facts}.");
                Err(Refusal::EnginesEnded(ends.ended))
            }
            SendDecision::RefuseUnknown => {
                log::info!(target: part::CALL, "Call {attempt} is not sent: engines may have ended under it: {facts}.");
                Err(self.refuse_unknown_losses(sends))
            }
        }
    }

    /// The refusal of a call whose losses cannot be read or recorded.
    fn refuse_unknown_losses(&self, sends: &SendRecord) -> Refusal {
        self.metrics.count_suspect_request("refused_unknown");
        if sends.may_have_run() {
            return Refusal::MayHaveRun("whether engines end under it is not known".to_owned());
        }
        Refusal::EngineLossesUnknown
    }

    /// Prepares the send of a call to an engine: records it if the request has lost an engine before, and checks again
    /// with the records of other gateways that may send the same request at this moment.
    ///
    /// # Errors
    /// Those of [`Self::check_engine_losses`].
    pub(super) async fn watch_send(
        &self,
        call: &Call,
        engine: &Arc<Engine>,
        sends: &mut SendRecord,
    ) -> Result<SendWatch, Refusal> {
        let program = loss_program(call.request_key());
        let watch = |recorded| SendWatch::begin(self.losses.clone(), program, engine.clone(), recorded);
        // Equal requests of other callers would count each other's sends.
        if !call.is_named() || sends.losses().is_none_or(EngineLosses::is_empty) {
            return Ok(watch(None));
        }
        let (send, losses) = match self.losses.record_send(call, engine).await {
            Ok(recorded) => recorded,
            Err(_) => return Err(self.refuse_unknown_losses(sends)),
        };
        let others = losses.open_sends().iter().filter(|number| **number != engine.start_number()).count();
        sends.set_losses(losses.clone());
        let watch = watch(Some(send));
        match self.decide_send(call, &losses, others, sends).await {
            Ok(()) => Ok(watch),
            Err(refusal) => {
                watch.finish();
                Err(refusal)
            }
        }
    }

    /// Records that a call was answered by an engine.
    pub(super) fn note_served(&self, call: &Call, sends: &mut SendRecord) {
        sends.finish_watch();
        if !call.is_named() {
            self.losses.record_served(call);
        }
    }

    /// Records that an engine was lost while it ran a call: its connection broke, or it gave no answer in time and does
    /// not accept connections. Engines that drain count too: one may end under the request before its drain is over.
    pub(super) async fn note_engine_loss(&self, call: &Call, engine: &Arc<Engine>, sends: &mut SendRecord) {
        let has_ended = check_by_connecting(engine).await == EngineCheck::Refuses;
        self.record_engine_loss(call, engine, has_ended, sends).await;
    }

    /// Finds out whether an engine that gave no answer in time has ended, and records its loss if so.
    pub(super) async fn check_silent_engine(&self, call: &Call, engine: &Arc<Engine>, sends: &mut SendRecord) {
        let check = check_by_connecting(engine).await;
        if check != EngineCheck::Accepts {
            self.record_engine_loss(call, engine, check == EngineCheck::Refuses, sends).await;
        }
    }

    async fn record_engine_loss(&self, call: &Call, engine: &Arc<Engine>, has_ended: bool, sends: &mut SendRecord) {
        sends.set_losses(self.losses.record_loss(call, engine, has_ended).await);
        if let Some(watch) = sends.take_watch() {
            watch.finish_lost();
        }
    }

    /// Finds out which of the lost engines of a request have ended.
    async fn find_ended_engines(&self, call: &Call, losses: &EngineLosses) -> LostEngines {
        let engines = self.engines.engines_of(&call.service);
        let program = loss_program(call.request_key());
        let mut ended = losses.ended().clone();
        let mut unclear = Vec::new();
        for number in losses.lost().difference(losses.ended()) {
            match engines.iter().find(|engine| engine.start_number() == *number) {
                Some(engine) if !engine.is_replaced() && !self.has_newer_engine_at_address(engine) => {
                    let lost_at = self.losses.lost_at(program, *number);
                    if !lost_at.is_some_and(|lost_at| engine.has_answered_since(lost_at + PROOF_DELAY)) {
                        unclear.push(engine.clone());
                    }
                }
                _ => drop(ended.insert(*number)),
            }
        }
        let checks = futures_util::future::join_all(unclear.iter().map(check_by_connecting)).await;
        let refusing = unclear.iter().zip(&checks).filter(|(_, check)| **check == EngineCheck::Refuses);
        let refusing: Vec<u32> = refusing.map(|(engine, _)| engine.start_number()).collect();
        let refusing_count = refusing.len();
        ended.extend(refusing);
        let unproven = unclear.len() - refusing_count;
        // An engine may start again at the same address, so what was found out has to be remembered.
        self.losses.record_ends(program, ended.difference(losses.ended()).copied());
        LostEngines { ended, unproven }
    }

    /// Whether another engine is listed at the address of this one. The entry of an engine that has ended stays listed
    /// for a while.
    fn has_newer_engine_at_address(&self, engine: &Engine) -> bool {
        let engines = self.engines.all_engines();
        engines.iter().any(|other| other.address == engine.address && other.entry.id != engine.entry.id)
    }

    /// Keeps the candidates with the fewest requests in flight, if the request has lost engines before.
    pub(super) fn isolate_suspect(&self, candidates: &mut Vec<Arc<Engine>>, loads: &LoadEstimate, sends: &SendRecord) {
        if sends.losses().is_none_or(|losses| losses.possible_ends() < MIN_LOSSES_TO_ISOLATE) {
            return;
        }
        candidates.retain(|engine| !sends.excluded_engines().contains(&engine.entry.id));
        let load =
            |engine: &Arc<Engine>| f64::from(engine.in_flight_requests()) + loads.estimated_requests(engine.number);
        let Some(lowest) = candidates.iter().map(load).min_by(f64::total_cmp) else { return };
        candidates.retain(|engine| load(engine) <= lowest);
    }
}

fn describe_losses(call: &Call, losses: &EngineLosses, engines: &LostEngines, open_sends: usize) -> String {
    format!(
        "request={} service={} lost={} ended={} unproven={} open={open_sends}; of the `lost` engines of this request, \
         `ended` have ended and `unproven` have answered nothing since, and `open` others may run it now or may have \
         ended",
        call.request_key(),
        call.service,
        losses.lost().len(),
        engines.ended.len(),
        engines.unproven,
    )
}
