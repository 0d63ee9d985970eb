//! Handlers of the pages for operators: status, programs, metrics and health.

use super::{json_response, refusal_response, ApiState};
use volo_http::body::Body;
use volo_http::http::{HeaderValue, StatusCode};
use volo_http::response::Response;
use volo_http::utils::Extension;

/// The response to a request that arrives after the driver has ended. The driver ends when the node stops.
fn driver_ended_response() -> Response {
    refusal_response(StatusCode::SERVICE_UNAVAILABLE, "leaving", "ask another node")
}

/// Serves `GET /v1/status`: state and counters of the node.
pub(super) async fn status(Extension(state): Extension<ApiState>) -> Response {
    match state.node.snapshot().await {
        Some(snapshot) => json_response(StatusCode::OK, &snapshot.status),
        None => driver_ended_response(),
    }
}

/// Serves `GET /v1/programs`: the programs that the node owns.
pub(super) async fn programs(Extension(state): Extension<ApiState>) -> Response {
    match state.node.snapshot().await {
        Some(snapshot) => json_response(StatusCode::OK, &snapshot.programs),
        None => driver_ended_response(),
    }
}

/// Serves `GET /metrics` in the OpenMetrics text format.
pub(super) async fn metrics(Extension(state): Extension<ApiState>) -> Response {
    let Some(snapshot) = state.node.snapshot().await else { return driver_ended_response() };
    let text = state.metrics.encode(&snapshot, state.in_flight.count());
    let mut response = Response::new(Body::from(text));
    let content_type = HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");
    response.headers_mut().insert("content-type", content_type);
    response
}

/// Serves `GET /healthz`. It always succeeds, which shows that the process runs.
pub(super) async fn health() -> &'static str {
    "ok\n"
}

/// Serves `GET /readyz`. It succeeds if the node accepts requests.
pub(super) async fn ready(Extension(state): Extension<ApiState>) -> Response {
    let is_ready = state.node.snapshot().await.is_some_and(|snapshot| snapshot.ready);
    if is_ready {
        Response::new(Body::from("ready\n"))
    } else {
        refusal_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_ready",
            "wait for configuration and refill, or see the log",
        )
    }
}
