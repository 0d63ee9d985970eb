//! The product's own programs as processes, with settings as `deploy/settings.toml` gives them for a machine.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};

pub const ZONES: [&str; 4] = ["waco-hall", "temple-hall", "bryan-hall", "hico-hall"];
const PEER_PORT: u16 = 7380;
const METRICS_PORT: u16 = 7395;
const CALLER_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const CONTACT_PORT: u16 = 8144;
const STORE_PORT: u16 = 8142;
const ENGINE_PORT: u16 = 8080;

extern "C" {
    /// Of the system's C library, which the standard library links.
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// `PR_SET_PDEATHSIG` of prctl: the signal that a process gets when the thread that started it ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;
const SIGKILL: u64 = 9;

/// The loopback addresses of one run: each machine has an address of its own.
#[derive(Clone, Copy)]
pub struct Net(u8);

impl Net {
    /// Finds a third byte under which no address is in use.
    pub fn find() -> Self {
        let first = std::process::id() as u8;
        for step in 0..=255u8 {
            let net = Self(first.wrapping_add(step));
            let addresses = [net.store(), net.caller(0), net.contact(0), net.peer(0), net.engine(0)];
            if addresses.iter().all(|address| TcpListener::bind(address).is_ok()) {
                return net;
            }
        }
        panic!("no free loopback addresses");
    }

    fn ip(self, last: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, 77, self.0, last as u8)
    }

    pub fn gateway_ip(self, number: usize) -> Ipv4Addr {
        self.ip(10 + number)
    }

    pub fn replica_ip(self, number: usize) -> Ipv4Addr {
        self.ip(40 + number)
    }

    pub fn caller(self, gateway: usize) -> SocketAddr {
        (self.gateway_ip(gateway), CALLER_PORT).into()
    }

    pub fn ready(self, gateway: usize) -> SocketAddr {
        (self.gateway_ip(gateway), READY_PORT).into()
    }

    fn contact(self, gateway: usize) -> SocketAddr {
        (self.gateway_ip(gateway), CONTACT_PORT).into()
    }

    fn peer(self, gateway: usize) -> SocketAddr {
        (self.gateway_ip(gateway), PEER_PORT).into()
    }

    pub fn store(self) -> SocketAddr {
        (self.ip(200), STORE_PORT).into()
    }

    pub fn engine(self, number: usize) -> SocketAddr {
        (self.ip(100 + number), ENGINE_PORT).into()
    }
}

/// A machine with one of the two programs.
pub struct Node {
    role: &'static str,
    number: usize,
    net: Net,
    folder: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn gateway(net: Net, number: usize, folder: &Path) -> Self {
        Self { role: "gateway", number, net, folder: folder.to_owned(), child: None }
    }

    pub fn replica(net: Net, number: usize, folder: &Path) -> Self {
        Self { role: "replica", number, net, folder: folder.to_owned(), child: None }
    }

    pub fn name(&self) -> String {
        let class = if self.role == "gateway" { "edge" } else { "storage" };
        format!("{class}-{}-{}", ZONES[self.number % ZONES.len()], self.number / ZONES.len() + 1)
    }

    fn settings(&self, first_start: bool) -> String {
        let net = self.net;
        let is_gateway = self.role == "gateway";
        let ip = if is_gateway { net.gateway_ip(self.number) } else { net.replica_ip(self.number) };
        let address = |address: SocketAddr| if is_gateway { address.to_string() } else { String::new() };
        let zones: Vec<String> = ZONES.iter().map(|zone| format!("\"{zone}\"")).collect();
        let regions: Vec<String> = ZONES.iter().map(|zone| format!("\"{zone}\" = \"central-tx\"")).collect();
        let seeds: Vec<String> = (0..3).map(|number| format!("\"{}\"", net.contact(number))).collect();
        let data = if is_gateway { String::new() } else { self.data_folder().display().to_string() };
        let (memory, descriptors) = if is_gateway { (220, 4100) } else { (230, 8200) };
        format!(
            "node = \"{}\"\nzone = \"{}\"\nzones = [{}]\nregions = {{ {} }}\nip = \"{ip}\"\npeer_port = {PEER_PORT}\n\
             metrics_port = {METRICS_PORT}\ncaller_address = \"{}\"\nreadiness_address = \"{}\"\n\
             contact_address = \"{}\"\nseeds = [{}]\nstore_address = \"{}\"\nfirst_start = {first_start}\n\
             data_folder = \"{data}\"\n\n[tolerance]\nmachines = 1\nzones = 0\n\n[quota]\n\n[times]\ndrain_ms = 2000\n\
             apply_ms = 2000\ngrace_s = 8\n\n[slow_start]\n\n[resources]\nmemory_mb = {memory}\n\
             descriptors = {descriptors}\n",
            self.name(),
            ZONES[self.number % ZONES.len()],
            zones.join(","),
            regions.join(","),
            address(net.caller(self.number)),
            address(net.ready(self.number)),
            address(net.contact(self.number)),
            seeds.join(","),
            net.store(),
        )
    }

    pub fn data_folder(&self) -> PathBuf {
        self.folder.join(format!("{}-data", self.name()))
    }

    /// Starts the program with the command of the deploy file.
    pub fn start(&mut self, first_start: bool) -> std::io::Result<()> {
        let settings = self.folder.join(format!("{}.toml", self.name()));
        std::fs::write(&settings, self.settings(first_start))?;
        if self.role == "replica" {
            std::fs::create_dir_all(self.data_folder())?;
        }
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{}.log", self.name())))?;
        let mut command = Command::new("target/release/foxnotch");
        command.arg(self.role).env_clear().env("FOXNOTCH_CONFIG", &settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        // The programs are started by the main thread, so they end with this process, however it ends.
        // SAFETY: prctl may be called between fork and exec, and only sets an attribute of the new process.
        unsafe {
            command.pre_exec(|| match prctl(SET_PARENT_DEATH_SIGNAL, SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        self.child = Some(command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?);
        Ok(())
    }

    /// Ends the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
