//! Logs and counts calls whose callers disconnect before they get a response.

use crate::logging::part;
use crate::metrics::Metrics;
use std::sync::Arc;
use std::time::Instant;

/// Detects that a caller has disconnected. When the caller's connection closes, hyper drops the future that serves the
/// request, and this guard with it. Unless it was disarmed before, the guard then logs and counts the call.
pub struct AbandonedCallGuard {
    attempt: String,
    arrived_at: Instant,
    metrics: Arc<Metrics>,
    is_disarmed: bool,
}

impl AbandonedCallGuard {
    /// Creates the guard of the call with the identifier `attempt`.
    pub fn new(attempt: &str, arrived_at: Instant, metrics: &Arc<Metrics>) -> Self {
        Self { attempt: attempt.to_owned(), arrived_at, metrics: metrics.clone(), is_disarmed: false }
    }

    /// Disarms the guard: the call has an outcome, which is logged elsewhere.
    pub fn disarm(mut self) {
        self.is_disarmed = true;
    }
}

impl Drop for AbandonedCallGuard {
    fn drop(&mut self) {
        if self.is_disarmed {
            return;
        }
        let after = self.arrived_at.elapsed();
        self.metrics.count_call("caller_left", after);
        log::info!(target: part::CALL, "Call {} broken off: after={after:?}: the caller left.", self.attempt);
    }
}
