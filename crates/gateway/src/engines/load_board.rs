//! What other gateways have under way at the engines, as far as they tell.
//!
//! Each gateway tells a few others at a time, so the cost a node does not grow with their number. From those that were
//! heard lately the load of all is estimated.

use crate::locks::lock;
use foxnotch_wire::{EngineLoad, NodeId};
use std::collections::HashMap;
use std::sync::Mutex;
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
        lock(&self.told).insert(from, told);
    }

    /// What `others` gateways have under way, estimated from those that were heard lately.
    pub fn estimate(&self, others: usize) -> LoadEstimate {
        let mut told = lock(&self.told);
        told.retain(|_, told| told.at.elapsed() < VALID_FOR);
        let mut sums: HashMap<u32, u32> = HashMap::new();
        for (engine, count) in told.values().flat_map(|told| &told.loads) {
            *sums.entry(*engine).or_default() += u32::from(*count);
        }
        let scale = others.max(told.len()) as f64 / told.len().max(1) as f64;
        LoadEstimate { sums, scale }
    }
}

/// What other gateways have under way at one moment, for the choice of an engine.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    sums: HashMap<u32, u32>,
    /// What the gateways that were heard stand for.
    scale: f64,
}

impl LoadEstimate {
    /// Requests under way at an engine.
    pub fn under_way(&self, engine: u32) -> f64 {
        f64::from(self.sums.get(&engine).copied().unwrap_or(0)) * self.scale
    }
}
