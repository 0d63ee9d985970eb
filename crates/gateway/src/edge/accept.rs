//! Accepts callers' connections and serves the requests on them.

use crate::edge::gateway::Gateway;
use crate::logging::part;
use crate::network;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};

/// The smallest size in bytes that hyper allows for the buffer of a request's head.
const MIN_HEAD_BYTES: usize = 8192;

/// Accepts connections until the process ends. Each connection takes one of the `connection_slots`. While none is free,
/// further connections wait in the operating system's queue.
///
/// When `closing` changes, idle connections are closed at once, and busy ones after their current response.
pub async fn serve(
    listener: TcpListener,
    gateway: Arc<Gateway>,
    connection_slots: Arc<Semaphore>,
    closing: watch::Receiver<bool>,
) {
    let serve = |stream, from| serve_connection(stream, from, gateway.clone(), closing.clone());
    network::accept_connections(listener, connection_slots, part::CALL, serve).await;
}

async fn serve_connection(
    stream: TcpStream,
    from: SocketAddr,
    gateway: Arc<Gateway>,
    mut closing: watch::Receiver<bool>,
) {
    let limits = gateway.view.get().configuration.value.limits.clone();
    let service = service_fn(move |request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(gateway.serve(request).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms.max(1)))
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BYTES));
    let connection = builder.serve_connection(TokioIo::new(network::yielding(stream)), service);
    tokio::pin!(connection);
    let mut is_closing = false;
    loop {
        tokio::select! {
            outcome = connection.as_mut() => {
                if let Err(error) = outcome {
                    log::debug!(target: part::CALL, "The connection from {from} ended with an error: {error}.");
                }
                return;
            }
            changed = closing.changed(), if !is_closing => {
                is_closing = true;
                if changed.is_ok() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
