//! Limits what an engine may send without getting on with its answer.
//!
//! The limits of an answer's body count its data. This one counts all bytes, so that an engine which sends informational
//! heads, lines of a head, sizes of chunks or trailers without an end is cut off.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};

/// The most bytes until an answer's head is complete, with all informational heads before it, and between two pieces of
/// its body. More than one read delivers.
pub const MAX_BYTES_WITHOUT_PROGRESS: usize = 32 * 1024;
/// The most reads until an answer's head is complete. Engines send a head in one piece; one that sends it a few bytes at
/// a time is faulty, and another engine can still serve the request.
const MAX_HEAD_READS: usize = 64;

/// How far the answer on a connection has come.
#[derive(Debug, Default)]
pub struct AnswerProgress {
    has_head: AtomicBool,
    /// Number of bytes received since the last progress.
    bytes: AtomicUsize,
    /// Number of reads since the last progress.
    reads: AtomicUsize,
}

impl AnswerProgress {
    /// Records that a request is sent now, so that the head of an answer is expected.
    pub fn expect_head(&self) {
        self.has_head.store(false, Ordering::Relaxed);
        self.reset_counts();
    }

    /// Records that the head of the answer or a piece of its body has arrived.
    pub fn note_progress(&self) {
        self.has_head.store(true, Ordering::Relaxed);
        self.reset_counts();
    }

    fn reset_counts(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.reads.store(0, Ordering::Relaxed);
    }

    /// Counts a read.
    ///
    /// # Errors
    /// `InvalidData` if the limit until the next progress was reached before.
    fn count_read(&self, bytes: usize) -> io::Result<()> {
        let bytes_before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let reads_before = self.reads.fetch_add(1, Ordering::Relaxed);
        let is_slow_head = !self.has_head.load(Ordering::Relaxed) && reads_before >= MAX_HEAD_READS;
        if bytes_before < MAX_BYTES_WITHOUT_PROGRESS && !is_slow_head {
            return Ok(());
        }
        let problem = format!("{bytes_before} bytes in {reads_before} reads brought its answer no further");
        Err(io::Error::new(io::ErrorKind::InvalidData, problem))
    }
}

/// Wraps the reading half of a connection to an engine, and fails reads that exceed the limits.
#[derive(Debug)]
pub struct LimitedReader<R> {
    reader: R,
    progress: Arc<AnswerProgress>,
}

impl<R> LimitedReader<R> {
    /// Wraps a reader of answers whose progress is recorded in `progress`.
    pub fn new(reader: R, progress: Arc<AnswerProgress>) -> Self {
        Self { reader, progress }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for LimitedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let bytes_before = buffer.filled().len();
        ready!(Pin::new(&mut self.reader).poll_read(context, buffer))?;
        Poll::Ready(self.progress.count_read(buffer.filled().len() - bytes_before))
    }
}
