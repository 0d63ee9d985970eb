//! What other gateways have under way at the engines, as far as they tell.
//!
//! Each gateway tells a few others at a time, so the cost a node does not grow with their number. From those that were
//! heard lately the load of all is estimated.

use foxnotch_wire::{EngineLoad, NodeId};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Time after which what a gateway told is no longer believed.
const VALID_FOR: Duration = Duration::from_millis(1200);

/// An engine's number in messages about load.
pub fn engine_number(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

#[derive(Clone, Debug)]
struct Told {
    at: Instant,
    loads: HashMap<u32, u16>,
}

/// What was told.
#[derive(Debug, Default)]
pub struct LoadBoard {
    told: Mutex<HashMap<NodeId, Told>>,
}

impl LoadBoard {
    /// Takes what a gateway tells; it replaces what it told before.
    pub fn take(&self, from: NodeId, loads: &[EngineLoad]) {
        let loads = loads.iter().map(|load| (load.engine, load.under_way)).collect();
        let told = Told { at: Instant::now(), loads };
        self.told.lock().unwrap_or_else(PoisonError::into_inner).insert(from, told);
    }

    /// Requests of other gateways under way at an engine, estimated for `others` gateways from those heard lately.
    pub fn under_way(&self, engine: u32, others: usize) -> f64 {
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        told.retain(|_, told| told.at.elapsed() < VALID_FOR);
        if told.is_empty() {
            return 0.0;
        }
        let sum: u32 = told.values().filter_map(|told| told.loads.get(&engine)).map(|count| u32::from(*count)).sum();
        let scale = (others.max(told.len()) as f64) / told.len() as f64;
        f64::from(sum) * scale
    }
}
