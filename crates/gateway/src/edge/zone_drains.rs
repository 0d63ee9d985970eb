//! Decides which engines a call may still be sent to while zones are drained.
//!
//! The gateway decides again before each send, so a retry, a resumed stream and a call that waited for a free engine
//! use the drains that the gateway knows at that time. New programs avoid a drained zone at once. Programs whose prompt
//! is cached in a drained zone move to other zones one after the other.

use crate::engines::engine::Engine;
use crate::locks::lock;
use crate::logging::part;
use crate::peers::view::View;
use crate::peers::watcher_role::WatcherTimes;
use foxnotch_scheduler::zone_drain::{time_to_move_programs, CachedPrompt, DrainStarts, ZoneDrains};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The size that is assumed for a prompt when the engine's memory is not known, as a fraction (0 to 1) of the memory
/// for one request. Programs with larger prompts move later, so with this value a program moves neither first nor last.
const UNKNOWN_PROMPT_SIZE: f64 = 0.5;

/// The deployment's settings for drains of zones.
#[derive(Debug, Default)]
pub struct ZoneDrainRules {
    /// The time within which programs move out of a drained zone; `None` if the deployment does not support drains.
    window: Option<Duration>,
    /// Drained zones that have no engine and for which a warning was logged.
    logged_unknown: Mutex<BTreeSet<String>>,
}

impl ZoneDrainRules {
    /// Creates the rules for a deployment in which a drain has to take full effect within `bound`. `bound` is `None` if
    /// the deployment does not support drains.
    pub fn new(bound: Option<Duration>, times: WatcherTimes) -> Self {
        let window = bound.map(|bound| time_to_move_programs(bound, times.contact_limit));
        Self { window, logged_unknown: Mutex::default() }
    }

    /// Whether the deployment supports drains of zones.
    pub fn is_enabled(&self) -> bool {
        self.window.is_some()
    }

    /// The time in which programs move out of a drained zone.
    pub(super) fn move_window(&self) -> Duration {
        self.window.unwrap_or_default()
    }

    /// Whether the gateway may apply its first configuration. It may once the zone drains are known. It need not wait
    /// for them if the deployment does not support drains, or if the drains cannot become known because the
    /// configuration comes from replicas' disks and the store has not answered.
    pub(super) fn may_apply_first_configuration(&self, view: &View) -> bool {
        !self.is_enabled() || view.zone_drains.revision > 0 || view.unconfirmed.is_some()
    }

    /// Logs a warning, once, for each drained zone that has no engine: its name may be misspelled.
    pub(super) fn log_unknown_zones(&self, view: &View) {
        if view.engines.revision == 0 {
            return;
        }
        let has_engine = |zone: &str| view.engines.value.iter().any(|engine| engine.zone == zone);
        let unknown: BTreeSet<String> =
            view.zone_drains.value.zones().filter(|zone| !has_engine(zone)).map(str::to_owned).collect();
        let mut logged = lock(&self.logged_unknown);
        for zone in unknown.difference(&logged) {
            log::warn!(
                target: part::VIEW,
                "Zone {zone} is drained and has no engine: check its name, or end the drain."
            );
        }
        *logged = unknown;
    }
}

/// The drains known at one moment, with the facts of one call that decide which engines it may use.
pub(super) struct ZoneDrainFacts {
    /// The zones that are drained.
    pub(super) drains: Arc<ZoneDrains>,
    /// The drains that the engine table applied last. For this call, a zone counts as drained until the table has
    /// applied the end of the drain, because only then are the zone's engines considered cold.
    pub(super) table_drains: Arc<ZoneDrains>,
    /// When this gateway learned of each drain.
    pub(super) starts: Arc<DrainStarts>,
    /// The time in which programs move out of a drained zone.
    pub(super) window: Duration,
    /// The engine number of the engine that ran the previous turn; `None` when that engine is unknown, or when a turn
    /// of this program failed at it.
    pub(super) prompt_engine: Option<u32>,
    /// A hash of the program, the same on all nodes.
    pub(super) program_hash: u64,
    /// Number of tokens of the call's prompt.
    pub(super) prompt_tokens: f64,
    /// Number of tokens that fit into the memory of an engine of the service; 0 when it is not known.
    pub(super) memory_tokens: f64,
    pub(super) now: Instant,
}

impl ZoneDrainFacts {
    /// Whether the call may be sent to an engine.
    pub(super) fn allows(&self, engine: &Engine) -> bool {
        let zone = &engine.entry.zone;
        let is_drained = self.drains.is_drained(zone) || self.table_drains.is_drained(zone);
        !is_drained || self.may_stay_at(engine)
    }

    /// Whether the call may be sent to an engine of a drained zone: the engine holds the program's prompt, and the
    /// program does not have to move yet.
    fn may_stay_at(&self, engine: &Engine) -> bool {
        let prompt = CachedPrompt { program_hash: self.program_hash, size: self.prompt_size_at(engine) };
        let holds_prompt = self.prompt_engine == Some(engine.number) && !engine.warmth.may_have_lost_cache();
        holds_prompt && self.starts.may_program_stay(&engine.entry.zone, prompt, self.window, self.now)
    }

    /// The size of the call's prompt, as a fraction of the memory that the engine has for one request.
    fn prompt_size_at(&self, engine: &Engine) -> f64 {
        if self.memory_tokens > 0.0 {
            self.prompt_tokens * f64::from(engine.entry.slots.max(1)) / self.memory_tokens
        } else {
            UNKNOWN_PROMPT_SIZE
        }
    }
}
