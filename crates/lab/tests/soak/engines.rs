//! Stand-ins for engines in the soak's own process. They use the platform's protocol and record every request that they
//! start.

use super::ledger::Ledger;
use super::plan::ENGINES;
use bytes::Bytes;
use foxnotch_lab::stand_in::{serve, status};
use futures_util::stream::unfold;
use http_body::Frame;
use http_body_util::BodyExt;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use volo_http::body::Body;
use volo_http::http::{HeaderMap, HeaderValue, StatusCode};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{any, Router};
use volo_http::utils::Extension;

/// Number of events in the answer to a turn.
pub(crate) const EVENTS_PER_TURN: usize = 4;
/// Time to answer a plain request.
const PLAIN_ANSWER_TIME: Duration = Duration::from_millis(25);
/// Time between two events of a turn.
const EVENT_PERIOD: Duration = Duration::from_millis(20);
/// Path of the route whose streams callers may resume.
pub(crate) const RESUMABLE_PATH: &str = "/draft/";
/// Probability that the stream of one attempt breaks after some of its events.
const BREAK_PROBABILITY: f64 = 0.35;
/// Name of the service that answers plain requests.
pub(crate) const PLAIN_SERVICE: &str = "lookup";
/// Name of the service that runs turns.
pub(crate) const MODEL_SERVICE: &str = "model";

/// A stand-in for an engine.
#[derive(Clone)]
pub(crate) struct SoakEngine {
    ledger: Arc<Ledger>,
    id: Arc<Mutex<String>>,
    /// Version of the engine's software.
    version: Arc<Mutex<String>>,
    is_full: Arc<AtomicBool>,
    /// Number of requests that named the engine's identifier at their time, including refused ones.
    received: Arc<AtomicU64>,
    streams: bool,
    /// Whether the engine's process has ended under a request since this was last asked.
    has_ended: Arc<AtomicBool>,
}

/// Text in the path or the body of a request under which engines end.
pub(crate) const FATAL_MARK: &str = "fatal";
/// The longest time for which an engine works on a request under which it ends.
const MAX_FATAL_WORK: Duration = Duration::from_millis(300);

/// The service of an engine: the first [`ENGINES`] engines run turns.
pub(crate) fn service_of(engine: usize) -> &'static str {
    if engine < ENGINES {
        MODEL_SERVICE
    } else {
        PLAIN_SERVICE
    }
}

/// The software version of an engine at the start of the soak; engines of one service have two versions.
fn initial_version(engine: usize) -> String {
    ["v1", "v2"][engine % 2].to_owned()
}

fn next_version(version: &str) -> String {
    if version == "v1" { "v2" } else { "v1" }.to_owned()
}

/// The data field of an event of a turn.
pub(crate) fn event_data(attempt: &str, number: usize) -> String {
    format!("{attempt}-{number}")
}

/// The output of a completed turn as the history of later turns contains it.
pub(crate) fn output_of(attempt: &str) -> String {
    (0..EVENTS_PER_TURN).map(|number| event_data(attempt, number) + "\n").collect()
}

/// The complete answer to a plain request.
pub(crate) fn plain_answer(attempt: &str) -> String {
    format!("answer to {attempt}\n")
}

/// The complete answer to a turn.
pub(crate) fn turn_answer(attempt: &str) -> String {
    (0..EVENTS_PER_TURN).map(|number| event_text(attempt, number)).collect()
}

fn event_text(attempt: &str, number: usize) -> String {
    format!("id: {number}\ndata: {}\n\n", event_data(attempt, number))
}

impl SoakEngine {
    /// Starts to serve at `address`, until the soak's process ends.
    pub(crate) fn start(address: SocketAddr, number: usize, id: String, ledger: Arc<Ledger>) -> Self {
        let streams = service_of(number) == MODEL_SERVICE;
        let (version, id) = (initial_version(number), Arc::new(Mutex::new(id)));
        let version = Arc::new(Mutex::new(version));
        let engine = Self {
            ledger,
            id,
            version,
            is_full: Arc::default(),
            received: Arc::default(),
            streams,
            has_ended: Arc::default(),
        };
        let router = Router::new().route("/{*path}", any(answer)).layer(Extension(engine.clone()));
        tokio::spawn(async move {
            if let Err(error) = serve(router, address).await {
                eprintln!("soak: the server of an engine failed: {error:#}");
            }
        });
        engine
    }

    /// Sets whether the engine refuses all requests.
    pub(crate) fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, Ordering::SeqCst);
    }

    /// Number of requests addressed to the engine so far, including refused ones.
    pub(crate) fn received(&self) -> u64 {
        self.received.load(Ordering::SeqCst)
    }

    /// Changes the identifier and the software version, as if another engine replaced this one.
    pub(crate) fn replace(&self, id: String) {
        *super::lock(&self.id) = id;
        let mut version = super::lock(&self.version);
        *version = next_version(&version);
    }

    /// Whether the engine's process has ended under a request since the last call.
    pub(crate) fn take_has_ended(&self) -> bool {
        self.has_ended.swap(false, Ordering::SeqCst)
    }

    /// The version of the engine's software.
    pub(crate) fn version(&self) -> String {
        super::lock(&self.version).clone()
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

fn not_executed(code: StatusCode, attempt: &str) -> Response {
    let mut response = status(code);
    response.headers_mut().insert("x-not-executed", HeaderValue::from_static("1"));
    set_header(&mut response, "x-attempt-id", attempt);
    response
}

fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

async fn answer(Extension(engine): Extension<SoakEngine>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let attempt = header_text(&head.headers, "x-attempt-id");
    if header_text(&head.headers, "x-expect-instance") != *super::lock(&engine.id) {
        return not_executed(StatusCode::MISDIRECTED_REQUEST, &attempt);
    }
    engine.received.fetch_add(1, Ordering::SeqCst);
    if engine.is_full.load(Ordering::SeqCst) {
        return not_executed(StatusCode::SERVICE_UNAVAILABLE, &attempt);
    }
    // The engine does not start a request whose body is incomplete.
    let Ok(collected) = body.collect().await else { return status(StatusCode::BAD_REQUEST) };
    let body = collected.to_bytes();
    if head.uri.path().contains(FATAL_MARK) || String::from_utf8_lossy(&body).contains(FATAL_MARK) {
        let program = header_text(&head.headers, "x-program-id");
        let id = super::lock(&engine.id).clone();
        engine.ledger.record_fatal_start(&program, &id);
        let (work, has_ended) = (rand::rng().random_range(Duration::ZERO..=MAX_FATAL_WORK), engine.has_ended.clone());
        // The engine ends also if the gateway has closed the connection.
        tokio::spawn(async move {
            tokio::time::sleep(work).await;
            has_ended.store(true, Ordering::SeqCst);
        });
        // The soak closes the connection.
        std::future::pending::<()>().await;
    }
    engine.ledger.record_start(&attempt, &body);
    let mut response = if head.uri.path().starts_with(RESUMABLE_PATH) {
        let last_event = header_text(&head.headers, "last-event-id").parse::<usize>();
        let first = last_event.map_or(0, |last| last + 1);
        Response::new(Body::from_stream(resumable_events(engine.version(), first, random_break(first))))
    } else if engine.streams {
        Response::new(Body::from_stream(events(attempt.clone())))
    } else {
        tokio::time::sleep(PLAIN_ANSWER_TIME).await;
        Response::new(Body::from(plain_answer(&attempt)))
    };
    set_header(&mut response, "x-attempt-id", &attempt);
    set_header(&mut response, "x-server-seal", &format!("seal.{attempt}"));
    if engine.streams {
        set_header(&mut response, "content-type", "text/event-stream");
    }
    response
}

fn events(
    attempt: String,
) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, volo_http::error::BoxError>> + Send + Sync + 'static {
    unfold((attempt, 0), |(attempt, number)| async move {
        if number == EVENTS_PER_TURN {
            return None;
        }
        tokio::time::sleep(EVENT_PERIOD).await;
        let frame = Frame::data(Bytes::from(event_text(&attempt, number)));
        Some((Ok(frame), (attempt, number + 1)))
    })
}

/// The event of a resumable stream at which an attempt that begins with event `first` breaks, if it breaks.
fn random_break(first: usize) -> Option<usize> {
    let breaks = rand::rng().random_bool(BREAK_PROBABILITY) && first + 1 < EVENTS_PER_TURN;
    breaks.then(|| rand::rng().random_range(first + 1..EVENTS_PER_TURN))
}

/// The events of a resumable stream from `first` on, each with the engine's software version. The stream breaks before
/// the event `break_at`.
fn resumable_events(
    version: String,
    first: usize,
    break_at: Option<usize>,
) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, volo_http::error::BoxError>> + Send + Sync + 'static {
    unfold(Some((version, first)), move |state| async move {
        let (version, number) = state?;
        if number >= EVENTS_PER_TURN {
            return None;
        }
        tokio::time::sleep(EVENT_PERIOD).await;
        if break_at == Some(number) {
            return Some((Err("the engine breaks its stream".into()), None));
        }
        let frame = Frame::data(Bytes::from(format!("id: {number}\ndata: {version}\n\n")));
        Some((Ok(frame), Some((version, number + 1))))
    })
}
