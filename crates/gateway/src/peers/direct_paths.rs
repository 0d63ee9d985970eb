//! State of the direct network path to each replica: its round-trip time, and whether it is considered silent.
//!
//! A direct path becomes silent when the replica answers a call through a relay (another gateway) but not directly. It
//! stays silent until the replica answers directly again.
//!
//! The module performs no I/O. Callers report the answers, direct or relayed, and get a plan for the next call.

use foxnotch_wire::NodeId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after which a replica that has not answered is also called through a relay, as a multiple of the replica's
/// usual round-trip time.
const RELAY_DELAY_ROUND_TRIPS: u32 = 4;
/// The shortest time after which a replica that has not answered is also called through a relay.
const MIN_RELAY_DELAY: Duration = Duration::from_millis(20);
/// The longest time after which a replica that has not answered is also called through a relay. Used as well while the
/// round-trip time of the path is unknown.
const MAX_RELAY_DELAY: Duration = Duration::from_millis(120);
/// Time between two direct calls on a path that is considered silent.
const SILENT_PATH_RETRY_PERIOD: Duration = Duration::from_millis(300);
/// Reciprocal of a new sample's weight in the smoothed round trip: 8, as in TCP (RFC 6298).
const ROUND_TRIP_SMOOTHING: u32 = 8;

/// State of the direct path to one replica.
#[derive(Clone, Copy, Debug, Default)]
struct DirectPath {
    /// The smoothed round-trip time; none until the replica has answered directly.
    round_trip: Option<Duration>,
    silent: bool,
    /// When the path was last found silent, or was last tried again while it was silent.
    tried_at: Option<Instant>,
}

/// The paths to use for one call to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathPlan {
    /// Whether to call the replica directly.
    pub direct: bool,
    /// Time without any received bytes after which to call the replica through a relay as well.
    pub relay_after: Duration,
}

/// The direct paths to all replicas.
#[derive(Clone, Debug, Default)]
pub struct DirectPaths {
    paths: HashMap<NodeId, DirectPath>,
}

impl DirectPaths {
    /// Selects the paths for a call to a replica now. A silent path is tried again once per
    /// [`SILENT_PATH_RETRY_PERIOD`], in addition to the call through a relay.
    pub fn plan_call(&mut self, replica: NodeId, now: Instant) -> PathPlan {
        let path = self.paths.entry(replica).or_default();
        if !path.silent {
            let usual_delay = path.round_trip.map(|time| time * RELAY_DELAY_ROUND_TRIPS);
            let relay_after = usual_delay.unwrap_or(MAX_RELAY_DELAY).clamp(MIN_RELAY_DELAY, MAX_RELAY_DELAY);
            return PathPlan { direct: true, relay_after };
        }
        let direct = path.tried_at.is_none_or(|tried_at| now.duration_since(tried_at) >= SILENT_PATH_RETRY_PERIOD);
        if direct {
            path.tried_at = Some(now);
        }
        PathPlan { direct, relay_after: Duration::ZERO }
    }

    /// Whether the direct path to a replica is considered silent.
    pub fn is_silent(&self, replica: NodeId) -> bool {
        self.paths.get(&replica).is_some_and(|path| path.silent)
    }

    /// Records the round trip of a direct answer. Returns whether the path was considered silent before.
    pub fn record_answer(&mut self, replica: NodeId, round_trip: Duration) -> bool {
        let path = self.paths.entry(replica).or_default();
        let smoothed = path
            .round_trip
            .map_or(round_trip, |previous| (previous * (ROUND_TRIP_SMOOTHING - 1) + round_trip) / ROUND_TRIP_SMOOTHING);
        path.round_trip = Some(smoothed);
        std::mem::take(&mut path.silent)
    }

    /// Records that the replica answered through a relay but not directly. Returns whether the path was not considered
    /// silent before.
    pub fn record_silence(&mut self, replica: NodeId, now: Instant) -> bool {
        let path = self.paths.entry(replica).or_default();
        path.tried_at = Some(now);
        !std::mem::replace(&mut path.silent, true)
    }
}
