//! Engines that have just started are slow and fail under the usual load. Until such an engine is warm, all gateways
//! together limit the rate of the requests that they send to it.
//!
//! [`warmth`] holds one gateway's estimate of whether an engine is cold; [`permits`] is the rule by which replicas
//! permit single sends to cold engines, so that all gateways together stay within the tolerated rate.

pub mod permits;
pub mod warmth;

use serde::{Deserialize, Serialize};

/// The load that a cold engine of a service can take, and the time for which engines are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Time for which an engine is cold after a start, in milliseconds.
    pub duration_ms: u64,
    /// Number of requests a second that a cold engine can take from all gateways together; above 0.
    pub per_second: f64,
}

impl SlowStart {
    /// Returns the slow start of a service, or `None` when its engines need none (the rate is not a positive number).
    pub fn new(duration_ms: u64, per_second: f64) -> Option<Self> {
        let is_positive_number = per_second.is_finite() && per_second > 0.0;
        is_positive_number.then_some(Self { duration_ms, per_second })
    }
}

/// The excess over a cold engine's rate that the deployment tolerates in any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartTolerance {
    /// Upper bound of the requests in a second, as a multiple of the rate: 1.5 tolerates 50 % more.
    pub factor: f64,
    /// Number of requests tolerated in any second in addition to `factor` times the rate.
    pub slack: f64,
}
