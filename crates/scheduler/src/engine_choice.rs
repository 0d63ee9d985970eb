//! Chooses the engine that gets a request: the one with the lowest cost.
//!
//! Inputs: for each candidate its load, network path, health and missing prompt tokens ([`EngineFacts`]); which engine
//! ran the program's previous turn ([`find_affinity`]); the prices of the service; and one random number for each
//! engine. [`crate::cost`] computes the cost itself.
//!
//! A turn has affinity to the engine that probably has its prompt cached. That engine does not read the prompt again,
//! and reading a prompt delays all other requests at an engine. Affinity has no weight of its own in the cost: it
//! only means that the whole prompt is assumed to be cached at that engine. So a program moves to another engine as
//! soon as waiting at that engine costs more than reading the prompt elsewhere.

use crate::cost::{Cost, EngineState, ServicePrices, Work};
use crate::distance::Proximity;
use crate::engine_health::EngineHealth;
use crate::outliers::{FailureRates, Outcomes};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Range of the random addition to a cost, in milliseconds. Without this addition, all gateways would send to the same
/// one of several equal engines until they receive each other's load reports. 1 ms is about what one request in flight
/// costs with the prior prices; a larger value would send requests to engines that really cost more.
const RANDOM_COST_RANGE_MS: f64 = 1.0;

/// The engine that probably has the prompt of a turn cached, or the reason why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// None: this is the program's first turn, or the engine of the previous turn is not known.
    NoPreviousEngine,
    /// None: the engine of the previous turn failed a turn of this program.
    PreviousEngineFailed,
    /// The engine that ran the previous turn, by its engine number (the low 32 bits of the hash of its identifier).
    Previous(u32),
    /// The engine number of the successor of the previous turn's engine, which is no longer a candidate. All gateways
    /// with the same candidates choose the same successor, so that concurrent turns of a program run at the same engine
    /// again.
    Successor(u32),
    /// None: there are no candidates.
    NoCandidate,
}

impl Affinity {
    /// Whether the engine with the engine number `engine` probably has the prompt cached.
    pub fn is_for_engine(self, engine: u32) -> bool {
        matches!(self, Self::Previous(number) | Self::Successor(number) if number == engine)
    }
}

/// Suitability of an engine as the successor of an engine that is no longer a candidate; a greater rank is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuccessorRank {
    /// In another region. This rank is the lowest because most turns of a program arrive in one region, and any
    /// successor has to read the whole prompt anyway.
    OtherRegion,
    /// In this region, and cold: a cold engine can take few programs at a time, and all programs of a drained zone need
    /// successors at the same time.
    Cold,
    /// In this region, and warm.
    Warm,
}

impl SuccessorRank {
    /// The rank of an engine with this proximity and warmth.
    pub fn of(proximity: Proximity, is_cold: bool) -> Self {
        match (proximity, is_cold) {
            (Proximity::OtherRegion, _) => Self::OtherRegion,
            (_, true) => Self::Cold,
            (_, false) => Self::Warm,
        }
    }
}

/// Returns the engine that probably has a turn's prompt cached. This is the engine that ran the previous turn,
/// regardless of which gateway received that turn. If that engine is no longer a candidate, its successor is returned,
/// chosen by rendezvous hashing among the candidates with the best rank.
///
/// `previous_engine` and `failed_engines` are engine numbers: of the engine that ran the previous turn, and of the
/// engines that failed a turn of this program. `number` returns the engine number of a candidate.
/// `rank` is called only when a successor is needed.
pub fn find_affinity<Engine>(
    program: &str,
    previous_engine: Option<u32>,
    failed_engines: &[u32],
    candidates: &[Engine],
    number: impl Fn(&Engine) -> u32,
    rank: impl Fn(&Engine) -> SuccessorRank,
) -> Affinity {
    let Some(previous_engine) = previous_engine else { return Affinity::NoPreviousEngine };
    if failed_engines.contains(&previous_engine) {
        return Affinity::PreviousEngineFailed;
    }
    if candidates.iter().any(|engine| number(engine) == previous_engine) {
        return Affinity::Previous(previous_engine);
    }
    let score = |engine: &&Engine| xxh3_64_with_seed(program.as_bytes(), u64::from(number(engine)));
    let successor = candidates.iter().max_by_key(|engine| (rank(engine), score(engine)));
    successor.map_or(Affinity::NoCandidate, |engine| Affinity::Successor(number(engine)))
}

/// Number of prompt tokens that an engine probably has to read. `known_tokens` is the number of tokens that this
/// gateway knows to be cached at the engine. `holds_prompt` states that the turn has affinity to this engine and that
/// the engine has probably not restarted recently.
pub fn missing_tokens(prompt_tokens: u32, known_tokens: u32, holds_prompt: bool) -> f64 {
    let held = if holds_prompt { known_tokens.max(prompt_tokens) } else { known_tokens };
    f64::from(prompt_tokens.saturating_sub(held))
}

/// Properties of a candidate engine for one request.
#[derive(Clone, Copy, Debug)]
pub struct EngineFacts {
    /// The proximity of the engine's zone to the gateway's zone.
    pub proximity: Proximity,
    /// Estimated round trip to the engine, in milliseconds.
    pub round_trip_ms: f64,
    /// The price of the request's traffic, expressed in milliseconds ([`crate::distance::TrafficPrices`]).
    pub traffic_ms: f64,
    /// Number of requests in flight at the engine, from all gateways.
    pub in_flight: f64,
    /// Number of requests that the engine can work on at the same time.
    pub slots: u32,
    /// Whether this gateway has an idle connection to the engine.
    pub is_connected: bool,
    /// Whether the engine is considered cold.
    pub is_cold: bool,
    /// Whether the engine belongs to another group of gateways ([`crate::load_sharing`]).
    pub is_of_other_group: bool,
    /// The engine's health, from this gateway's own recent requests.
    pub health: EngineHealth,
    /// Whether the engine failed a turn of the same program.
    pub has_failed_program: bool,
    /// Outcomes of the engine's recent requests, from all gateways.
    pub outcomes: Outcomes,
    /// Number of prompt tokens that the engine probably has to read.
    pub missing_tokens: f64,
}

/// Properties of a service that apply to the costs of all its engines.
#[derive(Clone, Copy, Debug)]
pub struct ServiceFacts {
    /// Whether the service runs a model; otherwise it is a plain service.
    pub is_model: bool,
    /// Prices from which the cost of work at the service's engines is computed.
    pub prices: ServicePrices,
    /// Failure rates of the service's engines; `None` when the risk of failure is not part of the cost.
    pub failure_rates: Option<FailureRates>,
}

/// The engine with the lowest cost for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineChoice {
    /// The engine's index in the list of candidates.
    pub index: usize,
    /// The cost of the request at this engine.
    pub cost: Cost,
    /// The cost at the best engine in this gateway's region, when the chosen engine is in another region. Compared with
    /// `cost`, this value explains why the request leaves the region.
    pub cost_nearby: Option<Cost>,
}

fn engine_cost(engine: &EngineFacts, service: &ServiceFacts) -> Cost {
    let state = EngineState {
        in_flight: engine.in_flight,
        slots: f64::from(engine.slots.max(1)),
        round_trip_ms: engine.round_trip_ms,
        traffic_ms: engine.traffic_ms,
        is_connected: engine.is_connected,
        is_cold: engine.is_cold,
        is_of_other_group: engine.is_of_other_group,
        penalties: engine.health.penalty_count() + u32::from(engine.has_failed_program),
        failure_probability: service.failure_rates.map_or(0.0, |rates| rates.failure_probability(engine.outcomes)),
    };
    let work = if service.is_model { Work::Turn { missing_tokens: engine.missing_tokens } } else { Work::Answer };
    Cost::of(work, &state, &service.prices)
}

/// An engine with its cost, and the cost plus a random addition by which engines are compared.
#[derive(Clone, Copy)]
struct RankedEngine {
    index: usize,
    cost: Cost,
    rank_ms: f64,
}

fn select_cheaper(best: Option<RankedEngine>, ranked: RankedEngine) -> Option<RankedEngine> {
    match best {
        Some(best) if best.rank_ms.total_cmp(&ranked.rank_ms).is_le() => Some(best),
        _ => Some(ranked),
    }
}

/// Chooses the engine with the lowest cost; returns `None` when `engines` is empty. `random_draw` returns a number from
/// 0 to 1 and is called once for each engine, in list order.
pub fn choose_engine(
    engines: &[EngineFacts],
    service: &ServiceFacts,
    mut random_draw: impl FnMut() -> f64,
) -> Option<EngineChoice> {
    let mut best: Option<RankedEngine> = None;
    let mut best_nearby: Option<RankedEngine> = None;
    for (index, engine) in engines.iter().enumerate() {
        let cost = engine_cost(engine, service);
        let ranked = RankedEngine { index, cost, rank_ms: cost.total_ms() + random_draw() * RANDOM_COST_RANGE_MS };
        best = select_cheaper(best, ranked);
        if engine.proximity != Proximity::OtherRegion {
            best_nearby = select_cheaper(best_nearby, ranked);
        }
    }
    let RankedEngine { index, cost, .. } = best?;
    let leaves_region = engines[index].proximity == Proximity::OtherRegion;
    let cost_nearby = best_nearby.filter(|_| leaves_region).map(|ranked| ranked.cost);
    Some(EngineChoice { index, cost, cost_nearby })
}
