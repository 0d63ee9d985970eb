//! Replicas pull missing entries from each other: first a list of marks ([`TurnMark`]), which summarize the turns of a
//! replica, then the entries themselves.

use crate::length::Length;
use crate::replica_set::{DiskIdentity, ReplicaReport, ReplicaSet};
use crate::turn_entry::{TurnEntry, TurnId};
use crate::turn_exchange::MAX_TURNS;
use deku::prelude::*;

/// Summarizes what a replica holds of one turn.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct TurnMark {
    /// The turn that is summarized.
    pub turn: TurnId,
    /// 1 when the turn is settled, else 0.
    pub settled: u8,
    /// Where the turn's record is: [`RECORD_UNKNOWN`], [`RECORD_HERE`] or [`RECORD_ELSEWHERE`].
    pub recorded: u8,
}

/// [`TurnMark::recorded`] of a turn for which the replica knows no record.
pub const RECORD_UNKNOWN: u8 = 0;

/// [`TurnMark::recorded`] of a turn whose record the replica stores.
pub const RECORD_HERE: u8 = 1;

/// [`TurnMark::recorded`] of a turn whose record other replicas store, in the regions that the record is restricted to.
pub const RECORD_ELSEWHERE: u8 = 2;

/// Sends the caller's replica set to a replica and requests a mark for each turn that the replica holds. Answered by
/// [`crate::RpcBody::Marks`].
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ListMarks {
    /// The calling replica and its disk.
    pub own: DiskIdentity,
    /// The newest replica set that the caller knows.
    pub set: ReplicaSet,
}

/// Answers [`ListMarks`].
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Marks {
    /// The answering replica, its disk, and the other replicas' disks that it knows.
    pub report: ReplicaReport,
    /// The newest replica set that the answering replica knows.
    pub set: ReplicaSet,
    /// The version of the replica set that the answering replica is synced to.
    pub synced: u64,
    /// 1 when the answering replica, member or not, holds every write that it ever acknowledged; else 0.
    pub complete: u8,
    #[deku(temp, temp_value = "Length::of(&marks)")]
    length: Length<MAX_TURNS>,
    /// One mark for each turn that the answering replica holds.
    #[deku(count = "length.get()")]
    pub marks: Vec<TurnMark>,
}

/// Requests the entries of some turns. Answered by [`crate::RpcBody::Entries`] with as many entries as fit into one
/// message.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct FetchEntries {
    /// Hash of the name of the caller's zone. Records restricted to regions without this zone are sent without text.
    pub zone: u32,
    #[deku(temp, temp_value = "Length::of(&turns)")]
    length: Length<MAX_TURNS>,
    /// The turns whose entries are requested.
    #[deku(count = "length.get()")]
    pub turns: Vec<TurnId>,
}

/// Answers [`FetchEntries`].
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Entries {
    #[deku(temp, temp_value = "Length::of(&entries)")]
    length: Length<MAX_TURNS>,
    /// Some or all of the requested entries.
    #[deku(count = "length.get()")]
    pub entries: Vec<TurnEntry>,
}
