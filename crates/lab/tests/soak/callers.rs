//! Callers: they run programs of consecutive turns, send plain requests, and check that a gateway serves the newest
//! configuration.
//!
//! They reuse their connections until the process at the other end has ended.

use super::engines::{output_of, plain_answer, turn_answer};
use super::ledger::{Ledger, Violation};
use super::lock;
use super::plan::GATEWAYS;
use super::processes::Addresses;
use super::streams::MAX_ATTEMPTS;
use foxnotch::http::{Answer, Header, HttpClient, HttpError};
use rand::Rng;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use volo_http::http::Method;

/// Host name of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Deadline that a caller sends with a request, milliseconds.
const DEADLINE_MS: u64 = 4000;
/// Time after which a caller stops waiting for a response, whether or not the gateway keeps to the deadline.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1500);
/// Number of turns of a program.
const TURNS_PER_PROGRAM: usize = 4;
/// Maximum number of times that a turn is sent.
const MAX_TURN_TRIES: usize = 6;
/// Pause between two actions of a caller. A caller waits three times as long before it sends a turn again.
pub(super) const PAUSE: Duration = Duration::from_millis(60);
/// Maximum number of completed turns that callers store. At the end of the run, the soak continues these turns.
const MAX_STORED_TURNS: usize = 40;

/// A turn that was answered completely, with its history.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletedTurn {
    /// Attempt identifier of the turn; empty before the first turn.
    pub attempt: String,
    /// All inputs and outputs up to and including this turn.
    pub history: Vec<u8>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The complete answer arrived.
    Done,
    /// The response had this error status.
    Status(u16),
    /// No response arrived, or not the complete answer.
    Broken,
}

/// State that all callers share.
pub(crate) struct Callers {
    /// Addresses of the gateways.
    pub addresses: Addresses,
    /// Records requests and their outcomes.
    pub ledger: Arc<Ledger>,
    /// The newest configuration version that was written to the store.
    pub newest_version: AtomicU64,
    /// Number of restarts of each gateway's process.
    pub restarts: [AtomicU64; GATEWAYS],
    /// Whether each gateway's process is, and stays, of the newest build.
    pub are_upgraded: [AtomicBool; GATEWAYS],
    /// Set when the callers have to end.
    pub stop: AtomicBool,
    /// The newest configuration version that a gateway's process has served, by gateway and number of its restarts.
    served: Mutex<HashMap<(usize, u64), u64>>,
    completed: Mutex<Vec<CompletedTurn>>,
    /// Number of the next attempt.
    next: AtomicU64,
}

impl Callers {
    /// Creates the shared state; no caller runs yet. `are_upgraded` tells whether the gateways begin with the newest
    /// build.
    pub(crate) fn new(addresses: Addresses, ledger: Arc<Ledger>, are_upgraded: bool) -> Self {
        Self {
            addresses,
            ledger,
            newest_version: AtomicU64::new(1),
            restarts: Default::default(),
            are_upgraded: std::array::from_fn(|_| AtomicBool::new(are_upgraded)),
            stop: AtomicBool::new(false),
            served: Mutex::default(),
            completed: Mutex::default(),
            next: AtomicU64::new(1),
        }
    }

    /// The last completed turns of programs, at most [`MAX_STORED_TURNS`], the newest last.
    pub(crate) fn completed_turns(&self) -> Vec<CompletedTurn> {
        lock(&self.completed).clone()
    }

    pub(super) fn new_attempt(&self) -> String {
        format!("{:032x}", self.next.fetch_add(1, Ordering::Relaxed) + 0x5000)
    }

    /// Sends random requests until [`Callers::stop`] is set.
    pub(crate) async fn run_caller(&self, client: HttpClient) {
        while !self.stop.load(Ordering::Relaxed) {
            let gateway = rand::rng().random_range(0..GATEWAYS);
            let action = rand::rng().random_range(0..10);
            match action {
                // The ledger has recorded each outcome already.
                0..=1 => _ = self.send_plain_request(&client, gateway, true).await,
                2..=3 => _ = self.send_plain_request(&client, gateway, false).await,
                4 => _ = self.check_newest_route(&client, gateway).await,
                5..=6 => _ = self.run_stream(&client, |attempts| attempts < MAX_ATTEMPTS).await,
                _ => self.run_program(&client).await,
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Sends a plain request.
    pub(crate) async fn send_plain_request(&self, client: &HttpClient, gateway: usize, may_repeat: bool) -> Outcome {
        let attempt = self.new_attempt();
        self.ledger.record_send(&attempt, may_repeat, None);
        let (method, path) = if may_repeat { (Method::GET, "/read/x") } else { (Method::POST, "/write/x") };
        let answer = self.exchange(client, gateway, method, path, headers(&attempt), Vec::new()).await;
        self.record_outcome(&attempt, answer, &plain_answer(&attempt), if may_repeat { "read" } else { "write" })
    }

    /// Requests the route that the newest version of the configuration added. Records a violation when a
    /// gateway's process does not know the route although it has served this version or a newer one before.
    pub(crate) async fn check_newest_route(&self, client: &HttpClient, gateway: usize) -> Outcome {
        let version = self.newest_version.load(Ordering::SeqCst);
        let process_number = self.restarts[gateway].load(Ordering::SeqCst);
        let served = lock(&self.served).get(&(gateway, process_number)).copied().unwrap_or(0);
        let attempt = self.new_attempt();
        self.ledger.record_send(&attempt, true, None);
        let path = format!("/v{version}/x");
        let answer = self.exchange(client, gateway, Method::GET, &path, headers(&attempt), Vec::new()).await;
        let outcome = self.record_outcome(&attempt, answer, &plain_answer(&attempt), "version");
        let is_same_process = process_number == self.restarts[gateway].load(Ordering::SeqCst);
        match outcome {
            Outcome::Done if is_same_process => {
                let mut served = lock(&self.served);
                let known = served.entry((gateway, process_number)).or_default();
                *known = version.max(*known);
            }
            Outcome::Status(404) if is_same_process && served >= version => {
                self.ledger.record_violation(Violation::ConfigurationOlder { gateway, version, served });
            }
            _ => {}
        }
        outcome
    }

    async fn run_program(&self, client: &HttpClient) {
        let program = self.new_attempt();
        let mut last = CompletedTurn::default();
        for number in 0..TURNS_PER_PROGRAM {
            let input = format!("input {number} of {program}\n");
            let Some(turn) = self.run_turn(client, &program, &last, &input).await else { return };
            last = turn;
        }
        let mut completed = lock(&self.completed);
        completed.push(last);
        if completed.len() > MAX_STORED_TURNS {
            completed.remove(0);
        }
    }

    /// Sends a turn until it is answered completely, at most [`MAX_TURN_TRIES`] times; none when it never is.
    pub(crate) async fn run_turn(
        &self,
        client: &HttpClient,
        program: &str,
        last: &CompletedTurn,
        input: &str,
    ) -> Option<CompletedTurn> {
        for _ in 0..MAX_TURN_TRIES {
            let gateway = rand::rng().random_range(0..GATEWAYS);
            let attempt = self.new_attempt();
            let mut history = last.history.clone();
            history.extend_from_slice(input.as_bytes());
            self.ledger.record_send(&attempt, false, Some(history.clone()));
            let mut headers = headers(&attempt);
            headers.push(Header { name: "x-program-id", value: program.to_owned() });
            headers.push(Header { name: "x-session-id", value: program.to_owned() });
            headers.push(Header { name: "x-token-count", value: "20,40".to_owned() });
            if !last.attempt.is_empty() {
                headers.push(Header { name: "x-previous-turn", value: last.attempt.clone() });
            }
            let answer =
                self.exchange(client, gateway, Method::POST, "/turn/x", headers, input.as_bytes().to_vec()).await;
            match self.record_outcome(&attempt, answer, &turn_answer(&attempt), "turn") {
                Outcome::Done => {
                    history.extend_from_slice(output_of(&attempt).as_bytes());
                    return Some(CompletedTurn { attempt, history });
                }
                Outcome::Status(status @ (404 | 410)) => {
                    let previous = last.attempt.clone();
                    self.ledger.record_violation(Violation::TurnLost { attempt, previous, status });
                    return None;
                }
                Outcome::Status(_) | Outcome::Broken => tokio::time::sleep(PAUSE * 3).await,
            }
        }
        None
    }

    async fn exchange(
        &self,
        client: &HttpClient,
        gateway: usize,
        method: Method,
        path: &str,
        headers: Vec<Header>,
        body: Vec<u8>,
    ) -> Result<Answer, HttpError> {
        let address = self.addresses.caller_address(gateway).to_string();
        client.exchange(method, &address, path, &headers, body, REQUEST_TIMEOUT).await
    }

    /// Checks and records the outcome of a request.
    fn record_outcome(&self, attempt: &str, answer: Result<Answer, HttpError>, expected: &str, kind: &str) -> Outcome {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                let how = if error.is_process_gone() { "process gone" } else { "broken" };
                self.ledger.count_outcome(format!("{kind} {how}"));
                return Outcome::Broken;
            }
        };
        let status = answer.status.as_u16();
        self.ledger.count_outcome(format!("{kind} {status}"));
        match status {
            200 if answer.body == expected.as_bytes() => Outcome::Done,
            200 => {
                let got = String::from_utf8_lossy(&answer.body).into_owned();
                self.ledger.record_violation(Violation::NotOwnAnswer { attempt: attempt.to_owned(), got });
                Outcome::Broken
            }
            408 | 421 | 429 | 503 => {
                self.ledger.record_refusal(attempt, status);
                Outcome::Status(status)
            }
            _ => Outcome::Status(status),
        }
    }
}

pub(super) fn headers(attempt: &str) -> Vec<Header> {
    vec![
        Header { name: "host", value: HOST.to_owned() },
        Header { name: "x-attempt-id", value: attempt.to_owned() },
        Header { name: "x-deadline-ms", value: DEADLINE_MS.to_string() },
    ]
}
