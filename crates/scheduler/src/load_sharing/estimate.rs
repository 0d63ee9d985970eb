//! Estimates from load reports how many requests other gateways have in flight at the engines.

use crate::outliers::Outcomes;
use std::collections::HashMap;

/// The weight, in requests, of the mean over the engines of a zone in the estimate for one engine. The fewer requests
/// gateways reported for an engine, the closer the estimate is to that mean.
const PRIOR_REQUESTS: f64 = 2.0;

/// The requests of gateways at one engine, as reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Outcomes of recent requests.
    pub outcomes: Outcomes,
}

impl ReportedLoad {
    fn add(&mut self, other: Self) {
        self.in_flight += other.in_flight;
        self.outcomes = self.outcomes.plus(other.outcomes);
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
            self.loads.entry(engine).or_default().add(load);
        }
    }

    fn load_at(&self, engine: u32) -> ReportedLoad {
        self.loads.get(&engine).copied().unwrap_or_default()
    }

    /// Mean number of requests that one reporting gateway has in flight at one of these engines.
    fn mean_in_flight(&self, engines: &[u32]) -> f64 {
        let total: u32 = engines.iter().map(|engine| self.load_at(*engine).in_flight).sum();
        f64::from(total) / (engines.len() * self.reporting).max(1) as f64
    }

    /// Estimated number of requests in flight at an engine. It is the sum of the recent reports, plus, for each gateway
    /// without a recent report, the mean of the reporting gateways at this engine. That mean is shrunk towards
    /// `mean_in_flight`, which has a weight of [`PRIOR_REQUESTS`].
    fn estimated_requests(&self, engine: u32, mean_in_flight: f64) -> f64 {
        let reported = f64::from(self.load_at(engine).in_flight);
        if mean_in_flight <= 0.0 {
            return reported;
        }
        let silent = self.gateways.saturating_sub(self.reporting) as f64;
        let mean_at_engine = (PRIOR_REQUESTS + reported) / (PRIOR_REQUESTS / mean_in_flight + self.reporting as f64);
        reported + silent * mean_at_engine
    }
}

/// The load that other gateways' requests put on the engines at one moment, as estimated for the choice of an engine.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    requests: HashMap<u32, f64>,
    outcomes: HashMap<u32, Outcomes>,
}

impl LoadEstimate {
    /// Estimates the load from the reports of the gateways of the own group and of all others. `engines_by_zone` are the
    /// engine numbers of the candidates, for each zone.
    pub fn new(group: &GatewayReports, others: &GatewayReports, engines_by_zone: &[Vec<u32>]) -> Self {
        let mut estimate = Self::default();
        let engines: Vec<u32> = engines_by_zone.iter().flatten().copied().collect();
        for reports in [group, others] {
            let mean = reports.mean_in_flight(&engines);
            for engine in &engines {
                *estimate.requests.entry(*engine).or_default() += reports.estimated_requests(*engine, mean);
                let outcomes = estimate.outcomes.entry(*engine).or_default();
                *outcomes = outcomes.plus(reports.load_at(*engine).outcomes);
            }
        }
        estimate
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
