//! The operator's writes to the store during a soak: the configuration and the list of engines.

use super::callers::HOST;
use super::engines::{service_of, MODEL_SERVICE, PLAIN_SERVICE};
use super::run::Soak;
use serde_json::json;
use std::sync::atomic::Ordering;

/// Maximum number of sets of additional routes in the configuration; the oldest set is removed first, because real
/// stores limit an object to a few megabytes.
const MAX_EXTENSIONS: usize = 3;

impl Soak {
    /// The zone of an engine, by its number.
    pub(super) fn zone_of(engine: usize) -> &'static str {
        ["a", "b"][engine % 2]
    }

    /// Writes an engine's entry in the store's list of engines, with a state.
    pub(super) fn put_engine_entry(&self, number: usize, state: &str) {
        let entry = json!({
            "service": service_of(number), "address": self.engine_paths[number].address().to_string(),
            "zone": Self::zone_of(number), "slots": 8, "state": state, "version": self.engines[number].version(),
        });
        self.store.put("servers", &self.engine_ids[number], entry);
    }

    /// Writes the next version of the configuration: the routes so far, a new route of this version, and `more`
    /// additional routes.
    pub(super) fn write_configuration(&mut self, more: usize) {
        let version = self.callers.newest_version.load(Ordering::SeqCst) + 1;
        if more > 0 {
            self.extra_routes.insert(version, more);
        }
        if self.extra_routes.len() > MAX_EXTENSIONS {
            self.extra_routes.pop_first();
        }
        let route = |name: &str, kind: &str, service: &str, retain: bool| {
            json!({
                "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "route_type": kind, "timeout_ms": 4000,
                "target_ms": 300, "priority": 1, "service": service, "attempts": 2, "retain": retain, "retention_s": 120,
            })
        };
        let mut routes = vec![
            route("read", "idempotent", PLAIN_SERVICE, false),
            route("write", "non_idempotent", PLAIN_SERVICE, false),
            route("turn", "streaming", MODEL_SERVICE, true),
            route("draft", "streaming", MODEL_SERVICE, false),
        ];
        routes[3]["resumable"] = json!(true);
        routes.extend((1..=version).map(|known| route(&format!("v{known}"), "idempotent", PLAIN_SERVICE, false)));
        for (added, count) in &self.extra_routes {
            let names = (0..*count).map(|number| format!("w{added}-{number}"));
            routes.extend(names.map(|name| route(&name, "idempotent", PLAIN_SERVICE, false)));
        }
        let services = json!([
            {"name": PLAIN_SERVICE, "max_conns": 400},
            {"name": MODEL_SERVICE, "max_conns": 400, "engine": {"kv_capacity": 100_000, "tokens_per_event": 9}},
        ]);
        let limits = json!({"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000});
        let spec = json!({"version": version, "routes": routes, "services": services, "limits": limits});
        self.store.put("config", "main", spec);
        self.callers.newest_version.store(version, Ordering::SeqCst);
    }
}
