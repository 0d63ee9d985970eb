//! The components of a gateway that serve requests, the routes in force, and readiness.
//!
//! `handler`, `stream_call`, `whole_call`, `turn_account` and `residency` depend on this module, which depends on none
//! of them. `dispatch` chooses engines and sends requests to them.

use crate::buffer_budget::BufferBudget;
use crate::edge::dispatch::EngineDispatcher;
use crate::edge::planned_stop::PlannedStop;
use crate::edge::quotas::QuotaClient;
use crate::edge::routes::{RouteTable, ServiceBalancer};
use crate::edge::tickets::TicketClient;
use crate::edge::turns::TurnClient;
use crate::locks::lock;
use crate::metrics::Metrics;
use crate::peers::members::Members;
use crate::peers::view::ViewHolder;
use crate::policy::PolicySettings;
use crate::ports::dialect::Dialect;
use crate::store_watch::confirmation::EngineListConfirmation;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, OnceLock};

/// The components that serve requests. `parts` builds them.
pub struct Gateway {
    /// The newest known state of the platform: configuration, engines, replica set and zone drains.
    pub view: Arc<ViewHolder>,
    /// Reads and writes the platform's HTTP headers.
    pub dialect: Arc<dyn Dialect>,
    /// The other nodes, with their addresses and states.
    pub members: Arc<Members>,
    /// Bounds the memory of the bodies and messages that this process holds.
    pub buffers: Arc<BufferBudget>,
    /// The metrics that this process exports.
    pub metrics: Arc<Metrics>,
    /// Chooses engines and sends requests to them.
    pub dispatcher: EngineDispatcher,
    /// Reads and writes turns and budgets on replicas.
    pub turns: Arc<TurnClient>,
    /// Lets the store confirm the list of engines when a request depends on its being up to date.
    pub engine_list_confirmation: EngineListConfirmation,
    /// Asks replicas whether a tenant is within its limit.
    pub quotas: QuotaClient,
    /// Deposits and takes tickets for tokens that were reserved ahead.
    pub tickets: Arc<TicketClient>,
    /// Chooses the service for each request of a route that has several services.
    pub service_balancer: ServiceBalancer,
    /// Which optional mechanisms are enabled.
    pub policy: PolicySettings,
    /// The routes in force; `None` until the first configuration is applied.
    pub routes: Mutex<Option<Arc<RouteTable>>>,
    /// Locked while the view is read and applied, so that no older view replaces a newer one.
    pub applying_view: Mutex<()>,
    /// Set when a planned stop begins.
    pub stop: OnceLock<PlannedStop>,
    /// Number of requests and background tasks that a planned stop waits for.
    pub pending_work: Arc<AtomicUsize>,
}

impl Gateway {
    /// Updates the engine table and the routes from the newest view.
    ///
    /// The first configuration is applied only once the zone drains are known, or cannot become known because the store
    /// does not answer. This prevents requests from being sent to engines in drained zones.
    pub fn apply_view(&self) {
        let _applying = lock(&self.applying_view);
        let view = self.view.get();
        self.dispatcher.engines.apply_view(&view);
        self.dispatcher.zone_drain_rules.log_unknown_zones(&view);
        if view.configuration.revision == 0 {
            return;
        }
        let mut routes = lock(&self.routes);
        if routes.is_none() && !self.dispatcher.zone_drain_rules.may_apply_first_configuration(&view) {
            return;
        }
        let is_current =
            routes.as_ref().is_some_and(|table| Arc::ptr_eq(table.configuration(), &view.configuration.value));
        if !is_current {
            *routes = Some(Arc::new(RouteTable::new(view.configuration.value)));
        }
    }

    /// The routes in force; `None` until the first configuration is applied.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        lock(&self.routes).clone()
    }

    /// Whether the gateway reports itself ready: it has routes and no planned stop has begun.
    pub fn is_ready(&self) -> bool {
        self.stop.get().is_none() && self.routes().is_some()
    }
}
