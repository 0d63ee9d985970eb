//! Load reports of an engine. They lag behind its present load and list the changes of its cache.

use super::EngineModel;
use crate::model::cache::CacheEvent;
use foxnotch::protocol::engines::EngineState;

/// The engine's load at the time of the report.
#[derive(Clone, Debug, Default)]
pub(super) struct Report {
    pub(super) at_us: u64,
    pub(super) queued_prefill_tokens: u64,
    pub(super) queued_calls: u32,
    pub(super) running_calls: u32,
    pub(super) last_event_number: u64,
}

impl EngineModel {
    /// Records the present load, unless the last report is newer than a third of the lag. Drops the reports before the
    /// newest one that is at least as old as the lag.
    pub(super) fn record_report(&mut self, now_us: u64) {
        let lag = self.parameters.report_lag_us;
        let period = (lag / 3).max(1);
        if self.reports.last().is_some_and(|report| now_us < report.at_us + period) {
            return;
        }
        let queued = self.waiting.values().chain(&self.running).map(|job| job.prefill_left).sum();
        self.reports.push(Report {
            at_us: now_us,
            queued_prefill_tokens: queued,
            queued_calls: self.waiting.len() as u32,
            running_calls: self.running.len() as u32,
            last_event_number: self.cache.last_event_number(),
        });
        let old = self.reports.iter().rposition(|report| report.at_us + lag <= now_us).unwrap_or(0);
        self.reports.drain(..old);
    }

    /// The state that a poller receives: the load of [`EngineParameters::report_lag_us`] ago, and the cache events up
    /// to that time with numbers above `after`. When some of these events are no longer stored, the poller receives a
    /// snapshot of the present cache instead.
    ///
    /// [`EngineParameters::report_lag_us`]: super::EngineParameters::report_lag_us
    pub fn state(&mut self, after: u64, now_us: u64) -> EngineState {
        self.record_report(now_us);
        let report = self.reports.first().cloned().unwrap_or_default();
        let (mut stored, mut removed) = (Vec::new(), Vec::new());
        let events = self.cache.events_after(after);
        let last = if events.is_some() { report.last_event_number.max(after) } else { self.cache.last_event_number() };
        let event_count = last.saturating_sub(after) as usize;
        for event in events.iter().flatten().take(event_count) {
            match event {
                CacheEvent::Stored(hash) => stored.push(hash.0),
                CacheEvent::Removed(hash) => removed.push(hash.0),
            }
        }
        let snapshot = events.is_none().then(|| self.cache.snapshot().iter().map(|hash| hash.0).collect());
        EngineState {
            age_ms: now_us.saturating_sub(report.at_us) / 1000,
            queued_prefill_tokens: report.queued_prefill_tokens,
            queued_calls: report.queued_calls,
            running_calls: report.running_calls,
            batch_limit: self.parameters.batch_limit,
            prefill_rate: self.parameters.prefill_rate,
            step_base_us: self.parameters.step_base_us,
            step_call_us: self.parameters.step_call_us,
            capacity_blocks: self.cache.capacity() as u64,
            leaving: self.leaving,
            events_after: after,
            events_last: last,
            stored,
            removed,
            snapshot,
        }
    }
}
