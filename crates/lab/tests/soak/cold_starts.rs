//! All processes are killed while the store answers nobody, again and again: what replicas have kept has to be enough
//! to serve by, before the store is back.

use super::disk_watch::Told;
use super::faults::Condition;
use super::plan::{Fault, Node, PathFault, Plan, REPLICAS};
use super::processes::all_nodes;
use super::report::SoakReport;
use super::run::{run_with, Soak, SoakSettings, LOOK_PERIOD};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

/// Time after a configuration is in force everywhere in which replicas sync it: thousands of times what a sync takes.
const KEEPING_TIME: Duration = Duration::from_secs(1);
/// Time after the store is back in which a disk that was lost is refilled.
const REFILL_TIME: Duration = Duration::from_secs(6);

/// One time that everything is killed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdStart {
    /// How the store does not answer.
    how: PathFault,
    /// Routes that come with the configuration before it.
    pub more_routes: usize,
    /// A replica whose disk is lost with it.
    pub wiped: Option<usize>,
    /// Time from the store's silence to the kill.
    silent_before: Duration,
    /// Time from the kill to the start.
    down: Duration,
    /// Whether a zone is drained all the while.
    is_drained: bool,
}

impl ColdStart {
    fn draw(random: &mut StdRng) -> Self {
        let how = [PathFault::Reset, PathFault::Silent, PathFault::OneWay][random.random_range(0..3)];
        Self {
            how,
            more_routes: if random.random_bool(0.3) { 1400 } else { 0 },
            wiped: random.random_bool(0.5).then(|| random.random_range(0..REPLICAS)),
            silent_before: Duration::from_millis(random.random_range(0..2500)),
            down: Duration::from_millis(random.random_range(100..1500)),
            is_drained: false,
        }
    }
}

/// What is done in `rounds` rounds of a seed.
pub(crate) fn draw_cold_starts(seed: u64, rounds: usize) -> Vec<ColdStart> {
    let mut random = StdRng::seed_from_u64(seed);
    // Every other one; by its number, so that what a seed draws stays the same.
    (0..rounds).map(|round| ColdStart { is_drained: round % 2 == 1, ..ColdStart::draw(&mut random) }).collect()
}

/// Kills everything `rounds` times, as drawn from the seed of the plan, whose steps are passed over.
///
/// # Errors
/// When something cannot be started. Nothing is left running.
pub(crate) async fn run_cold_starts(settings: SoakSettings, rounds: usize) -> anyhow::Result<SoakReport> {
    let starts = draw_cold_starts(settings.plan.seed, rounds);
    run_with(settings, async |soak| {
        for start in starts {
            println!("{start:?}");
            soak.start_cold(start).await;
        }
    })
    .await
}

/// A plan of no steps.
pub(crate) fn plan_of(seed: u64) -> Plan {
    Plan { seed, seconds: 0, steps: Vec::new() }
}

impl Soak {
    async fn start_cold(&mut self, start: ColdStart) {
        self.configure(start.more_routes);
        self.wait_until_well("with a new configuration").await;
        let drain = if start.is_drained { Some(self.drain_zone().await) } else { None };
        self.look_for(KEEPING_TIME).await;
        let silence = Fault::StoreDown { how: start.how };
        self.set_path(&silence, true);
        self.look_for(start.silent_before).await;
        self.kill_all(start);
        self.look_for(start.down).await;
        self.wait_until_well("while the store is away").await;
        self.set_path(&silence, false);
        self.wait_until_well("with the store back").await;
        if let Some(drain) = drain {
            self.end_drain(&drain);
        }
        self.look_for(REFILL_TIME).await;
    }

    fn kill_all(&mut self, start: ColdStart) {
        let until = Instant::now() + start.down;
        for node in all_nodes() {
            let is_wiped = matches!(node, Node::Replica(number) if Some(number) == start.wiped);
            self.disturb(node, |machine| {
                machine.kill();
                if is_wiped {
                    machine.wipe().unwrap_or_else(|error| eprintln!("soak: {error:#}"));
                }
                Condition::Down(until)
            });
        }
    }

    /// Looks after the processes for a time in which the disk does not stall.
    pub(super) async fn look_for(&mut self, time: Duration) {
        let begun = Told::now(&self.disk);
        while begun.elapsed(&self.disk) < time {
            self.look();
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }
}
