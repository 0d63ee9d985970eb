//! Builds the components of a gateway from its settings.

use crate::buffer_budget::BufferBudget;
use crate::clock::SteadyClock;
use crate::edge::dispatch::EngineDispatcher;
use crate::edge::engine_losses::EngineLossTracker;
use crate::edge::gateway::Gateway;
use crate::edge::quotas::QuotaClient;
use crate::edge::slow_start::ColdPermitClient;
use crate::edge::tickets::TicketClient;
use crate::edge::turn_cache::TurnCache;
use crate::edge::turns::TurnClient;
use crate::edge::zone_drains::ZoneDrainRules;
use crate::engines::learned_costs::LearnedCosts;
use crate::engines::round_trips::GatewayDistances;
use crate::metrics::Metrics;
use crate::peers::engine_list::max_software_versions_of_a_service;
use crate::peers::members::Members;
use crate::peers::replica_client::{RelayGateways, ReplicaClient};
use crate::peers::rpc_client::RpcClient;
use crate::peers::view::ViewHolder;
use crate::policy::PolicySettings;
use crate::ports::counted_store::CountedStore;
use crate::ports::dialect::Dialect;
use crate::ports::store::MetadataStore;
use crate::settings::ProcessSettings;
use crate::store_watch::confirmation::EngineListConfirmation;
use anyhow::Context;
use foxnotch_turns::identity::{node_id, zone_hash};
use foxnotch_wire::NodeId;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, OnceLock};

/// Percentage of the configured memory that the bodies and messages which a gateway reads may hold. The rest is for the
/// process itself, its cache of turns and its connections.
pub const GATEWAY_BUFFER_PERCENT: u64 = 33;
/// The turn cache may use the configured memory divided by this number.
const CACHE_MEMORY_DIVISOR: u64 = 10;

/// The interfaces to the platform, implemented by its adapter.
pub struct Platform {
    /// Client of the store that holds the configuration, the list of engines and the replica set.
    pub store: Arc<dyn MetadataStore>,
    /// Reads and writes the platform's HTTP headers.
    pub dialect: Arc<dyn Dialect>,
    /// Bounds what the process holds; the client of the store uses it too.
    pub buffers: Arc<BufferBudget>,
}

/// The components that connect a gateway to other nodes and to the store. They are built before the gateway accepts
/// callers' connections.
pub(super) struct NodeParts {
    /// The identifier of this node.
    pub(super) id: NodeId,
    /// The newest known state of the platform: configuration, engines, replica set and zone drains.
    pub(super) view: Arc<ViewHolder>,
    /// The other nodes, with their addresses and states.
    pub(super) members: Arc<Members>,
    /// The metrics that this process exports.
    pub(super) metrics: Arc<Metrics>,
    /// The platform's metadata store, with calls to it counted in the metrics.
    pub(super) store: Arc<dyn MetadataStore>,
    /// Sends requests to replicas, directly or through other gateways.
    pub(super) replicas: Arc<ReplicaClient>,
    /// Reads and writes turns and budgets on replicas.
    turns: Arc<TurnClient>,
    client: Arc<RpcClient>,
    round_trips: Arc<GatewayDistances>,
}

impl NodeParts {
    /// Binds the UDP port for membership and builds the components.
    ///
    /// # Errors
    /// When the UDP port cannot be bound.
    pub(super) async fn build(settings: &ProcessSettings, platform: &Platform) -> anyhow::Result<Self> {
        let clock = SteadyClock::start();
        let id = node_id(&settings.node);
        let view = Arc::new(ViewHolder::default());
        let client = Arc::new(RpcClient::new(id).with_buffers(platform.buffers.clone()));
        let members = Members::bind(settings, clock, client.clone(), view.clone())
            .await
            .context("the UDP port peer_port cannot be bound; check that no other process uses it")?;
        view.set_watcher_role(members.watcher_role());
        let cache = TurnCache::new((settings.resources.memory_mb * 1024 * 1024 / CACHE_MEMORY_DIVISOR) as usize);
        let round_trips =
            GatewayDistances::new(settings.topology(), &settings.zone, &settings.zones, settings.distance.prices());
        let metrics = build_metrics(&view, &members, &round_trips, &platform.buffers);
        let store: Arc<dyn MetadataStore> = Arc::new(CountedStore::new(platform.store.clone(), metrics.clone()));
        let regions = settings.zone_regions();
        let relays = RelayGateways::new(members.clone()).with_regions(zone_hash(&settings.zone), regions.clone());
        let replicas = build_replica_client(client.clone(), relays, &metrics, &round_trips, settings.policy);
        let zone = zone_hash(&settings.zone);
        let turns = TurnClient::new(replicas.clone(), view.clone(), cache, zone, settings.tolerance());
        let turns = Arc::new(turns.with_metrics(metrics.clone()).with_regions(regions));
        Ok(Self { id, view, members, metrics, store, replicas, turns, client, round_trips })
    }

    /// Creates the ticket client. Its background tasks are counted in `pending_work`, so that a planned stop waits for
    /// them.
    fn build_ticket_client(&self, settings: &ProcessSettings, pending_work: &Arc<AtomicUsize>) -> Arc<TicketClient> {
        let nearby_zones = settings.topology().has_several_regions().then(|| settings.zones_of_region());
        let is_enabled = settings.policy.reserve_ahead;
        let tickets =
            TicketClient::new(self.turns.clone(), self.client.clone(), nearby_zones, is_enabled, self.metrics.clone());
        Arc::new(tickets.with_pending_work(pending_work.clone()).with_members(self.members.clone()))
    }

    /// Creates the dispatcher, which chooses engines and sends requests to them.
    fn build_dispatcher(
        &self,
        settings: &ProcessSettings,
        platform: &Platform,
        cold_permits: ColdPermitClient,
    ) -> EngineDispatcher {
        EngineDispatcher {
            zone: settings.zone.clone(),
            topology: settings.topology(),
            view: self.view.clone(),
            dialect: platform.dialect.clone(),
            members: self.members.clone(),
            engines: Arc::default(),
            costs: LearnedCosts::default(),
            round_trips: self.round_trips.clone(),
            metrics: self.metrics.clone(),
            zone_drain_rules: ZoneDrainRules::new(
                settings.times.zone_drain_limit(),
                self.members.watcher_role().times(),
            ),
            losses: Arc::new(EngineLossTracker::new(
                self.turns.clone(),
                self.members.clone(),
                self.client.clone(),
                settings.first_start,
                settings.region_zone_numbers(),
            )),
            cold_permits,
            policy: settings.policy,
        }
    }

    /// Creates the gateway from these components.
    pub(super) fn build_gateway(&self, settings: &ProcessSettings, platform: &Platform) -> Arc<Gateway> {
        let zone = zone_hash(&settings.zone);
        let (replicas, turns, metrics) = (&self.replicas, &self.turns, &self.metrics);
        let quotas = QuotaClient::new(replicas.clone(), turns.clone(), zone, metrics.clone());
        let cold_permits = ColdPermitClient::new(replicas.clone(), turns.clone(), zone, metrics.clone());
        let pending_work = Arc::new(AtomicUsize::new(0));
        let tickets = self.build_ticket_client(settings, &pending_work);
        let dispatcher = self.build_dispatcher(settings, platform, cold_permits);
        Arc::new(Gateway {
            view: self.view.clone(),
            dialect: platform.dialect.clone(),
            members: self.members.clone(),
            buffers: platform.buffers.clone(),
            metrics: metrics.clone(),
            dispatcher,
            turns: turns.clone(),
            engine_list_confirmation: EngineListConfirmation::new(self.store.clone(), self.view.clone()),
            quotas,
            tickets,
            service_balancer: Default::default(),
            policy: settings.policy,
            routes: Mutex::default(),
            applying_view: Mutex::default(),
            stop: OnceLock::new(),
            pending_work,
        })
    }
}

/// Creates the client for replicas. With the policy `relay`, the client also reaches replicas through other gateways.
fn build_replica_client(
    client: Arc<RpcClient>,
    relays: RelayGateways,
    metrics: &Arc<Metrics>,
    round_trips: &Arc<GatewayDistances>,
    policy: PolicySettings,
) -> Arc<ReplicaClient> {
    let replicas = ReplicaClient::without_relays(client).with_metrics(metrics.clone());
    let mut replicas = replicas.with_round_trips(round_trips.clone());
    if policy.relay {
        replicas = replicas.with_relays(relays);
    }
    Arc::new(replicas)
}

/// Creates the gateway's metrics, with gauges that read the view, the members and the round trips.
fn build_metrics(
    view: &Arc<ViewHolder>,
    members: &Arc<Members>,
    round_trips: &Arc<GatewayDistances>,
    buffers: &Arc<BufferBudget>,
) -> Arc<Metrics> {
    let mut metrics = Metrics::default();
    buffers.add_metrics(&mut metrics);
    round_trips.add_metrics(&mut metrics);
    let shared_view = view.clone();
    metrics.add_gauge("configuration_version", "Version of the configuration in force", move || {
        shared_view.get().configuration.value.version as i64
    });
    let shared_view = view.clone();
    metrics.add_gauge("engines_known", "Engines in the platform's list", move || {
        shared_view.get().engines.value.len() as i64
    });
    let shared_view = view.clone();
    metrics.add_gauge("engines_draining", "Engines in the platform's list that are draining", move || {
        shared_view.get().engines.value.iter().filter(|engine| engine.draining).count() as i64
    });
    let shared_view = view.clone();
    metrics.add_gauge("engine_versions", "Most software versions among the engines of one service", move || {
        max_software_versions_of_a_service(&shared_view.get().engines.value) as i64
    });
    let shared_view = view.clone();
    metrics.add_gauge(
        "zones_drained",
        "Zones whose engines get no new programs because an operator drains them",
        move || shared_view.get().zone_drains.value.zones().count() as i64,
    );
    let shared_view = view.clone();
    metrics.add_gauge("replica_set_version", "Version of the newest known replica set", move || {
        shared_view.replica_set().version as i64
    });
    let watcher_role = members.watcher_role();
    metrics.add_unconfirmed_configuration_gauges(view);
    metrics.add_gauge("store_watched", "1 while this gateway watches the platform's store itself", move || {
        i64::from(watcher_role.must_watch())
    });
    metrics.add_nodes_not_on_newest_protocol_gauge(members);
    let members = members.clone();
    metrics.add_gauge("gateways_known", "Other gateways that are not considered dead", move || {
        members.other_gateway_count() as i64
    });
    Arc::new(metrics)
}
