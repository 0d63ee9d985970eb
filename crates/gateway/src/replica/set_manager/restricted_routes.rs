//! Decides whether a standby joins the set because turns of some routes may be stored only in its region.

use super::ReplicaSetManager;
use crate::ports::configuration::Configuration;
use foxnotch_scheduler::residency::Residency;
use foxnotch_turns::identity::region_id;
use foxnotch_turns::record_quorum::would_standby_improve_durability;
use foxnotch_wire::{RegionId, ReplicaMember};
use std::collections::BTreeSet;

/// The region lists to which stored turns may be restricted: the regions of each route that stores turns, alone and
/// intersected with those of each tenant.
pub fn restricted_region_lists(configuration: &Configuration) -> BTreeSet<Vec<RegionId>> {
    let of_tenants: BTreeSet<Vec<&str>> =
        configuration.tenants.iter().flatten().map(|tenant| tenant.residency.region_names()).collect();
    let routes = configuration.routes.iter().filter(|route| route.retain);
    let of_routes: BTreeSet<Vec<&str>> = routes.map(|route| route.residency.region_names()).collect();
    let unrestricted = [Vec::new()];
    let pairs =
        of_routes.iter().flat_map(|route| of_tenants.iter().chain(&unrestricted).map(move |tenant| (route, tenant)));
    let intersections = pairs.map(|(route, tenant)| residency_of(route).intersection(&residency_of(tenant)));
    let region_lists = intersections.map(|residency| residency.region_names().into_iter().map(region_id).collect());
    region_lists.filter(|regions: &Vec<RegionId>| !regions.is_empty()).collect()
}

fn residency_of(names: &[&str]) -> Residency {
    Residency::restricted_unless_empty(names.iter().map(|name| (*name).to_owned()))
}

impl ReplicaSetManager {
    /// Whether turns that are restricted to regions would survive more losses if this replica were a member.
    pub(super) fn would_help_restricted_turns(&self, remaining_members: &[ReplicaMember]) -> bool {
        if !self.regions.has_regions() || remaining_members.iter().any(|member| member.node == self.own.node) {
            return false;
        }
        let configuration = self.view.get().configuration.value;
        let tolerance = self.target.tolerance;
        restricted_region_lists(&configuration).iter().any(|regions| {
            would_standby_improve_durability(remaining_members, self.own, tolerance, &self.regions, regions)
        })
    }
}
