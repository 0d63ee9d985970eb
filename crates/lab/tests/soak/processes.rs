//! The processes of gateways and replicas: their addresses, settings, start, signals and end.

use super::plan::{Node, GATEWAYS, REPLICAS};
use anyhow::Context;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Port on which nodes listen for each other.
const PEER_PORT: u16 = 7380;
/// Port of a node's metrics.
const METRICS_PORT: u16 = 7381;
/// Port on which gateways listen for callers.
const CALLER_PORT: u16 = 7400;
/// Port of a gateway's readiness check.
const READINESS_PORT: u16 = 7401;
/// Port of the store, and of the proxy through which each node reaches it.
const STORE_PORT: u16 = 7500;
/// Time within which nodes must apply a change; generous, because all processes share this machine.
pub(crate) const CHANGE_MS: u64 = 3000;
/// Time within which nodes must apply the drain of a zone.
pub(crate) const ZONE_DRAIN_MS: u64 = 5000;
/// Time from SIGTERM within which a process must end, in seconds.
pub(crate) const GRACE_S: u64 = 8;
/// Memory limit of a process in megabytes.
const MEMORY_LIMIT_MB: u64 = 48;

/// Addresses of all nodes and stand-ins: each has its own IP address in the loopback network.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    net: u8,
}

impl Addresses {
    /// Creates the addresses of one soak. `net` is the third byte of all IP addresses, so that soaks with different
    /// values can run at the same time.
    pub(crate) fn new(net: u8) -> Self {
        Self { net }
    }

    fn ip(self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, 90, self.net, u8::try_from(number).unwrap_or(u8::MAX))
    }

    /// IP address of a node.
    pub(crate) fn node_ip(self, node: Node) -> Ipv4Addr {
        match node {
            Node::Gateway(number) => self.ip(10 + number),
            Node::Replica(number) => self.ip(50 + number),
        }
    }

    /// Address on which a gateway listens for callers.
    pub(crate) fn caller_address(self, gateway: usize) -> SocketAddr {
        (self.node_ip(Node::Gateway(gateway)), CALLER_PORT).into()
    }

    /// Address of a gateway's readiness check.
    pub(crate) fn readiness_address(self, gateway: usize) -> SocketAddr {
        (self.node_ip(Node::Gateway(gateway)), READINESS_PORT).into()
    }

    /// Address of the proxy through which a node reaches the store.
    pub(crate) fn store_path(self, node: Node) -> SocketAddr {
        (self.node_ip(node), STORE_PORT).into()
    }

    /// Address on which the store listens.
    pub(crate) fn store(self) -> SocketAddr {
        (self.ip(200), STORE_PORT).into()
    }

    /// Address of the proxy through which gateways reach an engine.
    pub(crate) fn engine_path(self, engine: usize) -> SocketAddr {
        (self.ip(100 + engine), CALLER_PORT).into()
    }

    /// Address on which an engine listens.
    pub(crate) fn engine(self, engine: usize) -> SocketAddr {
        (self.ip(150 + engine), CALLER_PORT).into()
    }
}

/// All gateways and replicas.
pub(crate) fn all_nodes() -> Vec<Node> {
    (0..GATEWAYS).map(Node::Gateway).chain((0..REPLICAS).map(Node::Replica)).collect()
}

/// Name of a node, as in its settings.
pub(crate) fn node_name(node: Node) -> String {
    match node {
        Node::Gateway(number) => format!("gateway-{number}"),
        Node::Replica(number) => format!("replica-{number}"),
    }
}

/// The machine of a node: its data folder and its process, if one runs.
pub(crate) struct Machine {
    node: Node,
    addresses: Addresses,
    programs: Programs,
    is_upgraded: bool,
    folder: PathBuf,
    child: Option<Child>,
    /// Whether the process was found to hold more memory than its machine has.
    has_exceeded_memory: bool,
}

/// The builds of the product that machines run.
#[derive(Clone, Debug)]
pub(crate) struct Programs {
    /// The current build.
    pub newest: PathBuf,
    /// The older build with which all machines start, if any. It does not support drains of zones.
    pub older: Option<PathBuf>,
}

impl Machine {
    /// Creates a machine without a process.
    pub(crate) fn new(node: Node, addresses: Addresses, programs: &Programs, folder: &Path) -> Self {
        let (programs, is_upgraded) = (programs.clone(), programs.older.is_none());
        Self {
            node,
            addresses,
            programs,
            is_upgraded,
            folder: folder.to_owned(),
            child: None,
            has_exceeded_memory: false,
        }
    }

    /// Whether the machine's next process runs the newest build.
    pub(crate) fn is_upgraded(&self) -> bool {
        self.is_upgraded
    }

    /// Makes the machine's next process run the newest build.
    pub(crate) fn upgrade(&mut self) {
        self.is_upgraded = true;
    }

    fn program(&self) -> &Path {
        match &self.programs.older {
            Some(older) if !self.is_upgraded => older,
            _ => &self.programs.newest,
        }
    }

    /// Writes the settings and starts the process.
    ///
    /// # Errors
    /// When the settings cannot be written, the log cannot be opened or the process cannot be started.
    pub(crate) fn start(&mut self, first_start: bool) -> anyhow::Result<()> {
        let settings = self.folder.join(format!("{}.toml", node_name(self.node)));
        std::fs::write(&settings, self.settings(first_start))
            .context("the settings file of a process cannot be written")?;
        let log = self.folder.join(format!("{}.log", node_name(self.node)));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .context("the log file of a process cannot be opened")?;
        let role = if matches!(self.node, Node::Gateway(_)) { "gateway" } else { "replica" };
        let program = self.program().to_owned();
        let child = Command::new(&program)
            .arg(role)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn();
        self.has_exceeded_memory = false;
        self.child = Some(child.with_context(|| format!("{} cannot be started", program.display()))?);
        Ok(())
    }

    fn settings(&self, first_start: bool) -> String {
        let seeds: Vec<String> = [Node::Gateway(0), Node::Gateway(1), Node::Replica(0)]
            .iter()
            .map(|node| format!("\"{}:{PEER_PORT}\"", self.addresses.node_ip(*node)))
            .collect();
        let zone = match self.node {
            Node::Gateway(number) | Node::Replica(number) => ["a", "b"][number % 2],
        };
        let own = match self.node {
            Node::Gateway(number) => format!(
                "caller_address = \"{}\"\nreadiness_address = \"{}\"\n",
                self.addresses.caller_address(number),
                self.addresses.readiness_address(number)
            ),
            Node::Replica(_) => format!("data_folder = \"{}\"\n", self.data_folder().display()),
        };
        let zone_drain = if self.is_upgraded { format!("zone_drain_ms = {ZONE_DRAIN_MS}\n") } else { String::new() };
        format!(
            "node = \"{}\"\nzone = \"{zone}\"\nzones = [\"a\", \"b\"]\nip = \"{}\"\npeer_port = {PEER_PORT}\n\
             metrics_port = {METRICS_PORT}\nseeds = [{}]\nstore_address = \"{}\"\nfirst_start = {first_start}\n{own}\
             [tolerance]\nmachines = 1\n[times]\ndrain_ms = {CHANGE_MS}\napply_ms = {CHANGE_MS}\n\
             {zone_drain}grace_s = {GRACE_S}\n\
             [resources]\nmemory_mb = {MEMORY_LIMIT_MB}\ndescriptors = 4000\n",
            node_name(self.node),
            self.addresses.node_ip(self.node),
            seeds.join(", "),
            self.addresses.store_path(self.node),
        )
    }

    fn data_folder(&self) -> PathBuf {
        self.folder.join(format!("{}-data", node_name(self.node)))
    }

    /// Deletes a replica's data folder. The replica must not be running.
    ///
    /// # Errors
    /// When the folder cannot be removed.
    pub(crate) fn wipe(&self) -> anyhow::Result<()> {
        let folder = self.data_folder();
        if folder.exists() {
            std::fs::remove_dir_all(&folder).context("a replica's data folder cannot be removed")?;
        }
        Ok(())
    }

    /// Returns the most memory that the process has held, in kilobytes, if that is more than its machine has. Returns it
    /// once for each process.
    pub(crate) fn take_exceeded_memory(&mut self) -> Option<u64> {
        let peak = self.child.as_ref().and_then(|child| peak_memory_kilobytes(child.id()))?;
        let is_new = peak > MEMORY_LIMIT_MB * 1024 && !self.has_exceeded_memory;
        self.has_exceeded_memory |= is_new;
        is_new.then_some(peak)
    }

    /// Returns whether the process runs, and its exit status at the first call after it has ended.
    pub(crate) fn poll_exit(&mut self) -> (bool, Option<ExitStatus>) {
        let Some(child) = &mut self.child else { return (false, None) };
        match child.try_wait() {
            Ok(None) => (true, None),
            Ok(status) => {
                self.child = None;
                (false, status)
            }
            Err(error) => {
                eprintln!("soak: {} could not be polled: {error}", node_name(self.node));
                (true, None)
            }
        }
    }

    /// Sends a signal to the process if it runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.poll_exit().0 {
            return;
        }
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(Err(error)) = pid.map(|pid| kill_process(pid, signal)) {
            eprintln!("soak: {} could not be signalled: {error}", node_name(self.node));
        }
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // `kill` fails when the process has ended already; `wait` is needed in either case.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The most memory that a process has held, in kilobytes; none if it has ended.
fn peak_memory_kilobytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
