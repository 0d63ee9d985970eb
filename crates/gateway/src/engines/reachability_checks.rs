//! Checks whether unreachable engines can be reached again, by opening connections to them. So no caller's request has
//! to fail to find out that an engine is still unreachable.

use crate::engines::connection::EngineConnection;
use crate::engines::engine::Engine;
use crate::engines::peer_loads::PeerLoads;
use crate::engines::table::EngineTable;
use crate::metrics::Metrics;
use crate::peers::members::Members;
use foxnotch_scheduler::reachability::ConnectFailure;
use rand::seq::IndexedRandom;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// The time between two scans for due checks: half of the shortest pause between two checks of an engine.
const SCAN_PERIOD: Duration = Duration::from_millis(100);
/// The most checks in progress at the same time. It bounds the descriptors and the work that checks need while many
/// engines are silent. The check of a silent engine takes half a second, so 32 at a time make 64 checks a second.
const MAX_CONCURRENT_CHECKS: usize = 32;

/// Starts checks as they become due, until the process ends. Also updates the gauge of unreachable engines.
pub async fn run(table: Arc<EngineTable>, members: Arc<Members>, metrics: Arc<Metrics>) {
    let check_permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CHECKS));
    loop {
        tokio::time::sleep(SCAN_PERIOD).await;
        let mut engines = table.all_engines();
        engines.retain(|engine| engine.accepts_requests());
        apply_peer_reports(members.peer_loads(), &engines);
        let unreachable = engines.iter().filter(|engine| !engine.reachability.is_reachable()).count();
        metrics.engines_unreachable.set(unreachable as i64);
        if unreachable == engines.len() {
            make_one_check_due(&engines);
        }
        begin_due_checks(&table, &engines, &check_permits);
    }
}

fn begin_due_checks(table: &Arc<EngineTable>, engines: &[Arc<Engine>], check_permits: &Arc<Semaphore>) {
    for engine in engines {
        // Only this task takes permits, so one that is available here can still be acquired below. The check of an
        // engine that gets no permit stays due.
        if check_permits.available_permits() == 0 {
            return;
        }
        if !engine.reachability.begin_check_if_due() {
            continue;
        }
        let Ok(permit) = check_permits.clone().try_acquire_owned() else { return };
        let (table, engine) = (table.clone(), engine.clone());
        tokio::spawn(async move {
            check_engine(&table, &engine).await;
            drop(permit);
        });
    }
}

fn apply_peer_reports(loads: &PeerLoads, engines: &[Arc<Engine>]) {
    let peer_reports = loads.peer_reports();
    for engine in engines {
        if let Some(reports) = peer_reports.get(&engine.number) {
            engine.reachability.note_peer_reports(&engine.entry.id, *reports);
        }
    }
}

/// Makes the check of one random engine due. Called at each scan while no engine can be reached. The gateway itself is
/// then probably disconnected, and it has to detect soon that it is connected again.
fn make_one_check_due(engines: &[Arc<Engine>]) {
    if let Some(engine) = engines.choose(&mut rand::rng()) {
        engine.reachability.make_check_due();
    }
}

/// Checks an engine by opening a connection to it, and adds the connection to the engine's idle ones.
async fn check_engine(table: &EngineTable, engine: &Arc<Engine>) {
    let was_silent = engine.reachability.connect_failure() == Some(ConnectFailure::Silent);
    match EngineConnection::open(engine.address).await {
        Ok(connection) => {
            engine.reachability.note_contact(&engine.entry.id);
            engine.return_connection(connection);
            if was_silent {
                make_silent_checks_due(table);
            }
        }
        Err(error) => engine.reachability.note_failed_check(&engine.entry.id, error.kind()),
    }
}

/// Makes the checks of all silent engines due. Called when a silent engine answers again, because engines that became
/// silent together are usually reachable again at the same time.
fn make_silent_checks_due(table: &EngineTable) {
    let engines = table.all_engines();
    let silent = engines.iter().filter(|engine| engine.reachability.connect_failure() == Some(ConnectFailure::Silent));
    silent.for_each(|engine| engine.reachability.make_check_due());
}
