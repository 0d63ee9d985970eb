//! Checks before each send whether too many engines have ended under the request.
//!
//! [`foxnotch_scheduler::engine_losses`] decides. A connection to an engine also breaks when only an answer is lost, so
//! this module first finds out which of the lost engines have ended.

use crate::edge::call::Call;
use crate::edge::dispatch::EngineDispatcher;
use crate::edge::refusal::Refusal;
use crate::edge::send_record::SendRecord;
use crate::engines::connection::EngineConnection;
use crate::engines::engine::Engine;
use crate::engines::peer_loads::LoadEstimate;
use crate::logging::part;
use foxnotch_scheduler::engine_losses::{EngineEnds, MAX_ENDED_ENGINES};
use foxnotch_scheduler::reachability::ConnectFailure;
use foxnotch_turns::engine_losses::EngineLosses;
use std::sync::Arc;
use std::time::Duration;

/// Number of lost engines from which a request is sent to the engine with the fewest requests, so that as few other
/// requests as possible lose their engine if it ends as well.
const MIN_LOSSES_TO_ISOLATE: usize = 2;
/// Time limit for the check whether an engine runs. An engine that has ended refuses the connection within a round trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

impl EngineDispatcher {
    /// Refuses a call under whose request too many engines have ended.
    ///
    /// # Errors
    /// [`Refusal::EnginesEnded`].
    pub(super) async fn check_engine_losses(&self, call: &Call, sends: &mut SendRecord) -> Result<(), Refusal> {
        if sends.losses().is_none() {
            sends.set_losses(self.losses.losses_of(call).await);
        }
        let Some(losses) = sends.losses_to_check(MAX_ENDED_ENGINES) else { return Ok(()) };
        let ends = self.count_ends(call, &losses).await;
        if ends.allow_another_send() {
            self.metrics.count_suspect_request("sent");
            log::info!(
                target: part::CALL,
                "Call {} is sent on although engines ended under it: {}.",
                call.metadata.attempt,
                describe_ends(call, &losses, ends),
            );
            return Ok(());
        }
        self.metrics.count_suspect_request("refused");
        log::info!(
            target: part::CALL,
            "Call {} is not sent: engines ended under it: {}.",
            call.metadata.attempt,
            describe_ends(call, &losses, ends),
        );
        Err(Refusal::EnginesEnded(ends.under_request))
    }

    /// Records that the connection to an engine broke while the engine ran a call. Engines that drain count too: one may
    /// end under the request before its drain is over.
    pub(super) async fn note_engine_loss(&self, call: &Call, engine: &Engine, sends: &mut SendRecord) {
        sends.set_losses(self.losses.record_loss(call, engine).await);
    }

    /// Counts the engines that have ended under a request and without it. An engine that does not answer counts as
    /// running, because it may only be cut off.
    async fn count_ends(&self, call: &Call, losses: &EngineLosses) -> EngineEnds {
        let engines = self.engines.engines_of(&call.service);
        // An open connection shows that the engine runs.
        let unknown =
            engines.iter().filter(|engine| engine.reachability.is_reachable() && !engine.has_idle_connection());
        futures_util::future::join_all(unknown.map(check_by_connecting)).await;
        let has_ended = |number: &&u32| {
            let listed = engines.iter().find(|engine| engine.number == **number);
            listed.is_none_or(|engine| {
                engine.is_replaced() || refuses_connections(engine) || self.has_newer_engine_at_address(engine)
            })
        };
        let ended_count = losses.engines().iter().filter(has_ended).count();
        let before_served = losses.total() - losses.since_served();
        let mut unrelated = self.engines.ended_engines(&call.service);
        let explained = self.losses.engines_lost_under_other_suspects(call);
        unrelated.retain(|engine| !losses.engines().contains(engine) && !explained.contains(engine));
        EngineEnds { under_request: ended_count.saturating_sub(before_served), unrelated: unrelated.len() }
    }

    /// Whether another engine is listed at the address of this one. The entry of an engine that has ended stays listed
    /// for a while.
    fn has_newer_engine_at_address(&self, engine: &Engine) -> bool {
        let engines = self.engines.all_engines();
        engines.iter().any(|other| other.address == engine.address && other.entry.id != engine.entry.id)
    }

    /// Keeps the candidates with the fewest requests in flight, if the request has lost engines before.
    pub(super) fn isolate_suspect(&self, candidates: &mut Vec<Arc<Engine>>, loads: &LoadEstimate, sends: &SendRecord) {
        if sends.losses().is_none_or(|losses| losses.since_served() < MIN_LOSSES_TO_ISOLATE) {
            return;
        }
        candidates.retain(|engine| !sends.excluded_engines().contains(&engine.entry.id));
        let load =
            |engine: &Arc<Engine>| f64::from(engine.in_flight_requests()) + loads.estimated_requests(engine.number);
        let Some(lowest) = candidates.iter().map(load).min_by(f64::total_cmp) else { return };
        candidates.retain(|engine| load(engine) <= lowest);
    }
}

fn describe_ends(call: &Call, losses: &EngineLosses, ends: EngineEnds) -> String {
    format!(
        "request={} service={} lost={} ended={} unrelated={}; of the `lost` engines of this request, `ended` have \
         ended, and `unrelated` others ended without it",
        call.request_key(),
        call.service,
        losses.since_served(),
        ends.under_request,
        ends.unrelated,
    )
}

fn refuses_connections(engine: &Engine) -> bool {
    engine.reachability.connect_failure() == Some(ConnectFailure::Refused)
}

/// Opens a connection to an engine to find out whether it runs.
async fn check_by_connecting(engine: &Arc<Engine>) {
    match tokio::time::timeout(CHECK_TIMEOUT, EngineConnection::open(engine.address)).await {
        Ok(Ok(connection)) => {
            engine.reachability.note_contact(&engine.entry.id);
            engine.return_connection(connection);
        }
        Ok(Err(error)) => engine.note_unreachable(error.kind()),
        Err(_) => {}
    }
}
