//! Finds programs, the newest replica state and the newest quota caps in records.

use foxnotch_turns::segment::{Record, ReplicaState};
use foxnotch_wire::ProgramKey;
use std::collections::BTreeMap;

/// The program of a record that is a turn's entry; none for other records.
pub(super) fn program_of(record: &Record) -> Option<ProgramKey> {
    match record {
        Record::Entry(entry) => Some(entry.program),
        Record::State(_) | Record::QuotaCaps(_) => None,
    }
}

/// The newest replica state and quota caps of a disk. Each segment begins with them.
#[derive(Clone, Debug, Default)]
pub struct NewestRecords {
    /// The newest state; `None` if the disk has none.
    pub state: Option<ReplicaState>,
    /// The newest cap of each tenant, in requests per window.
    pub caps: BTreeMap<u64, u32>,
}

impl NewestRecords {
    /// Updates the state and the caps with records that were written after all earlier ones.
    pub(super) fn update(&mut self, records: &[Record]) {
        if let Some(state) = newest_state(records) {
            self.state = Some(state.clone());
        }
        self.caps.extend(newest_caps(records));
    }
}

/// The newest replica state among records that are in the order in which they were written.
fn newest_state(records: &[Record]) -> Option<&ReplicaState> {
    records.iter().rev().find_map(|record| match record {
        Record::State(state) => Some(state),
        Record::Entry(_) | Record::QuotaCaps(_) => None,
    })
}

/// The newest quota cap of each tenant (requests per window), from records that are in the order in which they were
/// written.
pub fn newest_caps(records: &[Record]) -> BTreeMap<u64, u32> {
    let caps = records.iter().filter_map(|record| match record {
        Record::QuotaCaps(caps) => Some(&caps.caps),
        Record::Entry(_) | Record::State(_) => None,
    });
    caps.flatten().map(|cap| (cap.tenant, cap.requests)).collect()
}
