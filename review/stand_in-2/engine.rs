//! The stand-in for an engine, a process of its own. It keeps its entry in the store, answers plain requests and turns,
//! and records each request that it runs.

use crate::http::{exchange, Connection, Head, Request};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Tokens that one event of a stream holds, as in the configuration.
pub const TOKENS_PER_EVENT: u32 = 9;
/// Time between two writes of the engine's entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What an engine is started with.
#[derive(Clone)]
pub struct EngineArguments {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddr,
    pub store: SocketAddr,
    /// Time from the start to the first write of the entry.
    pub first_beat: Duration,
    /// Time between two events of a stream.
    pub event_period: Duration,
}

impl EngineArguments {
    /// The arguments of the process.
    pub fn to_words(&self, record: &Record) -> Vec<String> {
        let times = [self.first_beat, self.event_period].map(|time| time.as_millis().to_string());
        let texts = [&self.id, &self.service, &self.version, &self.zone].map(Clone::clone);
        let addresses = [self.address, self.store].map(|address| address.to_string());
        let record = [record.path().display().to_string(), record.started_ms().to_string()];
        ["engine".to_owned()].into_iter().chain(texts).chain(addresses).chain(times).chain(record).collect()
    }

    fn from_words(words: &[String]) -> Option<(Self, Record)> {
        let [id, service, version, zone, address, store, first_beat, event_period, record, started] = words else {
            return None;
        };
        let arguments = Self {
            id: id.clone(),
            service: service.clone(),
            version: version.clone(),
            zone: zone.clone(),
            address: address.parse().ok()?,
            store: store.parse().ok()?,
            first_beat: Duration::from_millis(first_beat.parse().ok()?),
            event_period: Duration::from_millis(event_period.parse().ok()?),
        };
        Some((arguments, Record::join(&PathBuf::from(record), started.parse().ok()?)))
    }
}

struct Engine {
    arguments: EngineArguments,
    record: Record,
    is_draining: AtomicBool,
}

/// Path at which a case tells an engine that its end is planned.
pub const DRAIN_PATH: &str = "/stand-in/drain";

/// Runs an engine until the process is killed.
pub fn run(words: &[String]) -> Result<(), String> {
    let (arguments, record) = EngineArguments::from_words(words).ok_or("the arguments of an engine are wrong")?;
    let listener = TcpListener::bind(arguments.address).map_err(|error| error.to_string())?;
    let engine = Arc::new(Engine { arguments, record, is_draining: AtomicBool::new(false) });
    let beating = engine.clone();
    std::thread::spawn(move || beating.beat());
    for stream in listener.incoming().flatten() {
        let engine = engine.clone();
        std::thread::spawn(move || drop(engine.serve(stream)));
    }
    Ok(())
}

impl Engine {
    /// Writes the entry after the time of the first beat, and again with each heartbeat.
    fn beat(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis());
        std::thread::sleep(self.arguments.first_beat);
        let EngineArguments { id, version, .. } = &self.arguments;
        self.record.line(&format!("entry   engine={id} version={version} born={born}"));
        let mut was_draining = false;
        loop {
            let is_draining = self.is_draining.load(Ordering::SeqCst);
            let status = self.write_entry(born, is_draining);
            if is_draining && !was_draining {
                self.record.line(&format!("entry   engine={id} state=draining store_status={status}"));
            }
            was_draining = is_draining;
            let until = Instant::now() + HEARTBEAT;
            while Instant::now() < until && self.is_draining.load(Ordering::SeqCst) == was_draining {
                std::thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// Writes the entry once. Returns the store's status.
    fn write_entry(&self, born: u128, is_draining: bool) -> u16 {
        let EngineArguments { id, service, version, zone, address, store, .. } = &self.arguments;
        let state = if is_draining { "draining" } else { "ready" };
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
             \"slots\":12,\"state\":\"{state}\",\"cold_left_ms\":0,\"call_seq\":0,\"born\":{born}}}"
        );
        let body = format!("{{\"metadata\":{{\"name\":\"{id}\"}},\"spec\":{spec}}}");
        let host = [("Host", store.to_string())];
        let call = |method: &str, path: &str| {
            let request = Request { method, path, headers: &host, body: body.as_bytes() };
            exchange(*store, &request, Duration::from_secs(2), |_| {}).status
        };
        match call("PUT", &format!("/v1/objects/servers/{id}")) {
            404 => call("POST", "/v1/objects/servers"),
            status => status,
        }
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut connection = Connection::new(stream);
        while let Some(head) = connection.read_head()? {
            let mut body = Vec::new();
            connection.read_body(&head, |piece| body.extend_from_slice(piece))?;
            self.answer(&mut connection, &head, &body)?;
        }
        Ok(())
    }

    fn answer(&self, connection: &mut Connection, head: &Head, body: &[u8]) -> std::io::Result<()> {
        let EngineArguments { id, version, event_period, .. } = &self.arguments;
        let attempt = head.header("x-attempt-id").unwrap_or_default();
        if head.first_line.contains(DRAIN_PATH) {
            self.is_draining.store(true, Ordering::SeqCst);
            return connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        if head.header("x-expect-instance").is_some_and(|expected| expected != id) {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {attempt}\r\n\
                 X-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.write(refusal.as_bytes());
        }
        let path = head.first_line.split(' ').nth(1).unwrap_or_default();
        let last_event = head.header("last-event-id").and_then(|value| value.parse::<u32>().ok());
        self.record.line(&format!(
            "run     attempt={attempt} engine={id} version={version} path={path} body_bytes={} body_hash={:016x} \
             last_event={last_event:?}",
            body.len(),
            hash(body),
        ));
        let common = format!("X-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{attempt}\r\n");
        let tokens = head.header("x-token-count").and_then(|value| value.split_once(','));
        let Some(most) = tokens.and_then(|(_, most)| most.trim().parse::<u32>().ok()) else {
            let text = format!("answer to {attempt}\n");
            let answer = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n{text}", text.len());
            return connection.write(answer.as_bytes());
        };
        let head =
            format!("HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        connection.write(head.as_bytes())?;
        for number in last_event.map_or(0, |last| last + 1)..most / TOKENS_PER_EVENT {
            std::thread::sleep(*event_period);
            let event = event_text(number, version);
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")
    }
}

/// One event of a stream: its number, and the software version that wrote it.
fn event_text(number: u32, version: &str) -> String {
    format!("id: {number}\ndata: {number} of {version}\n\n")
}

/// What a whole turn adds to the history of later turns.
pub fn output_of(most: u32, version: &str) -> Vec<u8> {
    (0..most / TOKENS_PER_EVENT).flat_map(|number| format!("{number} of {version}\n").into_bytes()).collect()
}

/// FNV-1a, 64 bits.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}
