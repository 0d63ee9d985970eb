//! Decides which requests a gateway still admits during a planned stop.

use std::time::{Duration, Instant};

/// The process ends this long before the end of its grace period.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// The most time that has to be left to admit a request during a planned stop, as a fraction (0 to 1) of the grace
/// period. A request that expires sooner is admitted if it expires before the process ends.
const MAX_REQUIRED_FRACTION: f64 = 0.4;

/// A planned stop that has begun.
///
/// Soon after the stop begins, the platform directs callers to other gateways. If too few of them are ready, requests
/// still arrive at this gateway. Invariant: an admitted request either expires before the process ends, or has at
/// least [`MAX_REQUIRED_FRACTION`] of the grace period left when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    ends_at: Instant,
    /// The time that must be left to admit a request that expires later than this time from now.
    max_required: Duration,
}

impl PlannedStop {
    /// Begins a stop at `now` that has to end within the grace period `grace`.
    pub fn begin(now: Instant, grace: Duration) -> Self {
        Self { ends_at: now + grace.saturating_sub(GRACE_MARGIN), max_required: grace.mul_f64(MAX_REQUIRED_FRACTION) }
    }

    /// When the process ends, even with requests in flight.
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Whether a request that arrives at `now` and has the deadline `expires_at` is still admitted.
    pub fn admits(&self, now: Instant, expires_at: Instant) -> bool {
        let time_left = self.ends_at.saturating_duration_since(now);
        let time_needed = expires_at.saturating_duration_since(now);
        time_left >= time_needed.min(self.max_required)
    }
}
