//! Sends load reports to other gateways: this gateway's requests in flight, the outcomes of its recent requests, and
//! the engines that it cannot reach.

use crate::engines::engine::Engine;
use crate::engines::peer_loads::engine_number;
use crate::engines::table::EngineTable;
use crate::metrics::Metrics;
use crate::peers::members::Members;
use foxnotch_scheduler::load_sharing::recipients::{ReportRotation, REPORT_PERIOD};
use foxnotch_wire::{EngineLoad, LoadReport, Message, NodeId, MAX_LOADS, MAX_UNREACHABLE};
use std::sync::Arc;

fn build_load_report(engines: &EngineTable) -> LoadReport {
    let engines = engines.all_engines();
    let loads = engines.iter().map(|engine| engine_load(engine));
    let loads = loads.filter(|load| load.in_flight > 0 || load.answered > 0 || load.failed > 0);
    let unreachable = engines.iter().filter(|engine| engine.reachability.connect_failure().is_some());
    let unreachable = unreachable.map(|engine| engine.number);
    LoadReport {
        loads: loads.take(MAX_LOADS as usize).collect(),
        unreachable: unreachable.take(MAX_UNREACHABLE as usize).collect(),
    }
}

fn engine_load(engine: &Engine) -> EngineLoad {
    let outcomes = engine.outcomes();
    EngineLoad {
        engine: engine_number(&engine.entry.id),
        in_flight: u16::try_from(engine.in_flight_requests()).unwrap_or(u16::MAX),
        answered: u8::try_from(outcomes.answered).unwrap_or(u8::MAX),
        failed: u8::try_from(outcomes.failed).unwrap_or(u8::MAX),
    }
}

/// Sends a report every [`REPORT_PERIOD`], to the gateways whose turn it is. Runs until the process ends. Also updates the
/// gauge of cold engines.
pub async fn run(engines: Arc<EngineTable>, members: Arc<Members>, metrics: Arc<Metrics>) {
    let mut rotation = ReportRotation::default();
    loop {
        tokio::time::sleep(REPORT_PERIOD).await;
        metrics.engines_cold.set(engines.cold_count() as i64);
        let recipients = rotation.next_recipients(&members.load_sharing_peers(), |limit| members.random_below(limit));
        let nodes: Vec<NodeId> = recipients.into_iter().map(NodeId).collect();
        members.send_to(&nodes, &Message::LoadReport(build_load_report(&engines)));
    }
}
