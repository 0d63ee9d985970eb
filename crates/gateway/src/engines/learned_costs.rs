//! Learns the prices by which the cost of a request is computed, for each service, from the requests of this gateway.
//!
//! This module does no I/O. Its input is samples, its output prices in milliseconds. With few samples, the prices are
//! close to [`PRIOR`].

use crate::locks::lock;
pub use foxnotch_scheduler::cost::ServicePrices;
use std::collections::HashMap;
use std::sync::Mutex;

/// The factor by which a sample's weight is multiplied at each later sample. With 0.995, all samples together weigh at
/// most as much as 200 new ones.
const SAMPLE_DECAY: f64 = 0.995;
/// The initial weight of the prior, in samples. The weight falls as samples arrive.
const INITIAL_PRIOR_WEIGHT: f64 = 20.0;
/// The lowest weight of the prior, in samples. It is above zero because samples that all have the same x do not
/// determine a slope: the slope is then that of the prior.
const MIN_PRIOR_WEIGHT: f64 = 1.0;
/// The assumed prices before any sample.
const PRIOR: ServicePrices = ServicePrices::PRIOR;
/// The assumed number of events in the answer of a turn before any sample.
const PRIOR_EVENTS: f64 = 10.0;
/// The largest factor by which a price that is learned as the slope of a line ([`DecayingLine::slope`]) may differ from
/// its prior, up or down. Without this limit, unusual samples could make the price almost zero or unbounded.
const MAX_SLOPE_FACTOR: f64 = 50.0;
/// The standard deviation of the number of missing tokens in the prior's pseudo-samples. The prior affects a learned
/// line as if pseudo-samples had been added to it, at first [`INITIAL_PRIOR_WEIGHT`] of them.
const PRIOR_TOKENS_SPREAD: f64 = 2000.0;
/// The standard deviation of the number of requests in flight in the prior's pseudo-samples.
const PRIOR_REQUESTS_SPREAD: f64 = 4.0;

/// The measurements of one turn.
#[derive(Clone, Copy, Debug)]
pub struct TurnSample {
    /// Prompt tokens that the engine probably did not have in its cache and had to read.
    pub missing_tokens: f64,
    /// Requests in flight at the engine when the turn was sent.
    pub in_flight_requests: f64,
    /// Number of events in the answer.
    pub events: f64,
    /// Milliseconds from sending the turn to the first event of the answer.
    pub first_event_ms: f64,
    /// Milliseconds from sending the turn to the end of the answer.
    pub total_ms: f64,
}

/// Returns the weight of the prior, in samples. It falls linearly with `weight`, the total weight of the samples so
/// far, from [`INITIAL_PRIOR_WEIGHT`] to [`MIN_PRIOR_WEIGHT`].
fn prior_weight(weight: f64) -> f64 {
    let remaining_share = 1.0 - weight * (1.0 - SAMPLE_DECAY);
    (INITIAL_PRIOR_WEIGHT * remaining_share).max(MIN_PRIOR_WEIGHT)
}

/// The weighted sums of x, y, x² and xy of samples, from which the slope of a least-squares line is computed. Older
/// samples weigh less.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingLine {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl DecayingLine {
    fn add(&mut self, x: f64, y: f64) {
        for sum in [&mut self.weight, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *sum *= SAMPLE_DECAY;
        }
        self.weight += 1.0;
        self.x += x;
        self.y += y;
        self.xx += x * x;
        self.xy += x * y;
    }

    /// The slope of the line through the samples and the prior's pseudo-samples. The pseudo-samples have the weight
    /// [`prior_weight`], lie on a line with the slope `prior`, and their x has the standard deviation `spread`.
    fn slope(&self, prior: f64, spread: f64) -> f64 {
        let weight = self.weight.max(1.0);
        let x_variation = self.xx - self.x * self.x / weight;
        let covariation = self.xy - self.x * self.y / weight;
        let prior_variation = prior_weight(self.weight) * spread * spread;
        let slope = (covariation + prior * prior_variation) / (x_variation + prior_variation);
        slope.clamp(prior / MAX_SLOPE_FACTOR, prior * MAX_SLOPE_FACTOR)
    }
}

/// A weighted mean of samples. Older samples weigh less.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingMean {
    weight: f64,
    sum: f64,
}

impl DecayingMean {
    fn add(&mut self, value: f64) {
        self.weight = self.weight * SAMPLE_DECAY + 1.0;
        self.sum = self.sum * SAMPLE_DECAY + value;
    }

    /// The mean of the samples and the prior's pseudo-samples, which have the weight [`prior_weight`] and the value
    /// `prior`.
    fn value(&self, prior: f64) -> f64 {
        let prior_weight = prior_weight(self.weight);
        (self.sum + prior * prior_weight) / (self.weight + prior_weight)
    }
}

/// The samples of one service, from which its prices are computed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceCosts {
    /// Time to the first event in milliseconds (y), over the number of missing prompt tokens (x).
    first_event_ms_by_tokens: DecayingLine,
    /// Mean time between two events of a turn in milliseconds (y), over the number of requests in flight at the engine
    /// (x).
    event_gap_ms_by_requests: DecayingLine,
    events_per_turn: DecayingMean,
    turn_ms: DecayingMean,
    answer_ms: DecayingMean,
}

impl ServiceCosts {
    /// Adds the sample of a turn whose answer arrived completely.
    pub fn add_turn(&mut self, sample: &TurnSample) {
        self.first_event_ms_by_tokens.add(sample.missing_tokens, sample.first_event_ms);
        self.turn_ms.add(sample.total_ms);
        self.events_per_turn.add(sample.events);
        let gaps = sample.events - 1.0;
        if gaps >= 1.0 {
            self.event_gap_ms_by_requests
                .add(sample.in_flight_requests, (sample.total_ms - sample.first_event_ms) / gaps);
        }
    }

    /// Adds a sample of a plain service: the milliseconds from sending a request to the end of its answer.
    pub fn add_answer_time(&mut self, answer_ms: f64) {
        self.answer_ms.add(answer_ms);
    }

    /// Computes the prices from the samples and the prior.
    pub fn prices(&self) -> ServicePrices {
        let events = self.events_per_turn.value(PRIOR_EVENTS);
        let event_slowdown_ms =
            self.event_gap_ms_by_requests.slope(PRIOR.request_ms / PRIOR_EVENTS, PRIOR_REQUESTS_SPREAD);
        ServicePrices {
            token_ms: self.first_event_ms_by_tokens.slope(PRIOR.token_ms, PRIOR_TOKENS_SPREAD),
            request_ms: event_slowdown_ms * events,
            turn_ms: self.turn_ms.value(PRIOR.turn_ms),
            answer_ms: self.answer_ms.value(PRIOR.answer_ms),
        }
    }
}

/// The samples of all services, by the service's name.
#[derive(Debug, Default)]
pub struct LearnedCosts {
    services: Mutex<HashMap<String, ServiceCosts>>,
}

impl LearnedCosts {
    /// Calls `add_samples` with the samples of a service, which are empty at the first call for that service.
    pub fn update_service(&self, service: &str, add_samples: impl FnOnce(&mut ServiceCosts)) {
        let mut services = lock(&self.services);
        match services.get_mut(service) {
            Some(known) => add_samples(known),
            None => add_samples(services.entry(service.to_owned()).or_default()),
        }
    }

    /// The prices of a service; [`PRIOR`] for a service without samples.
    pub fn prices(&self, service: &str) -> ServicePrices {
        lock(&self.services).get(service).map_or(PRIOR, ServiceCosts::prices)
    }
}
