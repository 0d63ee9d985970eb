//! Serves the metrics as text over HTTP, for scrapers and for operators with a browser.

use crate::edge::body::AnswerBody;
use crate::logging::part;
use crate::metrics::Metrics;
use crate::network;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Maximum number of connections at the same time. A scraper needs one, and more than a few would take file descriptors
/// that callers' connections need.
const MAX_CONNECTIONS: usize = 16;

/// Serves the metrics at every path until the process ends. If the address cannot be bound, logs a warning and returns;
/// the process then serves no metrics.
pub async fn serve(address: SocketAddr, metrics: Arc<Metrics>) {
    let listener = match network::listen(address) {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(
                target: part::PROCESS,
                "No metrics are served: {address} cannot be bound ({error}); check metrics_port."
            );
            return;
        }
    };
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let serve = |stream, _| serve_connection(stream, metrics.clone());
    network::accept_connections(listener, permits, part::PROCESS, serve).await;
}

async fn serve_connection(stream: TcpStream, metrics: Arc<Metrics>) {
    let service = service_fn(move |_: Request<Incoming>| {
        let response = Response::new(AnswerBody::whole(metrics.to_text()));
        async move { Ok::<_, Infallible>(response) }
    });
    // An error means that the client closed the connection or sent something other than HTTP, and needs no handling.
    drop(
        hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(network::yielding(stream)), service)
            .await,
    );
}
