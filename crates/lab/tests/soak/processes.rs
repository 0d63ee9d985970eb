//! The system's processes, started, signalled and ended by their identifiers.

use super::plan::{Node, GATEWAYS, REPLICAS};
use anyhow::Context;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// The port of nodes.
const PEER_PORT: u16 = 7380;
/// The port of metrics.
const METRICS_PORT: u16 = 7381;
/// Where gateways listen for callers.
const CALLER_PORT: u16 = 7400;
/// Where gateways tell whether they are ready.
const READINESS_PORT: u16 = 7401;
/// Where all nodes find the store: each through a path of its own.
const STORE_PORT: u16 = 7500;
/// Milliseconds in which a change has to be in force: wide, since all processes share this machine.
pub(crate) const CHANGE_MS: u64 = 3000;
/// Milliseconds in which a drain of a zone has to be in force.
pub(crate) const ZONE_DRAIN_MS: u64 = 5000;
/// Seconds from SIGTERM to the end.
pub(crate) const GRACE_S: u64 = 8;
/// Megabytes that a process may use.
const MEMORY_MB: u64 = 128;

/// Where everything listens: one address of the loopback network for each machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    net: u8,
}

impl Addresses {
    /// Addresses of one soak; `net` keeps several apart.
    pub(crate) fn new(net: u8) -> Self {
        Self { net }
    }

    fn ip(self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, 90, self.net, u8::try_from(number).unwrap_or(u8::MAX))
    }

    /// The machine of a node.
    pub(crate) fn of(self, node: Node) -> Ipv4Addr {
        match node {
            Node::Gateway(number) => self.ip(10 + number),
            Node::Replica(number) => self.ip(50 + number),
        }
    }

    /// Where a gateway takes callers.
    pub(crate) fn callers(self, gateway: usize) -> SocketAddr {
        (self.of(Node::Gateway(gateway)), CALLER_PORT).into()
    }

    /// Where a gateway tells whether it is ready.
    pub(crate) fn readiness(self, gateway: usize) -> SocketAddr {
        (self.of(Node::Gateway(gateway)), READINESS_PORT).into()
    }

    /// Where a node finds the store.
    pub(crate) fn store_path(self, node: Node) -> SocketAddr {
        (self.of(node), STORE_PORT).into()
    }

    /// Where the store listens.
    pub(crate) fn store(self) -> SocketAddr {
        (self.ip(200), STORE_PORT).into()
    }

    /// Where gateways find an engine.
    pub(crate) fn engine_path(self, engine: usize) -> SocketAddr {
        (self.ip(100 + engine), CALLER_PORT).into()
    }

    /// Where an engine listens.
    pub(crate) fn engine(self, engine: usize) -> SocketAddr {
        (self.ip(150 + engine), CALLER_PORT).into()
    }
}

/// All nodes.
pub(crate) fn all_nodes() -> Vec<Node> {
    (0..GATEWAYS).map(Node::Gateway).chain((0..REPLICAS).map(Node::Replica)).collect()
}

/// The name of a node.
pub(crate) fn name(node: Node) -> String {
    match node {
        Node::Gateway(number) => format!("gateway-{number}"),
        Node::Replica(number) => format!("replica-{number}"),
    }
}

/// A process of the system, running or not.
pub(crate) struct Machine {
    node: Node,
    addresses: Addresses,
    programs: Programs,
    is_upgraded: bool,
    folder: PathBuf,
    child: Option<Child>,
}

/// The builds that machines run.
#[derive(Clone, Debug)]
pub(crate) struct Programs {
    /// The product as it is.
    pub newest: PathBuf,
    /// The build that all machines begin with, if it is another one: an older one, which knows no drains of zones.
    pub older: Option<PathBuf>,
}

impl Machine {
    /// A machine on which nothing runs yet.
    pub(crate) fn new(node: Node, addresses: Addresses, programs: &Programs, folder: &Path) -> Self {
        let (programs, is_upgraded) = (programs.clone(), programs.older.is_none());
        Self { node, addresses, programs, is_upgraded, folder: folder.to_owned(), child: None }
    }

    /// Whether its next process is of the newest build.
    pub(crate) fn is_upgraded(&self) -> bool {
        self.is_upgraded
    }

    /// Its next process is of the newest build.
    pub(crate) fn upgrade(&mut self) {
        self.is_upgraded = true;
    }

    fn program(&self) -> &Path {
        match &self.programs.older {
            Some(older) if !self.is_upgraded => older,
            _ => &self.programs.newest,
        }
    }

    /// Starts its process.
    ///
    /// # Errors
    /// When files or the process cannot be made.
    pub(crate) fn start(&mut self, first_start: bool) -> anyhow::Result<()> {
        let settings = self.folder.join(format!("{}.toml", name(self.node)));
        std::fs::write(&settings, self.settings(first_start)).context("the settings cannot be written")?;
        let log = self.folder.join(format!("{}.log", name(self.node)));
        let log = File::options().create(true).append(true).open(log).context("the log cannot be opened")?;
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
        self.child = Some(child.with_context(|| format!("{} cannot be started", program.display()))?);
        Ok(())
    }

    fn settings(&self, first_start: bool) -> String {
        let seeds: Vec<String> = [Node::Gateway(0), Node::Gateway(1), Node::Replica(0)]
            .iter()
            .map(|node| format!("\"{}:{PEER_PORT}\"", self.addresses.of(*node)))
            .collect();
        let zone = match self.node {
            Node::Gateway(number) | Node::Replica(number) => ["a", "b"][number % 2],
        };
        let own = match self.node {
            Node::Gateway(number) => format!(
                "caller_address = \"{}\"\nreadiness_address = \"{}\"\n",
                self.addresses.callers(number),
                self.addresses.readiness(number)
            ),
            Node::Replica(_) => format!("data_folder = \"{}\"\n", self.data_folder().display()),
        };
        let zone_drain = if self.is_upgraded { format!("zone_drain_ms = {ZONE_DRAIN_MS}\n") } else { String::new() };
        format!(
            "node = \"{}\"\nzone = \"{zone}\"\nzones = [\"a\", \"b\"]\nip = \"{}\"\npeer_port = {PEER_PORT}\n\
             metrics_port = {METRICS_PORT}\nseeds = [{}]\nstore_address = \"{}\"\nfirst_start = {first_start}\n{own}\
             [tolerance]\nmachines = 1\n[times]\ndrain_ms = {CHANGE_MS}\napply_ms = {CHANGE_MS}\n\
             {zone_drain}grace_s = {GRACE_S}\n\
             [resources]\nmemory_mb = {MEMORY_MB}\ndescriptors = 4000\n",
            name(self.node),
            self.addresses.of(self.node),
            seeds.join(", "),
            self.addresses.store_path(self.node),
        )
    }

    fn data_folder(&self) -> PathBuf {
        self.folder.join(format!("{}-data", name(self.node)))
    }

    /// Empties a replica's folder. It must not run.
    ///
    /// # Errors
    /// When the folder cannot be removed.
    pub(crate) fn wipe(&self) -> anyhow::Result<()> {
        let folder = self.data_folder();
        if folder.exists() {
            std::fs::remove_dir_all(&folder).context("a replica's folder cannot be emptied")?;
        }
        Ok(())
    }

    /// Whether a process runs here. Returns its end, once, when it has ended.
    pub(crate) fn look(&mut self) -> (bool, Option<ExitStatus>) {
        let Some(child) = &mut self.child else { return (false, None) };
        match child.try_wait() {
            Ok(None) => (true, None),
            Ok(status) => {
                self.child = None;
                (false, status)
            }
            Err(error) => {
                eprintln!("soak: {} cannot be looked at: {error}", name(self.node));
                (true, None)
            }
        }
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.look().0 {
            return;
        }
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(Err(error)) = pid.map(|pid| kill_process(pid, signal)) {
            eprintln!("soak: {} could not be signalled: {error}", name(self.node));
        }
    }

    /// Ends the process at once and waits for its end.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended already cannot be killed; either way it is waited for.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
