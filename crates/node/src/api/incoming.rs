//! Accepts callers' connections, and pauses while too many requests are in flight.

use crate::logging::part;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use volo::net::conn::{Conn, ConnInfo, ConnStream};
use volo::net::incoming::{Incoming, MakeIncoming};
use volo::net::Address;

/// Pause after a connection could not be accepted. Without it, a lasting error would be retried in a busy loop.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(100);
/// Interval at which the number of requests in flight is checked again while it is at or above the limit.
const PAUSE_WHEN_FULL: Duration = Duration::from_millis(20);

/// A listener for callers' connections. It accepts none while `limit` or more requests are in flight.
#[derive(Debug)]
pub struct LimitedIncoming {
    listener: TcpListener,
    limit: usize,
    in_flight: Arc<AtomicUsize>,
}

impl LimitedIncoming {
    /// Creates a limited listener from `listener`. `in_flight` counts the requests that `limit` applies to.
    pub fn new(listener: TcpListener, limit: usize, in_flight: &super::InFlight) -> Self {
        Self { listener, limit, in_flight: in_flight.0.clone() }
    }
}

impl Incoming for LimitedIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            if self.in_flight.load(Ordering::SeqCst) >= self.limit {
                tokio::time::sleep(PAUSE_WHEN_FULL).await;
                continue;
            }
            match self.listener.accept().await {
                Ok((stream, from)) => {
                    let info = ConnInfo { peer_addr: Some(Address::Ip(from)) };
                    return Ok(Some(Conn::new(ConnStream::from(stream), info)));
                }
                Err(error) => {
                    log::warn!(target: part::API, "A connection could not be accepted: {error}.");
                    tokio::time::sleep(PAUSE_AFTER_ERROR).await;
                }
            }
        }
    }
}

impl MakeIncoming for LimitedIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

/// A stream with a guard that is dropped when the stream is dropped, for example an
/// [`InFlightGuard`](super::InFlightGuard).
pub(super) struct GuardedStream<S, G> {
    pub(super) stream: S,
    pub(super) _guard: G,
}

impl<S: futures_util::Stream + Unpin, G: Unpin> futures_util::Stream for GuardedStream<S, G> {
    type Item = S::Item;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        Pin::new(&mut self.stream).poll_next(context)
    }
}
