//! The format of a replica's segment files: a sequence of frames, each with a length, a checksum and a record.
//!
//! After a power loss, writes that were not synced to disk may be present, missing or torn. Reading stops at the first
//! frame whose checksum does not match: that frame was not synced. No later frame was synced either, since a sync also
//! covers all frames before it.

use deku::prelude::*;
use foxnotch_wire::version_7::TurnEntry7;
use foxnotch_wire::{DiskIdentity, ReplicaSet, TurnEntry};
use std::num::NonZeroU32;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes before the record: 4 for its length, 8 for its checksum (XXH3), both little-endian.
const FRAME_HEADER_BYTES: usize = 12;
/// Maximum size of a record, in bytes.
const MAX_RECORD_BYTES: usize = 32 * 1024 * 1024;

/// The error when a record cannot be written or read.
#[derive(Debug, thiserror::Error)]
pub enum SegmentError {
    /// The record cannot be encoded. Holds the encoder's error.
    #[error("a record cannot be encoded for the disk ({0}); report this bug with the log to the developers")]
    EncodingFailed(String),
    /// The record exceeds `MAX_RECORD_BYTES`. Holds its size in bytes.
    #[error("a record of {0} bytes exceeds the limit of {MAX_RECORD_BYTES} bytes; lower the limit of request bodies")]
    TooLong(usize),
    /// A record that was synced does not match its checksum any more.
    #[error("a stored record is damaged; check the disk, and replace it if this happens again")]
    Damaged,
    /// A record with a valid checksum has a format that this version does not know.
    #[error(
        "a record with a valid checksum has a format that this version does not support; start the version that \
         wrote it, or retire this replica and start it with an empty folder"
    )]
    UnknownFormat,
}

/// The persistent state of a replica: its disk identity, whether it is complete, and the newest set that it knows.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct ReplicaState {
    /// The identity of the disk: a random number, new for each empty disk.
    pub disk: u64,
    /// 1 if the replica holds everything that it ever acknowledged; 0 while it is being refilled.
    pub complete: u8,
    /// The version of the set that the replica is synced to. The replica holds everything acknowledged under earlier
    /// versions.
    pub synced: u64,
    /// The newest set that the replica knows.
    pub set: ReplicaSet,
    #[deku(temp, temp_value = "peers.len() as u16")]
    length: u16,
    /// The disk identities of other replicas that this replica knows.
    #[deku(count = "length")]
    pub peers: Vec<DiskIdentity>,
}

/// The cap of one tenant on this replica: the maximum number of requests of the tenant that the replica may grant in
/// one window of the tenant's rate limit.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct QuotaCap {
    /// The tenant, as a hash of its name.
    pub tenant: u64,
    /// Maximum number of requests that the replica may grant per window.
    pub requests: u32,
}

/// The caps of several tenants.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct QuotaCaps {
    #[deku(temp, temp_value = "caps.len() as u32")]
    length: u32,
    /// The caps, at most one for each tenant.
    #[deku(count = "length")]
    pub caps: Vec<QuotaCap>,
}

/// A record of a segment file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A turn's entry; merged with earlier entries of the same turn.
    Entry(TurnEntry),
    /// The replica's state; replaces earlier states.
    State(ReplicaState),
    /// Caps of tenants; each cap replaces an earlier cap of the same tenant.
    QuotaCaps(QuotaCaps),
}

/// A record as encoded in a file. When the format of a record changes, the new format gets a new `id`. The old `id`
/// stays readable and is never reused: an upgraded replica starts with the files of the previous version.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "little", id_type = "u8")]
enum EncodedRecord {
    /// An entry of protocol version 7, which cannot be restricted to regions.
    #[deku(id = "0")]
    Entry7(TurnEntry7),
    #[deku(id = "1")]
    State(ReplicaState),
    #[deku(id = "2")]
    QuotaCaps(QuotaCaps),
    #[deku(id = "3")]
    Entry(TurnEntry),
}

impl From<Record> for EncodedRecord {
    /// Encodes an entry in the oldest format that can represent it. After a rollback, the previous build would treat an
    /// `id` that it does not know as a torn frame and drop acknowledged turns.
    fn from(record: Record) -> Self {
        match record {
            Record::Entry(entry) => TurnEntry7::from_unrestricted(entry).map_or_else(Self::Entry, Self::Entry7),
            Record::State(state) => Self::State(state),
            Record::QuotaCaps(caps) => Self::QuotaCaps(caps),
        }
    }
}

impl From<EncodedRecord> for Record {
    fn from(record: EncodedRecord) -> Self {
        match record {
            EncodedRecord::Entry7(entry) => Self::Entry(entry.into()),
            EncodedRecord::Entry(entry) => Self::Entry(entry),
            EncodedRecord::State(state) => Self::State(state),
            EncodedRecord::QuotaCaps(caps) => Self::QuotaCaps(caps),
        }
    }
}

/// Appends a record to `buffer` as a frame.
///
/// # Errors
/// [`SegmentError::EncodingFailed`] and [`SegmentError::TooLong`]; `buffer` is then unchanged.
pub fn append_frame(buffer: &mut Vec<u8>, record: &Record) -> Result<(), SegmentError> {
    let encoded = EncodedRecord::from(record.clone());
    let bytes = encoded.to_bytes().map_err(|error| SegmentError::EncodingFailed(error.to_string()))?;
    if bytes.len() > MAX_RECORD_BYTES {
        return Err(SegmentError::TooLong(bytes.len()));
    }
    buffer.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&xxh3_64(&bytes).to_le_bytes());
    buffer.extend_from_slice(&bytes);
    Ok(())
}

/// The place of a frame in a segment file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameRange {
    /// Number of bytes in the file before the frame.
    pub offset: u32,
    /// Size of the frame, in bytes.
    pub length: NonZeroU32,
}

impl FrameRange {
    /// The place of the bytes from `start` to `end`; `None` if there are none, or the file is too long.
    pub fn between(start: usize, end: usize) -> Option<Self> {
        let length = u32::try_from(end.checked_sub(start)?).ok().and_then(NonZeroU32::new)?;
        Some(Self { offset: u32::try_from(start).ok()?, length })
    }
}

/// The content of a segment file.
#[derive(Debug, Default)]
pub struct SegmentContent {
    /// The records before the first torn frame.
    pub records: Vec<Record>,
    /// The place of each of these records in the file.
    pub ranges: Vec<FrameRange>,
    /// Number of bytes after these records, from the first torn frame to the end of the file.
    pub torn_bytes: usize,
}

/// Reads a segment file up to the first frame that is cut off or whose checksum does not match. A frame with a valid
/// checksum may have been synced, so it is never skipped.
///
/// # Errors
/// [`SegmentError::UnknownFormat`] if a record with a valid checksum cannot be decoded in full.
pub fn read_segment(bytes: &[u8]) -> Result<SegmentContent, SegmentError> {
    let mut content = SegmentContent::default();
    let mut rest = bytes;
    while let Some(payload) = read_frame(rest) {
        let start = bytes.len() - rest.len();
        rest = &rest[FRAME_HEADER_BYTES + payload.len()..];
        let range = FrameRange::between(start, bytes.len() - rest.len()).ok_or(SegmentError::TooLong(bytes.len()))?;
        content.records.push(read_record(payload)?);
        content.ranges.push(range);
    }
    content.torn_bytes = rest.len();
    Ok(content)
}

/// Reads the record of one frame.
///
/// # Errors
/// [`SegmentError::Damaged`] if the bytes are no whole frame or its checksum does not match, and
/// [`SegmentError::UnknownFormat`].
pub fn read_single_frame(bytes: &[u8]) -> Result<Record, SegmentError> {
    let payload = read_frame(bytes).filter(|payload| FRAME_HEADER_BYTES + payload.len() == bytes.len());
    read_record(payload.ok_or(SegmentError::Damaged)?)
}

/// The encoded record of the frame at the start of `bytes`, or `None` if the frame is torn or `bytes` is empty.
fn read_frame(bytes: &[u8]) -> Option<&[u8]> {
    let header = bytes.get(..FRAME_HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let checksum = u64::from_le_bytes(header[4..].try_into().ok()?);
    if length == 0 || length > MAX_RECORD_BYTES {
        return None;
    }
    let payload = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length)?;
    (xxh3_64(payload) == checksum).then_some(payload)
}

fn read_record(payload: &[u8]) -> Result<Record, SegmentError> {
    match EncodedRecord::from_bytes((payload, 0)) {
        Ok((([], _), record)) => Ok(record.into()),
        _ => Err(SegmentError::UnknownFormat),
    }
}
