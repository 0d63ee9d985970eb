//! Requests under which every engine ends that runs them. Their callers try them again and again, at any gateway.

use super::callers::{headers, Callers, PAUSE, REQUEST_TIMEOUT};
use super::engines::FATAL_MARK;
use super::ledger::Violation;
use super::plan::GATEWAYS;
use super::report::SoakReport;
use super::run::{run_with, SoakSettings};
use foxnotch::http::{Header, HttpClient};
use rand::Rng;
use std::sync::atomic::Ordering;
use std::time::Duration;
use volo_http::http::Method;

/// Number of tries of a request.
const TRIES: usize = 8;
/// Number of engines that may end under a request.
const MAX_ENDED_ENGINES: usize = 3;
/// Time after which a caller leaves that does not wait for the answer, and tries again.
const PATIENCE: Duration = Duration::from_millis(150);
/// The share of tries whose caller leaves early.
const LEAVE_PROBABILITY: f64 = 0.3;
/// The share of tries that are made twice at the same time.
const TWICE_PROBABILITY: f64 = 0.2;

/// Runs a plan, and sends requests under which engines end meanwhile.
///
/// # Errors
/// When a stand-in or a process cannot be started. All processes are ended then.
pub(crate) async fn run_with_fatal_requests(settings: SoakSettings) -> anyhow::Result<SoakReport> {
    run_with(settings, async |soak| {
        let callers = soak.callers.clone();
        let sender = tokio::spawn(async move {
            let Ok(client) = HttpClient::new() else { return };
            while !callers.stop.load(Ordering::Relaxed) {
                callers.send_fatal_request(&client).await;
                tokio::time::sleep(PAUSE * 10).await;
            }
        });
        soak.run_steps().await;
        sender.abort();
        for (program, engines) in soak.ledger.fatal_starts() {
            soak.ledger.count_outcome(format!("fatal request ended {} engines", engines.len()));
            if engines.len() > MAX_ENDED_ENGINES {
                let engines = engines.len();
                soak.ledger.record_violation(Violation::FatalRequestSentOn { program, engines });
            }
        }
    })
    .await
}

impl Callers {
    /// Sends a plain request or a turn under which engines end, [`TRIES`] times or more. Some callers leave before the
    /// engine ends, and some try twice at the same time.
    async fn send_fatal_request(&self, client: &HttpClient) {
        let program = self.new_attempt();
        let is_turn = rand::rng().random_bool(0.5);
        for _ in 0..TRIES {
            let send = || self.try_fatal_request(client, &program, is_turn);
            if rand::rng().random_bool(TWICE_PROBABILITY) {
                tokio::join!(send(), send());
            } else {
                send().await;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Sends one try of a request under which engines end.
    async fn try_fatal_request(&self, client: &HttpClient, program: &str, is_turn: bool) {
        let gateway = rand::rng().random_range(0..GATEWAYS);
        let address = self.addresses.caller_address(gateway).to_string();
        let mut headers = headers(&self.new_attempt());
        headers.push(Header { name: "x-program-id", value: program.to_owned() });
        let (method, path, body) = if is_turn {
            headers.push(Header { name: "x-token-count", value: "20,40".to_owned() });
            (Method::POST, "/turn/x".to_owned(), FATAL_MARK.as_bytes().to_vec())
        } else {
            (Method::GET, format!("/read/{FATAL_MARK}"), Vec::new())
        };
        let timeout = if rand::rng().random_bool(LEAVE_PROBABILITY) { PATIENCE } else { REQUEST_TIMEOUT };
        let answer = client.exchange(method, &address, &path, &headers, body, timeout).await;
        let outcome = answer.map_or("broken".to_owned(), |answer| answer.status.as_u16().to_string());
        self.ledger.count_outcome(format!("fatal request {outcome}"));
    }
}
