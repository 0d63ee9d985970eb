//! Restricts the regions in which a request may be served and its content stored.

use crate::refusal::RefusalKind;
use crate::topology::Topology;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The reason why a request that is restricted to regions is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResidencyDenial {
    /// The route and the tenant allow no region in common.
    #[error("its route and its tenant allow no region in common; change the regions of one of them")]
    NoCommonRegion,
    /// The service has no engine in the allowed regions.
    #[error("its service has no engine in its regions; start one there, or widen the regions")]
    NoEngine,
    /// The service has engines in the allowed regions, but none of them accepts new work.
    #[error("no engine of its service is in service in its regions now; ask again after the time given")]
    NoneInService,
}

impl ResidencyDenial {
    /// The name in logs and counters.
    pub fn name(self) -> &'static str {
        RefusalKind::from(self).name()
    }
}

impl From<ResidencyDenial> for RefusalKind {
    fn from(denial: ResidencyDenial) -> Self {
        match denial {
            ResidencyDenial::NoCommonRegion => Self::NoCommonRegion,
            ResidencyDenial::NoEngine => Self::NoEngineInRegions,
            ResidencyDenial::NoneInService => Self::NoneInServiceInRegions,
        }
    }
}

/// The zone and state of one engine of a request's service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLocation<'a> {
    /// Name of the zone that the engine runs in.
    pub zone: &'a str,
    /// Whether the engine accepts new work.
    pub is_in_service: bool,
}

/// The regions to which a route, a tenant or a request is restricted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Residency {
    /// Names of the allowed regions; `None` when all regions are allowed.
    regions: Option<BTreeSet<String>>,
}

impl Residency {
    /// Creates a restriction to these regions, or no restriction when the list is empty.
    pub fn restricted_unless_empty(names: impl IntoIterator<Item = String>) -> Self {
        let regions: BTreeSet<String> = names.into_iter().collect();
        Self { regions: (!regions.is_empty()).then_some(regions) }
    }

    /// Creates a restriction to exactly these regions. An empty list allows no region, so no request may be served.
    pub fn restricted_to(names: impl IntoIterator<Item = String>) -> Self {
        Self { regions: Some(names.into_iter().collect()) }
    }

    /// Checks whether a request may be served. `engines` are all engines of the request's service.
    ///
    /// # Errors
    /// [`ResidencyDenial`] when none of the engines may serve the request now.
    pub fn check_engines<'a>(
        &self,
        topology: &Topology,
        engines: impl IntoIterator<Item = EngineLocation<'a>>,
    ) -> Result<(), ResidencyDenial> {
        let Some(regions) = &self.regions else { return Ok(()) };
        if regions.is_empty() {
            return Err(ResidencyDenial::NoCommonRegion);
        }
        let mut denial = ResidencyDenial::NoEngine;
        for engine in engines.into_iter().filter(|engine| self.allows_zone(topology, engine.zone)) {
            if engine.is_in_service {
                return Ok(());
            }
            denial = ResidencyDenial::NoneInService;
        }
        Err(denial)
    }

    /// Whether no region is allowed.
    pub fn allows_no_region(&self) -> bool {
        self.regions.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Whether there is any restriction.
    pub fn is_restricted(&self) -> bool {
        self.regions.is_some()
    }

    /// The regions that both restrictions allow. The result may allow no region; then no request may be served.
    pub fn intersection(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (Some(left), Some(right)) => Some(left.intersection(right).cloned().collect()),
            (Some(only), None) | (None, Some(only)) => Some(only.clone()),
            (None, None) => None,
        };
        Self { regions }
    }

    /// Whether content may be sent to a zone. Restricted content is never sent to a zone without a known region.
    pub fn allows_zone(&self, topology: &Topology, zone: &str) -> bool {
        let Some(regions) = &self.regions else { return true };
        topology.region_of(zone).is_some_and(|region| regions.contains(region))
    }

    /// Whether content may be sent to a region.
    pub fn allows_region(&self, region: &str) -> bool {
        self.regions.as_ref().is_none_or(|regions| regions.contains(region))
    }

    /// The names of the allowed regions, for logs; empty when there is no restriction.
    pub fn region_names(&self) -> Vec<&str> {
        self.regions.iter().flatten().map(String::as_str).collect()
    }
}
