//! The stand-in for a model engine: [`EngineModel`] in real time, served over HTTP.

use super::{json, query_number, read_json, serve, status};
use crate::model::engine::{DispatchKey, EngineFigures, EngineModel, EngineParameters, Submission};
use foxnotch::driver::wall_clock;
use foxnotch::protocol::engines::{EngineCall, EngineEvent};
use foxnotch_wire::{BranchId, CallKey, ProgramId};
use futures_util::stream::unfold;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{watch, Notify};
use volo_http::http::{StatusCode, Uri};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::server::response::sse::{Event, Sse};
use volo_http::server::route::{delete, get, post, Router};
use volo_http::server::IntoResponse;
use volo_http::utils::Extension;

/// Interval at which an idle engine expires holds and records reports.
const IDLE_STEP_PERIOD: Duration = Duration::from_millis(100);

/// Counters of an engine since its start, for the load tool's report.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineCount {
    /// Counters of calls, tokens and holds.
    pub figures: EngineFigures,
    /// Number of computations by block hash.
    pub computed: HashMap<u64, u32>,
    /// Number of starts by call.
    pub starts: HashMap<String, u32>,
}

#[derive(Clone)]
struct EngineServer {
    model: Arc<Mutex<EngineModel>>,
    starts: Arc<Mutex<HashMap<String, u32>>>,
    started: Instant,
    /// Notified when a call is submitted.
    submitted: Arc<Notify>,
    /// Counts the changes of answers.
    changes: watch::Sender<u64>,
}

impl EngineServer {
    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn model(&self) -> MutexGuard<'_, EngineModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Advances the model to the present. Returns the end of its current step, microseconds since the server's start;
    /// none when the engine is idle.
    fn advance(&self) -> Option<u64> {
        let now = self.now_us();
        let mut model = self.model();
        let outputs = model.advance(now);
        let starts = model.take_starts();
        let next = model.current_step_end_us();
        drop(model);
        let mut counts = self.starts.lock().unwrap_or_else(PoisonError::into_inner);
        for start in starts {
            *counts.entry(start.dispatch.key.to_string()).or_default() += 1;
        }
        if !outputs.is_empty() {
            self.changes.send_modify(|version| *version += 1);
        }
        next
    }

    /// Advances the model at the end of each step and after each submitted call.
    async fn run(self) {
        loop {
            let next = self.advance();
            let pause = next.map_or(IDLE_STEP_PERIOD, |at| Duration::from_micros(at.saturating_sub(self.now_us())));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.submitted.notified() => {}
            }
        }
    }

    fn stream_answer(&self, dispatch: DispatchKey) -> Response {
        let follower =
            Follower { server: self.clone(), changes: self.changes.subscribe(), dispatch, sent: 0, done: false };
        Sse::new(unfold(follower, Follower::next)).into_response()
    }
}

/// Streams one answer, starting with its first byte.
struct Follower {
    server: EngineServer,
    changes: watch::Receiver<u64>,
    dispatch: DispatchKey,
    sent: usize,
    done: bool,
}

impl Follower {
    async fn next(mut self) -> Option<(Result<Event, Infallible>, Self)> {
        loop {
            if self.done {
                return None;
            }
            let answer = self.server.model().answer(self.dispatch);
            let Some((text, whole)) = answer else {
                self.done = true;
                let event = EngineEvent::Refused { reason: "the engine dropped the call".to_owned() };
                return (self.sent == 0).then(|| (Ok(sse_event(&event)), self));
            };
            if whole {
                self.done = true;
                let event = EngineEvent::Finished { text: String::from_utf8_lossy(&text).into_owned() };
                return Some((Ok(sse_event(&event)), self));
            }
            if text.len() > self.sent {
                let piece = String::from_utf8_lossy(&text[self.sent..]).into_owned();
                let event = EngineEvent::Tokens { offset: self.sent, text: piece };
                self.sent = text.len();
                return Some((Ok(sse_event(&event)), self));
            }
            self.changes.changed().await.ok()?;
        }
    }
}

fn sse_event(event: &EngineEvent) -> Event {
    Event::new().data(serde_json::to_string(event).unwrap_or_default())
}

/// Serves a model engine until the process ends.
///
/// # Errors
/// When the address cannot be bound.
pub async fn run(address: SocketAddr, parameters: EngineParameters) -> anyhow::Result<()> {
    let (changes, _) = watch::channel(0);
    let server = EngineServer {
        model: Arc::new(Mutex::new(EngineModel::new(parameters))),
        starts: Arc::default(),
        started: Instant::now(),
        submitted: Arc::new(Notify::new()),
        changes,
    };
    tokio::spawn(server.clone().run());
    let router = Router::new()
        .route("/v1/calls", post(submit))
        .route("/v1/calls/{call}", delete(cancel))
        .route("/v1/calls/{call}/{attempt}", get(resume))
        .route("/v1/holds/{program}/{branch}", delete(release))
        .route("/v1/state", get(state))
        .route("/v1/count", get(count))
        .layer(Extension(server));
    serve(router, address).await
}

async fn submit(Extension(server): Extension<EngineServer>, request: Request) -> Response {
    let call: EngineCall = match read_json(request.into_body()).await {
        Ok(call) => call,
        Err(response) => return *response,
    };
    let Ok(key) = call.call.parse::<CallKey>() else { return refused("the call's key is malformed") };
    let Some(left_ms) = call.start_by_ms.checked_sub(wall_clock().0) else {
        return refused("the call arrived after its start deadline");
    };
    let now = server.now_us();
    let submission = Submission {
        key,
        attempt: call.attempt,
        model: call.model,
        adapter: call.adapter,
        prompt: call.prompt.into_bytes(),
        maximum_output_tokens: call.maximum_output_tokens,
        priority: call.priority,
        hold_us: call.hold_ms * 1000,
        start_by_us: now + left_ms * 1000,
    };
    let submitted = server.model().submit(submission, now);
    if let Err(reason) = submitted {
        return refused(reason);
    }
    server.submitted.notify_one();
    server.stream_answer(DispatchKey { key, attempt: call.attempt })
}

fn refused(reason: &str) -> Response {
    json(StatusCode::CONFLICT, &EngineEvent::Refused { reason: reason.to_owned() })
}

async fn resume(
    Extension(server): Extension<EngineServer>,
    PathParams((call, attempt)): PathParams<(String, u32)>,
) -> Response {
    let Ok(key) = call.parse::<CallKey>() else { return status(StatusCode::BAD_REQUEST) };
    let dispatch = DispatchKey { key, attempt };
    let known = server.model().has_dispatch(dispatch);
    if known {
        server.stream_answer(dispatch)
    } else {
        status(StatusCode::NOT_FOUND)
    }
}

async fn cancel(Extension(server): Extension<EngineServer>, PathParams(call): PathParams<String>) -> Response {
    let Ok(key) = call.parse::<CallKey>() else { return status(StatusCode::BAD_REQUEST) };
    let now = server.now_us();
    server.model().cancel(key, now);
    server.changes.send_modify(|version| *version += 1);
    status(StatusCode::OK)
}

async fn release(
    Extension(server): Extension<EngineServer>,
    PathParams((program, branch)): PathParams<(String, u32)>,
) -> Response {
    let Ok(program) = program.parse::<ProgramId>() else { return status(StatusCode::BAD_REQUEST) };
    let now = server.now_us();
    server.model().release_holds(program, BranchId(branch), now);
    status(StatusCode::OK)
}

async fn state(Extension(server): Extension<EngineServer>, uri: Uri) -> Response {
    let now = server.now_us();
    let state = server.model().state(query_number(&uri, "after"), now);
    json(StatusCode::OK, &state)
}

async fn count(Extension(server): Extension<EngineServer>) -> Response {
    server.advance();
    let model = server.model();
    let computed = model.block_compute_counts().iter().map(|(hash, count)| (hash.0, *count)).collect();
    let figures = model.figures();
    drop(model);
    let starts = server.starts.lock().unwrap_or_else(PoisonError::into_inner).clone();
    json(StatusCode::OK, &EngineCount { figures, computed, starts })
}
