//! The list of engines with its latest changes, so that a node with an older list gets only the changes.
//!
//! The module performs no I/O.
//!
//! Invariant: a list at revision r contains all changes of engines up to r. An [`EngineChanges`] value for the span
//! between two revisions names every engine that was written in that span, even if the engine's content did not change.
//! So it may be applied to a list of any revision in that span.
//!
//! Nodes of older builds drop fields of engines' entries, the software version always. An entry without a version is
//! replaced by the whole one of the same revision. From other revisions, only its version is filled in, if they describe
//! the same start of the engine.

use crate::ports::configuration::EngineEntry;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Maximum number of [`ChangeSpan`]s that a list stores. A node whose revision is older than the oldest span gets the
/// whole list.
const MAX_CHANGE_SPANS: usize = 128;

/// The difference between two revisions of the list of engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineChanges {
    /// Engines that were added or changed.
    pub changed: Vec<EngineEntry>,
    /// Identifiers of engines that were removed.
    pub gone: Vec<String>,
}

impl EngineChanges {
    fn changed_ids(&self) -> impl Iterator<Item = &String> {
        self.changed.iter().map(|engine| &engine.id).chain(&self.gone)
    }
}

/// The identifiers of engines that were written or removed after revision `since`, up to and including `revision`.
#[derive(Clone, Debug)]
struct ChangeSpan {
    since: u64,
    revision: u64,
    changed_ids: Vec<String>,
}

/// The largest number of software versions that the engines of one service have. Engines whose version is unknown are
/// left out.
pub fn max_software_versions_of_a_service(engines: &[EngineEntry]) -> usize {
    let mut versions: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for engine in engines {
        if let Some(version) = &engine.software_version {
            versions.entry(&engine.service).or_default().insert(version);
        }
    }
    versions.values().map(BTreeSet::len).max().unwrap_or(0)
}

/// Whether the software version of an engine is unknown because a node of an older build sent its entry.
pub fn misses_software_versions(engines: &[EngineEntry]) -> bool {
    engines.iter().any(|engine| engine.software_version.is_none())
}

/// Fills in an engine's software version, if it is missing, from an entry of the same start of the engine. Returns
/// whether it did.
fn fill_in_version(engine: &mut EngineEntry, entries: &[EngineEntry]) -> bool {
    if engine.software_version.is_some() {
        return false;
    }
    let is_same_start = |entry: &&EngineEntry| {
        entry.id == engine.id && entry.address == engine.address && entry.started_at_ms == engine.started_at_ms
    };
    engine.software_version = entries.iter().find(is_same_start).and_then(|entry| entry.software_version.clone());
    engine.software_version.is_some()
}

/// Replaces an entry that came from a node of an older build by the whole entry of the same revision, which describes
/// the same start of the engine: the start's time and the time for which the engine stays cold may be missing too.
/// Returns whether it did.
fn replace_partial_entry(engine: &mut EngineEntry, entries: &[EngineEntry]) -> bool {
    if engine.software_version.is_some() {
        return false;
    }
    let is_whole = |entry: &&EngineEntry| entry.id == engine.id && entry.software_version.is_some();
    let Some(whole) = entries.iter().find(is_whole) else { return false };
    *engine = whole.clone();
    true
}

/// The outcome of applying changes to a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The list is now at the revision of the changes.
    Applied,
    /// The list already had this revision or a newer one; it did not change.
    AlreadyKnown,
    /// The list already had this revision or a newer one; software versions that were missing were filled in.
    VersionsFilledIn,
    /// The list is older than the revision at which the changes begin; it did not change.
    Gap,
}

/// The list of engines at one revision, with the spans of its latest changes.
#[derive(Clone, Debug, Default)]
pub struct EngineList {
    revision: u64,
    engines: Arc<Vec<EngineEntry>>,
    spans: VecDeque<ChangeSpan>,
}

impl EngineList {
    /// The revision of the list; 0 if no list has been received yet.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The engines, ordered by identifier.
    pub fn engines(&self) -> &Arc<Vec<EngineEntry>> {
        &self.engines
    }

    /// Completes the entries of this list that came from nodes of older builds by `entries` of the same revision or an
    /// older one. Returns whether it changed the list.
    fn complete_entries(&mut self, revision: u64, entries: &[EngineEntry]) -> bool {
        if !misses_software_versions(&self.engines) {
            return false;
        }
        let complete = if revision == self.revision { replace_partial_entry } else { fill_in_version };
        let mut is_changed = false;
        for engine in Arc::make_mut(&mut self.engines) {
            is_changed |= complete(engine, entries);
        }
        is_changed
    }

    /// Replaces the list by a newer one. If `revision` is not newer, only completes entries that came from nodes of
    /// older builds. Returns whether the list was replaced or entries were completed.
    pub fn replace(&mut self, revision: u64, mut engines: Vec<EngineEntry>) -> bool {
        if revision <= self.revision {
            return self.complete_entries(revision, &engines);
        }
        for engine in &mut engines {
            fill_in_version(engine, &self.engines);
        }
        engines.sort_by(|left, right| left.id.cmp(&right.id));
        self.revision = revision;
        self.engines = Arc::new(engines);
        self.spans.clear();
        true
    }

    /// Applies all changes after `since`, up to and including `revision`.
    pub fn apply_changes(&mut self, since: u64, revision: u64, changes: EngineChanges) -> ApplyOutcome {
        if revision <= self.revision {
            let is_completed = self.complete_entries(revision, &changes.changed);
            return if is_completed { ApplyOutcome::VersionsFilledIn } else { ApplyOutcome::AlreadyKnown };
        }
        if self.revision < since || self.revision == 0 {
            return ApplyOutcome::Gap;
        }
        let changed_ids = changes.changed_ids().cloned().collect();
        let mut engines: BTreeMap<String, EngineEntry> =
            self.engines.iter().map(|engine| (engine.id.clone(), engine.clone())).collect();
        for id in &changes.gone {
            engines.remove(id);
        }
        for mut engine in changes.changed {
            fill_in_version(&mut engine, &self.engines);
            engines.insert(engine.id.clone(), engine);
        }
        self.engines = Arc::new(engines.into_values().collect());
        self.spans.push_back(ChangeSpan { since: self.revision, revision, changed_ids });
        if self.spans.len() > MAX_CHANGE_SPANS {
            self.spans.pop_front();
        }
        self.revision = revision;
        ApplyOutcome::Applied
    }

    /// The changes after revision `since`. None if that revision is older than the stored spans, or if the changes
    /// would name at least as many engines as the list has.
    pub fn changes_since(&self, since: u64) -> Option<EngineChanges> {
        let oldest = self.spans.front()?.since;
        if since < oldest {
            return None;
        }
        let later = self.spans.iter().filter(|span| span.revision > since);
        let changed_ids: BTreeSet<&String> = later.flat_map(|span| &span.changed_ids).collect();
        if changed_ids.len() >= self.engines.len() {
            return None;
        }
        let changed: Vec<EngineEntry> =
            self.engines.iter().filter(|engine| changed_ids.contains(&engine.id)).cloned().collect();
        let is_listed = |id: &String| changed.iter().any(|engine| engine.id == *id);
        let gone = changed_ids.into_iter().filter(|id| !is_listed(id)).cloned().collect();
        Some(EngineChanges { changed, gone })
    }
}
