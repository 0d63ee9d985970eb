//! The command line.

use crate::explain;
use crate::operator::{self, CommandError};
use crate::process;
use crate::settings::{SettingFlags, Settings, SettingsError};
use crate::storage;
use clap::{Args, Parser, Subcommand};
use foxnotch_gateway::inspect::{self, InspectError};
use foxnotch_gateway::settings::ProcessSettings;
use foxnotch_gateway::{edge, replica};
use foxnotch_platform::{PlatformDialect, PlatformStore};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// What was asked was done.
const EXIT_DONE: u8 = 0;
/// Something failed that may work later.
const EXIT_FAILED: u8 = 1;
/// Settings or declarations are wrong. Clap uses the same for wrong flags.
const EXIT_INVALID: u8 = 2;
/// Another operator came first.
const EXIT_CONFLICT: u8 = 3;

/// Scheduler for agent programs
///
/// Exit codes: 0 done; 1 failed, may work later; 2 wrong flags, settings or declarations; 3 another operator
/// came first.
#[derive(Parser, Debug)]
#[command(name = "foxnotch", version, propagate_version = true)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Run a node
    Node {
        /// The settings file, TOML
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Only check the settings
        #[arg(long)]
        check: bool,
        #[command(flatten)]
        flags: Box<SettingFlags>,
    },
    /// Run a gateway, which callers reach
    Gateway(ProcessFlags),
    /// Run a replica, which keeps turns on its disk
    Replica(ProcessFlags),
    /// Explain what became of a call or a program, from the processes' logs
    ///
    /// Example: foxnotch explain 9c41d07be2a35f68 logs/*.log
    Explain {
        /// The call's or the program's identifier
        identifier: String,
        /// The logs of gateways and replicas
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Mark an empty data folder as the first of a new deployment, so that its replica votes at once
    InitialiseReplica {
        /// The data folder
        data_folder: PathBuf,
    },
    /// Check declaration files by themselves
    Check {
        /// Files, or folders of .toml files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show what applying declaration files would change
    Diff {
        /// The object API, IP:port
        #[arg(long)]
        object_api: SocketAddr,
        /// Files, or folders of .toml files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Write what declaration files declare
    Apply {
        /// The object API, IP:port
        #[arg(long)]
        object_api: SocketAddr,
        /// Files, or folders of .toml files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show a node's state: members, configuration in force, counts; of a gateway or a replica what it goes by
    ///
    /// Examples: foxnotch status --node 10.1.0.38:7400; foxnotch status --peer 10.1.0.38:7380
    Status {
        /// The caller address of a `foxnotch node`, IP:port
        #[arg(long, required_unless_present = "peer", conflicts_with = "peer")]
        node: Option<SocketAddr>,
        /// The address for nodes of a gateway or a replica, IP:port
        #[arg(long)]
        peer: Option<SocketAddr>,
    },
    /// Show the members as a gateway or a replica sees them
    ///
    /// Example: foxnotch members --node 10.1.0.38:7380
    Members {
        /// Its address for nodes, IP:port
        #[arg(long)]
        node: SocketAddr,
    },
    /// Show the replica set as a gateway or a replica knows it, and how each replica stands
    ///
    /// Example: foxnotch replicas --node 10.1.0.38:7380
    Replicas {
        /// Its address for nodes, IP:port
        #[arg(long)]
        node: SocketAddr,
    },
    /// Show the programs that a node owns
    Programs {
        /// The node's caller address, IP:port
        #[arg(long)]
        node: SocketAddr,
    },
}

/// How a gateway or a replica is started.
#[derive(Args, Debug)]
struct ProcessFlags {
    /// The settings file, TOML
    #[arg(long, env = "FOXNOTCH_CONFIG")]
    settings: PathBuf,
    /// Only check the settings
    #[arg(long)]
    check: bool,
}

/// Runs the command line.
pub fn run() -> ExitCode {
    let command = CommandLine::parse().command;
    let code = match execute(command) {
        Ok(text) => {
            print!("{text}");
            EXIT_DONE
        }
        Err(error) => {
            eprintln!("{error}");
            exit_code(&error)
        }
    };
    ExitCode::from(code)
}

fn exit_code(error: &CommandError) -> u8 {
    match error {
        CommandError::Invalid(_) => EXIT_INVALID,
        CommandError::Conflict(_) => EXIT_CONFLICT,
        CommandError::Other(_) => EXIT_FAILED,
    }
}

fn execute(command: Command) -> Result<String, CommandError> {
    match command {
        Command::Gateway(flags) => run_process(&flags, Role::Gateway),
        Command::Replica(flags) => run_process(&flags, Role::Replica),
        Command::Explain { identifier, logs } => {
            explain::explain(&identifier, &logs).map_err(|error| CommandError::Invalid(error.to_string()))
        }
        other => execute_on_many_threads(other),
    }
}

/// What a process on one small machine does.
#[derive(Clone, Copy, Debug)]
enum Role {
    Gateway,
    Replica,
}

/// Runs a gateway or a replica: one thread, since its machine has a part of a core.
fn run_process(flags: &ProcessFlags, role: Role) -> Result<String, CommandError> {
    let settings = ProcessSettings::load(&flags.settings).map_err(|error| CommandError::Invalid(error.to_string()))?;
    if flags.check {
        return Ok("the settings are valid\n".to_owned());
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CommandError::Other(error.into()))?;
    foxnotch_gateway::logging::start(&settings.log_level)?;
    let store = Arc::new(PlatformStore::new(settings.store_address));
    let path = flags.settings.clone();
    let outcome = runtime.block_on(async {
        match role {
            Role::Gateway => {
                let platform = edge::process::Platform { store, dialect: Arc::new(PlatformDialect) };
                edge::process::run(settings, path, platform).await
            }
            Role::Replica => replica::process::run(settings, path, store).await,
        }
    });
    foxnotch_gateway::logging::finish();
    outcome?;
    Ok(String::new())
}

fn execute_on_many_threads(command: Command) -> Result<String, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| CommandError::Other(error.into()))?;
    match command {
        Command::Node { settings, check, flags } => {
            let settings = Settings::load(settings.as_deref(), &flags).map_err(invalid_settings)?;
            if check {
                return Ok("the settings are valid\n".to_owned());
            }
            runtime.block_on(process::run(settings))?;
            Ok(String::new())
        }
        Command::Gateway(_) | Command::Replica(_) | Command::Explain { .. } => Ok(String::new()),
        Command::InitialiseReplica { data_folder } => initialise(&data_folder),
        Command::Check { files } => operator::check(&files),
        Command::Diff { object_api, files } => runtime.block_on(operator::diff(object_api, &files)),
        Command::Apply { object_api, files } => runtime.block_on(operator::apply(object_api, &files)),
        Command::Status { node: Some(node), .. } => runtime.block_on(operator::show(node, "/v1/status")),
        Command::Status { peer: Some(peer), .. } => runtime.block_on(inspect::view(peer)).map_err(no_answer),
        // The flags' own check leaves none out.
        Command::Status { node: None, peer: None } => Ok(String::new()),
        Command::Members { node } => runtime.block_on(inspect::members(node)).map_err(no_answer),
        Command::Replicas { node } => runtime.block_on(inspect::replicas(node)).map_err(no_answer),
        Command::Programs { node } => runtime.block_on(operator::show(node, "/v1/programs")),
    }
}

fn invalid_settings(error: SettingsError) -> CommandError {
    CommandError::Invalid(error.to_string())
}

fn no_answer(error: InspectError) -> CommandError {
    CommandError::Other(error.into())
}

fn initialise(folder: &std::path::Path) -> Result<String, CommandError> {
    let store = crate::driver::wall_clock().0;
    let fresh = storage::initialise(folder, store).map_err(|error| CommandError::Other(error.into()))?;
    if fresh {
        Ok("the replica will vote at once\n".to_owned())
    } else {
        let problem = format!("{} holds histories already; choose an empty folder", folder.display());
        Err(CommandError::Invalid(problem))
    }
}
