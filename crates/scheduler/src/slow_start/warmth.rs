//! Estimates whether an engine is cold, and why.
//!
//! No message reports the moment at which an engine becomes cold, so in doubt a gateway assumes that an engine is cold.
//! The remaining cold time in an engine's entry in the list of engines counts from when the gateway received the entry.
//! An engine that may have restarted is considered cold for as long as engines of its service are cold after a start.

use std::time::Duration;

/// The longest time for which one entry may mark an engine as cold, so that an invalid entry does not mark
/// it permanently.
const MAX_ENTRY_COLD_TIME: Duration = Duration::from_secs(60);

/// Why an engine is considered cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// The engine's entry in the list of engines reports that the engine is cold.
    Entry,
    /// The engine's entry reports another start of the engine under the same identifier.
    Restart,
    /// Nothing listened at the engine's address, so the engine has probably restarted when it answers again.
    Unreachable,
    /// A connection to the engine took too long. The engine may have restarted, or its host or the network is slow.
    ConnectTimeout,
    /// An operator has ended the drain of the engine's zone.
    DrainEnded,
}

impl ColdCause {
    /// Whether the engine has probably restarted under the same identifier.
    fn suggests_restart(self) -> bool {
        matches!(self, Self::Restart | Self::Unreachable)
    }

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Restart => "restart",
            Self::Unreachable => "unreachable",
            Self::ConnectTimeout => "connect_timeout",
            Self::DrainEnded => "drain_ended",
        }
    }
}

/// A change from warm to cold or back in the estimate whether an engine is cold, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmthChange {
    /// The engine is considered cold for this long from now on.
    Cold(ColdCause, Duration),
    /// The engine's entry reports that the engine is warm. The previous entry, received this long ago, reported that
    /// the engine is cold.
    Warm(Duration),
}

/// One gateway's estimate whether one engine is cold. Times are on any monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Warmth {
    /// Remaining cold time in the engine's last entry, in milliseconds.
    entry_cold_left_ms: u64,
    /// When this gateway first received `entry_cold_left_ms`.
    entry_received_at: Duration,
    /// Time until which the engine is cold according to its last entry.
    entry_cold_until: Duration,
    /// Time until which the engine is considered cold for a reason other than its entry.
    suspected_until: Duration,
    /// Time until which the engine is assumed to have lost, in a restart, the prompts that it had cached.
    cache_lost_until: Duration,
}

impl Warmth {
    /// Whether the engine is considered cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.entry_cold_until.max(self.suspected_until)
    }

    /// Whether the engine may have restarted recently under the same identifier, and so lost its cached prompts.
    pub fn may_have_lost_cache(&self, now: Duration) -> bool {
        now < self.cache_lost_until
    }

    /// Records the remaining cold time in the engine's entry. An unchanged value means that the entry is the same as
    /// before, so its cold time still counts from when this gateway first received the entry.
    pub fn note_entry(&mut self, cold_left_ms: u64, now: Duration) -> Option<WarmthChange> {
        if cold_left_ms == self.entry_cold_left_ms {
            return None;
        }
        let age = now.saturating_sub(self.entry_received_at);
        self.entry_cold_left_ms = cold_left_ms;
        self.entry_received_at = now;
        let was_cold = self.is_cold(now);
        let cold_left = Duration::from_millis(cold_left_ms).min(MAX_ENTRY_COLD_TIME);
        self.entry_cold_until = now + cold_left;
        match (was_cold, self.is_cold(now)) {
            (false, true) => Some(WarmthChange::Cold(ColdCause::Entry, cold_left)),
            (true, false) => Some(WarmthChange::Warm(age)),
            _ => None,
        }
    }

    /// Considers the engine cold for `duration`, the time for which engines of its service are cold after a start.
    /// Returns `None` if the engine was considered cold before.
    pub fn suspect_cold(&mut self, cause: ColdCause, duration: Duration, now: Duration) -> Option<WarmthChange> {
        let was_cold = self.is_cold(now);
        self.suspected_until = self.suspected_until.max(now + duration);
        if cause.suggests_restart() {
            self.cache_lost_until = self.cache_lost_until.max(now + duration);
        }
        (!was_cold).then_some(WarmthChange::Cold(cause, duration))
    }
}
