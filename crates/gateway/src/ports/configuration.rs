//! Types of the operator's configuration (routes, services, limits and tenants), of the engines' entries, and of
//! requests to retire a replica.
//!
//! These types do not depend on the platform. The adapter in `platform/` converts the platform's documents to them,
//! nodes send them to each other, and replicas store them on disk. Field names are therefore part of stored data, and a
//! new field needs a default.

use foxnotch_scheduler::residency::Residency;
use foxnotch_scheduler::slow_start::SlowStart;
use foxnotch_scheduler::tenants::Tenant;
use serde::{Deserialize, Serialize};

/// The kind of a route: whether engines may run one of its requests more than once, and the form of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// An engine may run the request more than once.
    Idempotent,
    /// An engine runs the request at most once for each attempt of a caller.
    NonIdempotent,
    /// The answer is a stream of events; the request runs at most once unless the route is [`Route::resumable`].
    Streaming,
}

/// A service that serves a part of a route's requests, in proportion to its weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The service's name.
    pub service: String,
    /// The service's weight, relative to the sum of the weights of the route's services.
    pub weight: u32,
}

/// The rules for the requests that have one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host of the requests that the route matches.
    pub host: String,
    /// The path prefix of the requests that the route matches, with a slash at both ends.
    pub path_prefix: String,
    /// Whether engines may run the route's requests more than once, and the form of the answers.
    pub kind: RouteKind,
    /// The longest time for which the gateway holds a request, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective: time to the answer, or to the first event of a stream, in milliseconds. 0 if there is
    /// none.
    pub objective_ms: u64,
    /// The priority of the route's requests: 0 is served first.
    pub priority: u8,
    /// The number of engines that may run the request of one attempt of a caller, at least 1. Engines that certainly
    /// did not run the request do not count, so the gateway may send it to more engines than this.
    pub attempts: u32,
    /// The services that share the route.
    pub backends: Vec<Backend>,
    /// Whether turns are stored, so that later turns may continue them.
    pub retain: bool,
    /// For how long turns are stored, in milliseconds.
    pub retention_ms: u64,
    /// Whether engines may run a streaming request more than once. If so, and no event has been sent to the caller yet,
    /// the gateway itself sends the request to another engine, even though the first engine may have run it. If the
    /// stream breaks after the first event, the gateway aborts the answer, and the caller continues the stream after
    /// its last event with a new attempt.
    pub resumable: bool,
    /// Whether callers without a key are served.
    #[serde(default)]
    pub is_open: bool,
    /// The regions in which the route's requests may be served and their content stored.
    #[serde(default)]
    pub residency: Residency,
}

impl Route {
    /// Whether engines may run a request of this route more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// Properties of the engines of a service that runs a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelService {
    /// The memory of each engine in tokens, for running requests and cached prompt parts together.
    pub memory_tokens: u64,
    /// Number of tokens in one event of an answer's stream.
    pub event_tokens: u32,
}

/// A service: engines that run the same software and can serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// The most connections that one engine accepts, from all gateways together.
    pub maximum_connections: u32,
    /// Properties of the service's engines; `None` for a plain service, whose engines run no model.
    pub model: Option<ModelService>,
    /// Set if the service's engines are cold for some time after a start, during which they can serve few requests.
    #[serde(default)]
    pub slow_start: Option<SlowStart>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// The most bytes that the request line and the headers may have together.
    pub header_bytes: usize,
    /// The most bytes that a request's body may have.
    pub body_bytes: usize,
    /// Milliseconds after which an idle connection of a caller is closed.
    pub idle_ms: u64,
}

/// The limits if the configuration sets none.
const DEFAULT_LIMITS: RequestLimits = RequestLimits { header_bytes: 16_384, body_bytes: 4 << 20, idle_ms: 15_000 };

impl Default for RequestLimits {
    fn default() -> Self {
        DEFAULT_LIMITS
    }
}

/// The configuration that an operator writes to the store: routes, services, limits and tenants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version number that the operator assigned. Numbers may be skipped. Whether one configuration replaces
    /// another depends on the store's revision, not on this number.
    pub version: u64,
    /// The rules by which requests are assigned to services.
    pub routes: Vec<Route>,
    /// The services that the routes name.
    pub services: Vec<Service>,
    /// Limits on callers' requests and connections.
    pub limits: RequestLimits,
    /// All tenants. `None` if the deployment uses no API keys; requests then belong to no tenant.
    #[serde(default)]
    pub tenants: Option<Vec<Tenant>>,
}

impl Configuration {
    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// The entry that an engine writes about itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// The engine's identifier. It may stay the same after a restart.
    pub id: String,
    /// The service to which the engine belongs.
    pub service: String,
    /// The address on which the engine listens, as `IP:port`.
    pub address: String,
    /// The engine's zone.
    pub zone: String,
    /// The number of requests that the engine runs concurrently.
    pub slots: u32,
    /// Whether the engine is about to stop and must get no new requests.
    pub draining: bool,
    /// When the engine started, in milliseconds since 1970; `None` if its entry does not state this. A different value
    /// under the same identifier means that the engine has restarted and lost its cache.
    #[serde(default)]
    pub started_at_ms: Option<u64>,
    /// The time for which the engine stays cold, in milliseconds, counted from when it wrote this entry, which may be
    /// long ago.
    #[serde(default)]
    pub cold_left_ms: u64,
    /// The version of the engine's software; empty if the engine states none. `None` if the entry came from a node or a
    /// disk of an older build, which drops this field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software_version: Option<String>,
}

/// The operator's request to retire a replica, that is, to take it out of service permanently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetirementRequest {
    /// The name of the replica's node.
    pub name: String,
    /// The time within which the operator expects the retirement, in milliseconds. The retirement starts at once; this
    /// time limits how long the replica waits for a standby to join the replica set.
    pub within_ms: u64,
    /// Whether the store's status of the retirement says that it is done.
    pub done: bool,
}
