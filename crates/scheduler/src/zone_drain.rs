//! Zones that an operator drains: their engines get no new work.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Programs move out of a drained zone within this fraction of the time that is left until the drain has to be in
/// force.
const MOVE_TIME_FRACTION: f64 = 0.5;
/// The longest time from the choice of an engine until a request arrives there: obtaining the permit for a cold engine,
/// opening a connection, and the network path.
const MAX_SEND_TIME: Duration = Duration::from_millis(700);
/// Weight of the prompt's size in the time after which a program moves; the rest of that time depends on a hash, so
/// that programs with prompts of the same size do not move at the same time.
const SIZE_WEIGHT: f64 = 0.5;

/// The names of the zones that operators drain: engines of these zones get no new work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ZoneDrains {
    zones: BTreeSet<String>,
}

impl ZoneDrains {
    /// Creates the set of these drained zones.
    pub fn of(zones: impl IntoIterator<Item = String>) -> Self {
        Self { zones: zones.into_iter().collect() }
    }

    /// Whether a zone is drained, so that its engines get no new work.
    pub fn is_drained(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// The drained zones, in alphabetical order.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.iter().map(String::as_str)
    }

    /// Adds a zone whose drain has begun.
    pub fn insert(&mut self, zone: String) {
        self.zones.insert(zone);
    }

    /// Removes a zone whose drain has ended.
    pub fn remove(&mut self, zone: &str) {
        self.zones.remove(zone);
    }
}

/// The time at which this node learned that a zone is drained, and whether the age of the drain at that time has a
/// known upper bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DrainStart {
    learned_at: Instant,
    /// Whether the age of the drain at `learned_at` has a known upper bound. It has one if this node already had a list
    /// of drained zones, and the store had recently responded to this node or to the node that sends it updates.
    is_age_bounded: bool,
}

/// A program's prompt that is cached at an engine of a drained zone.
#[derive(Clone, Copy, Debug)]
pub struct CachedPrompt {
    /// A hash of the program's identifier, equal on all nodes.
    pub program_hash: u64,
    /// The size of the prompt, as a fraction of the memory that the engine has for one request, from 0 to 1.
    pub size: f64,
}

/// The times at which this node learned of the current drains. They determine which programs may still use a drained
/// zone.
///
/// A program whose prompt is cached in a drained zone has to read the whole prompt at another engine with its next
/// turn. If all programs did so at the same moment, the remaining engines would do little else. So the programs move
/// one after the other; programs with larger prompts tend to move later.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainStarts {
    starts: BTreeMap<String, DrainStart>,
}

impl DrainStarts {
    /// Updates the set of drained zones at time `now`. A zone that was already drained keeps its start; a zone whose
    /// drain ended and begins again gets a new start. `is_age_bounded` states whether the age of the drains that are
    /// new in `drains` has a known upper bound.
    pub fn update(&mut self, drains: &ZoneDrains, now: Instant, is_age_bounded: bool) {
        self.starts.retain(|zone, _| drains.is_drained(zone));
        for zone in drains.zones() {
            self.starts.entry(zone.to_owned()).or_insert(DrainStart { learned_at: now, is_age_bounded });
        }
    }

    /// Whether a program may still run its turns at the engine of a drained zone that has its prompt cached. False when
    /// the age of the drain has no known upper bound, or this node does not know of the drain. `window` is the result
    /// of [`time_to_move_programs`].
    pub fn may_program_stay(&self, zone: &str, prompt: CachedPrompt, window: Duration, now: Instant) -> bool {
        let Some(start) = self.starts.get(zone).filter(|start| start.is_age_bounded) else { return false };
        now.saturating_duration_since(start.learned_at) < move_delay(prompt, window)
    }

    /// The time since this node learned that a zone is drained; `None` when the zone is not drained.
    pub fn time_since_drain_learned(&self, zone: &str, now: Instant) -> Option<Duration> {
        self.starts.get(zone).map(|start| now.saturating_duration_since(start.learned_at))
    }
}

/// The time within which programs move out of a drained zone after this node has learned of the drain. A drain has to
/// be in force within `bound` of its start, and this node may learn of it `max_report_age` late. The result is half of
/// the time that remains, or less if a request sent at the end of that half would arrive after the bound.
pub fn time_to_move_programs(bound: Duration, max_report_age: Duration) -> Duration {
    let left = bound.saturating_sub(max_report_age);
    left.mul_f64(MOVE_TIME_FRACTION).min(left.saturating_sub(MAX_SEND_TIME))
}

/// The time from when this node learned of a drain until a program moves to another zone: from 0 to `window`, longer
/// for larger prompts.
pub fn move_delay(prompt: CachedPrompt, window: Duration) -> Duration {
    let size = if prompt.size.is_nan() { 0.0 } else { prompt.size.clamp(0.0, 1.0) };
    let hash_fraction = prompt.program_hash as f64 / u64::MAX as f64;
    window.mul_f64((SIZE_WEIGHT * size + (1.0 - SIZE_WEIGHT) * hash_fraction).min(1.0))
}
