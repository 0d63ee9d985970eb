//! Finds the engines that a call may be sent to, and checks whether they have room for a new program.
//!
//! [`foxnotch_scheduler::eligibility`] and [`foxnotch_scheduler::admission`] make the decisions. This module gathers
//! the facts for these decisions, and logs the refusals.

use crate::edge::call::Call;
use crate::edge::dispatch::EngineDispatcher;
use crate::edge::refusal::Refusal;
use crate::edge::zone_drains::ZoneDrainFacts;
use crate::engines::engine::Engine;
use crate::logging::part;
use foxnotch_scheduler::admission::{self, ServiceLoad};
use foxnotch_scheduler::eligibility::{CandidateCounts, CandidateDecision};
use foxnotch_scheduler::quota::ProgramStage;
use std::sync::Arc;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

impl EngineDispatcher {
    /// Decides whether a call that begins a new program is admitted. Refuses the call if [`Self::check_candidates`]
    /// refuses it, and otherwise with a probability that rises with the load of the engines that can be reached
    /// ([`foxnotch_scheduler::admission`]). Admits all calls of running programs, and all calls when the policy
    /// `admission_by_load` is off.
    ///
    /// # Errors
    /// [`Refusal::NoRoom`], [`Refusal::NoEngineReachable`], [`Refusal::ZonesDrained`].
    pub fn check_admission(&self, call: &Call) -> Result<(), Refusal> {
        if call.stage == ProgramStage::Running || !self.policy.admission_by_load {
            return Ok(());
        }
        let candidates = self.candidates(call);
        self.check_candidates(call, &candidates)?;
        let load = self.service_load(&retain_reachable(candidates));
        if admission::admits(call.stage, load, rand::random()) {
            return Ok(());
        }
        let retry_after = admission::random_retry_after(rand::random());
        log::info!(
            target: part::CALL,
            "Call {} may not begin: program={} service={} under_way={:.0} slots={:.0} come_back={retry_after:?}. \
             For a new program to start, its service has too many requests in flight (`under_way`) for the capacity \
             of its engines (`slots`).",
            call.metadata.attempt,
            call.metadata.program.as_deref().unwrap_or("-"),
            call.service,
            load.in_flight,
            load.slots,
        );
        Err(Refusal::NoRoom(retry_after))
    }

    /// The engines of the call's service that accept new requests and that are excluded neither by a zone drain nor by
    /// the call's region restriction nor by their software version. Includes engines that cannot be reached.
    pub(super) fn candidates(&self, call: &Call) -> Vec<Arc<Engine>> {
        let drain_facts = self.zone_drain_facts(call);
        let mut candidates = self.engines.engines_accepting_requests(&call.service);
        candidates.retain(|engine| {
            drain_facts.allows(engine)
                && call.residency.allows_zone(&self.topology, &engine.entry.zone)
                && call.allows_version_of(engine)
        });
        candidates
    }

    /// The candidates of a call that can be reached.
    pub(super) fn reachable_candidates(&self, call: &Call) -> Vec<Arc<Engine>> {
        retain_reachable(self.candidates(call))
    }

    /// The zone drains known now, and the facts that decide whether a call may still be sent to an engine in a drained
    /// zone.
    pub(super) fn zone_drain_facts(&self, call: &Call) -> ZoneDrainFacts {
        let view = self.view.get();
        let model = view.configuration.value.service(&call.service).and_then(|service| service.model.as_ref());
        let previous_engine =
            call.previous_engine.filter(|engine| self.policy.affinity && !call.avoided.contains(engine));
        ZoneDrainFacts {
            drains: view.zone_drains.value,
            table_drains: self.engines.zone_drains(),
            starts: view.drain_starts,
            window: self.zone_drain_rules.move_window(),
            prompt_engine: previous_engine,
            program_hash: xxh3_64(call.metadata.program.as_deref().unwrap_or_default().as_bytes()),
            prompt_tokens: f64::from(call.metadata.prompt_tokens),
            memory_tokens: model.map_or(0.0, |model| model.memory_tokens as f64),
            now: Instant::now(),
        }
    }

    /// Refuses a call when [`CandidateCounts::decide_whether_to_proceed`] says that its candidates cannot serve it.
    ///
    /// # Errors
    /// [`Refusal::NoEngineReachable`], [`Refusal::ZonesDrained`], [`Refusal::StreamVersionGone`].
    pub(super) fn check_candidates(&self, call: &Call, candidates: &[Arc<Engine>]) -> Result<(), Refusal> {
        let counts = self.count_candidates(call, candidates);
        match counts.decide_whether_to_proceed(call.stage) {
            CandidateDecision::Proceed => Ok(()),
            CandidateDecision::RefuseZonesDrained => {
                let drains = self.view.get().zone_drains.value;
                let zones: Vec<&str> = drains.zones().collect();
                log::info!(
                    target: part::CALL,
                    "Call {} is refused because all engines that may serve it are in drained zones: service={} \
                     zones={zones:?} drained={} engines in the call's regions.",
                    call.metadata.attempt,
                    call.service,
                    counts.in_regions,
                );
                Err(Refusal::ZonesDrained)
            }
            CandidateDecision::RefuseStreamVersionGone => {
                log::info!(
                    target: part::CALL,
                    "Call {} is refused because no engine in service has the software version at which its stream \
                     began: service={} resumes={}.",
                    call.metadata.attempt,
                    call.service,
                    call.metadata.resumes.as_deref().unwrap_or("-"),
                );
                Err(Refusal::StreamVersionGone)
            }
            CandidateDecision::RefuseNoneReachable => {
                log::info!(
                    target: part::CALL,
                    "Call {} is refused because no engine that may serve it can be reached: service={} unreachable={}.",
                    call.metadata.attempt,
                    call.service,
                    counts.candidates,
                );
                Err(Refusal::NoEngineReachable)
            }
        }
    }

    /// Counts the engines of the call's service. From these counts, [`CandidateCounts::decide_whether_to_proceed`]
    /// decides whether the call can be served.
    fn count_candidates(&self, call: &Call, candidates: &[Arc<Engine>]) -> CandidateCounts {
        let drains = self.view.get().zone_drains.value;
        let is_any_zone_drained = drains.zones().next().is_some();
        let reachable = candidates.iter().filter(|engine| engine.reachability.is_reachable()).count();
        let mut in_regions = candidates.len();
        // The engines of all zones are counted only when their number affects the decision, because this function runs
        // for each new program.
        if candidates.is_empty() && is_any_zone_drained {
            let engines = self.engines.engines_accepting_requests(&call.service);
            let is_allowed = |engine: &&Arc<Engine>| {
                call.residency.allows_zone(&self.topology, &engine.entry.zone) && call.allows_version_of(engine)
            };
            in_regions = engines.iter().filter(is_allowed).count();
        }
        CandidateCounts {
            in_regions,
            candidates: candidates.len(),
            reachable,
            is_any_zone_drained,
            is_version_required: call.required_origin.is_some(),
        }
    }

    /// The load of these engines: their slots, this gateway's requests in flight at them, and the estimated number of
    /// other gateways' requests in flight.
    fn service_load(&self, engines: &[Arc<Engine>]) -> ServiceLoad {
        let loads = self.loads_of_other_gateways(engines);
        let mut load = ServiceLoad::default();
        for engine in engines {
            load.in_flight += f64::from(engine.in_flight_requests()) + loads.estimated_requests(engine.number);
            load.slots += f64::from(engine.entry.slots);
        }
        load
    }
}

/// Keeps the engines that can be reached; [`foxnotch_scheduler::eligibility`] says why unreachable ones are left out.
fn retain_reachable(mut engines: Vec<Arc<Engine>>) -> Vec<Arc<Engine>> {
    engines.retain(|engine| engine.reachability.is_reachable());
    engines
}
