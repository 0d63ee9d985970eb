//! Which engine gets a request: the one that will answer soonest, as far as this gateway can tell.

use crate::engines::engine::Engine;
use crate::engines::load_board::LoadEstimate;
use crate::ports::dialect::PromptPart;
use rand::Rng;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt tokens that an engine computes in a millisecond, roughly: only the order of costs matters.
const PREFILL_TOKENS_PER_MS: f64 = 64.0;
/// Milliseconds that each request under way at a model engine costs a new one, roughly.
const MODEL_LOAD_MS: f64 = 0.2;
/// The same for the first turn of a program: its later turns will mostly go where this one does.
const FIRST_LOAD_MS: f64 = 1.0;
/// Milliseconds that each request beyond a model engine's slots makes a new one wait, roughly.
const MODEL_WAIT_MS: f64 = 3.0;
/// Milliseconds that a full plain engine costs a new request, roughly; half full it costs a quarter, since free slots
/// make nobody wait.
const PLAIN_LOAD_MS: f64 = 30.0;
/// Milliseconds that another zone costs.
const ZONE_MS: f64 = 3.0;
/// Milliseconds that a new connection costs; also a price to be avoided.
const CONNECTION_MS: f64 = 8.0;
/// Milliseconds of chance, so that gateways do not all choose alike.
const CHANCE_MS: f64 = 1.0;
/// The cost of an engine that is full or failed lately: it is taken only when there is no other.
const UNINVITING_MS: f64 = 1_000.0;

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
}

/// The engine that probably holds what a request continues: the one that ran the turn before, wherever that entered.
///
/// When that one has left, all gateways that know the same engines agree on another for the program, by rendezvous hashing,
/// so that turns that run side by side meet again. A program's first turn has no home: load and zone decide.
fn home_of(candidates: &[Arc<Engine>], placement: &Placement<'_>) -> Option<u32> {
    let predecessor = placement.predecessor?;
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
    if home != Some(engine.number) {
        return known;
    }
    let prompt: u32 = placement.prompt.iter().map(|part| part.tokens).sum();
    known.max(f64::from(prompt))
}

/// The cost of an engine in milliseconds, lower is better.
fn cost(engine: &Engine, placement: &Placement<'_>, home: Option<u32>) -> f64 {
    let under_way = f64::from(engine.under_way()) + placement.loads.under_way(engine.number);
    let slots = f64::from(engine.entry.slots.max(1));
    let mut cost = rand::rng().random_range(0.0..CHANCE_MS);
    if placement.is_model {
        let prompt_tokens: u32 = placement.prompt.iter().map(|part| part.tokens).sum();
        let held = held_tokens(engine, placement, home);
        cost += (f64::from(prompt_tokens) - held).max(0.0) / PREFILL_TOKENS_PER_MS;
        cost += if home.is_some() { MODEL_LOAD_MS } else { FIRST_LOAD_MS } * under_way;
        cost += MODEL_WAIT_MS * (under_way + 1.0 - slots).max(0.0);
    } else {
        let filled = under_way / slots;
        cost += PLAIN_LOAD_MS * filled * filled;
    }
    if engine.entry.zone != placement.zone {
        cost += ZONE_MS;
    }
    if !engine.has_connection() {
        cost += CONNECTION_MS;
    }
    if !engine.is_inviting() {
        cost += UNINVITING_MS;
    }
    if engine.is_ejected() {
        cost += UNINVITING_MS;
    }
    cost
}

/// The engine of least cost that was not tried before.
pub fn choose(candidates: &[Arc<Engine>], placement: &Placement<'_>, tried: &[String]) -> Option<Arc<Engine>> {
    let home = if placement.is_model { home_of(candidates, placement) } else { None };
    let untried = candidates.iter().filter(|engine| !tried.contains(&engine.entry.id));
    let priced = untried.map(|engine| (cost(engine, placement, home), engine));
    priced.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, engine)| engine.clone())
}
