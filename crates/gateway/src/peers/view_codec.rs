//! Encoding of the view's parts for other nodes and for replicas' disks: compressed JSON.
//!
//! The routes of a configuration differ from each other in a few bytes, so compression reduces a large configuration to
//! a sixteenth of its size. A node sends each change to some 26 others, so the size matters on narrow links.

use crate::logging::part;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use foxnotch_wire::{Content, MAX_MESSAGE_BYTES};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{self, Read, Write};

/// Encodes a part of the view. If the encoding fails, logs the error and returns empty content. No node adopts empty
/// content or writes it to disk.
pub fn encode_view_part<T: Serialize>(value: &T) -> Content {
    match to_compressed_json(value) {
        Ok(bytes) => Content::from(bytes),
        Err(error) => {
            log::error!(
             target: part::VIEW,
             "Cannot encode a part of the view, such as the configuration or the list of engines; the part is neither \
              sent to other nodes nor stored: {error}.",
            );
            Content::default()
        }
    }
}

fn to_compressed_json<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let text = serde_json::to_vec(value)?;
    // The fastest level: the next levels take four times as long and save only a tenth of the bytes.
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&text)?;
    encoder.finish()
}

/// Decodes a part of the view. Returns none if the part is empty, or if it cannot be decoded. Logs a decoding error.
pub fn decode_view_part<T: DeserializeOwned>(content: &Content) -> Option<T> {
    if content.bytes.is_empty() {
        return None;
    }
    match from_compressed_json(&content.bytes) {
        Ok(value) => Some(value),
        Err(error) => {
            log::warn!(
                target: part::VIEW,
                "Cannot decode a part of the view, such as the configuration or the list of engines, that a node sent \
                 or stored; the part is ignored: {error}. Check that all nodes run the same version.",
            );
            None
        }
    }
}

fn from_compressed_json<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    let mut text = Vec::new();
    // A few compressed bytes can expand to very many, so the limit for messages also applies to the expanded bytes.
    let limit = MAX_MESSAGE_BYTES as u64;
    DeflateDecoder::new(bytes).take(limit).read_to_end(&mut text)?;
    Ok(serde_json::from_slice(&text)?)
}
