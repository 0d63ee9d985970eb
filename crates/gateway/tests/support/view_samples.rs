//! Sample values of each part of the view, with every field set.

use foxnotch_gateway::peers::engine_list::EngineChanges;
use foxnotch_gateway::ports::configuration::{
    Backend, Configuration, EngineEntry, ModelService, RequestLimits, RetirementRequest, Route, RouteKind, Service,
};
use foxnotch_scheduler::residency::Residency;
use foxnotch_scheduler::slow_start::SlowStart;
use foxnotch_scheduler::tenants::{KeyDigest, RateLimit, Tenant};
use foxnotch_scheduler::zone_drain::ZoneDrains;

fn backend(service: &str, weight: u32) -> Backend {
    Backend { service: service.to_owned(), weight }
}

fn route(name: &str, kind: RouteKind) -> Route {
    Route {
        name: name.to_owned(),
        host: "h.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout_ms: 4000,
        objective_ms: 200,
        priority: 1,
        attempts: 2,
        backends: vec![backend("a", 90), backend("b", 10)],
        retain: true,
        retention_ms: 60_000,
        resumable: false,
        is_open: true,
        residency: Residency::restricted_unless_empty(["north".to_owned(), "south".to_owned()]),
    }
}

fn services() -> Vec<Service> {
    let model = ModelService { memory_tokens: 127_559, event_tokens: 9 };
    let slow_start = SlowStart::new(3000, 23.5);
    let plain = Service { name: "b".to_owned(), maximum_connections: 110, model: None, slow_start: None };
    vec![Service { name: "a".to_owned(), maximum_connections: 160, model: Some(model), slow_start }, plain]
}

fn tenants() -> Vec<Tenant> {
    let limit = Some(RateLimit { per_second: 390.5, burst: 12.0 });
    let keys = vec![KeyDigest::of(b"k1")];
    let residency = Residency::restricted_unless_empty(["north".to_owned()]);
    let restricted_tenant = Tenant { name: "hule930".to_owned(), keys, priority: Some(1), limit, residency };
    let residency = Residency::default();
    vec![
        restricted_tenant,
        Tenant { name: "free".to_owned(), keys: Vec::new(), priority: None, limit: None, residency },
    ]
}

/// A configuration with every field set.
pub fn configuration() -> Configuration {
    Configuration {
        version: 7,
        routes: vec![
            route("read", RouteKind::Idempotent),
            route("write", RouteKind::NonIdempotent),
            Route { residency: Residency::default(), ..route("turn", RouteKind::Streaming) },
        ],
        services: services(),
        limits: RequestLimits { header_bytes: 16_000, body_bytes: 4_000_000, idle_ms: 15_001 },
        tenants: Some(tenants()),
    }
}

/// A configuration without its optional parts: tenants, limits, residency and slow start.
pub fn minimal_configuration() -> Configuration {
    let route = Route { is_open: false, residency: Residency::default(), ..route("read", RouteKind::Idempotent) };
    let service = Service { slow_start: None, ..services().remove(0) };
    Configuration { version: 7, routes: vec![route], services: vec![service], ..Configuration::default() }
}

/// An engine with every field set.
pub fn engine(id: &str) -> EngineEntry {
    EngineEntry {
        id: id.to_owned(),
        service: "a".to_owned(),
        address: "10.0.0.9:80".to_owned(),
        zone: "z1".to_owned(),
        slots: 12,
        draining: true,
        started_at_ms: Some(1_764_716_042_123),
        cold_left_ms: 2900,
        software_version: None,
    }
}

/// Two engines: one with every field set, one with the defaults.
pub fn engines() -> Vec<EngineEntry> {
    vec![engine("i-1"), EngineEntry { draining: false, started_at_ms: None, cold_left_ms: 0, ..engine("i-2") }]
}

/// Changes of the list of engines: one changed engine and one deleted one.
pub fn engine_changes() -> EngineChanges {
    EngineChanges { changed: vec![engine("i-1")], gone: vec!["i-3".to_owned()] }
}

/// A request, not yet carried out, to retire a replica.
pub fn retirements() -> Vec<RetirementRequest> {
    vec![RetirementRequest { name: "replica-2".to_owned(), within_ms: 20_000, done: false }]
}

/// The drained zones.
pub fn zone_drains() -> ZoneDrains {
    ZoneDrains::of(["z2".to_owned(), "z1".to_owned()])
}
