//! In which regions a request may be served and its content kept.

use crate::places::Places;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The regions that a route, a tenant or a request is bound to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Residency {
    /// Names of the regions; none when it is bound to no region.
    regions: Option<BTreeSet<String>>,
}

impl Residency {
    /// Bound to these regions; a list without names binds to none.
    pub fn in_regions(names: impl IntoIterator<Item = String>) -> Self {
        let regions: BTreeSet<String> = names.into_iter().collect();
        Self { regions: (!regions.is_empty()).then_some(regions) }
    }

    /// Whether anything is bound at all.
    pub fn is_bound(&self) -> bool {
        self.regions.is_some()
    }

    /// What is left when both bind. The result may allow no region: nothing may be served then.
    pub fn and(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (Some(left), Some(right)) => Some(left.intersection(right).cloned().collect()),
            (Some(only), None) | (None, Some(only)) => Some(only.clone()),
            (None, None) => None,
        };
        Self { regions }
    }

    /// Whether content may go to a zone. A zone whose region is not known is allowed only to what is bound to none.
    pub fn allows_zone(&self, places: &Places, zone: &str) -> bool {
        let Some(regions) = &self.regions else { return true };
        places.region_of(zone).is_some_and(|region| regions.contains(region))
    }

    /// Whether content may go to a region.
    pub fn allows_region(&self, region: &str) -> bool {
        self.regions.as_ref().is_none_or(|regions| regions.contains(region))
    }

    /// The names, for logs.
    pub fn names(&self) -> Vec<&str> {
        self.regions.iter().flatten().map(String::as_str).collect()
    }
}
