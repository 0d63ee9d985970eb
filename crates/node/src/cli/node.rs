//! Starts `foxnotch node` and prepares its data folder.

use super::new_runtime;
use crate::driver::wall_clock;
use crate::operator::CommandError;
use crate::process;
use crate::settings::{SettingFlags, Settings};
use crate::storage;
use std::path::Path;

/// Runs a node, or only checks its settings.
pub(super) fn run(file: Option<&Path>, check: bool, flags: &SettingFlags) -> Result<String, CommandError> {
    let settings = Settings::load(file, flags).map_err(|error| CommandError::Invalid(error.to_string()))?;
    if check {
        return Ok("the settings are valid\n".to_owned());
    }
    new_runtime()?.block_on(process::run(settings))?;
    Ok(String::new())
}

/// Marks an empty data folder as belonging to a new deployment, so that its replica votes without a refill.
pub(super) fn initialise_replica(folder: &Path) -> Result<String, CommandError> {
    let store = wall_clock().0;
    let is_initialised = storage::initialise(folder, store).map_err(|error| CommandError::Other(error.into()))?;
    if is_initialised {
        Ok("the replica will vote at once\n".to_owned())
    } else {
        let problem = format!("{} was used by a replica before; choose an empty folder", folder.display());
        Err(CommandError::Invalid(problem))
    }
}
