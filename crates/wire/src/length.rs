//! Length prefixes that are checked while they are decoded.

use deku::no_std_io;
use deku::prelude::*;

/// The number of items in a list, at most `MAXIMUM`. It is decoded and checked before the items.
#[derive(DekuRead, DekuWrite, Clone, Copy, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Length<const MAXIMUM: u32> {
    #[deku(assert = "*value <= MAXIMUM")]
    value: u32,
}

impl<const MAXIMUM: u32> Length<MAXIMUM> {
    /// The number of `items`.
    pub fn of<T>(items: &[T]) -> Self {
        Self { value: u32::try_from(items.len()).unwrap_or(u32::MAX) }
    }

    /// The number of items, as a `usize`.
    pub fn get(self) -> usize {
        self.value as usize
    }
}

/// Writes all bytes in one call. `deku` writes them one by one, which took 3 ms of processor time for a megabyte.
pub(crate) fn write_bytes_at_once<W>(writer: &mut Writer<W>, bytes: &[u8]) -> Result<(), DekuError>
where
    W: no_std_io::Write + no_std_io::Seek,
{
    writer.write_bytes(bytes)
}
