//! Enforces rate limits of tenants, over all gateways together.
//!
//! A limit holds in each sliding window of some seconds: a tenant may send at most the rate times the window's length,
//! plus the burst. The limit is divided into equal shares. Each replica of the set has one share, and only that replica
//! grants requests from it. So the replicas need no agreement, and all shares together never grant more than the limit
//! plus the tolerated excess ([`QuotaRules`]), even when replicas are paused or the network is partitioned. The loss of
//! a replica loses only its share.
//!
//! A share counts the requests that it granted in the window. Programs send in bursts, so the share also has a token
//! bucket, from which it can grant a part of the window's requests at once.
//!
//! A restart must not make a share forget the requests that it granted. So a share grants no more requests in a window
//! than a cap that is stored on the replica's disk, and the replica raises the stored cap before the share grants more.
//! A new process assumes that all requests up to the cap were granted before its start, at the latest times that the
//! bucket allowed. Caps are raised in large steps, so that writes are rare. They are lowered when a tenant needs less:
//! the lower the cap, the more of the window's requests the share can still grant after a restart.
//!
//! Running programs take precedence over new ones: refusing a late request wastes all of its program's earlier work.
//! While a limit does not suffice for a tenant's requests, a new program is admitted only if its expected requests fit
//! into the window in addition to the further requests of running programs. Both numbers of requests are estimated from
//! the sizes of the tenant's earlier programs.

mod programs;
mod share;
pub mod share_selection;

use crate::tenants::RateLimit;
use share::Share;
use std::collections::HashMap;
use std::time::Duration;

/// Fraction of the tolerated excess over a limit that the shares may grant; the rest covers requests that no share
/// counts, such as the second send of a request.
const USED_TOLERANCE_FRACTION: f64 = 0.6;
/// Longest time from the grant of a request until the request reaches its engine, in seconds. The window in which a
/// share counts its grants is longer than the limit's window by this time.
const MAX_DELIVERY_SECONDS: f64 = 0.4;
/// Lower bound of the requests that a share grants in a window: a share with less than one would never grant any.
const MIN_PER_WINDOW: f64 = 1.0;

/// The window in which limits hold, and the excess over the limits that the deployment tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Tolerated excess relative to the limit: 0.1 tolerates 10 % more.
    pub overage: f64,
    /// Number of requests tolerated in a window in addition to the limit and `overage`.
    pub slack: f64,
}

impl QuotaRules {
    /// The window in which a share counts its grants, including the delivery delay.
    fn counting_window(&self) -> Duration {
        Duration::from_secs_f64(self.window_s + MAX_DELIVERY_SECONDS)
    }

    /// Number of requests that one of `share_count` equal shares of a limit may grant in a window.
    fn requests_per_share(&self, limit: RateLimit, share_count: usize) -> f64 {
        let nominal = limit.per_second * self.window_s + limit.burst;
        let tolerated = nominal * self.overage + self.slack;
        let total = nominal + tolerated * USED_TOLERANCE_FRACTION;
        (total / share_count.max(1) as f64).max(MIN_PER_WINDOW).floor()
    }
}

/// Whether a program has already begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramStage {
    /// This is the program's first request, as far as the gateway knows.
    New,
    /// The program has begun, or the request belongs to no program.
    Running,
}

/// How requests are admitted while a limit does not suffice for all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Each request is decided on its own, in order of arrival.
    EachRequest,
    /// Programs are admitted as a whole. A new program is admitted only if all requests that it is expected to make
    /// fit into the window.
    WholePrograms,
}

/// A gateway's query whether a share grants one request of a tenant.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// The tenant's limit, as the gateway knows it.
    pub limit: RateLimit,
    /// The version of the configuration that contains the limit.
    pub version: u64,
    /// Number of shares into which the limit is divided.
    pub share_count: usize,
    /// The key of the program to which the request belongs.
    pub program: u64,
    /// The program's stage, as far as the gateway knows.
    pub stage: ProgramStage,
}

/// A share's decision about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Whether the request may be sent.
    pub granted: bool,
    /// Number of requests that the share can still grant now.
    pub left: f64,
    /// Time until the share may grant the next request.
    pub retry_after: Duration,
}

/// A share's cap: the upper bound of the requests that it grants in a window, as stored on the replica's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cap {
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Upper bound of the requests that the share grants in a window.
    pub requests: u32,
}

/// A share's answer to a demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The request is granted or refused.
    Decided(Grant),
    /// The caller has to write this cap to disk first, and then repeat the demand.
    NeedsCap(Cap),
}

/// The record of the requests that may have been granted from a replica's shares before its process started, or before
/// it joined the replica set.
#[derive(Clone, Debug, PartialEq)]
pub enum PriorGrants {
    /// No request was granted: the deployment starts for the first time.
    None,
    /// Each share may have granted all of its requests: the disk is new, or another replica held the shares.
    Unknown,
    /// Each tenant with a cap on disk was granted at most that number of requests, and other tenants were granted none.
    /// The keys are hashes of tenants' names.
    Caps(HashMap<u64, u32>),
}

impl PriorGrants {
    /// Upper bound of the tenant's requests that were granted from a share in the last window before the replica began
    /// to hold the share. The share grants at most `per_window` requests in a window.
    fn max_granted(&self, tenant: u64, per_window: u32) -> u32 {
        match self {
            Self::None => 0,
            Self::Unknown => per_window,
            Self::Caps(caps) => caps.get(&tenant).copied().unwrap_or(0),
        }
    }

    /// The tenant's cap on disk, in requests per window; 0 when there is none.
    fn cap_on_disk(&self, tenant: u64) -> u32 {
        match self {
            Self::None | Self::Unknown => 0,
            Self::Caps(caps) => caps.get(&tenant).copied().unwrap_or(0),
        }
    }
}

/// One replica's shares of all tenants' limits. Times are since the start of the process.
#[derive(Debug)]
pub struct QuotaShares {
    rules: QuotaRules,
    admission: Admission,
    /// When the replica began to hold its shares.
    held_since: Duration,
    /// The requests that may have been granted from the shares before `held_since`.
    prior_grants: PriorGrants,
    shares: HashMap<u64, Share>,
}

impl QuotaShares {
    /// Creates the shares of a replica that holds them from `now` on.
    pub fn new(rules: QuotaRules, admission: Admission, prior_grants: PriorGrants, now: Duration) -> Self {
        Self { rules, admission, held_since: now, prior_grants, shares: HashMap::new() }
    }

    /// Discards the record of earlier grants: the replica has joined the set, and other replicas may have granted
    /// requests from its shares until now.
    pub fn reset_on_join(&mut self, now: Duration) {
        self.held_since = now;
        self.prior_grants = PriorGrants::Unknown;
        self.shares.clear();
    }

    /// Number of tenants for whose limits this replica has created a share.
    pub fn tenant_count(&self) -> usize {
        self.shares.len()
    }

    /// Decides on a request. Ignores the demand's limit when an earlier demand of the tenant contained one from a newer
    /// configuration.
    pub fn try_acquire(&mut self, demand: &Demand, now: Duration) -> Answer {
        let per_window = self.rules.requests_per_share(demand.limit, demand.share_count) as u32;
        let (window, held_since) = (self.rules.counting_window(), self.held_since);
        let prior_grants = &self.prior_grants;
        let new_share = || {
            let max_granted = prior_grants.max_granted(demand.tenant, per_window);
            Share::new(per_window, window, held_since, max_granted, prior_grants.cap_on_disk(demand.tenant))
        };
        let share = self.shares.entry(demand.tenant).or_insert_with(new_share);
        share.set_limit(per_window, demand.version);
        share.try_acquire(demand, self.admission, now)
    }

    /// Returns a higher cap when the tenant's grants approach the current one, so that the caller writes the higher cap
    /// to disk before a request needs it.
    pub fn begin_cap_raise(&mut self, tenant: u64, now: Duration) -> Option<Cap> {
        let share = self.shares.get_mut(&tenant)?;
        let requests = share.next_cap()?;
        share.note_cap_write_started(requests, now);
        Some(Cap { tenant, requests })
    }

    /// Records that a cap was written to disk, or could not be written.
    pub fn note_cap_write_ended(&mut self, cap: Cap, is_written: bool) {
        if let Some(share) = self.shares.get_mut(&cap.tenant) {
            share.note_cap_write_ended(cap.requests, is_written);
        }
    }

    /// Lowers the caps of tenants that need less than before. The returned caps are already in force, and the caller
    /// writes them to disk.
    pub fn lower_caps(&mut self, now: Duration) -> Vec<Cap> {
        let lowered =
            |(tenant, share): (&u64, &mut Share)| Some(Cap { tenant: *tenant, requests: share.lower_cap(now)? });
        self.shares.iter_mut().filter_map(lowered).collect()
    }
}
