//! The oracle's records: requests, starts and refusals as callers and engines observed them, and the violations found.

use super::lock;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Mutex;

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// Engines started a request more than once although it is not repeatable.
    Twice {
        /// Attempt identifier of the request.
        attempt: String,
        /// Number of starts.
        starts: u32,
    },
    /// An engine started a request that a gateway refused as not run, before or after the refusal.
    RefusalUntrue {
        /// Attempt identifier of the request.
        attempt: String,
        /// Status of the refusal.
        status: u16,
    },
    /// The body of a successful response is not the complete answer to its request.
    NotOwnAnswer {
        /// Attempt identifier of the request.
        attempt: String,
        /// The body received.
        got: String,
    },
    /// An engine received a turn with another history than the inputs and outputs that the turn's caller has sent and
    /// received.
    WrongHistory {
        /// Attempt identifier of the turn.
        attempt: String,
        /// Bytes that the engine received.
        got_bytes: usize,
        /// Bytes expected.
        wanted_bytes: usize,
    },
    /// A turn could not be continued although it had been answered completely.
    TurnLost {
        /// Attempt identifier of the continuing turn.
        attempt: String,
        /// Attempt identifier of the turn that it continues.
        previous: String,
        /// Status of the response.
        status: u16,
    },
    /// A gateway process did not know a route although it had served this version or a newer one before.
    ConfigurationOlder {
        /// Number of the gateway.
        gateway: usize,
        /// The version that added the unknown route.
        version: u64,
        /// The newest version that the process had served.
        served: u64,
    },
    /// A process has held more memory than its machine has.
    MemoryExceeded {
        /// Name of the process.
        node: String,
        /// The most memory that it held, in kilobytes.
        kilobytes: u64,
    },
    /// Engines of a drained zone received requests.
    DrainedZoneUsed {
        /// Name of the zone.
        zone: String,
        /// Number of requests.
        requests: u64,
    },
    /// A stream has events of engines of two software versions.
    VersionsMixed {
        /// Attempt identifier of the attempt that began the stream.
        begun_by: String,
        /// Attempt identifier of the attempt that brought the event of another version.
        attempt: String,
        /// The version that began the stream, and the other one.
        versions: [String; 2],
    },
    /// An attempt brought another event of a stream than the next one.
    EventOutOfOrder {
        /// Attempt identifier.
        attempt: String,
        /// The event that came, and the one expected.
        numbers: [usize; 2],
    },
    /// A request under which engines end was sent to more engines than may end under it.
    FatalRequestSentOn {
        /// Program of the request.
        program: String,
        /// Number of engines that ended under it.
        engines: usize,
    },
    /// The system did not recover in time after faults.
    NotRecovered {
        /// What does not work, and at which stage of the run.
        what: String,
    },
    /// A process ended although nothing had stopped it.
    EndedByItself {
        /// Name of the node whose process it is.
        node: String,
        /// Its exit status.
        status: String,
    },
    /// A process did not end within its grace period after SIGTERM.
    NotStopped {
        /// Name of the node whose process it is.
        node: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Twice { attempt, starts } => {
                write!(formatter, "at most once: engines started {attempt} {starts} times")
            }
            Self::RefusalUntrue { attempt, status } => {
                write!(
                    formatter,
                    "false refusal: {attempt} was refused as not run with status {status}, but an engine started it"
                )
            }
            Self::FatalRequestSentOn { program, engines } => {
                write!(formatter, "fatal request: {engines} engines ended under the request of program {program}")
            }
            Self::NotOwnAnswer { attempt, got } => write!(formatter, "wrong answer: {attempt} received {got:?}"),
            Self::WrongHistory { attempt, got_bytes, wanted_bytes } => {
                write!(formatter, "wrong history: an engine received {got_bytes} bytes for {attempt}, not the expected {wanted_bytes}")
            }
            Self::TurnLost { attempt, previous, status } => {
                write!(
                    formatter,
                    "lost turn: {attempt} continues {previous}, which was answered completely, but received status {status}"
                )
            }
            Self::ConfigurationOlder { gateway, version, served } => {
                write!(
                    formatter,
                    "older configuration: gateway {gateway} did not know version {version} after it had served {served}"
                )
            }
            Self::MemoryExceeded { node, kilobytes } => {
                write!(formatter, "{node} held {kilobytes} KB of memory, more than its machine has")
            }
            Self::DrainedZoneUsed { zone, requests } => {
                write!(
                    formatter,
                    "drained zone: engines in {zone} received {requests} requests after the time limit of the drain"
                )
            }
            Self::VersionsMixed { begun_by, attempt, versions: [begun_at, got] } => {
                write!(
                    formatter,
                    "mixed versions: the stream of {begun_by} began at {begun_at}, and {attempt} got {got}"
                )
            }
            Self::EventOutOfOrder { attempt, numbers: [got, wanted] } => {
                write!(formatter, "order of events: {attempt} got event {got} in place of {wanted}")
            }
            Self::NotRecovered { what } => write!(formatter, "recovery: {what}"),
            Self::EndedByItself { node, status } => {
                write!(formatter, "the process of {node} ended although the soak had not stopped it: {status}")
            }
            Self::NotStopped { node } => {
                write!(formatter, "planned stop: {node} was still running after its grace period")
            }
        }
    }
}

/// Record of one request.
#[derive(Clone, Debug, Default)]
struct Request {
    starts: u32,
    may_repeat: bool,
    refused: Option<u16>,
    history: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    requests: HashMap<String, Request>,
    outcomes: BTreeMap<String, u64>,
    violations: Vec<Violation>,
    fatal_starts: BTreeMap<String, BTreeSet<String>>,
}

/// The oracle's records, shared by callers, engines and the soak.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    state: Mutex<State>,
}

impl Ledger {
    /// Records that a caller is about to send a request. `history` is the body that an engine must receive; none when
    /// it is not checked.
    pub(crate) fn record_send(&self, attempt: &str, may_repeat: bool, history: Option<Vec<u8>>) {
        let request = Request { may_repeat, history, ..Request::default() };
        lock(&self.state).requests.insert(attempt.to_owned(), request);
    }

    /// Records that an engine starts a request under which it ends.
    pub(crate) fn record_fatal_start(&self, program: &str, engine: &str) {
        lock(&self.state).fatal_starts.entry(program.to_owned()).or_default().insert(engine.to_owned());
    }

    /// The engines that ended under each request under which engines end, by the request's program.
    pub(crate) fn fatal_starts(&self) -> BTreeMap<String, BTreeSet<String>> {
        lock(&self.state).fatal_starts.clone()
    }

    /// Records that an engine starts a request, and checks it.
    pub(crate) fn record_start(&self, attempt: &str, body: &[u8]) {
        let mut state = lock(&self.state);
        let State { requests, violations, .. } = &mut *state;
        let request = requests.entry(attempt.to_owned()).or_default();
        request.starts += 1;
        if request.starts > 1 && !request.may_repeat {
            violations.push(Violation::Twice { attempt: attempt.to_owned(), starts: request.starts });
        }
        if let Some(status) = request.refused.filter(|_| !request.may_repeat) {
            violations.push(Violation::RefusalUntrue { attempt: attempt.to_owned(), status });
        }
        if let Some(wanted) = request.history.as_ref().filter(|wanted| *wanted != body) {
            let (got_bytes, wanted_bytes) = (body.len(), wanted.len());
            violations.push(Violation::WrongHistory { attempt: attempt.to_owned(), got_bytes, wanted_bytes });
        }
    }

    /// Records that a caller received a status by which a gateway refuses a request as not run.
    pub(crate) fn record_refusal(&self, attempt: &str, status: u16) {
        let mut state = lock(&self.state);
        let State { requests, violations, .. } = &mut *state;
        let request = requests.entry(attempt.to_owned()).or_default();
        request.refused = Some(status);
        if request.starts > 0 && !request.may_repeat {
            violations.push(Violation::RefusalUntrue { attempt: attempt.to_owned(), status });
        }
    }

    /// Counts a request under the name of its outcome.
    pub(crate) fn count_outcome(&self, outcome: impl Into<String>) {
        *lock(&self.state).outcomes.entry(outcome.into()).or_default() += 1;
    }

    /// Records a violation.
    pub(crate) fn record_violation(&self, violation: Violation) {
        lock(&self.state).violations.push(violation);
    }

    /// The violations found so far.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        lock(&self.state).violations.clone()
    }

    /// Number of requests by outcome.
    pub(crate) fn outcomes(&self) -> BTreeMap<String, u64> {
        lock(&self.state).outcomes.clone()
    }
}
