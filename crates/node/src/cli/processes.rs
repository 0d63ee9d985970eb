//! Starts a gateway or a replica with the adapter to the users' platform.

use crate::operator::CommandError;
use clap::Args;
use foxnotch_gateway::buffer_budget::BufferBudget;
use foxnotch_gateway::runtime::create_runtime;
use foxnotch_gateway::settings::ProcessSettings;
use foxnotch_gateway::{edge, replica};
use foxnotch_platform::{PlatformDialect, PlatformStore};
use std::path::PathBuf;
use std::sync::Arc;

/// Flags of `foxnotch gateway` and `foxnotch replica`.
#[derive(Args, Debug)]
pub(super) struct ProcessFlags {
    /// The settings file, TOML
    #[arg(long, env = "FOXNOTCH_CONFIG")]
    settings: PathBuf,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
}

/// Which of the two processes to run.
#[derive(Clone, Copy, Debug)]
pub(super) enum Role {
    Gateway,
    Replica,
}

/// Runs a gateway or a replica.
pub(super) fn run(flags: &ProcessFlags, role: Role) -> Result<String, CommandError> {
    let settings = ProcessSettings::load(&flags.settings).map_err(|error| CommandError::Invalid(error.to_string()))?;
    if flags.check {
        return Ok("the settings are valid\n".to_owned());
    }
    let runtime = create_runtime().map_err(|error| CommandError::Other(error.into()))?;
    foxnotch_gateway::logging::start(&settings.log_level)?;
    let percent = match role {
        Role::Gateway => edge::process::GATEWAY_BUFFER_PERCENT,
        Role::Replica => replica::process::REPLICA_BUFFER_PERCENT,
    };
    let buffers = BufferBudget::of_machine(settings.resources.memory_mb, percent);
    let store = Arc::new(PlatformStore::new(settings.store_address, buffers.clone()));
    let path = flags.settings.clone();
    let outcome = runtime.block_on(async {
        match role {
            Role::Gateway => {
                let platform = edge::process::Platform { store, dialect: Arc::new(PlatformDialect), buffers };
                edge::process::run(settings, path, platform).await
            }
            Role::Replica => replica::process::run(settings, path, store, buffers).await,
        }
    });
    foxnotch_gateway::logging::flush_pending_lines();
    outcome?;
    Ok(String::new())
}
