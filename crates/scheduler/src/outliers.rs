//! Estimates each engine's risk of failure from the outcomes of its requests.
//!
//! Health checks can be wrong, and an engine that fails immediately looks idle, so it attracts more requests than a
//! working one. The outcomes at all gateways together identify such an engine after a few requests; a single gateway
//! sees too few.
//!
//! This module ejects no engine: an engine's risk of failure adds to its cost, so the engine is still used where there
//! is no better one. Outcomes expire, so the engine is tried again. [`crate::engine_health`] ejects engines after
//! consecutive failures.

use std::time::Duration;

/// Weight of the mean failure rate of all engines in the estimated rate of one engine, in requests: the fewer requests
/// an engine has had, the closer its estimated rate is to the mean.
const PRIOR_REQUESTS: f64 = 4.0;
/// The lower bound of the mean failure rate, so that an engine's first failure already counts.
const MIN_MEAN: f64 = 0.005;
/// Number of time steps in the sliding window of outcomes.
const WINDOW_STEPS: usize = 4;
/// Duration of one step. A window of four steps covers about 2 s, in which an engine with a grey failure (it fails only
/// some requests) has answered a gateway several times.
const STEP_DURATION: Duration = Duration::from_millis(500);

/// Numbers of requests that succeeded and that failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Requests that were answered successfully.
    pub answered: u32,
    /// Requests that failed: the connection was reset, the response broke off or reported a failure, or there was no
    /// response for a long time.
    pub failed: u32,
}

impl Outcomes {
    /// The number of requests, successful and failed.
    pub fn request_count(self) -> u32 {
        self.answered + self.failed
    }

    /// The sum of these outcomes and `other`.
    pub fn plus(self, other: Self) -> Self {
        Self { answered: self.answered + other.answered, failed: self.failed + other.failed }
    }
}

/// Outcomes of one engine's requests in a sliding window. Times are since an arbitrary fixed moment.
#[derive(Clone, Debug, Default)]
pub struct OutcomeWindow {
    steps: [Outcomes; WINDOW_STEPS],
    /// The number of the newest step, counted from the fixed moment.
    newest_step: u64,
}

impl OutcomeWindow {
    /// Clears the steps that have left the window that ends at `now`.
    fn advance(&mut self, now: Duration) {
        let number = (now.as_millis() / STEP_DURATION.as_millis()) as u64;
        let passed = number.saturating_sub(self.newest_step).min(WINDOW_STEPS as u64);
        for offset in 0..passed {
            self.steps[((number - offset) % WINDOW_STEPS as u64) as usize] = Outcomes::default();
        }
        self.newest_step = self.newest_step.max(number);
    }

    /// Records the outcome of one request.
    pub fn note_outcome(&mut self, is_failure: bool, now: Duration) {
        self.advance(now);
        let step = &mut self.steps[(self.newest_step % WINDOW_STEPS as u64) as usize];
        if is_failure {
            step.failed += 1;
        } else {
            step.answered += 1;
        }
    }

    /// The outcomes within the window that ends at `now`.
    pub fn sum_window_ending_at(&mut self, now: Duration) -> Outcomes {
        self.advance(now);
        self.steps.iter().fold(Outcomes::default(), |sum, step| sum.plus(*step))
    }
}

/// Estimates failure probabilities of engines of one service, based on their mean failure rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureRates {
    mean: f64,
}

impl FailureRates {
    /// Computes the mean failure rate of engines with these outcomes.
    pub fn of(engines: impl Iterator<Item = Outcomes>) -> Self {
        let sum = engines.fold(Outcomes::default(), Outcomes::plus);
        let mean = f64::from(sum.failed) / f64::from(sum.request_count().max(1));
        Self { mean: mean.max(MIN_MEAN) }
    }

    /// The estimated probability that an engine with these recent outcomes fails the next request, from 0 to 1.
    pub fn failure_probability(&self, engine: Outcomes) -> f64 {
        let failed = f64::from(engine.failed) + PRIOR_REQUESTS * self.mean;
        failed / (f64::from(engine.request_count()) + PRIOR_REQUESTS)
    }
}
