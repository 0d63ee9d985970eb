//! Turn entries in version 7: records without regions, and no [`RecordElsewhere`](crate::RecordElsewhere).

use crate::content::Content;
use crate::length::Length;
use crate::turn_entry::{ProgramKey, RunLocation, TurnEntry, TurnId, TurnRecord};
use deku::prelude::*;

/// [`TurnRecord`] in version 7.
#[derive(DekuRead, DekuWrite, Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub(super) struct TurnRecord7 {
    previous: TurnId,
    engine: u32,
    input: Content,
    output: Content,
}

/// [`TurnEntry`] in version 7.
#[deku_derive(DekuRead, DekuWrite)]
#[derive(Clone, Debug, PartialEq, Eq)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct TurnEntry7 {
    turn: TurnId,
    program: ProgramKey,
    retention_ms: u32,
    reserved: u32,
    used: u32,
    #[deku(temp, temp_value = "u8::from(run_location.is_some())")]
    has_run_location: u8,
    #[deku(cond = "*has_run_location == 1")]
    run_location: Option<RunLocation>,
    #[deku(temp, temp_value = "Length::of(&record)")]
    records: Length<1>,
    #[deku(count = "records.get()")]
    record: Vec<TurnRecord7>,
}

impl From<TurnRecord7> for TurnRecord {
    fn from(record: TurnRecord7) -> Self {
        let TurnRecord7 { previous, engine, input, output } = record;
        Self { previous, engine, regions: Vec::new(), input, output }
    }
}

impl TurnRecord7 {
    /// Converts a record that is not restricted to regions. Returns `None` for a restricted one.
    pub(super) fn from_unrestricted(record: TurnRecord) -> Option<Self> {
        let TurnRecord { previous, engine, regions, input, output } = record;
        regions.is_empty().then_some(Self { previous, engine, input, output })
    }
}

impl From<TurnEntry7> for TurnEntry {
    fn from(entry: TurnEntry7) -> Self {
        let TurnEntry7 { turn, program, retention_ms, reserved, used, run_location, record } = entry;
        let record = record.into_iter().map(TurnRecord::from).collect();
        Self { turn, program, retention_ms, reserved, used, run_location, elsewhere: None, record }
    }
}

impl TurnEntry7 {
    /// Converts an entry whose record, if there is one, is in the entry itself and not restricted to regions.
    ///
    /// # Errors
    /// Any other entry is returned unchanged.
    #[allow(clippy::result_large_err, reason = "the caller needs an entry that cannot be converted")]
    pub fn from_unrestricted(entry: TurnEntry) -> Result<Self, TurnEntry> {
        if entry.elsewhere.is_some() || !entry.regions().is_empty() {
            return Err(entry);
        }
        Ok(Self::without_restricted_text(entry))
    }

    /// Converts an entry for a replica of version 7 that requested it. A record that is restricted to regions is
    /// omitted, since that replica does not enforce regions. [`RecordElsewhere`](crate::RecordElsewhere) is omitted
    /// too. To the replica, such a turn then looks like a turn that has not completed.
    pub(super) fn without_restricted_text(entry: TurnEntry) -> Self {
        let TurnEntry { turn, program, retention_ms, reserved, used, run_location, record, .. } = entry;
        let record = record.into_iter().filter_map(TurnRecord7::from_unrestricted).collect();
        Self { turn, program, retention_ms, reserved, used, run_location, record }
    }
}
