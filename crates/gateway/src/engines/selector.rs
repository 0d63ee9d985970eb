//! Chooses an engine for a request: collects what this gateway knows about the engines of the service, and passes it to
//! [`foxnotch_scheduler::engine_choice`].

use crate::engines::engine::Engine;
use crate::engines::learned_costs::ServicePrices;
use crate::engines::round_trips::{NetworkPath, NetworkPaths};
use crate::ports::dialect::PromptPart;
use foxnotch_scheduler::cost::Cost;
use foxnotch_scheduler::engine_choice::{self, Affinity, EngineFacts, ServiceFacts, SuccessorRank};
use foxnotch_scheduler::load_sharing::estimate::LoadEstimate;
use foxnotch_scheduler::outliers::{FailureRates, Outcomes};
use rand::Rng;
use std::sync::Arc;
use std::time::Instant;

/// The request for which an engine is chosen, and the facts about the network and the service that the choice needs.
#[derive(Clone, Copy)]
pub struct Placement<'a> {
    /// The prompt's parts, in order; empty for a request to a plain service.
    pub prompt: &'a [PromptPart],
    /// Whether the service runs a model; otherwise it is a plain service.
    pub is_model: bool,
    /// The network paths to the engines' zones.
    pub paths: &'a NetworkPaths,
    /// The load that other gateways' requests put on the engines, as estimated from their reports.
    pub loads: &'a LoadEstimate,
    /// The identifier of the program that the request belongs to; empty if it belongs to none.
    pub program: &'a str,
    /// The engine number ([`Engine::number`]) of the engine that ran the previous turn of the program; `None` if
    /// unknown.
    pub previous_engine: Option<u32>,
    /// Engine numbers of the engines at which turns of the program failed.
    pub avoided: &'a [u32],
    /// The size of the request's body in kilobytes.
    pub kilobytes: f64,
    /// The prices of requests at the service's engines.
    pub prices: ServicePrices,
    /// Whether the choice takes the failure rates of the engines into account.
    pub outliers: bool,
}

/// A chosen engine, and the facts by which it was chosen.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The engine to which the request is to be sent.
    pub engine: Arc<Engine>,
    /// Number of candidates, including those that were excluded from this choice.
    pub candidates: usize,
    /// Prompt tokens that the engine probably does not have in its cache and has to read.
    pub missing_tokens: f64,
    /// Requests in flight at the engine: this gateway's own, and the estimated requests of other gateways.
    pub in_flight_requests: f64,
    /// When the engine was chosen.
    pub chosen_at: Instant,
    /// The network path to the engine.
    pub path: NetworkPath,
    /// The cost of the request at the engine.
    pub cost: Cost,
    /// The lowest cost among the engines in this gateway's region, if the chosen engine is in another region. `None`
    /// too if this region has no engine to choose from.
    pub cost_nearby: Option<Cost>,
    /// The prices by which the costs were compared.
    pub prices: ServicePrices,
}

/// Returns which engine probably has the prompt in its cache.
fn find_affinity(candidates: &[Arc<Engine>], placement: &Placement<'_>) -> Affinity {
    let rank = |engine: &Arc<Engine>| {
        let proximity = placement.paths.path_to(&engine.entry.zone).proximity;
        SuccessorRank::of(proximity, engine.warmth.cold_requests_per_second().is_some())
    };
    let Placement { program, previous_engine, avoided, .. } = *placement;
    engine_choice::find_affinity(program, previous_engine, avoided, candidates, |engine| engine.number, rank)
}

/// Requests in flight at the engine: this gateway's own, and the estimated requests of other gateways.
fn estimated_in_flight(engine: &Engine, placement: &Placement<'_>) -> f64 {
    f64::from(engine.in_flight_requests()) + placement.loads.estimated_requests(engine.number)
}

/// Outcomes of recent requests at an engine: of this gateway's own, and of those that other gateways report.
fn recent_outcomes(engine: &Engine, placement: &Placement<'_>) -> Outcomes {
    engine.outcomes().plus(placement.loads.outcomes(engine.number))
}

/// Prompt tokens that the engine probably does not have in its cache and has to read.
fn missing_tokens(engine: &Engine, placement: &Placement<'_>, affinity: Affinity) -> f64 {
    let prompt_tokens = placement.prompt.iter().map(|part| part.tokens).sum();
    let known_tokens = engine.prompt_parts().held_tokens(placement.prompt);
    let holds_prompt = affinity.is_for_engine(engine.number) && !engine.warmth.may_have_lost_cache();
    engine_choice::missing_tokens(prompt_tokens, known_tokens, holds_prompt)
}

fn gather_facts(engine: &Engine, placement: &Placement<'_>, affinity: Affinity) -> EngineFacts {
    let path = placement.paths.path_to(&engine.entry.zone);
    EngineFacts {
        proximity: path.proximity,
        round_trip_ms: path.round_trip_ms,
        traffic_ms: placement.paths.traffic_ms(path, placement.kilobytes),
        in_flight: estimated_in_flight(engine, placement),
        slots: engine.entry.slots,
        is_connected: engine.has_idle_connection(),
        is_cold: engine.warmth.cold_requests_per_second().is_some(),
        is_of_other_group: placement.loads.is_of_other_group(engine.number),
        health: engine.health(),
        has_failed_program: placement.avoided.contains(&engine.number),
        outcomes: if placement.outliers { recent_outcomes(engine, placement) } else { Outcomes::default() },
        missing_tokens: if placement.is_model { missing_tokens(engine, placement, affinity) } else { 0.0 },
    }
}

/// Returns the candidate of lowest cost whose identifier is not in `excluded`; `None` if all are excluded.
pub fn choose_engine(candidates: &[Arc<Engine>], placement: &Placement<'_>, excluded: &[String]) -> Option<Choice> {
    let affinity = if placement.is_model { find_affinity(candidates, placement) } else { Affinity::NoPreviousEngine };
    // The mean failure rate is computed over all candidates, including the excluded ones.
    let all_outcomes = candidates.iter().map(|engine| recent_outcomes(engine, placement));
    let failure_rates = placement.outliers.then(|| FailureRates::of(all_outcomes));
    let service = ServiceFacts { is_model: placement.is_model, prices: placement.prices, failure_rates };
    let selectable = || candidates.iter().filter(|engine| !excluded.contains(&engine.entry.id));
    let facts: Vec<EngineFacts> = selectable().map(|engine| gather_facts(engine, placement, affinity)).collect();
    let random_draw = || rand::rng().random_range(0.0..1.0);
    let choice = engine_choice::choose_engine(&facts, &service, random_draw)?;
    let engine = selectable().nth(choice.index)?;
    let chosen = &facts[choice.index];
    Some(Choice {
        engine: engine.clone(),
        candidates: candidates.len(),
        missing_tokens: missing_tokens(engine, placement, affinity),
        in_flight_requests: chosen.in_flight,
        chosen_at: Instant::now(),
        path: NetworkPath { proximity: chosen.proximity, round_trip_ms: chosen.round_trip_ms },
        cost: choice.cost,
        cost_nearby: choice.cost_nearby,
        prices: placement.prices,
    })
}
