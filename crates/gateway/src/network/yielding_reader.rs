//! A reader that lets other tasks run while its peer sends without a pause.
//!
//! A protocol parser asks for more bytes as long as it has found no end, and the runtime hands out bytes as long as some
//! have arrived. With one thread, a peer that sends faster than the parser reads would stop all other tasks of the
//! process, and with them all timeouts.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf, Take};

/// The most bytes that are read before other tasks run. Parsing them takes less than 1 ms, even as the smallest messages
/// and without compiler optimizations.
pub const READ_TURN_BYTES: usize = 4 * 1024;

/// Wraps a reader, and returns `Pending` once after each [`READ_TURN_BYTES`].
#[derive(Debug)]
pub struct YieldingReader<R> {
    /// The reader, with a limit that is set before each read.
    reader: Take<R>,
    /// Number of bytes that may still be read before other tasks run.
    turn_bytes_left: usize,
}

impl<R: AsyncRead + Unpin> YieldingReader<R> {
    /// Wraps a reader.
    pub fn new(reader: R) -> Self {
        Self { reader: reader.take(0), turn_bytes_left: READ_TURN_BYTES }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for YieldingReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes_left == 0 {
            self.turn_bytes_left = READ_TURN_BYTES;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let limit = self.turn_bytes_left;
        self.reader.set_limit(limit as u64);
        let outcome = Pin::new(&mut self.reader).poll_read(context, buffer);
        self.turn_bytes_left = if outcome.is_pending() { READ_TURN_BYTES } else { self.reader.limit() as usize };
        outcome
    }
}
