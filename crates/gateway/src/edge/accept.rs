//! Takes connections of callers and serves requests on them.

use crate::edge::handler::Gateway;
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

/// Pause after a failed accept: descriptors may have run out.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(50);
/// The least buffer for a request's head that the library takes.
const LEAST_HEAD_BYTES: usize = 8192;

/// Accepts connections until the process ends. At most `places` are open at a time; more wait.
///
/// A change of `closing` ends resting connections, and others after their present answer.
pub async fn serve(
    listener: TcpListener,
    gateway: Arc<Gateway>,
    places: Arc<Semaphore>,
    closing: watch::Receiver<bool>,
) {
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, from)) => {
                let gateway = gateway.clone();
                let closing = closing.clone();
                tokio::spawn(async move {
                    serve_connection(stream, from, gateway, closing).await;
                    drop(place);
                });
            }
            Err(error) => {
                log::warn!(target: part::CALL, "A connection could not be accepted: {error}.");
                tokio::time::sleep(PAUSE_AFTER_ERROR).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    from: SocketAddr,
    gateway: Arc<Gateway>,
    mut closing: watch::Receiver<bool>,
) {
    network::prepare_stream(&stream);
    let limits = gateway.view.get().configuration.value.limits.clone();
    let service = service_fn(move |request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(gateway.serve(request).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms.max(1)))
        .max_buf_size(limits.header_bytes.max(LEAST_HEAD_BYTES));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut told = false;
    loop {
        tokio::select! {
            outcome = connection.as_mut() => {
                if let Err(error) = outcome {
                    log::debug!(target: part::CALL, "The connection from {from} ended: {error}.");
                }
                return;
            }
            changed = closing.changed(), if !told => {
                told = true;
                if changed.is_ok() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
