//! Switches of the mechanisms by which a gateway decides: each can be taken out to see what it is worth.

use serde::Deserialize;

/// Which mechanisms are on. All are, unless a setting says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// A turn goes to the engine that ran its program's turn before, as the replicas tell with the budget.
    pub shared_places: bool,
    /// A replica whose direct path is silent is asked through another gateway.
    pub relay: bool,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self { shared_places: true, relay: true }
    }
}
