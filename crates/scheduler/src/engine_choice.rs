//! Which engine gets a request: the one of least cost.
//!
//! Inputs: for each engine that is not passed over its load, its path, its health and the prompt tokens that it lacks
//! ([`EngineFacts`]); which engine ran the turn before ([`find_affinity`]); prices of the service; a random draw an
//! engine. The cost itself is [`crate::cost`].
//!
//! Why affinity: an engine that holds the prompt does not read it again, and reading holds up every other request
//! there. There is no weight of affinity: the engine that ran the turn before counts as holding the whole prompt, so a
//! program leaves it as soon as waiting there costs more than reading elsewhere. Switched off it costs 0.01 to 0.08 of
//! what programs earn (mean of three days with faults at each of three customers, two seeds).

use crate::cost::{Cost, EngineState, ServicePrices, Work};
use crate::distance::Proximity;
use crate::engine_health::EngineHealth;
use crate::outliers::{FailureRates, Outcomes};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The range of the random part of a cost, in milliseconds. Without it, all gateways would send to the same one of
/// equal engines until they hear of each other's load: about what one request under way costs by
/// the prior. A larger value would send requests to engines that are really dearer.
const CHANCE_MS: f64 = 1.0;

/// Which engine probably holds the prompt of a turn, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// None: the program's first turn, or the engine that ran the turn before is not known.
    NoPreviousEngine,
    /// None: the engine that ran the turn before failed a turn of the program.
    PreviousEngineFailed,
    /// The engine that ran the turn before.
    Previous(u32),
    /// The engine that ran the turn before is no candidate any more. All gateways that know the same engines name the
    /// same successor, so that turns that run side by side meet again.
    Successor(u32),
    /// None: there are no candidates.
    NoCandidate,
}

impl Affinity {
    /// Whether this engine probably holds the prompt.
    pub fn is_to(self, engine: u32) -> bool {
        matches!(self, Self::Previous(number) | Self::Successor(number) if number == engine)
    }
}

/// How well an engine suits as the successor of one that has left; better ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuccessorRank {
    /// In another region. A program's turns mostly enter in one region, and the successor has to read the whole prompt
    /// anyway.
    OtherRegion,
    /// In this region, and cold: it bears few programs at a time, and all programs of a drained zone need successors at
    /// once.
    Cold,
    /// In this region, and warm.
    Warm,
}

impl SuccessorRank {
    /// The rank of an engine.
    pub fn of(proximity: Proximity, is_cold: bool) -> Self {
        match (proximity, is_cold) {
            (Proximity::OtherRegion, _) => Self::OtherRegion,
            (_, true) => Self::Cold,
            (_, false) => Self::Warm,
        }
    }
}

/// The engine that probably holds a turn's prompt: the one that ran the turn before, wherever that entered, or its
/// successor by rendezvous hashing over the best rank that there is.
///
/// `rank` is asked only when a successor is needed.
pub fn find_affinity<Engine>(
    program: &str,
    previous_engine: Option<u32>,
    avoided: &[u32],
    candidates: &[Engine],
    number: impl Fn(&Engine) -> u32,
    rank: impl Fn(&Engine) -> SuccessorRank,
) -> Affinity {
    let Some(previous_engine) = previous_engine else { return Affinity::NoPreviousEngine };
    if avoided.contains(&previous_engine) {
        return Affinity::PreviousEngineFailed;
    }
    if candidates.iter().any(|engine| number(engine) == previous_engine) {
        return Affinity::Previous(previous_engine);
    }
    let score = |engine: &&Engine| xxh3_64_with_seed(program.as_bytes(), u64::from(number(engine)));
    let successor = candidates.iter().max_by_key(|engine| (rank(engine), score(engine)));
    successor.map_or(Affinity::NoCandidate, |engine| Affinity::Successor(number(engine)))
}

/// Prompt tokens that an engine probably has to read. `known_tokens` are those that this gateway knows the engine to
/// hold; `holds_prompt` says that affinity is to this engine and that it has not started anew since.
pub fn missing_tokens(prompt_tokens: u32, known_tokens: u32, holds_prompt: bool) -> f64 {
    let held = if holds_prompt { known_tokens.max(prompt_tokens) } else { known_tokens };
    f64::from(prompt_tokens.saturating_sub(held))
}

/// What is known of an engine that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct EngineFacts {
    /// Where it is.
    pub proximity: Proximity,
    /// Milliseconds to it and back.
    pub round_trip_ms: f64,
    /// The price of the request's traffic, in milliseconds.
    pub traffic_ms: f64,
    /// Requests under way there, from all gateways.
    pub under_way: f64,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether an idle connection to it is open.
    pub is_connected: bool,
    /// Whether it is believed cold.
    pub is_cold: bool,
    /// What this gateway saw of it lately.
    pub health: EngineHealth,
    /// Whether it failed a turn of the same program.
    pub has_failed_program: bool,
    /// How its requests of the last moments ended, at all gateways.
    pub outcomes: Outcomes,
    /// Prompt tokens that it probably has to read.
    pub missing_tokens: f64,
}

/// What the costs of all engines have in common.
#[derive(Clone, Copy, Debug)]
pub struct ServiceFacts {
    /// Whether the service runs a model; otherwise it gives plain answers.
    pub is_model: bool,
    /// Prices of the service.
    pub prices: ServicePrices,
    /// How the service's engines fail; none when failures are not weighed.
    pub failure_rates: Option<FailureRates>,
}

/// The engine that was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineChoice {
    /// Its index among the facts.
    pub index: usize,
    /// What the request costs there.
    pub cost: Cost,
    /// The least cost in this gateway's region, when the engine is in another: why the request leaves its region.
    pub cost_nearby: Option<Cost>,
}

fn cost_of(engine: &EngineFacts, service: &ServiceFacts) -> Cost {
    let state = EngineState {
        under_way: engine.under_way,
        slots: f64::from(engine.slots.max(1)),
        round_trip_ms: engine.round_trip_ms,
        traffic_ms: engine.traffic_ms,
        is_connected: engine.is_connected,
        is_cold: engine.is_cold,
        penalties: engine.health.penalties() + u32::from(engine.has_failed_program),
        failure_probability: service.failure_rates.map_or(0.0, |rates| rates.probability(engine.outcomes)),
    };
    let work = if service.is_model { Work::Turn { missing_tokens: engine.missing_tokens } } else { Work::Answer };
    Cost::of(work, &state, &service.prices)
}

/// An engine with its cost, and with the cost plus chance by which engines are compared.
#[derive(Clone, Copy)]
struct Ranked {
    index: usize,
    cost: Cost,
    rank_ms: f64,
}

fn cheaper(best: Option<Ranked>, ranked: Ranked) -> Option<Ranked> {
    match best {
        Some(best) if best.rank_ms.total_cmp(&ranked.rank_ms).is_le() => Some(best),
        _ => Some(ranked),
    }
}

/// The engine of least cost; none without engines. `random_draw` gives a number from 0 to 1 and is called once an
/// engine, in their order.
pub fn choose(
    engines: &[EngineFacts],
    service: &ServiceFacts,
    mut random_draw: impl FnMut() -> f64,
) -> Option<EngineChoice> {
    let mut best: Option<Ranked> = None;
    let mut best_nearby: Option<Ranked> = None;
    for (index, engine) in engines.iter().enumerate() {
        let cost = cost_of(engine, service);
        let ranked = Ranked { index, cost, rank_ms: cost.total_ms() + random_draw() * CHANCE_MS };
        best = cheaper(best, ranked);
        if engine.proximity != Proximity::OtherRegion {
            best_nearby = cheaper(best_nearby, ranked);
        }
    }
    let Ranked { index, cost, .. } = best?;
    let leaves_region = engines[index].proximity == Proximity::OtherRegion;
    let cost_nearby = best_nearby.filter(|_| leaves_region).map(|ranked| ranked.cost);
    Some(EngineChoice { index, cost, cost_nearby })
}
