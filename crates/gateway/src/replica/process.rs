//! The replica process: builds its parts from the settings and starts their tasks.

use crate::buffer_budget::BufferBudget;
use crate::clock::{log_process_pauses, SteadyClock};
use crate::logging::part;
use crate::metrics;
use crate::network;
use crate::peers::members::Members;
use crate::peers::rpc_client::RpcClient;
use crate::peers::rpc_server;
use crate::peers::view::ViewHolder;
use crate::ports::counted_store::CountedStore;
use crate::ports::store::{Kind, MetadataStore};
use crate::replica::cold_permit_service::ColdPermitService;
use crate::replica::cold_start::ColdStart;
use crate::replica::disk::Disk;
use crate::replica::durable_state::DurableState;
use crate::replica::quota_service::{prior_grants_on_disk, QuotaService};
use crate::replica::replica_metrics::create_replica_metrics;
use crate::replica::service::{ReplicaService, ReplicaServiceParts};
use crate::replica::set_manager::{ReplicaSetManager, ReplicaSetManagerParts};
use crate::replica::stored_view::writer::StoredViewWriter;
use crate::replica::stored_view::StoredView;
use crate::replica::turn_store::{TurnIndex, TurnStore, TurnStoreParts};
use crate::settings::{ProcessSettings, SettingsError};
use crate::signals::wait_for_stop_signal;
use crate::store_followers::{ReplicaSetFollower, RetirementFollower};
use crate::store_watch::{follow_kind, probe_store, InitialList};
use anyhow::Context;
use foxnotch_scheduler::quota::PriorGrants;
use foxnotch_turns::identity::{node_id, zone_hash};
use foxnotch_turns::segment::Record;
use foxnotch_wire::ReplicaMember;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Time between two removals of the programs whose retention time has passed.
const EXPIRY_PERIOD: Duration = Duration::from_secs(2);
/// Percentage of the configured memory (`resources.memory_mb`) that the index of turns may need. The rest is for the process
/// itself and for the lists of turns that replicas exchange.
const TURN_MEMORY_PERCENT: u64 = 50;

/// Percentage of the configured memory that the messages which a replica reads may hold.
pub const REPLICA_BUFFER_PERCENT: u64 = 20;

/// The parts that several tasks of a replica use.
struct SharedParts {
    clock: SteadyClock,
    view: Arc<ViewHolder>,
    client: Arc<RpcClient>,
    members: Arc<Members>,
}

/// Runs a replica until a signal stops the process. `buffers` bounds the messages that it reads.
///
/// # Errors
/// When an address cannot be bound or the data folder cannot be used.
pub async fn run(
    settings: ProcessSettings,
    path: PathBuf,
    store: Arc<dyn MetadataStore>,
    buffers: Arc<BufferBudget>,
) -> anyhow::Result<()> {
    let folder = settings.data_folder.clone().ok_or(SettingsError::Missing("data_folder", "replica"))?;
    let own = node_id(&settings.node);
    let clock = SteadyClock::start();
    let view = Arc::new(ViewHolder::default());
    let client = Arc::new(RpcClient::new(own).with_buffers(buffers.clone()));
    let listener = network::listen(settings.peer_address())
        .context("the TCP port peer_port cannot be bound; check that no other process uses it")?;
    let members = Members::bind(&settings, clock, client.clone(), view.clone())
        .await
        .context("the UDP port peer_port cannot be bound; check that no other process uses it")?;
    let shared = SharedParts { clock, view, client, members };

    let replica = Arc::new(open_replica(&settings, &folder, &shared)?);
    let identified = replica.state().ensure_disk_identity(settings.first_start).await;
    identified.context("the disk's identity cannot be written; check the disk")?;
    let metrics = create_replica_metrics(&replica, &shared.view, &shared.members, &buffers);
    let store: Arc<dyn MetadataStore> = Arc::new(CountedStore::new(store, metrics.clone()));
    let set_manager = new_set_manager(&settings, &replica, &shared, store.clone());

    tokio::spawn(rpc_server::serve(listener, own, replica.clone(), buffers));
    tokio::spawn(log_process_pauses());
    tokio::spawn(shared.members.clone().run());
    tokio::spawn(set_manager.run());
    spawn_stored_view_tasks(&settings, &replica, &shared);
    spawn_store_tasks(store, &shared);
    tokio::spawn(run_expiry(replica));
    tokio::spawn(metrics::serve(settings.metrics_address(), metrics));
    log::info!(
        target: part::PROCESS,
        "Replica started: node={} id={own} zone={} first_start={}.",
        settings.node,
        settings.zone,
        settings.first_start,
    );
    wait_for_stop_signal(&path, &shared.members).await?;
    log::info!(target: part::PROCESS, "Replica stopped: all acknowledged writes are on disk.");
    Ok(())
}

/// Opens the data folder and creates the replica from its contents.
fn open_replica(settings: &ProcessSettings, folder: &Path, shared: &SharedParts) -> anyhow::Result<ReplicaService> {
    let own = node_id(&settings.node);
    let mut ledger = TurnIndex::for_zone(zone_hash(&settings.zone), settings.zone_regions());
    let on_record = |record, location| {
        if let Record::Entry(entry) = record {
            let location = entry.record.first().map(|_| location);
            ledger.add(&entry, location, shared.clock.now());
        }
    };
    let (disk, newest) = Disk::open_with(folder, on_record)
        .context("the data folder cannot be used; check the setting data_folder and the disk")?;
    let prior_grants = prior_grants_on_disk(&newest, settings.first_start);
    let is_new_deployment = prior_grants == PriorGrants::None;
    let cold_permits = ColdPermitService::new(settings.slow_start.excess_tolerance(), is_new_deployment);
    let quotas = QuotaService::new(settings.quota.rules(), settings.policy.quota_admission(), prior_grants);
    let stored_view = Arc::new(StoredView::open(folder, own));
    let turns = TurnStoreParts {
        zone: zone_hash(&settings.zone),
        regions: settings.zone_regions(),
        clock: shared.clock,
        disk: disk.clone(),
        memory_limit: (settings.resources.memory_mb * 1024 * 1024 * TURN_MEMORY_PERCENT / 100) as usize,
    };
    Ok(ReplicaService::new(ReplicaServiceParts {
        own,
        state: DurableState::new(own, disk.clone(), newest.state.unwrap_or_default()),
        turns: TurnStore::new(turns, ledger),
        disk,
        view: shared.view.clone(),
        members: shared.members.clone(),
        quotas,
        cold_permits,
        stored_view,
    }))
}

fn new_set_manager(
    settings: &ProcessSettings,
    replica: &Arc<ReplicaService>,
    shared: &SharedParts,
    store: Arc<dyn MetadataStore>,
) -> Arc<ReplicaSetManager> {
    let own = ReplicaMember {
        node: node_id(&settings.node),
        zone: zone_hash(&settings.zone),
        ip: settings.ip.octets(),
        port: settings.peer_port,
    };
    Arc::new(ReplicaSetManager::new(ReplicaSetManagerParts {
        replica: replica.clone(),
        client: shared.client.clone(),
        members: shared.members.clone(),
        view: shared.view.clone(),
        store,
        own,
        name: settings.node.clone(),
        target: settings.replica_set_target(),
        regions: replica.turns().regions().clone(),
    }))
}

/// Starts two tasks: one writes the view to disk, the other recovers the view when the fleet starts without the
/// platform's store. At the first start of a deployment nothing has been stored, so no recovery is started.
fn spawn_stored_view_tasks(settings: &ProcessSettings, replica: &Arc<ReplicaService>, shared: &SharedParts) {
    tokio::spawn(StoredViewWriter::new(replica.stored_view().clone(), shared.view.clone()).run());
    if settings.first_start {
        return;
    }
    let cold_start = ColdStart {
        replica: replica.clone(),
        client: shared.client.clone(),
        view: shared.view.clone(),
        tolerance: settings.tolerance(),
    };
    tokio::spawn(cold_start.run());
}

/// Starts the tasks that follow the replica set and the retirement requests in the platform's store, and the task that
/// sends store updates to other nodes.
fn spawn_store_tasks(store: Arc<dyn MetadataStore>, shared: &SharedParts) {
    let watcher_role = shared.members.watcher_role();
    let sets = ReplicaSetFollower { view: shared.view.clone() };
    tokio::spawn(follow_kind(store.clone(), Kind::ReplicaSet, InitialList::WhenWatching, watcher_role.clone(), sets));
    let retirements = RetirementFollower { view: shared.view.clone() };
    tokio::spawn(follow_kind(
        store.clone(),
        Kind::Retirements,
        InitialList::WhenWatching,
        watcher_role.clone(),
        retirements,
    ));
    tokio::spawn(probe_store(store, watcher_role));
    tokio::spawn(shared.members.clone().send_store_updates());
}

async fn run_expiry(replica: Arc<ReplicaService>) {
    loop {
        tokio::time::sleep(EXPIRY_PERIOD).await;
        replica.remove_expired_and_lower_caps();
    }
}
