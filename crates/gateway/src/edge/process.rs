//! The gateway process: binds addresses, starts the background tasks of the components that `parts` builds, and drains
//! requests before it stops.

use crate::clock::log_process_pauses;
use crate::edge::accept;
use crate::edge::gateway::Gateway;
use crate::edge::parts::NodeParts;
pub use crate::edge::parts::{Platform, GATEWAY_BUFFER_PERCENT};
use crate::edge::peer_answers::GatewayRpcHandler;
use crate::edge::planned_stop::PlannedStop;
use crate::edge::{readiness, view_loops};
use crate::engines::{load_exchange, reachability_checks};
use crate::logging::part;
use crate::metrics;
use crate::network;
use crate::peers::rpc_server;
use crate::ports::store::Kind;
use crate::settings::{ProcessSettings, SettingsError};
use crate::signals::wait_for_stop_signal;
use crate::store_followers::{ConfigurationFollower, EngineFollower, RetirementFollower, ZoneDrainFollower};
use crate::store_watch::{follow_kind, probe_store, InitialList};
use anyhow::Context;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{watch, Semaphore};

/// File descriptors reserved for connections to engines and nodes, and for files.
const RESERVED_DESCRIPTORS: u64 = 1000;
/// The lowest limit on callers' connections, used when the settings allow fewer descriptors.
const MIN_CONNECTIONS: u64 = 64;
/// Delay between the stop signal and the closing of idle connections. By the end of this delay, the platform has
/// noticed that this gateway is not ready, and directs no new connections to it.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2800);
/// Time between two checks whether all connections and pending work have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Runs a gateway until a stop signal arrives and the gateway's requests are drained. `settings_path` names the
/// settings file, whose `seeds` (contact addresses of other nodes) are read again on SIGHUP.
///
/// # Errors
/// When an address is missing in the settings or cannot be bound, or the signal handlers cannot be installed.
pub async fn run(settings: ProcessSettings, settings_path: PathBuf, platform: Platform) -> anyhow::Result<()> {
    let caller_address = settings.caller_address.ok_or(SettingsError::Missing("caller_address", "gateway"))?;
    let readiness_address = settings.readiness_address.ok_or(SettingsError::Missing("readiness_address", "gateway"))?;
    let caller_listener = network::listen(caller_address)
        .context("caller_address cannot be bound; check the address and that no other process uses it")?;
    let readiness_listener = network::listen(readiness_address)
        .context("readiness_address cannot be bound; check the address and that no other process uses it")?;
    let peer_listener = network::listen(settings.peer_address())
        .context("the TCP port peer_port cannot be bound; check that no other process uses it")?;
    let node = NodeParts::build(&settings, &platform).await?;
    let gateway = node.build_gateway(&settings, &platform);
    spawn_rpc_servers(&settings, &node, &gateway, peer_listener)?;
    tokio::spawn(log_process_pauses());
    tokio::spawn(node.members.clone().run());
    tokio::spawn(view_loops::apply_view_changes(gateway.clone()));
    let (engines, members, metrics) = (&gateway.dispatcher.engines, &node.members, &node.metrics);
    tokio::spawn(load_exchange::run(engines.clone(), members.clone(), metrics.clone()));
    tokio::spawn(reachability_checks::run(engines.clone(), members.clone(), metrics.clone()));
    tokio::spawn(gateway.dispatcher.losses.clone().pull_earlier_sends());
    tokio::spawn(gateway.dispatcher.losses.clone().exchange_suspects());
    spawn_store_tasks(&node, &gateway);
    tokio::spawn(metrics::serve(settings.metrics_address(), metrics.clone()));
    tokio::spawn(readiness::serve_readiness(readiness_listener, gateway.clone()));
    let connections = ConnectionLimit::new(&settings);
    let (close_sender, closing) = watch::channel(false);
    tokio::spawn(accept::serve(caller_listener, gateway.clone(), connections.slots.clone(), closing));
    log::info!(
        target: part::PROCESS,
        "Gateway started: node={} id={} zone={} callers={caller_address}.",
        settings.node,
        node.id,
        settings.zone,
    );
    wait_for_stop_signal(&settings_path, &node.members).await?;
    drain_requests(&settings, &gateway, &close_sender, &connections).await;
    Ok(())
}

/// Starts the servers for RPC requests of other nodes: one at the port for nodes, and one at the contact address if the
/// settings contain a contact address.
fn spawn_rpc_servers(
    settings: &ProcessSettings,
    node: &NodeParts,
    gateway: &Gateway,
    peer_listener: TcpListener,
) -> anyhow::Result<()> {
    let (members, view, replicas) = (node.members.clone(), node.view.clone(), node.replicas.clone());
    let (losses, buffers) = (gateway.dispatcher.losses.clone(), gateway.buffers.clone());
    let answers = Arc::new(GatewayRpcHandler { members, view, replicas, losses });
    tokio::spawn(rpc_server::serve(peer_listener, node.id, answers.clone(), buffers.clone()));
    if let Some(address) = settings.contact_address {
        let contact_listener = network::listen(address)
            .context("contact_address cannot be bound; check the address and that no other process uses it")?;
        tokio::spawn(rpc_server::serve(contact_listener, node.id, answers, buffers));
    }
    Ok(())
}

/// Starts the tasks that watch the platform's store, send the store's changes to other nodes, and obtain a missing
/// replica set or configuration.
fn spawn_store_tasks(node: &NodeParts, gateway: &Gateway) {
    let NodeParts { view, store, members, .. } = node;
    let role = members.watcher_role();
    let configurations = ConfigurationFollower { view: view.clone() };
    tokio::spawn(follow_kind(store.clone(), Kind::Configuration, InitialList::AtStart, role.clone(), configurations));
    let engines = EngineFollower { view: view.clone() };
    tokio::spawn(follow_kind(store.clone(), Kind::Engines, InitialList::AtStart, role.clone(), engines));
    let retirements = RetirementFollower { view: view.clone() };
    tokio::spawn(follow_kind(store.clone(), Kind::Retirements, InitialList::WhenWatching, role.clone(), retirements));
    if gateway.dispatcher.zone_drain_rules.is_enabled() {
        let drains = ZoneDrainFollower { view: view.clone() };
        tokio::spawn(follow_kind(store.clone(), Kind::ZoneDrains, InitialList::AtStart, role.clone(), drains));
    }
    tokio::spawn(probe_store(store.clone(), role));
    tokio::spawn(members.clone().send_store_updates());
    let replica_set_refresh_request = gateway.turns.replica_set_refresh_request();
    tokio::spawn(view_loops::keep_replica_set_and_configuration_known(
        store.clone(),
        members.clone(),
        view.clone(),
        replica_set_refresh_request,
    ));
}

/// Limits how many connections of callers are open at the same time.
struct ConnectionLimit {
    maximum: usize,
    slots: Arc<Semaphore>,
}

impl ConnectionLimit {
    /// Creates the limit from the number of file descriptors in the settings.
    fn new(settings: &ProcessSettings) -> Self {
        let free = settings.resources.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let maximum = free.max(MIN_CONNECTIONS) as usize;
        Self { maximum, slots: Arc::new(Semaphore::new(maximum)) }
    }

    /// Whether any caller is connected. One slot is not counted, because the accept loop always holds it for the next
    /// connection.
    fn is_any_caller_connected(&self) -> bool {
        self.maximum - self.slots.available_permits().min(self.maximum) > 1
    }
}

/// Serves the requests in flight and those that still arrive, until no connection and no pending work is left, or the
/// time of the planned stop has passed.
async fn drain_requests(
    settings: &ProcessSettings,
    gateway: &Gateway,
    close_sender: &watch::Sender<bool>,
    connections: &ConnectionLimit,
) {
    let begun_at = Instant::now();
    let stop = *gateway.stop.get_or_init(|| PlannedStop::begin(begun_at, settings.grace_period()));
    let deadline = stop.ends_at();
    log::info!(
        target: part::PROCESS,
        "The gateway is stopping and first finishes its requests and background tasks: under_way={}.",
        gateway.pending_work.load(Ordering::Relaxed),
    );
    gateway.members.leave();
    tokio::time::sleep_until((begun_at + IDLE_CLOSE_DELAY).min(deadline).into()).await;
    // Sending fails only when the accept loop and all connections have ended, so nothing is left to close.
    let _ = close_sender.send(true);
    while Instant::now() < deadline {
        if !connections.is_any_caller_connected() && gateway.pending_work.load(Ordering::Relaxed) == 0 {
            break;
        }
        tokio::time::sleep(DRAIN_POLL_PERIOD).await;
    }
    log::info!(
        target: part::PROCESS,
        "The gateway has stopped; `under_way` counts the requests and background tasks that it left unfinished: \
         under_way={} after={:?}.",
        gateway.pending_work.load(Ordering::Relaxed),
        begun_at.elapsed(),
    );
}
