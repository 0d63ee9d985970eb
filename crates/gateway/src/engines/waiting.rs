//! The order in which requests wait at this gateway for a place at an engine.
//!
//! A wait here beats one in an engine's queue: the engine would let the more urgent in by putting others back, and what
//! they had computed would be lost.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// The place of a request among those that wait: the more urgent first, then the one that came first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: u8,
    arrived_at: Instant,
    number: u64,
}

#[derive(Debug, Default)]
struct Waiting {
    places: HashMap<String, BTreeSet<Place>>,
    next_number: u64,
}

/// All requests that wait, by service.
#[derive(Debug, Default)]
pub struct WaitingLine {
    waiting: Mutex<Waiting>,
}

/// A request in the line; it leaves when this is dropped.
#[derive(Debug)]
pub struct Ticket<'a> {
    line: &'a WaitingLine,
    service: String,
    place: Place,
}

impl WaitingLine {
    /// Joins the line of a service.
    pub fn join(&self, service: &str, priority: u8, arrived_at: Instant) -> Ticket<'_> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.next_number += 1;
        let place = Place { priority, arrived_at, number: waiting.next_number };
        waiting.places.entry(service.to_owned()).or_default().insert(place);
        Ticket { line: self, service: service.to_owned(), place }
    }

    /// Whether somebody at least as urgent waits for a service.
    pub fn has_before(&self, service: &str, priority: u8) -> bool {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let first = waiting.places.get(service).and_then(BTreeSet::first);
        first.is_some_and(|first| first.priority <= priority)
    }
}

impl Ticket<'_> {
    /// Whether nobody is before.
    pub fn is_first(&self) -> bool {
        let waiting = self.line.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.places.get(&self.service).and_then(BTreeSet::first) == Some(&self.place)
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut waiting = self.line.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(places) = waiting.places.get_mut(&self.service) {
            places.remove(&self.place);
            if places.is_empty() {
                waiting.places.remove(&self.service);
            }
        }
    }
}
