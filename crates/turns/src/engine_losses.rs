//! Records of the engines that may have ended while they ran a request, over all attempts of the request.
//!
//! The gateways store these records on the replicas, as entries of a program that belongs to the request. Replicas of
//! all builds store such entries and return them with the program's run locations, so any gateway can count the
//! engines, also after gateways and replicas have started again.
//!
//! Each start of an engine counts by itself. It is named by its start number: a hash of the engine's identifier and of
//! the time of the start, or the engine number where that time is unknown.
//!
//! There are five kinds of records. A *loss* states that the connection to an engine broke, or that the engine gave no
//! answer and could not be reached. An *end* states that a lost engine was found to have ended. A *send* is stored
//! before the request is sent to an engine, once the request has a loss. An *outcome* states that the send ended
//! otherwise than by a loss. A send without an outcome counts like a loss, because the gateway that made it may have
//! been killed before it could record one. *Served* states that a request which no program names was answered: equal
//! requests of other callers have the same records, so the losses before may be those of another request.

use crate::identity::RequestKey;
use foxnotch_wire::{ProgramKey, RunLocation, TurnEntry, TurnId, NOT_SETTLED};
use std::collections::BTreeSet;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_128, xxh3_64};

/// Keeps the programs of these records apart from the programs of callers. Headers hold no such bytes.
const PROGRAM_PREFIX: &str = "\0\0engine losses ";

/// The name under which the suspects are listed.
const SUSPECT_INDEX_NAME: &str = "index";

fn hashed_program(name: &str) -> ProgramKey {
    ProgramKey(xxh3_64(format!("{PROGRAM_PREFIX}{name}").as_bytes()))
}

/// The program whose entries list the requests that have lost several engines. A gateway that starts reads it.
pub fn suspect_index() -> ProgramKey {
    hashed_program(SUSPECT_INDEX_NAME)
}

/// The entry of the suspect index for a request, given by the program of its records.
pub fn suspect_index_entry(program: ProgramKey, retention: Duration) -> TurnEntry {
    let location = RunLocation { engine: 0, part: program.0, prompt_tokens: 0 };
    location_entry(suspect_index(), &format!("{:016x}", program.0), location, retention)
}

/// The programs of the requests that the run locations of the suspect index list.
pub fn suspects_in_index(locations: &[RunLocation]) -> impl Iterator<Item = ProgramKey> + '_ {
    locations.iter().map(|location| ProgramKey(location.part))
}

/// The program to which the records of a request belong.
pub fn loss_program(request: RequestKey) -> ProgramKey {
    hashed_program(&request.to_string())
}

/// An entry that holds nothing but a run location.
fn location_entry(program: ProgramKey, name: &str, location: RunLocation, retention: Duration) -> TurnEntry {
    let turn = xxh3_128(format!("{PROGRAM_PREFIX}{:016x} {name}", program.0).as_bytes());
    TurnEntry {
        turn: TurnId(turn.max(1)),
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

/// One send of a request to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordedSend {
    /// The start number of the engine.
    pub engine: u32,
    /// Tells this send from the request's other sends to the same engine.
    pub number: SendNumber,
}

/// A random number that identifies a send of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SendNumber(u32);

impl SendNumber {
    /// Creates the number from random bits.
    pub fn from_random(random: u32) -> Self {
        // The highest value marks a failed turn in a run location.
        Self(random >> 1)
    }
}

/// The record of one fact about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossRecord {
    /// The engine with this start number was lost while it ran the request.
    Loss(u32),
    /// The lost engine with this start number has ended.
    End(u32),
    /// The request is sent to an engine.
    Send(RecordedSend),
    /// A send has ended, and its engine was not lost.
    Outcome(RecordedSend),
    /// A request that no program names was answered after this number of engines had been lost.
    Served(u32),
}

impl LossRecord {
    fn name(self) -> String {
        match self {
            // Builds that know only losses read exactly this name.
            Self::Loss(engine) => engine.to_string(),
            Self::End(engine) => format!("{engine} ended"),
            Self::Send(send) => format!("{} sent {}", send.engine, send.number.0),
            Self::Outcome(send) => format!("{} outcome {}", send.engine, send.number.0),
            // Replicas return the greatest number, since all such records have one name.
            Self::Served(_) => "served".to_owned(),
        }
    }

    /// The run location that holds the record. Its part differs for each record, because a replica returns only one
    /// location for each part.
    fn location(self, program: ProgramKey) -> RunLocation {
        let part = xxh3_64(format!("{:016x} {}", program.0, self.name()).as_bytes());
        let (engine, number) = match self {
            Self::Loss(engine) | Self::End(engine) => (engine, 0),
            Self::Send(send) | Self::Outcome(send) => (send.engine, send.number.0),
            Self::Served(losses) => (0, losses),
        };
        RunLocation { engine, part, prompt_tokens: number }
    }

    /// The record that a run location of `program` holds; `None` if it holds none that this build knows.
    fn from_location(program: ProgramKey, location: RunLocation) -> Option<Self> {
        let RunLocation { engine, prompt_tokens, .. } = location;
        let send = RecordedSend { engine, number: SendNumber(prompt_tokens) };
        let served = Self::Served(prompt_tokens);
        let records = [Self::Loss(engine), Self::End(engine), Self::Send(send), Self::Outcome(send), served];
        records.into_iter().find(|record| record.location(program) == location)
    }

    /// The entry that stores the record.
    pub fn entry(self, program: ProgramKey, retention: Duration) -> TurnEntry {
        let name = match self {
            Self::Served(losses) => format!("served {losses}"),
            _ => self.name(),
        };
        location_entry(program, &name, self.location(program), retention)
    }
}

/// What is known about the engines that may have ended under one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineLosses {
    lost: BTreeSet<u32>,
    ended: BTreeSet<u32>,
    sends: BTreeSet<RecordedSend>,
    outcomes: BTreeSet<RecordedSend>,
    /// Number of engines that had been lost when the request was last answered.
    served_after: u32,
}

impl EngineLosses {
    /// The records in the run locations that replicas or gateways return for the program of a request.
    pub fn from_run_locations(program: ProgramKey, locations: &[RunLocation]) -> Self {
        let records = locations.iter().filter_map(|location| LossRecord::from_location(program, *location));
        Self::of_records(&records.collect::<Vec<_>>())
    }

    /// What these records tell.
    pub fn of_records(records: &[LossRecord]) -> Self {
        let mut losses = Self::default();
        records.iter().for_each(|record| losses.add(*record));
        losses
    }

    /// Adds a record. An end and a send of the same engine count once.
    pub fn add(&mut self, record: LossRecord) {
        match record {
            LossRecord::Loss(engine) => drop(self.lost.insert(engine)),
            LossRecord::End(engine) => {
                self.lost.insert(engine);
                self.ended.insert(engine);
            }
            LossRecord::Send(send) => drop(self.sends.insert(send)),
            LossRecord::Outcome(send) => drop(self.outcomes.insert(send)),
            LossRecord::Served(losses) => self.served_after = self.served_after.max(losses),
        }
    }

    /// Adds what another node knows.
    pub fn merge(&mut self, other: &Self) {
        self.lost.extend(&other.lost);
        self.ended.extend(&other.ended);
        self.sends.extend(&other.sends);
        self.outcomes.extend(&other.outcomes);
        self.served_after = self.served_after.max(other.served_after);
    }

    /// Whether no record is known.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// The lost engines, whether they have ended or not.
    pub fn lost(&self) -> &BTreeSet<u32> {
        &self.lost
    }

    /// The engines that were found to have ended.
    pub fn ended(&self) -> &BTreeSet<u32> {
        &self.ended
    }

    /// Number of engines that had been lost when the request was last answered.
    pub fn served_after(&self) -> usize {
        self.served_after as usize
    }

    /// The engines of sends whose outcome is not known, without those that are lost.
    pub fn open_sends(&self) -> BTreeSet<u32> {
        let open = self.sends.difference(&self.outcomes).map(|send| send.engine);
        open.filter(|engine| !self.lost.contains(engine)).collect()
    }

    /// The greatest number of engines that may have ended under the request, as far as these records tell.
    pub fn possible_ends(&self) -> usize {
        self.lost.len() + self.open_sends().len()
    }
}
