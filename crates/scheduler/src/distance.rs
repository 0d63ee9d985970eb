//! Estimates round trips to engines and computes the price of traffic.
//!
//! The estimate of a round trip starts from a prior, which depends on the zones and regions, and is learned from
//! requests. Only an answered request gives a sample, so a broken network path gives none. Without new samples, the
//! estimate decays to the prior.
//!
//! This module performs no I/O and reads no clock: the caller passes in the samples and the time.

use crate::topology::Topology;
use std::collections::{BTreeMap, VecDeque};

/// Assumed round trip within a zone before any sample, in milliseconds: one or two switches.
const SAME_ZONE_PRIOR_MS: f64 = 0.5;
/// Assumed round trip to another zone of the region, in milliseconds: some kilometres of fibre.
const SAME_REGION_PRIOR_MS: f64 = 2.0;
/// Assumed round trip to another region, in milliseconds: some thousand kilometres of fibre in each direction.
const OTHER_REGION_PRIOR_MS: f64 = 30.0;
/// Weight of the prior in an estimate, in samples: high enough that one slow response alone does not make a zone look
/// far away.
const PRIOR_WEIGHT: f64 = 2.0;
/// Samples above this value, in milliseconds, are dropped: such a request waited for something other than the network.
const MAX_ROUND_TRIP_MS: f64 = 500.0;
/// Samples are capped at this multiple of the prior: a longer one includes a wait for the host or for retransmitted
/// packets, and one such sample must not make a zone of the same region look as far away as another region.
const MAX_PRIOR_MULTIPLE: f64 = 10.0;
/// Samples stored for each zone; the oldest is dropped first.
const MAX_SAMPLES_PER_ZONE: usize = 16;
/// Maximum number of zones with samples; bounds the memory where zones are added and removed.
const MAX_ZONES: usize = 256;
/// Half-life of the weight of the samples, in milliseconds. It is long because network paths change seldom, and finite
/// because they do change.
const HALF_LIFE_MS: f64 = 120_000.0;

/// The relative location of two zones, from near to far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proximity {
    /// Both zones are the same.
    SameZone,
    /// The zones differ and belong to the same region.
    SameRegion,
    /// The zones belong to different regions.
    OtherRegion,
}

impl Proximity {
    /// Returns the proximity of the zones `zone` and `other`.
    pub fn between(topology: &Topology, zone: &str, other: &str) -> Self {
        if zone == other {
            Self::SameZone
        } else if topology.is_same_region(zone, other) {
            Self::SameRegion
        } else {
            Self::OtherRegion
        }
    }

    /// The name in counters and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::SameZone => "same_zone",
            Self::SameRegion => "same_region",
            Self::OtherRegion => "other_region",
        }
    }

    /// The round trip that is assumed before any sample, in milliseconds.
    fn prior_ms(self) -> f64 {
        match self {
            Self::SameZone => SAME_ZONE_PRIOR_MS,
            Self::SameRegion => SAME_REGION_PRIOR_MS,
            Self::OtherRegion => OTHER_REGION_PRIOR_MS,
        }
    }
}

/// The price of traffic between zones, expressed in milliseconds so that it can be added to a cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficPrices {
    /// Cost of a kilobyte sent to another zone of the region, in milliseconds.
    pub zone_ms_per_kilobyte: f64,
    /// Cost of a kilobyte sent to another region, in milliseconds.
    pub region_ms_per_kilobyte: f64,
}

impl TrafficPrices {
    /// The cost of sending `kilobytes`, in milliseconds.
    pub fn price_ms(&self, proximity: Proximity, kilobytes: f64) -> f64 {
        match proximity {
            Proximity::SameZone => 0.0,
            Proximity::SameRegion => self.zone_ms_per_kilobyte * kilobytes,
            Proximity::OtherRegion => self.region_ms_per_kilobyte * kilobytes,
        }
    }
}

/// Measured round trips to one zone, in milliseconds, oldest first.
#[derive(Clone, Debug, Default)]
struct ZoneSamples {
    samples: VecDeque<f64>,
    /// The lower quartile of the samples, because a response may be late for many reasons other than distance.
    lower_quartile_ms: f64,
    /// When the newest sample was added.
    newest_at_ms: u64,
}

impl ZoneSamples {
    fn push(&mut self, round_trip_ms: f64, now_ms: u64) {
        if self.samples.len() == MAX_SAMPLES_PER_ZONE {
            self.samples.pop_front();
        }
        self.samples.push_back(round_trip_ms);
        self.newest_at_ms = self.newest_at_ms.max(now_ms);
        let mut ordered: Vec<f64> = self.samples.iter().copied().collect();
        ordered.sort_unstable_by(f64::total_cmp);
        self.lower_quartile_ms = ordered[ordered.len() / 4];
    }

    /// The number of samples, halved for each [`HALF_LIFE_MS`] since the newest sample.
    fn weight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.newest_at_ms) as f64;
        self.samples.len() as f64 * (-age_ms / HALF_LIFE_MS).exp2()
    }

    /// The estimated round trip in milliseconds: the weighted mean of the samples' lower quartile and `prior_ms`.
    fn estimate_ms(&self, prior_ms: f64, now_ms: u64) -> f64 {
        let weight = self.weight(now_ms);
        (self.lower_quartile_ms * weight + prior_ms * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
    }
}

/// Estimates the round trips from a gateway's zone to other zones and within the zone, from samples.
#[derive(Clone, Debug)]
pub struct LearnedDistances {
    topology: Topology,
    zone: String,
    samples_by_zone: BTreeMap<String, ZoneSamples>,
}

impl LearnedDistances {
    /// Creates an estimator without samples for a gateway in `zone`.
    pub fn new(topology: Topology, zone: impl Into<String>) -> Self {
        Self { topology, zone: zone.into(), samples_by_zone: BTreeMap::new() }
    }

    /// The proximity of a zone to the gateway's own.
    pub fn proximity(&self, zone: &str) -> Proximity {
        Proximity::between(&self.topology, &self.zone, zone)
    }

    /// Adds a measured round trip to a zone. Drops a sample that is negative, not a number or above 500 ms, and caps
    /// other samples at ten times the prior for the zone's proximity. Drops samples of a new zone while 256 other zones
    /// have samples.
    pub fn add_sample(&mut self, zone: &str, round_trip_ms: f64, now_ms: u64) {
        let is_round_trip = (0.0..=MAX_ROUND_TRIP_MS).contains(&round_trip_ms);
        let has_room = self.samples_by_zone.len() < MAX_ZONES || self.samples_by_zone.contains_key(zone);
        if is_round_trip && has_room {
            let max_ms = MAX_PRIOR_MULTIPLE * self.proximity(zone).prior_ms();
            self.samples_by_zone.entry(zone.to_owned()).or_default().push(round_trip_ms.min(max_ms), now_ms);
        }
    }

    /// The estimated round trip to a zone, in milliseconds.
    pub fn round_trip_ms(&self, zone: &str, now_ms: u64) -> f64 {
        let prior_ms = self.prior_ms(zone, now_ms);
        self.samples_by_zone.get(zone).map_or(prior_ms, |samples| samples.estimate_ms(prior_ms, now_ms))
    }

    /// The prior of a zone's round trip, in milliseconds. For a zone of another region, this is the shortest estimate
    /// among the other zones of that region, if any of them has samples.
    fn prior_ms(&self, zone: &str, now_ms: u64) -> f64 {
        let proximity = self.proximity(zone);
        let prior_ms = proximity.prior_ms();
        if proximity != Proximity::OtherRegion {
            return prior_ms;
        }
        let neighbors = self
            .samples_by_zone
            .iter()
            .filter(|(other, _)| *other != zone && self.topology.is_same_region(other, zone));
        let estimates = neighbors.map(|(_, samples)| samples.estimate_ms(prior_ms, now_ms));
        estimates.min_by(f64::total_cmp).unwrap_or(prior_ms)
    }

    /// The zones with samples and the estimated round trip to each, in milliseconds.
    pub fn zone_round_trips(&self, now_ms: u64) -> impl Iterator<Item = (&str, f64)> {
        self.samples_by_zone.keys().map(move |zone| (zone.as_str(), self.round_trip_ms(zone, now_ms)))
    }
}
