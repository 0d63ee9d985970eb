//! Remembers which software versions the engines of each service have had, and for how long one version was the only
//! one.
//!
//! The history is built from the lists of engines that a gateway receives. It answers one question: which versions can
//! have begun a stream that is not older than some time? Everything that could hide a version counts against an answer:
//!
//! - an engine whose version is unknown may have any version, until another entry of the same start tells;
//! - an engine that is no longer listed may still serve for [`UNLISTED_SERVICE_TIME`];
//! - between two lists, a version may come and go unseen. A list that follows the one before by more than
//!   [`MAX_LIST_GAP`] begins the history anew, unless the store sent all changes in between.
//!
//! The list itself may be out of date. Whoever relies on the history lets the store confirm the list first
//! ([`crate::stream_version`]).

use crate::stream_version::OnlyVersion;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The time for which an engine may serve after its entry was removed. Gateways that have not heard of the removal send
/// requests to it meanwhile.
pub const UNLISTED_SERVICE_TIME: Duration = Duration::from_secs(15);

/// The longest time between two lists in which no version can come and go unseen. An engine is listed for longer, since
/// its entry outlasts several heartbeats even if the engine crashes at once.
pub const MAX_LIST_GAP: Duration = Duration::from_secs(4);

/// What the history reads of an engine's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEngine {
    /// The engine's service.
    pub service: String,
    /// Identifies one start of the engine.
    pub start: EngineStart,
    /// The version of the engine's software; `None` if unknown.
    pub version: Option<String>,
}

/// One start of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EngineStart {
    /// The engine's identifier.
    pub id: String,
    /// The engine's address.
    pub address: String,
    /// When the engine started, in milliseconds since 1970; `None` if its entry does not state this.
    pub started_at_ms: Option<u64>,
}

/// Whether a list follows from the one before without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// The list is the one before, with facts about its engines that were unknown.
    SameRevision,
    /// All changes since the list before are known, also those that later ones have undone.
    AllChanges,
    /// Only the resulting list is known.
    ResultOnly,
}

/// When engines of a version were last listed, by version; the key is `None` for engines of unknown version.
type LastListed = HashMap<Option<String>, Instant>;

/// The software versions of all services' engines since a gateway started.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// The engines of the latest list.
    listed: Vec<ListedEngine>,
    /// The versions that earlier lists had, by service.
    earlier: HashMap<String, LastListed>,
    /// When a list first named an engine of a service, by service.
    first_listed: HashMap<String, Instant>,
    /// Since when no version can have come and gone unseen; `None` before the first list.
    gapless_since: Option<Instant>,
    /// When the latest list was last known to be that of the store; `None` if this was never known.
    confirmed_at: Option<Instant>,
}

impl VersionHistory {
    /// Adds the list that was received at `now`.
    pub fn add_list(&mut self, engines: Vec<ListedEngine>, continuity: Continuity, now: Instant) {
        let is_gap = continuity == Continuity::ResultOnly
            && self.confirmed_at.is_none_or(|at| now.saturating_duration_since(at) > MAX_LIST_GAP);
        if is_gap || self.gapless_since.is_none() {
            self.gapless_since = Some(now);
        }
        let previous = std::mem::replace(&mut self.listed, engines);
        let listed: HashMap<&str, &ListedEngine> =
            self.listed.iter().map(|engine| (engine.start.id.as_str(), engine)).collect();
        for engine in previous {
            // The list may tell the version of an engine whose version was unknown.
            let is_same_start =
                |other: &&&ListedEngine| continuity == Continuity::SameRevision || other.start == engine.start;
            let same = listed.get(engine.start.id.as_str()).filter(is_same_start);
            let version = engine.version.or_else(|| same?.version.clone());
            self.earlier.entry(engine.service).or_default().insert(version, now);
        }
        for engine in &self.listed {
            self.first_listed.entry(engine.service.clone()).or_insert(now);
        }
    }

    /// Adds an engine that was listed for some time between the latest list and the next one, up to `now`.
    pub fn add_passing_engine(&mut self, engine: ListedEngine, now: Instant) {
        self.first_listed.entry(engine.service.clone()).or_insert(now);
        self.earlier.entry(engine.service).or_default().insert(engine.version, now);
    }

    /// Records that the latest list was that of the store at time `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// The version that all listed engines of a service have. `None` if they have several, if the version of one is
    /// unknown, or if none is listed.
    pub fn only_version(&self, service: &str, now: Instant) -> Option<OnlyVersion<String>> {
        let mut listed = self.listed.iter().filter(|engine| engine.service == service).map(|engine| &engine.version);
        let first = listed.next()?;
        let version = first.as_ref().filter(|_| listed.all(|version| version == first))?;
        let is_other = |(other, _): &(&Option<String>, &Instant)| other.as_ref() != Some(version);
        let others_listed = self.earlier.get(service).into_iter().flatten().filter(is_other).map(|(_, at)| *at).max();
        let known_since = self.gapless_since.max(self.first_listed.get(service).copied())?;
        let known_for = now.saturating_duration_since(known_since);
        let alone_for = others_listed
            .map_or(known_for, |at| now.saturating_duration_since(at).saturating_sub(UNLISTED_SERVICE_TIME));
        Some(OnlyVersion {
            version: version.clone(),
            known_for: known_for.min(alone_for),
            is_first: others_listed.is_none(),
        })
    }
}
