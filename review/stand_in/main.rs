//! The stand-ins of the review's scripts: platform's store, engines and clients. Starts the product's programs as
//! separate processes. `main.rs` has one function for each case.

mod engine;
mod http;
mod nodes;
mod record;
mod store;

use engine::{Engine, Fault};
use nodes::{Net, Node, ZONES};
use record::Record;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::Store;

/// The outcome of a case: broken, held, or not run.
pub enum Verdict {
    Broken(Vec<String>),
    Held,
    NotRun(String),
}

/// A run ends after this time, whatever it waits for. The programs that it started end with it.
const MAX_RUN_TIME: Duration = Duration::from_secs(118);
const HOST: &str = "ficu95.example";
const LIMITS: &str = "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

/// The stand-ins and processes of one run.
struct Fleet {
    net: Net,
    folder: PathBuf,
    record: Arc<Record>,
    store: Store,
    nodes: Vec<Node>,
}

impl Fleet {
    /// Starts the store and all processes. `routes` and `services` are the lists of the configuration as JSON.
    fn start(routes: &str, services: &str, gateways: usize, replicas: usize) -> Result<Self, String> {
        let net = Net::find();
        let folder = std::env::temp_dir().join(format!("foxnotch-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::default();
        store.serve(net.store()).map_err(|error| error.to_string())?;
        let mut nodes: Vec<Node> = (0..gateways).map(|number| Node::gateway(net, number, &folder)).collect();
        nodes.extend((0..replicas).map(|number| Node::replica(net, number, &folder)));
        let fleet = Self { net, folder, record: Arc::new(Record::new()), store, nodes };
        fleet.write_configuration(1, routes, services);
        Ok(fleet)
    }

    fn write_configuration(&self, version: u64, routes: &str, services: &str) {
        let text = format!("{{\"version\":{version},\"routes\":{routes},\"services\":{services},\"limits\":{LIMITS}}}");
        self.store.put("config", "main", &text);
        self.record.line(&format!("operator writes configuration {version}"));
    }

    fn start_nodes(&mut self) -> Result<(), String> {
        self.nodes.iter_mut().try_for_each(|node| node.start(true)).map_err(|error| format!("a program cannot be started: {error}"))
    }

    /// Waits until all gateways say that they are ready.
    fn wait_until_ready(&self, gateways: usize) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        let request = http::request("GET", "/v1/readyz", &[("Host", "ready")], b"");
        while Instant::now() < until {
            let is_ready = |gateway: usize| {
                let answer = http::exchange(self.net.ready(gateway), &request, Duration::from_millis(500));
                answer.is_ok_and(|answer| answer.status() == 200)
            };
            if (0..gateways).all(is_ready) {
                self.record.line("all gateways are ready");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the gateways did not become ready".to_owned())
    }

    fn add_engine(
        &self,
        number: usize,
        service: &str,
        size: (usize, usize),
        fault: (Fault, u64),
    ) -> Result<Arc<Engine>, String> {
        let address = self.net.engine(number);
        let id = format!("i-{number:08x}");
        let engine = Engine::start(&id, address, size, fault, self.record.clone()).map_err(|error| error.to_string())?;
        self.store.put("servers", &id, &engine.entry(service, address, ZONES[number % ZONES.len()]));
        Ok(engine)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

fn new_attempt() -> String {
    let number = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Sends one plain request and records the outcome.
fn send_plain(record: &Record, gateway: SocketAddr, method: &str, path: &str, may_repeat: bool, wait_ms: u64) -> Option<u16> {
    let attempt = new_attempt();
    let deadline = wait_ms.to_string();
    let headers = [("Host", HOST), ("X-Attempt-Id", attempt.as_str()), ("X-Deadline-Ms", deadline.as_str())];
    let body: &[u8] = if method == "POST" { b"sample 17\n" } else { b"" };
    record.sent(&attempt, may_repeat, &format!("{method} {path} to {gateway}"));
    let sent_at = Instant::now();
    let outcome = http::exchange(gateway, &http::request(method, path, &headers, body), Duration::from_millis(wait_ms));
    let waited_ms = sent_at.elapsed().as_millis() as u64;
    match outcome {
        Ok(answer) => {
            let expected = format!("answer to {attempt}\n");
            let is_wrong = answer.status() == 200 && answer.body != expected.as_bytes();
            let wrong = is_wrong.then(|| String::from_utf8_lossy(&answer.body).into_owned());
            record.answered(&attempt, Some(answer.status()), wrong, waited_ms);
            Some(answer.status())
        }
        Err(_) => {
            record.answered(&attempt, None, None, waited_ms);
            None
        }
    }
}

/// Runs clients side by side for `time`, each of which sends one request in every `period`. Between the two moments of
/// `burst` they come `burst_factor` times as often.
fn run_clients(
    record: &Arc<Record>,
    (count, period): (usize, Duration),
    time: Duration,
    (burst, burst_factor): (std::ops::Range<Duration>, f64),
    send: impl Fn(usize, u64) + Send + Sync + Clone + 'static,
) {
    let begun_at = Instant::now();
    let clients: Vec<_> = (0..count)
        .map(|client| {
            let (burst, send) = (burst.clone(), send.clone());
            let run = move || {
                let mut number = 0;
                let mut next = period.mul_f64(client as f64 / count as f64);
                while next < time {
                    std::thread::sleep(next.saturating_sub(begun_at.elapsed()));
                    send(client, number);
                    number += 1;
                    let is_burst = burst.contains(&begun_at.elapsed());
                    next += if is_burst { period.div_f64(burst_factor) } else { period };
                    next = next.max(begun_at.elapsed());
                }
            };
            std::thread::Builder::new().stack_size(256 * 1024).spawn(run).expect("a client's thread")
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    record.line("all clients have ended");
}

/// Turns the faults of engines on during the given span, counted from now.
fn switch_faults(record: &Arc<Record>, engines: &[Arc<Engine>], span: std::ops::Range<Duration>) {
    let (record, engines) = (record.clone(), engines.to_vec());
    std::thread::spawn(move || {
        std::thread::sleep(span.start);
        record.line("some engines begin to spoil some of their answers");
        engines.iter().for_each(|engine| engine.is_fault_on.store(true, Ordering::Relaxed));
        std::thread::sleep(span.end - span.start);
        engines.iter().for_each(|engine| engine.is_fault_on.store(false, Ordering::Relaxed));
        record.line("all engines are sound again");
    });
}

/// Writes down what each engine did; an error if none of them refused a request.
fn count_engines(record: &Record, engines: &[Arc<Engine>]) -> Result<(), String> {
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    for engine in engines {
        record.line(&format!(
            "engine {} gave {} answers, {} of them refusals; it spoiled {} of {} while it was faulty",
            engine.id,
            count(&engine.answers),
            count(&engine.refusals),
            count(&engine.spoiled),
            count(&engine.faulty_answers)
        ));
    }
    if engines.iter().all(|engine| count(&engine.refusals) == 0) {
        return Err("no engine refused a request, so nothing was tried".to_owned());
    }
    Ok(())
}

/// A turn of a program: what the client sends and, once it is answered whole, the history that goes on from it.
#[derive(Clone)]
struct Turn {
    program: String,
    previous: Option<String>,
    history: Vec<u8>,
    input: String,
    /// When the program should be over.
    ends_at: Instant,
}

/// Sends a turn once. Returns its attempt, its status, and whether it was answered whole.
fn send_turn(record: &Record, gateway: SocketAddr, turn: &Turn) -> (String, Option<u16>, bool) {
    let attempt = new_attempt();
    let left_ms = turn.ends_at.saturating_duration_since(Instant::now()).as_millis().to_string();
    let mut headers = vec![
        ("Host", HOST),
        ("X-Attempt-Id", attempt.as_str()),
        ("X-Deadline-Ms", "4000"),
        ("X-Model", "m"),
        ("X-Token-Count", "300,72"),
        ("X-Token-Budget", "2304"),
        ("X-Program-Id", turn.program.as_str()),
        ("X-Session-Id", turn.program.as_str()),
        ("X-Program-Deadline-Ms", left_ms.as_str()),
    ];
    if let Some(previous) = &turn.previous {
        headers.push(("X-Previous-Turn", previous.as_str()));
    }
    let previous = turn.previous.as_deref().unwrap_or("nothing");
    record.sent(&attempt, false, &format!("a turn of {} after {previous} to {gateway}", turn.program));
    let request = http::request("POST", "/plans/1", &headers, turn.input.as_bytes());
    let sent_at = Instant::now();
    let outcome = http::exchange(gateway, &request, Duration::from_millis(4500));
    let waited_ms = sent_at.elapsed().as_millis() as u64;
    let status = outcome.as_ref().ok().map(http::Message::status);
    let is_whole = outcome.is_ok_and(|answer| answer.status() == 200 && engine::is_whole_stream(&attempt, &answer.body));
    record.answered(&attempt, status, None, waited_ms);
    (attempt, status, is_whole)
}

/// Sends a turn until it is answered whole, five times at most. Returns the turn's attempt, or the statuses that came.
fn complete_turn(record: &Record, gateways: &[SocketAddr], turn: &Turn) -> Result<String, Vec<Option<u16>>> {
    let mut statuses = Vec::new();
    for number in 0..5 {
        let (attempt, status, is_whole) = send_turn(record, gateways[number % gateways.len()], turn);
        if is_whole {
            return Ok(attempt);
        }
        statuses.push(status);
        std::thread::sleep(Duration::from_millis(300));
    }
    Err(statuses)
}

mod cases;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let case = arguments.get(1).map_or("", String::as_str);
    let output = arguments.get(2).map_or("record.txt", String::as_str);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(MAX_RUN_TIME);
        println!("not run: the time is over");
        std::process::exit(2);
    });
    let run = || cases::run(case, has_trouble, Path::new(output));
    let verdict = std::panic::catch_unwind(run).unwrap_or_else(|_| Verdict::NotRun("the case panicked".to_owned()));
    let code = match verdict {
        Verdict::Broken(findings) => {
            println!("broken: {} findings, the first: {}", findings.len(), findings[0]);
            1
        }
        Verdict::Held => {
            println!("held");
            0
        }
        Verdict::NotRun(reason) => {
            println!("not run: {reason}");
            2
        }
    };
    std::process::exit(code);
}
