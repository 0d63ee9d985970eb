//! The command line of `foxnotch-lab`.

use crate::load::run::LoadSettings;
use crate::load::{run, workload};
use crate::model::engine::EngineParameters;
use crate::ports::free_ports;
use crate::sim::runner::{self, SimSettings, Trace};
use crate::stand_in::{engine, machine_list, object_api, plain};
use anyhow::Context;
use clap::{Args, Parser, Subcommand};
use foxnotch::http::HttpClient;
use foxnotch::protocol::engines::MachineList;
use foxnotch_core::guard::Guards;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use volo_http::http::Method;

/// Timeout of one readiness check.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two readiness checks.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Stand-ins for the platform, load tool and simulator of foxnotch
///
/// Exit codes: 0 success without violations; 1 error or violation; 2 wrong flags.
#[derive(Parser, Debug)]
#[command(name = "foxnotch-lab", version, propagate_version = true)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Run a stand-in for the object API
    ObjectApi {
        /// Address to listen on, IP:port
        #[arg(long)]
        address: SocketAddr,
    },
    /// Run a stand-in for the machine list
    MachineList {
        /// Address to listen on, IP:port
        #[arg(long)]
        address: SocketAddr,
        /// TOML file with the list
        #[arg(long)]
        list: PathBuf,
    },
    /// Run a stand-in for a model engine
    Engine(EngineArguments),
    /// Run a stand-in for a plain service
    Plain {
        /// Address to listen on, IP:port
        #[arg(long)]
        address: SocketAddr,
    },
    /// Run simulated worlds with faults and check the invariants
    Sim(SimArguments),
    /// Run a workload against nodes and report the results
    Load(LoadArguments),
    /// Wait until every address answers a request for a path with success
    WaitReady {
        /// Path to request
        #[arg(long, default_value = "/readyz")]
        path: String,
        /// Maximum time to wait, in seconds
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// Addresses, IP:port
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
    },
    /// Print ports that are free for TCP and UDP on the loopback address, one per line
    FreePorts {
        /// Number of ports
        count: usize,
    },
}

#[derive(Args, Debug)]
struct EngineArguments {
    /// Address to listen on, IP:port
    #[arg(long)]
    address: SocketAddr,
    /// Name of the model that the engine serves
    #[arg(long)]
    model: String,
    /// Capacity of the prefix cache in blocks
    #[arg(long, default_value_t = 4096)]
    blocks: usize,
    /// Duration of a decoding step in microseconds
    #[arg(long, default_value_t = 8000)]
    step_us: u64,
}

#[derive(Args, Debug)]
struct SimArguments {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Repeat the trace in this file, as a failed run printed it
    #[arg(long)]
    replay: Option<PathBuf>,
    /// Actions per run
    #[arg(long, default_value_t = 60)]
    steps: usize,
    /// Number of runs; each uses the next seed
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Number of threads
    #[arg(long, default_value_t = 8)]
    threads: usize,
    /// Name of a guard to disable; needs a build with the feature guard-removal
    #[arg(long)]
    without: Option<String>,
}

#[derive(Args, Debug)]
struct LoadArguments {
    /// Name of the workload: dairy or archive
    #[arg(long)]
    workload: String,
    /// Caller address of a node; may be repeated
    #[arg(long = "node", required = true)]
    nodes: Vec<SocketAddr>,
    /// Address of an engine; may be repeated
    #[arg(long = "engine")]
    engines: Vec<SocketAddr>,
    /// Seconds over which programs are opened
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Load in percent of the workload's rates
    #[arg(long, default_value_t = 100)]
    load: u32,
    /// Seed of the plan
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the report to this file as JSON
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Parses the command line, runs the command and returns the exit code.
pub fn run() -> ExitCode {
    let command = CommandLine::parse().command;
    match execute(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command. Returns whether it found no violation.
fn execute(command: Command) -> anyhow::Result<bool> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    match command {
        Command::ObjectApi { address } => runtime.block_on(object_api::run(address))?,
        Command::MachineList { address, list } => {
            let text = std::fs::read_to_string(&list).with_context(|| format!("{} cannot be read", list.display()))?;
            let list: MachineList =
                toml::from_str(&text).context("the file given by --list is not a valid machine list")?;
            runtime.block_on(machine_list::run(address, list))?;
        }
        Command::Engine(arguments) => runtime.block_on(run_engine(arguments))?,
        Command::Plain { address } => runtime.block_on(plain::run(address))?,
        Command::Sim(arguments) => return run_sim(arguments),
        Command::Load(arguments) => return runtime.block_on(run_load(arguments)),
        Command::WaitReady { path, seconds, addresses } => {
            runtime.block_on(wait_ready(&path, Duration::from_secs(seconds), &addresses))?;
        }
        Command::FreePorts { count } => {
            for port in free_ports(count)? {
                println!("{port}");
            }
        }
    }
    Ok(true)
}

fn run_sim(arguments: SimArguments) -> anyhow::Result<bool> {
    let guards = arguments.without.as_deref().map_or(Ok(Guards::default()), guards_without)?;
    if let Some(file) = &arguments.replay {
        return replay(file, guards);
    }
    let settings = SimSettings {
        seed: arguments.seed,
        steps: arguments.steps,
        runs: arguments.runs,
        threads: arguments.threads,
        guards,
    };
    let report = runner::run(settings);
    print!("{report}");
    Ok(report.failure.is_none())
}

fn replay(file: &Path, guards: Guards) -> anyhow::Result<bool> {
    let text = std::fs::read(file).with_context(|| format!("{} cannot be read", file.display()))?;
    let trace: Trace = serde_json::from_slice(&text)
        .context("the file given by --replay is not a trace; copy the line that the failed run printed")?;
    let result = runner::run_actions(trace.seed, &trace.actions, guards);
    println!("violations: {}", result.violations.len());
    for violation in &result.violations {
        println!("  {violation}");
    }
    Ok(result.violations.is_empty())
}

#[cfg(feature = "guard-removal")]
fn guards_without(name: &str) -> anyhow::Result<Guards> {
    let guard = serde_json::from_value(serde_json::Value::String(name.to_owned()));
    Ok(Guards::without(guard.with_context(|| format!("unknown guard '{name}'"))?))
}

#[cfg(not(feature = "guard-removal"))]
fn guards_without(_name: &str) -> anyhow::Result<Guards> {
    anyhow::bail!("this build cannot disable guards; build with --features guard-removal")
}

async fn run_engine(arguments: EngineArguments) -> anyhow::Result<()> {
    let parameters = EngineParameters {
        model: arguments.model,
        capacity_blocks: arguments.blocks,
        step_base_us: arguments.step_us,
        ..EngineParameters::default()
    };
    engine::run(arguments.address, parameters).await
}

async fn run_load(arguments: LoadArguments) -> anyhow::Result<bool> {
    let workload = workload::by_name(&arguments.workload)
        .with_context(|| format!("unknown workload '{}'; use dairy or archive", arguments.workload))?;
    let settings = LoadSettings {
        nodes: arguments.nodes.iter().map(ToString::to_string).collect(),
        engines: arguments.engines.iter().map(ToString::to_string).collect(),
        workload,
        load_percent: arguments.load,
        seconds: arguments.seconds,
        seed: arguments.seed,
    };
    let report = run::run(settings).await?;
    print!("{report}");
    if let Some(file) = arguments.json {
        std::fs::write(&file, serde_json::to_vec_pretty(&report)?)?;
    }
    Ok(report.is_clean())
}

async fn wait_ready(path: &str, limit: Duration, addresses: &[SocketAddr]) -> anyhow::Result<()> {
    let client = HttpClient::new()?;
    let started = std::time::Instant::now();
    for address in addresses {
        let address = address.to_string();
        loop {
            let answer = client.exchange(Method::GET, &address, path, &[], Vec::new(), READY_TIMEOUT).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                break;
            }
            anyhow::ensure!(
                started.elapsed() < limit,
                "{address} did not answer {path} with success in time; see the log of its process"
            );
            tokio::time::sleep(READY_PAUSE).await;
        }
    }
    Ok(())
}
