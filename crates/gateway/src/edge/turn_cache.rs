//! Turns that this gateway has seen lately: most chains are continued where they began.

use crate::locks::lock;
use foxnotch_wire::{TurnId, TurnRecord};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

#[derive(Debug, Default)]
struct Cached {
    records: HashMap<TurnId, Arc<TurnRecord>>,
    order: VecDeque<TurnId>,
    bytes: usize,
}

/// Records within a bound of bytes, the oldest dropped first.
#[derive(Debug)]
pub struct TurnCache {
    cached: Mutex<Cached>,
    limit: usize,
}

fn size(record: &TurnRecord) -> usize {
    record.text_bytes() + 128
}

impl TurnCache {
    /// A cache of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { cached: Mutex::default(), limit }
    }

    /// Adds a record.
    pub fn insert(&self, turn: TurnId, record: Arc<TurnRecord>) {
        let mut cached = lock(&self.cached);
        let added = size(&record);
        if cached.records.insert(turn, record).is_some() {
            return;
        }
        cached.bytes += added;
        cached.order.push_back(turn);
        while cached.bytes > self.limit {
            let Some(oldest) = cached.order.pop_front() else { return };
            if let Some(record) = cached.records.remove(&oldest) {
                cached.bytes -= size(&record);
            }
        }
    }

    /// The record of a turn.
    pub fn get(&self, turn: TurnId) -> Option<Arc<TurnRecord>> {
        lock(&self.cached).records.get(&turn).cloned()
    }
}
