//! Records of the engines whose connection broke while they ran a request, over all attempts of the request.
//!
//! The gateways store a record for each lost engine on the replicas, as an entry of a program that belongs to the
//! request. Replicas of all builds store such entries and return them with the program's run locations, so any gateway
//! can count the engines, also after gateways and replicas have started again.

use crate::identity::RequestKey;
use foxnotch_wire::{ProgramKey, RunLocation, TurnEntry, TurnId, NOT_SETTLED};
use std::collections::BTreeSet;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_128, xxh3_64};

/// Keeps the programs of these records apart from the programs of callers. Headers hold no such bytes.
const PROGRAM_PREFIX: &str = "\0\0engine losses ";
/// Separates the program from the rest of what is hashed.
const SERVED_SUFFIX: &str = " served";

/// The program to which the records of a request belong.
pub fn loss_program(request: RequestKey) -> ProgramKey {
    ProgramKey(xxh3_64(format!("{PROGRAM_PREFIX}{request}").as_bytes()))
}

/// The [`RunLocation::part`] of the record of an engine. It differs for each engine, since a replica returns only one
/// location for each part.
fn loss_part(program: ProgramKey, engine: u32) -> u64 {
    xxh3_64(format!("{:016x} {engine}", program.0).as_bytes())
}

/// The [`RunLocation::part`] of the record that the request was served.
fn served_part(program: ProgramKey) -> u64 {
    xxh3_64(format!("{:016x}{SERVED_SUFFIX}", program.0).as_bytes())
}

fn entry(program: ProgramKey, name: &str, location: RunLocation, retention: Duration) -> TurnEntry {
    TurnEntry {
        turn: TurnId(xxh3_128(format!("{PROGRAM_PREFIX}{:016x} {name}", program.0).as_bytes()).max(1)),
        program,
        retention_ms: u32::try_from(retention.as_millis()).unwrap_or(u32::MAX),
        reserved: 0,
        // The answer to the write of an entry that is not settled contains the program's run locations.
        used: NOT_SETTLED,
        run_location: Some(location),
        elsewhere: None,
        record: Vec::new(),
    }
}

/// The entry that records the loss of the engine with the number `engine`.
pub fn loss_entry(program: ProgramKey, engine: u32, retention: Duration) -> TurnEntry {
    let location = RunLocation { engine, part: loss_part(program, engine), prompt_tokens: 0 };
    entry(program, &engine.to_string(), location, retention)
}

/// The entry that records that the request was served after `losses` engines had been lost.
pub fn served_entry(program: ProgramKey, losses: usize, retention: Duration) -> TurnEntry {
    let losses = u32::try_from(losses).unwrap_or(u32::MAX - 1);
    let location = RunLocation { engine: 0, part: served_part(program), prompt_tokens: losses };
    entry(program, &format!("{SERVED_SUFFIX} {losses}"), location, retention)
}

/// The engines that were lost under one request, by their engine numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineLosses {
    engines: BTreeSet<u32>,
    /// Number of engines that had been lost when the request was last served.
    before_served: usize,
}

impl EngineLosses {
    /// The losses in the run locations that replicas or gateways return for the program of a request.
    pub fn from_run_locations(program: ProgramKey, locations: &[RunLocation]) -> Self {
        let mut losses = Self::default();
        for location in locations {
            if location.part == loss_part(program, location.engine) {
                losses.engines.insert(location.engine);
            } else if location.part == served_part(program) {
                losses.before_served = losses.before_served.max(location.prompt_tokens as usize);
            }
        }
        losses
    }

    /// Adds the losses that another node knows.
    pub fn merge(&mut self, other: &Self) {
        self.engines.extend(&other.engines);
        self.before_served = self.before_served.max(other.before_served);
    }

    /// Adds the loss of an engine.
    pub fn add(&mut self, engine: u32) {
        self.engines.insert(engine);
    }

    /// Records that the request was served: the losses so far no longer count.
    pub fn note_served(&mut self) {
        self.before_served = self.engines.len();
    }

    /// The engine numbers of all lost engines.
    pub fn engines(&self) -> &BTreeSet<u32> {
        &self.engines
    }

    /// Number of all lost engines, including those from before the request was last served.
    pub fn total(&self) -> usize {
        self.engines.len()
    }

    /// Number of engines that were lost since the request was last served.
    pub fn since_served(&self) -> usize {
        self.engines.len().saturating_sub(self.before_served)
    }
}
