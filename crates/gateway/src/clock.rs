//! The steady clock. No decision rests on the time of day.

use foxnotch_core::time::Millis;
use std::time::Instant;

/// Milliseconds that the clock shows at the start, so that earlier times can be stated.
const START_MS: u64 = 1_000_000;

/// Milliseconds since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    start: Instant,
}

impl SteadyClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Millis {
        Millis(START_MS + self.start.elapsed().as_millis() as u64)
    }
}
