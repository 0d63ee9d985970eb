//! The stand-in for the machine list: it serves the list with which it was started.

use super::{json, serve};
use foxnotch::protocol::engines::MachineList;
use std::net::SocketAddr;
use std::sync::Arc;
use volo_http::http::StatusCode;
use volo_http::response::Response;
use volo_http::server::route::{get, Router};
use volo_http::utils::Extension;

/// Serves the machine list until the process ends.
///
/// # Errors
/// When the address cannot be bound.
pub async fn run(address: SocketAddr, list: MachineList) -> anyhow::Result<()> {
    serve(Router::new().route("/v1/machines", get(show)).layer(Extension(Arc::new(list))), address).await
}

async fn show(Extension(list): Extension<Arc<MachineList>>) -> Response {
    json(StatusCode::OK, list.as_ref())
}
