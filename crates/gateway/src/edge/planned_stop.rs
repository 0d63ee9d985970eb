//! What a gateway that is about to stop still takes.

use std::time::{Duration, Instant};

/// The end of the time to stop that is left unused.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Share of the time to stop: a request that may take longer than this is taken while this much time is left, a shorter
/// one while its own time is left.
const LAST_CALL_SHARE: f64 = 0.4;

/// A planned stop that has begun.
///
/// Callers are sent elsewhere soon after its beginning, but not when too few other gateways are ready. Invariant: a
/// request that is taken has its whole time before the process ends, or at least [`LAST_CALL_SHARE`] of the time to
/// stop.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    ends_at: Instant,
    last_call: Duration,
}

impl PlannedStop {
    /// A stop that begins now and has to end within `grace`.
    pub fn begin(now: Instant, grace: Duration) -> Self {
        Self { ends_at: now + grace.saturating_sub(GRACE_MARGIN), last_call: grace.mul_f64(LAST_CALL_SHARE) }
    }

    /// When the process ends, whatever is under way.
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Whether a request that came just now, and may take until `expires_at`, is still taken.
    pub fn takes(&self, now: Instant, expires_at: Instant) -> bool {
        let left = self.ends_at.saturating_duration_since(now);
        let wanted = expires_at.saturating_duration_since(now);
        left >= wanted.min(self.last_call)
    }
}
