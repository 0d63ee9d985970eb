//! Writes each part of the view that comes into force to the replica's disk.
//!
//! Every replica, standbys included, writes each configuration once and the list of engines periodically. The writer
//! runs in a task of its own, so that a stalled disk delays no turn.

use super::{write_part_if_newer, StoredView};
use crate::clock::time_of_day_ms;
use crate::peers::view::{View, ViewHolder};
use crate::peers::view_codec::encode_view_part;
use foxnotch_turns::stored_view_file::PartKind;
use foxnotch_wire::StoredPart;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Minimum time between two writes of the list of engines. The list may change several times a second, and a slightly
/// old list is sufficient for a start.
const ENGINES_WRITE_PERIOD: Duration = Duration::from_millis(500);
/// Time between a failed write and the next attempt. A full disk usually stays full for a while.
const WRITE_RETRY_PERIOD: Duration = Duration::from_secs(1);

/// The configuration of a view as a stored part.
fn configuration_part(holder: &ViewHolder, view: &View) -> StoredPart {
    let stored_at_ms = view.unconfirmed.map_or_else(time_of_day_ms, |unconfirmed| unconfirmed.at_ms);
    let content = holder.encoded_configuration(&view.configuration);
    StoredPart { revision: view.configuration.revision, stored_at_ms, content }
}

/// The engines of a view as a stored part.
fn engines_part(view: &View) -> StoredPart {
    let content = encode_view_part(&*view.engines.value);
    StoredPart { revision: view.engines.revision, stored_at_ms: time_of_day_ms(), content }
}

/// The drained zones of a view as a stored part.
fn zone_drains_part(view: &View) -> StoredPart {
    let content = encode_view_part(&*view.zone_drains.value);
    StoredPart { revision: view.zone_drains.revision, stored_at_ms: time_of_day_ms(), content }
}

/// Writes changes of the view to the replica's files.
pub struct StoredViewWriter {
    stored: Arc<StoredView>,
    view: Arc<ViewHolder>,
    engines_written_at: Option<Instant>,
}

impl StoredViewWriter {
    /// Creates a writer; [`Self::run`] starts writing.
    pub fn new(stored: Arc<StoredView>, view: Arc<ViewHolder>) -> Self {
        Self { stored, view, engines_written_at: None }
    }

    /// Writes each change of the view, indefinitely.
    pub async fn run(mut self) {
        let mut changed = self.view.subscribe();
        loop {
            match self.write_newer_parts().await {
                Ok(true) if changed.changed().await.is_err() => return,
                Ok(true) => {}
                // A change of the view ends the wait, so that a new configuration is written at once.
                Ok(false) => drop(tokio::time::timeout(ENGINES_WRITE_PERIOD, changed.changed()).await),
                // The failure has been logged.
                Err(_) => tokio::time::sleep(WRITE_RETRY_PERIOD).await,
            }
        }
    }

    /// Writes the parts that are newer than the stored ones. Returns false if the list of engines has to wait for
    /// [`ENGINES_WRITE_PERIOD`] to pass.
    async fn write_newer_parts(&mut self) -> io::Result<bool> {
        let view = self.view.get();
        let stored = self.stored.revisions();
        if view.configuration.revision > stored.configuration {
            write_part_if_newer(&self.stored, PartKind::Configuration, configuration_part(&self.view, &view)).await?;
            self.stored.mark_configuration_current();
        }
        if view.zone_drains.revision > stored.zone_drains {
            write_part_if_newer(&self.stored, PartKind::ZoneDrains, zone_drains_part(&view)).await?;
        }
        if view.engines.revision <= stored.engines {
            return Ok(true);
        }
        if self.engines_written_at.is_some_and(|at| at.elapsed() < ENGINES_WRITE_PERIOD) {
            return Ok(false);
        }
        write_part_if_newer(&self.stored, PartKind::Engines, engines_part(&view)).await?;
        self.engines_written_at = Some(Instant::now());
        Ok(true)
    }
}
