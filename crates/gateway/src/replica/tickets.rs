//! Tickets that a replica holds for tokens that are reserved ahead. They live as long as its process.

use crate::locks::lock;
use foxnotch_turns::reserve_ahead::TicketBook;
use foxnotch_wire::{RpcBody, TicketRequest};
use std::sync::Mutex;
use std::time::Instant;

/// The tickets, with the clock that they go by.
pub struct ReplicaTickets {
    started_at: Instant,
    book: Mutex<TicketBook>,
}

impl Default for ReplicaTickets {
    fn default() -> Self {
        Self { started_at: Instant::now(), book: Mutex::default() }
    }
}

impl ReplicaTickets {
    /// Answers a gateway.
    pub fn answer(&self, request: TicketRequest) -> RpcBody {
        RpcBody::TicketAnswer(lock(&self.book).answer(request, self.started_at.elapsed()))
    }

    /// Tickets held.
    pub fn held(&self) -> usize {
        lock(&self.book).len()
    }
}
