//! Checks that each value of the settings is allowed, with one function per table. Only the first value that is not
//! allowed is reported.

use crate::settings::sections::{
    DistanceSettings, QuotaSettings, ResourceSettings, SlowStartSettings, TimeSettings, ToleranceSettings,
};
use crate::settings::{ProcessSettings, ReplicaSettings, SettingsError};
use foxnotch_turns::replica_set::min_set_size;

/// The shortest allowed window of tenants' limits, in seconds. A shorter window would end before a gateway has asked
/// all replicas for a share of a limit.
const MIN_QUOTA_WINDOW_S: f64 = 0.1;
/// The shortest time limit within which a change may have to be in force on all nodes, in milliseconds: a change takes
/// several round trips between nodes.
const MIN_CHANGE_LIMIT_MS: f64 = 100.0;
/// The shortest time for a planned stop, in seconds.
const MIN_GRACE_S: f64 = 1.0;
/// The smallest memory of a machine, in megabytes.
const MIN_MEMORY_MB: u64 = 16;
/// The lowest limit of file descriptors: fewer would not suffice for connections to the store, the nodes and a few
/// engines.
const MIN_DESCRIPTORS: u64 = 256;

impl ProcessSettings {
    /// Checks every value.
    ///
    /// # Errors
    /// [`SettingsError::OutOfRange`] or [`SettingsError::SetTooSmall`] for the first value that is not allowed.
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        self.validate_node()?;
        self.times.validate()?;
        self.quota.validate()?;
        self.times.validate_zone_drain()?;
        self.slow_start.validate()?;
        self.distance.validate()?;
        self.validate_regions()?;
        self.resources.validate()?;
        self.replicas.validate(&self.tolerance)?;
        let is_valid = self.log_level.parse::<log::LevelFilter>().is_ok();
        require(is_valid, "log_level", &self.log_level, "off, error, warn, info, debug or trace")
    }

    fn validate_node(&self) -> Result<(), SettingsError> {
        require(!self.node.is_empty(), "node", &self.node, "a name that is not empty")?;
        require(self.zones.contains(&self.zone), "zone", &self.zone, "one of the zones in the setting zones")?;
        require(self.peer_port > 0, "peer_port", self.peer_port, "1 to 65535")?;
        let is_valid = self.metrics_port != self.peer_port;
        require(is_valid, "metrics_port", self.metrics_port, "another port than peer_port")
    }

    /// Checks that each zone has a region, if any region is set.
    fn validate_regions(&self) -> Result<(), SettingsError> {
        if self.regions.is_empty() {
            return Ok(());
        }
        let Some(zone) = self.zones.iter().find(|zone| !self.regions.contains_key(*zone)) else { return Ok(()) };
        let value = format!("a table without the zone {zone}");
        Err(SettingsError::OutOfRange {
            field: "regions",
            value,
            allowed: "a table with a region for each zone, or be left out",
        })
    }
}

impl TimeSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        require_valid_change_limit("times.drain_ms", self.drain_ms)?;
        require_valid_change_limit("times.apply_ms", self.apply_ms)?;
        let is_valid = self.grace_s.is_finite() && self.grace_s >= MIN_GRACE_S;
        require(is_valid, "times.grace_s", self.grace_s, "1 or more")
    }

    fn validate_zone_drain(&self) -> Result<(), SettingsError> {
        self.zone_drain_ms.map_or(Ok(()), |time| require_valid_change_limit("times.zone_drain_ms", time))
    }
}

impl QuotaSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        let is_valid = self.window_s.is_finite() && self.window_s >= MIN_QUOTA_WINDOW_S;
        require(is_valid, "quota.window_s", self.window_s, "0.1 or more")?;
        require_not_negative("quota.overage", self.overage)?;
        require_not_negative("quota.slack", self.slack)
    }
}

impl SlowStartSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        let is_valid = self.factor.is_finite() && self.factor >= 1.0;
        require(is_valid, "slow_start.factor", self.factor, "1 or more")?;
        require_not_negative("slow_start.slack", self.slack)
    }
}

impl DistanceSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        require_not_negative("distance.zone_ms_per_kilobyte", self.zone_ms_per_kilobyte)?;
        require_not_negative("distance.region_ms_per_kilobyte", self.region_ms_per_kilobyte)
    }
}

impl ResourceSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        require(self.memory_mb >= MIN_MEMORY_MB, "resources.memory_mb", self.memory_mb, "16 or more")?;
        require(self.descriptors >= MIN_DESCRIPTORS, "resources.descriptors", self.descriptors, "256 or more")
    }
}

impl ReplicaSettings {
    /// Checks that the set stays available after the loss of the machines that it has to tolerate.
    fn validate(&self, tolerance: &ToleranceSettings) -> Result<(), SettingsError> {
        let machines = tolerance.machines;
        let min_size = min_set_size(machines);
        match self.set_size {
            Some(size) if size < min_size => Err(SettingsError::SetTooSmall { size, machines, min_size }),
            _ => Ok(()),
        }
    }
}

/// Checks a time limit for changes, in milliseconds.
fn require_valid_change_limit(field: &'static str, time_ms: f64) -> Result<(), SettingsError> {
    require(time_ms.is_finite() && time_ms >= MIN_CHANGE_LIMIT_MS, field, time_ms, "100 or more")
}

fn require_not_negative(field: &'static str, value: f64) -> Result<(), SettingsError> {
    require(value.is_finite() && value >= 0.0, field, value, "0 or more")
}

fn require(
    is_allowed: bool,
    field: &'static str,
    value: impl ToString,
    allowed: &'static str,
) -> Result<(), SettingsError> {
    if is_allowed {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange { field, value: value.to_string(), allowed })
    }
}
