//! Limits of tenants, over all gateways together.
//!
//! A limit holds in each window of some seconds: the rate times the window, and the burst on top. It is divided into
//! equal shares, one for each replica of the set, from which that replica alone gives. So no agreement is needed, and
//! whatever is cut off or paused, all shares together never give more than the limit. What is lost with a replica is
//! its share alone.
//!
//! Programs send in bursts: a share counts what it gave in the window, and besides a token bucket lets it give a part
//! of the window at once. A restart must not make it forget what it gave. So it gives no more in a window than a cap
//! that is on the replica's disk, and raises the cap there before it gives more. A new process takes as given, as late
//! as the bucket let, all that the cap allowed. Caps are raised in large steps and lowered when a tenant needs less, so
//! that writes are rare and a part of the window is left after a restart.
//!
//! Programs under way go before new ones: to refuse a late request wastes all that its program has done. A new program
//! begins only if the requests that it will make, as learned from the tenant's other programs, fit into the window
//! beside those that programs under way still have to make.

pub mod asks;
mod programs;
mod share;

use crate::tenants::RateLimit;
use share::Share;
use std::collections::HashMap;
use std::time::Duration;

/// Share of the deployment's tolerance that the shares use; the rest covers requests that no share counts, such as one
/// that is sent twice.
const TOLERANCE_USE: f64 = 0.6;
/// Time by which a request may reach its engine later than it was let in: windows are counted longer by it.
const DELAY_SECONDS: f64 = 0.4;
/// The smallest share of a window, in requests: a smaller one would never give.
const MIN_PER_WINDOW: f64 = 1.0;

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
        (in_window / shares.max(1) as f64).max(MIN_PER_WINDOW).floor()
    }
}

/// Whether a program has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramStage {
    /// This is its first request, as far as the asker knows.
    New,
    /// It has, or the request belongs to no program.
    Running,
}

/// What is admitted when little is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Each request by itself, in the order in which they come.
    EachRequest,
    /// Programs as a whole: new ones only if all that they will ask for fits.
    WholePrograms,
}

/// A request that a share is asked about.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The tenant, by number.
    pub tenant: u64,
    /// Its limit, as the asker knows it.
    pub limit: RateLimit,
    /// The version of the configuration that states the limit.
    pub version: u64,
    /// How many shares there are.
    pub shares: usize,
    /// The program, by number.
    pub program: u64,
    /// Whether it has begun, as far as the asker knows.
    pub stage: ProgramStage,
}

/// What a share gives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Whether the request may be sent.
    pub granted: bool,
    /// Requests that the share still holds.
    pub left: f64,
    /// Time until it may give the next one.
    pub retry_after: Duration,
}

/// The upper bound of what a share gives in a window, as stored on the replica's disk.
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
    /// The caps on disk, by tenant; nothing was given to other tenants.
    Caps(HashMap<u64, u32>),
}

impl History {
    /// The upper bound of what a share of `per_window` requests gave in the last window.
    fn max_given(&self, tenant: u64, per_window: u32) -> u32 {
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
    /// The shares of a replica that holds them from `now` on.
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
            let max_given = history.max_given(demand.tenant, per_window);
            Share::new(per_window, window, held_since, max_given, history.cap(demand.tenant))
        };
        let share = self.shares.entry(demand.tenant).or_insert_with(new_share);
        share.set_limit(per_window, demand.version);
        share.take(demand, self.admission, now)
    }

    /// The cap to write ahead, before a request needs it.
    pub fn next_cap(&mut self, tenant: u64, now: Duration) -> Option<Cap> {
        let share = self.shares.get_mut(&tenant)?;
        let requests = share.next_cap()?;
        share.note_raise(requests, now);
        Some(Cap { tenant, requests })
    }

    /// A cap is on disk, or could not be written.
    pub fn note_cap(&mut self, cap: Cap, is_written: bool) {
        if let Some(share) = self.shares.get_mut(&cap.tenant) {
            share.note_cap(cap.requests, is_written);
        }
    }

    /// Lower caps of tenants that need less than before; they hold at once and are to be written.
    pub fn lower_caps(&mut self, now: Duration) -> Vec<Cap> {
        let lowered =
            |(tenant, share): (&u64, &mut Share)| Some(Cap { tenant: *tenant, requests: share.lower_cap(now)? });
        self.shares.iter_mut().filter_map(lowered).collect()
    }
}
