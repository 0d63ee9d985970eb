//! The stand-in for a plain service: it answers each look-up after a few milliseconds.

use super::{json, serve};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use volo_http::http::StatusCode;
use volo_http::response::Response;
use volo_http::server::route::{post, Router};
use volo_http::utils::Extension;

/// Duration of a look-up.
const LOOKUP_TIME: Duration = Duration::from_millis(3);

/// Number of look-ups answered so far.
type Served = Arc<AtomicU64>;

/// Serves look-ups until the process ends.
///
/// # Errors
/// When the address cannot be bound.
pub async fn run(address: SocketAddr) -> anyhow::Result<()> {
    let router = Router::new().route("/v1/plain", post(answer)).layer(Extension(Served::default()));
    serve(router, address).await
}

async fn answer(Extension(served): Extension<Served>) -> Response {
    tokio::time::sleep(LOOKUP_TIME).await;
    let served = served.fetch_add(1, Ordering::Relaxed);
    json(StatusCode::OK, &served)
}
