//! The configuration in force: routes, services and limits, and the engines that serve them.

use foxnotch_scheduler::residency::Residency;
use foxnotch_scheduler::slow_start::SlowStart;
use foxnotch_scheduler::tenants::Tenant;
use serde::{Deserialize, Serialize};

/// What may be done with a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each try of a caller.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once unless it may be resumed.
    Streaming,
}

/// A service with its share of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
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
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// The time to the answer, or to the first event, that callers hope for, in milliseconds.
    pub objective_ms: u64,
    /// Rank: 0 goes first.
    pub priority: u8,
    /// Engines that one try may be sent to.
    pub attempts: u32,
    /// The services that share the route.
    pub backends: Vec<Backend>,
    /// Whether turns are kept, so that a later one may continue them.
    pub retain: bool,
    /// For how long they are kept, in milliseconds.
    pub retention_ms: u64,
    /// Whether a stream may be continued at another engine.
    pub resumable: bool,
    /// Whether callers without a key are served.
    #[serde(default)]
    pub is_open: bool,
    /// Where its requests may be served and their content kept.
    #[serde(default)]
    pub residency: Residency,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
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
    /// Tokens of memory of each engine.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one engine takes from all gateways together.
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
    /// Milliseconds that a connection may rest.
    pub idle_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4 << 20, idle_ms: 15_000 }
    }
}

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version, as the operator counts.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on requests.
    pub limits: RequestLimits,
    /// All tenants; none where requests are nobody's and carry no keys.
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
    /// Whether it is about to leave: it gets no new work.
    pub draining: bool,
    /// When it started, in milliseconds of the time of day; none when it does not tell. Another value under the same identifier
    /// is another start: it holds nothing of before.
    #[serde(default)]
    pub started_at_ms: Option<u64>,
    /// Milliseconds for which it was to stay cold when it wrote this.
    #[serde(default)]
    pub cold_left_ms: u64,
}

/// The operator's request to take a replica out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetirementRequest {
    /// The node's name.
    pub name: String,
    /// The time allowed, in milliseconds.
    pub within_ms: u64,
    /// Whether it is reported as done.
    pub done: bool,
}
