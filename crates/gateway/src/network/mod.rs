//! TCP sockets: listening, accepting a bounded number of connections, connecting with a timeout, and the socket options
//! that detect a silent peer within seconds. A peer can become silent without resetting the connection, which only
//! these options detect.

mod yielding_reader;

pub use yielding_reader::{YieldingReader, READ_TURN_BYTES};

use socket2::{SockRef, TcpKeepalive};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::Join;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;

/// Time for which sent bytes may stay unacknowledged before the connection fails.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Idle time after which a connection is probed, and the time between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which an idle connection fails. With [`KEEPALIVE_PERIOD`], the failure is detected
/// after 3 s.
const KEEPALIVE_RETRIES: u32 = 2;
/// Pause after a connection could not be accepted. File descriptors may have run out, and become available when other
/// connections end.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of connections that the kernel queues until they are accepted, for example those of callers that
/// arrive while the process is paused.
const ACCEPT_BACKLOG: u32 = 1024;

/// Disables Nagle's algorithm on a connection, and sets the timeouts and probes that detect a broken one.
fn set_stream_options(stream: &TcpStream) {
    // Errors are ignored. If an option cannot be set, a failure of the connection is only detected later; if the
    // connection itself is broken, its next use returns an error.
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_PERIOD).with_interval(KEEPALIVE_PERIOD).with_retries(KEEPALIVE_RETRIES);
    let _ = socket.set_tcp_keepalive(&keepalive);
}

/// A connection whose reads let other tasks run.
pub type YieldingStream = Join<YieldingReader<OwnedReadHalf>, OwnedWriteHalf>;

/// Makes the reads of a connection let other tasks run, whatever the peer sends.
pub fn yielding(stream: TcpStream) -> YieldingStream {
    let (read, write) = stream.into_split();
    tokio::io::join(YieldingReader::new(read), write)
}

/// Connects to an address within `timeout`.
///
/// # Errors
/// The error of the attempt to connect; `TimedOut` after `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_stream_options(&stream);
    Ok(stream)
}

/// Accepts connections until the semaphore is closed, and serves each in its own task. Each connection holds one of the
/// `permits` until it ends. While no permit is free, further connections wait in the kernel's queue.
///
/// If a connection cannot be accepted, for example because file descriptors have run out, logs this under `part` and
/// tries again after a pause.
pub async fn accept_connections<F>(
    listener: TcpListener,
    permits: Arc<Semaphore>,
    part: &'static str,
    serve: impl Fn(TcpStream, SocketAddr) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, from)) => {
                set_stream_options(&stream);
                let serving = serve(stream, from);
                tokio::spawn(async move {
                    serving.await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!(
                    target: part,
                    "No connection could be accepted; the next attempt follows after a pause: {error}.",
                );
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Listens at an IPv4 address. A restarted process can bind it at once, even while connections of its predecessor are
/// still closing.
///
/// # Errors
/// If the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
