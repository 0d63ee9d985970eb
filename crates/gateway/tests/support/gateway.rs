//! Runs a real gateway in the test's process, with a dialect of test headers, and a caller that writes HTTP as bytes.
//!
//! The gateway has its own runtime with one worker thread. It listens for callers and for readiness checks at the
//! loopback address of its number in the cluster's net. The caller opens one connection per request and returns the
//! response, complete or not.

use crate::support::cluster::{eventually, Cluster};
use crate::support::store::StubStore;
use foxnotch_gateway::buffer_budget::BufferBudget;
use foxnotch_gateway::edge::process::{self, Platform, GATEWAY_BUFFER_PERCENT};
use foxnotch_gateway::ports::configuration::{
    Backend, Configuration, EngineEntry, ModelService, RequestLimits, Route, RouteKind, Service,
};
use foxnotch_gateway::ports::dialect::{AnswerMetadata, CallMetadata, Dialect, ForwardedCall, PromptPart};
use foxnotch_gateway::ports::store::{Kind, ObjectBody};
use foxnotch_gateway::runtime::TASK_RUNS_PER_EVENT_CHECK;
use foxnotch_gateway::settings::ProcessSettings;
use foxnotch_scheduler::residency::Residency;
use foxnotch_scheduler::tenants::{KeyDigest, PresentedKey, RateLimit, Tenant};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};

/// Reads and writes the headers that the tests use in place of the platform's; their names start with `t-`.
struct TestDialect;

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

/// Parses a prompt part `ID:TOKENS`; the identifier is hexadecimal.
fn parse_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.split_once(':')?;
    Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}

impl Dialect for TestDialect {
    fn read_call(&self, headers: &HeaderMap) -> CallMetadata {
        CallMetadata {
            attempt: header_text(headers, "t-attempt").unwrap_or_default(),
            deadline_ms: header_number(headers, "t-deadline"),
            max_tokens: header_number(headers, "t-most").unwrap_or(0) as u32,
            parts: header_text(headers, "t-parts").as_deref().and_then(parse_part).into_iter().collect(),
            program: header_text(headers, "t-program"),
            token_budget: header_number(headers, "t-budget"),
            previous: header_text(headers, "t-previous"),
            last_event: header_text(headers, "t-last-event"),
            resumes: header_text(headers, "t-resumes"),
            key: headers
                .get("t-key")
                .map_or(PresentedKey::Absent, |key| PresentedKey::One(KeyDigest::of(key.as_bytes()))),
            ..CallMetadata::default()
        }
    }

    fn write_call(&self, headers: &mut HeaderMap, call: &ForwardedCall<'_>) {
        let mut set = |name: &'static str, value: &str| {
            headers.insert(
                HeaderName::from_static(name),
                HeaderValue::from_str(value).expect("the value is valid in a header"),
            );
        };
        set("t-left", &call.deadline_ms.to_string());
        set("t-engine", call.engine);
        if let Some(tenant) = call.tenant {
            set("t-tenant", tenant);
        }
        if let Some(priority) = call.priority {
            set("t-priority", &priority.to_string());
        }
    }

    fn read_answer(&self, headers: &HeaderMap) -> AnswerMetadata {
        AnswerMetadata {
            sealed: headers.contains_key("t-seal"),
            attempt: header_text(headers, "t-attempt"),
            not_executed: headers.contains_key("t-not-run"),
        }
    }

    fn readiness_path(&self) -> &str {
        "/ready"
    }
}

/// A gateway that runs in the same process as a cluster's replicas.
pub struct RunningGateway {
    /// The address to which callers connect.
    pub callers: SocketAddr,
    /// The address of the readiness check.
    pub readiness: SocketAddr,
    runtime: Option<Runtime>,
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Returns a route to the service with the same name. Streaming routes store turns.
pub fn route(name: &str, kind: RouteKind, attempts: u32) -> Route {
    Route {
        name: name.to_owned(),
        host: "h.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout_ms: 3000,
        objective_ms: 200,
        priority: 0,
        attempts,
        backends: vec![Backend { service: name.to_owned(), weight: 1 }],
        retain: kind == RouteKind::Streaming,
        retention_ms: 60_000,
        resumable: false,
        is_open: false,
        residency: Residency::default(),
    }
}

/// Returns a configuration with four routes: `read` is idempotent, `write` is not, `turn` streams turns that are
/// stored, and `draft` streams turns that are not.
pub fn configuration(version: u64) -> ObjectBody {
    let service =
        |name: &str, model| Service { name: name.to_owned(), maximum_connections: 100, model, slow_start: None };
    let model = ModelService { memory_tokens: 100_000, event_tokens: 9 };
    ObjectBody::Configuration(Configuration {
        version,
        routes: vec![
            route("read", RouteKind::Idempotent, 2),
            route("write", RouteKind::NonIdempotent, 1),
            route("turn", RouteKind::Streaming, 1),
            Route { retain: false, ..route("draft", RouteKind::Streaming, 1) },
        ],
        services: vec![
            service("read", None),
            service("write", None),
            service("turn", Some(model.clone())),
            service("draft", Some(model)),
        ],
        limits: RequestLimits { header_bytes: 16_384, body_bytes: 2000, idle_ms: 10_000 },
        tenants: None,
    })
}

/// Returns a tenant with these keys and no rate limit.
pub fn tenant(name: &str, keys: &[&str]) -> Tenant {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    Tenant { name: name.to_owned(), keys, priority: None, limit: None, residency: Residency::default() }
}

/// Adds a rate limit to a tenant.
pub fn with_rate_limit(tenant: Tenant, per_second: f64, burst: f64) -> Tenant {
    Tenant { limit: Some(RateLimit { per_second, burst }), ..tenant }
}

/// Returns the configuration of [`configuration`] with tenants. The route `read` accepts requests without a key.
pub fn configuration_with_tenants(version: u64, tenants: Vec<Tenant>) -> ObjectBody {
    let ObjectBody::Configuration(mut configuration) = configuration(version) else {
        unreachable!("configuration() returned an object of another kind")
    };
    configuration.routes[0].is_open = true;
    configuration.tenants = Some(tenants);
    ObjectBody::Configuration(configuration)
}

/// Returns the entry of an engine in zone a that is in service.
pub fn engine_entry(id: &str, service: &str, address: SocketAddr) -> EngineEntry {
    EngineEntry {
        id: id.to_owned(),
        service: service.to_owned(),
        address: address.to_string(),
        zone: "a".to_owned(),
        slots: 4,
        draining: false,
        started_at_ms: None,
        cold_left_ms: 0,
        software_version: Some(String::new()),
    }
}

/// Writes an engine's entry in zone a into the store. Returns the entry's revision.
pub fn put_engine_entry(cluster: &Cluster, id: &str, service: &str, address: SocketAddr) -> u64 {
    put_engine_entry_in_zone(cluster, id, service, address, "a", false)
}

/// Writes an engine's entry into the store. Returns the entry's revision.
pub fn put_engine_entry_in_zone(
    cluster: &Cluster,
    id: &str,
    service: &str,
    address: SocketAddr,
    zone: &str,
    draining: bool,
) -> u64 {
    let entry = EngineEntry { zone: zone.to_owned(), draining, ..engine_entry(id, service, address) };
    cluster.store.put(Kind::Engines, id, ObjectBody::Engine(entry))
}

impl RunningGateway {
    /// Kills the gateway and waits until its listeners are closed, so that another gateway can start at its
    /// address.
    pub fn kill(mut self) {
        if let Some(runtime) = self.runtime.take() {
            tokio::task::block_in_place(|| runtime.shutdown_timeout(Duration::from_secs(5)));
        }
    }

    /// Starts gateway 50 with the cluster's store.
    pub async fn start(cluster: &Cluster) -> Self {
        Self::start_with(cluster, 50, cluster.store.clone()).await
    }

    /// Starts the gateway with this number in the cluster's net, with `store` as the platform's store.
    pub async fn start_with(cluster: &Cluster, number: u8, store: StubStore) -> Self {
        Self::start_with_settings(cluster.settings(number, false), store).await
    }

    /// Like [`RunningGateway::start_with`], with settings that `change` modifies.
    pub async fn start_customized(
        cluster: &Cluster,
        number: u8,
        store: StubStore,
        change: impl FnOnce(&mut ProcessSettings),
    ) -> Self {
        let mut settings: ProcessSettings = cluster.settings(number, false);
        change(&mut settings);
        Self::start_with_settings(settings, store).await
    }

    /// Starts a gateway with these settings and this store, and waits until it listens for callers.
    pub async fn start_with_settings(mut settings: ProcessSettings, store: StubStore) -> Self {
        let callers = SocketAddr::from((settings.ip, 7400));
        let readiness = SocketAddr::from((settings.ip, 7401));
        settings.caller_address = Some(callers);
        settings.readiness_address = Some(readiness);
        settings.data_folder = None;
        let buffers = BufferBudget::of_machine(settings.resources.memory_mb, GATEWAY_BUFFER_PERCENT);
        let platform = Platform { store: Arc::new(store), dialect: Arc::new(TestDialect), buffers };
        // Like the runtime of the process, but with a thread of its own.
        let mut builder = Builder::new_multi_thread();
        builder.worker_threads(1).event_interval(TASK_RUNS_PER_EVENT_CHECK).enable_all();
        let runtime = builder.build().expect("a runtime can be created");
        runtime.spawn(async move {
            if let Err(error) = process::run(settings, PathBuf::new(), platform).await {
                eprintln!("the gateway failed: {error:#}");
            }
        });
        let gateway = Self { callers, readiness, runtime: Some(runtime) };
        eventually("the gateway listens", || std::net::TcpStream::connect(callers).is_ok()).await;
        gateway
    }

    /// Waits until the gateway's readiness check succeeds.
    pub async fn wait_ready(&self) {
        for _ in 0..500 {
            if exchange(self.readiness, b"GET /ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").await.status
                == 200
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the gateway did not become ready in 10 s");
    }

    /// Sends a request on a new connection and reads the response until the connection ends.
    pub async fn send(&self, line: &str, headers: &str, body: &str) -> Answer {
        let request = format!(
            "{line} HTTP/1.1\r\nhost: h.example\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        exchange(self.callers, request.as_bytes()).await
    }
}

/// A response as the caller received it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status; 0 if no response arrived.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// The body, without chunk boundaries.
    pub body: String,
    /// Whether the body is complete.
    pub is_whole: bool,
}

impl Answer {
    /// Returns whether the response has a `retry-after` header.
    pub fn has_retry_after(&self) -> bool {
        self.head.to_ascii_lowercase().contains("retry-after:")
    }
}

/// Sends bytes on a new connection and reads the response until the connection ends, for at most 20 s.
pub async fn exchange(address: SocketAddr, request: &[u8]) -> Answer {
    let mut bytes = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address).await {
        // The write fails if the gateway rejects the request and closes the connection before it has read everything.
        let _ = stream.write_all(request).await;
        let _ = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut bytes)).await;
    }
    parse_answer(&bytes)
}

fn parse_answer(bytes: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return Answer { status: 0, head: text, body: String::new(), is_whole: false };
    };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let lower = head.to_ascii_lowercase();
    if !lower.contains("transfer-encoding: chunked") {
        let length = lower.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
        let is_whole = length.is_none_or(|length| rest.len() == length);
        return Answer { status, head: head.to_owned(), body: rest.to_owned(), is_whole };
    }
    let mut body = String::new();
    let mut is_whole = false;
    let mut rest = rest;
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { break };
        if size == 0 {
            is_whole = true;
            break;
        }
        let Some(data) = after.get(..size) else { break };
        body.push_str(data);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    Answer { status, head: head.to_owned(), body, is_whole }
}
