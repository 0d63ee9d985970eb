//! Issues permits, each for one send to a cold engine.
//!
//! Replicas use this module to issue the permits. A gateway remembers the replicas' answers in
//! [`crate::quota::share_selection`].
//!
//! The requests that a cold engine can take in a second are divided into shares. Each replica of the set has one share,
//! and only that replica issues permits from it. So the replicas need no agreement, and all shares together stay within
//! the tolerated rate during any network partition.
//!
//! A share counts the permits that it issued in a sliding window. The window is longer than a second by the longest
//! time from the issue of a permit until its request reaches the engine; a permit that is not used in time expires.
//! Nothing is stored on disk, so a replica that starts, or joins the set, issues no permits for one window.

use super::SlowStartTolerance;
use crate::quota::Grant;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time from asking for a permit within which the gateway has to send the request: enough for several round trips
/// between zones, and for opening a connection.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(100);
/// The longest time that a sent request may take to reach the engine: several times the network delay between zones.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(50);
/// The window in which the rate has to hold.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// The largest fraction of the tolerated requests for which permits are issued. The rest is a reserve for a share that
/// two replicas hold at the same time; in large sets, the reserve is larger than one share.
const USED_TOLERANCE_FRACTION: f64 = 0.85;
/// When permits for at least this many engines are tracked, engines without recent permits are removed.
const ENGINES_BEFORE_SWEEP: usize = 256;

/// A gateway's request for a permit.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest {
    /// The 64-bit hash of the engine's identifier, whose low 32 bits are the engine number.
    pub engine: u64,
    /// Number of requests a second that the engine can take while it is cold.
    pub per_second: f64,
    /// Number of shares into which the requests that the engine can take are divided.
    pub share_count: usize,
    /// Index of the share from which the gateway asks for a permit.
    pub share_index: usize,
}

impl PermitRequest {
    /// Number of permits that this share may issue in a window. The total is divided evenly. The remainder goes to
    /// shares that differ from engine to engine, so that all shares add up to the total.
    fn permits_per_window(&self, tolerance: SlowStartTolerance) -> usize {
        let tolerated = self.per_second * tolerance.factor + tolerance.slack;
        // An engine that can take hardly one request a second still gets one permit, from one share.
        let minimum = usize::from(tolerated >= 1.0);
        let share_count = self.share_count.max(1);
        // Leaves room for one more share: while replicas use different replica sets, two may hold the same share.
        let tolerated_permits = tolerated as usize;
        let total = ((tolerated * USED_TOLERANCE_FRACTION) as usize)
            .min(tolerated_permits - tolerated_permits.div_ceil(share_count + 1))
            .max(minimum);
        let rotated = (self.share_index + (self.engine % share_count as u64) as usize) % share_count;
        total / share_count + usize::from(rotated < total % share_count)
    }
}

/// Issues permits from one replica's shares. Times are since the start of the process.
#[derive(Debug)]
pub struct PermitLimiter {
    tolerance: SlowStartTolerance,
    /// Time until which no permit is issued, because permits issued earlier from these shares may still be in use.
    closed_until: Duration,
    /// Issue times of the permits in the counting window, oldest first, by engine.
    issued: HashMap<u64, VecDeque<Duration>>,
}

/// The window in which a share counts its permits.
fn counting_window() -> Duration {
    RATE_WINDOW + PERMIT_LIFETIME + MAX_DELIVERY_TIME
}

impl PermitLimiter {
    /// Creates the limiter of a replica that starts now. `is_first_start` states that the whole deployment starts for
    /// the first time, so that no permits can have been issued before.
    pub fn new(tolerance: SlowStartTolerance, is_first_start: bool, now: Duration) -> Self {
        let closed_until = if is_first_start { now } else { now + counting_window() };
        Self { tolerance, closed_until, issued: HashMap::new() }
    }

    /// Stops issuing permits for one window: the replica has joined the set, and other replicas may have issued permits
    /// from its shares until now. Returns the length of the window.
    pub fn reset_on_join(&mut self, now: Duration) -> Duration {
        self.closed_until = now + counting_window();
        counting_window()
    }

    /// Number of engines for which permits were recently issued.
    pub fn recently_permitted_engine_count(&self) -> usize {
        self.issued.len()
    }

    /// Issues a permit for one send, or refuses it and returns the time after which the gateway may ask again.
    pub fn try_acquire(&mut self, request: &PermitRequest, now: Duration) -> Grant {
        if now < self.closed_until {
            return Grant { granted: false, left: 0.0, retry_after: self.closed_until.saturating_sub(now) };
        }
        let permits_per_window = request.permits_per_window(self.tolerance);
        if permits_per_window == 0 {
            return Grant { granted: false, left: 0.0, retry_after: counting_window() };
        }
        if self.issued.len() >= ENGINES_BEFORE_SWEEP {
            self.issued.retain(|_, issued| issued.back().is_some_and(|last| now < *last + counting_window()));
        }
        let issued = self.issued.entry(request.engine).or_default();
        while issued.front().is_some_and(|first| now >= *first + counting_window()) {
            issued.pop_front();
        }
        let granted = issued.len() < permits_per_window;
        if granted {
            issued.push_back(now);
        }
        let left = permits_per_window.saturating_sub(issued.len());
        let until_next =
            issued.front().map_or(Duration::ZERO, |first| (*first + counting_window()).saturating_sub(now));
        let retry_after = if left > 0 { Duration::ZERO } else { until_next };
        Grant { granted, left: left as f64, retry_after }
    }
}
