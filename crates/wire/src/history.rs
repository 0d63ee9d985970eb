//! The entries of a program's history, and the messages that replicate a history to several nodes.

use crate::length::Length;
use crate::text::Text;
use crate::{BranchId, EngineId, Epoch, NodeId, ProgramId};
use deku::prelude::*;

/// The maximum number of entries in one program's history: enough for 380 turns of two entries each, the program's
/// sub-agents, and a reserve.
pub const MAX_ENTRIES: u32 = 65_536;
/// The maximum number of replicas of one history.
pub const MAX_STORES: u32 = 9;
/// The maximum number of histories in one refill page.
pub const MAX_PAGE_LOGS: u32 = 64;

/// The way in which a call ended.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum Outcome {
    /// The engine sent a complete answer.
    #[deku(id = "0")]
    Done,
    /// No engine started the call.
    #[deku(id = "1")]
    NotRun,
    /// An engine may have started the call, and no answer arrived.
    #[deku(id = "2")]
    MayHaveRun,
    /// The caller cancelled the call.
    #[deku(id = "3")]
    Cancelled,
}

/// Records that a program was opened. This is the first entry of a history.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Opened {
    /// The tenant that owns the program.
    pub tenant: Text,
    /// The instance that the program belongs to.
    pub instance: Text,
    /// The key that the caller opened the program with. A repeated request with this key returns the same program.
    pub key: Text,
    /// Number of tokens that the program and its sub-agents may use.
    pub budget_tokens: u64,
    /// Number of calls that the program and its sub-agents may make.
    pub call_limit: u32,
}

/// Records that a branch was opened for a sub-agent.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct BranchOpened {
    /// The new branch.
    pub branch: BranchId,
    /// The branch that opened the new branch.
    pub parent: BranchId,
    /// The caller's key for the branch. A repeated request with this key returns the same branch.
    pub key: Text,
    /// Number of tokens that the branch may use, within its parent's budget.
    pub budget_tokens: u64,
}

/// Records the intent to run a call on an engine, before the call is sent.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Dispatched {
    /// The branch of the call.
    pub branch: BranchId,
    /// The position of the call in its branch, from 0.
    pub sequence: u32,
    /// The number of this dispatch among the dispatches of the call, from 0.
    pub attempt: u32,
    /// The engine that the call is sent to.
    pub engine: EngineId,
    /// Number of reserved tokens: the maximum that the call can use.
    pub reserved_tokens: u64,
    /// The maximum length of the answer, in tokens.
    pub maximum_output_tokens: u32,
    /// 1 when the call may run more than once, else 0.
    pub repeatable: u8,
    /// The time at which the caller stops waiting for the answer, in milliseconds since the Unix epoch.
    pub deadline: u64,
    /// The latest time at which the call may be sent to the engine, in milliseconds since the Unix epoch. After this
    /// time, a new owner of the program knows that the previous owner can no longer start the call.
    pub start_by: u64,
    /// The input of the call, which becomes part of the conversation. Empty for an attempt after the first.
    pub input: Text,
}

/// Records the end of a call.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Answered {
    /// The branch of the call.
    pub branch: BranchId,
    /// The position of the call in its branch, from 0.
    pub sequence: u32,
    /// How the call ended.
    pub outcome: Outcome,
    /// Number of tokens charged to the budget in place of the reservation.
    pub charged_tokens: u64,
    /// The answer; empty unless the outcome is [`Outcome::Done`].
    pub output: Text,
}

/// Records that a branch, or with branch 0 the whole program, has ended.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Closed {
    /// The branch that ended.
    pub branch: BranchId,
}

/// One entry of a program's history.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum Entry {
    /// The program was opened.
    #[deku(id = "0")]
    Opened(Opened),
    /// A branch was opened for a sub-agent.
    #[deku(id = "1")]
    BranchOpened(BranchOpened),
    /// A call is about to be sent to an engine.
    #[deku(id = "2")]
    Dispatched(Dispatched),
    /// A call ended.
    #[deku(id = "3")]
    Answered(Answered),
    /// A branch or the program ended.
    #[deku(id = "4")]
    Closed(Closed),
}

/// Asks a replica to promise that it will reject messages of lower epochs. Answered by [`Promise`].
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Prepare {
    /// The program that the sender wants to own.
    pub program: ProgramId,
    /// The epoch that the replica is asked to promise.
    pub epoch: Epoch,
}

/// A replica's copy of one history.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReplicaLog {
    /// The program that the history belongs to.
    pub program: ProgramId,
    /// The highest epoch that the replica has promised; it rejects messages of lower epochs.
    pub promised: Epoch,
    /// The epoch of the owner that wrote to this copy last.
    pub accepted: Epoch,
    #[deku(temp, temp_value = "Length::of(&entries)")]
    length: Length<MAX_ENTRIES>,
    /// The entries, oldest first.
    #[deku(count = "length.get()")]
    pub entries: Vec<Entry>,
}

/// Answers [`Prepare`].
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Promise {
    /// The epoch of the [`Prepare`]. The replica has promised this epoch if `log.promised` equals it.
    pub epoch: Epoch,
    /// Identity of the replica's disk.
    pub store: u64,
    /// The replica's copy of the history; without entries when the replica rejected the epoch.
    pub log: ReplicaLog,
}

/// The disk that a node believes a replica to have. An [`Accept`] lists the disks whose votes its owner counts. A
/// replica that knows of a newer disk rejects the [`Accept`].
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct KnownStore {
    /// Identifier of the node that runs the replica.
    pub node: NodeId,
    /// Identity of the replica's disk.
    pub store: u64,
}

/// Appends entries to a replica's copy of a history. Answered by [`AcceptReply`].
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Accept {
    /// The program whose history is extended.
    pub program: ProgramId,
    /// The epoch under which the owner writes.
    pub epoch: Epoch,
    /// The index of the first of `entries`. The replica removes its entries from this index on, unless its copy was
    /// written by the same epoch and already contains `entries`.
    pub from_index: u32,
    /// A number that the answer repeats. The answer proves that the owner's epoch was still valid after the owner sent
    /// this message.
    pub round: u32,
    /// 1 when the replica's entries before `from_index` are known to equal the owner's, so that the replica may switch
    /// to this epoch there; else 0.
    pub starts_epoch: u8,
    #[deku(temp, temp_value = "Length::of(&stores)")]
    store_length: Length<MAX_STORES>,
    /// The disks whose votes the owner counts.
    #[deku(count = "store_length.get()")]
    pub stores: Vec<KnownStore>,
    #[deku(temp, temp_value = "Length::of(&entries)")]
    length: Length<MAX_ENTRIES>,
    /// The entries to append.
    #[deku(count = "length.get()")]
    pub entries: Vec<Entry>,
}

/// The result of an [`Accept`].
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum AcceptStatus {
    /// The first [`AcceptReply::length`] entries are on the replica's disk.
    #[deku(id = "0")]
    Stored,
    /// The replica has promised a higher epoch, or the owner counts a vote from a disk that has been lost.
    #[deku(id = "1")]
    Fenced,
    /// The entries cannot be appended: some are missing between the last entry on disk and [`Accept::from_index`], or
    /// the entries on disk are of another epoch. [`AcceptReply::length`] is the number of entries on disk in the first
    /// case, 0 in the second.
    #[deku(id = "2")]
    Gap,
    /// The replica's disk is full, or the replica is still copying histories from other replicas.
    #[deku(id = "3")]
    Unavailable,
}

/// Answers [`Accept`].
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct AcceptReply {
    /// The program of the [`Accept`].
    pub program: ProgramId,
    /// The epoch of the [`Accept`].
    pub epoch: Epoch,
    /// The round of the [`Accept`].
    pub round: u32,
    /// Whether the entries are on disk, or why not.
    pub status: AcceptStatus,
    /// Number of entries on disk; see [`AcceptStatus`].
    pub length: u32,
    /// The highest epoch that the replica has promised.
    pub promised: Epoch,
}

/// Requests a page of the receiver's copies of histories, for a replica with an empty disk. From then on, the receiver
/// rejects owners that count votes of the lost disk.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct RefillRequest {
    /// Identity of the requesting replica's new disk.
    pub store: u64,
    /// 1 for the first page, else 0.
    pub first: u8,
    /// The page starts with the first program above this identifier; ignored for the first page.
    pub after: ProgramId,
}

/// Answers [`RefillRequest`].
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct RefillPage {
    /// Identity of the requesting replica's new disk.
    pub store: u64,
    /// 1 on the last page, else 0.
    pub last: u8,
    #[deku(temp, temp_value = "Length::of(&logs)")]
    length: Length<MAX_PAGE_LOGS>,
    /// Copies of histories, in ascending order of their program's identifier.
    #[deku(count = "length.get()")]
    pub logs: Vec<ReplicaLog>,
}
