//! Caches the records of recent turns: most chains are continued at the gateway where they began.

use crate::locks::lock;
use foxnotch_wire::{TurnId, TurnRecord};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

#[derive(Debug, Default)]
struct CachedRecords {
    records: HashMap<TurnId, Arc<TurnRecord>>,
    /// The cached turns, the oldest first.
    order: VecDeque<TurnId>,
    /// The sum of [`cached_bytes`] of all records.
    bytes: usize,
}

/// Records of turns, up to a limit in bytes. When the limit is exceeded, the records that were inserted first are
/// dropped.
#[derive(Debug)]
pub struct TurnCache {
    cached: Mutex<CachedRecords>,
    limit_bytes: usize,
}

/// The number of bytes by which a record counts towards the limit: the bytes of its text, and 128 for its other fields
/// and for its entry in the cache.
fn cached_bytes(record: &TurnRecord) -> usize {
    record.text_bytes() + 128
}

impl TurnCache {
    /// Creates a cache that holds at most `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self { cached: Mutex::default(), limit_bytes }
    }

    /// Adds a record, and drops the oldest records while the cache exceeds its limit.
    pub fn insert(&self, turn: TurnId, record: Arc<TurnRecord>) {
        let mut cached = lock(&self.cached);
        let added = cached_bytes(&record);
        if cached.records.insert(turn, record).is_some() {
            return;
        }
        cached.bytes += added;
        cached.order.push_back(turn);
        while cached.bytes > self.limit_bytes {
            let Some(oldest) = cached.order.pop_front() else { return };
            if let Some(record) = cached.records.remove(&oldest) {
                cached.bytes -= cached_bytes(&record);
            }
        }
    }

    /// The record of a turn, if it is cached.
    pub fn get(&self, turn: TurnId) -> Option<Arc<TurnRecord>> {
        lock(&self.cached).records.get(&turn).cloned()
    }
}
