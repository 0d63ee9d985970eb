//! Values derived from the settings: addresses, durations, and parameters as types of `foxnotch-scheduler` and
//! `foxnotch-turns`.

use crate::settings::sections::{DistanceSettings, QuotaSettings, SlowStartSettings, TimeSettings};
use crate::settings::ProcessSettings;
use foxnotch_scheduler::distance::TrafficPrices;
use foxnotch_scheduler::quota::QuotaRules;
use foxnotch_scheduler::slow_start::SlowStartTolerance;
use foxnotch_scheduler::topology::Topology;
use foxnotch_turns::replica_set::{SetTarget, Tolerance};
use foxnotch_turns::zone_regions::ZoneRegions;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The highest number that a listed zone can have. All zones at this position of the sorted list or later have this
/// number. 255 is the number of a zone that is not listed.
const MAX_LISTED_ZONE_NUMBER: usize = 254;

impl ProcessSettings {
    /// The address at which other nodes reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.peer_port))
    }

    /// The address at which metrics are served.
    pub fn metrics_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.metrics_port))
    }

    /// The time from SIGTERM to SIGKILL.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.times.grace_s)
    }

    /// The machines and zones that may be lost at the same moment while all guarantees still hold.
    pub fn tolerance(&self) -> Tolerance {
        Tolerance { machines: self.tolerance.machines, zones: self.tolerance.zones }
    }

    /// The size that the replica set should have: the configured size, or else the size that the tolerance requires.
    pub fn replica_set_target(&self) -> SetTarget {
        let target = SetTarget::of(self.tolerance());
        SetTarget { size: self.replicas.set_size.unwrap_or(target.size), ..target }
    }

    /// The region of each zone, by name.
    pub fn topology(&self) -> Topology {
        Topology::new(self.regions.clone())
    }

    /// The region of each zone, by the zone numbers that nodes use in messages.
    pub fn zone_regions(&self) -> ZoneRegions {
        ZoneRegions::new(&self.regions, |zone| self.zone_number(zone))
    }

    /// The zones of this node's region, including the node's own zone.
    pub fn zones_of_region(&self) -> Vec<String> {
        let topology = self.topology();
        self.zones.iter().filter(|zone| topology.is_same_region(zone, &self.zone)).cloned().collect()
    }

    /// The numbers of the zones of this node's region; `None` if the deployment has only one region.
    pub fn region_zone_numbers(&self) -> Option<HashSet<u8>> {
        let has_regions = self.topology().has_several_regions();
        has_regions.then(|| self.zones_of_region().iter().map(|zone| self.zone_number(zone)).collect())
    }

    /// The time within which any change in the platform's store must be in force on this node: the shortest of
    /// `drain_ms`, `apply_ms` and `zone_drain_ms`.
    pub fn shortest_change_limit(&self) -> Duration {
        let zone_drain_ms = self.times.zone_drain_ms.unwrap_or(f64::INFINITY);
        Duration::from_secs_f64(self.times.drain_ms.min(self.times.apply_ms).min(zone_drain_ms) / 1000.0)
    }

    /// The number of a zone in messages between nodes: its position in the sorted list of zones, the same on all nodes.
    /// 255 for a zone that is not listed.
    pub fn zone_number(&self, zone: &str) -> u8 {
        let mut names: Vec<&String> = self.zones.iter().collect();
        names.sort();
        names.iter().position(|name| *name == zone).map_or(u8::MAX, |index| index.min(MAX_LISTED_ZONE_NUMBER) as u8)
    }
}

impl TimeSettings {
    /// The time within which a zone drain must be in force; `None` if zones cannot be drained in this deployment.
    pub fn zone_drain_limit(&self) -> Option<Duration> {
        self.zone_drain_ms.map(|milliseconds| Duration::from_secs_f64(milliseconds / 1000.0))
    }
}

impl QuotaSettings {
    /// The rules by which replicas divide tenants' rate limits into shares.
    pub fn rules(&self) -> QuotaRules {
        QuotaRules { window_s: self.window_s, overage: self.overage, slack: self.slack }
    }
}

impl SlowStartSettings {
    /// The excess over the rates of cold engines that the deployment tolerates.
    pub fn excess_tolerance(&self) -> SlowStartTolerance {
        SlowStartTolerance { factor: self.factor, slack: self.slack }
    }
}

impl DistanceSettings {
    /// The prices of traffic to other zones and regions, for the cost of a request at an engine.
    pub fn prices(&self) -> TrafficPrices {
        TrafficPrices {
            zone_ms_per_kilobyte: self.zone_ms_per_kilobyte,
            region_ms_per_kilobyte: self.region_ms_per_kilobyte,
        }
    }
}
