//! Tickets for tokens that are reserved ahead of a program's next turn.
//!
//! The reservation is an entry on a quorum of replicas, like that of any turn. The reservation's ticket is the right to
//! run a turn under it. One replica, the ticket's holder, stores the ticket in memory and grants it once.

use crate::length::Length;
use crate::turn_exchange::MAX_TURNS;
use crate::{ProgramKey, RunLocation, TurnEntry, TurnId};
use deku::prelude::*;

/// The maximum number of entries in one write. A turn ends with three entries (its record, its settlement, the
/// reservation ahead), and later builds may send a few more.
const MAX_ENTRIES_PER_WRITE: u32 = 8;

/// Requests that a replica store entries of one program. Answered by [`crate::RpcBody::Stored`] once all entries are on
/// disk.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct StoreEntries {
    /// The version of the sender's replica set.
    pub set_version: u64,
    #[deku(temp, temp_value = "Length::of(&entries)")]
    length: Length<MAX_ENTRIES_PER_WRITE>,
    /// The entries, which the replica merges together. All belong to one program, and at most one of them has a record.
    #[deku(count = "length.get()")]
    pub entries: Vec<TurnEntry>,
}

/// The right to send one turn before a quorum has granted its reservation, because a quorum stores one for it.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Ticket {
    /// The reservation's entry, which the turn replaces by its own.
    pub entry: TurnId,
    /// The key under which the holder keeps the ticket: that of the only program whose turns may use it. Tickets of
    /// revocable entries have a key of their own, derived from the program's.
    pub program: ProgramKey,
    /// Number of reserved tokens: the maximum that the turn may generate.
    pub reserved: u32,
    /// The program's budget, in tokens, that the reservation was checked against. A turn that states a smaller budget
    /// is not granted the ticket.
    pub budget: u64,
    /// Number of tokens charged to the budget for the program's other turns when the ticket was created.
    pub other_turns_tokens: u64,
    /// Milliseconds for which the program's entries and the ticket are stored.
    pub retention_ms: u32,
    #[deku(temp, temp_value = "Length::of(&run_locations)")]
    length: Length<MAX_TURNS>,
    /// The run locations of the program's turns that were known when the ticket was created.
    #[deku(count = "length.get()")]
    pub run_locations: Vec<RunLocation>,
}

/// Requests a ticket for a turn of a program.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct TakeTicket {
    /// The key under which the holder keeps the ticket ([`Ticket::program`]).
    pub program: ProgramKey,
    /// A random number that identifies the requesting turn. A repeated request of a turn is answered with the same
    /// ticket.
    pub asker: u64,
    /// Minimum number of tokens that the ticket has to reserve.
    pub min_tokens: u32,
    /// The program's budget, in tokens, as the turn states it.
    pub budget: u64,
}

/// Requests the tickets of some entries, to release the tokens that the entries reserve.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReclaimTickets {
    /// The key under which the holder keeps the tickets ([`Ticket::program`]), or that of their program.
    pub program: ProgramKey,
    /// A random number that identifies the requesting turn. The holder also gives the turn the tickets that the turn
    /// has taken itself.
    pub asker: u64,
    #[deku(temp, temp_value = "Length::of(&entries)")]
    length: Length<MAX_TURNS>,
    /// The program's unsettled entries that are reserved ahead and whose identifiers name this holder.
    #[deku(count = "length.get()")]
    pub entries: Vec<TurnId>,
}

/// A request to the replica that holds tickets. Answered by [`TicketAnswer`].
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum TicketRequest {
    /// Asks the replica to hold a ticket. This request is sent once and without relays, so that a holder that restarted
    /// between two copies of the request does not grant the ticket twice: only one of the two turns could be answered.
    #[deku(id = "0")]
    Deposit(Ticket),
    /// Asks for a ticket for a turn that will run under it.
    #[deku(id = "1")]
    Take(TakeTicket),
    /// Asks for the tickets of some entries, whose reserved tokens the caller then releases.
    #[deku(id = "2")]
    Reclaim(ReclaimTickets),
}

/// The result of [`ReclaimTickets`]. If a requested entry is in neither list, the holder knows no ticket of the entry,
/// or has given the ticket to another caller that releases the tokens.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReclaimedTickets {
    #[deku(temp, temp_value = "Length::of(&given)")]
    given_length: Length<MAX_TURNS>,
    /// Entries whose tickets now belong to the caller.
    #[deku(count = "given_length.get()")]
    pub given: Vec<TurnId>,
    #[deku(temp, temp_value = "Length::of(&in_use)")]
    in_use_length: Length<MAX_TURNS>,
    /// Entries whose tickets were granted to other turns.
    #[deku(count = "in_use_length.get()")]
    pub in_use: Vec<TurnId>,
}

/// Answers [`TicketRequest`].
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum TicketAnswer {
    /// The replica holds the deposited ticket.
    #[deku(id = "0")]
    Held,
    /// The replica rejected the deposited ticket since it already holds too many tickets. The ticket still belongs to
    /// the caller.
    #[deku(id = "1")]
    Refused,
    /// The granted ticket, which now belongs to the caller.
    #[deku(id = "2")]
    Given(Ticket),
    /// The replica holds no ticket that meets the request.
    #[deku(id = "3")]
    NoneHeld,
    /// The result of [`TicketRequest::Reclaim`].
    #[deku(id = "4")]
    Reclaimed(ReclaimedTickets),
}
