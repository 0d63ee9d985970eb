//! Sends requests to other nodes: one TCP connection per node, with many concurrent exchanges.
//!
//! Each connection begins with a request in the oldest version of the protocol, whose exchange number offers the newest
//! version. The version of the answer is used for the whole connection. If a node restarts with another build, its
//! next connection negotiates the version again.

use crate::buffer_budget::BufferBudget;
use crate::locks::lock;
use crate::logging::part;
use crate::network::{self, YieldingReader};
use crate::peers::frame::{encode_frame_in_version, FrameReader};
use crate::peers::unreadable::record_unreadable_message;
use foxnotch_wire::{exchange_with_version_offer, NodeId, ProtocolVersion, RpcBody, WireError};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest time for receiving one answer. The longest content, 8 MB, takes about this long at 6 Mbit/s.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(10);
/// Time without traffic after which a connection is closed; also the timeout of the version negotiation.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The time limits within which the answer to one request has to arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTimeout {
    /// The longest time without any received byte on the connection.
    max_silence: Duration,
    /// The longest time from the request to the end of the answer.
    total: Duration,
}

impl AnswerTimeout {
    /// Timeouts of a short answer, which has to arrive within `time` in total.
    pub fn with_total(time: Duration) -> Self {
        Self { max_silence: time, total: time }
    }

    /// Timeouts of an answer that may be large. The caller waits as long as bytes keep arriving, up to
    /// [`MAX_ANSWER_TIME`]. A timeout and a repeated request would only add to the load of a slow path.
    pub fn with_max_silence(max_silence: Duration) -> Self {
        Self { max_silence, total: MAX_ANSWER_TIME }
    }
}

/// Why an exchange failed. After `Unreachable` and `TimedOut` the node may have received the request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RpcError {
    /// The connection could not be established, or broke.
    #[error("node at {0} cannot be reached; check whether it runs")]
    Unreachable(SocketAddr),
    /// The node did not answer in time.
    #[error("node at {0} did not answer in time; check its load and the network")]
    TimedOut(SocketAddr),
    /// The request cannot be encoded, and was not sent.
    #[error(
        "a request to another node cannot be encoded ({0}) and was not sent; report this bug with the log to the \
         developers"
    )]
    EncodingFailed(String),
    /// The node runs an older build that does not know the request. The request was not sent.
    #[error("node at {0} runs an older build that cannot read the request; upgrade it")]
    UnsupportedByNode(SocketAddr),
}

/// The outcome of one exchange (a request and its answer).
type Answer = Result<RpcBody, RpcError>;
type PendingExchanges = Arc<Mutex<HashMap<u64, oneshot::Sender<Answer>>>>;

/// A request in the queue of a connection.
struct Outgoing {
    exchange: u64,
    body: RpcBody,
}

/// Handle of a connection for the callers that use it.
#[derive(Clone)]
struct Connection {
    outgoing: mpsc::UnboundedSender<Outgoing>,
    state: ConnectionState,
}

/// State of a connection that its callers share with the task that runs it.
#[derive(Clone, Default)]
struct ConnectionState {
    pending: PendingExchanges,
    /// Number of bytes received so far on the connection.
    received: Arc<AtomicU64>,
    /// The protocol version of the connection; unset until the other node has answered the first request.
    version: Arc<OnceLock<ProtocolVersion>>,
}

/// Sends requests to other nodes and waits for their answers.
pub struct RpcClient {
    own: NodeId,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
    next_exchange: AtomicU64,
    buffers: Arc<BufferBudget>,
}

/// Guard of an exchange for whose answer a caller waits. Dropping it removes the exchange from the pending ones.
struct PendingExchange {
    pending: PendingExchanges,
    number: u64,
}

impl Drop for PendingExchange {
    fn drop(&mut self) {
        lock(&self.pending).remove(&self.number);
    }
}

impl RpcClient {
    /// Creates a client without connections. It connects to a node when a request to that node is made.
    pub fn new(own: NodeId) -> Self {
        let buffers = BufferBudget::unlimited();
        Self { own, connections: Mutex::default(), next_exchange: AtomicU64::new(1), buffers }
    }

    /// Bounds the answers that are read.
    pub fn with_buffers(self, buffers: Arc<BufferBudget>) -> Self {
        Self { buffers, ..self }
    }

    /// The identifier of this node, which sends the requests.
    pub fn own_node(&self) -> NodeId {
        self.own
    }

    /// Sends a request and waits for its answer, at most for `within`.
    ///
    /// # Errors
    /// Any [`RpcError`].
    pub async fn call(&self, address: SocketAddr, body: RpcBody, within: Duration) -> Result<RpcBody, RpcError> {
        self.call_with_timeout(address, body, AnswerTimeout::with_total(within)).await
    }

    /// Sends a request and waits for its answer, as long as `timeout` allows.
    ///
    /// # Errors
    /// Any [`RpcError`].
    pub async fn call_with_timeout(
        &self,
        address: SocketAddr,
        body: RpcBody,
        timeout: AnswerTimeout,
    ) -> Result<RpcBody, RpcError> {
        let number = self.next_exchange.fetch_add(1, Ordering::Relaxed);
        let connection = self.reuse_or_open_connection(address);
        let (answer_sender, answer_receiver) = oneshot::channel();
        lock(&connection.state.pending).insert(number, answer_sender);
        let _exchange = PendingExchange { pending: connection.state.pending.clone(), number };
        if connection.outgoing.send(Outgoing { exchange: number, body }).is_err() {
            return Err(RpcError::Unreachable(address));
        }
        let received = connection.state.received.clone();
        drop(connection);
        match wait_for_answer(answer_receiver, &received, timeout).await {
            Some(Ok(answer)) => answer,
            Some(Err(_)) => Err(RpcError::Unreachable(address)),
            None => Err(RpcError::TimedOut(address)),
        }
    }

    /// Whether the current connection to an address has negotiated an older version of the protocol.
    pub fn runs_older_build(&self, address: SocketAddr) -> bool {
        let connections = lock(&self.connections);
        let version = connections.get(&address).and_then(|connection| connection.state.version.get());
        version.is_some_and(|version| *version < ProtocolVersion::NEWEST)
    }

    /// Waits until no bytes have arrived from an address for the time `silence`.
    pub async fn wait_until_silent(&self, address: SocketAddr, silence: Duration) {
        let mut received_before = self.bytes_received_from(address);
        loop {
            tokio::time::sleep(silence).await;
            let received = self.bytes_received_from(address);
            if received == received_before {
                return;
            }
            received_before = received;
        }
    }

    /// The number of bytes received on the current connection to an address.
    fn bytes_received_from(&self, address: SocketAddr) -> u64 {
        lock(&self.connections).get(&address).map_or(0, |connection| connection.state.received.load(Ordering::Relaxed))
    }

    fn reuse_or_open_connection(&self, address: SocketAddr) -> Connection {
        let mut connections = lock(&self.connections);
        if let Some(existing) = connections.get(&address).filter(|existing| !existing.outgoing.is_closed()) {
            return existing.clone();
        }
        connections.retain(|_, existing| !existing.outgoing.is_closed());
        let (outgoing, queue) = mpsc::unbounded_channel();
        let connection = Connection { outgoing, state: ConnectionState::default() };
        connections.insert(address, connection.clone());
        let (state, buffers) = (connection.state.clone(), self.buffers.clone());
        let running = RunningConnection { own: self.own, address, state, buffers };
        tokio::spawn(running.run(queue));
        connection
    }
}

/// Waits for an answer as long as `timeout` allows; `received` counts the bytes that arrive on the connection. Returns
/// none on a timeout.
async fn wait_for_answer(
    mut answer: oneshot::Receiver<Answer>,
    received: &AtomicU64,
    timeout: AnswerTimeout,
) -> Option<Result<Answer, oneshot::error::RecvError>> {
    let deadline = Instant::now() + timeout.total;
    let mut received_before = received.load(Ordering::Relaxed);
    loop {
        let next_check_at = (Instant::now() + timeout.max_silence).min(deadline);
        if let Ok(outcome) = tokio::time::timeout_at(next_check_at, &mut answer).await {
            return Some(outcome);
        }
        let received_now = received.load(Ordering::Relaxed);
        if received_now == received_before || Instant::now() >= deadline {
            return None;
        }
        received_before = received_now;
    }
}

/// The task of one connection. It ends when the connection breaks or is idle; all pending calls then fail.
struct RunningConnection {
    own: NodeId,
    address: SocketAddr,
    state: ConnectionState,
    buffers: Arc<BufferBudget>,
}

impl RunningConnection {
    async fn run(self, mut queue: mpsc::UnboundedReceiver<Outgoing>) {
        match network::connect(self.address, CONNECT_TIMEOUT).await {
            Ok(stream) => self.exchange_messages(stream, &mut queue).await,
            Err(error) => {
                log::debug!(
                    target: part::PEER,
                    "The node at {} cannot be reached, so requests to it fail: {error}.",
                    self.address,
                );
            }
        }
        queue.close();
        lock(&self.state.pending).clear();
    }

    async fn exchange_messages(&self, stream: TcpStream, queue: &mut mpsc::UnboundedReceiver<Outgoing>) {
        let (read, mut write) = stream.into_split();
        let reader = FrameReader::new(YieldingReader::new(read)).with_buffers(&self.buffers);
        let mut reader = reader.with_byte_counter(self.state.received.clone());
        let Some(version) = self.negotiate_version(&mut reader, &mut write).await else { return };
        loop {
            tokio::select! {
                request = queue.recv() => {
                    let Some(request) = request else { return };
                    let mut bytes = Vec::new();
                    self.append_request(version, request, &mut bytes);
                    while let Ok(next) = queue.try_recv() {
                        self.append_request(version, next, &mut bytes);
                    }
                    if write.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                message = reader.read_message() => {
                    let message = message.inspect_err(|error| self.record_if_message_unreadable(error));
                    let Ok(Some(message)) = message else { return };
                    self.complete_exchange(message.exchange, Ok(message.body));
                }
                () = tokio::time::sleep(IDLE_TIMEOUT) => return,
            }
        }
    }

    /// Sends a request that every node answers, in the oldest version, and offers the newest one. Returns the version
    /// of the answer; none if the connection breaks or no answer comes.
    async fn negotiate_version(
        &self,
        reader: &mut FrameReader<YieldingReader<OwnedReadHalf>>,
        write: &mut OwnedWriteHalf,
    ) -> Option<ProtocolVersion> {
        let frame = encode_frame_in_version(
            ProtocolVersion::OLDEST,
            self.own,
            exchange_with_version_offer(0),
            RpcBody::ShowSet,
        )
        .ok()?;
        write.write_all(&frame).await.ok()?;
        let answer = tokio::time::timeout(IDLE_TIMEOUT, reader.read_message()).await.ok()?;
        let answer = answer.inspect_err(|error| self.record_if_message_unreadable(error)).ok()??;
        let version = ProtocolVersion::from_number(answer.version)?;
        Some(*self.state.version.get_or_init(|| version))
    }

    fn record_if_message_unreadable(&self, error: &io::Error) {
        if error.kind() == io::ErrorKind::InvalidData {
            record_unreadable_message(self.address, error);
        }
    }

    /// Appends an encoded request to `bytes`. A request that cannot be encoded fails at once.
    fn append_request(&self, version: ProtocolVersion, request: Outgoing, bytes: &mut Vec<u8>) {
        match encode_frame_in_version(version, self.own, request.exchange, request.body) {
            Ok(frame) => bytes.extend_from_slice(&frame),
            Err(WireError::NotInVersion(problem)) => {
                log::debug!(
                    target: part::PEER,
                    "A request to {} was not sent, since the node runs an older build: {problem}.",
                    self.address
                );
                self.complete_exchange(request.exchange, Err(RpcError::UnsupportedByNode(self.address)));
            }
            Err(error) => self.complete_exchange(request.exchange, Err(RpcError::EncodingFailed(error.to_string()))),
        }
    }

    fn complete_exchange(&self, exchange: u64, answer: Answer) {
        if let Some(waiting) = lock(&self.state.pending).remove(&exchange) {
            // The send fails if the caller has stopped waiting, as it does once enough other nodes have answered.
            let _ = waiting.send(answer);
        }
    }
}
