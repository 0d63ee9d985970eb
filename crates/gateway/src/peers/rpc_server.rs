//! Answers other nodes.

use crate::logging::part;
use crate::network;
use crate::peers::frame::{code_frame, FrameReader};
use foxnotch_wire::{NodeId, RpcBody};
use futures_util::future::BoxFuture;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};

/// Connections from other nodes at one time.
const MAXIMUM_CONNECTIONS: usize = 1024;
/// Pause after a failed accept.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(100);

/// Answers requests.
pub trait RpcHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, from: NodeId, body: RpcBody) -> BoxFuture<'static, RpcBody>;
}

/// Accepts connections for ever.
pub async fn serve(listener: TcpListener, own: NodeId, handler: Arc<dyn RpcHandler>) {
    let places = Arc::new(Semaphore::new(MAXIMUM_CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, from)) => {
                let handler = handler.clone();
                tokio::spawn(async move {
                    serve_connection(stream, from, own, handler).await;
                    drop(place);
                });
            }
            Err(error) => {
                log::warn!(target: part::PEER, "A connection could not be accepted: {error}.");
                tokio::time::sleep(PAUSE_AFTER_ERROR).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, from: SocketAddr, own: NodeId, handler: Arc<dyn RpcHandler>) {
    network::prepare_stream(&stream);
    let (read, mut write) = stream.into_split();
    let (answers, mut queue) = mpsc::unbounded_channel::<Vec<u8>>();
    let writer = tokio::spawn(async move {
        while let Some(mut bytes) = queue.recv().await {
            while let Ok(next) = queue.try_recv() {
                bytes.extend_from_slice(&next);
            }
            if write.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let mut reader = FrameReader::new(read);
    loop {
        match reader.next().await {
            Ok(Some(message)) => {
                let handling = handler.clone().handle(message.from, message.body);
                let answers = answers.clone();
                tokio::spawn(async move {
                    let body = handling.await;
                    match code_frame(own, message.exchange, body) {
                        // A connection that has ended takes no answer.
                        Ok(frame) => drop(answers.send(frame)),
                        Err(error) => log::error!(target: part::PEER, "An answer was dropped: {error}."),
                    }
                });
            }
            Ok(None) => break,
            Err(error) => {
                log::debug!(target: part::PEER, "The connection from {from} ended: {error}.");
                break;
            }
        }
    }
    drop(answers);
    // What was asked is still answered, unless the connection is gone.
    let _ = writer.await;
}
