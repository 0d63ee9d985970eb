//! Which engine gets a request: the one that will answer soonest, as far as this gateway can tell.

use crate::engines::engine::Engine;
use crate::engines::learned_costs::ServicePrices;
use crate::engines::load_board::LoadEstimate;
use crate::ports::dialect::PromptPart;
use foxnotch_scheduler::outliers::{FailureOutlook, Outcomes};
use rand::Rng;
use std::sync::Arc;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Milliseconds that another zone costs.
const ZONE_MS: f64 = 2.0;
/// Milliseconds that each kilobyte sent to another zone costs: a price to be avoided.
const ZONE_MS_PER_KILOBYTE: f64 = 1.0;
/// Milliseconds that a new connection costs; also a price to be avoided.
const CONNECTION_MS: f64 = 8.0;
/// Milliseconds of chance, so that gateways do not all choose alike.
const CHANCE_MS: f64 = 1.0;
/// What a failed try costs, in milliseconds: the caller's pause, another try, and a third of a program that its third ends.
const FAILURE_MS: f64 = 1_000.0;
/// The cost of an engine that is full or failed lately: it is taken only when there is no other.
const UNINVITING_MS: f64 = 1_000.0;

/// Milliseconds that a cold engine costs: leave has to be asked for, and may be wanted more elsewhere. At 150 ms warm engines were
/// overloaded while cold ones had free slots.
const COLD_MS: f64 = 20.0;

/// What is to be placed.
#[derive(Clone, Copy)]
pub struct Placement<'a> {
    /// The prompt's parts; empty for plain requests.
    pub prompt: &'a [PromptPart],
    /// Whether the service runs a model.
    pub is_model: bool,
    /// The zone of this gateway.
    pub zone: &'a str,
    /// What other gateways have under way.
    pub loads: &'a LoadEstimate,
    /// The program that the request belongs to; empty when there is none.
    pub program: &'a str,
    /// The engine that ran the turn which the request continues.
    pub predecessor: Option<u32>,
    /// Engines that failed turns of the program.
    pub avoided: &'a [u32],
    /// Kilobytes to be sent.
    pub kilobytes: f64,
    /// What was learned of the service's engines.
    pub prices: ServicePrices,
    /// Whether engines cost more the more they fail.
    pub outliers: bool,
}

/// An engine that was chosen, and what was known of it then.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The engine.
    pub engine: Arc<Engine>,
    /// Prompt tokens that it probably has to read.
    pub missing_tokens: f64,
    /// Requests under way there.
    pub under_way: f64,
    /// When it was chosen.
    pub chosen_at: Instant,
}

/// The engine that probably holds what a request continues: the one that ran the turn before, wherever that entered.
///
/// When that one has left, all gateways that know the same engines agree on another for the program, by rendezvous hashing,
/// so that turns that run side by side meet again. A program's first turn has no home: load and zone decide; nor has one whose
/// home failed it.
fn home_of(candidates: &[Arc<Engine>], placement: &Placement<'_>) -> Option<u32> {
    let predecessor = placement.predecessor.filter(|engine| !placement.avoided.contains(engine))?;
    if candidates.iter().any(|engine| engine.number == predecessor) {
        return Some(predecessor);
    }
    let program = placement.program.as_bytes();
    let score = |engine: &&Arc<Engine>| xxh3_64_with_seed(program, u64::from(engine.number));
    candidates.iter().max_by_key(score).map(|engine| engine.number)
}

/// Prompt tokens that the engine probably holds.
fn held_tokens(engine: &Engine, placement: &Placement<'_>, home: Option<u32>) -> f64 {
    let known = f64::from(engine.parts().held_tokens(placement.prompt));
    // One that has started anew holds nothing of the time before.
    if home != Some(engine.number) || engine.warmth.may_be_emptied() {
        return known;
    }
    let prompt: u32 = placement.prompt.iter().map(|part| part.tokens).sum();
    known.max(f64::from(prompt))
}

/// Prompt tokens that the engine probably has to read.
fn missing_tokens(engine: &Engine, placement: &Placement<'_>, home: Option<u32>) -> f64 {
    let prompt: u32 = placement.prompt.iter().map(|part| part.tokens).sum();
    (f64::from(prompt) - held_tokens(engine, placement, home)).max(0.0)
}

/// Requests under way at the engine, as far as this gateway can tell.
fn requests_under_way(engine: &Engine, placement: &Placement<'_>) -> f64 {
    f64::from(engine.under_way()) + placement.loads.under_way(engine.number)
}

/// What a request costs at a model engine, to itself and to those under way there.
///
/// While the engine reads a prompt all others at it wait too. A request beyond the slots waits until one is free, and each
/// turn's time as many get free as there are slots.
fn model_cost(missing_tokens: f64, under_way: f64, slots: f64, prices: &ServicePrices) -> f64 {
    let reading = missing_tokens * prices.token_ms * (1.0 + under_way.min(slots));
    let waiting = (under_way + 1.0 - slots).max(0.0) * prices.turn_ms / slots;
    reading + prices.request_ms * under_way + waiting
}

/// How requests of the last moments ended at an engine, as far as this gateway can tell.
fn outcomes(engine: &Engine, placement: &Placement<'_>) -> Outcomes {
    engine.outcomes().plus(placement.loads.outcomes(engine.number))
}

/// The cost of an engine in milliseconds, lower is better.
fn cost(engine: &Engine, placement: &Placement<'_>, home: Option<u32>, outlook: Option<&FailureOutlook>) -> f64 {
    let under_way = requests_under_way(engine, placement);
    let slots = f64::from(engine.entry.slots.max(1));
    let mut cost = rand::rng().random_range(0.0..CHANCE_MS);
    if placement.is_model {
        cost += model_cost(missing_tokens(engine, placement, home), under_way, slots, &placement.prices);
    } else {
        // Free slots make nobody wait: half full an engine costs a quarter of what it costs full.
        let filled = under_way / slots;
        cost += placement.prices.answer_ms * filled * filled;
    }
    if engine.entry.zone != placement.zone {
        cost += ZONE_MS + ZONE_MS_PER_KILOBYTE * placement.kilobytes;
    }
    if !engine.has_connection() {
        cost += CONNECTION_MS;
    }
    if engine.warmth.cold_rate().is_some() {
        cost += COLD_MS;
    }
    if !engine.is_inviting() {
        cost += UNINVITING_MS;
    }
    if engine.is_ejected() {
        cost += UNINVITING_MS;
    }
    if placement.avoided.contains(&engine.number) {
        cost += UNINVITING_MS;
    }
    if let Some(outlook) = outlook {
        cost += FAILURE_MS * outlook.probability(outcomes(engine, placement));
    }
    cost
}

/// The engine of least cost that was not tried before.
pub fn choose(candidates: &[Arc<Engine>], placement: &Placement<'_>, tried: &[String]) -> Option<Choice> {
    let home = if placement.is_model { home_of(candidates, placement) } else { None };
    let all_outcomes = candidates.iter().map(|engine| outcomes(engine, placement));
    let outlook = placement.outliers.then(|| FailureOutlook::of(all_outcomes));
    let untried = candidates.iter().filter(|engine| !tried.contains(&engine.entry.id));
    let priced = untried.map(|engine| (cost(engine, placement, home, outlook.as_ref()), engine));
    let (_, engine) = priced.min_by(|left, right| left.0.total_cmp(&right.0))?;
    Some(Choice {
        engine: engine.clone(),
        missing_tokens: missing_tokens(engine, placement, home),
        under_way: requests_under_way(engine, placement),
        chosen_at: Instant::now(),
    })
}
