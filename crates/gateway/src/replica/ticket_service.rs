//! Tickets that a replica holds for tokens that were reserved ahead. They are in memory only: when a ticket is lost
//! with the process, gateways release its tokens once a turn needs them.

use crate::locks::lock;
use foxnotch_turns::ticket_book::TicketBook;
use foxnotch_wire::{RpcBody, TicketRequest};
use std::sync::Mutex;
use std::time::Instant;

/// The tickets, and the start of the clock by which they expire.
pub struct TicketService {
    started_at: Instant,
    tickets: Mutex<TicketBook>,
}

impl Default for TicketService {
    fn default() -> Self {
        Self { started_at: Instant::now(), tickets: Mutex::default() }
    }
}

impl TicketService {
    /// Answers a gateway's request to deposit, take or reclaim tickets.
    pub fn answer(&self, request: TicketRequest) -> RpcBody {
        RpcBody::TicketAnswer(lock(&self.tickets).answer(request, self.started_at.elapsed()))
    }

    /// The number of tickets that this replica holds.
    pub fn ticket_count(&self) -> usize {
        lock(&self.tickets).len()
    }
}
