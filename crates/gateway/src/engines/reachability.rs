//! Holds this gateway's estimate of whether one engine can be reached, and logs each change of the estimate.

use crate::locks::lock;
use crate::logging::part;
use foxnotch_scheduler::reachability::{ConnectFailure, PeerReports, Reachability, ReachabilityChange};
use std::io::ErrorKind;
use std::sync::Mutex;
use std::time::Instant;

/// The reachability of one engine.
#[derive(Debug)]
pub struct EngineReachability {
    /// When the engine was first listed. The times in `state` are relative to this moment.
    listed_at: Instant,
    state: Mutex<Reachability>,
}

/// Converts the kind of an I/O error into the way in which the connection failed. Returns `None` if the error does not
/// concern the engine, for example because this machine has no free descriptors.
fn classify_connect_error(kind: ErrorKind) -> Option<ConnectFailure> {
    match kind {
        ErrorKind::ConnectionRefused => Some(ConnectFailure::Refused),
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
            Some(ConnectFailure::Silent)
        }
        _ => None,
    }
}

impl EngineReachability {
    /// Creates the state of an engine that was just listed. The engine is considered reachable.
    pub fn new() -> Self {
        Self { listed_at: Instant::now(), state: Mutex::default() }
    }

    /// Whether requests may be sent to the engine.
    pub fn is_reachable(&self) -> bool {
        lock(&self.state).is_reachable()
    }

    /// The way in which this gateway's own connections to the engine failed. `None` while the engine is reachable, or
    /// while only other gateways report it as unreachable.
    pub fn connect_failure(&self) -> Option<ConnectFailure> {
        lock(&self.state).connect_failure()
    }

    /// Records that a connection to the engine was opened or an answer of the engine arrived.
    pub fn note_contact(&self, id: &str) {
        let change = lock(&self.state).note_contact(self.listed_at.elapsed());
        log_change(id, change);
    }

    /// Records that no connection to the engine could be opened for a request, with the kind of the I/O error.
    pub fn note_failure(&self, id: &str, kind: ErrorKind) {
        let Some(failure) = classify_connect_error(kind) else { return };
        self.record_and_log_failure(id, failure);
    }

    /// Records that a check could not open a connection to the engine, with the kind of the I/O error.
    pub fn note_failed_check(&self, id: &str, kind: ErrorKind) {
        // An error that does not concern the engine counts as silence: the engine stays unreachable and is checked
        // again.
        self.record_and_log_failure(id, classify_connect_error(kind).unwrap_or(ConnectFailure::Silent));
    }

    fn record_and_log_failure(&self, id: &str, failure: ConnectFailure) {
        let change = lock(&self.state).note_failure(failure, self.listed_at.elapsed(), rand::random());
        log_change(id, change);
    }

    /// Applies other gateways' reports about the engine.
    pub fn note_peer_reports(&self, id: &str, reports: PeerReports) {
        let change = lock(&self.state).note_peer_reports(reports, self.listed_at.elapsed());
        log_change(id, change);
    }

    /// Makes the next check due now, if the engine is unreachable.
    pub fn make_check_due(&self) {
        lock(&self.state).make_check_due(self.listed_at.elapsed());
    }

    /// Returns whether a check is due, and if so marks it as started.
    pub fn begin_check_if_due(&self) -> bool {
        lock(&self.state).begin_check_if_due(self.listed_at.elapsed())
    }
}

impl Default for EngineReachability {
    fn default() -> Self {
        Self::new()
    }
}

fn log_change(id: &str, change: Option<ReachabilityChange>) {
    match change {
        Some(ReachabilityChange::Lost(failure)) => {
            log::info!(
                target: part::ENGINE,
                "Engine {id} cannot be reached: cause={}. It gets no requests until a connection to it succeeds.",
                failure.name(),
            );
        }
        Some(ReachabilityChange::Suspected(reports)) => {
            log::info!(
                target: part::ENGINE,
                "Engine {id} gets no requests until this gateway has checked it, because other gateways report it as \
                 unreachable (`answered` counts requests of other gateways that it recently answered): \
                 unreachable_to={} gateways answered={} requests.",
                reports.unreachable,
                reports.answered,
            );
        }
        Some(ReachabilityChange::Recovered(after)) => {
            log::info!(target: part::ENGINE, "Engine {id} can be reached again and gets requests: after={after:?}.");
        }
        None => {}
    }
}
