//! Counts the requests and background tasks that a planned stop waits for.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Counts one request or background task until it is dropped.
pub struct WorkGuard(Arc<AtomicUsize>);

impl WorkGuard {
    /// Increments the counter; dropping the guard decrements it.
    pub fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter.clone())
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
