//! Runs a plan: starts all processes, injects each fault at its time, waits for the recovery, and reports.

use super::callers::Callers;
use super::disk_watch::DiskWatch;
use super::engines::SoakEngine;
use super::faults::Condition;
use super::ledger::Ledger;
use super::plan::{Fault, Node, Plan, ENGINES};
use super::processes::{all_nodes, Addresses, Machine, Programs};
use super::proxy::Proxy;
use super::report::SoakReport;
use super::store::SoakStore;
use anyhow::Context;
use foxnotch::http::HttpClient;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of concurrent callers.
const CALLERS: usize = 12;
/// Interval at which the soak updates machines and starts steps.
pub(super) const UPDATE_PERIOD: Duration = Duration::from_millis(25);

/// Settings of a soak.
pub(crate) struct SoakSettings {
    /// The plan to run.
    pub plan: Plan,
    /// The builds of the product. A machine that is restarted runs the newest one from then on.
    pub programs: Programs,
    /// Folder for settings, logs and data.
    pub folder: PathBuf,
}

/// The state of a running soak.
pub(super) struct Soak {
    pub(super) disk: DiskWatch,
    pub(super) settings: SoakSettings,
    pub(super) addresses: Addresses,
    pub(super) ledger: Arc<Ledger>,
    pub(super) callers: Arc<Callers>,
    pub(super) store: SoakStore,
    pub(super) engines: Vec<SoakEngine>,
    pub(super) engine_ids: Vec<String>,
    pub(super) engine_paths: Vec<Proxy>,
    pub(super) store_paths: BTreeMap<Node, Proxy>,
    pub(super) machines: BTreeMap<Node, (Machine, Condition)>,
    /// Faults of paths and engines, with the time at which each ends.
    pub(super) active_faults: Vec<(Instant, Fault)>,
    /// Number of additional routes, by the configuration version that added them.
    pub(super) extra_routes: BTreeMap<u64, usize>,
    /// Number of steps skipped because their node was under another fault.
    pub(super) skipped: usize,
}

/// Runs all steps of a plan, then checks the recovery.
///
/// # Errors
/// When a stand-in or a process cannot be started. All processes are ended then.
pub(crate) async fn run(settings: SoakSettings) -> anyhow::Result<SoakReport> {
    run_with(settings, async |soak| soak.run_steps().await).await
}

/// Starts all processes, runs callers while `inject_faults` runs, then checks the recovery and reports.
///
/// # Errors
/// When a stand-in or a process cannot be started. All processes are ended then.
pub(super) async fn run_with(
    settings: SoakSettings,
    inject_faults: impl AsyncFnOnce(&mut Soak),
) -> anyhow::Result<SoakReport> {
    std::fs::create_dir_all(&settings.folder)
        .with_context(|| format!("the folder {} cannot be created", settings.folder.display()))?;
    let plan_file = settings.folder.join("plan.json");
    std::fs::write(&plan_file, serde_json::to_vec_pretty(&settings.plan)?).context("plan.json cannot be written")?;
    let mut soak = Soak::start(settings).await?;
    soak.wait_until_recovered("at the start").await;
    let client = HttpClient::new()?;
    let caller_tasks: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (callers, client) = (soak.callers.clone(), client.clone());
            tokio::spawn(async move { callers.run_caller(client).await })
        })
        .collect();
    inject_faults(&mut soak).await;
    soak.end_faults();
    soak.wait_until_recovered("after the faults").await;
    soak.upgrade_remaining_machines().await;
    soak.resume_streams_without_faults(&client).await;
    soak.drain_without_faults().await;
    soak.callers.stop.store(true, Ordering::SeqCst);
    for caller in caller_tasks {
        caller.await.context("a caller's task failed")?;
    }
    soak.continue_turns(&client).await;
    Ok(SoakReport {
        plan: soak.settings.plan.clone(),
        skipped: soak.skipped,
        stalled: soak.disk.stalled(),
        outcomes: soak.ledger.outcomes(),
        violations: soak.ledger.violations(),
    })
}

impl Soak {
    /// Starts the stand-ins, the proxies and the machines.
    async fn start(settings: SoakSettings) -> anyhow::Result<Self> {
        check_program(&settings.programs.newest)?;
        settings.programs.older.as_deref().map_or(Ok(()), check_program)?;
        let addresses = Addresses::new((settings.plan.seed % 250) as u8 + 1);
        let ledger = Arc::new(Ledger::default());
        let store = SoakStore::start(addresses.store());
        let mut engines = Vec::new();
        let mut engine_paths = Vec::new();
        let engine_ids: Vec<String> = (0..2 * ENGINES).map(|number| format!("e{number}-0")).collect();
        for (number, id) in engine_ids.iter().enumerate() {
            engines.push(SoakEngine::start(addresses.engine(number), number, id.clone(), ledger.clone()));
            engine_paths.push(Proxy::start(addresses.engine_path(number), addresses.engine(number)).await?);
        }
        let mut store_paths = BTreeMap::new();
        for node in all_nodes() {
            store_paths.insert(node, Proxy::start(addresses.store_path(node), addresses.store()).await?);
        }
        let callers = Arc::new(Callers::new(addresses, ledger.clone(), settings.programs.older.is_none()));
        let mut soak = Self {
            disk: DiskWatch::start(&settings.folder)?,
            settings,
            addresses,
            ledger,
            callers,
            store,
            engines,
            engine_ids,
            engine_paths,
            store_paths,
            machines: BTreeMap::new(),
            active_faults: Vec::new(),
            extra_routes: BTreeMap::new(),
            skipped: 0,
        };
        for number in 0..2 * ENGINES {
            soak.put_engine_entry(number, "ready");
        }
        soak.write_configuration(0);
        for node in all_nodes() {
            let mut machine = Machine::new(node, addresses, &soak.settings.programs, &soak.settings.folder);
            machine.start(true)?;
            soak.machines.insert(node, (machine, Condition::Running));
        }
        Ok(soak)
    }

    /// Injects the fault of each step at its time and updates the machines, until the plan's duration has passed.
    pub(super) async fn run_steps(&mut self) {
        let started_at = Instant::now();
        let steps = self.settings.plan.steps.clone();
        let mut steps = steps.into_iter().peekable();
        let length = Duration::from_secs(self.settings.plan.seconds);
        while started_at.elapsed() < length {
            while steps.peek().is_some_and(|step| started_at.elapsed() >= Duration::from_millis(step.at_ms)) {
                if let Some(step) = steps.next() {
                    self.inject(step);
                }
            }
            self.update_machines();
            tokio::time::sleep(UPDATE_PERIOD).await;
        }
    }
}

/// Checks that a program exists.
///
/// # Errors
/// When it does not exist.
fn check_program(program: &Path) -> anyhow::Result<()> {
    anyhow::ensure!(program.exists(), "{} does not exist; run `cargo build --workspace` first", program.display());
    Ok(())
}
