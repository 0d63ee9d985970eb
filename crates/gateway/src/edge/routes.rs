//! Finds the route of a request, and chooses one of the route's services for it.

use crate::locks::lock;
use crate::logging::part;
use crate::ports::configuration::{Backend, Configuration, Route};
use foxnotch_scheduler::tenants::{KeyDenial, PresentedKey, Tenant, TenantDirectory};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// The routes of one configuration by host, and its tenants by key.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    hosts: HashMap<String, Vec<usize>>,
    tenants: Option<TenantDirectory>,
}

impl RouteTable {
    /// Indexes a configuration's routes by host, the longest path prefix first, and its tenants by key.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indexes in hosts.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(configuration.routes[*index].path_prefix.len()));
        }
        let tenants = configuration.tenants.as_deref().map(TenantDirectory::new);
        let shared_keys = tenants.as_ref().map_or(0, TenantDirectory::shared_key_count);
        if shared_keys > 0 {
            log::warn!(
                target: part::VIEW,
                "Configuration {} lists {shared_keys} keys for several tenants: each of these keys identifies only \
                 the first tenant that lists it; remove the keys from the other tenants.",
                configuration.version,
            );
        }
        Self { configuration, hosts, tenants }
    }

    /// The tenant of a request on a route. `None` when the configuration has no tenants, or when the route is open and
    /// the caller sent no key.
    ///
    /// # Errors
    /// [`KeyDenial`] when the request must carry a tenant's key and does not.
    pub fn identify_tenant(&self, key: PresentedKey, route: &Route) -> Result<Option<Arc<Tenant>>, KeyDenial> {
        let Some(tenants) = &self.tenants else { return Ok(None) };
        tenants.identify(key, route.is_open).map(|tenant| tenant.cloned())
    }

    /// The configuration that this table indexes.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The host's route with the longest path prefix that matches `path`. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let indexes = self.hosts.get(&host)?;
        let mut routes = indexes.iter().map(|index| &self.configuration.routes[*index]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }
}

/// Distributes each route's requests over its services by smooth weighted round robin.
#[derive(Debug, Default)]
pub struct ServiceBalancer {
    /// The credits by which [`Self::next_weighted_service`] chooses a service, by route and service name.
    credits: Mutex<HashMap<String, HashMap<String, i64>>>,
}

impl ServiceBalancer {
    /// The service for the next request of a route; `None` when the route has no services.
    pub fn next_service(&self, route: &Route) -> Option<String> {
        match route.backends.as_slice() {
            [] => None,
            [backend] => Some(backend.service.clone()),
            backends => Some(self.next_weighted_service(&route.name, backends)),
        }
    }

    /// Adds each service's weight to its credit, chooses the service with the highest credit, and subtracts the sum of
    /// the weights from that credit.
    fn next_weighted_service(&self, route: &str, backends: &[Backend]) -> String {
        let mut credits = lock(&self.credits);
        let credits = credits.entry(route.to_owned()).or_default();
        credits.retain(|service, _| backends.iter().any(|backend| backend.service == *service));
        let total: i64 = backends.iter().map(|backend| i64::from(backend.weight)).sum();
        let mut best: Option<(&str, i64)> = None;
        for backend in backends.iter().filter(|backend| backend.weight > 0) {
            let credit = credits.entry(backend.service.clone()).or_default();
            *credit += i64::from(backend.weight);
            if best.is_none_or(|(_, highest_credit)| *credit > highest_credit) {
                best = Some((&backend.service, *credit));
            }
        }
        let chosen = best.map_or_else(|| backends[0].service.clone(), |(service, _)| service.to_owned());
        if let Some(credit) = credits.get_mut(&chosen) {
            *credit -= total;
        }
        chosen
    }
}
