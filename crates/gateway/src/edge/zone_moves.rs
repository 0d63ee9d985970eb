//! What drains of zones leave of the engines that a call may go to.
//!
//! Each send asks anew, just before it: a retry, a resumed stream and a call that waited for room go by the drains that are
//! known then. New programs leave a drained zone at once; those that have their cached prompt there leave one after the other.

use crate::edge::call::Call;
use crate::edge::handler::Gateway;
use crate::edge::refusal::Refusal;
use crate::engines::engine::Engine;
use crate::engines::selector::Choice;
use crate::locks::lock;
use crate::logging::part;
use crate::peers::view::View;
use crate::peers::watch_duty::DutyTimes;
use foxnotch_scheduler::zone_drain::{move_window, DrainMoves, HeldPrompt, ZoneDrains};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// The size of a prompt whose engine's memory is not known.
const UNKNOWN_SIZE: f64 = 0.5;

/// How a gateway goes by drains of zones.
#[derive(Debug, Default)]
pub struct ZoneDrainRules {
    /// The time in which programs leave a zone; none where the deployment knows no drains.
    window: Option<Duration>,
    /// Drained zones of which no engine is listed, as far as the log tells.
    told_unknown: Mutex<BTreeSet<String>>,
}

impl ZoneDrainRules {
    /// Rules for a deployment in which a drain has to be in force within `bound`.
    pub fn new(bound: Option<Duration>, times: DutyTimes) -> Self {
        let window = bound.map(|bound| move_window(bound, times.contact_limit));
        Self { window, told_unknown: Mutex::default() }
    }

    /// Whether drains of zones can be asked for.
    pub fn is_on(&self) -> bool {
        self.window.is_some()
    }
}

/// What the drains known at one moment mean for one call.
pub(super) struct CallDrains {
    drains: Arc<ZoneDrains>,
    /// The drains that the engine table goes by: engines of a zone whose drain was just taken back are not cold there yet.
    table_drains: Arc<ZoneDrains>,
    moves: Arc<DrainMoves>,
    window: Duration,
    /// The engine that holds the program's prompt.
    home: Option<u32>,
    program_hash: u64,
    prompt_tokens: f64,
    /// Tokens that the memory of an engine of the service takes; 0 when that is not known.
    memory_tokens: f64,
    now: Instant,
}

impl CallDrains {
    /// Whether the call may go to an engine.
    pub(super) fn allow(&self, engine: &Engine) -> bool {
        let zone = &engine.entry.zone;
        let is_drained = self.drains.is_drained(zone) || self.table_drains.is_drained(zone);
        !is_drained || self.may_stay_at(engine)
    }

    fn may_stay_at(&self, engine: &Engine) -> bool {
        let prompt = HeldPrompt { program_hash: self.program_hash, size: self.size_at(engine) };
        let is_home = self.home == Some(engine.number) && !engine.warmth.may_be_emptied();
        is_home && self.moves.may_stay(&engine.entry.zone, prompt, self.window, self.now)
    }

    /// The prompt's share of the memory that an engine has for one request.
    fn size_at(&self, engine: &Engine) -> f64 {
        if self.memory_tokens > 0.0 {
            self.prompt_tokens * f64::from(engine.entry.slots.max(1)) / self.memory_tokens
        } else {
            UNKNOWN_SIZE
        }
    }
}

impl Gateway {
    /// What the drains known now mean for a call.
    pub(super) fn drains_for(&self, call: &Call) -> CallDrains {
        let view = self.view.get();
        let model = view.configuration.value.service(&call.service).and_then(|service| service.model.as_ref());
        let predecessor = call.predecessor.filter(|engine| self.policy.home && !call.avoided.contains(engine));
        CallDrains {
            drains: view.zone_drains.value,
            table_drains: self.engines.drains(),
            moves: view.drain_moves,
            window: self.zone_drains.window.unwrap_or_default(),
            home: predecessor,
            program_hash: xxh3_64(call.metadata.program.as_deref().unwrap_or_default().as_bytes()),
            prompt_tokens: f64::from(call.metadata.prompt_tokens),
            memory_tokens: model.map_or(0.0, |model| model.memory_tokens as f64),
            now: Instant::now(),
        }
    }

    /// Refuses a call that drains of zones leave no engine; waiting would not help it.
    ///
    /// # Errors
    /// [`Refusal::ZonesDrained`].
    pub(super) fn check_zones(&self, call: &Call, candidates: &[Arc<Engine>]) -> Result<(), Refusal> {
        let drains = self.view.get().zone_drains.value;
        if !candidates.is_empty() || drains.zones().next().is_none() {
            return Ok(());
        }
        let mut engines = self.engines.candidates(&call.service);
        engines.retain(|engine| call.residency.allows_zone(&self.places, &engine.entry.zone));
        if engines.is_empty() {
            return Ok(());
        }
        let zones: Vec<&str> = drains.zones().collect();
        log::info!(target: part::CALL, "Call {} has no engine outside of drained zones: service={} zones={zones:?} drained={}.", call.metadata.attempt, call.service, engines.len());
        Err(Refusal::ZonesDrained)
    }

    /// Counts and tells that a drain of a zone decided where a program goes on.
    pub(super) fn note_zone_move(&self, call: &Call, choice: &Choice) {
        let view = self.view.get();
        if view.zone_drains.value.zones().next().is_none() {
            return;
        }
        let Some(home) = call.predecessor.filter(|number| *number != choice.engine.number) else { return };
        let engines = self.engines.candidates(&call.service);
        let Some(home) = engines.iter().find(|engine| engine.number == home) else { return };
        let zone = &home.entry.zone;
        if view.zone_drains.value.is_drained(zone) {
            let age = view.drain_moves.age(zone, Instant::now()).unwrap_or_default();
            self.metrics.zone_moves.inc();
            log::info!(target: part::ENGINE, "Call {} leaves a drained zone: zone={zone} known_for={age:?} program={} from={} to={} tokens={}.", call.metadata.attempt, call.metadata.program.as_deref().unwrap_or("-"), home.entry.id, choice.engine.entry.id, call.metadata.prompt_tokens);
        }
    }

    /// Whether a first configuration may be gone by: not before it is known which zones are drained, unless nobody can tell,
    /// as after a start without the store.
    pub(super) fn knows_zone_drains(&self, view: &View) -> bool {
        !self.zone_drains.is_on() || view.zone_drains.revision > 0 || view.kept.is_some()
    }

    /// Tells once of each drained zone that has no engine: its name may be wrong.
    pub(super) fn tell_unknown_zones(&self, view: &View) {
        if view.engines.revision == 0 {
            return;
        }
        let has_engine = |zone: &str| view.engines.value.iter().any(|engine| engine.zone == zone);
        let unknown: BTreeSet<String> =
            view.zone_drains.value.zones().filter(|zone| !has_engine(zone)).map(str::to_owned).collect();
        let mut told = lock(&self.zone_drains.told_unknown);
        for zone in unknown.difference(&told) {
            log::warn!(target: part::VIEW, "Zone {zone} is drained and has no engine: check its name, or take the drain back.");
        }
        *told = unknown;
    }
}
