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

    /// How many regions there are; one where none is named.
    pub fn count(&self) -> usize {
        self.regions.values().max().map_or(1, |last| last + 1)
    }

    /// Whether a zone is in this node's region.
    pub fn is_own(&self, zone: u8) -> bool {
        self.region(zone) == self.region(self.own_zone)
    }

    /// The members of this node's region, or all when there is none.
    pub fn own_first(&self, members: Vec<MemberUpdate>) -> Vec<MemberUpdate> {
        let (own, others): (Vec<_>, Vec<_>) = members.into_iter().partition(|member| self.is_own(member.zone));
        if own.is_empty() {
            others
        } else {
            own
        }
    }

    /// Whom to pull a view from that `teller` told of: the nearest of `members` that are as far, so that a whole configuration
    /// seldom comes from another region; the teller itself when it is near, or no nearer one is as far.
    pub fn view_sources(&self, teller: &MemberUpdate, mut members: Vec<MemberUpdate>) -> Vec<MemberUpdate> {
        members.retain(|member| self.is_own(member.zone) && member.config_revision >= teller.config_revision);
        if self.is_own(teller.zone) || members.is_empty() {
            return vec![*teller];
        }
        self.nearest(members)
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
