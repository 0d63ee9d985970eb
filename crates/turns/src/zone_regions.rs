//! Maps zones to regions, and decides where text that is restricted to regions may be stored or forwarded. Nodes
//! identify a zone to each other by the hash of its name, or by the number that membership gives it.

use crate::identity::{region_id, zone_hash};
use foxnotch_wire::RegionId;
use std::collections::{BTreeMap, HashMap};

/// The region of each zone. The map is empty if the deployment configures no regions; text that is restricted to
/// regions may then be stored nowhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRegions {
    by_hash: HashMap<u32, RegionId>,
    by_number: HashMap<u8, RegionId>,
}

impl ZoneRegions {
    /// Creates the map from zone names to region names (`regions`). `number_of` returns the number that membership
    /// gives a zone.
    pub fn new(regions: &BTreeMap<String, String>, number_of: impl Fn(&str) -> u8) -> Self {
        let by_hash = regions.iter().map(|(zone, region)| (zone_hash(zone), region_id(region))).collect();
        let by_number = regions.iter().map(|(zone, region)| (number_of(zone), region_id(region))).collect();
        Self { by_hash, by_number }
    }

    /// Whether the deployment configures regions.
    pub fn has_regions(&self) -> bool {
        !self.by_hash.is_empty()
    }

    /// Whether text that is restricted to `regions` may be stored in a zone, given by the hash of its name. Text
    /// without a restriction may be stored everywhere. A zone whose region is unknown may only store such text.
    pub fn may_store_text(&self, zone: u32, regions: &[RegionId]) -> bool {
        regions.is_empty() || self.by_hash.get(&zone).is_some_and(|region| regions.contains(region))
    }

    /// Whether a node in the zone `own`, given by its hash, may send text that is restricted to `regions` through a
    /// node in `zone`, given by its number. It may if `zone` is in one of `regions` or in the region of `own`, so an
    /// empty list allows only the region of `own`. If the deployment configures no regions, only text without a
    /// restriction may pass.
    pub fn may_forward_through(&self, zone: u8, own: u32, regions: &[RegionId]) -> bool {
        if self.by_hash.is_empty() {
            return regions.is_empty();
        }
        let Some(region) = self.by_number.get(&zone) else { return false };
        regions.contains(region) || self.by_hash.get(&own) == Some(region)
    }
}
