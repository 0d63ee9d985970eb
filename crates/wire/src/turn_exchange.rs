//! Requests of gateways to replicas: storing an entry, reading a program's charges, reading a chain.

use crate::length::Length;
use crate::replica_set::ReplicaReport;
use crate::turn_entry::{ProgramKey, RunLocation, TurnCharge, TurnEntry, TurnId, TurnRecord};
use deku::prelude::*;

/// The maximum number of items in one list of a message, and so of the turns of one program.
pub const MAX_TURNS: u32 = 200_000;

/// A turn of a chain and its record.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ChainLink {
    /// The turn that the record belongs to.
    pub turn: TurnId,
    /// The turn's input and output, and the turn that it continues.
    pub record: TurnRecord,
}

/// Requests that a replica store an entry. Answered by [`crate::RpcBody::Stored`] once the entry is on disk.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct StoreEntry {
    /// The version of the sender's replica set.
    pub set_version: u64,
    /// The entry, which the replica merges with its stored entry of the same turn.
    pub entry: TurnEntry,
}

/// Requests the charges of a program's turns. Answered by [`crate::RpcBody::Stored`].
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReadProgram {
    /// The version of the sender's replica set.
    pub set_version: u64,
    /// The program whose charges are requested.
    pub program: ProgramKey,
}

/// Requests a turn and the turns that it continues. Answered by [`crate::RpcBody::Chain`].
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReadChain {
    /// The version of the sender's replica set.
    pub set_version: u64,
    /// The newest turn of the chain.
    pub turn: TurnId,
}

/// Answers [`StoreEntry`], [`crate::StoreEntries`] and [`ReadProgram`].
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Stored {
    /// The answering replica, and whether its answer counts.
    pub report: ReplicaReport,
    #[deku(temp, temp_value = "Length::of(&charges)")]
    length: Length<MAX_TURNS>,
    /// The charges of the program's turns, including the stored entries; empty when all entries of the write are
    /// settled.
    #[deku(count = "length.get()")]
    pub charges: Vec<TurnCharge>,
    #[deku(temp, temp_value = "Length::of(&run_locations)")]
    run_locations_length: Length<MAX_TURNS>,
    /// The run locations of the program's turns; empty when all entries of the write are settled.
    #[deku(count = "run_locations_length.get()")]
    pub run_locations: Vec<RunLocation>,
}

/// Answers [`ReadChain`].
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Chain {
    /// The answering replica, and whether its answer counts.
    pub report: ReplicaReport,
    #[deku(temp, temp_value = "Length::of(&links)")]
    length: Length<MAX_TURNS>,
    /// The turns of the chain that the replica stores, newest first, up to the first missing turn.
    #[deku(count = "length.get()")]
    pub links: Vec<ChainLink>,
    /// 1 when the newest turn has a record that the replica may not store, else 0. With 1, an empty chain does not
    /// prove that the turn does not exist.
    pub elsewhere: u8,
}
