//! Logs each send with the facts by which its engine was chosen, and logs and counts calls that leave their region or a
//! drained zone.

use crate::edge::call::Call;
use crate::edge::dispatch::EngineDispatcher;
use crate::engines::learned_costs::ServicePrices;
use crate::engines::selector::Choice;
use crate::logging::part;
use crate::peers::view::View;
use std::time::Instant;

impl EngineDispatcher {
    /// Logs and counts a send to the chosen engine.
    pub(super) fn record_send(&self, call: &Call, choice: &Choice) {
        let view = self.view.get();
        log_engine_choice(&view, call, choice);
        self.record_move_from_drained_zone(&view, call, choice);
        self.record_proximity(call, choice);
    }

    /// Counts the send by the engine's proximity to this gateway. If the call leaves the region, also logs the cost at
    /// the chosen engine and at the best engine of the region.
    fn record_proximity(&self, call: &Call, choice: &Choice) {
        self.metrics.count_engine_proximity(choice.path.proximity.name());
        let Some(nearby_cost) = choice.cost_nearby else { return };
        self.metrics.region_spills.inc();
        let Choice { engine, cost, path, .. } = choice;
        log::info!(
            target: part::ENGINE,
            "Call {} leaves its region: program={} service={} engine={} zone={} round_trip_ms={:.1} cost_ms={:.0} \
             work_ms={:.0} nearby_cost_ms={:.0} nearby_work_ms={:.0}. Its estimated cost at this engine \
             (`cost_ms`) is lower than at the best engine in the gateway's region (`nearby_cost_ms`).",
            call.metadata.attempt,
            call.metadata.program.as_deref().unwrap_or("-"),
            call.service,
            engine.entry.id,
            engine.entry.zone,
            path.round_trip_ms,
            cost.total_ms(),
            cost.work_ms,
            nearby_cost.total_ms(),
            nearby_cost.work_ms,
        );
    }

    /// Counts and logs a call that continues at another engine because the previous engine's zone is drained.
    fn record_move_from_drained_zone(&self, view: &View, call: &Call, choice: &Choice) {
        if view.zone_drains.value.zones().next().is_none() {
            return;
        }
        let moved_from = call.previous_engine.filter(|number| *number != choice.engine.number);
        let Some(previous_engine) = moved_from else { return };
        let engines = self.engines.engines_accepting_requests(&call.service);
        let Some(previous_engine) = engines.iter().find(|engine| engine.number == previous_engine) else { return };
        let zone = &previous_engine.entry.zone;
        if view.zone_drains.value.is_drained(zone) {
            let age = view.drain_starts.time_since_drain_learned(zone, Instant::now()).unwrap_or_default();
            self.metrics.zone_drain_moves.inc();
            log::info!(
                target: part::ENGINE,
                "Call {} leaves a drained zone: zone={zone} known_for={age:?} program={} from={} to={} tokens={}; \
                 `known_for` is the time since this gateway learned of the drain, `tokens` the length of the prompt.",
                call.metadata.attempt,
                call.metadata.program.as_deref().unwrap_or("-"),
                previous_engine.entry.id,
                choice.engine.entry.id,
                call.metadata.prompt_tokens,
            );
        }
    }
}

/// Logs the facts by which the engine was chosen:
///
/// - `number`: the engine number ([`crate::engines::engine::Engine::number`]) of the chosen engine
/// - `before`: the engine number of the engine that ran the previous turn, 0 if unknown
/// - `avoided`: the count of engines at which turns of the program failed
/// - `of`: the count of candidates
/// - `own`: this gateway's requests in flight at the engine
/// - `all`: the estimated requests of all gateways in flight at the engine
/// - `missing`: the prompt tokens that are missing from the engine's cache, out of all prompt tokens
/// - `left`: the time that the engine has for its answer
/// - `engines`: the revision of the list of engines
/// - `version`: the version of the engine's software, `-` if unknown
/// - `resumes`: the attempt that brought the first event of the stream that the call resumes, `-` if it resumes none
/// - `request`: the same for all attempts of a request
fn log_engine_choice(view: &View, call: &Call, choice: &Choice) {
    let metadata = &call.metadata;
    let Choice { engine, candidates, missing_tokens, in_flight_requests, prices, .. } = choice;
    let previous_engine = call.previous_engine.unwrap_or_default();
    let ServicePrices { token_ms, request_ms, .. } = prices;
    log::info!(
        target: part::ENGINE,
        "Call {} sent: program={} tenant={} route={} engine={} number={} before={previous_engine} avoided={} \
         of={candidates} own={} all={in_flight_requests:.0} missing={missing_tokens:.0}/{} token_ms={token_ms:.4} \
         request_ms={request_ms:.2} left={:?} configuration={} engines={} version={} resumes={} \
         request={}.",
        metadata.attempt,
        metadata.program.as_deref().unwrap_or("-"),
        call.tenant_name(),
        call.route.name,
        engine.entry.id,
        engine.number,
        call.avoided.len(),
        engine.in_flight_requests(),
        metadata.prompt_tokens,
        call.time_left_for_engine().unwrap_or_default(),
        view.configuration.value.version,
        view.engines.revision,
        engine.software_version().unwrap_or("-"),
        metadata.resumes.as_deref().unwrap_or("-"),
        call.request_key(),
    );
}
