//! The configuration in force: routes, services, limits and tenants; the engines that serve them; requests to retire a
//! replica.
//!
//! These are the product's own types. The adapter makes them from the platform's documents, nodes send them to each
//! other, and replicas store them on disk, so the names of fields are part of stored data: a new field needs a default.

use foxnotch_scheduler::residency::Residency;
use foxnotch_scheduler::slow_start::SlowStart;
use foxnotch_scheduler::tenants::Tenant;
use serde::{Deserialize, Serialize};

/// How often a request may run, and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once unless it may be resumed.
    Streaming,
}

/// A service with its share of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The service's name.
    pub service: String,
    /// Its share, relative to the others.
    pub weight: u32,
}

/// How requests of one host and path are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that it belongs to.
    pub host: String,
    /// The start of the path, with slashes at both ends.
    pub path_prefix: String,
    /// How often its requests may run.
    pub kind: RouteKind,
    /// The longest that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective: time to the answer, or to the first event, in milliseconds. 0 when there is none.
    pub objective_ms: u64,
    /// Rank: 0 goes first.
    pub priority: u8,
    /// How many engines may run one attempt of a caller, at least 1. An engine that certainly has not run it does not
    /// count, so it may be sent to more.
    pub attempts: u32,
    /// The services that share the route.
    pub backends: Vec<Backend>,
    /// Whether turns are stored, so that a later one may continue them.
    pub retain: bool,
    /// For how long they are stored, in milliseconds.
    pub retention_ms: u64,
    /// Whether a stream may run again, from the last event that the caller has. The gateway then offers a request to
    /// another engine although the first may have run it, as long as nothing has gone to the caller. A stream that
    /// breaks later is broken off: the caller resumes it with a new attempt.
    pub resumable: bool,
    /// Whether callers without a key are served.
    #[serde(default)]
    pub is_open: bool,
    /// Where its requests may be served and their content stored.
    #[serde(default)]
    pub residency: Residency,
}

impl Route {
    /// Whether a request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// What is known of a service's model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelService {
    /// Memory of each engine, in tokens: running requests and cached parts of prompts share it.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one engine takes, from all gateways together.
    pub maximum_connections: u32,
    /// Given when its engines run a model.
    pub model: Option<ModelService>,
    /// Given when its engines bear little for a while after a start.
    #[serde(default)]
    pub slow_start: Option<SlowStart>,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Bytes of the request line and headers.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Milliseconds that a caller's connection may be idle.
    pub idle_ms: u64,
}

/// Limits where the configuration states none, in bytes and milliseconds.
const DEFAULT_LIMITS: RequestLimits = RequestLimits { header_bytes: 16_384, body_bytes: 4 << 20, idle_ms: 15_000 };

impl Default for RequestLimits {
    fn default() -> Self {
        DEFAULT_LIMITS
    }
}

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version, as the operator counts; it may skip numbers. What replaces what is decided by the store's revision
    /// instead.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on requests.
    pub limits: RequestLimits,
    /// All tenants; none where requests carry no keys and belong to no tenant.
    #[serde(default)]
    pub tenants: Option<Vec<Tenant>>,
}

impl Configuration {
    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// An engine as it lists itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// Its identifier. An engine may start again under the one that it had.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens, `IP:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it will end soon: it gets no new work.
    pub draining: bool,
    /// When it started, in milliseconds of the time of day; none when its entry does not say. Another value under the
    /// same identifier is another start: it holds nothing of before.
    #[serde(default)]
    pub started_at_ms: Option<u64>,
    /// Milliseconds for which it was to stay cold when it wrote this entry, which may be old.
    #[serde(default)]
    pub cold_left_ms: u64,
}

/// The operator's request to take a replica out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetirementRequest {
    /// The node's name.
    pub name: String,
    /// The time allowed, in milliseconds. Nothing depends on it: a retirement starts at once.
    pub within_ms: u64,
    /// Whether it is reported as done.
    pub done: bool,
}
