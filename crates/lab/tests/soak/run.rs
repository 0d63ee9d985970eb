//! Runs a plan: starts everything, does each step at its time, waits for the recovery, and reports.

use super::callers::{Callers, Outcome, HOST};
use super::disk_watch::DiskWatch;
use super::engines::{service_of, SoakEngine, MODEL_SERVICE, PLAIN_SERVICE};
use super::ledger::{Ledger, Violation};
use super::plan::{Fault, Node, PathFault, Plan, Step, ENGINES, GATEWAYS};
use super::processes::{all_nodes, name, Addresses, Machine, Programs, GRACE_S};
use super::proxy::Proxy;
use super::store::SoakStore;
use anyhow::Context;
use foxnotch::http::HttpClient;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use volo_http::http::Method;

/// Callers at one time.
const CALLERS: usize = 12;
/// Extensions by many routes that are in force at one time; the oldest goes. Real stores bound an object to some
/// megabyte.
const MAX_EXTENSIONS: usize = 3;
/// Time between two looks at processes and steps.
const LOOK_PERIOD: Duration = Duration::from_millis(25);
/// Time after which a process that was stopped as planned is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);
/// Time beyond its grace after which a process counts as not stopped: the machine is shared by all of them.
const GRACE_MARGIN: Duration = Duration::from_secs(3);
/// Time in which everything has to be well again after the faults.
const RECOVERY_TIME: Duration = Duration::from_secs(30);
/// Pause between two looks whether something is well again.
const RECOVERY_PAUSE: Duration = Duration::from_millis(200);

/// What a soak is to do.
pub(crate) struct SoakSettings {
    /// The plan.
    pub plan: Plan,
    /// The product's programs. Every machine that is started again runs the newest one from then on.
    pub programs: Programs,
    /// Where settings, logs and data go.
    pub folder: PathBuf,
}

/// What came of a soak.
pub(crate) struct SoakReport {
    plan: Plan,
    skipped: usize,
    stalled: Duration,
    outcomes: BTreeMap<String, u64>,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed {}: {} s, {} steps", self.plan.seed, self.plan.seconds, self.plan.steps.len())?;
        let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
        for step in &self.plan.steps {
            *kinds.entry(kind_of(&step.fault)).or_default() += 1;
        }
        for (kind, count) in kinds {
            writeln!(formatter, "  step {kind}: {count}")?;
        }
        writeln!(formatter, "  steps passed over, their node being in another: {}", self.skipped)?;
        writeln!(formatter, "  this machine's disk stalled for {:.1} s", self.stalled.as_secs_f64())?;
        for (outcome, count) in &self.outcomes {
            writeln!(formatter, "  requests, {outcome}: {count}")?;
        }
        for violation in &self.violations {
            writeln!(formatter, "  BROKEN {violation}")?;
        }
        writeln!(formatter, "violations: {}", self.violations.len())
    }
}

/// The name of a fault in a plan.
fn kind_of(fault: &Fault) -> String {
    let value = serde_json::to_value(fault).unwrap_or_default();
    let word = |name: &str| value.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    [word("do"), word("how")].join(" ").trim().to_owned()
}

/// What a machine is in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Condition {
    /// Up.
    Running,
    /// Down, to be started at this time.
    Down(Instant),
    /// Paused, to go on at this time.
    Paused(Instant),
    /// Told to stop at this time.
    Stopping(Told),
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

pub(super) struct Soak {
    pub(super) disk: DiskWatch,
    pub(super) settings: SoakSettings,
    addresses: Addresses,
    pub(super) ledger: Arc<Ledger>,
    pub(super) callers: Arc<Callers>,
    pub(super) store: SoakStore,
    pub(super) engines: Vec<SoakEngine>,
    engine_ids: Vec<String>,
    engine_paths: Vec<Proxy>,
    store_paths: BTreeMap<Node, Proxy>,
    pub(super) machines: BTreeMap<Node, (Machine, Condition)>,
    /// When paths and engines are well again.
    endings: Vec<(Instant, Fault)>,
    /// Routes beside those that are asked for, by the version that brought them.
    extra_routes: BTreeMap<u64, usize>,
    skipped: usize,
}

/// Runs a plan to its end.
///
/// # Errors
/// When something cannot be started. Nothing is left running.
pub(crate) async fn run(settings: SoakSettings) -> anyhow::Result<SoakReport> {
    run_with(settings, async |soak| soak.play().await).await
}

/// Starts everything, lets callers call while `play` does what it does, and judges.
///
/// # Errors
/// When something cannot be started. Nothing is left running.
pub(super) async fn run_with(settings: SoakSettings, play: impl AsyncFnOnce(&mut Soak)) -> anyhow::Result<SoakReport> {
    std::fs::create_dir_all(&settings.folder)
        .with_context(|| format!("{} cannot be made", settings.folder.display()))?;
    let plan_file = settings.folder.join("plan.json");
    std::fs::write(&plan_file, serde_json::to_vec_pretty(&settings.plan)?).context("the plan cannot be written")?;
    let mut soak = Soak::start(settings).await?;
    soak.wait_until_well("at the start").await;
    let client = HttpClient::new()?;
    let calling: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (callers, client) = (soak.callers.clone(), client.clone());
            tokio::spawn(async move { callers.call_on(client).await })
        })
        .collect();
    play(&mut soak).await;
    soak.end_faults();
    soak.wait_until_well("after the faults").await;
    soak.upgrade_the_rest().await;
    soak.drain_in_calm().await;
    soak.callers.stop.store(true, Ordering::SeqCst);
    for caller in calling {
        caller.await.context("a caller ended by itself")?;
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
        let callers = Arc::new(Callers::new(addresses, ledger.clone()));
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
            endings: Vec::new(),
            extra_routes: BTreeMap::new(),
            skipped: 0,
        };
        for number in 0..2 * ENGINES {
            soak.list_engine(number, "ready");
        }
        soak.configure(0);
        for node in all_nodes() {
            let mut machine = Machine::new(node, addresses, &soak.settings.programs, &soak.settings.folder);
            machine.start(true)?;
            soak.machines.insert(node, (machine, Condition::Running));
        }
        Ok(soak)
    }

    /// The zone of an engine.
    pub(super) fn zone_of(engine: usize) -> &'static str {
        ["a", "b"][engine % 2]
    }

    fn list_engine(&self, number: usize, state: &str) {
        let entry = json!({
            "service": service_of(number), "address": self.addresses.engine_path(number).to_string(),
            "zone": Self::zone_of(number), "slots": 8, "state": state,
        });
        self.store.put("servers", &self.engine_ids[number], entry);
    }

    /// Writes the next version of the configuration: all routes so far, one of its own, and `more` beside it.
    pub(super) fn configure(&mut self, more: usize) {
        let version = self.callers.newest_version.load(Ordering::SeqCst) + 1;
        if more > 0 {
            self.extra_routes.insert(version, more);
        }
        if self.extra_routes.len() > MAX_EXTENSIONS {
            self.extra_routes.pop_first();
        }
        let route = |name: &str, kind: &str, service: &str, retain: bool| {
            json!({
                "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "route_type": kind, "timeout_ms": 4000,
                "target_ms": 300, "priority": 1, "service": service, "attempts": 2, "retain": retain, "retention_s": 120,
            })
        };
        let mut routes = vec![
            route("read", "idempotent", PLAIN_SERVICE, false),
            route("write", "non_idempotent", PLAIN_SERVICE, false),
            route("turn", "streaming", MODEL_SERVICE, true),
        ];
        routes.extend((1..=version).map(|known| route(&format!("v{known}"), "idempotent", PLAIN_SERVICE, false)));
        for (added, count) in &self.extra_routes {
            let names = (0..*count).map(|number| format!("w{added}-{number}"));
            routes.extend(names.map(|name| route(&name, "idempotent", PLAIN_SERVICE, false)));
        }
        let services = json!([
            {"name": PLAIN_SERVICE, "max_conns": 400},
            {"name": MODEL_SERVICE, "max_conns": 400, "engine": {"kv_capacity": 100_000, "tokens_per_event": 9}},
        ]);
        let limits = json!({"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000});
        let spec = json!({"version": version, "routes": routes, "services": services, "limits": limits});
        self.store.put("config", "main", spec);
        self.callers.newest_version.store(version, Ordering::SeqCst);
    }

    /// Does each step at its time and looks after the machines, until the time is over.
    async fn play(&mut self) {
        let begun_at = Instant::now();
        let steps = self.settings.plan.steps.clone();
        let mut steps = steps.into_iter().peekable();
        let length = Duration::from_secs(self.settings.plan.seconds);
        while begun_at.elapsed() < length {
            while steps.peek().is_some_and(|step| begun_at.elapsed() >= Duration::from_millis(step.at_ms)) {
                if let Some(step) = steps.next() {
                    self.begin(step);
                }
            }
            self.look();
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }

    fn begin(&mut self, step: Step) {
        let until = Instant::now() + Duration::from_millis(step.for_ms);
        match step.fault {
            Fault::Kill { node } => self.disturb(node, |machine| {
                machine.kill();
                Condition::Down(until)
            }),
            Fault::Pause { node } => self.disturb(node, |machine| {
                machine.signal(Signal::STOP);
                Condition::Paused(until)
            }),
            Fault::Stop { node } => self.stop(node),
            Fault::Wipe { node } => self.disturb(node, |machine| {
                machine.kill();
                if let Err(error) = machine.wipe() {
                    eprintln!("soak: {error:#}");
                }
                Condition::Down(until)
            }),
            Fault::Configure { more } => self.configure(more),
            Fault::ForgetHistory => self.store.forget_history(),
            Fault::EngineLeaves { engine } => {
                self.list_engine(engine, "draining");
                self.endings.push((until, step.fault));
            }
            Fault::StorePath { .. } | Fault::StoreDown { .. } | Fault::EnginePath { .. } | Fault::EngineFull { .. } => {
                self.set_path(&step.fault, true);
                self.endings.push((until, step.fault));
            }
        }
    }

    /// Does something to a machine that nothing else is done to.
    pub(super) fn disturb(&mut self, node: Node, act: impl FnOnce(&mut Machine) -> Condition) {
        match self.machines.get_mut(&node) {
            Some((machine, condition)) if *condition == Condition::Running => *condition = act(machine),
            _ => self.skipped += 1,
        }
    }

    pub(super) fn set_path(&self, fault: &Fault, begins: bool) {
        let how = |how: PathFault| begins.then_some(how);
        match fault {
            Fault::StorePath { node, how: fault } => {
                if let Some(path) = self.store_paths.get(node) {
                    path.set(how(*fault));
                }
            }
            Fault::StoreDown { how: fault } => self.store_paths.values().for_each(|path| path.set(how(*fault))),
            Fault::EnginePath { engine, how: fault } => self.engine_paths[*engine].set(how(*fault)),
            Fault::EngineFull { engine } => self.engines[*engine].set_full(begins),
            _ => {}
        }
    }

    /// Ends what is over, and starts again what is down.
    pub(super) fn look(&mut self) {
        let now = Instant::now();
        let longest_stop = Duration::from_secs(GRACE_S) + GRACE_MARGIN;
        let (over, lasting): (Vec<_>, Vec<_>) = self.endings.drain(..).partition(|(at, _)| *at <= now);
        self.endings = lasting;
        for (_, fault) in over {
            self.end(&fault);
        }
        for (node, (machine, condition)) in &mut self.machines {
            let (runs, ended) = machine.look();
            *condition = match *condition {
                Condition::Running if !runs => {
                    let status = ended.map_or_else(String::new, |status| status.to_string());
                    self.ledger.violate(Violation::EndedByItself { node: name(*node), status });
                    Condition::Down(now + RESTART_PAUSE)
                }
                Condition::Down(at) if at <= now => {
                    start_again(*node, machine, &self.callers);
                    Condition::Running
                }
                Condition::Paused(at) if at <= now => {
                    machine.signal(Signal::CONT);
                    Condition::Running
                }
                Condition::Stopping(_) if !runs => Condition::Down(now + RESTART_PAUSE),
                Condition::Stopping(told) if told.elapsed(&self.disk) > longest_stop => {
                    self.ledger.violate(Violation::NotStopped { node: name(*node) });
                    machine.kill();
                    Condition::Down(now)
                }
                other => other,
            };
        }
    }

    fn end(&mut self, fault: &Fault) {
        self.set_path(fault, false);
        if let Fault::EngineLeaves { engine } = fault {
            self.replace_engine(*engine);
        }
    }

    /// The engine that left is gone, and another is listed at its address.
    fn replace_engine(&mut self, number: usize) {
        self.store.remove("servers", &self.engine_ids[number]);
        let next = format!("{}x", self.engine_ids[number]);
        self.engines[number].set_id(next.clone());
        self.engine_ids[number] = next;
        self.list_engine(number, "ready");
    }

    /// Ends all faults at once.
    fn end_faults(&mut self) {
        for (_, fault) in std::mem::take(&mut self.endings) {
            self.end(&fault);
        }
        for (_, condition) in self.machines.values_mut() {
            match condition {
                Condition::Down(at) | Condition::Paused(at) => *at = Instant::now(),
                Condition::Running | Condition::Stopping(_) => {}
            }
        }
    }

    /// Waits until every gateway is ready and serves all kinds of requests by the newest configuration.
    pub(super) async fn wait_until_well(&mut self, when: &str) {
        let Ok(client) = HttpClient::new() else { return };
        let begun = Told::now(&self.disk);
        for gateway in 0..GATEWAYS {
            while let Err(what) = self.is_well(&client, gateway).await {
                self.look();
                if begun.elapsed(&self.disk) >= RECOVERY_TIME {
                    let what = format!("{when}, gateway {gateway} after {RECOVERY_TIME:?}: {what}");
                    self.ledger.violate(Violation::NotRecovered { what });
                    return;
                }
                tokio::time::sleep(RECOVERY_PAUSE).await;
            }
        }
    }

    async fn is_well(&self, client: &HttpClient, gateway: usize) -> Result<(), &'static str> {
        let address = self.addresses.readiness(gateway).to_string();
        let ready = client.exchange(Method::GET, &address, "/v1/readyz", &[], Vec::new(), RECOVERY_PAUSE * 5).await;
        if !ready.is_ok_and(|answer| answer.status.is_success()) {
            return Err("it is not ready");
        }
        if self.callers.look_at_configuration(client, gateway).await != Outcome::Done {
            return Err("it does not serve the newest route");
        }
        if self.callers.plain(client, gateway, false).await != Outcome::Done {
            return Err("it does not serve plain requests");
        }
        let turn = self.callers.run_turn(client, "recovery", &Default::default(), "hello\n").await;
        turn.map(|_| ()).ok_or("no turn is served")
    }

    /// Stops the machines that still run the older build, one after the other, each once all is well again.
    async fn upgrade_the_rest(&mut self) {
        for node in all_nodes() {
            let is_older = |soak: &Self| soak.machines.get(&node).is_some_and(|(machine, _)| !machine.is_upgraded());
            if !is_older(self) {
                continue;
            }
            while is_older(self) {
                self.look();
                if self.machines.get(&node).is_some_and(|(_, condition)| *condition == Condition::Running) {
                    self.stop(node);
                }
                tokio::time::sleep(LOOK_PERIOD).await;
            }
            self.wait_until_well(&format!("after the upgrade of {}", name(node))).await;
        }
    }

    /// Tells a machine to stop as planned; it is started again once it has ended.
    fn stop(&mut self, node: Node) {
        let told = Told::now(&self.disk);
        self.disturb(node, |machine| {
            machine.signal(Signal::TERM);
            Condition::Stopping(told)
        });
    }

    /// Continues turns that were answered whole: none may be lost.
    async fn continue_turns(&self, client: &HttpClient) {
        let begun = Told::now(&self.disk);
        for turn in self.callers.whole_turns() {
            let mut continued = self.callers.run_turn(client, "continued", &turn, "more\n").await;
            while continued.is_none() && begun.elapsed(&self.disk) < RECOVERY_TIME {
                continued = self.callers.run_turn(client, "continued", &turn, "more\n").await;
            }
            if continued.is_none() {
                let what = format!("the turn {} cannot be continued", turn.attempt);
                self.ledger.violate(Violation::NotRecovered { what });
            }
        }
    }
}

/// # Errors
/// When the program is not there.
fn check_program(program: &Path) -> anyhow::Result<()> {
    anyhow::ensure!(program.exists(), "{} is not there; run `cargo build --workspace` first", program.display());
    Ok(())
}

fn start_again(node: Node, machine: &mut Machine, callers: &Callers) {
    if let Node::Gateway(number) = node {
        callers.lives[number].fetch_add(1, Ordering::SeqCst);
    }
    machine.upgrade();
    if let Err(error) = machine.start(false) {
        eprintln!("soak: {error:#}");
    }
}
