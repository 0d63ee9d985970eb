//! Regions of the members, by the zone numbers that they tell of themselves.

use crate::settings::ProcessSettings;
use foxnotch_wire::MemberUpdate;
use std::collections::BTreeMap;

/// Which zones are near this node.
#[derive(Clone, Debug, Default)]
pub struct MemberRegions {
    /// A number of the region of each zone, by the zone's number; empty where the deployment names no regions.
    regions: BTreeMap<u8, usize>,
    own_zone: u8,
}

impl MemberRegions {
    /// The regions that the settings name.
    pub fn of(settings: &ProcessSettings) -> Self {
        let mut names: Vec<&String> = settings.regions.values().collect();
        names.sort();
        names.dedup();
        let number = |region: &String| names.binary_search(&region).unwrap_or(0);
        let regions = settings.regions.iter().map(|(zone, region)| (settings.zone_number(zone), number(region)));
        Self { regions: regions.collect(), own_zone: settings.zone_number(&settings.zone) }
    }

    /// The number of a zone's region. A zone that no region is named for is of the first.
    pub fn region(&self, zone: u8) -> usize {
        self.regions.get(&zone).copied().unwrap_or(0)
    }

    /// Whether a zone is in this node's region.
    pub fn is_own(&self, zone: u8) -> bool {
        self.region(zone) == self.region(self.own_zone)
    }

    /// Those members that are nearest: of the own zone, or else of the own region, or else all.
    pub fn nearest(&self, members: Vec<MemberUpdate>) -> Vec<MemberUpdate> {
        let in_zone = |member: &&MemberUpdate| member.zone == self.own_zone;
        let in_region = |member: &&MemberUpdate| self.is_own(member.zone);
        if members.iter().any(|member| in_zone(&member)) {
            members.into_iter().filter(|member| in_zone(&member)).collect()
        } else if members.iter().any(|member| in_region(&member)) {
            members.into_iter().filter(|member| in_region(&member)).collect()
        } else {
            members
        }
    }
}
