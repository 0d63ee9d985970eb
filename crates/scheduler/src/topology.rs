//! Zones and their regions.

use std::collections::BTreeMap;

/// Maps each zone of the deployment to its region, as configured in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// The region of each zone. Empty where the settings name no regions: then all zones belong to the same region.
    regions: BTreeMap<String, String>,
}

impl Topology {
    /// Creates a topology from the region of each zone.
    pub fn new(regions: BTreeMap<String, String>) -> Self {
        Self { regions }
    }

    /// Returns the region of a zone, or `None` when the settings do not name the zone.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }

    /// Iterates over the region of each zone; a region with several zones is repeated.
    pub fn regions(&self) -> impl Iterator<Item = &str> {
        self.regions.values().map(String::as_str)
    }

    /// Whether two zones are in the same region. A zone that the settings do not name counts as in the same region as
    /// every other zone.
    pub fn is_same_region(&self, left: &str, right: &str) -> bool {
        match (self.region_of(left), self.region_of(right)) {
            (Some(left), Some(right)) => left == right,
            _ => true,
        }
    }

    /// Whether the deployment has several regions.
    pub fn has_several_regions(&self) -> bool {
        let mut regions = self.regions.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }
}
