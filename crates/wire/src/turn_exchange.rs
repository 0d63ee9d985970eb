//! The requests of gateways to replicas about turns: storing an entry, reading a program's charges, reading a chain.

use crate::length::Length;
use crate::replica_set::Witness;
use crate::turn_entry::{ProgramKey, RunLocation, TurnCharge, TurnEntry, TurnId, TurnRecord};
use deku::prelude::*;

/// Turns of one program or of one page at most.
pub const MAX_TURNS: u32 = 200_000;

/// A record with its turn.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ChainLink {
    /// The turn.
    pub turn: TurnId,
    /// Its record.
    pub record: TurnRecord,
}

/// Stores an entry. Answered by [`crate::RpcBody::Stored`] once it is on disk.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct StoreEntry {
    /// The version of the replica set that the sender has.
    pub set_version: u64,
    /// The entry.
    pub entry: TurnEntry,
}

/// Reads the charges of a program. Answered by [`crate::RpcBody::Stored`].
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReadProgram {
    /// The version of the replica set that the sender has.
    pub set_version: u64,
    /// The program.
    pub program: ProgramKey,
}

/// Reads a turn and the turns that it continues. Answered by [`crate::RpcBody::Chain`].
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReadChain {
    /// The version of the replica set that the sender has.
    pub set_version: u64,
    /// The newest turn of the chain.
    pub turn: TurnId,
}

/// Answers [`StoreEntry`], [`crate::StoreEntries`] and [`ReadProgram`].
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Stored {
    /// Who answers.
    pub witness: Witness,
    #[deku(temp, temp_value = "Length::of(&charges)")]
    length: Length<MAX_TURNS>,
    /// What the program's turns count for, the stored entries included; empty when each entry of the write is settled.
    #[deku(count = "length.get()")]
    pub charges: Vec<TurnCharge>,
    #[deku(temp, temp_value = "Length::of(&places)")]
    places_length: Length<MAX_TURNS>,
    /// Where the program's prompts were read; empty when each entry of the write is settled.
    #[deku(count = "places_length.get()")]
    pub places: Vec<RunLocation>,
}

/// Answers [`ReadChain`].
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Chain {
    /// Who answers.
    pub witness: Witness,
    #[deku(temp, temp_value = "Length::of(&links)")]
    length: Length<MAX_TURNS>,
    /// What is there, newest first, up to the first turn that is missing.
    #[deku(count = "length.get()")]
    pub links: Vec<ChainLink>,
    /// 1 when the newest turn has a record that may not be stored here: its absence proves nothing.
    pub elsewhere: u8,
}
