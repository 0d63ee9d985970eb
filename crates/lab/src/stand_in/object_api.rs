//! The stand-in for the object API: revisions, watches, compare-and-swap, a limited number of readers, and faults on
//! demand.

use super::{json, query_number, read_json, serve, status};
use crate::model::objects::ObjectModel;
use foxnotch::protocol::objects::{KindName, WriteObject, WriteResult};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use volo_http::http::{StatusCode, Uri};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::server::route::{get, post, Router};
use volo_http::utils::Extension;

/// Maximum number of concurrent list requests; the stand-in refuses further ones.
const MAX_READERS: usize = 8;

/// Faults for the stand-in to simulate from now on. They replace the faults of earlier requests.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectApiControl {
    /// Time for which every read and write fails, milliseconds.
    #[serde(default)]
    pub down_ms: u64,
    /// Extra delay of every response, milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
    /// Number of next writes that take effect but whose response is lost.
    #[serde(default)]
    pub lose_answers: u32,
}

struct Faults {
    down_until: Instant,
    slow: Duration,
    lose_answers: u32,
}

#[derive(Clone)]
struct ObjectServer {
    model: Arc<Mutex<ObjectModel>>,
    faults: Arc<Mutex<Faults>>,
    readers: Arc<AtomicUsize>,
    revisions: watch::Sender<u64>,
}

impl ObjectServer {
    fn model(&self) -> MutexGuard<'_, ObjectModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the simulated faults to a request: the error response during an outage, or the extra delay.
    async fn apply_faults(&self) -> Result<(), Response> {
        let (down, slow) = {
            let faults = self.faults();
            (Instant::now() < faults.down_until, faults.slow)
        };
        if down {
            return Err(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        tokio::time::sleep(slow).await;
        Ok(())
    }

    /// Returns whether the response of the present write must be lost, and counts down the responses to lose.
    fn take_lost_response(&self) -> bool {
        let mut faults = self.faults();
        let lose = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lose
    }
}

/// Serves the object API until the process ends.
///
/// # Errors
/// When the address cannot be bound.
pub async fn run(address: SocketAddr) -> anyhow::Result<()> {
    let (revisions, _) = watch::channel(0);
    let faults = Faults { down_until: Instant::now(), slow: Duration::ZERO, lose_answers: 0 };
    let server = ObjectServer {
        model: Arc::default(),
        faults: Arc::new(Mutex::new(faults)),
        readers: Arc::default(),
        revisions,
    };
    let router = Router::new()
        .route("/v1/objects", get(list))
        .route("/v1/objects/{kind}/{name}", get(read).put(write))
        .route("/v1/control", post(control))
        .layer(Extension(server));
    serve(router, address).await
}

async fn list(Extension(server): Extension<ObjectServer>, uri: Uri) -> Response {
    if let Err(response) = server.apply_faults().await {
        return response;
    }
    if server.readers.fetch_add(1, Ordering::SeqCst) >= MAX_READERS {
        server.readers.fetch_sub(1, Ordering::SeqCst);
        return status(StatusCode::TOO_MANY_REQUESTS);
    }
    let after = query_number(&uri, "after");
    let wait = Duration::from_millis(query_number(&uri, "wait_ms"));
    let mut revisions = server.revisions.subscribe();
    let changed = revisions.wait_for(|revision| *revision > after);
    // A wait that times out without a change results in an empty list.
    drop(tokio::time::timeout(wait, changed).await);
    server.readers.fetch_sub(1, Ordering::SeqCst);
    let list = server.model().list_after(after);
    json(StatusCode::OK, &list)
}

fn parse_kind(text: &str) -> Option<KindName> {
    serde_json::from_value(serde_json::Value::String(text.to_owned())).ok()
}

async fn read(
    Extension(server): Extension<ObjectServer>,
    PathParams((kind, name)): PathParams<(String, String)>,
) -> Response {
    if let Err(response) = server.apply_faults().await {
        return response;
    }
    let found = parse_kind(&kind).and_then(|kind| server.model().get(kind, &name).cloned());
    found.map_or_else(|| status(StatusCode::NOT_FOUND), |object| json(StatusCode::OK, &object))
}

async fn write(
    Extension(server): Extension<ObjectServer>,
    PathParams((kind, name)): PathParams<(String, String)>,
    request: Request,
) -> Response {
    if let Err(response) = server.apply_faults().await {
        return response;
    }
    let Some(kind) = parse_kind(&kind) else { return status(StatusCode::NOT_FOUND) };
    let write: WriteObject = match read_json(request.into_body()).await {
        Ok(write) => write,
        Err(response) => return *response,
    };
    let written = server.model().write(kind, &name, &write);
    match written {
        Ok(revision) => {
            server.revisions.send_replace(revision);
            if server.take_lost_response() {
                // The write has taken effect; only its response is lost.
                return status(StatusCode::BAD_GATEWAY);
            }
            json(StatusCode::OK, &WriteResult { revision })
        }
        Err(conflict) => json(StatusCode::CONFLICT, &WriteResult { revision: conflict.current }),
    }
}

async fn control(Extension(server): Extension<ObjectServer>, request: Request) -> Response {
    match read_json::<ObjectApiControl>(request.into_body()).await {
        Ok(control) => {
            let mut faults = server.faults();
            faults.down_until = Instant::now() + Duration::from_millis(control.down_ms);
            faults.slow = Duration::from_millis(control.slow_ms);
            faults.lose_answers = control.lose_answers;
            status(StatusCode::OK)
        }
        Err(response) => *response,
    }
}
