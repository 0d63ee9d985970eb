//! Permits for single sends to cold engines.
//!
//! Relied on by replicas, which give the permits; a gateway that asks remembers the answers by [`crate::quota::asks`].
//!
//! What a cold engine bears in a second is divided into shares, one for each replica of the set, from which that
//! replica alone gives. So no agreement is needed, and whatever is cut off, all shares together stay under it. A share
//! counts what it gave in a sliding window. The window is longer than a second by the time that a send may take after
//! its permit was given; a permit that is not used by then has lapsed. Nothing is stored on disk: a replica that
//! starts, or joins the set, gives nothing for one window.

use super::SlowStartTolerance;
use crate::quota::Grant;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time after asking within which a gateway has to send what it got a permit for: some round trips between zones, and a
/// connection.
pub const USE_WITHIN: Duration = Duration::from_millis(100);
/// Time that a request may take to the engine: several times the path between zones.
const DELIVERY: Duration = Duration::from_millis(50);
/// The window in which the rate has to hold.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Share of the tolerated rate that is given at most: in large sets the rest covers more than one share that two
/// replicas hold at once.
const TOLERANCE_USE: f64 = 0.85;
/// Engines at which those that got nothing lately are forgotten.
const ENGINES_BEFORE_SWEEP: usize = 256;

/// A request for a permit.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest {
    /// The engine, as a hash of its identifier.
    pub engine: u64,
    /// Requests a second that it bears while cold.
    pub per_second: f64,
    /// Shares that there are.
    pub shares: usize,
    /// Which of them is asked.
    pub share: usize,
}

impl PermitRequest {
    /// Sends that this share may permit in a window. What is left after an even division goes to shares that differ
    /// from engine to engine, so that the shares of all together are the whole.
    fn per_window(&self, tolerance: SlowStartTolerance) -> usize {
        let tolerated = self.per_second * tolerance.factor + tolerance.slack;
        // Where the engine bears hardly one request a second, one share still gives one send.
        let least = usize::from(tolerated >= 1.0);
        let shares = self.shares.max(1);
        // One share more than there are has to fit in: while replicas use different sets, two may hold the same.
        let whole = tolerated as usize;
        let total = ((tolerated * TOLERANCE_USE) as usize).min(whole - whole.div_ceil(shares + 1)).max(least);
        let rotated = (self.share + (self.engine % shares as u64) as usize) % shares;
        total / shares + usize::from(rotated < total % shares)
    }
}

/// One replica's shares. Times are since the start of the process.
#[derive(Debug)]
pub struct PermitLimiter {
    tolerance: SlowStartTolerance,
    /// Until then nothing is given: what was given from these shares during the last window is not known.
    closed_until: Duration,
    /// When permits were given that still count, by engine.
    given: HashMap<u64, VecDeque<Duration>>,
}

/// The window that shares count in.
fn window() -> Duration {
    RATE_WINDOW + USE_WITHIN + DELIVERY
}

impl PermitLimiter {
    /// The limiter of a replica that starts now; `is_first` when the deployment does so for the first time.
    pub fn new(tolerance: SlowStartTolerance, is_first: bool, now: Duration) -> Self {
        let closed_until = if is_first { now } else { now + window() };
        Self { tolerance, closed_until, given: HashMap::new() }
    }

    /// The replica has become a member of the set: others may have given from its shares until now. Returns for how
    /// long nothing is given.
    pub fn begin_again(&mut self, now: Duration) -> Duration {
        self.closed_until = now + window();
        window()
    }

    /// Engines that permits were given for lately.
    pub fn engines(&self) -> usize {
        self.given.len()
    }

    /// Gives a permit for one send, or the time after which to ask again.
    pub fn take(&mut self, request: &PermitRequest, now: Duration) -> Grant {
        if now < self.closed_until {
            return Grant { granted: false, left: 0.0, retry_after: self.closed_until.saturating_sub(now) };
        }
        let per_window = request.per_window(self.tolerance);
        if per_window == 0 {
            return Grant { granted: false, left: 0.0, retry_after: window() };
        }
        if self.given.len() >= ENGINES_BEFORE_SWEEP {
            self.given.retain(|_, given| given.back().is_some_and(|last| now < *last + window()));
        }
        let given = self.given.entry(request.engine).or_default();
        while given.front().is_some_and(|first| now >= *first + window()) {
            given.pop_front();
        }
        let granted = given.len() < per_window;
        if granted {
            given.push_back(now);
        }
        let left = per_window.saturating_sub(given.len());
        let reopens = given.front().map_or(Duration::ZERO, |first| (*first + window()).saturating_sub(now));
        let retry_after = if left > 0 { Duration::ZERO } else { reopens };
        Grant { granted, left: left as f64, retry_after }
    }
}
