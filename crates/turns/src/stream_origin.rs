//! Where a stream began: the service and the software version of the engine that sent its first event.
//!
//! Streams of two software versions do not fit together, so a caller that resumes a stream has to get an engine of the
//! version that began it, at whichever gateway the caller returns. The gateway that begins a stream therefore stores
//! its origin on the replicas, as the settled entry of a turn in a program of its own. Replicas of all builds store
//! such entries and return them with the program's run locations.

use crate::identity::{program_key, turn_id};
use foxnotch_wire::{ProgramKey, RunLocation, TurnEntry};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Separates an attempt's identifier from the rest of the name under which its stream's origin is stored. Headers hold
/// no such bytes, so callers cannot use that name for a program or a turn.
const ORIGIN_SUFFIX: &str = "\0\0stream origin";

/// A service and one software version of its engines, as a hash of both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamOrigin(u64);

impl StreamOrigin {
    /// The origin of streams that engines of a service with this software version begin.
    pub fn new(service: &str, software_version: &str) -> Self {
        Self(xxh3_64(format!("{service}\0{software_version}").as_bytes()))
    }
}

fn entry_name(attempt: &str) -> String {
    format!("{attempt}{ORIGIN_SUFFIX}")
}

/// The key of the program that has the origin of the stream which the attempt of a caller of `tenant` began. `tenant`
/// is empty for a caller without a tenant.
pub fn origin_program(tenant: &str, attempt: &str) -> ProgramKey {
    program_key(tenant, &entry_name(attempt))
}

/// The entry that stores the origin of the stream which an attempt began at the engine with the number `engine`.
pub fn origin_entry(tenant: &str, attempt: &str, engine: u32, origin: StreamOrigin, retention: Duration) -> TurnEntry {
    TurnEntry {
        turn: turn_id(tenant, &entry_name(attempt)),
        program: origin_program(tenant, attempt),
        retention_ms: u32::try_from(retention.as_millis()).unwrap_or(u32::MAX),
        reserved: 0,
        used: 0,
        run_location: Some(RunLocation { engine, part: origin.0, prompt_tokens: 0 }),
        elsewhere: None,
        record: Vec::new(),
    }
}

/// The origin in the run locations that replicas return for [`origin_program`]; `None` if they store none.
pub fn origin_in(run_locations: &[RunLocation]) -> Option<StreamOrigin> {
    run_locations.first().map(|location| StreamOrigin(location.part))
}
