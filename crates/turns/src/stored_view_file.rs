//! The format of a stored view file: one part of the view (configuration, engines or drained zones) with a checksum.

use deku::prelude::*;
use foxnotch_wire::{NodeId, StoredPart};
use xxhash_rust::xxh3::xxh3_64;

/// The first bytes of each file: a name for the file type, and the version of this format.
const MAGIC: [u8; 8] = *b"fxkept\x00\x01";
/// Size of the checksum (XXH3) at the end of a file, in bytes.
const CHECKSUM_BYTES: usize = 8;

/// The part of the view that a file contains.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
#[deku(id_type = "u8")]
pub enum PartKind {
    /// The configuration.
    #[deku(id = "1")]
    Configuration,
    /// The list of engines.
    #[deku(id = "2")]
    Engines,
    /// The list of drained zones.
    #[deku(id = "3")]
    ZoneDrains,
}

impl PartKind {
    /// The name of the part in file names and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Engines => "engines",
            Self::ZoneDrains => "zone-drains",
        }
    }
}

/// The error when a part of the view cannot be encoded, or the content of its file is rejected. Log lines name the part
/// or the file before this text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoredViewFileError {
    /// The file was cut short or altered.
    #[error("the file is incomplete or damaged; the next change of this part of the view rewrites it")]
    Torn,
    /// The file contains another part, or was written by another node, program or format version. Describes the writer.
    #[error("the file was written by {0}; give each node a data folder of its own")]
    Mismatched(String),
    /// The part of the view cannot be encoded. Holds the encoder's error.
    #[error("the part of the view cannot be encoded ({0}); report this bug with the log to the developers")]
    EncodingFailed(String),
}

/// The content of a file before its checksum.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "little")]
struct StoredViewFile {
    magic: [u8; 8],
    node: NodeId,
    kind: PartKind,
    part: StoredPart,
}

/// Encodes a part of the view as the content of a file that `node` writes.
///
/// # Errors
/// [`StoredViewFileError::EncodingFailed`].
pub fn encode_file(node: NodeId, kind: PartKind, part: &StoredPart) -> Result<Vec<u8>, StoredViewFileError> {
    let file = StoredViewFile { magic: MAGIC, node, kind, part: part.clone() };
    let mut bytes = file.to_bytes().map_err(|error| StoredViewFileError::EncodingFailed(error.to_string()))?;
    let checksum = xxh3_64(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    Ok(bytes)
}

/// Decodes the content of a file. The file is expected to contain the part `kind`, written by `node`.
///
/// # Errors
/// [`StoredViewFileError::Torn`] and [`StoredViewFileError::Mismatched`].
pub fn decode_file(node: NodeId, kind: PartKind, bytes: &[u8]) -> Result<StoredPart, StoredViewFileError> {
    let length = bytes.len().checked_sub(CHECKSUM_BYTES).ok_or(StoredViewFileError::Torn)?;
    let (payload, checksum) = bytes.split_at(length);
    if checksum != xxh3_64(payload).to_le_bytes() {
        return Err(StoredViewFileError::Torn);
    }
    if !payload.starts_with(&MAGIC) {
        return Err(StoredViewFileError::Mismatched("another program or version".to_owned()));
    }
    let (rest, file) = StoredViewFile::from_bytes((payload, 0)).map_err(|_| StoredViewFileError::Torn)?;
    if !rest.0.is_empty() {
        return Err(StoredViewFileError::Torn);
    }
    if file.node != node || file.kind != kind {
        return Err(StoredViewFileError::Mismatched(format!("node {} for its {}", file.node, file.kind.name())));
    }
    Ok(file.part)
}
