//! The tables of the settings file. The comment of each setting states its unit, its default, which process reads it,
//! and its effect.

use crate::settings::formats;
use serde::Deserialize;

/// The default of `drain_ms` and `apply_ms`, in milliseconds.
const DEFAULT_CHANGE_LIMIT_MS: f64 = 2000.0;
/// The default length of the window over which tenants' limits hold, in seconds.
const DEFAULT_QUOTA_WINDOW_S: f64 = 5.0;
/// The default price of a kilobyte sent to another zone, in milliseconds. For comparison, at the prices assumed before
/// any are learned, each request in flight at an engine adds 1 ms to the cost of a turn there, and 1 ms more for every
/// 64 prompt tokens that the engine has to read. So a turn of a few kilobytes is sent to another zone if an engine
/// there has one or two requests fewer.
const DEFAULT_ZONE_MS_PER_KILOBYTE: f64 = 1.0;
/// The default price of a kilobyte sent to another region, in milliseconds. Providers charge about two to ten times as
/// much for this traffic as for traffic to another zone.
const DEFAULT_REGION_MS_PER_KILOBYTE: f64 = 4.0;

/// Time limits within which changes in the store have to be in force, and the time for a planned stop.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeSettings {
    /// Milliseconds after which a draining engine gets no new requests; 2000 by default. The shortest of `drain_ms`,
    /// `apply_ms` and `zone_drain_ms` is the time within which any change in the store has to reach gateways and
    /// replicas. From this time they derive how often they send each other the store's newest revisions and probe the
    /// store.
    #[serde(default = "default_change_ms")]
    pub drain_ms: f64,
    /// Milliseconds within which a change of the configuration has to be in force on all nodes; 2000 by default. Read
    /// by gateways and replicas, like `drain_ms`.
    #[serde(default = "default_change_ms")]
    pub apply_ms: f64,
    /// Seconds from SIGTERM to SIGKILL; required. A gateway finishes its planned stop within this time.
    pub grace_s: f64,
    /// Milliseconds after which the engines of a drained zone get no new requests. If missing, zones cannot be drained
    /// in this deployment, and gateways do not watch the requests to drain zones. Read by gateways and replicas, like
    /// `drain_ms`.
    #[serde(default)]
    pub zone_drain_ms: Option<f64>,
}

/// Resources of the machine that the process may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceSettings {
    /// Memory of the machine in megabytes; required. A gateway uses a part of it for its cache of turns, a replica for
    /// the records that it holds.
    #[serde(deserialize_with = "formats::whole_number")]
    pub memory_mb: u64,
    /// Number of file descriptors that the process may open; required. A gateway accepts callers' connections up to
    /// this number minus a reserve for engines, nodes and files.
    #[serde(deserialize_with = "formats::whole_number")]
    pub descriptors: u64,
}

/// The machines and zones that may be lost at the same moment while every guarantee still holds. Read by gateways and
/// replicas: a write counts as stored only once it is on more disks than may be lost.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToleranceSettings {
    /// Number of machines with a disk that may be lost at the same moment; required.
    pub machines: usize,
    /// Number of zones that may be lost at the same moment, with all their machines; 0 by default.
    #[serde(default)]
    pub zones: usize,
}

/// The size of the replica set. Read by replicas.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReplicaSettings {
    /// The number of replicas in the set, which store turns; all other replicas are standbys. By default it is the size
    /// that the tolerance requires.
    pub set_size: Option<usize>,
}

/// The sliding window over which each tenant's limit holds, and how far a limit may be exceeded. Read by replicas,
/// which grant the shares of each limit.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaSettings {
    /// The length of the window in seconds; 5 by default.
    pub window_s: f64,
    /// How far a limit may be exceeded in a window, as a fraction of the limit; 0 by default. 0.1 allows 10 % more.
    pub overage: f64,
    /// Number of requests in a window that are allowed in addition to the limit and `overage`; 0 by default.
    pub slack: f64,
}

/// How far the rate of a cold engine may be exceeded in any second, over all gateways together. Read by replicas, which
/// grant the permits to send to cold engines.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SlowStartSettings {
    /// The highest rate in any second, as a multiple of the rate that a cold engine can take; 1 by default. 1.5 allows
    /// 50 % more.
    pub factor: f64,
    /// Number of requests in any second that are allowed in addition to `factor` times the rate; 0 by default.
    pub slack: f64,
}

/// The price of traffic that leaves a zone. It is the additional time that a request may take if this avoids the
/// traffic. Read by gateways when they choose an engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DistanceSettings {
    /// The price of a kilobyte sent to another zone of the region, in milliseconds; 1 by default.
    pub zone_ms_per_kilobyte: f64,
    /// The price of a kilobyte sent to another region, in milliseconds; 4 by default.
    pub region_ms_per_kilobyte: f64,
}

fn default_change_ms() -> f64 {
    DEFAULT_CHANGE_LIMIT_MS
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self { window_s: DEFAULT_QUOTA_WINDOW_S, overage: 0.0, slack: 0.0 }
    }
}

impl Default for SlowStartSettings {
    fn default() -> Self {
        Self { factor: 1.0, slack: 0.0 }
    }
}

impl Default for DistanceSettings {
    fn default() -> Self {
        Self {
            zone_ms_per_kilobyte: DEFAULT_ZONE_MS_PER_KILOBYTE,
            region_ms_per_kilobyte: DEFAULT_REGION_MS_PER_KILOBYTE,
        }
    }
}
