//! Learns the round-trip times from this gateway to the zones, from the time that it takes to open connections to
//! engines and from the time that replicas take to answer.

use crate::locks::lock;
use crate::metrics::Metrics;
use foxnotch_scheduler::distance::{LearnedDistances, Proximity, TrafficPrices};
use foxnotch_scheduler::topology::Topology;
use foxnotch_turns::identity::zone_hash;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The network path to a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkPath {
    /// Whether the zone is this gateway's own, another zone of the gateway's region, or a zone in another region.
    pub proximity: Proximity,
    /// The estimated round-trip time in milliseconds.
    pub round_trip_ms: f64,
}

/// The network paths to zones at one moment, for the choice of an engine.
#[derive(Clone, Debug)]
pub struct NetworkPaths {
    prices: TrafficPrices,
    paths: HashMap<String, NetworkPath>,
}

impl NetworkPaths {
    /// Creates the network paths from `paths`, which has one for each zone's name, and the prices of traffic.
    pub fn new(prices: TrafficPrices, paths: HashMap<String, NetworkPath>) -> Self {
        Self { prices, paths }
    }

    /// The path to a zone. A zone without a path is treated like this gateway's own, with a round trip of 0 ms.
    pub fn path_to(&self, zone: &str) -> NetworkPath {
        self.paths.get(zone).copied().unwrap_or(NetworkPath { proximity: Proximity::SameZone, round_trip_ms: 0.0 })
    }

    /// The price of sending `kilobytes` on this path, in milliseconds.
    pub fn traffic_ms(&self, path: NetworkPath, kilobytes: f64) -> f64 {
        self.prices.price_ms(path.proximity, kilobytes)
    }
}

/// The round-trip times that this gateway has learned.
pub struct GatewayDistances {
    /// The times of samples are relative to this moment.
    started_at: Instant,
    prices: TrafficPrices,
    learned: Mutex<LearnedDistances>,
    /// The names of the deployment's zones, by the hashes that identify the zones of replicas.
    zones: BTreeMap<u32, String>,
}

impl GatewayDistances {
    /// Creates the state of a gateway in `zone` that has no samples yet.
    pub fn new(topology: Topology, zone: &str, zones: &[String], prices: TrafficPrices) -> Arc<Self> {
        Arc::new(Self {
            started_at: Instant::now(),
            prices,
            learned: Mutex::new(LearnedDistances::new(topology, zone)),
            zones: zones.iter().map(|zone| (zone_hash(zone), zone.clone())).collect(),
        })
    }

    /// The present time of samples: milliseconds since `started_at`.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Adds a sample: the time that opening a connection to an engine in `zone` took.
    pub fn record_round_trip(&self, zone: &str, round_trip: Duration) {
        lock(&self.learned).add_sample(zone, round_trip.as_secs_f64() * 1000.0, self.now_ms());
    }

    /// Adds a sample: the time that a replica in the zone with this hash took to answer. Ignores replicas in this
    /// gateway's own region, because the time includes a write to the replica's disk, which is negligible only compared
    /// with a round trip to another region. Round trips to nearer zones are learned from connections to engines alone.
    pub fn record_replica_answer_time(&self, zone: u32, round_trip: Duration) {
        let Some(zone) = self.zones.get(&zone) else { return };
        let now_ms = self.now_ms();
        let mut learned = lock(&self.learned);
        if learned.proximity(zone) == Proximity::OtherRegion {
            learned.add_sample(zone, round_trip.as_secs_f64() * 1000.0, now_ms);
        }
    }

    /// The network paths to these zones, with the round-trip times as estimated now.
    pub fn paths<'a>(&self, zones: impl Iterator<Item = &'a str>) -> NetworkPaths {
        let now_ms = self.now_ms();
        let learned = lock(&self.learned);
        let mut paths: HashMap<String, NetworkPath> = HashMap::new();
        for zone in zones {
            if !paths.contains_key(zone) {
                let proximity = learned.proximity(zone);
                paths.insert(
                    zone.to_owned(),
                    NetworkPath { proximity, round_trip_ms: learned.round_trip_ms(zone, now_ms) },
                );
            }
        }
        NetworkPaths::new(self.prices, paths)
    }

    /// Mean of the learned round-trip times to the zones with this proximity, in microseconds; 0 while there is none.
    fn mean_round_trip_microseconds(&self, proximity: Proximity) -> i64 {
        let now_ms = self.now_ms();
        let learned = lock(&self.learned);
        let zones_at_distance =
            learned.zone_round_trips(now_ms).filter(|(zone, _)| learned.proximity(zone) == proximity);
        let round_trips_ms: Vec<f64> = zones_at_distance.map(|(_, round_trip_ms)| round_trip_ms).collect();
        (round_trips_ms.iter().sum::<f64>() / round_trips_ms.len().max(1) as f64 * 1000.0) as i64
    }

    /// Registers the gauges of the mean round-trip times, one for each proximity.
    pub fn add_metrics(self: &Arc<Self>, metrics: &mut Metrics) {
        let gauges = [
            ("round_trip_same_zone_microseconds", Proximity::SameZone),
            ("round_trip_same_region_microseconds", Proximity::SameRegion),
            ("round_trip_other_region_microseconds", Proximity::OtherRegion),
        ];
        for (name, proximity) in gauges {
            let distances = self.clone();
            metrics.add_gauge(
                name,
                "Mean round-trip time to the zones at this distance, as measured by this gateway; 0 while it has no \
                 measurement",
                move || distances.mean_round_trip_microseconds(proximity),
            );
        }
    }
}
