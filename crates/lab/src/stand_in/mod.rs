//! Stand-ins for the platform's services, each run as a process of its own. They use the messages of
//! `foxnotch::protocol`; the object API can simulate faults.

pub mod engine;
pub mod machine_list;
pub mod object_api;
pub mod plain;

use anyhow::Context;
use http_body_util::{BodyExt, Limited};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::SocketAddr;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::Body;
use volo_http::http::{HeaderValue, StatusCode};
use volo_http::response::Response;
use volo_http::server::route::Router;
use volo_http::server::Server;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Listens at an address and serves requests until the process ends.
///
/// # Errors
/// When the address cannot be bound or the server fails.
pub async fn serve(router: Router, address: SocketAddr) -> anyhow::Result<()> {
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .with_context(|| format!("{address} cannot be bound; free the port or choose another"))?;
    let served = Server::new(router).run(DefaultIncoming::from(listener)).await;
    served.map_err(|error| anyhow::anyhow!("the server on {address} failed: {error}"))
}

/// Builds a JSON response.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let mut response = Response::new(Body::from(serde_json::to_vec(body).unwrap_or_default()));
    *response.status_mut() = status;
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    response
}

/// Builds a response without a body.
pub fn status(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Reads and parses a JSON body.
///
/// # Errors
/// The 400 response with the reason, when the body cannot be read or parsed.
pub async fn read_json<T: DeserializeOwned>(body: Body) -> Result<T, Box<Response>> {
    let refused = |text: String| Box::new(json(StatusCode::BAD_REQUEST, &text));
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let bytes = collected.map_err(|error| refused(error.to_string()))?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|error| refused(error.to_string()))
}

/// Returns the value of a URI's query parameter; 0 when the parameter is missing or not a number.
pub fn query_number(uri: &volo_http::http::Uri, name: &str) -> u64 {
    let pairs = uri.query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(key, _)| *key == name);
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}
