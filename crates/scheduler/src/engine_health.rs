//! Which engines a gateway passes over for a moment, by its own requests.
//!
//! Inputs: refusals for lack of room, failures and answers, with their times since any fixed moment. A state is a
//! reason to pass an engine over, not a ban: [`crate::engine_choice`] prices it, so the engine is still used when there
//! is no better one. Failures that all gateways see together are weighed by [`crate::outliers`]; engines without a
//! connection are left out by [`crate::reachability`].
//!
//! Ejection was never switched off in a measurement, so its worth beside these two is not known.

use std::time::Duration;

/// Time for which an engine that refused for lack of room is passed over.
const FULL_PAUSE: Duration = Duration::from_millis(40);
/// The first time for which an engine that failed is passed over; doubled for each failure in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(400);
/// The longest such time: the engine is tried again after it.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// How often the time is doubled at most, so that it cannot overflow; [`MAX_EJECTION`] is reached before.
const MAX_DOUBLINGS: u32 = 8;
/// Time without the head of an answer after which a request counts as failed, for as long as it waits: engines that say
/// nothing look idle. Loaded ones take a few hundred milliseconds.
pub const OVERDUE: Duration = Duration::from_secs(1);

/// What this gateway saw of an engine in the last moments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineHealth {
    /// Nothing against it.
    Available,
    /// It refused a request for lack of room a moment ago.
    Full,
    /// It could not be reached, or broke off, a moment ago; it may be full too.
    Ejected,
}

impl EngineHealth {
    /// Reasons to pass the engine over. An ejected engine counts two: it is not available, and it failed lately. So a
    /// full one is tried before it.
    pub fn penalties(self) -> u32 {
        match self {
            Self::Available => 0,
            Self::Full => 1,
            Self::Ejected => 2,
        }
    }
}

/// Refusals and failures of one engine. Times are since any fixed moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthRecord {
    failures_in_a_row: u32,
    ejected_until: Duration,
    full_until: Duration,
}

impl HealthRecord {
    /// The state at a time.
    pub fn health(&self, now: Duration) -> EngineHealth {
        if now < self.ejected_until {
            EngineHealth::Ejected
        } else if now < self.full_until {
            EngineHealth::Full
        } else {
            EngineHealth::Available
        }
    }

    /// It refused for lack of room.
    pub fn note_full(&mut self, now: Duration) {
        self.full_until = now + FULL_PAUSE;
    }

    /// It could not be reached, or broke off.
    pub fn note_failure(&mut self, now: Duration) {
        let doublings = self.failures_in_a_row.min(MAX_DOUBLINGS);
        self.ejected_until = now + FIRST_EJECTION.saturating_mul(1 << doublings).min(MAX_EJECTION);
        self.failures_in_a_row += 1;
    }

    /// It answered well.
    pub fn note_success(&mut self) {
        self.failures_in_a_row = 0;
        self.ejected_until = Duration::ZERO;
    }
}
