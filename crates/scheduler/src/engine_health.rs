//! Records which engines a gateway avoids for a short time because its own requests there were refused or failed.
//!
//! Inputs: refusals for lack of capacity, failures and successful responses, with their times since an arbitrary fixed
//! moment. An unhealthy state does not exclude an engine: [`crate::engine_choice`] adds a cost for it, so the engine is
//! still used when there is no better one. [`crate::outliers`] weighs the failures that all gateways see together;
//! [`crate::reachability`] excludes engines that cannot be connected to.

use std::time::Duration;

/// Time for which an engine that refused a request for lack of capacity is avoided.
const FULL_PAUSE: Duration = Duration::from_millis(40);
/// Time for which an engine is avoided (ejected) after its first failure; doubled with each consecutive failure.
const FIRST_EJECTION: Duration = Duration::from_millis(400);
/// The longest time for which an engine is ejected before the gateway tries it again.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Bounds the shift that doubles the ejection time, so that the shift cannot overflow. [`MAX_EJECTION`] is reached with
/// fewer doublings.
const MAX_DOUBLINGS: u32 = 8;
/// Time without a response head after which a request counts as a failure of its engine, even while the gateway still
/// waits for the response. Otherwise, an engine that does not respond would look idle and attract requests. Loaded
/// engines take a few hundred milliseconds to send the head.
pub const OVERDUE_AFTER: Duration = Duration::from_secs(1);

/// The health of an engine, from this gateway's requests of the last seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineHealth {
    /// The engine recently neither refused nor failed a request of this gateway.
    Available,
    /// The engine recently refused a request for lack of capacity.
    Full,
    /// The engine recently could not be reached or broke off a response; it may also have refused a request for lack
    /// of capacity.
    Ejected,
}

impl EngineHealth {
    /// Number of penalties for which [`crate::cost`] raises the engine's cost. An ejected engine has two, because it is
    /// unavailable and has failed recently. So the gateway tries a full engine before an ejected one.
    pub fn penalty_count(self) -> u32 {
        match self {
            Self::Available => 0,
            Self::Full => 1,
            Self::Ejected => 2,
        }
    }
}

/// Recent refusals and failures of one engine. Times are since an arbitrary fixed moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthRecord {
    failures_in_a_row: u32,
    ejected_until: Duration,
    full_until: Duration,
}

impl HealthRecord {
    /// The engine's health at the time `now`.
    pub fn health(&self, now: Duration) -> EngineHealth {
        if now < self.ejected_until {
            EngineHealth::Ejected
        } else if now < self.full_until {
            EngineHealth::Full
        } else {
            EngineHealth::Available
        }
    }

    /// Records that the engine refused a request for lack of capacity.
    pub fn note_full(&mut self, now: Duration) {
        self.full_until = now + FULL_PAUSE;
    }

    /// Records that the engine could not be reached or broke off a response.
    pub fn note_failure(&mut self, now: Duration) {
        let doublings = self.failures_in_a_row.min(MAX_DOUBLINGS);
        self.ejected_until = now + FIRST_EJECTION.saturating_mul(1 << doublings).min(MAX_EJECTION);
        self.failures_in_a_row += 1;
    }

    /// Records a successful response, which ends an ejection.
    pub fn note_success(&mut self) {
        self.failures_in_a_row = 0;
        self.ejected_until = Duration::ZERO;
    }
}
