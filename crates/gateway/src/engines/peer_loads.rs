//! Holds the load reports of other gateways, from which [`foxnotch_scheduler::load_sharing`] estimates the load of the
//! engines.

use crate::locks::lock;
use foxnotch_scheduler::load_sharing::estimate::{GatewayReports, LoadEstimate, ReportedLoad};
use foxnotch_scheduler::load_sharing::peers::Peers;
use foxnotch_scheduler::outliers::Outcomes;
use foxnotch_scheduler::reachability::PeerReports;
use foxnotch_wire::{EngineLoad, NodeId};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// The age above which a report is ignored. A gateway with requests in flight repeats its report every 0.5 s, each time
/// to a few other gateways at random. So in a small fleet, the loss of a single report has no effect.
const REPORT_LIFETIME: Duration = Duration::from_millis(1200);

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
        for report in lock(&self.reports).values().filter(|report| report.received_at.elapsed() < REPORT_LIFETIME) {
            for load in &report.loads {
                reported.entry(load.engine).or_default().answered += u32::from(load.answered);
            }
            for engine in &report.unreachable {
                reported.entry(*engine).or_default().unreachable += 1;
            }
        }
        reported
    }

    /// Estimates from the recent reports how many requests the other gateways have in flight at engines.
    /// `engines_by_zone` are the engine numbers of the candidates, for each zone.
    pub fn estimate_loads(&self, peers: &Peers, engines_by_zone: &[Vec<u32>]) -> LoadEstimate {
        let mut reports = lock(&self.reports);
        reports.retain(|_, report| report.received_at.elapsed() < REPORT_LIFETIME);
        let mut group = GatewayReports::of_gateways(peers.group.len());
        let mut others = GatewayReports::of_gateways(peers.others.len());
        for (node, report) in reports.iter() {
            let is_in_group = peers.group.binary_search(&node.0).is_ok();
            let reports = if is_in_group { &mut group } else { &mut others };
            reports.add_report(report.loads.iter().map(|load| (load.engine, reported_load(load))));
        }
        LoadEstimate::new(&group, &others, engines_by_zone)
    }
}

fn reported_load(load: &EngineLoad) -> ReportedLoad {
    let outcomes = Outcomes { answered: load.answered.into(), failed: load.failed.into() };
    ReportedLoad { in_flight: load.in_flight.into(), outcomes }
}
