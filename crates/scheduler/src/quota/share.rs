//! One replica's share of one tenant's limit: what it gave in the window, its bucket, its cap.

use super::programs::Programs;
use super::{Admission, Answer, Cap, Demand, Grant, ProgramStage};
use std::collections::VecDeque;
use std::time::Duration;

/// Requests given within this time are counted together, as given at its end: bounds the memory of a share.
const COUNTING_STEP: Duration = Duration::from_millis(50);
/// Share of a window that may be given at once. The smaller it is, the less can have been given just before a restart.
const BURST_SHARE: f64 = 0.3;
/// Steps in which what is taken as given before a start counts less and less.
const HISTORY_STEP: Duration = Duration::from_millis(100);
/// What a sum of fractions may be off.
const ROUNDING: f64 = 1e-6;
/// Steps in which a cap is raised, as a share of the window.
const CAP_STEP: f64 = 0.2;
/// The smallest step, in requests.
const MIN_CAP_STEP: f64 = 4.0;
/// Time in which a tenant has to need less before its cap is lowered.
const CAP_PERIOD: Duration = Duration::from_secs(15);
/// Time ahead for which a new program is weighed: what was given before that ends to count makes room for it.
const LOOKAHEAD: Duration = Duration::from_millis(1500);

/// Time after a refusal of a program under way in which new programs have to fit as a whole. Before, the limit is
/// thought to bear what comes: weighing new programs all the time refused 0.040 of the programs on a calm day, letting
/// each request in by itself 0.034, weighing them only then 0.034 (one play each).
const SCARCITY_MEMORY: Duration = Duration::from_secs(3);

/// One replica's share of one tenant's limit.
#[derive(Clone, Debug)]
pub(super) struct Share {
    per_window: u32,
    window: Duration,
    version: u64,
    /// Requests given within the window, oldest first, by the time up to which they count.
    given: VecDeque<(Duration, u32)>,
    /// Their sum.
    given_in_window: u32,
    /// What the bucket holds.
    level: f64,
    refilled_at: Duration,
    /// The upper bound of a window, as stored on disk.
    cap: u32,
    /// A cap that is being written.
    cap_under_way: Option<u32>,
    /// The largest number given in a window since `peak_since`.
    peak: u32,
    peak_since: Duration,
    programs: Programs,
    /// When a request of a program under way was refused last.
    scarce_at: Option<Duration>,
}

impl Share {
    /// A share that is held since `begun_at`. Up to `max_given` requests may have been given before; `cap` is on disk.
    pub(super) fn new(per_window: u32, window: Duration, begun_at: Duration, max_given: u32, cap: u32) -> Self {
        let mut share = Self {
            per_window,
            window,
            version: 0,
            given: VecDeque::new(),
            given_in_window: 0,
            level: 0.0,
            refilled_at: begun_at,
            cap,
            cap_under_way: None,
            peak: max_given,
            peak_since: begun_at,
            programs: Programs::new(begun_at),
            scarce_at: None,
        };
        share.take_as_given(max_given, begun_at);
        share
    }

    /// Counts `max_given` requests as given before a start, as late as the bucket allowed: what it holds when it is
    /// full at the last moment, and before that what it refills.
    fn take_as_given(&mut self, max_given: u32, begun_at: Duration) {
        let mut uncounted = max_given;
        let mut at_once = self.capacity();
        let mut expires_at = begun_at + self.window;
        while uncounted > 0 {
            let count = (at_once.floor() as u32).clamp(1, uncounted);
            self.given.push_front((expires_at, count));
            uncounted -= count;
            at_once = (at_once - f64::from(count)).max(0.0) + self.per_second() * HISTORY_STEP.as_secs_f64();
            if at_once < 1.0 {
                let step = Duration::from_secs_f64((1.0 - at_once) / self.per_second());
                expires_at = expires_at.saturating_sub(step);
                at_once = 1.0;
            }
            expires_at = expires_at.saturating_sub(HISTORY_STEP);
        }
        self.given_in_window = max_given;
    }

    /// Requests that it gives at once when the bucket is full.
    fn capacity(&self) -> f64 {
        (f64::from(self.per_window) * BURST_SHARE).max(1.0)
    }

    /// Requests by which the bucket refills in a second.
    fn per_second(&self) -> f64 {
        f64::from(self.per_window) / self.window.as_secs_f64()
    }

    /// Adopts the limit of a configuration, unless a newer one is in use.
    pub(super) fn set_limit(&mut self, per_window: u32, version: u64) {
        if version >= self.version {
            self.per_window = per_window;
            self.version = version;
        }
    }

    /// A cap is on disk, or could not be written.
    pub(super) fn note_cap(&mut self, requests: u32, is_written: bool) {
        self.cap_under_way.take_if(|under_way| *under_way <= requests);
        if is_written {
            self.cap = self.cap.max(requests);
        }
    }

    /// Drops what was given before the window, and refills the bucket.
    fn advance(&mut self, now: Duration) {
        while let Some((_, count)) = self.given.pop_front_if(|(expires_at, _)| *expires_at <= now) {
            self.given_in_window -= count;
        }
        let refilled = self.per_second() * now.saturating_sub(self.refilled_at).as_secs_f64();
        self.level = (self.level + refilled).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Requests that it may give now.
    fn left(&self) -> u32 {
        let in_bucket = (self.level + ROUNDING).floor() as u32;
        self.per_window.saturating_sub(self.given_in_window).min(in_bucket)
    }

    /// Time until it may give one more.
    fn wait(&self, now: Duration) -> Duration {
        let lacking = (1.0 - self.level) / self.per_second();
        let until_refilled = Duration::try_from_secs_f64(lacking).unwrap_or(Duration::ZERO);
        let over = f64::from(self.given_in_window + 1) - f64::from(self.per_window);
        until_refilled.max(self.wait_for(over, now))
    }

    /// Time until `requests` fewer count.
    fn wait_for(&self, requests: f64, now: Duration) -> Duration {
        if requests <= 0.0 {
            return Duration::ZERO;
        }
        let mut lacking = requests;
        for (expires_at, count) in &self.given {
            lacking -= f64::from(*count);
            if lacking <= 0.0 {
                return expires_at.saturating_sub(now);
            }
        }
        self.window
    }

    /// Requests by which the window is too small for one more program.
    fn lacking_for_new(&self, now: Duration) -> f64 {
        let soon = now + LOOKAHEAD;
        let counting = self.given.iter().filter(|(expires_at, _)| *expires_at > soon);
        let still_given: u32 = counting.map(|(_, count)| count).sum();
        let needed = f64::from(still_given) + self.programs.committed(now) + self.programs.mean();
        // One program always fits into an empty window.
        needed - f64::from(self.per_window).max(self.programs.mean())
    }

    fn cap_step(&self) -> u32 {
        (f64::from(self.per_window) * CAP_STEP).max(MIN_CAP_STEP) as u32
    }

    /// The cap with which `requests` may be given in a window.
    fn cap_for(&self, requests: u32) -> u32 {
        requests.saturating_add(self.cap_step()).min(self.per_window.max(requests))
    }

    /// The next cap, when what is given comes near the one on disk.
    pub(super) fn next_cap(&self) -> Option<u32> {
        let is_near = self.given_in_window + self.cap_step() / 2 > self.cap;
        if !is_near || self.cap >= self.per_window || self.cap_under_way.is_some() {
            return None;
        }
        Some(self.cap_for(self.given_in_window + 1)).filter(|next| *next > self.cap)
    }

    /// A higher cap is being written. It is not lowered soon after, so that no write overtakes the other.
    pub(super) fn note_raise(&mut self, requests: u32, now: Duration) {
        self.cap_under_way = Some(self.cap_under_way.map_or(requests, |known| known.max(requests)));
        self.peak_since = now;
    }

    pub(super) fn take(&mut self, demand: &Demand, admission: Admission, now: Duration) -> Answer {
        self.advance(now);
        self.programs.sweep(now);
        let is_new = demand.stage == ProgramStage::New && !self.programs.knows(demand.program);
        let left = self.left();
        let is_scarce = self.scarce_at.is_some_and(|refused_at| now.saturating_sub(refused_at) < SCARCITY_MEMORY);
        let is_weighed = is_new && is_scarce && admission == Admission::WholePrograms;
        let lacking = if is_weighed { self.lacking_for_new(now) } else { 0.0 };
        if left == 0 || lacking > 0.0 {
            return Answer::Decided(self.refuse(demand, is_new, lacking, now));
        }
        let below_cap = self.cap.saturating_sub(self.given_in_window);
        if below_cap == 0 {
            let requests = self.cap_for(self.given_in_window + 1);
            self.note_raise(requests, now);
            return Answer::NeedsCap(Cap { tenant: demand.tenant, requests });
        }
        self.give_one(now);
        self.programs.note(demand.program, true, now);
        let left = self.left();
        let retry_after = if left > 0 { Duration::ZERO } else { self.wait(now) };
        Answer::Decided(Grant { granted: true, left: f64::from(left), retry_after })
    }

    fn refuse(&mut self, demand: &Demand, is_new: bool, lacking: f64, now: Duration) -> Grant {
        if !is_new {
            self.programs.note(demand.program, false, now);
            self.scarce_at = Some(now);
        }
        let left = self.left();
        let until_left = if left > 0 { Duration::ZERO } else { self.wait(now) };
        Grant { granted: false, left: f64::from(left), retry_after: until_left.max(self.wait_for(lacking, now)) }
    }

    fn give_one(&mut self, now: Duration) {
        self.level -= 1.0;
        self.given_in_window += 1;
        self.peak = self.peak.max(self.given_in_window);
        match self.given.back_mut() {
            Some((expires_at, sum)) if now + self.window <= *expires_at => *sum += 1,
            _ => self.given.push_back((now + COUNTING_STEP + self.window, 1)),
        }
    }

    /// A lower cap, when the tenant has needed less for a while.
    pub(super) fn lower_cap(&mut self, now: Duration) -> Option<u32> {
        if now.saturating_sub(self.peak_since) < CAP_PERIOD {
            return None;
        }
        self.advance(now);
        let needed = self.cap_for(self.peak.max(self.given_in_window));
        self.peak = self.given_in_window;
        self.peak_since = now;
        let is_lower = needed + self.cap_step() <= self.cap && self.cap_under_way.is_none();
        is_lower.then(|| {
            // At once, so that nothing is given above it while it is being written.
            self.cap = needed;
            needed
        })
    }
}
