//! Holds the load reports of other gateways, from which [`foxnotch_scheduler::load_sharing`] estimates the load of the
//! engines.

use crate::locks::lock;
use foxnotch_scheduler::load_sharing::estimate::{EngineSet, GatewayReports, LoadEstimate, ReportedLoad};
use foxnotch_scheduler::load_sharing::peers::Peers;
use foxnotch_scheduler::load_sharing::recipients::{GROUP_REPORT_LIFETIME, OTHER_REPORT_LIFETIME};
use foxnotch_scheduler::outliers::Outcomes;
use foxnotch_scheduler::reachability::PeerReports;
use foxnotch_wire::{EngineLoad, NodeId};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the engine number of the engine with the identifier `id`: the low 32 bits of the identifier's 64-bit hash.
/// Turn records and the load reports between gateways name an engine by this number. Requests for permits to send to a
/// cold engine carry all 64 bits of the hash instead.
pub fn engine_number(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

#[derive(Clone, Debug)]
struct Report {
    received_at: Instant,
    loads: Vec<EngineLoad>,
    /// Engine numbers of the engines that the reporting gateway could not reach.
    unreachable: Vec<u32>,
}

/// The last report of each other gateway.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: Mutex<HashMap<NodeId, Report>>,
}

impl PeerLoads {
    /// Stores the report of the gateway `from` in place of its previous one.
    pub fn record_report(&self, from: NodeId, loads: &[EngineLoad], unreachable: &[u32]) {
        let report = Report { received_at: Instant::now(), loads: loads.to_vec(), unreachable: unreachable.to_vec() };
        lock(&self.reports).insert(from, report);
    }

    /// Returns for each engine, by its number, how many of the other gateways' requests it recently answered, and how
    /// many of these gateways cannot reach it.
    pub fn peer_reports(&self) -> HashMap<u32, PeerReports> {
        let mut reported: HashMap<u32, PeerReports> = HashMap::new();
        for report in lock(&self.reports).values().filter(|report| report.received_at.elapsed() < GROUP_REPORT_LIFETIME)
        {
            for load in &report.loads {
                reported.entry(load.engine).or_default().answered += u32::from(load.answered);
            }
            for engine in &report.unreachable {
                reported.entry(*engine).or_default().unreachable += 1;
            }
        }
        reported
    }

    /// Estimates from the recent reports how many requests the other gateways have in flight at the candidates.
    pub fn estimate_loads(&self, peers: &Peers, candidates: &[EngineSet]) -> LoadEstimate {
        let mut reports = lock(&self.reports);
        reports.retain(|_, report| report.received_at.elapsed() < OTHER_REPORT_LIFETIME);
        let mut group = GatewayReports::of_gateways(peers.group.len());
        let mut others = GatewayReports::of_gateways(peers.others.len());
        for (node, report) in reports.iter() {
            let loads = report.loads.iter().map(|load| (load.engine, reported_load(load)));
            if peers.group.binary_search(&node.0).is_ok() {
                if report.received_at.elapsed() < GROUP_REPORT_LIFETIME {
                    group.add_report(loads);
                }
            } else if peers.others.binary_search(&node.0).is_ok() {
                others.add_report(loads);
            }
        }
        LoadEstimate::new(&group, &others, candidates)
    }
}

fn reported_load(load: &EngineLoad) -> ReportedLoad {
    let outcomes = Outcomes { answered: load.answered.into(), failed: load.failed.into() };
    ReportedLoad { in_flight: load.in_flight.into(), outcomes }
}
