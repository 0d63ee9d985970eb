//! Wait times of watches and pauses between calls. Each call costs money and counts against the store's rate limit, so
//! there are as few calls as the deployment's change limit allows.

use crate::ports::store::Kind;
use rand::Rng;
use std::time::{Duration, Instant};

/// The longest wait of one watch. A store that stops answering drops the waiting watches, and does not report this when
/// it answers again. The wait therefore limits the time for which this node misses changes.
const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// The longest wait of a watch for kinds whose changes may arrive seconds late: a longer wait means fewer calls.
const LONG_WATCH_WAIT: Duration = Duration::from_secs(6);
/// The wait of the first watch after a failure: short, to detect soon whether the store serves this node again.
const RECOVERY_WAIT: Duration = Duration::from_millis(200);
/// Pause before the next watch while many changes arrive: each answer costs a call, so the changes are batched.
pub(super) const BATCH_PAUSE: Duration = Duration::from_millis(100);
/// Number of answers with changes in one [`CHANGE_WINDOW`] that are not followed by a pause: a single change takes
/// effect at once, while the changes of a rollout of many engines are batched.
const MAX_CHANGES_WITHOUT_PAUSE: u32 = 4;
/// The time window in which answers with changes are counted.
const CHANGE_WINDOW: Duration = Duration::from_secs(1);
/// The pause after the first failure, in milliseconds; it doubles with each further failure.
const FIRST_PAUSE_MS: u64 = 80;
/// The longest pause after a failure, in milliseconds. It bounds the time until this node detects that the store
/// answers again.
const MAX_PAUSE_MS: u64 = 700;
/// Number of doublings after which the pause exceeds [`MAX_PAUSE_MS`] anyway; prevents an overflow of the shift.
const MAX_DOUBLINGS: u32 = 8;

/// The wait of the next watch of a kind. It is short unless `is_in_contact`: after a failure, and when this node begins
/// to watch the store.
pub(super) fn watch_wait(kind: Kind, is_in_contact: bool) -> Duration {
    if !is_in_contact {
        return RECOVERY_WAIT;
    }
    match kind {
        Kind::Configuration | Kind::Engines | Kind::ZoneDrains => WATCH_WAIT,
        Kind::ReplicaSet | Kind::Retirements => LONG_WATCH_WAIT,
    }
}

/// The pause after a failed call that follows `failures` other failed calls. Its longest value doubles with each
/// failure. The pause is a random time between half of this value and the whole, so that the nodes of a fleet do not
/// call the store again at the same moment.
pub(super) fn pause_after_failure(failures: u32) -> Duration {
    let longest = FIRST_PAUSE_MS.saturating_mul(1 << failures.min(MAX_DOUBLINGS)).min(MAX_PAUSE_MS);
    Duration::from_millis(rand::rng().random_range(longest / 2..=longest))
}

/// Counts answers with changes per [`CHANGE_WINDOW`].
#[derive(Default)]
pub(super) struct ChangeRate {
    window_began_at: Option<Instant>,
    count: u32,
}

impl ChangeRate {
    /// Counts one answer with changes. Returns whether the current window now has more than
    /// [`MAX_CHANGES_WITHOUT_PAUSE`] of them, so that a pause is due.
    pub(super) fn count_and_check_limit(&mut self, now: Instant) -> bool {
        if self.window_began_at.is_none_or(|began_at| now.duration_since(began_at) > CHANGE_WINDOW) {
            self.window_began_at = Some(now);
            self.count = 0;
        }
        self.count += 1;
        self.count > MAX_CHANGES_WITHOUT_PAUSE
    }
}
