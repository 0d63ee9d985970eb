//! A budget that limits retries, so that retries cannot multiply the load during a failure.

/// Credit added for each request, in thousandths of a retry.
const CREDIT_PER_REQUEST: u64 = 100;
/// Credit used by each retry, in thousandths of a retry.
const COST_PER_RETRY: u64 = 1000;
/// Maximum credit, in thousandths of a retry.
const MAX_CREDIT: u64 = 20_000;

/// Allows about one retry per ten requests, with a reserve of up to twenty retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: MAX_CREDIT }
    }
}

impl RetryBudget {
    /// Adds the credit for the first attempt of a request.
    pub fn add_request_credit(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(MAX_CREDIT);
    }

    /// Uses one retry; false if the budget is exhausted.
    pub fn try_take(&mut self) -> bool {
        if self.credit < COST_PER_RETRY {
            return false;
        }
        self.credit -= COST_PER_RETRY;
        true
    }
}
