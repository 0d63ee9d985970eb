//! The configuration, the engines and the drained zones that a replica stores on disk, so that a fleet that starts
//! while the platform's store does not answer can recover them.
//!
//! [`StoredView`] owns the files and their contents in memory, [`writer`] writes each part that comes into force,
//! [`files`] handles one part's pair of files. Replicas pull parts from each other in `replica::sync`; a fleet starts
//! from them in `replica::cold_start`.

pub mod files;
pub mod writer;

use crate::locks::lock;
use crate::logging::part;
use files::StoredViewFiles;
use foxnotch_turns::stored_view_file::PartKind;
use foxnotch_wire::{Content, NodeId, ReadStoredView, ReplicaReport, StoredPart, StoredViewHeld};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One value for each part of the view that replicas store on disk.
#[derive(Clone, Debug, Default)]
pub struct PerPart<T> {
    /// The value for the configuration.
    pub configuration: T,
    /// The value for the list of engines.
    pub engines: T,
    /// The value for the drained zones.
    pub zone_drains: T,
}

impl<T> PerPart<T> {
    fn part_mut(&mut self, kind: PartKind) -> &mut T {
        match kind {
            PartKind::Configuration => &mut self.configuration,
            PartKind::Engines => &mut self.engines,
            PartKind::ZoneDrains => &mut self.zone_drains,
        }
    }
}

/// The parts of the view on a replica's disk.
pub struct StoredView {
    /// The files; the lock is held while one is written.
    files: Mutex<PerPart<StoredViewFiles>>,
    /// The contents of the files.
    parts: Mutex<PerPart<StoredPart>>,
    /// Whether this disk may have stored a newer configuration than the one in `parts`: the configuration's files could
    /// not be used at the start, and no configuration in force has been written since.
    may_miss_newer: AtomicBool,
}

/// Returns a part of the view, with its content only if the part's revision is above `caller_revision`.
fn part_if_newer(part: &StoredPart, caller_revision: u64) -> StoredPart {
    let content = if part.revision > caller_revision { part.content.clone() } else { Content::default() };
    StoredPart { content, ..*part }
}

impl StoredView {
    /// Reads the files in a node's data folder.
    pub fn open(folder: &Path, node: NodeId) -> Self {
        let (configuration_files, configuration) = StoredViewFiles::open(folder, node, PartKind::Configuration);
        let (engine_files, engines) = StoredViewFiles::open(folder, node, PartKind::Engines);
        let (drain_files, zone_drains) = StoredViewFiles::open(folder, node, PartKind::ZoneDrains);
        log::info!(
            target: part::REPLICA,
            "Stored view read from disk: configuration_revision={} engines_revision={} zone_drains_revision={} \
             is_lost={} (`is_lost` is true if the configuration's files exist but none of them can be used).",
            configuration.part.revision,
            engines.part.revision,
            zone_drains.part.revision,
            configuration.is_lost,
        );
        Self {
            files: Mutex::new(PerPart {
                configuration: configuration_files,
                engines: engine_files,
                zone_drains: drain_files,
            }),
            parts: Mutex::new(PerPart {
                configuration: configuration.part,
                engines: engines.part,
                zone_drains: zone_drains.part,
            }),
            may_miss_newer: AtomicBool::new(configuration.is_lost),
        }
    }

    /// The revision of each part.
    pub fn revisions(&self) -> PerPart<u64> {
        let parts = lock(&self.parts);
        PerPart {
            configuration: parts.configuration.revision,
            engines: parts.engines.revision,
            zone_drains: parts.zone_drains.revision,
        }
    }

    /// Answers a read of the stored view: all revisions, and the contents that are newer than the caller's.
    pub fn answer_read(&self, request: &ReadStoredView, report: ReplicaReport, set_version: u64) -> StoredViewHeld {
        let parts = lock(&self.parts);
        StoredViewHeld {
            report,
            set_version,
            is_whole: u8::from(!self.may_miss_newer.load(Ordering::Relaxed)),
            configuration: part_if_newer(&parts.configuration, request.configuration_above),
            engines: part_if_newer(&parts.engines, request.engines_above),
            zone_drains: part_if_newer(&parts.zone_drains, request.zone_drains_above),
        }
    }

    /// Writes a part if it is newer than the stored one. Returns once it is synced.
    fn write_if_newer(&self, kind: PartKind, newer: StoredPart) -> io::Result<()> {
        let mut files = lock(&self.files);
        if newer.revision <= lock(&self.parts).part_mut(kind).revision {
            return Ok(());
        }
        if newer.content.bytes.is_empty() {
            // Writing the empty part would overwrite an older version that can be read.
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the part is empty, because encoding it failed"));
        }
        files.part_mut(kind).write(&newer)?;
        *lock(&self.parts).part_mut(kind) = newer;
        Ok(())
    }

    /// Records that this disk misses no newer configuration. Called once the configuration in force is on this disk,
    /// since that configuration is at least as new as any that was lost with unusable files.
    fn mark_configuration_current(&self) {
        self.may_miss_newer.store(false, Ordering::Relaxed);
    }
}

/// Writes a part if it is newer than the stored one, on a thread where blocking on the disk is allowed.
///
/// # Errors
/// When the write fails; the failure has been logged.
pub(super) async fn write_part_if_newer(stored: &Arc<StoredView>, kind: PartKind, part: StoredPart) -> io::Result<()> {
    let stored = stored.clone();
    let revision = part.revision;
    let bytes = part.content.bytes.len();
    let started_at = Instant::now();
    let outcome =
        tokio::task::spawn_blocking(move || stored.write_if_newer(kind, part)).await.map_err(io::Error::other)?;
    match &outcome {
        Ok(()) => {
            log::info!(
                target: part::DISK,
                "A part of the view was written to disk (`after` is the duration of the write): part={} \
                 revision={revision} bytes={bytes} after={:?}.",
                kind.name(),
                started_at.elapsed(),
            );
        }
        Err(error) => {
            log::warn!(
                target: part::DISK,
                "A part of the view was not written to disk: part={} revision={revision} bytes={bytes}: {error}; \
                 the write is retried.",
                kind.name(),
            );
        }
    }
    outcome
}
