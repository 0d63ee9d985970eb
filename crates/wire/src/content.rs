//! A byte string of bounded length within a message.

use crate::length::{write_bytes_at_once, Length};
use deku::prelude::*;

/// The maximum length of a [`Content`], for example of a record's input or output, in bytes.
const MAX_CONTENT_BYTES: u32 = 8 * 1024 * 1024;

/// A byte string of at most eight megabytes. The length is checked before the bytes are read.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, PartialEq, Eq, Default)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Content {
    #[deku(temp, temp_value = "Length::of(&bytes)")]
    length: Length<MAX_CONTENT_BYTES>,
    /// The content, of at most eight megabytes.
    #[deku(count = "length.get()", writer = "write_bytes_at_once(deku::writer, bytes)")]
    pub bytes: Vec<u8>,
}

impl std::fmt::Debug for Content {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "<{} bytes>", self.bytes.len())
    }
}

impl From<Vec<u8>> for Content {
    fn from(bytes: Vec<u8>) -> Self {
        Self { bytes }
    }
}
