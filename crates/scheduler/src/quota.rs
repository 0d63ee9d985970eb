//! Limits of tenants, over all gateways together.
//!
//! A limit holds in each window of some seconds: the rate times the window, and the burst on top. It is divided into equal
//! shares, one for each replica of the set, from which that replica alone gives. So no agreement is needed, and whatever is cut
//! off or paused, all shares together never give more than the limit. What is lost with a replica is its share alone.
//!
//! Programs send in bursts: a share lets a tenant use most of its window at once. It counts what it gave in the window, and
//! a token bucket besides bounds what may have been given just before a restart, of which a new process knows nothing: it
//! begins with what the deployment tolerates over the limit, and refills after a pause.
//!
//! Programs under way go before new ones: to refuse a late request wastes all that its program has done. A new program begins
//! only if the requests that it will make, as learned from the tenant's other programs, fit into what refills beside those
//! of the programs that began lately.

use crate::tenants::RateLimit;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Share of the deployment's tolerance that the shares use always. The rest is for restarts of replicas.
const TOLERANCE_USE: f64 = 0.25;
/// Time by which a request may reach its engine later than it was let in: windows are counted longer by it.
const DELAY_SECONDS: f64 = 0.4;
/// Share of a window that may be given at once.
const BURST_SHARE: f64 = 0.3;
/// Share of a window that a replica holds at most when it starts: less than refills in the second that a start takes, so that
/// starts in a row give no more than none.
const MOST_RESTART_CREDIT: f64 = 0.1;
/// Starts that fit into one pause: each takes a second or so. What is tolerated is divided among them.
const STARTS_IN_A_PAUSE: f64 = 2.0;
/// The least that a share holds when it is full, in requests: smaller ones would never give.
const LEAST_CAPACITY: f64 = 1.0;
/// What was given within so short a time is counted as given at its end.
const COUNTING_STEP: Duration = Duration::from_millis(50);
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
/// What a sum of fractions may be off.
const ROUNDING: f64 = 1e-6;
/// The longest time to come back that is told.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

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

/// How large one share is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareSize {
    /// Requests that it gives in a window.
    pub per_window: f64,
    /// Seconds of the window, delays included.
    pub window_s: f64,
    /// Requests that it refills in a second.
    pub per_second: f64,
    /// Requests that it gives at once when it is full.
    pub capacity: f64,
    /// Requests that it holds when its replica starts: what the deployment tolerates over the limit.
    pub restart_credit: f64,
    /// Seconds after which it then begins to refill. A replica that is about to end gives at most its whole window in the
    /// time that is left of it; nothing of that refills again before.
    pub restart_pause_s: f64,
}

impl ShareSize {
    /// One of `shares` equal shares of a limit.
    pub fn of(limit: RateLimit, rules: QuotaRules, shares: usize) -> Self {
        let shares = shares.max(1) as f64;
        let stated = limit.per_second * rules.window_s + limit.burst;
        let tolerated = stated * rules.overage + rules.slack;
        let per_window = ((stated + tolerated * TOLERANCE_USE) / shares).max(LEAST_CAPACITY);
        let window_s = rules.window_s + DELAY_SECONDS;
        let restart_credit = tolerated * (1.0 - TOLERANCE_USE) / STARTS_IN_A_PAUSE / shares;
        Self {
            per_window,
            window_s,
            per_second: per_window / window_s,
            capacity: (per_window * BURST_SHARE).max(LEAST_CAPACITY),
            restart_credit: restart_credit.min(per_window * MOST_RESTART_CREDIT),
            restart_pause_s: (rules.window_s - (1.0 - BURST_SHARE) * window_s).max(0.0),
        }
    }

    /// Time in which it refills so many requests.
    fn time_for(&self, requests: f64) -> Duration {
        let seconds = requests.max(0.0) / self.per_second;
        Duration::try_from_secs_f64(seconds).map_or(LONGEST_WAIT, |time| time.min(LONGEST_WAIT))
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
    size: ShareSize,
    revision: u64,
    /// Requests given within the window, oldest first, by the time up to which they count as given.
    given: VecDeque<(Duration, f64)>,
    /// Their sum.
    given_in_window: f64,
    /// What the bucket holds.
    level: f64,
    /// Requests that new programs may still take ahead.
    work: f64,
    refilled_at: Duration,
    sizes: ProgramSizes,
    programs: HashMap<u64, KnownProgram>,
    swept_at: Duration,
}

impl Share {
    /// A share that has been refilling since a time.
    fn since(begun_at: Duration, size: ShareSize, revision: u64) -> Self {
        let sizes = ProgramSizes::default();
        let mut share = Self {
            size,
            revision,
            given: VecDeque::new(),
            given_in_window: 0.0,
            level: size.restart_credit,
            work: 0.0,
            refilled_at: begun_at + Duration::from_secs_f64(size.restart_pause_s),
            sizes,
            programs: HashMap::new(),
            swept_at: begun_at,
        };
        // Which programs begin is no matter of the limit: it holds for each of their requests.
        share.work = share.most_work();
        share
    }

    fn window(&self) -> Duration {
        Duration::from_secs_f64(self.size.window_s)
    }

    /// Requests that it may give now.
    fn left(&self) -> f64 {
        self.level.min(self.size.per_window - self.given_in_window) + ROUNDING
    }

    /// Time until it may give one.
    fn wait(&self, now: Duration) -> Duration {
        let pause = self.refilled_at.saturating_sub(now);
        let lacking = 1.0 - self.level;
        let until_refilled = if lacking > ROUNDING { pause + self.size.time_for(lacking) } else { Duration::ZERO };
        let mut over = self.given_in_window + 1.0 - self.size.per_window - ROUNDING;
        let mut until_counted_less = Duration::ZERO;
        for (given_at, count) in &self.given {
            if over <= 0.0 {
                break;
            }
            over -= count;
            until_counted_less = (*given_at + self.window()).saturating_sub(now);
        }
        until_refilled.max(until_counted_less).min(LONGEST_WAIT)
    }

    fn give(&mut self, count: f64, now: Duration) {
        self.level -= count;
        self.given_in_window += count;
        match self.given.back_mut() {
            Some((given_at, sum)) if now <= *given_at => *sum += count,
            _ => self.given.push_back((now + COUNTING_STEP, count)),
        }
    }

    /// Requests that new programs may take ahead at most: one program always can.
    fn most_work(&self) -> f64 {
        self.size.per_window.max(self.sizes.mean())
    }

    fn refill(&mut self, now: Duration) {
        let refilled = self.size.per_second * now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + refilled).min(self.size.capacity);
        self.work = (self.work + refilled).min(self.most_work());
        let window = self.window();
        while let Some((_, count)) = self.given.pop_front_if(|(given_at, _)| *given_at + window <= now) {
            self.given_in_window -= count;
        }
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

    fn take(&mut self, demand: &Demand, admission: Admission, now: Duration) -> Grant {
        self.refill(now);
        self.sweep(now);
        let is_new = demand.standing == Standing::New && !self.programs.contains_key(&demand.program);
        let lacking_work = self.sizes.mean() - self.work;
        let may_begin = !is_new || lacking_work <= 0.0 || admission == Admission::EachRequest;
        let left = self.left();
        if left < 1.0 || !may_begin {
            if !is_new {
                self.note_request(demand.program, 0, now);
            }
            let wait = self.wait(now);
            let come_back = if may_begin { wait } else { wait.max(self.size.time_for(lacking_work)) };
            return Grant { granted: 0, left, come_back };
        }
        let granted = left.floor().min(f64::from(demand.wanted.max(1)));
        self.give(granted, now);
        if is_new {
            self.work -= self.sizes.mean();
        }
        let granted_count = granted as u32;
        self.note_request(demand.program, granted_count, now);
        Grant { granted: granted_count, left: left - granted, come_back: self.wait(now) }
    }
}

/// One replica's shares of all tenants' limits. Times are since the start of the process.
#[derive(Debug)]
pub struct QuotaBook {
    rules: QuotaRules,
    admission: Admission,
    /// When the replica begins to give.
    held_since: Duration,
    shares: HashMap<u64, Share>,
}

impl QuotaBook {
    /// The book of a replica that holds shares from `now` on.
    pub fn new(rules: QuotaRules, admission: Admission, now: Duration) -> Self {
        Self { rules, admission, held_since: now, shares: HashMap::new() }
    }

    /// The replica has become a member of the set: its shares begin empty, since those of others have given until now.
    pub fn begin_again(&mut self, now: Duration) {
        self.held_since = now;
        self.shares.clear();
    }

    /// Tenants of which it holds a share.
    pub fn tenants(&self) -> usize {
        self.shares.len()
    }

    /// Gives what a share holds. A limit of an older configuration than that of the last question is passed over.
    pub fn take(&mut self, demand: &Demand, now: Duration) -> Grant {
        let size = ShareSize::of(demand.limit, self.rules, demand.shares);
        let held_since = self.held_since;
        let new_share = || Share::since(held_since, size, demand.revision);
        let share = self.shares.entry(demand.tenant).or_insert_with(new_share);
        share.refill(now);
        if demand.revision >= share.revision {
            share.size = size;
            share.revision = demand.revision;
        }
        share.take(demand, self.admission, now)
    }
}
