//! JSON messages of engines, plain back ends and the machine list.

use foxnotch_core::prefix::{BlockHash, CacheEvents};
use foxnotch_core::router::{EngineReport, Machine};
use foxnotch_membership::Millis;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/calls`, which runs a call. The response is a stream of [`EngineEvent`]s.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineCall {
    /// Identifier of the call: `program-branch-sequence`.
    pub call: String,
    /// Number of this dispatch of the call, counted from 0.
    pub attempt: u32,
    /// Counter of the epoch in which the sender owns the program.
    pub epoch: u32,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; empty for none.
    #[serde(default)]
    pub adapter: String,
    /// The complete prompt: the branch's history, then the call's input.
    pub prompt: String,
    /// Maximum length of the answer, in tokens.
    pub maximum_output_tokens: u32,
    /// Priority in the engine's queue; lower values run first.
    pub priority: u32,
    /// Time for which the engine keeps the call's cache memory after the answer, in milliseconds.
    pub hold_ms: u64,
    /// Latest start of the call, in milliseconds since the Unix epoch. Afterwards the engine refuses the call, even
    /// if the call already waits in the engine's queue.
    pub start_by_ms: u64,
}

/// An event in the stream of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// A part of the answer.
    Tokens {
        /// Number of bytes of the answer before this part.
        offset: usize,
        /// Text of the part.
        text: String,
    },
    /// The answer is complete.
    Finished {
        /// Text of the whole answer.
        text: String,
    },
    /// The engine did not start the call. This event is also the body of an error response.
    Refused {
        /// Why the engine did not start the call.
        reason: String,
    },
}

/// Response of `GET /v1/state?after=N`: the engine's load, and its cache events after number N.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    /// Age of the values in this response, in milliseconds.
    pub age_ms: u64,
    /// Number of prompt tokens that are waiting or being computed.
    pub queued_prefill_tokens: u64,
    /// Number of calls waiting in the engine's queue.
    pub queued_calls: u32,
    /// Number of calls that are decoding.
    pub running_calls: u32,
    /// Maximum number of calls that decode in one batch.
    pub batch_limit: u32,
    /// Number of prompt tokens that the engine computes per second.
    pub prefill_rate: u64,
    /// Duration of a decoding step with one call, in microseconds.
    pub step_base_us: u64,
    /// Time that each further call adds to a decoding step, in microseconds.
    pub step_call_us: u64,
    /// Size of the cache memory, in blocks.
    pub capacity_blocks: u64,
    /// Whether the engine is shutting down and accepts no new calls.
    pub leaving: bool,
    /// Number of the last cache event before those reported here.
    pub events_after: u64,
    /// Number of the last cache event reported here.
    pub events_last: u64,
    /// Hashes of blocks added to the cache.
    pub stored: Vec<u64>,
    /// Hashes of blocks removed from the cache.
    pub removed: Vec<u64>,
    /// Hashes of all blocks in the cache, sent when the engine no longer has the events after number N.
    pub snapshot: Option<Vec<u64>>,
}

impl EngineState {
    /// Converts the state to the router's report type. `now` is the time at which this node received the state.
    pub fn to_report(&self, now: Millis) -> EngineReport {
        let blocks = |hashes: &[u64]| hashes.iter().map(|hash| BlockHash(*hash)).collect::<Vec<_>>();
        EngineReport {
            as_of: Millis(now.0.saturating_sub(self.age_ms)),
            queued_prefill_tokens: self.queued_prefill_tokens,
            queued_calls: self.queued_calls,
            running_calls: self.running_calls,
            batch_limit: self.batch_limit,
            prefill_rate: self.prefill_rate,
            step_base_us: self.step_base_us,
            step_call_us: self.step_call_us,
            capacity_blocks: self.capacity_blocks,
            leaving: self.leaving,
            events: CacheEvents {
                after: self.events_after,
                last: self.events_last,
                stored: blocks(&self.stored),
                removed: blocks(&self.removed),
                snapshot: self.snapshot.as_deref().map(blocks),
            },
        }
    }
}

/// Response of `GET /v1/machines`: the machine list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineList {
    /// Engines and plain back ends with their addresses.
    #[serde(default)]
    pub machines: Vec<Machine>,
}
