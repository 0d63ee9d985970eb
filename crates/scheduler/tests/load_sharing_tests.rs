//! Plays gateways that share engines in virtual time: what each knows of the engines' load by the reports of the others,
//! and how evenly they use the engines, for fleets of several sizes with the same load on each engine.

use foxnotch_scheduler::cost::ServicePrices;
use foxnotch_scheduler::distance::Proximity;
use foxnotch_scheduler::engine_choice::{choose_engine, EngineFacts, ServiceFacts};
use foxnotch_scheduler::engine_health::EngineHealth;
use foxnotch_scheduler::load_sharing::estimate::{EngineSet, GatewayReports, LoadEstimate, ReportedLoad};
use foxnotch_scheduler::load_sharing::peers::{GatewayPlace, Peers};
use foxnotch_scheduler::load_sharing::recipients::{
    ReportRotation, GROUP_REPORT_LIFETIME, OTHER_REPORT_LIFETIME, REPORT_PERIOD,
};
use foxnotch_scheduler::outliers::Outcomes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

const ZONES: usize = 6;
/// Engines for each hundred gateways.
const ENGINES_PER_HUNDRED: usize = 40;
const SLOTS: u32 = 6;
/// Callers for each hundred gateways. A hash of the caller chooses its gateway, so some gateways have none.
const CALLERS_PER_HUNDRED: usize = 73;
const TURNS_PER_PROGRAM: u32 = 5;
const TURN: Duration = Duration::from_millis(120);
/// Pause of a program between two turns.
const PAUSE: Duration = Duration::from_millis(100);
/// Prompt tokens of a program's first turn, without the part that programs share.
const PROMPT_TOKENS: f64 = 650.0;
const SHARED_TOKENS: f64 = 512.0;
const STEP: Duration = Duration::from_millis(20);
/// Time between two looks at what the gateways know.
const MEASURING_PERIOD: Duration = Duration::from_millis(200);
/// Time after which the measurement begins.
const WARM_UP: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(6);

/// A turn at an engine.
#[derive(Clone, Copy)]
struct Turn {
    gateway: usize,
    /// The caller's own gateway.
    home: usize,
    turns_left: u32,
}

#[derive(Default)]
struct Engine {
    zone: usize,
    running: Vec<(Duration, Turn)>,
    waiting: VecDeque<Turn>,
    requests: u64,
}

impl Engine {
    fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }
}

#[derive(Default)]
struct Gateway {
    zone: usize,
    peers: Peers,
    rotation: ReportRotation,
    in_flight: HashMap<usize, u32>,
    /// When requests at each engine were answered.
    answered: HashMap<usize, VecDeque<Duration>>,
    reports: HashMap<u32, (Duration, Vec<(u32, ReportedLoad)>)>,
    /// Engines that this gateway has sent to.
    connected: HashSet<usize>,
    messages: u64,
}

/// What was measured.
struct Measurement {
    /// Total load of all engines as gateways estimate it, as a multiple of the truth, from the lowest to the highest
    /// tenth of the gateways.
    total: (f64, f64),
    /// Mean error of the estimate for an engine of the gateway's own zone, in requests.
    error: f64,
    /// Mean number of requests in flight at an engine.
    mean: f64,
    /// Fraction of the turns that waited at an engine while another engine of that zone had half of its slots free.
    needless_waits: f64,
    /// Requests of the busiest engine, as a multiple of the mean.
    busiest: f64,
    idle_engines: usize,
    /// Messages that a gateway sent in a second.
    messages_per_second: f64,
}

impl std::fmt::Display for Measurement {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { total: (low, high), error, mean, needless_waits, busiest, idle_engines, messages_per_second } = self;
        write!(
            formatter,
            "estimated total {low:.2} to {high:.2} of the truth, error {error:.2} of {mean:.2} requests at an engine, \
             needless waits {needless_waits:.3}, busiest engine {busiest:.2} of the mean, {idle_engines} engines without a \
             request, {messages_per_second:.0} messages a second"
        )
    }
}

struct Fleet {
    random: StdRng,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    engines_by_zone: Vec<Vec<u32>>,
    homes: Vec<usize>,
    /// Turns that begin later.
    pending: Vec<(Duration, Turn, Option<usize>)>,
    turns: u64,
    needless_waits: u64,
    totals: Vec<f64>,
    errors: Vec<f64>,
    means: Vec<f64>,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let nodes: Vec<u32> = (0..size).map(|_| random.random()).collect();
        let place = |index: usize| GatewayPlace { node: nodes[index], zone: (index % ZONES) as u8 };
        let places: Vec<GatewayPlace> = (0..size).map(place).collect();
        let gateway = |index: usize| Gateway {
            zone: index % ZONES,
            peers: Peers::of(places[index], &places),
            ..Gateway::default()
        };
        let engine_count = size * ENGINES_PER_HUNDRED / 100;
        let engines: Vec<Engine> =
            (0..engine_count).map(|index| Engine { zone: index % ZONES, ..Engine::default() }).collect();
        let zone_engines = |zone: usize| (0..engine_count).filter(move |engine| engine % ZONES == zone);
        let engines_by_zone = (0..ZONES).map(|zone| zone_engines(zone).map(|engine| engine as u32).collect()).collect();
        let homes = (0..size * CALLERS_PER_HUNDRED / 100).map(|_| random.random_range(0..size)).collect();
        Self {
            gateways: (0..size).map(gateway).collect(),
            engines,
            engines_by_zone,
            homes,
            random,
            pending: Vec::new(),
            turns: 0,
            needless_waits: 0,
            totals: Vec::new(),
            errors: Vec::new(),
            means: Vec::new(),
        }
    }

    /// Plays the fleet. New programs ask for this fraction of the engines' slots.
    fn play(mut self, load: f64) -> Measurement {
        let nodes: HashMap<u32, usize> = self.node_indices();
        let slots = self.engines.len() as f64 * f64::from(SLOTS);
        let programs_per_step = load * slots / TURN.as_secs_f64() / f64::from(TURNS_PER_PROGRAM) * STEP.as_secs_f64();
        let mut owed = 0.0;
        let mut now = Duration::ZERO;
        let mut requests_before: Vec<u64> = vec![0; self.engines.len()];
        while now < END {
            if now == WARM_UP {
                requests_before = self.engines.iter().map(|engine| engine.requests).collect();
            }
            self.end_turns(now);
            owed += programs_per_step;
            while owed >= 1.0 {
                owed -= 1.0;
                let home = self.homes[self.random.random_range(0..self.homes.len())];
                self.pending.push((now, Turn { gateway: home, home, turns_left: TURNS_PER_PROGRAM }, None));
            }
            self.begin_turns(now);
            if now.as_millis().is_multiple_of(REPORT_PERIOD.as_millis()) {
                self.exchange_reports(now, &nodes);
            }
            if now >= WARM_UP && now.as_millis().is_multiple_of(MEASURING_PERIOD.as_millis()) {
                self.measure(now);
            }
            now += STEP;
        }
        let measured = (END - WARM_UP).as_secs_f64();
        let requests: Vec<u64> =
            self.engines.iter().zip(requests_before).map(|(engine, before)| engine.requests - before).collect();
        let mean_requests = requests.iter().sum::<u64>() as f64 / requests.len() as f64;
        self.totals.sort_by(f64::total_cmp);
        let tenth = self.totals.len() / 10;
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
        let messages: u64 = self.gateways.iter().map(|gateway| gateway.messages).sum();
        Measurement {
            total: (self.totals[tenth], self.totals[self.totals.len() - 1 - tenth]),
            error: mean(&self.errors),
            mean: mean(&self.means),
            needless_waits: self.needless_waits as f64 / self.turns as f64,
            busiest: *requests.iter().max().expect("there are engines") as f64 / mean_requests,
            idle_engines: requests.iter().filter(|requests| **requests == 0).count(),
            messages_per_second: messages as f64 / self.gateways.len() as f64 / measured,
        }
    }

    fn node_indices(&self) -> HashMap<u32, usize> {
        // Each gateway is missing among its own peers only.
        let all: HashSet<u32> = self.gateways.iter().flat_map(|gateway| all_peers(&gateway.peers)).collect();
        let own = |gateway: &Gateway| {
            let peers: HashSet<u32> = all_peers(&gateway.peers).collect();
            *all.difference(&peers).next().expect("a gateway is no peer of itself")
        };
        self.gateways.iter().enumerate().map(|(index, gateway)| (own(gateway), index)).collect()
    }

    fn end_turns(&mut self, now: Duration) {
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            let (ended, running): (Vec<_>, Vec<_>) = engine.running.drain(..).partition(|(end, _)| *end <= now);
            engine.running = running;
            while engine.running.len() < SLOTS as usize {
                let Some(turn) = engine.waiting.pop_front() else { break };
                let time = TURN.mul_f64(self.random.random_range(0.5..1.5));
                engine.running.push((now + time, turn));
            }
            for (_, turn) in ended {
                let gateway = &mut self.gateways[turn.gateway];
                *gateway.in_flight.get_mut(&index).expect("the turn was in flight") -= 1;
                gateway.answered.entry(index).or_default().push_back(now);
                if turn.turns_left > 1 {
                    // Some turns of a program come to another gateway.
                    let elsewhere = self.random.random_range(0..self.gateways.len());
                    let gateway = if self.random.random_bool(0.2) { elsewhere } else { turn.home };
                    let next = Turn { gateway, turns_left: turn.turns_left - 1, ..turn };
                    self.pending.push((now + PAUSE, next, Some(index)));
                }
            }
        }
    }

    fn begin_turns(&mut self, now: Duration) {
        let (due, later): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(|(at, ..)| *at <= now);
        self.pending = later;
        let mut estimates: HashMap<usize, LoadEstimate> = HashMap::new();
        for (_, turn, previous) in due {
            let estimate = estimates.entry(turn.gateway).or_insert_with(|| self.estimate(turn.gateway, now));
            let chosen = choose(&self.gateways[turn.gateway], &self.engines, estimate, previous, &mut self.random);
            let zone = self.engines[chosen].zone;
            if self.engines[chosen].running.len() >= SLOTS as usize && now >= WARM_UP {
                let has_free = |engine: &Engine| engine.zone == zone && engine.in_flight() <= SLOTS as usize / 2;
                self.needless_waits += u64::from(self.engines.iter().any(has_free));
            }
            self.turns += u64::from(now >= WARM_UP);
            let engine = &mut self.engines[chosen];
            engine.requests += 1;
            if engine.running.len() < SLOTS as usize {
                engine.running.push((now + TURN.mul_f64(self.random.random_range(0.5..1.5)), turn));
            } else {
                engine.waiting.push_back(turn);
            }
            let gateway = &mut self.gateways[turn.gateway];
            *gateway.in_flight.entry(chosen).or_default() += 1;
            gateway.connected.insert(chosen);
        }
    }

    fn estimate(&self, gateway: usize, now: Duration) -> LoadEstimate {
        let gateway = &self.gateways[gateway];
        let mut group = GatewayReports::of_gateways(gateway.peers.group.len());
        let mut others = GatewayReports::of_gateways(gateway.peers.others.len());
        for (node, (received, loads)) in &gateway.reports {
            let is_in_group = gateway.peers.group.binary_search(node).is_ok();
            let (reports, lifetime) =
                if is_in_group { (&mut group, GROUP_REPORT_LIFETIME) } else { (&mut others, OTHER_REPORT_LIFETIME) };
            if now - *received < lifetime {
                reports.add_report(loads.iter().copied());
            }
        }
        LoadEstimate::new(&group, &others, &self.candidates_of(gateway))
    }

    /// The engines, in the sets that a gateway distinguishes.
    fn candidates_of(&self, gateway: &Gateway) -> Vec<EngineSet> {
        let sets = self.engines_by_zone.iter().enumerate().flat_map(|(zone, engines)| {
            let is_of_group = |engine: &&u32| gateway.peers.has_engine(**engine, zone == gateway.zone);
            let (own, other): (Vec<u32>, Vec<u32>) = engines.iter().partition(is_of_group);
            [
                EngineSet { engines: own, is_of_other_group: false },
                EngineSet { engines: other, is_of_other_group: true },
            ]
        });
        sets.collect()
    }

    fn exchange_reports(&mut self, now: Duration, nodes: &HashMap<u32, usize>) {
        let own_nodes: HashMap<usize, u32> = nodes.iter().map(|(node, index)| (*index, *node)).collect();
        for index in 0..self.gateways.len() {
            let report = self.gateways[index].report(now);
            let gateway = &mut self.gateways[index];
            let random = &mut self.random;
            let recipients =
                gateway.rotation.next_recipients(&gateway.peers, |limit| random.random_range(0..limit.max(1)));
            gateway.messages += if now >= WARM_UP { recipients.len() as u64 } else { 0 };
            for node in recipients {
                self.gateways[nodes[&node]].reports.insert(own_nodes[&index], (now, report.clone()));
            }
        }
    }

    fn measure(&mut self, now: Duration) {
        let truth: f64 = self.engines.iter().map(|engine| engine.in_flight() as f64).sum();
        for index in 0..self.gateways.len() {
            let estimate = self.estimate(index, now);
            let gateway = &self.gateways[index];
            let known = |engine: usize| {
                f64::from(gateway.in_flight.get(&engine).copied().unwrap_or(0))
                    + estimate.estimated_requests(engine as u32)
            };
            let total: f64 = (0..self.engines.len()).map(known).sum();
            self.totals.push(total / truth);
            for engine in self.engines_by_zone[gateway.zone].iter().map(|engine| *engine as usize) {
                self.errors.push((known(engine) - self.engines[engine].in_flight() as f64).abs());
            }
        }
        self.means.push(truth / self.engines.len() as f64);
    }
}

impl Gateway {
    fn report(&mut self, now: Duration) -> Vec<(u32, ReportedLoad)> {
        for answered in self.answered.values_mut() {
            while answered.front().is_some_and(|at| now - *at > Duration::from_secs(2)) {
                answered.pop_front();
            }
        }
        let engines: HashSet<usize> = self.in_flight.keys().chain(self.answered.keys()).copied().collect();
        let load = |engine: usize| ReportedLoad {
            in_flight: self.in_flight.get(&engine).copied().unwrap_or(0),
            outcomes: Outcomes { answered: self.answered.get(&engine).map_or(0, VecDeque::len) as u32, failed: 0 },
        };
        let loads = engines.into_iter().map(|engine| (engine as u32, load(engine)));
        let mut report: Vec<_> = loads.filter(|(_, load)| *load != ReportedLoad::default()).collect();
        report.sort_unstable_by_key(|(engine, _)| *engine);
        report
    }
}

fn all_peers(peers: &Peers) -> impl Iterator<Item = u32> + '_ {
    peers.group.iter().chain(&peers.others).copied()
}

fn choose(
    gateway: &Gateway,
    engines: &[Engine],
    estimate: &LoadEstimate,
    previous: Option<usize>,
    random: &mut StdRng,
) -> usize {
    let facts = |(index, engine): (usize, &Engine)| {
        let is_near = engine.zone == gateway.zone;
        let is_connected = gateway.connected.contains(&index);
        let shared = if is_connected { 0.0 } else { SHARED_TOKENS };
        EngineFacts {
            proximity: if is_near { Proximity::SameZone } else { Proximity::SameRegion },
            round_trip_ms: if is_near { 0.4 } else { 3.0 },
            traffic_ms: 0.0,
            in_flight: f64::from(gateway.in_flight.get(&index).copied().unwrap_or(0))
                + estimate.estimated_requests(index as u32),
            slots: SLOTS,
            is_connected,
            is_cold: false,
            is_of_other_group: estimate.is_of_other_group(index as u32),
            health: EngineHealth::Available,
            has_failed_program: false,
            outcomes: Outcomes::default(),
            missing_tokens: if previous == Some(index) { 0.0 } else { PROMPT_TOKENS + shared },
        }
    };
    let facts: Vec<EngineFacts> = engines.iter().enumerate().map(facts).collect();
    let service = ServiceFacts {
        is_model: true,
        prices: ServicePrices { turn_ms: TURN.as_secs_f64() * 1000.0, ..ServicePrices::PRIOR },
        failure_rates: None,
    };
    choose_engine(&facts, &service, || random.random_range(0.0..1.0)).expect("there are engines").index
}

/// Guards against gateways that take the load of the busy gateways, of which they hear more, for that of all. New
/// programs were refused while engines had free slots: an estimate a quarter above the truth refuses them although each
/// slot has only one request. Other engines got no request at all, because none of the few gateways that were heard had told
/// that they are idle.
#[rstest]
#[case(30)]
#[case(100)]
#[case(300)]
#[case(1000)]
fn gateways_of_a_fleet_of_any_size_know_the_load_of_the_engines(#[case] size: usize) {
    let measured = Fleet::new(size, 7).play(0.6);
    println!("{size} gateways: {measured}");
    let (low, high) = measured.total;
    assert!(low > 0.75 && high < 1.25, "{measured}");
    assert_eq!(measured.idle_engines, 0, "{measured}");
}

/// Guards against a placement that gets worse as the fleet grows, because a gateway hears of a smaller part of it: turns
/// waited at busy engines beside idle ones, and messages that grow with the fleet are no way out.
#[test]
fn a_large_fleet_places_turns_as_well_as_a_small_one() {
    let [small, large] = [100, 1000].map(|size| Fleet::new(size, 11).play(0.6));
    assert!(large.needless_waits < 1.5 * small.needless_waits, "of 100 gateways: {small}; of 1000: {large}");
    assert!(large.messages_per_second < 1.1 * small.messages_per_second, "of 100 gateways: {small}; of 1000: {large}");
}
