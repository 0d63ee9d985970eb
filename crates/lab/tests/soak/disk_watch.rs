//! Watches how long this machine's own disk holds up a sync: all replicas share it, so what it does to all of them at
//! once is no fault of the plan.

use super::lock;
use anyhow::Context;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// Time between two syncs.
const PERIOD: Duration = Duration::from_millis(100);
/// A sync that takes longer counts as a stall; one of a quiet disk takes some milliseconds.
const MIN_STALL: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct State {
    /// Stalls that are over.
    stalled: Duration,
    /// When the present sync was begun.
    begun_at: Option<Instant>,
}

/// A thread that writes and syncs a small file for as long as this lives.
#[derive(Debug)]
pub(crate) struct DiskWatch {
    state: Arc<Mutex<State>>,
}

impl DiskWatch {
    /// Watches the disk of a folder.
    ///
    /// # Errors
    /// When no file can be made there.
    pub(crate) fn start(folder: &Path) -> anyhow::Result<Self> {
        let file = File::create(folder.join("disk-watch")).context("no file can be made in the soak's folder")?;
        let state = Arc::new(Mutex::new(State::default()));
        let watched = Arc::downgrade(&state);
        std::thread::Builder::new().name("disk-watch".to_owned()).spawn(move || watch(file, &watched))?;
        Ok(Self { state })
    }

    /// For how long the disk has stalled so far, the present stall included.
    pub(crate) fn stalled(&self) -> Duration {
        let state = lock(&self.state);
        let present = state.begun_at.map_or(Duration::ZERO, |begun_at| begun_at.elapsed());
        state.stalled + if present > MIN_STALL { present } else { Duration::ZERO }
    }
}

fn watch(mut file: File, state: &Weak<Mutex<State>>) {
    while let Some(state) = state.upgrade() {
        lock(&state).begun_at = Some(Instant::now());
        if let Err(error) = file.write_all(b"x").and_then(|()| file.sync_data()) {
            eprintln!("soak: the disk is not watched any more: {error}");
            return;
        }
        let mut known = lock(&state);
        let took = known.begun_at.take().map_or(Duration::ZERO, |begun_at| begun_at.elapsed());
        if took > MIN_STALL {
            known.stalled += took;
        }
        drop(known);
        std::thread::sleep(PERIOD);
    }
}

/// A time, and for how long the disk had stalled by then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Told {
    at: Instant,
    stalled: Duration,
}

impl Told {
    pub(super) fn now(disk: &DiskWatch) -> Self {
        Self { at: Instant::now(), stalled: disk.stalled() }
    }

    /// Time since, without the stalls of the disk.
    pub(super) fn elapsed(self, disk: &DiskWatch) -> Duration {
        self.at.elapsed().saturating_sub(disk.stalled().saturating_sub(self.stalled))
    }
}
