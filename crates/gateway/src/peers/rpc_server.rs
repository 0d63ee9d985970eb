//! Accepts connections from other nodes and answers their requests.

use crate::buffer_budget::BufferBudget;
use crate::logging::part;
use crate::network::{self, YieldingReader};
use crate::peers::frame::{encode_frame_in_version, FrameReader};
use crate::peers::unreadable::record_unreadable_message;
use foxnotch_wire::{exchange_has_version_offer, NodeId, ProtocolVersion, RpcBody, RpcMessage};
use futures_util::future::BoxFuture;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};

/// Maximum number of concurrent connections from other nodes.
const MAX_CONNECTIONS: usize = 1024;

/// Handles the requests of other nodes.
pub trait RpcHandler: Send + Sync + 'static {
    /// Returns the answer to one request of the node `from`.
    fn handle(self: Arc<Self>, from: NodeId, body: RpcBody) -> BoxFuture<'static, RpcBody>;
}

/// Accepts and serves connections; never returns. `buffers` bounds the messages that are read.
pub async fn serve(listener: TcpListener, own: NodeId, handler: Arc<dyn RpcHandler>, buffers: Arc<BufferBudget>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let serve = |stream, from| serve_connection(stream, from, own, handler.clone(), buffers.clone());
    network::accept_connections(listener, permits, part::PEER, serve).await;
}

async fn serve_connection(
    stream: TcpStream,
    from: SocketAddr,
    own: NodeId,
    handler: Arc<dyn RpcHandler>,
    buffers: Arc<BufferBudget>,
) {
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
    let mut reader = FrameReader::new(YieldingReader::new(read)).with_buffers(&buffers);
    loop {
        match reader.read_message().await {
            Ok(Some(message)) => {
                let version = version_read_by_caller(&message);
                let handling = handler.clone().handle(message.from, message.body);
                let answers = answers.clone();
                tokio::spawn(async move {
                    let body = handling.await;
                    match encode_frame_in_version(version, own, message.exchange, body) {
                        // The send fails only if the connection has ended; the answer is dropped then.
                        Ok(frame) => drop(answers.send(frame)),
                        Err(error) => {
                            log::error!(
                                target: part::PEER,
                                "Cannot encode the answer to another node's request, which will therefore time out: \
                                 {error}."
                            )
                        }
                    }
                });
            }
            Ok(None) => break,
            Err(error) => {
                if error.kind() == io::ErrorKind::InvalidData {
                    record_unreadable_message(from, &error);
                }
                log::debug!(target: part::PEER, "The connection from {from} broke: {error}.");
                break;
            }
        }
    }
    drop(answers);
    // Requests in progress are still answered; the writer has ended already if the connection is broken.
    let _ = writer.await;
}

/// The newest version that the caller reads: the newest of all versions if the high bits of the request's exchange
/// number say so, otherwise the version of the request.
fn version_read_by_caller(message: &RpcMessage) -> ProtocolVersion {
    if exchange_has_version_offer(message.exchange) {
        return ProtocolVersion::NEWEST;
    }
    ProtocolVersion::from_number(message.version).unwrap_or(ProtocolVersion::OLDEST)
}
