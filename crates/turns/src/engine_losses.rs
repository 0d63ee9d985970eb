//! Records of a request's sends under which engines may have ended, over all attempts of the request.
//!
//! The records have the form of entries of a program that belongs to the request. Other gateways hold the records of
//! sends under way in memory; the replicas store those of requests that have lost a send. Replicas of all builds store
//! such entries and return them with the program's run locations, so any gateway can count the sends, also after
//! gateways and replicas have started again.
//!
//! A record names an engine by its start number: a hash of the engine's identifier and of the time of the start, or the
//! engine number where that time is unknown.
//!
//! A *send* is recorded before the request is sent to an engine. An *outcome* states that the engine has answered or
//! refused the request, or that it was not sent. A *lost send* ended without either. A send with neither record may be
//! lost too, because the gateway that made it may have been killed. Older builds record a *loss* or an *end* of an
//! engine, which counts as one lost send; this build records the loss as well, because older builds read no lost sends.

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
    /// The start number of the engine, or the number of the send before an engine is chosen.
    pub engine: u32,
    /// Tells this send from the request's other sends.
    pub number: SendNumber,
}

impl RecordedSend {
    /// A send for which no engine is chosen yet. Older builds count engines, so each such send names another.
    pub fn before_choice(number: SendNumber) -> Self {
        Self { engine: number.0, number }
    }

    /// The run location by which gateways tell each other of a send of the request with the records of `program`.
    pub fn listed_location(self, program: ProgramKey) -> RunLocation {
        RunLocation { engine: self.engine, part: program.0, prompt_tokens: self.number.0 }
    }

    /// The send that such a run location names, with the program of its request.
    pub fn from_listed_location(location: RunLocation) -> (ProgramKey, Self) {
        let RunLocation { engine, part, prompt_tokens } = location;
        (ProgramKey(part), Self { engine, number: SendNumber(prompt_tokens) })
    }
}

/// A random number that identifies a send of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SendNumber(u32);

impl SendNumber {
    /// Creates the number from random bits.
    pub fn from_random(random: u32) -> Self {
        // The highest value marks a failed turn in a run location, and 0 a loss without a number.
        Self((random >> 1).max(1))
    }
}

/// The record of one fact about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossRecord {
    /// The engine with this start number was lost while it ran the request.
    Loss(u32),
    /// The lost engine with this start number has ended. Only older builds write it.
    End(u32),
    /// The request is sent to an engine.
    Send(RecordedSend),
    /// The engine has answered or refused the request, or the request was not sent.
    Outcome(RecordedSend),
    /// The send ended without an answer or a refusal.
    LostSend(RecordedSend),
}

impl LossRecord {
    fn name(self) -> String {
        match self {
            // Builds that know only losses read exactly this name.
            Self::Loss(engine) => engine.to_string(),
            Self::End(engine) => format!("{engine} ended"),
            Self::Send(send) => format!("{} sent {}", send.engine, send.number.0),
            Self::Outcome(send) => format!("{} outcome {}", send.engine, send.number.0),
            Self::LostSend(send) => format!("{} lost {}", send.engine, send.number.0),
        }
    }

    /// The run location that holds the record. Its part differs for each record, because a replica returns only one
    /// location for each part.
    fn location(self, program: ProgramKey) -> RunLocation {
        let part = xxh3_64(format!("{:016x} {}", program.0, self.name()).as_bytes());
        let (engine, number) = match self {
            Self::Loss(engine) | Self::End(engine) => (engine, 0),
            Self::Send(send) | Self::Outcome(send) | Self::LostSend(send) => (send.engine, send.number.0),
        };
        RunLocation { engine, part, prompt_tokens: number }
    }

    /// The record that a run location of `program` holds; `None` if it holds none that this build knows.
    fn from_location(program: ProgramKey, location: RunLocation) -> Option<Self> {
        let RunLocation { engine, prompt_tokens, .. } = location;
        let send = RecordedSend { engine, number: SendNumber(prompt_tokens) };
        let records =
            [Self::Loss(engine), Self::End(engine), Self::Send(send), Self::Outcome(send), Self::LostSend(send)];
        records.into_iter().find(|record| record.location(program) == location)
    }

    /// The entry that stores the record.
    pub fn entry(self, program: ProgramKey, retention: Duration) -> TurnEntry {
        location_entry(program, &self.name(), self.location(program), retention)
    }
}

/// What is known about the sends of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineLosses {
    /// Engines that were lost, by the records that older builds read.
    lost_engines: BTreeSet<u32>,
    sends: BTreeSet<RecordedSend>,
    outcomes: BTreeSet<RecordedSend>,
    lost_sends: BTreeSet<RecordedSend>,
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

    /// Adds a record.
    pub fn add(&mut self, record: LossRecord) {
        match record {
            LossRecord::Loss(engine) | LossRecord::End(engine) => drop(self.lost_engines.insert(engine)),
            LossRecord::Send(send) => drop(self.sends.insert(send)),
            LossRecord::Outcome(send) => drop(self.outcomes.insert(send)),
            LossRecord::LostSend(send) => drop(self.lost_sends.insert(send)),
        }
    }

    /// Adds what another node knows. Returns whether any of it was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.record_count();
        self.lost_engines.extend(&other.lost_engines);
        self.sends.extend(&other.sends);
        self.outcomes.extend(&other.outcomes);
        self.lost_sends.extend(&other.lost_sends);
        self.record_count() > before
    }

    fn record_count(&self) -> usize {
        self.lost_engines.len() + self.sends.len() + self.outcomes.len() + self.lost_sends.len()
    }

    /// The run locations that hold the lost sends and the sends without an outcome.
    pub fn run_locations(&self, program: ProgramKey) -> Vec<RunLocation> {
        let engines = self.lost_engines.iter().map(|engine| LossRecord::Loss(*engine));
        let lost = self.lost_sends.iter().map(|send| LossRecord::LostSend(*send));
        let open = self.open_sends().map(LossRecord::Send);
        engines.chain(lost).chain(open).map(|record| record.location(program)).collect()
    }

    /// These records without the sends that are under way.
    pub fn without_open_sends(&self) -> Self {
        Self { sends: BTreeSet::new(), outcomes: BTreeSet::new(), ..self.clone() }
    }

    /// Whether no send was lost, and the outcome of every send is known.
    pub fn is_settled(&self) -> bool {
        self.lost().next().is_none() && self.open_sends().next().is_none()
    }

    /// The lost sends. One that only an older build recorded has no number.
    pub fn lost(&self) -> impl Iterator<Item = LostSend> + '_ {
        let has_send = |engine: u32| self.lost_sends.iter().any(|send| send.engine == engine);
        let without_send = self.lost_engines.iter().copied().filter(move |engine| !has_send(*engine));
        let recorded = self.lost_sends.iter().map(|send| LostSend { engine: send.engine, number: Some(send.number) });
        recorded.chain(without_send.map(|engine| LostSend { engine, number: None }))
    }

    /// The sends whose outcome is not known. A send is recorded before its engine is chosen, and lost at that engine, so
    /// its number identifies it.
    pub fn open_sends(&self) -> impl Iterator<Item = RecordedSend> + '_ {
        let is_lost = |send: &RecordedSend| self.lost_sends.iter().any(|lost| lost.number == send.number);
        self.sends.difference(&self.outcomes).filter(move |send| !is_lost(send)).copied()
    }
}

/// A send of a request that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LostSend {
    /// The start number of the engine.
    pub engine: u32,
    /// The number of the send; `None` if only the loss of the engine is recorded.
    pub number: Option<SendNumber>,
}

impl LostSend {
    /// The run location by which gateways tell each other of the lost send of the request with these records.
    pub fn listed_location(self, program: ProgramKey) -> RunLocation {
        let prompt_tokens = self.number.map_or(0, |number| number.0);
        RunLocation { engine: self.engine, part: program.0, prompt_tokens }
    }

    /// The lost send that such a run location names, with the program of its request.
    pub fn from_listed_location(location: RunLocation) -> (ProgramKey, LossRecord) {
        let RunLocation { engine, part, prompt_tokens } = location;
        let record = match prompt_tokens {
            0 => LossRecord::Loss(engine),
            number => LossRecord::LostSend(RecordedSend { engine, number: SendNumber(number) }),
        };
        (ProgramKey(part), record)
    }
}
