//! Sends a request to one engine after another until one answers it.
//!
//! Each round chooses an engine again ([`foxnotch_scheduler::engine_choice`]), gets a permit if the engine is cold, and
//! sends once. After a send without an answer, [`foxnotch_scheduler::retry`] decides the next step.

use crate::edge::call::Call;
use crate::edge::engine_losses::EngineLossTracker;
use crate::edge::refusal::Refusal;
use crate::edge::send_record::SendRecord;
use crate::edge::slow_start::ColdPermitClient;
use crate::edge::zone_drains::ZoneDrainRules;
use crate::engines::attempt::{self, AttemptError, EngineAnswer, SendLimits};
use crate::engines::engine::Engine;
use crate::engines::learned_costs::{LearnedCosts, ServicePrices};
use crate::engines::round_trips::GatewayDistances;
use crate::engines::selector::{choose_engine, Choice, Placement};
use crate::engines::table::EngineTable;
use crate::logging::part;
use crate::metrics::Metrics;
use crate::peers::members::Members;
use crate::peers::view::ViewHolder;
use crate::policy::PolicySettings;
use crate::ports::dialect::Dialect;
use bytes::Bytes;
use foxnotch_scheduler::admission;
use foxnotch_scheduler::load_sharing::estimate::{EngineSet, LoadEstimate};
use foxnotch_scheduler::retry::{NextStep, PauseDecision};
use foxnotch_scheduler::topology::Topology;
use http::Request;
use http_body_util::Full;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

const BYTES_PER_KILOBYTE: f64 = 1000.0;

/// Whether the request may be sent to the chosen engine now.
enum Permit {
    /// The request may be sent. For a cold engine, holds the moment at which the permit expires; `None` for a warm
    /// engine.
    SendBy(Option<Instant>),
    /// The request may not be sent: no permit was granted, or the engine is no longer a candidate. Another engine has
    /// to be chosen.
    Denied,
}

/// Chooses an engine for each request and sends the request to it. Holds everything that this gateway knows about the
/// engines.
pub struct EngineDispatcher {
    /// The zone of this gateway.
    pub zone: String,
    /// The region of each zone.
    pub topology: Topology,
    /// The newest known state of the platform: configuration, engines, replica set and zone drains.
    pub view: Arc<ViewHolder>,
    /// Reads and writes the platform's HTTP headers.
    pub dialect: Arc<dyn Dialect>,
    /// The other nodes. The gateways among them report how many requests they have in flight.
    pub members: Arc<Members>,
    /// The engines in the platform's list, with their load, health and reachability.
    pub engines: Arc<EngineTable>,
    /// Prices by service, which are used to compare the costs of engines. Learned from earlier answers.
    pub costs: LearnedCosts,
    /// Round-trip times to the zones, learned from the times that connections took to open.
    pub round_trips: Arc<GatewayDistances>,
    /// The metrics that this process exports; the dispatcher counts sends in them.
    pub metrics: Arc<Metrics>,
    /// The rules for drained zones: how long programs may stay there, and which unknown zones were logged.
    pub zone_drain_rules: ZoneDrainRules,
    /// Knows the engines that were lost under requests.
    pub losses: Arc<EngineLossTracker>,
    /// Asks replicas for permits to send to cold engines.
    pub cold_permits: ColdPermitClient,
    /// Which optional mechanisms are enabled.
    pub policy: PolicySettings,
}

impl EngineDispatcher {
    /// Sends the request to one engine after another until one answers, and returns the head of its answer.
    ///
    /// # Errors
    /// The refusal for the caller. If an engine may have run the request, the refusal never says that the request has
    /// not run.
    pub async fn dispatch(
        &self,
        call: &Call,
        body: &Bytes,
        last_event: Option<&str>,
        sends: &mut SendRecord,
    ) -> Result<EngineAnswer, Refusal> {
        loop {
            self.check_engine_losses(call, sends).await?;
            // Registering takes a round trip, so the engine is chosen afterwards.
            let mut watch = self.watch_send(call, sends).await?;
            let Some(choice) = self.choose_engine(call, body, sends) else {
                sends.set_watch(watch);
                self.check_candidates(call, &self.candidates(call))
                    .map_err(|refusal| refusal_after_sends(refusal, sends))?;
                if self.has_only_faulty_engines(call, sends) {
                    return Err(self.no_room_refusal(call, sends));
                }
                self.pause_before_retry(call, sends).await?;
                continue;
            };
            let engine = choice.engine.clone();
            let Permit::SendBy(send_by) = self.acquire_permit(call, &engine, sends).await else {
                sends.set_watch(watch);
                continue;
            };
            self.record_send(call, &choice);
            sends.note_choice(choice);
            let request = self.prepare_request(&engine, call, body, last_event, sends)?;
            watch.note_sent(&engine);
            sends.set_watch(watch);
            let error = match self.send_once(call, &engine, request, send_by, sends).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            match error {
                AttemptError::AnswerLost(_) => sends.finish_lost().await,
                AttemptError::ConnectionLost(_) | AttemptError::TimedOut => self.note_lost_send(&engine, sends).await,
                _ => sends.note_not_run(),
            }
            match sends.note_outcome(&engine, error.outcome(), call.stage, call.repetition_limit()) {
                NextStep::TryAnother => {}
                NextStep::Pause => self.pause_before_retry(call, sends).await?,
                NextStep::EndTimedOut => return Err(Refusal::TimedOut),
                NextStep::EndMayHaveRun => return Err(Refusal::MayHaveRun(error.to_string())),
            }
        }
    }

    /// Chooses the engine of least cost among those that can be reached and are not excluded.
    fn choose_engine(&self, call: &Call, body: &Bytes, sends: &SendRecord) -> Option<Choice> {
        let mut candidates = self.reachable_candidates(call);
        let loads = self.loads_of_other_gateways(&candidates);
        self.isolate_suspect(&mut candidates, &loads, sends);
        let paths = self.round_trips.paths(candidates.iter().map(|engine| engine.entry.zone.as_str()));
        let placement = Placement {
            prompt: &call.metadata.parts,
            is_model: call.is_model_call(),
            paths: &paths,
            loads: &loads,
            program: call.metadata.program.as_deref().unwrap_or_default(),
            previous_engine: call.previous_engine.filter(|_| self.policy.affinity),
            avoided: &call.avoided,
            kilobytes: body.len() as f64 / BYTES_PER_KILOBYTE,
            prices: self.prices(&call.service),
            outliers: self.policy.outliers,
        };
        let mut excluded_engines = sends.excluded_engines().to_vec();
        excluded_engines
            .extend(self.cold_permits.cold_engines_to_skip(&candidates, sends.counts().skips_cold_engines()));
        choose_engine(&candidates, &placement, &excluded_engines)
    }

    /// The estimated number of other gateways' requests in flight at these engines, computed from the loads that those
    /// gateways report; empty when the policy `shared_loads` is off.
    pub(super) fn loads_of_other_gateways(&self, candidates: &[Arc<Engine>]) -> LoadEstimate {
        if !self.policy.shared_loads {
            return LoadEstimate::default();
        }
        let peers = self.members.load_sharing_peers();
        let mut sets: BTreeMap<(&str, bool), EngineSet> = BTreeMap::new();
        for engine in candidates {
            let zone = engine.entry.zone.as_str();
            let is_of_other_group = !peers.has_engine(engine.number, zone == self.zone);
            let set = sets.entry((zone, is_of_other_group)).or_default();
            set.is_of_other_group = is_of_other_group;
            set.engines.push(engine.number);
        }
        let sets: Vec<EngineSet> = sets.into_values().collect();
        self.members.peer_loads().estimate_loads(&peers, &sets)
    }

    /// The learned prices of a service, or the defaults when the policy `learned_prices` is off.
    fn prices(&self, service: &str) -> ServicePrices {
        if self.policy.learned_prices {
            self.costs.prices(service)
        } else {
            ServicePrices::default()
        }
    }

    /// Acquires the permit that a send to a cold engine needs; a send to a warm engine needs none.
    async fn acquire_permit(&self, call: &Call, engine: &Arc<Engine>, sends: &mut SendRecord) -> Permit {
        let Some(per_second) = engine.warmth.cold_requests_per_second() else { return Permit::SendBy(None) };
        let Some(send_by) = self.cold_permits.request_permit(&call.metadata.attempt, engine, per_second).await else {
            sends.note_no_permit();
            return Permit::Denied;
        };
        self.metrics.cold_sends.inc();
        // The engine may have been drained or replaced while this gateway waited for the permit.
        if !self.candidates(call).iter().any(|candidate| Arc::ptr_eq(candidate, engine)) {
            return Permit::Denied;
        }
        Permit::SendBy(Some(send_by))
    }

    /// Builds the request for an engine. From then on, this gateway assumes that the engine's prompt cache holds the
    /// prompt.
    fn prepare_request(
        &self,
        engine: &Engine,
        call: &Call,
        body: &Bytes,
        last_event: Option<&str>,
        sends: &SendRecord,
    ) -> Result<Request<Full<Bytes>>, Refusal> {
        let request = call.build_engine_request(&*self.dialect, &engine.entry.id, body.clone(), last_event);
        let request = request.map_err(|refusal| if sends.may_have_run() { Refusal::TimedOut } else { refusal })?;
        if sends.has_no_exclusions() {
            self.metrics.dispatch_seconds.observe(call.arrived_at.elapsed().as_secs_f64());
        }
        if call.is_model_call() && self.policy.known_parts {
            engine.prompt_parts().insert(&call.metadata.parts, call.metadata.max_tokens);
        }
        Ok(request)
    }

    /// Sends the request to one engine, and logs and counts the outcome.
    async fn send_once(
        &self,
        call: &Call,
        engine: &Arc<Engine>,
        request: Request<Full<Bytes>>,
        send_by: Option<Instant>,
        sends: &mut SendRecord,
    ) -> Result<EngineAnswer, AttemptError> {
        let attempt = &call.metadata.attempt;
        let limits = SendLimits { send_by, give_up_at: call.expires_at };
        let mut outcome =
            attempt::send(engine, request, attempt, &*self.dialect, limits, sends.used_connections()).await;
        if let Some(time) = outcome.as_mut().ok().and_then(|answer| answer.connection.take_connect_time()) {
            self.round_trips.record_round_trip(&engine.entry.zone, time);
        }
        self.metrics.count_send(outcome.as_ref().err().map_or("answered", AttemptError::name));
        if let Err(error) = &outcome {
            log::info!(
                target: part::ENGINE,
                "Call {attempt} not answered by an engine (`not_run` is true if the engine certainly did not run \
                 it): engine={} service={} not_run={}: {error}.",
                engine.entry.id,
                call.service,
                error.outcome().has_certainly_not_run(),
            );
        }
        outcome
    }

    /// Whether all engines that can be reached do not end their refusals of the call, so that a pause would not help. A
    /// call that may have run waits all the same: its engines were lost, and others are started in their place.
    fn has_only_faulty_engines(&self, call: &Call, sends: &SendRecord) -> bool {
        let engines = self.reachable_candidates(call);
        !engines.is_empty() && !sends.may_have_run() && engines.iter().all(|engine| sends.rules_out(engine))
    }

    /// Pauses before engines are tried again. Called when no engine is left to choose, or enough engines had no room.
    ///
    /// # Errors
    /// The refusal, when [`foxnotch_scheduler::retry`] decides to give up instead of pausing.
    async fn pause_before_retry(&self, call: &Call, sends: &mut SendRecord) -> Result<(), Refusal> {
        let time_left = call.engine_search_deadline().saturating_duration_since(Instant::now());
        match sends.decide_pause(call.stage, time_left) {
            PauseDecision::Pause(pause) => {
                tokio::time::sleep(pause).await;
                Ok(())
            }
            PauseDecision::EndNewProgram | PauseDecision::EndNoTime => Err(self.no_room_refusal(call, sends)),
        }
    }

    /// The refusal of a request for which no engine has room. If an engine may have run the request, the refusal never
    /// says that the request has not run.
    fn no_room_refusal(&self, call: &Call, sends: &SendRecord) -> Refusal {
        let refusal = if self.reachable_candidates(call).is_empty() {
            Refusal::NoEngineReachable
        } else {
            Refusal::NoRoom(admission::random_retry_after(rand::random()))
        };
        if sends.may_have_run() {
            return Refusal::MayHaveRun("no other engine has room".to_owned());
        }
        refusal
    }
}

/// Returns `refusal`, which says that the request has not run; if an engine may have run the request, returns
/// [`Refusal::MayHaveRun`] instead.
fn refusal_after_sends(refusal: Refusal, sends: &SendRecord) -> Refusal {
    if sends.may_have_run() {
        Refusal::MayHaveRun(refusal.to_string())
    } else {
        refusal
    }
}
