//! Holds this gateway's estimate of whether one engine is cold, and logs each change of the estimate.

use crate::locks::lock;
use crate::logging::part;
use foxnotch_scheduler::slow_start::warmth::{ColdCause, Warmth, WarmthChange};
use foxnotch_scheduler::slow_start::SlowStart;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The warmth of an engine, and the slow start of its service.
#[derive(Debug, Default)]
struct WarmthState {
    warmth: Warmth,
    /// The slow start of the engine's service. `None` if the service has none; the engine is then never considered
    /// cold.
    slow_start: Option<SlowStart>,
}

/// The warmth of one engine.
#[derive(Debug)]
pub struct EngineWarmth {
    /// When the engine was first listed. The times in `state` are relative to this moment.
    listed_at: Instant,
    state: Mutex<WarmthState>,
}

impl EngineWarmth {
    /// Creates the state of an engine that was just listed. The engine is considered warm until its entry in the list
    /// reports that it is cold.
    pub fn new() -> Self {
        Self { listed_at: Instant::now(), state: Mutex::default() }
    }

    /// The requests per second that the engine can serve while it is cold; `None` if the engine is considered warm.
    pub fn cold_requests_per_second(&self) -> Option<f64> {
        let state = lock(&self.state);
        let slow_start = state.slow_start?;
        state.warmth.is_cold(self.listed_at.elapsed()).then_some(slow_start.per_second)
    }

    /// Whether the engine may have restarted recently, that is, within the time for which engines of its service are
    /// cold after a start. It may then have lost its prompt cache.
    pub fn may_have_lost_cache(&self) -> bool {
        lock(&self.state).warmth.may_have_lost_cache(self.listed_at.elapsed())
    }

    /// Applies the remaining cold time in the engine's entry, in milliseconds, and the slow start of its service.
    pub fn apply_reported_cold_time(&self, id: &str, cold_left_ms: u64, slow_start: Option<SlowStart>) {
        let mut state = lock(&self.state);
        state.slow_start = slow_start;
        let change = state.warmth.note_entry(cold_left_ms, self.listed_at.elapsed());
        drop(state);
        if slow_start.is_some() {
            log_change(id, change);
        }
    }

    /// Considers the engine cold for the whole slow start of its service, although no entry says that it is cold.
    pub fn assume_cold(&self, id: &str, cause: ColdCause) {
        let mut state = lock(&self.state);
        let Some(slow_start) = state.slow_start else { return };
        let duration = Duration::from_millis(slow_start.duration_ms);
        let change = state.warmth.suspect_cold(cause, duration, self.listed_at.elapsed());
        drop(state);
        log_change(id, change);
    }
}

impl Default for EngineWarmth {
    fn default() -> Self {
        Self::new()
    }
}

fn log_change(id: &str, change: Option<WarmthChange>) {
    match change {
        Some(WarmthChange::Cold(cause, remaining)) => {
            log::info!(
                target: part::ENGINE,
                "Engine {id} is considered cold: cause={} for={remaining:?}. During this time, requests to it need \
                 permits from the replicas.",
                cause.name(),
            );
        }
        Some(WarmthChange::Warm(age)) => {
            log::info!(
                target: part::ENGINE,
                "Engine {id} is considered warm: cause=entry told_cold_before={age:?}. Its previous entry in \
                 the platform's list, received `told_cold_before` ago, reported it as cold; its present entry does \
                 not. Requests to it no longer need permits.",
            );
        }
        None => {}
    }
}
