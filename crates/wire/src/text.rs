//! UTF-8 text of bounded length within a message.

use crate::length::{write_bytes_at_once, Length};
use deku::prelude::*;

/// The maximum length of a text in a message, in bytes: 300,000 tokens of four bytes, with a reserve.
pub const MAX_TEXT_BYTES: u32 = 2 * 1024 * 1024;

/// UTF-8 text of at most two megabytes. The length is checked before the bytes are read.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, PartialEq, Eq, Default, PartialOrd, Ord, Hash)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Text {
    #[deku(temp, temp_value = "Length::of(&bytes)")]
    length: Length<MAX_TEXT_BYTES>,
    /// The text, encoded in UTF-8.
    #[deku(count = "length.get()", writer = "write_bytes_at_once(deku::writer, bytes)")]
    pub bytes: Vec<u8>,
}

impl Text {
    /// The text as a string; invalid UTF-8 is replaced by U+FFFD.
    pub fn to_string_lossy(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }

    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the text has zero bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl From<&str> for Text {
    fn from(value: &str) -> Self {
        Self { bytes: value.as_bytes().to_vec() }
    }
}

impl From<String> for Text {
    fn from(value: String) -> Self {
        Self { bytes: value.into_bytes() }
    }
}

impl std::fmt::Debug for Text {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.bytes.len() {
            0..=48 => write!(formatter, "{:?}", self.to_string_lossy()),
            length => write!(formatter, "<{length} bytes>"),
        }
    }
}
