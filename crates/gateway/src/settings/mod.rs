//! The settings of a gateway or a replica: one TOML file, read once at the start and checked completely before the
//! process binds any address.
//!
//! This module defines the file's top-level table and loads it; `sections` defines the tables in it, `formats` parses
//! single values, `validate` checks them, `error` defines the errors, and `derived` computes values from them. The
//! settings depend on no other part of the process except the switches in `policy`. After SIGHUP, the file is loaded
//! again, and of its values only `seeds` is applied.

mod derived;
mod error;
mod formats;
mod sections;
mod validate;

pub use error::SettingsError;
pub use sections::{
    DistanceSettings, QuotaSettings, ReplicaSettings, ResourceSettings, SlowStartSettings, TimeSettings,
    ToleranceSettings,
};

use crate::policy::PolicySettings;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// The settings file. An unknown key is refused, since it is most likely a typing error.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The name of this node, unique in the deployment. The node's number in messages is the hash of this name.
    pub node: String,
    /// The zone of this machine, one of `zones`.
    pub zone: String,
    /// All zones of the deployment. The list has to be the same on all machines, since messages between nodes name a
    /// zone by its position in the sorted list.
    pub zones: Vec<String>,
    /// The region of each zone; by default all zones are in one region. Used to choose engines and replicas, and to
    /// serve and store requests only in the regions to which they are restricted.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// The IP address of this machine, at which it listens for other nodes and serves its metrics.
    pub ip: Ipv4Addr,
    /// The port for other nodes, both UDP and TCP; the same on all machines.
    pub peer_port: u16,
    /// The TCP port at which metrics are served.
    pub metrics_port: u16,
    /// The address at which a gateway listens for callers. Required for a gateway; not read by a replica.
    #[serde(default, deserialize_with = "formats::optional_address")]
    pub caller_address: Option<SocketAddr>,
    /// The address at which a gateway answers readiness checks. Required for a gateway; not read by a replica.
    #[serde(default, deserialize_with = "formats::optional_address")]
    pub readiness_address: Option<SocketAddr>,
    /// A further address at which this node answers other nodes, and which other nodes may list as a seed. By default
    /// the node answers only at `peer_port`.
    #[serde(default, deserialize_with = "formats::optional_address")]
    pub contact_address: Option<SocketAddr>,
    /// Contact addresses of some nodes, from which this node learns the addresses of all other nodes. Some of the seeds
    /// may be out of date. Empty by default; the node then waits until another node contacts it.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's metadata store.
    pub store_address: SocketAddr,
    /// Whether the whole deployment starts for the first time, with empty disks. If so, a replica with an empty disk
    /// is considered to have all data. Otherwise the replica first copies the data from the other replicas.
    pub first_start: bool,
    /// The folder for a replica's files. Required for a replica; a gateway stores nothing on disk.
    #[serde(default, deserialize_with = "formats::optional_path")]
    pub data_folder: Option<PathBuf>,
    /// The least severe level of log lines that are written; `info` by default.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// The machines and zones that may be lost at the same moment while all guarantees still hold.
    pub tolerance: ToleranceSettings,
    /// The size of the replica set; by default the tolerance determines it.
    #[serde(default)]
    pub replicas: ReplicaSettings,
    /// The sliding window over which tenants' limits hold, and how far the limits may be exceeded.
    #[serde(default)]
    pub quota: QuotaSettings,
    /// How far the rate of a cold engine may be exceeded.
    #[serde(default)]
    pub slow_start: SlowStartSettings,
    /// The prices of traffic between zones and between regions.
    #[serde(default)]
    pub distance: DistanceSettings,
    /// Time limits for changes in the store and for a planned stop.
    pub times: TimeSettings,
    /// Resources of the machine that the process may use.
    pub resources: ResourceSettings,
    /// Switches that turn single mechanisms off; all are on by default.
    #[serde(default)]
    pub policy: PolicySettings,
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl ProcessSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Any [`SettingsError`]: the file cannot be read or parsed, or a value is not allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable(path.to_owned(), error))?;
        let settings: Self =
            toml::from_str(&text).map_err(|error| SettingsError::Malformed(path.to_owned(), error.to_string()))?;
        settings.validate()?;
        Ok(settings)
    }
}
