//! A small deployment on loopback addresses: the project's gateways and replicas, and the stand-ins for the store and
//! the engines. All processes end when the fleet is dropped.

use crate::engine::EngineArguments;
use crate::http::{exchange, Request};
use crate::record::Record;
use crate::store::Store;
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["waco-hall", "temple-hall", "bryan-hall", "hico-hall"];
const PEER_PORT: u16 = 7380;
const METRICS_PORT: u16 = 7395;
const CALLER_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const CONTACT_PORT: u16 = 8144;
const STORE_PORT: u16 = 8142;
const ENGINE_PORT: u16 = 8080;
/// Memory of a machine in megabytes, as in `sites/bvdh-rounds.toml`.
pub const GATEWAY_MEMORY_MB: u64 = 220;
pub const REPLICA_MEMORY_MB: u64 = 230;
/// The rules' `contact_ms` on the small sites, with a margin.
pub const CONTACT_TIME: Duration = Duration::from_millis(3300);
/// Time after which a case that still runs is ended with all of its processes.
const CASE_TIME: Duration = Duration::from_secs(110);

/// The processes that were started, by their ids.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Where the guard is told which processes were started and have ended.
static GUARD: Mutex<Option<ChildStdin>> = Mutex::new(None);

fn tell_guard(text: &str) {
    if let Some(guard) = GUARD.lock().unwrap().as_mut() {
        // Without the guard the processes still end with the case.
        let _ = guard.write_all(text.as_bytes());
    }
}

fn note_start(child: &Child) {
    STARTED.lock().unwrap().push(child.id());
    tell_guard(&format!("+{}\n", child.id()));
}

fn note_end(process: u32) {
    STARTED.lock().unwrap().retain(|known| *known != process);
    tell_guard(&format!("-{process}\n"));
}

fn kill_processes(processes: &[u32]) {
    if processes.is_empty() {
        return;
    }
    let ids: Vec<String> = processes.iter().map(u32::to_string).collect();
    let _ = Command::new("sh").args(["-c", &format!("kill -KILL {}", ids.join(" "))]).status();
}

/// Starts the guard, and ends the case and its processes when its time is over.
pub fn limit_time() {
    let guard =
        std::env::current_exe().and_then(|program| Command::new(program).arg("guard").stdin(Stdio::piped()).spawn());
    *GUARD.lock().unwrap() = guard.ok().and_then(|mut guard| guard.stdin.take());
    std::thread::spawn(|| {
        std::thread::sleep(CASE_TIME);
        kill_processes(&STARTED.lock().unwrap());
        eprintln!("the case could not run: its time is over");
        std::process::exit(2);
    });
}

/// Runs the guard: when the case ends, however it does, it kills the processes that have not ended.
pub fn guard() {
    let mut processes: Vec<u32> = Vec::new();
    for line in std::io::stdin().lines().map_while(Result::ok) {
        match (line.get(..1), line.get(1..).and_then(|id| id.parse().ok())) {
            (Some("+"), Some(process)) => processes.push(process),
            (Some("-"), Some(process)) => processes.retain(|known| *known != process),
            _ => {}
        }
    }
    kill_processes(&processes);
}

/// The kinds of nodes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Node {
    Gateway(usize),
    Replica(usize),
}

impl Node {
    pub fn name(self) -> String {
        match self {
            Self::Gateway(number) => format!("edge-{number}"),
            Self::Replica(number) => format!("storage-{number}"),
        }
    }
}

/// The processes and addresses of one case.
pub struct Fleet {
    net: u8,
    folder: PathBuf,
    pub record: Record,
    pub store: Store,
    nodes: Vec<(Node, Option<Child>)>,
    engines: Vec<(EngineArguments, Option<Child>)>,
}

impl Fleet {
    /// Chooses free addresses and starts the store. No other process runs yet.
    pub fn begin(record: Record) -> Result<Self, String> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("foxnotch-review-2-{process}"));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        for step in 0..40 {
            let net = 10 + ((process + step * 7) % 200) as u8;
            let address = |last: u8, port: u16| SocketAddr::from((Ipv4Addr::new(127, 83, net, last), port));
            let is_free = |last: u8, port: u16| TcpListener::bind(address(last, port)).is_ok();
            let nodes_are_free = (1..=24).all(|last| is_free(last, PEER_PORT) && is_free(last, CALLER_PORT));
            if !nodes_are_free || !(100..=112).all(|last| is_free(last, ENGINE_PORT)) {
                continue;
            }
            if let Ok(store) = Store::start(address(200, STORE_PORT)) {
                return Ok(Self { net, folder, record, store, nodes: Vec::new(), engines: Vec::new() });
            }
        }
        Err("no free addresses".to_owned())
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 83, self.net, last)
    }

    fn node_ip(&self, node: Node) -> Ipv4Addr {
        match node {
            Node::Gateway(number) => self.ip(1 + number as u8),
            Node::Replica(number) => self.ip(17 + number as u8),
        }
    }

    /// The address at which callers reach a gateway.
    pub fn caller_address(&self, gateway: usize) -> SocketAddr {
        (self.node_ip(Node::Gateway(gateway)), CALLER_PORT).into()
    }

    pub fn store_address(&self) -> SocketAddr {
        (self.ip(200), STORE_PORT).into()
    }

    /// The arguments of the engine with this number.
    pub fn engine_arguments(&self, number: usize, service: &str) -> EngineArguments {
        EngineArguments {
            id: format!("i-{number:08x}"),
            service: service.to_owned(),
            version: "v1".to_owned(),
            zone: ZONES[number % 4].to_owned(),
            address: (self.ip(100 + number as u8), ENGINE_PORT).into(),
            store: self.store_address(),
            first_beat: Duration::ZERO,
            event_period: Duration::from_millis(5),
        }
    }

    /// Starts an engine, or starts it again.
    pub fn start_engine(&mut self, arguments: EngineArguments) -> Result<(), String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let child = Command::new(program).args(arguments.to_words(&self.record)).stdin(Stdio::null()).spawn();
        let child = child.map_err(|error| error.to_string())?;
        note_start(&child);
        self.record.line(&format!("start   engine={} version={}", arguments.id, arguments.version));
        match self.engines.iter_mut().find(|(known, _)| known.id == arguments.id) {
            Some(known) => *known = (arguments, Some(child)),
            None => self.engines.push((arguments, Some(child))),
        }
        Ok(())
    }

    /// Tells an engine that its end is planned; it says so in the store.
    pub fn drain_engine(&self, id: &str) {
        let Some((known, _)) = self.engines.iter().find(|(known, _)| known.id == id) else { return };
        let headers = [("Host", known.address.to_string())];
        let request = Request { method: "POST", path: crate::engine::DRAIN_PATH, headers: &headers, body: b"" };
        exchange(known.address, &request, Duration::from_secs(1), |_| {});
    }

    /// Kills an engine.
    pub fn kill_engine(&mut self, id: &str) {
        if let Some(child) =
            self.engines.iter_mut().find(|(known, _)| known.id == id).and_then(|(_, child)| child.take())
        {
            end(child);
            self.record.line(&format!("kill    engine={id}"));
        }
    }

    fn data_folder(&self, node: Node) -> PathBuf {
        self.folder.join(format!("{}-data", node.name()))
    }

    /// The settings that the platform fills in for a node of `sites/bvdh-rounds.toml`.
    fn settings(&self, node: Node, first_start: bool) -> String {
        let ip = self.node_ip(node);
        let number = match node {
            Node::Gateway(number) | Node::Replica(number) => number,
        };
        let zones: Vec<String> = ZONES.iter().map(|zone| format!("\"{zone}\"")).collect();
        let regions: Vec<String> = ZONES.iter().map(|zone| format!("\"{zone}\" = \"central-tx\"")).collect();
        let seeds: Vec<String> =
            (0..2).map(|seed| format!("\"{}:{CONTACT_PORT}\"", self.node_ip(Node::Gateway(seed)))).collect();
        let (callers, ready, contact, data, memory, descriptors) = match node {
            Node::Gateway(_) => (
                format!("{ip}:{CALLER_PORT}"),
                format!("{ip}:{READY_PORT}"),
                format!("{ip}:{CONTACT_PORT}"),
                String::new(),
                GATEWAY_MEMORY_MB,
                4100,
            ),
            Node::Replica(_) => {
                let data = self.data_folder(node).display().to_string();
                (String::new(), String::new(), String::new(), data, REPLICA_MEMORY_MB, 8200)
            }
        };
        format!(
            "node = \"{}\"\nzone = \"{}\"\nzones = [{}]\nregions = {{ {} }}\nip = \"{ip}\"\npeer_port = {PEER_PORT}\n\
             metrics_port = {METRICS_PORT}\ncaller_address = \"{callers}\"\nreadiness_address = \"{ready}\"\n\
             contact_address = \"{contact}\"\nseeds = [{}]\nstore_address = \"{}\"\nfirst_start = {first_start}\n\
             data_folder = \"{data}\"\n[tolerance]\nmachines = 1\nzones = 0\n[quota]\n[times]\ndrain_ms = 2000\n\
             apply_ms = 2000\ngrace_s = 8\n[slow_start]\n[resources]\nmemory_mb = {memory}\n\
             descriptors = {descriptors}\n",
            node.name(),
            ZONES[number % 4],
            zones.join(","),
            regions.join(","),
            seeds.join(","),
            self.store_address(),
        )
    }

    /// Starts the process of a node with the command of the deploy file.
    pub fn start_node(&mut self, node: Node, first_start: bool) -> Result<(), String> {
        let (settings, role) = match node {
            Node::Gateway(_) => (self.settings(node, first_start), "gateway"),
            Node::Replica(_) => (self.settings(node, first_start), "replica"),
        };
        let path = self.folder.join(format!("{}.toml", node.name()));
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{}.log", node.name()));
        let log = File::options().create(true).append(true).open(log).map_err(|error| error.to_string())?;
        let error_log = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new("target/release/foxnotch");
        command.arg(role).env("FOXNOTCH_CONFIG", &path).stdin(Stdio::null()).stdout(log).stderr(error_log);
        let child = command.spawn().map_err(|error| format!("target/release/foxnotch {role}: {error}"))?;
        note_start(&child);
        self.record.line(&format!("start   {} first_start={first_start}", node.name()));
        match self.nodes.iter_mut().find(|(known, _)| *known == node) {
            Some(known) => known.1 = Some(child),
            None => self.nodes.push((node, Some(child))),
        }
        Ok(())
    }

    fn child(&mut self, node: Node) -> Option<&mut Child> {
        self.nodes.iter_mut().find(|(known, _)| *known == node).and_then(|(_, child)| child.as_mut())
    }

    /// Sends a signal, such as `TERM`, to the process of a node.
    pub fn signal(&mut self, node: Node, signal: &str) {
        let Some(process) = self.child(node).map(|child| child.id()) else { return };
        self.record.line(&format!("signal  {} {signal}", node.name()));
        let sent = Command::new("sh").args(["-c", &format!("kill -{signal} {process}")]).status();
        if !sent.is_ok_and(|status| status.success()) {
            self.record.line(&format!("signal  {} {signal} was not sent", node.name()));
        }
    }

    /// Kills the process of a node.
    pub fn kill_node(&mut self, node: Node) {
        if let Some(child) = self.nodes.iter_mut().find(|(known, _)| *known == node).and_then(|(_, child)| child.take())
        {
            end(child);
            self.record.line(&format!("kill    {}", node.name()));
        }
    }

    /// Waits until the process of a node has ended. Returns how it ended; none if it has not by the time limit.
    pub fn wait_for_end(&mut self, node: Node, limit: Duration) -> Option<String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let status = self.child(node).and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = status {
                if let Some(process) = self.child(node).map(|child| child.id()) {
                    note_end(process);
                }
                self.record.line(&format!("ended   {}: {status}", node.name()));
                return Some(status.to_string());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Stops a node as the platform does (SIGTERM, SIGKILL after 8 s), and starts it again.
    pub fn restart_node(&mut self, node: Node) -> Result<(), String> {
        self.signal(node, "TERM");
        if self.wait_for_end(node, Duration::from_secs(8)).is_none() {
            self.kill_node(node);
        }
        self.start_node(node, false)
    }

    /// The address of a gateway's readiness check.
    pub fn readiness(&self, gateway: usize) -> SocketAddr {
        (self.node_ip(Node::Gateway(gateway)), READY_PORT).into()
    }

    /// Whether a gateway says that it is ready.
    pub fn is_ready(&self, gateway: usize) -> bool {
        says_ready(self.readiness(gateway))
    }

    /// Starts the whole deployment for the first time and waits until it serves.
    pub fn start_all(&mut self, gateways: usize, replicas: usize) -> Result<(), String> {
        for number in 0..replicas {
            self.start_node(Node::Replica(number), true)?;
        }
        for number in 0..gateways {
            self.start_node(Node::Gateway(number), true)?;
        }
        self.wait_until_ready(gateways)?;
        // The replica set gets its members one after the other.
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let set = self.store.spec("foxnotch-replica-set", "main").unwrap_or_default();
            if member_count(&set) >= replicas.min(3) {
                std::thread::sleep(Duration::from_secs(2));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the replica set was not formed".to_owned())
    }

    /// Waits until all gateways are ready.
    pub fn wait_until_ready(&self, gateways: usize) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !(0..gateways).all(|gateway| self.is_ready(gateway)) {
            if Instant::now() >= until {
                return Err("the gateways are not ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Keeps the logs of the nodes in a folder.
    pub fn keep_logs(&self, folder: &Path) {
        let Ok(entries) = std::fs::read_dir(&self.folder) else { return };
        for entry in entries.flatten().filter(|entry| entry.path().extension().is_some_and(|kind| kind == "log")) {
            let _ = std::fs::copy(entry.path(), folder.join(entry.file_name()));
        }
    }
}

/// Whether the gateway with this readiness check says that it is ready.
pub fn says_ready(address: SocketAddr) -> bool {
    let headers = [("Host", "ready".to_owned())];
    let request = Request { method: "GET", path: "/v1/readyz", headers: &headers, body: b"" };
    exchange(address, &request, Duration::from_secs(1), |_| {}).status == 200
}

/// The number of members in the replica set that the product keeps in the store.
fn member_count(set: &str) -> usize {
    let members = crate::json::field(set, "members").unwrap_or("[]");
    members.matches("\"node\"").count()
}

fn end(mut child: Child) {
    // It fails if the process has ended already; `wait` is needed in any case.
    let _ = child.kill();
    let _ = child.wait();
    note_end(child.id());
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let nodes = self.nodes.drain(..).filter_map(|(_, child)| child);
        let engines = self.engines.drain(..).filter_map(|(_, child)| child);
        nodes.chain(engines).for_each(end);
        if let Ok(kept) = std::env::var("KEEP_LOGS") {
            self.keep_logs(Path::new(&kept));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
