//! Counts the messages of other nodes that this build cannot decode, and logs some of them. Without the count and the
//! log, an operator could not distinguish nodes whose builds cannot read each other's messages from dead nodes.

use crate::locks::lock;
use crate::logging::part;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Shortest time between two log lines, since messages that cannot be decoded may arrive as often as probes do.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// Number of messages that could not be decoded, since the process started.
static UNREADABLE_COUNT: AtomicU64 = AtomicU64::new(0);

/// When the last log line about such a message was written.
static LAST_LOGGED_AT: Mutex<Option<Instant>> = Mutex::new(None);

/// The number of other nodes' messages that could not be decoded, since the process started.
pub fn unreadable_message_count() -> u64 {
    UNREADABLE_COUNT.load(Ordering::Relaxed)
}

/// Counts a message that cannot be decoded, and logs it unless another was logged within [`LOG_PERIOD`].
pub(super) fn record_unreadable_message(from: SocketAddr, error: &impl Display) {
    let count = UNREADABLE_COUNT.fetch_add(1, Ordering::Relaxed) + 1;
    let mut logged_at = lock(&LAST_LOGGED_AT);
    if logged_at.is_none_or(|at| at.elapsed() >= LOG_PERIOD) {
        *logged_at = Some(Instant::now());
        log::warn!(
            target: part::PEER,
            "Cannot decode a message from {from}, so this node drops the message (`count` is the number of dropped \
             messages since this process started): count={count}: {error}.",
        );
    }
}
