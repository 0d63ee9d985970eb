//! The process of `foxnotch node`: start, run and planned stop.

use crate::api::{router, ApiState, InFlight, LimitedIncoming};
use crate::backend::{run_machine_list, Backends, ObjectStore};
use crate::driver::{create_channels, wall_clock, Driver, NodeHandle};
use crate::http::HttpClient;
use crate::logging::{self, part};
use crate::metrics::ApiMetrics;
use crate::settings::Settings;
use crate::storage::{spawn_writer, Storage, StorageEvent, WriteBatch};
use crate::transport::{member_address, run_datagrams, run_listener, PeerSender, TrafficCounters};
use anyhow::Context;
use foxnotch_core::effect::Event;
use foxnotch_core::guard::Guards;
use foxnotch_core::node::{Disk, Node, NodeConfig};
use foxnotch_wire::{MemberState, MemberUpdate, NodeId};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use volo_http::server::Server;

/// Interval at which a planned stop checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time for which a stopping node goes on answering requests after it has announced that it leaves, so that the
/// announcement reaches all other nodes.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(1500);
/// Number of bytes in a megabyte, the unit of `disk_limit_megabytes`.
const MEGABYTE: u64 = 1024 * 1024;

/// Runs a node until the process receives a termination signal or the disk fails.
///
/// # Errors
/// When logging cannot be started, an address cannot be bound, or the disk cannot be used or fails later.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    logging::start(&settings)?;
    let sockets = Sockets::bind(&settings).await?;
    let (handle, events, input) = create_channels();
    let disk = open_disk(&settings, &events)?;
    let node = Node::new(node_config(&settings, disk.content), wall_clock());
    let client = HttpClient::new()?;
    let traffic = TrafficCounters::default();
    let datagrams = Arc::new(sockets.datagrams);
    let peers = PeerSender::new(NodeId(settings.node), datagrams.clone(), events.clone(), traffic.clone());
    let store = ObjectStore::new(client.clone(), settings.object_api);
    let backends = Backends::new(client.clone(), events.clone(), store);
    let driver = Driver::new(node, peers, backends, disk.writer);

    tokio::spawn(driver.run(input));
    tokio::spawn(run_listener(sockets.peers, events.clone()));
    tokio::spawn(run_datagrams(datagrams, events.clone()));
    tokio::spawn(run_machine_list(client.clone(), settings.machine_list, events));

    let in_flight = InFlight::default();
    let state = ApiState {
        node: handle.clone(),
        client,
        maximum_body_bytes: settings.maximum_body_bytes,
        in_flight: in_flight.clone(),
        metrics: Arc::new(ApiMetrics::new(traffic)),
    };
    let incoming = LimitedIncoming::new(sockets.callers, settings.maximum_connections, &in_flight);
    log::info!(target: part::PROCESS, "Node {} serves callers on {}.", settings.node, settings.caller_address);
    let limit = Duration::from_secs(settings.drain_seconds);
    let hook_handle = handle.clone();
    let hook_in_flight = in_flight.clone();
    let server = Server::new(router(state)).register_shutdown_hook(move || {
        Box::pin(async move {
            drain(&hook_handle, &hook_in_flight, limit).await;
            // Ends the process here, because the server would go on waiting for idle connections to close.
            std::process::exit(0);
        })
    });
    tokio::select! {
        served = server.run(incoming) => served.map_err(|error| anyhow::anyhow!("the HTTP server ended: {error}")),
        () = disk.failed => anyhow::bail!("the disk failed; see the log lines of part 'disk'"),
    }
}

/// The sockets that the node listens on.
struct Sockets {
    peers: TcpListener,
    datagrams: UdpSocket,
    callers: TcpListener,
}

impl Sockets {
    async fn bind(settings: &Settings) -> anyhow::Result<Self> {
        let Settings { peer_address, caller_address, .. } = settings;
        let peers = TcpListener::bind(peer_address)
            .await
            .with_context(|| format!("peer_address {peer_address} cannot be bound; free the port or choose another"))?;
        let datagrams = UdpSocket::bind(peer_address).await.with_context(|| {
            format!("peer_address {peer_address} cannot be bound for datagrams; free the port or choose another")
        })?;
        let callers = TcpListener::bind(caller_address).await.with_context(|| {
            format!("caller_address {caller_address} cannot be bound; free the port or choose another")
        })?;
        Ok(Self { peers, datagrams, callers })
    }
}

/// The opened storage of a replica. A node without a data folder has neither content nor writer.
struct OpenedDisk<F> {
    /// Content of the disk at the start.
    content: Disk,
    /// Sends batches to the writer thread.
    writer: Option<std::sync::mpsc::Sender<WriteBatch>>,
    /// A future that completes when the disk fails.
    failed: F,
}

fn open_disk(
    settings: &Settings,
    events: &mpsc::Sender<Event>,
) -> anyhow::Result<OpenedDisk<impl std::future::Future<Output = ()>>> {
    let (failed_sender, mut failed_receiver) = mpsc::channel::<()>(1);
    let failed = async move {
        if failed_receiver.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    };
    let Some(folder) = &settings.data_folder else {
        return Ok(OpenedDisk { content: Disk::None, writer: None, failed });
    };
    let mut storage = Storage::open(folder, settings.disk_limit_megabytes * MEGABYTE)?;
    let content = storage.recover(wall_clock().0)?;
    match &content {
        Disk::Recovered(state) => log::info!(target: part::DISK, "{} histories were read from disk.", state.logs.len()),
        Disk::Empty(_) => {
            log::warn!(target: part::DISK, "The disk is empty: the replica is refilled before it votes.")
        }
        Disk::None => {}
    }
    let events = events.clone();
    let report = move |event| match event {
        StorageEvent::Written(ticket) => events.blocking_send(Event::Persisted(ticket)).is_ok(),
        StorageEvent::Full(full) => events.blocking_send(Event::DiskFull(full)).is_ok(),
        StorageEvent::Failed => failed_sender.blocking_send(()).is_ok(),
    };
    Ok(OpenedDisk { content, writer: Some(spawn_writer(storage, report)), failed })
}

fn node_config(settings: &Settings, disk: Disk) -> NodeConfig {
    let member_update = |id, zone, address, incarnation| MemberUpdate {
        node: NodeId(id),
        state: MemberState::Alive,
        incarnation,
        zone,
        address,
        config_revision: 0,
    };
    let own_address = member_address(settings.peer_address, settings.caller_address);
    let seeds = settings.peers.iter().map(|peer| {
        let address = member_address(peer.peer_address, peer.caller_address);
        member_update(peer.id, peer.zone, address, 0)
    });
    NodeConfig {
        own: member_update(settings.node, settings.zone, own_address, wall_clock().0),
        seeds: seeds.collect(),
        replicas: settings.replicas.clone(),
        routing: settings.routing,
        disk,
        guards: Guards::default(),
        retention_ms: settings.retention_seconds * 1000,
    }
}

/// Announces that the node leaves, then waits until nothing is in flight, a second signal arrives, or `limit` has
/// passed.
async fn drain(node: &NodeHandle, in_flight: &InFlight, limit: Duration) {
    log::info!(target: part::PROCESS, "Stopping: no new work is accepted.");
    node.send_event(Event::Drain).await;
    let finished = async {
        tokio::time::sleep(MIN_DRAIN_TIME).await;
        while in_flight.count() > 0 || !node.is_drained().await {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = finished => log::info!(target: part::PROCESS, "Stopped: no request is in flight."),
        () = second_signal() => log::warn!(target: part::PROCESS, "Stopped by a second signal."),
        () = tokio::time::sleep(limit) => {
            log::warn!(target: part::PROCESS, "Stopped because drain_seconds have passed, with {} requests still in flight.", in_flight.count());
        }
    }
}

/// Waits for a signal to terminate after the stop has begun. Waits forever if signals cannot be received.
async fn second_signal() {
    use tokio::signal::unix::{signal, SignalKind};
    let (Ok(mut terminate), Ok(mut interrupt)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
