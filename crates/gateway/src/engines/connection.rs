//! A connection to an engine. It carries one request at a time, and is closed instead of reused after an error or an
//! unexpected answer.

use crate::engines::answer_limit::{AnswerProgress, LimitedReader, MAX_BYTES_WITHOUT_PROGRESS};
use crate::network::{self, YieldingReader};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The gateway stops using an idle connection this long before the end of the idle timeout that the engine announces.
/// Without this margin, the engine could close the connection while a request is being sent.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// The idle timeout of a connection whose engine announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

static CONNECTIONS_OPENED: AtomicU64 = AtomicU64::new(0);

/// Number of connections to engines that were opened since the process started.
pub fn opened_connection_count() -> u64 {
    CONNECTIONS_OPENED.load(Ordering::Relaxed)
}

/// The error of a request that got no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent. Contains the request, so that it can be sent over another connection.
    NotSent(Box<http::Request<Full<Bytes>>>),
    /// The connection failed after some of the request may have been sent, so the engine may have run the request.
    /// Contains the error's text.
    MayHaveRun(String),
}

/// Identifies a connection among all that this process has opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(u64);

/// An open connection to an engine. Dropping it closes the socket at once.
#[derive(Debug)]
pub struct EngineConnection {
    id: ConnectionId,
    sender: SendRequest<Full<Bytes>>,
    driver_task: AbortHandle,
    progress: Arc<AnswerProgress>,
    idle_since: Instant,
    idle_timeout: Duration,
    /// The time that opening the connection took; `None` once [`Self::take_connect_time`] has returned it.
    connect_time: Option<Duration>,
}

impl Drop for EngineConnection {
    fn drop(&mut self) {
        self.driver_task.abort();
    }
}

impl EngineConnection {
    /// Opens a connection within [`CONNECT_TIMEOUT`].
    ///
    /// # Errors
    /// The I/O error of the attempt to connect; no request was sent.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let started_at = Instant::now();
        let stream = network::connect(address, CONNECT_TIMEOUT).await?;
        let connect_time = Some(started_at.elapsed());
        let progress = Arc::<AnswerProgress>::default();
        let (read, write) = stream.into_split();
        let read = LimitedReader::new(YieldingReader::new(read), progress.clone());
        let stream = TokioIo::new(tokio::io::join(read, write));
        let handshake = Builder::new().max_buf_size(MAX_BYTES_WITHOUT_PROGRESS).handshake(stream);
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let id = ConnectionId(CONNECTIONS_OPENED.fetch_add(1, Ordering::Relaxed));
        // The error of this task needs no handling, since the code that waits for an answer gets an error too.
        let driver_task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        let idle_since = Instant::now();
        Ok(Self { id, sender, driver_task, progress, idle_since, idle_timeout: DEFAULT_IDLE_TIMEOUT, connect_time })
    }

    /// The connection's identifier.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Whether a request can be sent over the connection: it is open, carries no request, and its idle timeout has not
    /// passed.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready() && self.idle_since.elapsed() < self.idle_timeout
    }

    /// Sets the idle timeout to the `seconds` that the engine announced, minus [`IDLE_TIMEOUT_MARGIN`], or to
    /// [`DEFAULT_IDLE_TIMEOUT`] if the engine announced none.
    pub fn set_idle_timeout(&mut self, seconds: Option<u64>) {
        self.idle_timeout = seconds
            .map_or(DEFAULT_IDLE_TIMEOUT, |seconds| Duration::from_secs(seconds).saturating_sub(IDLE_TIMEOUT_MARGIN));
    }

    /// Returns the time that opening the connection took, which is one round trip. Only the first call returns it, so
    /// that each connection gives one sample; later calls return `None`.
    pub fn take_connect_time(&mut self) -> Option<Duration> {
        self.connect_time.take()
    }

    /// Records that the connection is idle from now on.
    pub fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Records that a piece of the answer's body has arrived. Without it, the engine is cut off after a while.
    pub fn note_body_progress(&self) {
        self.progress.note_progress();
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// [`SendError`].
    pub async fn send(&mut self, request: http::Request<Full<Bytes>>) -> Result<http::Response<Incoming>, SendError> {
        self.progress.expect_head();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.progress.note_progress();
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotSent(Box::new(request))),
                None => Err(SendError::MayHaveRun(error.into_error().to_string())),
            },
        }
    }
}
