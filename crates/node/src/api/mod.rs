//! The HTTP interface for callers and operators.

mod incoming;
mod operators;
mod plain;
mod programs;
mod session;

use crate::driver::NodeHandle;
use crate::http::HttpClient;
use crate::protocol::callers::{ReplyBody, RunName};
use http_body_util::BodyExt;
pub use incoming::LimitedIncoming;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use volo_http::body::Body;
use volo_http::http::{HeaderMap, HeaderValue, StatusCode};
use volo_http::response::Response;
use volo_http::server::route::{delete, get, post, Router};
use volo_http::utils::Extension;

/// State that is shared by all handlers.
#[derive(Clone)]
pub struct ApiState {
    /// Handle of the node's driver.
    pub node: NodeHandle,
    /// HTTP client for other nodes and plain back ends.
    pub client: HttpClient,
    /// Maximum size of a request body, in bytes.
    pub maximum_body_bytes: usize,
    /// Counter of the requests in flight at this interface.
    pub in_flight: InFlight,
    /// Metrics of this interface.
    pub metrics: Arc<crate::metrics::ApiMetrics>,
}

/// Counter of the requests in flight. New connections wait while it is at the limit of the settings, and a planned stop
/// waits until it is 0.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<AtomicUsize>);

/// Counts one request as in flight until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicUsize>);

impl InFlight {
    /// Counts one more request until the returned guard is dropped.
    pub fn enter(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.0.clone())
    }

    /// Number of requests in flight.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The routes of the HTTP interface.
pub fn router(state: ApiState) -> Router {
    Router::new()
        .route("/v1/programs", post(programs::open).get(operators::programs))
        .route("/v1/programs/{program}", delete(programs::close))
        .route("/v1/programs/{program}/branches", post(programs::open_branch))
        .route("/v1/programs/{program}/branches/{branch}", delete(programs::close_branch))
        .route("/v1/programs/{program}/calls", post(programs::issue_call))
        .route(
            "/v1/programs/{program}/calls/{branch}/{sequence}",
            get(programs::read_call).delete(programs::cancel_call),
        )
        .route("/v1/services/{instance}", post(plain::request))
        .route("/v1/status", get(operators::status))
        .route("/metrics", get(operators::metrics))
        .route("/healthz", get(operators::health))
        .route("/readyz", get(operators::ready))
        .layer(Extension(state))
}

/// A response with a JSON body.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    response
}

/// A response that refuses a request and says that the request has not run.
pub(crate) fn refusal_response(status: StatusCode, kind: &str, remedy: impl Into<String>) -> Response {
    let body =
        ReplyBody::Refused { kind: kind.to_owned(), run: RunName::NotRun, retry_after_ms: None, remedy: remedy.into() };
    json_response(status, &body)
}

/// Maximum number of bytes beyond the limit that are read and discarded before a body is refused. Closing a
/// connection with unread bytes resets it, and the caller may then lose the response that gives the reason. Of 160
/// callers, 20 at a time, 21 lost it.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;

/// Reads the body of a request, at most `limit` bytes. The error is the response that refuses a longer or incomplete
/// body.
pub(crate) async fn read_body(body: Body, limit: usize) -> Result<Vec<u8>, Box<Response>> {
    let mut body = std::pin::pin!(body);
    let mut bytes = Vec::new();
    let mut received = 0;
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            is_complete = false;
            break;
        };
        let Ok(data) = frame.into_data() else { continue };
        received += data.len();
        if received <= limit {
            bytes.extend_from_slice(&data);
        } else if received > limit + MAX_DISCARDED_BYTES {
            break;
        }
    }
    if is_complete && received <= limit {
        return Ok(bytes);
    }
    let remedy = format!("send at most {limit} bytes, whole");
    Err(Box::new(refusal_response(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", remedy)))
}

/// Reads a JSON body of at most `limit` bytes. The error is the response that refuses the body.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Body, limit: usize) -> Result<T, Box<Response>> {
    let bytes = read_body(body, limit).await?;
    serde_json::from_slice(&bytes).map_err(|error| {
        Box::new(refusal_response(StatusCode::BAD_REQUEST, "bad_json", format!("correct the body: {error}")))
    })
}

/// The value of a header; empty if it is absent or not text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
