//! Handles signals: SIGTERM and SIGINT start a planned stop, SIGHUP loads the settings again. During a planned stop,
//! further signals have no effect.

use crate::logging::part;
use crate::peers::members::Members;
use crate::settings::ProcessSettings;
use std::io;
use std::path::Path;
use tokio::signal::unix::{signal, SignalKind};

/// Waits for a signal to stop. Until then, each SIGHUP loads the settings at `path` again.
///
/// # Errors
/// If a signal handler cannot be installed.
pub(crate) async fn wait_for_stop_signal(path: &Path, members: &Members) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload_settings(path, members),
        }
    }
}

/// Loads the settings and applies the seeds, the only setting that may change while the process runs. If the settings
/// are refused, nothing changes.
fn reload_settings(path: &Path, members: &Members) {
    match ProcessSettings::load(path) {
        Ok(settings) => {
            log::info!(
                target: part::PROCESS,
                "Settings loaded again: seeds={:?}. Other settings stay until a restart.",
                settings.seeds,
            );
            members.set_seeds(settings.seeds);
        }
        Err(error) => {
            log::error!(target: part::PROCESS, "Settings not loaded, the previous ones stay in force: {error}.")
        }
    }
}
