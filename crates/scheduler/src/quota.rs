//! Limits of tenants, over all gateways together.
//!
//! A limit holds in each window of some seconds: the rate times the window, and the burst on top. It is divided into equal
//! shares, one for each replica of the set, from which that replica alone gives. So no agreement is needed, and whatever is cut
//! off or paused, all shares together never give more than the limit. What is lost with a replica is its share alone.
//!
//! Programs send in bursts: a share counts what it gave in the window, and besides a token bucket lets it give a part of the
//! window at once. A restart must not make it forget what it gave. So it gives no more in a window than a cap that is on the
//! replica's disk, and raises the cap there before it gives more. A new process takes as given, as late as the bucket let, all
//! that the cap allowed. Caps are raised in large steps and lowered when a tenant needs less, so that writes are rare and a part
//! of the window is left after a restart.
//!
//! Programs under way go before new ones: to refuse a late request wastes all that its program has done. A new program begins
//! only if the requests that it will make, as learned from the tenant's other programs, fit into the window beside those that
//! programs under way still have to make.

use crate::tenants::RateLimit;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Share of the deployment's tolerance that the shares use; the rest is for what nobody counts, such as a request that is
/// sent twice.
const TOLERANCE_USE: f64 = 0.6;
/// Time by which a request may reach its engine later than it was let in: windows are counted longer by it.
const DELAY_SECONDS: f64 = 0.4;
/// The least that a share gives in a window, in requests: smaller ones would never give.
const LEAST_PER_WINDOW: f64 = 1.0;
/// What was given within so short a time is counted as given at its end.
const COUNTING_STEP: Duration = Duration::from_millis(50);
/// Share of a window that may be given at once. The smaller it is, the less can have been given just before a restart.
const BURST_SHARE: f64 = 0.3;
/// The same for what is taken as given before a start.
const HISTORY_STEP: Duration = Duration::from_millis(100);
/// What a sum of fractions may be off.
const ROUNDING: f64 = 1e-6;
/// Steps in which a cap is raised, as a share of the window.
const CAP_STEP: f64 = 0.2;
/// The least step, in requests.
const LEAST_CAP_STEP: f64 = 4.0;
/// Time in which a tenant has to need less before its cap is lowered.
const CAP_PERIOD: Duration = Duration::from_secs(15);
/// Time ahead for which a new program is weighed: what was given before that ends to count makes room for it.
const LOOKAHEAD: Duration = Duration::from_millis(1500);
/// Requests that a program is thought to make before any was seen.
const PRIOR_REQUESTS: f64 = 10.0;
/// Programs that this guess counts for.
const PRIOR_PROGRAMS: f64 = 4.0;
/// Programs after which what was seen counts half.
const MEMORY_PROGRAMS: f64 = 64.0;
/// Time after its last request for which a program is known.
const PROGRAM_MEMORY: Duration = Duration::from_secs(30);
/// Time without a request after which a program is taken for ended, and what it asked for is learned from.
const PROGRAM_IDLE: Duration = Duration::from_secs(2);
/// Time between two looks for programs that have ended.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// The window in which limits hold, and how far the deployment lets them be passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// Seconds of the window.
    pub window_s: f64,
    /// Tolerance relative to the limit: 0.1 stands for a tenth.
    pub overage: f64,
    /// Requests that are tolerated besides.
    pub slack: f64,
}

impl QuotaRules {
    /// The window that shares count in, delays included.
    fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window_s + DELAY_SECONDS)
    }

    /// Requests that one of `shares` equal shares of a limit gives in a window.
    fn share_of(&self, limit: RateLimit, shares: usize) -> f64 {
        let stated = limit.per_second * self.window_s + limit.burst;
        let tolerated = stated * self.overage + self.slack;
        let in_window = stated + tolerated * TOLERANCE_USE;
        (in_window / shares.max(1) as f64).max(LEAST_PER_WINDOW).floor()
    }
}

/// Whether a program has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// This would be its first request, as far as the asker knows.
    New,
    /// It has, or the request belongs to no program.
    UnderWay,
}

/// What is admitted when little is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Each request by itself, in the order in which they come.
    EachRequest,
    /// Programs as a whole: new ones only if all that they will ask for fits.
    WholePrograms,
}

/// A question for a share.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The tenant, by number.
    pub tenant: u64,
    /// Its limit, as the asker knows it.
    pub limit: RateLimit,
    /// The revision of the configuration that tells the limit.
    pub revision: u64,
    /// How many shares there are.
    pub shares: usize,
    /// The program, by number.
    pub program: u64,
    /// Whether it has begun, as far as the asker knows.
    pub standing: Standing,
    /// Requests wanted: one to be sent, the others to follow soon.
    pub wanted: u32,
}

/// What a share gives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Requests that may be sent.
    pub granted: u32,
    /// Requests that the share still holds.
    pub left: f64,
    /// Time until it may give the next one.
    pub come_back: Duration,
}

/// The most that a share gives in a window, as it stands on the replica's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cap {
    /// The tenant, by number.
    pub tenant: u64,
    /// Requests in a window.
    pub requests: u32,
}

/// What a share answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// This is given or not.
    Decided(Grant),
    /// The cap has to be on disk first; then it is asked again.
    NeedsCap(Cap),
}

/// What is known of the time before a process started.
#[derive(Clone, Debug, PartialEq)]
pub enum History {
    /// The deployment starts for the first time: nothing was given.
    None,
    /// The disk is new, or another replica held the share: everything may have been given.
    Unknown,
    /// The disk tells the most that was given in a window, by tenant; nothing to others.
    Caps(HashMap<u64, u32>),
}

impl History {
    /// The most that a share of `per_window` requests may have given in the last window.
    fn most_given(&self, tenant: u64, per_window: u32) -> u32 {
        match self {
            Self::None => 0,
            Self::Unknown => per_window,
            Self::Caps(caps) => caps.get(&tenant).copied().unwrap_or(0),
        }
    }

    /// The cap on disk.
    fn cap(&self, tenant: u64) -> u32 {
        match self {
            Self::None | Self::Unknown => 0,
            Self::Caps(caps) => caps.get(&tenant).copied().unwrap_or(0),
        }
    }
}

/// What a tenant's programs make, as seen so far.
#[derive(Clone, Copy, Debug, Default)]
struct ProgramSizes {
    programs: f64,
    requests: f64,
}

impl ProgramSizes {
    fn mean(&self) -> f64 {
        (PRIOR_REQUESTS * PRIOR_PROGRAMS + self.requests) / (PRIOR_PROGRAMS + self.programs)
    }

    /// Learns from a program that has ended.
    fn note(&mut self, requests: u32) {
        self.programs += 1.0;
        self.requests += f64::from(requests);
        if self.programs > MEMORY_PROGRAMS {
            self.programs /= 2.0;
            self.requests /= 2.0;
        }
    }
}

/// A program that asked lately.
#[derive(Clone, Copy, Debug)]
struct KnownProgram {
    asked_at: Duration,
    /// Requests that it asked for since it was learned from.
    requests: u32,
    /// Whether the last of them was refused.
    is_refused: bool,
}

impl KnownProgram {
    /// Requests that it takes as a whole: one whose last was refused has been broken off, and is taken to have been half way.
    fn size(&self) -> u32 {
        self.requests.saturating_mul(if self.is_refused { 2 } else { 1 })
    }
}

/// One replica's share of one tenant's limit.
#[derive(Clone, Debug)]
struct Share {
    per_window: u32,
    window: Duration,
    revision: u64,
    /// Requests given within the window, oldest first, by the time up to which they count.
    given: VecDeque<(Duration, u32)>,
    /// Their sum.
    given_in_window: u32,
    /// What the bucket holds.
    level: f64,
    refilled_at: Duration,
    /// The most that it gives in a window, as it stands on disk.
    cap: u32,
    /// A cap that is being written.
    cap_under_way: Option<u32>,
    /// The most that was given in a window since `peak_since`.
    peak: u32,
    peak_since: Duration,
    sizes: ProgramSizes,
    programs: HashMap<u64, KnownProgram>,
    swept_at: Duration,
}

impl Share {
    fn new(per_window: u32, window: Duration, begun_at: Duration, most_given: u32, cap: u32) -> Self {
        let mut share = Self {
            per_window,
            window,
            revision: 0,
            given: VecDeque::new(),
            given_in_window: 0,
            level: 0.0,
            refilled_at: begun_at,
            cap,
            cap_under_way: None,
            peak: most_given,
            peak_since: begun_at,
            sizes: ProgramSizes::default(),
            programs: HashMap::new(),
            swept_at: begun_at,
        };
        share.take_as_given(most_given, begun_at);
        share
    }

    /// Takes so many requests as given before a start, as late as the bucket let: what it holds when it is full at the
    /// last moment, and before that what it refills.
    fn take_as_given(&mut self, most_given: u32, begun_at: Duration) {
        let mut untold = most_given;
        let mut at_once = self.capacity();
        let mut expires_at = begun_at + self.window;
        while untold > 0 {
            let count = (at_once.floor() as u32).clamp(1, untold);
            self.given.push_front((expires_at, count));
            untold -= count;
            at_once = (at_once - f64::from(count)).max(0.0) + self.per_second() * HISTORY_STEP.as_secs_f64();
            if at_once < 1.0 {
                let step = Duration::from_secs_f64((1.0 - at_once) / self.per_second());
                expires_at = expires_at.saturating_sub(step);
                at_once = 1.0;
            }
            expires_at = expires_at.saturating_sub(HISTORY_STEP);
        }
        self.given_in_window = most_given;
    }

    /// Requests that it gives at once when the bucket is full.
    fn capacity(&self) -> f64 {
        (f64::from(self.per_window) * BURST_SHARE).max(1.0)
    }

    /// Requests by which the bucket refills in a second.
    fn per_second(&self) -> f64 {
        f64::from(self.per_window) / self.window.as_secs_f64()
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

    /// Time until so many requests less count.
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

    /// Requests that programs under way still have to make.
    fn committed(&self, now: Duration) -> f64 {
        let mean = self.sizes.mean();
        let active = self.programs.values().filter(|program| now.saturating_sub(program.asked_at) < PROGRAM_IDLE);
        active.map(|program| (mean - f64::from(program.requests)).max(0.0)).sum()
    }

    /// Requests by which the window is too small for one more program.
    fn lacking_for_new(&self, now: Duration) -> f64 {
        let soon = now + LOOKAHEAD;
        let counting = self.given.iter().filter(|(expires_at, _)| *expires_at > soon);
        let still_given: u32 = counting.map(|(_, count)| count).sum();
        let needed = f64::from(still_given) + self.committed(now) + self.sizes.mean();
        // One program always fits into an empty window.
        needed - f64::from(self.per_window).max(self.sizes.mean())
    }

    /// Notes what a program was given; nothing when it was refused.
    fn note_request(&mut self, program: u64, given: u32, now: Duration) {
        let unknown = KnownProgram { asked_at: now, requests: 0, is_refused: false };
        let known = self.programs.entry(program).or_insert(unknown);
        known.asked_at = now;
        known.requests = known.requests.saturating_add(given);
        known.is_refused = given == 0;
    }

    /// Learns from programs that have ended, and forgets those of long ago.
    fn sweep(&mut self, now: Duration) {
        if now.saturating_sub(self.swept_at) < SWEEP_PERIOD {
            return;
        }
        self.swept_at = now;
        let sizes = &mut self.sizes;
        self.programs.retain(|_, program| {
            let idle = now.saturating_sub(program.asked_at);
            if idle >= PROGRAM_IDLE && program.requests > 0 {
                sizes.note(program.size());
                program.requests = 0;
            }
            idle < PROGRAM_MEMORY
        });
    }

    fn cap_step(&self) -> u32 {
        (f64::from(self.per_window) * CAP_STEP).max(LEAST_CAP_STEP) as u32
    }

    /// The cap with which so many requests may be given in a window.
    fn cap_for(&self, requests: u32) -> u32 {
        requests.saturating_add(self.cap_step()).min(self.per_window.max(requests))
    }

    /// The next cap, when what is given comes near the one on disk.
    fn next_cap(&self) -> Option<u32> {
        let is_near = self.given_in_window + self.cap_step() / 2 > self.cap;
        if !is_near || self.cap >= self.per_window || self.cap_under_way.is_some() {
            return None;
        }
        Some(self.cap_for(self.given_in_window + 1)).filter(|next| *next > self.cap)
    }

    /// A higher cap is being written. It is not lowered soon after, so that no write overtakes the other.
    fn note_raise(&mut self, requests: u32, now: Duration) {
        self.cap_under_way = Some(self.cap_under_way.map_or(requests, |known| known.max(requests)));
        self.peak_since = now;
    }

    fn take(&mut self, demand: &Demand, admission: Admission, now: Duration) -> Answer {
        self.advance(now);
        self.sweep(now);
        let is_new = demand.standing == Standing::New && !self.programs.contains_key(&demand.program);
        let left = self.left();
        let lacking = if is_new && admission == Admission::WholePrograms { self.lacking_for_new(now) } else { 0.0 };
        if left == 0 || lacking > 0.0 {
            return Answer::Decided(self.refuse(demand, is_new, lacking, now));
        }
        let below_cap = self.cap.saturating_sub(self.given_in_window);
        if below_cap == 0 {
            let requests = self.cap_for(self.given_in_window + 1);
            self.note_raise(requests, now);
            return Answer::NeedsCap(Cap { tenant: demand.tenant, requests });
        }
        let granted = demand.wanted.max(1).min(left).min(below_cap);
        self.give(granted, now);
        self.note_request(demand.program, granted, now);
        let left = self.left();
        let come_back = if left > 0 { Duration::ZERO } else { self.wait(now) };
        Answer::Decided(Grant { granted, left: f64::from(left), come_back })
    }

    fn refuse(&mut self, demand: &Demand, is_new: bool, lacking: f64, now: Duration) -> Grant {
        if !is_new {
            self.note_request(demand.program, 0, now);
        }
        let left = self.left();
        let until_left = if left > 0 { Duration::ZERO } else { self.wait(now) };
        Grant { granted: 0, left: f64::from(left), come_back: until_left.max(self.wait_for(lacking, now)) }
    }

    fn give(&mut self, count: u32, now: Duration) {
        self.level -= f64::from(count);
        self.given_in_window += count;
        self.peak = self.peak.max(self.given_in_window);
        match self.given.back_mut() {
            Some((expires_at, sum)) if now + self.window <= *expires_at => *sum += count,
            _ => self.given.push_back((now + COUNTING_STEP + self.window, count)),
        }
    }

    /// A lower cap, when the tenant has needed less for a while.
    fn lower_cap(&mut self, now: Duration) -> Option<u32> {
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

/// One replica's shares of all tenants' limits. Times are since the start of the process.
#[derive(Debug)]
pub struct QuotaBook {
    rules: QuotaRules,
    admission: Admission,
    /// When the replica began to hold its shares.
    held_since: Duration,
    /// What is known of the time before.
    history: History,
    shares: HashMap<u64, Share>,
}

impl QuotaBook {
    /// The book of a replica that holds shares from `now` on.
    pub fn new(rules: QuotaRules, admission: Admission, history: History, now: Duration) -> Self {
        Self { rules, admission, held_since: now, history, shares: HashMap::new() }
    }

    /// The replica has become a member of the set: others may have given from its shares until now.
    pub fn begin_again(&mut self, now: Duration) {
        self.held_since = now;
        self.history = History::Unknown;
        self.shares.clear();
    }

    /// Tenants of which it holds a share.
    pub fn tenants(&self) -> usize {
        self.shares.len()
    }

    /// Gives what a share holds. A limit of an older configuration than that of the last question is passed over.
    pub fn take(&mut self, demand: &Demand, now: Duration) -> Answer {
        let per_window = self.rules.share_of(demand.limit, demand.shares) as u32;
        let (window, held_since) = (self.rules.window(), self.held_since);
        let history = &self.history;
        let new_share = || {
            let most_given = history.most_given(demand.tenant, per_window);
            Share::new(per_window, window, held_since, most_given, history.cap(demand.tenant))
        };
        let share = self.shares.entry(demand.tenant).or_insert_with(new_share);
        if demand.revision >= share.revision {
            share.per_window = per_window;
            share.revision = demand.revision;
        }
        share.take(demand, self.admission, now)
    }

    /// The cap that had better be written before it is needed.
    pub fn next_cap(&mut self, tenant: u64, now: Duration) -> Option<Cap> {
        let share = self.shares.get_mut(&tenant)?;
        let requests = share.next_cap()?;
        share.note_raise(requests, now);
        Some(Cap { tenant, requests })
    }

    /// A cap is on disk, or could not be written.
    pub fn note_cap(&mut self, cap: Cap, is_written: bool) {
        let Some(share) = self.shares.get_mut(&cap.tenant) else { return };
        share.cap_under_way.take_if(|requests| *requests <= cap.requests);
        if is_written {
            share.cap = share.cap.max(cap.requests);
        }
    }

    /// Lower caps of tenants that need less than before; they hold at once and are to be written.
    pub fn lower_caps(&mut self, now: Duration) -> Vec<Cap> {
        let lowered =
            |(tenant, share): (&u64, &mut Share)| Some(Cap { tenant: *tenant, requests: share.lower_cap(now)? });
        self.shares.iter_mut().filter_map(lowered).collect()
    }
}
