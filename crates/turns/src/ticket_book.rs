//! The tickets that one replica, their holder, holds for tokens reserved ahead.
//!
//! No I/O and no clock: callers pass the time since the holder's start. The holder issues each ticket to one asker,
//! which is a turn. It issues the ticket again only to the same asker, since the first reply may have been lost.

use crate::ahead_entry::revocable_ticket_key;
use crate::reserve_ahead::run_locations_for_ticket;
use foxnotch_wire::{
    ProgramKey, ReclaimTickets, ReclaimedTickets, TakeTicket, Ticket, TicketAnswer, TicketRequest, TurnId,
};
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of tickets held for one program: programs typically run at most this many sub-agents in parallel.
const MAX_TICKETS_PER_PROGRAM: usize = 8;
/// Number of held tickets, or of remembered issued tickets, at which a holder accepts no further ticket. Each ticket
/// takes up to some 800 bytes, including map entries and run locations. So held and issued tickets together take at
/// most 32 MB on a machine with 100 MB.
const MAX_TICKETS: usize = 20_000;
/// Time for which an issued ticket is remembered. After that its state is unknown to the holder. If its entry is
/// revocable and not claimed by then, gateways release it; a refusal that depends on an exclusive entry is answered
/// with 503.
const ISSUED_TICKET_RETENTION: Duration = Duration::from_secs(30);
/// Interval between two removals of expired tickets.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// A ticket that no turn has taken yet.
#[derive(Clone, Debug)]
struct HeldTicket {
    ticket: Ticket,
    /// When the holder drops the ticket, as time since the holder's start.
    expires_at: Duration,
}

/// The purpose for which a ticket was issued: to run a turn, or to release the ticket's reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Turn,
    Release,
}

/// A ticket that was issued, remembered so that a repeated request gets the same reply.
#[derive(Clone, Debug)]
struct IssuedTicket {
    ticket: Ticket,
    /// The random number that identifies the asker, see [`TakeTicket::asker`].
    asker: u64,
    purpose: Purpose,
    /// When the holder issued the ticket, as time since the holder's start.
    issued_at: Duration,
}

/// The tickets of one holder. The tickets are only in memory and are lost when the holder's process ends.
#[derive(Clone, Debug, Default)]
pub struct TicketBook {
    held: HashMap<ProgramKey, Vec<HeldTicket>>,
    /// Number of tickets in `held`.
    count: usize,
    issued: HashMap<TurnId, IssuedTicket>,
    /// For each asker that took a ticket for a turn, the entry of the last such ticket.
    taken: HashMap<u64, TurnId>,
    /// When expired tickets were last removed: time since the holder's start.
    swept_at: Duration,
}

impl TicketBook {
    /// Handles a request. `now` is the time since the holder's start.
    pub fn answer(&mut self, request: TicketRequest, now: Duration) -> TicketAnswer {
        self.sweep(now);
        match request {
            TicketRequest::Deposit(ticket) => self.deposit(ticket, now),
            TicketRequest::Take(request) => self.take(&request, now),
            TicketRequest::Reclaim(request) => TicketAnswer::Reclaimed(self.reclaim(&request, now)),
        }
    }

    /// Number of tickets that have not been issued yet.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no ticket is held.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds a ticket, unless the holder or the program has too many. A repeated deposit is confirmed without effect.
    fn deposit(&mut self, mut ticket: Ticket, now: Duration) -> TicketAnswer {
        let program_tickets = self.held.get(&ticket.program).map_or(&[][..], Vec::as_slice);
        let is_duplicate = program_tickets.iter().any(|held| held.ticket.entry == ticket.entry);
        if is_duplicate || self.issued.contains_key(&ticket.entry) {
            return TicketAnswer::Held;
        }
        let is_full = self.count >= MAX_TICKETS || self.issued.len() >= MAX_TICKETS;
        if is_full || program_tickets.len() >= MAX_TICKETS_PER_PROGRAM {
            return TicketAnswer::Refused;
        }
        // Bounds the memory of the ticket, however many run locations the gateway sent.
        ticket.run_locations = run_locations_for_ticket(&ticket.run_locations);
        let expires_at = now + Duration::from_millis(ticket.retention_ms.into());
        self.held.entry(ticket.program).or_default().push(HeldTicket { ticket, expires_at });
        self.count += 1;
        TicketAnswer::Held
    }

    /// Issues the smallest ticket that reserves enough tokens for a turn. A ticket whose budget is larger than the
    /// budget that the turn states is not issued. A repeated request of the same asker gets the same ticket.
    fn take(&mut self, request: &TakeTicket, now: Duration) -> TicketAnswer {
        let earlier = self.taken.get(&request.asker).and_then(|entry| self.issued.get(entry));
        if let Some(known) = earlier.filter(|known| known.purpose == Purpose::Turn) {
            return TicketAnswer::Given(known.ticket.clone());
        }
        let is_sufficient = |ticket: &Ticket| ticket.reserved >= request.min_tokens && ticket.budget <= request.budget;
        let held = self.held.get(&request.program).into_iter().flatten();
        let smallest = held.filter(|held| is_sufficient(&held.ticket)).min_by_key(|held| held.ticket.reserved);
        let Some(entry) = smallest.map(|held| held.ticket.entry) else { return TicketAnswer::NoneHeld };
        let given = self.issue((request.program, entry), request.asker, Purpose::Turn, now);
        given.map_or(TicketAnswer::NoneHeld, TicketAnswer::Given)
    }

    /// Issues the tickets of the given entries so that the asker can release their reservations. An asker may also
    /// release a ticket that it took itself for a turn. A ticket that another asker took for a turn is reported as in
    /// use. Also looks for the tickets of revocable entries, which gateways of older builds ask for by the program's
    /// own key.
    fn reclaim(&mut self, request: &ReclaimTickets, now: Duration) -> ReclaimedTickets {
        let mut reclaimed = ReclaimedTickets::default();
        for entry in &request.entries {
            match self.issued.get_mut(entry) {
                Some(known) if known.asker == request.asker => {
                    known.purpose = Purpose::Release;
                    reclaimed.given.push(*entry);
                }
                Some(known) if known.purpose == Purpose::Turn => reclaimed.in_use.push(*entry),
                Some(_) => {}
                None => {
                    let keys = [request.program, revocable_ticket_key(request.program)];
                    let given = keys
                        .into_iter()
                        .find_map(|key| self.issue((key, *entry), request.asker, Purpose::Release, now));
                    reclaimed.given.extend(given.map(|ticket| ticket.entry));
                }
            }
        }
        reclaimed
    }

    /// Moves the ticket of an entry from the held to the issued tickets. Returns `None` if the ticket is not held.
    fn issue(
        &mut self,
        (program, entry): (ProgramKey, TurnId),
        asker: u64,
        purpose: Purpose,
        now: Duration,
    ) -> Option<Ticket> {
        let program_tickets = self.held.get_mut(&program)?;
        let index = program_tickets.iter().position(|held| held.ticket.entry == entry)?;
        let ticket = program_tickets.swap_remove(index).ticket;
        if program_tickets.is_empty() {
            self.held.remove(&program);
        }
        self.count -= 1;
        self.issued.insert(entry, IssuedTicket { ticket: ticket.clone(), asker, purpose, issued_at: now });
        if purpose == Purpose::Turn {
            self.taken.insert(asker, entry);
        }
        Some(ticket)
    }

    /// Removes held tickets that have expired, and issued tickets older than [`ISSUED_TICKET_RETENTION`]. Runs at most
    /// once per [`SWEEP_PERIOD`].
    fn sweep(&mut self, now: Duration) {
        if now < self.swept_at + SWEEP_PERIOD {
            return;
        }
        self.swept_at = now;
        self.issued.retain(|_, known| now < known.issued_at + ISSUED_TICKET_RETENTION);
        self.taken.retain(|_, entry| self.issued.contains_key(entry));
        for program_tickets in self.held.values_mut() {
            program_tickets.retain(|held| now < held.expires_at);
        }
        self.held.retain(|_, program_tickets| !program_tickets.is_empty());
        self.count = self.held.values().map(Vec::len).sum();
    }
}
