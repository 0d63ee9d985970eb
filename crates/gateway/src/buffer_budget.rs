//! Bounds the memory of all bodies and messages that a process holds at the same time.
//!
//! Each read has a limit of its own, but a burst of reads that all reach their limits would need more memory than the
//! machine has. This budget counts what they hold together, with a dynamic threshold as in the shared buffers of network
//! switches: a reader may hold a multiple of what is still free. Large readers are refused first, and small ones go on.

use crate::metrics::Metrics;
use bytes::{Bytes, BytesMut};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// The share of the budget that callers and engines may fill. The rest is kept for other nodes and the platform's store,
/// without which a process serves nobody.
const PAYLOAD_PERCENT: usize = 75;
/// How many times the free bytes a reader may hold. Alone, it gets two thirds of the payload's share.
const FREE_BYTES_FACTOR: usize = 2;
/// The fewest bytes that are counted for one piece of a stream. Of smaller ones, a stream queues few.
const MIN_COUNTED_PIECE_BYTES: usize = 4096;
/// The most bytes of a small reader, which may use the whole budget.
const SMALL_READ_BYTES: usize = 64 * 1024;
const BYTES_PER_MEGABYTE: u64 = 1024 * 1024;

/// The process holds as much as it may; the read has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for reads is full ({held} of {limit} bytes); if this lasts, look for faulty engines or add memory")]
pub struct BuffersFull {
    /// Number of bytes held by all reads.
    pub held: usize,
    /// Number of bytes that all reads may hold.
    pub limit: usize,
}

/// Whose bytes a read holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Callers and engines.
    Payload,
    /// Other nodes and the platform's store.
    Control,
}

/// The memory that reads hold and may hold.
#[derive(Debug)]
pub struct BufferBudget {
    limit: usize,
    held: AtomicUsize,
    peak: AtomicUsize,
    refused_reads: AtomicU64,
}

impl BufferBudget {
    /// Creates a budget of this number of bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, held: AtomicUsize::new(0), peak: AtomicUsize::new(0), refused_reads: AtomicU64::new(0) })
    }

    /// Creates the budget of a process whose reads may hold `percent` of the machine's memory of `memory_mb` megabytes.
    pub fn of_machine(memory_mb: u64, percent: u64) -> Arc<Self> {
        Self::new((memory_mb * BYTES_PER_MEGABYTE * percent / 100) as usize)
    }

    /// Creates a budget without a limit.
    pub fn unlimited() -> Arc<Self> {
        Self::new(usize::MAX)
    }

    /// Adds the metrics of the budget.
    pub fn add_metrics(self: &Arc<Self>, metrics: &mut Metrics) {
        let budget = self.clone();
        metrics.add_gauge("buffered_bytes", "Bytes of bodies and messages that this process holds", move || {
            budget.held_bytes() as i64
        });
        let budget = self.clone();
        metrics.add_gauge("buffered_bytes_peak", "The most such bytes since the process started", move || {
            budget.peak_bytes() as i64
        });
        let budget = self.clone();
        metrics.add_gauge("buffer_refusals", "Reads that ended because the process held too many bytes", move || {
            budget.refused_reads() as i64
        });
    }

    /// Number of bytes that are held now.
    pub fn held_bytes(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// The most bytes that were held at the same time.
    pub fn peak_bytes(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }

    /// Number of reads that were refused since the process started.
    pub fn refused_reads(&self) -> u64 {
        self.refused_reads.load(Ordering::Relaxed)
    }

    /// Begins a read that holds nothing yet.
    pub fn begin_read(self: &Arc<Self>, source: Source) -> BufferReservation {
        BufferReservation { budget: self.clone(), source, bytes: 0 }
    }

    /// Counts bytes that are held already, until the returned bytes are dropped. Few bytes are not counted.
    ///
    /// # Errors
    /// [`BuffersFull`]; `bytes` are dropped then.
    pub fn hold(self: &Arc<Self>, source: Source, bytes: Bytes) -> Result<Bytes, BuffersFull> {
        if bytes.len() < MIN_COUNTED_PIECE_BYTES {
            return Ok(bytes);
        }
        let mut reservation = self.begin_read(source);
        reservation.resize(bytes.len())?;
        Ok(Bytes::from_owner(HeldBytes { bytes, _reservation: reservation }))
    }

    /// Counts `added` bytes for a reader that holds `held_by_reader` already.
    fn add(&self, source: Source, held_by_reader: usize, added: usize) -> Result<(), BuffersFull> {
        let reader_bytes = held_by_reader + added;
        let admitted = self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            self.admits(source, held, reader_bytes, added).then_some(held + added)
        });
        match admitted {
            Ok(held) => {
                self.peak.fetch_max(held + added, Ordering::Relaxed);
                Ok(())
            }
            Err(held) => {
                self.refused_reads.fetch_add(1, Ordering::Relaxed);
                Err(BuffersFull { held, limit: self.limit })
            }
        }
    }

    /// Whether a reader may hold `reader_bytes`, of which `added` are not among the `held` ones of all readers.
    fn admits(&self, source: Source, held: usize, reader_bytes: usize, added: usize) -> bool {
        if source == Source::Control || reader_bytes <= SMALL_READ_BYTES {
            return held + added <= self.limit;
        }
        let free = (self.limit / 100 * PAYLOAD_PERCENT).saturating_sub(held);
        added <= free && reader_bytes <= free.saturating_mul(FREE_BYTES_FACTOR)
    }
}

/// The bytes that one read holds. Dropping it releases them.
#[derive(Debug)]
pub struct BufferReservation {
    budget: Arc<BufferBudget>,
    source: Source,
    bytes: usize,
}

impl BufferReservation {
    /// Changes the number of bytes that the read holds.
    ///
    /// # Errors
    /// [`BuffersFull`] if the read may not hold as many; it still holds those from before.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BuffersFull> {
        match bytes.checked_sub(self.bytes) {
            Some(added) => self.budget.add(self.source, self.bytes, added)?,
            None => drop(self.budget.held.fetch_sub(self.bytes - bytes, Ordering::Relaxed)),
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Releases all bytes that the read holds.
    pub fn release(&mut self) {
        self.budget.held.fetch_sub(std::mem::take(&mut self.bytes), Ordering::Relaxed);
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.release();
    }
}

/// Bytes that are counted until all copies of them are dropped.
struct HeldBytes {
    bytes: Bytes,
    _reservation: BufferReservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct BodyBuffer {
    reservation: BufferReservation,
    bytes: BytesMut,
}

impl BodyBuffer {
    /// Creates an empty buffer.
    pub fn new(budget: &Arc<BufferBudget>, source: Source) -> Self {
        Self { reservation: budget.begin_read(source), bytes: BytesMut::new() }
    }

    /// Number of bytes read so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing was read so far.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends a piece of the body.
    ///
    /// # Errors
    /// [`BuffersFull`]; the piece is not appended then.
    pub fn append(&mut self, piece: &[u8]) -> Result<(), BuffersFull> {
        self.reservation.resize(self.bytes.len() + piece.len())?;
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// The body, and the reservation that counts it.
    pub fn into_parts(self) -> (BytesMut, BufferReservation) {
        (self.bytes, self.reservation)
    }

    /// The body, which stays counted until all copies of it are dropped.
    pub fn freeze(self) -> Bytes {
        let Self { reservation, bytes } = self;
        Bytes::from_owner(HeldBytes { bytes: bytes.freeze(), _reservation: reservation })
    }
}
