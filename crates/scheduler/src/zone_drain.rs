//! Zones that an operator drains: their engines get no new work.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The zones that are drained.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ZoneDrains {
    zones: BTreeSet<String>,
}

impl ZoneDrains {
    /// Drains of these zones.
    pub fn of(zones: impl IntoIterator<Item = String>) -> Self {
        Self { zones: zones.into_iter().collect() }
    }

    /// Whether the engines of a zone get no new work.
    pub fn is_drained(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// The zones, in order.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.iter().map(String::as_str)
    }

    /// Notes that a zone is drained.
    pub fn insert(&mut self, zone: String) {
        self.zones.insert(zone);
    }

    /// Notes that a drain was taken back.
    pub fn remove(&mut self, zone: &str) {
        self.zones.remove(zone);
    }
}
