//! Estimates from load reports how many requests other gateways have in flight at the engines.
//!
//! A report tells the requests in flight at the moment when it was sent, which are few, and those that were answered within
//! the last seconds, which are many more. In a large fleet most engines have no request in flight by the reports that were
//! received. Those that were also answered no request are idle; the others are not.

use crate::outliers::Outcomes;
use std::collections::{HashMap, HashSet};

/// The weight, in requests, of the expected requests in flight at an engine in the estimate for that engine. The more
/// requests gateways reported there, the less the expectation matters.
const PRIOR_REQUESTS: f64 = 8.0;
/// Added to the numbers of answered requests that are compared, so that an engine without any keeps a small expectation.
const ANSWERED_SMOOTHING: f64 = 0.3;

/// The requests of gateways at one engine, as reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Outcomes of recent requests.
    pub outcomes: Outcomes,
}

impl ReportedLoad {
    fn plus(self, other: Self) -> Self {
        Self { in_flight: self.in_flight + other.in_flight, outcomes: self.outcomes.plus(other.outcomes) }
    }
}

/// The recent reports of a set of gateways, summed by engine.
#[derive(Clone, Debug, Default)]
pub struct GatewayReports {
    /// Number of gateways, with and without a recent report.
    gateways: usize,
    /// Number of gateways with a recent report.
    reporting: usize,
    /// The sum of the reports, by engine number.
    loads: HashMap<u32, ReportedLoad>,
}

impl GatewayReports {
    /// No reports of so many gateways.
    pub fn of_gateways(gateways: usize) -> Self {
        Self { gateways, ..Self::default() }
    }

    /// Adds the recent report of one of the gateways: its load at engines, by engine number.
    pub fn add_report(&mut self, loads: impl Iterator<Item = (u32, ReportedLoad)>) {
        self.reporting += 1;
        for (engine, load) in loads {
            let sum = self.loads.entry(engine).or_default();
            *sum = sum.plus(load);
        }
    }

    fn load_at(&self, engine: u32) -> ReportedLoad {
        self.loads.get(&engine).copied().unwrap_or_default()
    }

    /// Estimates the requests in flight of the gateways without a recent report, at engines that are used alike. They are
    /// as many as the reporting gateways have, for each gateway.
    fn estimate_unreported(&self, engines: &[u32]) -> Vec<f64> {
        let loads: Vec<ReportedLoad> = engines.iter().map(|engine| self.load_at(*engine)).collect();
        let in_flight: u32 = loads.iter().map(|load| load.in_flight).sum();
        let unreported = self.gateways.saturating_sub(self.reporting) as f64;
        if in_flight == 0 || unreported == 0.0 {
            return vec![0.0; engines.len()];
        }
        let answered = |load: &ReportedLoad| f64::from(load.outcomes.request_count()) + ANSWERED_SMOOTHING;
        let all_answered: f64 = loads.iter().map(answered).sum();
        // What each engine's share of the requests in flight is expected to be, corrected by those that were reported.
        let share = |load: &ReportedLoad| {
            let expected = answered(load) / all_answered;
            let weight = PRIOR_REQUESTS * engines.len() as f64;
            (weight * expected + f64::from(load.in_flight)) / (weight + f64::from(in_flight))
        };
        let total = f64::from(in_flight) / self.reporting as f64 * unreported;
        loads.iter().map(|load| total * share(load)).collect()
    }
}

/// Engines that the gateways of a group use alike: those of one zone that belong to the same group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineSet {
    /// The engine numbers.
    pub engines: Vec<u32>,
    /// Whether they belong to another group than this gateway.
    pub is_of_other_group: bool,
}

/// The load that other gateways' requests put on the engines at one moment, as estimated for the choice of an engine.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    requests: HashMap<u32, f64>,
    outcomes: HashMap<u32, Outcomes>,
    of_other_groups: HashSet<u32>,
}

impl LoadEstimate {
    /// Estimates the load of the candidates from the reports of the gateways of the own group and of all others.
    pub fn new(group: &GatewayReports, others: &GatewayReports, candidates: &[EngineSet]) -> Self {
        let mut estimate = Self::default();
        for set in candidates {
            for reports in [group, others] {
                estimate.add(reports, &set.engines);
            }
            if set.is_of_other_group {
                estimate.of_other_groups.extend(&set.engines);
            }
        }
        estimate
    }

    fn add(&mut self, reports: &GatewayReports, engines: &[u32]) {
        for (engine, unreported) in engines.iter().zip(reports.estimate_unreported(engines)) {
            let reported = reports.load_at(*engine);
            *self.requests.entry(*engine).or_default() += f64::from(reported.in_flight) + unreported;
            let outcomes = self.outcomes.entry(*engine).or_default();
            *outcomes = outcomes.plus(reported.outcomes);
        }
    }

    /// Whether the engine with this engine number belongs to another group than this gateway.
    pub fn is_of_other_group(&self, engine: u32) -> bool {
        self.of_other_groups.contains(&engine)
    }

    /// Outcomes of other gateways' requests at the engine with this engine number, summed over the recent reports.
    pub fn outcomes(&self, engine: u32) -> Outcomes {
        self.outcomes.get(&engine).copied().unwrap_or_default()
    }

    /// Estimated number of other gateways' requests in flight at the engine with this engine number.
    pub fn estimated_requests(&self, engine: u32) -> f64 {
        self.requests.get(&engine).copied().unwrap_or_default()
    }
}
