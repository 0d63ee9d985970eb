//! Answers the platform's readiness probes.

use crate::edge::body::AnswerBody;
use crate::edge::gateway::Gateway;
use crate::logging::part;
use crate::network;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// The most open probe connections: more than the platform's probes ever open.
const MAX_PROBE_CONNECTIONS: usize = 512;

/// Accepts probe connections and answers them until the process ends.
pub(super) async fn serve_readiness(listener: TcpListener, gateway: Arc<Gateway>) {
    let probe_slots = Arc::new(Semaphore::new(MAX_PROBE_CONNECTIONS));
    let serve = |stream, _| answer_probe(stream, gateway.clone());
    network::accept_connections(listener, probe_slots, part::PROCESS, serve).await;
}

async fn answer_probe(stream: TcpStream, gateway: Arc<Gateway>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let status = match (request.uri().path() == gateway.dialect.readiness_path(), gateway.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let text = if status == StatusCode::OK { "ready\n" } else { "not ready\n" };
        let mut response = Response::new(AnswerBody::whole(text));
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    // An error means that the probe closed its connection early, and needs no handling.
    drop(
        hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(network::yielding(stream)), service)
            .await,
    );
}
