//! A plain engine: works on `slots` requests at a time, queues some more, and refuses the rest as not run.

use crate::http::{answer, Connection, Message};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What a faulty engine does with some of its answers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Sends a second copy of an answer, late: in the place of the next one that is due on the connection.
    LateCopy,
    /// Cuts an answer short: sends its head and the begin of its body, and nothing more.
    CutShort,
}

/// Whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let outcome = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match outcome {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

pub struct Engine {
    pub id: String,
    pub slots: usize,
    pub queue: usize,
    pub fault: Fault,
    /// One of how many answers is spoiled while the fault is on.
    pub spoils_one_of: u64,
    pub is_fault_on: AtomicBool,
    pub record: Arc<Record>,
    /// Running and waiting requests.
    load: Mutex<(usize, usize)>,
    changed: Condvar,
    random: AtomicU64,
    pub answers: AtomicU64,
    pub refusals: AtomicU64,
    pub spoiled: AtomicU64,
    /// Answers given while the fault is on.
    pub faulty_answers: AtomicU64,
    /// The most requests that ran or waited at the same time.
    pub peak: AtomicU64,
    /// The bodies of turns, by attempt.
    pub bodies: Mutex<BTreeMap<String, Vec<u8>>>,
}

const EVENTS: usize = 4;

fn event_data(attempt: &str, number: usize) -> String {
    format!("{attempt}-{number}")
}

fn stream_text(attempt: &str) -> String {
    (0..EVENTS).map(|number| format!("id: {number}\ndata: {}\n\n", event_data(attempt, number))).collect()
}

/// The output of a turn as the history of later turns has it.
pub fn output_of(attempt: &str) -> String {
    (0..EVENTS).map(|number| event_data(attempt, number) + "\n").collect()
}

/// Whether a client has got the whole stream of a turn.
pub fn is_whole_stream(attempt: &str, body: &[u8]) -> bool {
    body == stream_text(attempt).as_bytes()
}

impl Engine {
    pub fn start(
        id: &str,
        address: SocketAddr,
        (slots, queue): (usize, usize),
        (fault, spoils_one_of): (Fault, u64),
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let engine = Arc::new(Self {
            id: id.to_owned(),
            slots,
            queue,
            fault,
            spoils_one_of,
            is_fault_on: AtomicBool::new(false),
            record,
            load: Mutex::default(),
            changed: Condvar::new(),
            random: AtomicU64::new(u64::from(std::process::id()) * 2 + 1),
            answers: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
            spoiled: AtomicU64::new(0),
            faulty_answers: AtomicU64::new(0),
            peak: AtomicU64::new(0),
            bodies: Mutex::default(),
        });
        let serving = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                std::thread::spawn(move || engine.serve(stream));
            }
        });
        Ok(engine)
    }

    fn draw(&self, below: u64) -> u64 {
        let mut value = self.random.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (value ^ (value >> 31)) % below
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        // The second copy of an earlier answer on this connection.
        let mut late: Option<(String, Vec<u8>)> = None;
        while let Ok(Some(request)) = connection.read(false) {
            let attempt = request.header("x-attempt-id").to_owned();
            if let Some((earlier, copy)) = late.take() {
                self.record.line(&format!("engine {} sends the late copy of its answer to {earlier} while {attempt} is due", self.id));
                if connection.write(&copy).is_err() {
                    return;
                }
            }
            let Some(bytes) = self.respond(&request, &attempt, &connection.stream) else { return };
            self.answers.fetch_add(1, Ordering::Relaxed);
            // Counted, not drawn, so that no more answers are spoiled than the share says.
            let is_spoiled = self.fault != Fault::None
                && self.is_fault_on.load(Ordering::Relaxed)
                && (self.faulty_answers.fetch_add(1, Ordering::Relaxed) + 1) % self.spoils_one_of == 0;
            if is_spoiled {
                self.spoiled.fetch_add(1, Ordering::Relaxed);
            }
            match self.fault {
                Fault::LateCopy if is_spoiled => late = Some((attempt, bytes.clone())),
                Fault::CutShort if is_spoiled => {
                    self.record.line(&format!("engine {} cuts its answer to {attempt} short", self.id));
                    let _ = connection.write(&bytes[..bytes.len() - 3]);
                    // The connection stays open until the other side closes it.
                    let _ = connection.read(false);
                    return;
                }
                _ => {}
            }
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn refuse(&self, status: &str, attempt: &str) -> Vec<u8> {
        self.refusals.fetch_add(1, Ordering::Relaxed);
        answer(status, &[("X-Not-Executed", "1"), ("X-Attempt-Id", attempt)], b"not run\n")
    }

    /// The answer to a request; none if its connection closed before a place was free.
    fn respond(&self, request: &Message, attempt: &str, stream: &TcpStream) -> Option<Vec<u8>> {
        if request.header("x-expect-instance") != self.id {
            return Some(self.refuse("421 Misdirected Request", attempt));
        }
        let until = Instant::now() + Duration::from_millis(request.header("x-deadline-ms").parse().unwrap_or(0));
        {
            let mut load = self.load.lock().unwrap();
            if load.0 >= self.slots && load.1 >= self.queue {
                return Some(self.refuse("503 Service Unavailable", attempt));
            }
            load.1 += 1;
            self.peak.fetch_max((load.0 + load.1) as u64, Ordering::Relaxed);
            while load.0 >= self.slots {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    load.1 -= 1;
                    return Some(self.refuse("503 Service Unavailable", attempt));
                }
                load = self.changed.wait_timeout(load, left).unwrap().0;
            }
            load.1 -= 1;
            load.0 += 1;
        }
        if request.header("x-token-count") != "" {
            let bytes = self.stream(attempt);
            self.bodies.lock().unwrap().insert(attempt.to_owned(), request.body.clone());
            self.load.lock().unwrap().0 -= 1;
            self.changed.notify_one();
            return Some(bytes);
        }
        if is_closed(stream) {
            self.load.lock().unwrap().0 -= 1;
            self.changed.notify_one();
            return None;
        }
        self.record.ran(attempt, &self.id);
        std::thread::sleep(Duration::from_millis(40 + self.draw(130)));
        self.load.lock().unwrap().0 -= 1;
        self.changed.notify_one();
        let seal = format!("seal.{attempt}");
        let headers = [("X-Attempt-Id", attempt), ("X-Server-Seal", &seal), ("Content-Type", "text/plain")];
        Some(answer("200 OK", &headers, format!("answer to {attempt}\n").as_bytes()))
    }

    /// Answers a request with a stream of events.
    fn stream(&self, attempt: &str) -> Vec<u8> {
        self.record.ran(attempt, &self.id);
        std::thread::sleep(Duration::from_millis(30));
        let seal = format!("seal.{attempt}");
        let headers = [("X-Attempt-Id", attempt), ("X-Server-Seal", &seal), ("Content-Type", "text/event-stream")];
        answer("200 OK", &headers, stream_text(attempt).as_bytes())
    }

    /// The entry of the engine in the platform's store.
    pub fn entry(&self, service: &str, address: SocketAddr, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0,\"call_seq\":1}}",
            self.slots
        )
    }
}
