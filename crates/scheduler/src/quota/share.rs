//! One replica's share of one tenant's limit: its grants in the window, its token bucket and its cap.

use super::programs::Programs;
use super::{Admission, Answer, Cap, Demand, Grant, ProgramStage};
use std::collections::VecDeque;
use std::time::Duration;

/// Requests granted within this time are counted together, as if all were granted at its end. This bounds the memory of
/// a share.
const COUNTING_STEP: Duration = Duration::from_millis(50);
/// Capacity of the token bucket, as a fraction of the requests that the share grants in a window. The smaller the
/// bucket, the fewer requests can have been granted just before a restart.
const BURST_FRACTION: f64 = 0.3;
/// Spacing of the grants that a new share assumes. The share does not know when requests were granted before its
/// replica began to hold it. So it assumes the worst case ([`Share::assume_granted`]): the requests of a full bucket
/// just before that time, and earlier every request that the refill allowed.
const ASSUMED_GRANTS_STEP: Duration = Duration::from_millis(100);
/// Tolerance for rounding errors in `bucket_level`, in requests.
const ROUNDING_ERROR: f64 = 1e-6;
/// Step by which a cap is raised, as a fraction of the requests that the share grants in a window.
const CAP_STEP: f64 = 0.2;
/// The smallest step by which a cap is raised, in requests.
const MIN_CAP_STEP: f64 = 4.0;
/// Time for which a tenant has to need less than its cap before the cap is lowered.
const CAP_LOWERING_PERIOD: Duration = Duration::from_secs(15);
/// Time by which the check of a new program looks ahead: grants that expire within this time do not count against the
/// program.
const LOOKAHEAD: Duration = Duration::from_millis(1500);

/// Time after the refusal of a running program's request in which a new program is admitted only if all of its expected
/// requests fit into the window. Without such a refusal, the limit is assumed to be sufficient: applying the rule all
/// the time refused more programs while demand was low.
const SCARCITY_PERIOD: Duration = Duration::from_secs(3);

/// One replica's share of one tenant's limit.
#[derive(Clone, Debug)]
pub(super) struct Share {
    /// Upper bound of the requests that the share grants in a window.
    per_window: u32,
    window: Duration,
    /// The version of the configuration that contains the limit.
    version: u64,
    /// Requests granted in the window, oldest first: the time at which they expire, and their number.
    granted: VecDeque<(Duration, u32)>,
    /// The total number of requests in `granted`.
    granted_in_window: u32,
    /// Level of the token bucket, in requests.
    bucket_level: f64,
    refilled_at: Duration,
    /// Upper bound of the requests granted in a window, as stored on disk.
    cap: u32,
    /// A higher cap that the replica is writing to disk.
    pending_cap: Option<u32>,
    /// The largest number of requests granted in any window since `peak_since`.
    peak: u32,
    peak_since: Duration,
    programs: Programs,
    /// When a request of a running program was last refused.
    running_refused_at: Option<Duration>,
}

impl Share {
    /// Creates a share that the replica holds since `held_since`. Up to `max_granted` requests may have been granted
    /// from the share before that time. `cap` is the cap on the replica's disk.
    pub(super) fn new(per_window: u32, window: Duration, held_since: Duration, max_granted: u32, cap: u32) -> Self {
        let mut share = Self {
            per_window,
            window,
            version: 0,
            granted: VecDeque::new(),
            granted_in_window: 0,
            bucket_level: 0.0,
            refilled_at: held_since,
            cap,
            pending_cap: None,
            peak: max_granted,
            peak_since: held_since,
            programs: Programs::new(held_since),
            running_refused_at: None,
        };
        share.assume_granted(max_granted, held_since);
        share
    }

    /// Counts `max_granted` requests as granted before `held_since`, at the latest times that the bucket allowed: the
    /// requests of a full bucket at the last moment, and before that the requests by which the bucket refilled.
    fn assume_granted(&mut self, max_granted: u32, held_since: Duration) {
        let mut uncounted = max_granted;
        let mut available = self.bucket_capacity();
        let mut expires_at = held_since + self.window;
        while uncounted > 0 {
            let count = (available.floor() as u32).clamp(1, uncounted);
            self.granted.push_front((expires_at, count));
            uncounted -= count;
            available =
                (available - f64::from(count)).max(0.0) + self.refill_per_second() * ASSUMED_GRANTS_STEP.as_secs_f64();
            if available < 1.0 {
                let step = Duration::from_secs_f64((1.0 - available) / self.refill_per_second());
                expires_at = expires_at.saturating_sub(step);
                available = 1.0;
            }
            expires_at = expires_at.saturating_sub(ASSUMED_GRANTS_STEP);
        }
        self.granted_in_window = max_granted;
    }

    /// Requests in a full bucket, which can be granted at once.
    fn bucket_capacity(&self) -> f64 {
        (f64::from(self.per_window) * BURST_FRACTION).max(1.0)
    }

    /// Requests by which the bucket refills in a second.
    fn refill_per_second(&self) -> f64 {
        f64::from(self.per_window) / self.window.as_secs_f64()
    }

    /// Adopts a limit, unless a limit from a newer configuration is in use.
    pub(super) fn set_limit(&mut self, per_window: u32, version: u64) {
        if version >= self.version {
            self.per_window = per_window;
            self.version = version;
        }
    }

    /// Records that a cap was written to disk, or could not be written.
    pub(super) fn note_cap_write_ended(&mut self, requests: u32, is_written: bool) {
        self.pending_cap.take_if(|pending| *pending <= requests);
        if is_written {
            self.cap = self.cap.max(requests);
        }
    }

    /// Removes grants that have expired, and refills the bucket.
    fn advance(&mut self, now: Duration) {
        while let Some((_, count)) = self.granted.pop_front_if(|(expires_at, _)| *expires_at <= now) {
            self.granted_in_window -= count;
        }
        let refilled = self.refill_per_second() * now.saturating_sub(self.refilled_at).as_secs_f64();
        self.bucket_level = (self.bucket_level + refilled).min(self.bucket_capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Number of requests that the share can grant now, regardless of the cap.
    fn grantable_now(&self) -> u32 {
        let in_bucket = (self.bucket_level + ROUNDING_ERROR).floor() as u32;
        self.per_window.saturating_sub(self.granted_in_window).min(in_bucket)
    }

    /// Time until the share can grant one more request.
    fn time_until_grant(&self, now: Duration) -> Duration {
        let shortfall = (1.0 - self.bucket_level) / self.refill_per_second();
        let until_refilled = Duration::try_from_secs_f64(shortfall).unwrap_or(Duration::ZERO);
        let excess = f64::from(self.granted_in_window + 1) - f64::from(self.per_window);
        until_refilled.max(self.time_until_grants_expire(excess, now))
    }

    /// Time until this number of the grants in the window have expired; the whole window when it contains fewer grants.
    fn time_until_grants_expire(&self, requests: f64, now: Duration) -> Duration {
        if requests <= 0.0 {
            return Duration::ZERO;
        }
        let mut shortfall = requests;
        for (expires_at, count) in &self.granted {
            shortfall -= f64::from(*count);
            if shortfall <= 0.0 {
                return expires_at.saturating_sub(now);
            }
        }
        self.window
    }

    /// Number of requests by which the window is too small for one more program; 0 or less when the program fits.
    fn shortfall_for_new_program(&self, now: Duration) -> f64 {
        let lookahead_end = now + LOOKAHEAD;
        let unexpired = self.granted.iter().filter(|(expires_at, _)| *expires_at > lookahead_end);
        let still_granted: u32 = unexpired.map(|(_, count)| count).sum();
        let needed =
            f64::from(still_granted) + self.programs.expected_further_requests(now) + self.programs.mean_requests();
        // One program always fits into an empty window.
        needed - f64::from(self.per_window).max(self.programs.mean_requests())
    }

    /// Number of requests by which the cap is raised.
    fn cap_step(&self) -> u32 {
        (f64::from(self.per_window) * CAP_STEP).max(MIN_CAP_STEP) as u32
    }

    /// The cap for a share that grants `requests` in a window: one step higher than `requests`, but not higher than
    /// `per_window`, unless `requests` itself is higher.
    fn cap_for(&self, requests: u32) -> u32 {
        requests.saturating_add(self.cap_step()).min(self.per_window.max(requests))
    }

    /// Returns a higher cap to write when the grants in the window approach the cap on disk; `None` while a cap is
    /// being written, or when the cap cannot be raised.
    pub(super) fn next_cap(&self) -> Option<u32> {
        let is_near_cap = self.granted_in_window + self.cap_step() / 2 > self.cap;
        if !is_near_cap || self.cap >= self.per_window || self.pending_cap.is_some() {
            return None;
        }
        Some(self.cap_for(self.granted_in_window + 1)).filter(|next| *next > self.cap)
    }

    /// Records that a higher cap is being written. Also restarts the period after which the cap may be lowered, so that
    /// a write of a lower cap cannot overtake this write.
    pub(super) fn note_cap_write_started(&mut self, requests: u32, now: Duration) {
        self.pending_cap = Some(self.pending_cap.map_or(requests, |known| known.max(requests)));
        self.peak_since = now;
    }

    /// Decides on a request, or asks the caller to write a higher cap first.
    pub(super) fn try_acquire(&mut self, demand: &Demand, admission: Admission, now: Duration) -> Answer {
        self.advance(now);
        self.programs.sweep(now);
        let is_new = demand.stage == ProgramStage::New && !self.programs.contains(demand.program);
        let left = self.grantable_now();
        let is_scarce =
            self.running_refused_at.is_some_and(|refused_at| now.saturating_sub(refused_at) < SCARCITY_PERIOD);
        let must_fit_as_whole = is_new && is_scarce && admission == Admission::WholePrograms;
        let shortfall = if must_fit_as_whole { self.shortfall_for_new_program(now) } else { 0.0 };
        if left == 0 || shortfall > 0.0 {
            return Answer::Decided(self.refuse(demand, is_new, shortfall, now));
        }
        let below_cap = self.cap.saturating_sub(self.granted_in_window);
        if below_cap == 0 {
            let requests = self.cap_for(self.granted_in_window + 1);
            self.note_cap_write_started(requests, now);
            return Answer::NeedsCap(Cap { tenant: demand.tenant, requests });
        }
        self.grant_one(now);
        self.programs.note_request(demand.program, true, now);
        let left = self.grantable_now();
        let retry_after = if left > 0 { Duration::ZERO } else { self.time_until_grant(now) };
        Answer::Decided(Grant { granted: true, left: f64::from(left), retry_after })
    }

    fn refuse(&mut self, demand: &Demand, is_new: bool, shortfall: f64, now: Duration) -> Grant {
        if !is_new {
            self.programs.note_request(demand.program, false, now);
            self.running_refused_at = Some(now);
        }
        let left = self.grantable_now();
        let until_left = if left > 0 { Duration::ZERO } else { self.time_until_grant(now) };
        Grant {
            granted: false,
            left: f64::from(left),
            retry_after: until_left.max(self.time_until_grants_expire(shortfall, now)),
        }
    }

    fn grant_one(&mut self, now: Duration) {
        self.bucket_level -= 1.0;
        self.granted_in_window += 1;
        self.peak = self.peak.max(self.granted_in_window);
        match self.granted.back_mut() {
            Some((expires_at, count)) if now + self.window <= *expires_at => *count += 1,
            _ => self.granted.push_back((now + COUNTING_STEP + self.window, 1)),
        }
    }

    /// Lowers the cap and returns it when the tenant has needed less for [`CAP_LOWERING_PERIOD`].
    pub(super) fn lower_cap(&mut self, now: Duration) -> Option<u32> {
        if now.saturating_sub(self.peak_since) < CAP_LOWERING_PERIOD {
            return None;
        }
        self.advance(now);
        let needed = self.cap_for(self.peak.max(self.granted_in_window));
        self.peak = self.granted_in_window;
        self.peak_since = now;
        let is_lower = needed + self.cap_step() <= self.cap && self.pending_cap.is_none();
        is_lower.then(|| {
            // The lower cap takes effect before it is written, so that the share grants no request above it meanwhile.
            self.cap = needed;
            needed
        })
    }
}
