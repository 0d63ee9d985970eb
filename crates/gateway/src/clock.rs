//! The monotonic clock, and detection of pauses of the process. No decision depends on the time of day, since a
//! machine's clock may jump.

use crate::logging::part;
use foxnotch_membership::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The value of a [`SteadyClock`] when it starts, in milliseconds. It is not 0, so that a time before the start, which
/// is computed from the age of a message, stays positive.
const START_MS: u64 = 1_000_000;

/// Time between two checks for a pause.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// A check whose delay exceeds this is logged as a pause. It is several times the delay that a busy machine causes.
const MIN_PAUSE: Duration = Duration::from_millis(800);

/// Logs pauses of the process until the process ends. A pause, because the process was frozen or got no processor time,
/// explains timeouts that callers saw.
pub(crate) async fn log_process_pauses() {
    loop {
        let sleep_started_at = Instant::now();
        tokio::time::sleep(CHECK_PERIOD).await;
        let delay = sleep_started_at.elapsed().saturating_sub(CHECK_PERIOD);
        if delay > MIN_PAUSE {
            log::warn!(
                target: part::PROCESS,
                "The process stood still: for={delay:?}. Requests in flight were not served during that time."
            );
        }
    }
}

/// A monotonic clock that counts milliseconds from its start, beginning above 0.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    start: Instant,
}

impl SteadyClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The current time of the clock.
    pub fn now(&self) -> Millis {
        Millis(START_MS + self.start.elapsed().as_millis() as u64)
    }
}

/// The time of day in Unix milliseconds, to be shown to people and to distinguish one start of a node from the next.
/// Never 0, which stands for no time: if the machine's clock shows a time before 1970 because it was never set, the
/// result is 1.
pub(crate) fn time_of_day_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |age| (age.as_millis() as u64).max(1))
}
