//! The settings of a node. They come from a file and from flags, and are checked as a whole before any socket is bound.

use clap::Args;
use figment::providers::{Format, Serialized, Toml};
use figment::Figment;
use foxnotch_core::ownership::ReplicaNode;
use foxnotch_core::router::RoutingPolicy;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Another node that this node contacts at its start to join the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSetting {
    /// The other node's identifier.
    pub id: u32,
    /// The zone of the other node's machine.
    pub zone: u8,
    /// Address at which the other node listens for nodes.
    pub peer_address: SocketAddr,
    /// Address at which the other node listens for callers.
    pub caller_address: SocketAddr,
}

/// All settings of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This node's identifier, unique in the deployment and above 0.
    pub node: u32,
    /// The zone of this machine.
    pub zone: u8,
    /// Address to listen on for other nodes, UDP and TCP.
    pub peer_address: SocketAddr,
    /// Address to listen on for callers and operators.
    pub caller_address: SocketAddr,
    /// The folder for stored histories. A node without one is not a replica.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Address of the object API.
    pub object_api: SocketAddr,
    /// Address of the machine list.
    pub machine_list: SocketAddr,
    /// Other nodes that this node contacts at its start.
    #[serde(default)]
    pub peers: Vec<PeerSetting>,
    /// The nodes that store histories. The list must be the same on every node.
    pub replicas: Vec<ReplicaNode>,
    /// Policy by which an engine is chosen for a call.
    #[serde(default)]
    pub routing: RoutingPolicy,
    /// Time for which the history of a program that has ended is stored, in seconds.
    #[serde(default = "default_retention_seconds")]
    pub retention_seconds: u64,
    /// Size of the stored histories above which the replica stores nothing more, in megabytes.
    #[serde(default = "default_disk_limit_megabytes")]
    pub disk_limit_megabytes: u64,
    /// Maximum number of callers' requests in flight. While it is reached, new connections wait.
    #[serde(default = "default_maximum_connections")]
    pub maximum_connections: usize,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_maximum_body_bytes")]
    pub maximum_body_bytes: usize,
    /// Maximum time for which a planned stop waits for requests in flight, in seconds.
    #[serde(default = "default_drain_seconds")]
    pub drain_seconds: u64,
    /// Level of the least severe log lines that are written: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// The log file; without one, log lines go to standard error.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
}

fn default_retention_seconds() -> u64 {
    3600
}
fn default_disk_limit_megabytes() -> u64 {
    10_240
}
fn default_maximum_connections() -> usize {
    4096
}
fn default_maximum_body_bytes() -> usize {
    2 * 1024 * 1024
}
fn default_drain_seconds() -> u64 {
    120
}
fn default_log_level() -> String {
    "info".to_owned()
}

/// All settings as flags. A flag overrides the settings file.
#[derive(Args, Clone, Debug, Default, Serialize)]
pub struct SettingFlags {
    /// This node's identifier
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    node: Option<u32>,
    /// The zone of this machine
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    zone: Option<u8>,
    /// Address to listen on for other nodes, IP:port
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    peer_address: Option<SocketAddr>,
    /// Address to listen on for callers and operators, IP:port
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    caller_address: Option<SocketAddr>,
    /// The folder for stored histories
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    data_folder: Option<PathBuf>,
    /// Address of the object API, IP:port
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    object_api: Option<SocketAddr>,
    /// Address of the machine list, IP:port
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    machine_list: Option<SocketAddr>,
    /// Another node: ID,ZONE,PEER_IP:PORT,CALLER_IP:PORT; may be repeated
    #[arg(long = "peer", value_parser = parse_peer)]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    peers: Vec<PeerSetting>,
    /// A node that stores histories: ID,ZONE; may be repeated
    #[arg(long = "replica", value_parser = parse_replica)]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    replicas: Vec<ReplicaNode>,
    /// Policy by which engines are chosen: cost, round-robin, least-outstanding or session-sticky
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    routing: Option<String>,
    /// Seconds for which the history of a program that has ended is stored
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    retention_seconds: Option<u64>,
    /// Megabytes of stored histories above which the replica stores nothing more
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    disk_limit_megabytes: Option<u64>,
    /// Maximum number of callers' requests in flight; while it is reached, new connections wait
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    maximum_connections: Option<usize>,
    /// Maximum bytes of a request body
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    maximum_body_bytes: Option<usize>,
    /// Maximum seconds for which a planned stop waits for requests in flight
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    drain_seconds: Option<u64>,
    /// Level of the least severe log lines that are written
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    log_level: Option<String>,
    /// The log file
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    log_file: Option<PathBuf>,
}

fn parse_peer(text: &str) -> Result<PeerSetting, String> {
    let parts: Vec<&str> = text.split(',').collect();
    let [id, zone, peer_address, caller_address] = parts[..] else {
        return Err("use the form ID,ZONE,PEER_IP:PORT,CALLER_IP:PORT".to_owned());
    };
    Ok(PeerSetting {
        id: id.parse().map_err(|_| format!("'{id}' is not an identifier; use a whole number"))?,
        zone: zone.parse().map_err(|_| format!("'{zone}' is not a zone; use a number up to 255"))?,
        peer_address: peer_address.parse().map_err(|_| format!("'{peer_address}' is not IP:port"))?,
        caller_address: caller_address.parse().map_err(|_| format!("'{caller_address}' is not IP:port"))?,
    })
}

fn parse_replica(text: &str) -> Result<ReplicaNode, String> {
    let parsed = text.split_once(',').and_then(|(id, zone)| {
        let id = id.parse().ok()?;
        let zone = zone.parse().ok()?;
        Some(ReplicaNode { id, zone })
    });
    parsed.ok_or_else(|| "use the form ID,ZONE".to_owned())
}

/// A setting with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}; {remedy}")]
pub struct SettingProblem {
    /// Name of the setting.
    pub field: &'static str,
    /// Why the value is invalid.
    pub problem: String,
    /// How to correct it.
    pub remedy: &'static str,
}

/// Why the settings of a node cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read, or a value in the file or the flags has the wrong type.
    #[error("settings cannot be read: {0}; correct the named field, or see docs/node/OPERATIONS.md")]
    Unreadable(Box<figment::Error>),
    /// Values are invalid.
    #[error("settings are invalid: {}", join_problems(.0))]
    Invalid(Vec<SettingProblem>),
}

fn join_problems(problems: &[SettingProblem]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

impl Settings {
    /// Merges the file and the flags and checks the result.
    ///
    /// # Errors
    /// Any [`SettingsError`].
    pub fn load(file: Option<&std::path::Path>, flags: &SettingFlags) -> Result<Self, SettingsError> {
        let mut figment = Figment::new();
        if let Some(file) = file {
            figment = figment.merge(Toml::file_exact(file));
        }
        let merged = figment.merge(Serialized::defaults(flags));
        let settings: Self = merged.extract().map_err(|error| SettingsError::Unreadable(Box::new(error)))?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the range of each setting and the consistency between settings.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] with all problems found.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut problems = Vec::new();
        let mut add_problem = |field, problem: String, remedy| problems.push(SettingProblem { field, problem, remedy });
        if self.node == 0 {
            add_problem("node", "0 is not a valid identifier".to_owned(), "use a number from 1");
        }
        if self.peer_address == self.caller_address {
            add_problem("caller_address", "it is the same as peer_address".to_owned(), "use another port");
        }
        for (field, address) in [("peer_address", self.peer_address), ("caller_address", self.caller_address)] {
            if address.ip().is_unspecified() {
                add_problem(
                    field,
                    format!("other nodes cannot connect to the unspecified address {address}"),
                    "use an IP address of this machine",
                );
            }
        }
        let mut seen = BTreeSet::from([self.node]);
        for peer in &self.peers {
            if peer.id != self.node && !seen.insert(peer.id) {
                add_problem("peers", format!("node {} is listed twice", peer.id), "list each node once");
            }
        }
        let replicas: BTreeSet<u32> = self.replicas.iter().map(|replica| replica.id).collect();
        if replicas.is_empty() || replicas.len() != self.replicas.len() {
            add_problem(
                "replicas",
                "the list is empty or has a node twice".to_owned(),
                "list each replica once; three are recommended",
            );
        }
        if replicas.contains(&self.node) != self.data_folder.is_some() {
            let problem = "a node has a data folder if and only if it is listed in replicas".to_owned();
            add_problem("data_folder", problem, "set both or neither");
        }
        if self.disk_limit_megabytes == 0 {
            add_problem("disk_limit_megabytes", "a limit of 0 allows no histories".to_owned(), "use at least 1");
        }
        if self.maximum_connections == 0 {
            add_problem("maximum_connections", "a limit of 0 allows no requests".to_owned(), "use at least 1");
        }
        if self.maximum_body_bytes == 0 || self.maximum_body_bytes > MAX_BODY_BYTES_LIMIT {
            add_problem("maximum_body_bytes", "the value is out of range".to_owned(), "use 1 to 2097152");
        }
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            let problem = format!("'{}' is not a log level", self.log_level);
            add_problem("log_level", problem, "use error, warn, info, debug or trace");
        }
        if problems.is_empty() {
            Ok(())
        } else {
            Err(SettingsError::Invalid(problems))
        }
    }
}

/// Highest value of `maximum_body_bytes`: the longest body that fits into a history entry.
const MAX_BODY_BYTES_LIMIT: usize = 2 * 1024 * 1024;
