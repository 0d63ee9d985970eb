//! The command line of `foxnotch`. It starts and inspects gateways, replicas and nodes of `foxnotch node`.
//!
//! This module parses the flags, runs the command and maps its result to an exit code. [`processes`] starts gateways
//! and replicas; [`node`] starts `foxnotch node`.

mod node;
mod processes;

use crate::explain;
use crate::operator::{self, CommandError};
use crate::settings::SettingFlags;
use clap::{Parser, Subcommand};
use foxnotch_gateway::inspect::{self, InspectError};
use processes::{ProcessFlags, Role};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Runtime;

/// The command succeeded.
const EXIT_SUCCESS: u8 = 0;
/// The command failed and may succeed when it is run again later.
const EXIT_FAILED: u8 = 1;
/// Settings or declarations are invalid. Clap exits with the same code for invalid flags.
const EXIT_INVALID: u8 = 2;
/// Another operator has changed an object since it was read.
const EXIT_CONFLICT: u8 = 3;

/// Scheduler for agent programs
///
/// Exit codes: 0 success; 1 failed, a later run may succeed; 2 invalid flags, settings or declarations; 3 another
/// operator has changed an object since it was read.
#[derive(Parser, Debug)]
#[command(name = "foxnotch", version, propagate_version = true)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Run a node, which owns programs and dispatches their calls
    Node {
        /// The settings file, TOML
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Check the settings and exit
        #[arg(long)]
        check: bool,
        #[command(flatten)]
        flags: Box<SettingFlags>,
    },
    /// Run a gateway, which accepts callers' requests
    Gateway(ProcessFlags),
    /// Run a replica, which stores turns on its disk
    Replica(ProcessFlags),
    /// Explain from the logs of gateways and replicas how a call, or the last call of a program, ended
    ///
    /// Example: foxnotch explain 9c41d07be2a35f68 logs/*.log
    Explain {
        /// The call's or the program's identifier
        identifier: String,
        /// The logs of gateways and replicas
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Mark an empty data folder as belonging to a new deployment, so that its replica votes without a refill
    InitialiseReplica {
        /// The data folder
        data_folder: PathBuf,
    },
    /// Check declaration files without contacting the object API
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
    /// Write the objects of declaration files to the object API
    Apply {
        /// The object API, IP:port
        #[arg(long)]
        object_api: SocketAddr,
        /// Files, or folders of .toml files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show the state of a `foxnotch node`, or the configuration, engines, drained zones and replica set that a gateway
    /// or a replica uses
    ///
    /// Examples: foxnotch status --node 10.1.0.38:7400; foxnotch status --peer 10.1.0.38:7380
    Status {
        /// The caller address of a `foxnotch node`, IP:port
        #[arg(long, required_unless_present = "peer", conflicts_with = "peer")]
        node: Option<SocketAddr>,
        /// The peer address of a gateway or a replica, IP:port
        #[arg(long)]
        peer: Option<SocketAddr>,
    },
    /// Show the gateways and replicas that a gateway or a replica knows, with their states
    ///
    /// Example: foxnotch members --node 10.1.0.38:7380
    Members {
        /// The peer address of the gateway or replica, IP:port
        #[arg(long)]
        node: SocketAddr,
    },
    /// Show the replica set as a gateway or a replica knows it, and the state of each replica
    ///
    /// Example: foxnotch replicas --node 10.1.0.38:7380
    Replicas {
        /// The peer address of the gateway or replica, IP:port
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

/// Parses the command line and runs its command.
pub fn run() -> ExitCode {
    let command = CommandLine::parse().command;
    let code = match execute(command) {
        Ok(text) => {
            print!("{text}");
            EXIT_SUCCESS
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
        Command::Gateway(flags) => processes::run(&flags, Role::Gateway),
        Command::Replica(flags) => processes::run(&flags, Role::Replica),
        Command::Status { peer: Some(peer), .. } => run_query(inspect::fetch_view_report(peer)),
        Command::Members { node } => run_query(inspect::fetch_members_report(node)),
        Command::Replicas { node } => run_query(inspect::fetch_replicas_report(node)),
        Command::Explain { identifier, logs } => {
            explain::explain(&identifier, &logs).map_err(|error| CommandError::Invalid(error.to_string()))
        }
        Command::Node { settings, check, flags } => node::run(settings.as_deref(), check, &flags),
        Command::InitialiseReplica { data_folder } => node::initialise_replica(&data_folder),
        Command::Check { files } => operator::check(&files),
        Command::Diff { object_api, files } => new_runtime()?.block_on(operator::diff(object_api, &files)),
        Command::Apply { object_api, files } => new_runtime()?.block_on(operator::apply(object_api, &files)),
        Command::Status { node: Some(node), .. } => {
            new_runtime()?.block_on(operator::fetch_json_page(node, "/v1/status"))
        }
        Command::Programs { node } => new_runtime()?.block_on(operator::fetch_json_page(node, "/v1/programs")),
        // Clap requires one of the two flags.
        Command::Status { node: None, peer: None } => Ok(String::new()),
    }
}

/// Creates a multi-threaded runtime for `foxnotch node` and the operators' commands. Gateways and replicas use a single
/// thread instead, because they share their machine with other processes.
fn new_runtime() -> Result<Runtime, CommandError> {
    let built = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    built.map_err(|error| CommandError::Other(error.into()))
}

/// Runs a query to a gateway or a replica and returns its text.
fn run_query(query: impl Future<Output = Result<String, InspectError>>) -> Result<String, CommandError> {
    new_runtime()?.block_on(query).map_err(|error| CommandError::Other(error.into()))
}
