//! The entry that a replica stores for one turn: its record, its token reservation, and the engine that ran it.

use crate::content::Content;
use crate::length::Length;
use deku::prelude::*;

/// The maximum number of regions that one record is restricted to. Every replica stores the list of regions with each
/// such turn, so the list has to be small compared to the text. A configuration with more regions is rejected when it
/// is read.
pub const MAX_REGIONS: u32 = 64;

/// Identifies a turn: the hash of the identifier that the caller gave it.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct TurnId(pub u128);

impl std::fmt::Display for TurnId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Identifies a program: the hash of the identifier that the caller gave it.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ProgramKey(pub u64);

/// Identifies a region: the hash of its name.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct RegionId(pub u32);

/// The input and output of a turn that has completed. It is written once and never changed.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct TurnRecord {
    /// The turn that the recorded turn continues; 0 at the start of a chain.
    pub previous: TurnId,
    /// The engine number (the low 32 bits of the hash of the engine's identifier) of the engine that ran the turn. Its
    /// cache probably still contains the prompt.
    pub engine: u32,
    #[deku(temp, temp_value = "Length::of(&regions)")]
    regions_length: Length<MAX_REGIONS>,
    /// The regions in which the record may be stored, as configured when the record was written; empty when it may be
    /// stored everywhere.
    #[deku(count = "regions_length.get()")]
    pub regions: Vec<RegionId>,
    /// The input that the caller sent.
    pub input: Content,
    /// The data of each event of the answer, each followed by a line feed.
    pub output: Content,
}

/// States that a turn has a record, which this replica may not store since the replica is outside of the record's
/// regions.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct RecordElsewhere {
    /// The turn that the recorded turn continues; 0 at the start of a chain.
    pub previous: TurnId,
    #[deku(temp, temp_value = "Length::of(&regions)")]
    regions_length: Length<MAX_REGIONS>,
    /// The regions in which the record is stored.
    #[deku(count = "regions_length.get()")]
    pub regions: Vec<RegionId>,
}

/// The value of [`RunLocation::prompt_tokens`] when the turn failed at the engine, which later turns should avoid.
const FAILED_RUN_PROMPT_TOKENS: u32 = u32::MAX;

/// The engine that a turn was sent to, and the turn's prompt. Later turns of the program prefer the engine since its
/// cache probably still contains the prompt, or avoid it if the turn failed there.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct RunLocation {
    /// The engine number: the low 32 bits of the hash of the engine's identifier.
    pub engine: u32,
    /// Identifier of the last part of the turn's prompt; 0 when the turn failed at the engine.
    pub part: u64,
    /// Number of tokens in the turn's whole prompt; `u32::MAX` when the turn failed at the engine.
    pub prompt_tokens: u32,
}

impl RunLocation {
    /// The location of a turn that failed at the engine with this engine number.
    pub fn failure_at(engine: u32) -> Self {
        Self { engine, part: 0, prompt_tokens: FAILED_RUN_PROMPT_TOKENS }
    }

    /// Whether the turn failed at the engine.
    pub fn is_failure(&self) -> bool {
        self.prompt_tokens == FAILED_RUN_PROMPT_TOKENS
    }
}

/// The value of [`TurnEntry::used`] until the turn is settled.
pub const NOT_SETTLED: u32 = u32::MAX;

/// The information that a replica stores about one turn. Replicas merge two states of an entry so that no settlement or
/// record is lost.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct TurnEntry {
    /// The turn that the entry describes.
    pub turn: TurnId,
    /// The program that the turn belongs to.
    pub program: ProgramKey,
    /// Milliseconds for which the program's entries are stored after this entry is written.
    pub retention_ms: u32,
    /// Number of reserved tokens: the maximum that the turn may generate.
    pub reserved: u32,
    /// Number of tokens sent to the caller, or [`NOT_SETTLED`].
    pub used: u32,
    #[deku(temp, temp_value = "u8::from(run_location.is_some())")]
    has_run_location: u8,
    /// The engine that the turn was sent to. `None` before an engine has begun the turn, or when the record names the
    /// engine.
    #[deku(cond = "*has_run_location == 1")]
    pub run_location: Option<RunLocation>,
    #[deku(temp, temp_value = "u8::from(elsewhere.is_some())")]
    has_elsewhere: u8,
    /// Present when the turn has a record that may not be stored on this replica.
    #[deku(cond = "*has_elsewhere == 1")]
    pub elsewhere: Option<RecordElsewhere>,
    #[deku(temp, temp_value = "Length::of(&record)")]
    records: Length<1>,
    /// The record, as a list of at most one item. The list is empty until the turn has completed, and when the record
    /// may not be stored on this replica.
    #[deku(count = "records.get()")]
    pub record: Vec<TurnRecord>,
}

impl TurnRecord {
    /// Total length of input and output, in bytes.
    pub fn text_bytes(&self) -> usize {
        self.input.bytes.len() + self.output.bytes.len()
    }
}

impl TurnEntry {
    /// Total length of the record's input and output, in bytes; 0 without a record.
    pub fn text_bytes(&self) -> usize {
        self.record.iter().map(TurnRecord::text_bytes).sum()
    }

    /// Number of tokens charged to the program's budget for the turn: the used tokens if the turn is settled, otherwise
    /// the reserved ones.
    pub fn charged_tokens(&self) -> u32 {
        if self.used == NOT_SETTLED {
            self.reserved
        } else {
            self.used
        }
    }

    /// The regions that the record is restricted to, whether the record is stored here or elsewhere. Empty when there
    /// is no record, or when the record is unrestricted.
    pub fn regions(&self) -> &[RegionId] {
        let of_record = self.record.first().map(|record| record.regions.as_slice());
        let regions = of_record.or(self.elsewhere.as_ref().map(|elsewhere| elsewhere.regions.as_slice()));
        regions.unwrap_or_default()
    }

    /// The turn that this turn continues, whether the record is stored here or elsewhere. `None` without a record.
    pub fn previous(&self) -> Option<TurnId> {
        let of_record = self.record.first().map(|record| record.previous);
        of_record.or(self.elsewhere.as_ref().map(|elsewhere| elsewhere.previous))
    }

    /// A copy of the entry for a replica outside of the record's regions, with [`RecordElsewhere`] in place of the
    /// record.
    pub fn without_text(&self) -> Self {
        let elsewhere = self
            .record
            .first()
            .map(|record| RecordElsewhere { previous: record.previous, regions: record.regions.clone() });
        Self { elsewhere: elsewhere.or_else(|| self.elsewhere.clone()), record: Vec::new(), ..*self }
    }
}

/// The regions that the text in a write is restricted to; empty when the write contains no text or unrestricted text.
/// At most one entry of a write contains text.
pub fn text_regions(entries: &[TurnEntry]) -> &[RegionId] {
    let mut with_text = entries.iter().filter(|entry| !entry.record.is_empty());
    let regions = with_text.next().map(TurnEntry::regions);
    debug_assert!(with_text.next().is_none(), "more than one entry of a write contains text");
    regions.unwrap_or_default()
}

/// The number of tokens charged to a program's budget for one of its turns.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct TurnCharge {
    /// The turn that the tokens are charged for.
    pub turn: TurnId,
    /// Number of tokens: the used ones if the turn is settled, otherwise the reserved ones.
    pub tokens: u32,
    /// 1 when the turn is settled, else 0.
    pub settled: u8,
}
