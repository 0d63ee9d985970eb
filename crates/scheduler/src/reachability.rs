//! Determines whether an engine can be reached, from one gateway's own connections and other gateways' reports.
//!
//! The list of engines may be outdated: while the platform's store is unavailable, engines that are gone stay listed.
//! So a gateway relies on its own connections. An engine that cannot be reached gets no callers' requests, and its
//! slots do not count as capacity. The gateway opens connections without a request to check when the engine is
//! reachable again.
//!
//! This module performs no I/O. Invariant: other gateways' reports alone never make an engine unreachable. They only
//! suspend the use of the engine until a connection of this gateway to it succeeds or fails.

use std::time::Duration;

/// Number of consecutive connection attempts without an answer after which an engine is considered unreachable. A
/// single unanswered attempt may be due to a lost packet.
const MIN_SILENT_CONNECTIONS: u32 = 2;
/// Time between the first two checks of an unreachable engine; doubled with each failed check. It is short, so that an
/// engine is soon used again after a short outage.
const FIRST_CHECK_PAUSE: Duration = Duration::from_millis(200);
/// The longest time between two checks, before random variation. It bounds the delay with which a gateway without
/// reports detects that an engine is reachable again.
const MAX_CHECK_PAUSE: Duration = Duration::from_secs(2);
/// Random variation of the time between checks, as a fraction of that time, so that not all gateways check an engine at
/// the same moment.
const CHECK_JITTER: f64 = 0.3;
/// Time for which a gateway's own contact with an engine takes precedence over other gateways' reports.
const CONTACT_PRECEDENCE: Duration = Duration::from_secs(1);
/// The shortest time between two checks caused by reports that an engine is unreachable. It bounds the checks, because
/// gateways that are cut off from an engine continue to report it as unreachable.
const REPORTED_CHECK_PAUSE: Duration = Duration::from_secs(5);
/// Number of gateways that have to report an engine as unreachable before this gateway checks it. A single reporting
/// gateway may itself be cut off.
const MIN_REPORTERS: u32 = 2;

/// The way in which an attempt to connect to an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Nothing listens at the engine's address: its machine refused the connection.
    Refused,
    /// No answer came in time, or the engine's machine or network was reported as unreachable.
    Silent,
}

impl ConnectFailure {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// Counts from other gateways' recent reports about an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerReports {
    /// Number of gateways that could not reach the engine.
    pub unreachable: u32,
    /// Number of other gateways' requests that the engine recently answered.
    pub answered: u32,
}

/// A change of an engine's reachability, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// The engine cannot be reached, because this gateway's connection attempts failed in this way.
    Lost(ConnectFailure),
    /// Other gateways could not reach the engine. The engine gets no requests until this gateway has checked it.
    Suspected(PeerReports),
    /// The engine can be reached again, after it was suspected or unreachable for this time.
    Recovered(Duration),
}

/// Whether an engine can be reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Reachable,
    /// Other gateways report the engine as unreachable, and this gateway has not checked it yet.
    Suspected,
    /// This gateway's own connection attempts failed in this way.
    Unreachable(ConnectFailure),
}

/// The reachability of one engine. Times are on any monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    state: State,
    /// When the state last changed.
    changed_at: Duration,
    /// When a connection last succeeded or a response last arrived.
    contact_at: Option<Duration>,
    /// Number of consecutive failed connection attempts.
    failures: u32,
    /// When the next check of the engine is due; `None` when no check is planned or a check is in progress.
    check_at: Option<Duration>,
    /// When other gateways' reports last caused a check.
    reported_check_at: Option<Duration>,
}

impl Reachability {
    /// Whether requests may be sent to the engine and its slots count as capacity.
    pub fn is_reachable(&self) -> bool {
        self.state == State::Reachable
    }

    /// How this gateway's own connection attempts failed, if they make the engine unreachable.
    pub fn connect_failure(&self) -> Option<ConnectFailure> {
        match self.state {
            State::Unreachable(failure) => Some(failure),
            State::Reachable | State::Suspected => None,
        }
    }

    fn set_state(&mut self, state: State, now: Duration) {
        self.state = state;
        self.changed_at = now;
    }

    /// Records that a connection succeeded or a response arrived.
    pub fn note_contact(&mut self, now: Duration) -> Option<ReachabilityChange> {
        self.contact_at = Some(now);
        self.failures = 0;
        self.check_at = None;
        if self.is_reachable() {
            return None;
        }
        let unreachable_for = now.saturating_sub(self.changed_at);
        self.set_state(State::Reachable, now);
        Some(ReachabilityChange::Recovered(unreachable_for))
    }

    /// Records a failed connection attempt; `random_draw` is from 0 to 1.
    pub fn note_failure(
        &mut self,
        failure: ConnectFailure,
        now: Duration,
        random_draw: f64,
    ) -> Option<ReachabilityChange> {
        let was_lost = self.connect_failure().is_some();
        self.failures += 1;
        let is_lost = match failure {
            ConnectFailure::Refused => true,
            ConnectFailure::Silent => was_lost || self.failures >= MIN_SILENT_CONNECTIONS,
        };
        if !is_lost {
            // An immediate check shows whether only a packet was lost.
            self.check_at = Some(now);
            return None;
        }
        let pause = FIRST_CHECK_PAUSE.saturating_mul(1 << self.failures.saturating_sub(1).min(8)).min(MAX_CHECK_PAUSE);
        self.check_at = Some(now + pause.mul_f64(1.0 + CHECK_JITTER * (2.0 * random_draw.clamp(0.0, 1.0) - 1.0)));
        if was_lost {
            return None;
        }
        self.set_state(State::Unreachable(failure), now);
        Some(ReachabilityChange::Lost(failure))
    }

    /// Records other gateways' reports. A check of the engine becomes due if this gateway does not consider the engine
    /// reachable, but the engine answers other gateways. A check also becomes due if enough other gateways could not
    /// reach the engine and this gateway had no recent contact with it.
    pub fn note_peer_reports(&mut self, reports: PeerReports, now: Duration) -> Option<ReachabilityChange> {
        let is_answering = reports.answered > 0;
        let pause = if is_answering { FIRST_CHECK_PAUSE } else { REPORTED_CHECK_PAUSE };
        let is_repeated = self.reported_check_at.is_some_and(|at| now.saturating_sub(at) < pause);
        if is_repeated {
            return None;
        }
        if is_answering {
            if !self.is_reachable() {
                self.reported_check_at = Some(now);
                self.make_check_due(now);
            }
            return None;
        }
        let has_contact = self.contact_at.is_some_and(|at| now.saturating_sub(at) < CONTACT_PRECEDENCE);
        if reports.unreachable < MIN_REPORTERS || has_contact || !self.is_reachable() {
            return None;
        }
        self.reported_check_at = Some(now);
        self.check_at = Some(now);
        self.set_state(State::Suspected, now);
        Some(ReachabilityChange::Suspected(reports))
    }

    /// Makes a check of an unreachable engine due immediately. Called when another engine that did not answer is
    /// reachable again, or when this engine answers other gateways.
    pub fn make_check_due(&mut self, now: Duration) {
        if !self.is_reachable() {
            self.check_at = Some(now);
        }
    }

    /// Begins a check if one is due, and returns whether it did. A check that has begun is no longer due; its outcome
    /// decides when the next check is.
    pub fn begin_check_if_due(&mut self, now: Duration) -> bool {
        let is_due = self.check_at.is_some_and(|at| at <= now);
        if is_due {
            self.check_at = None;
        }
        is_due
    }
}
