//! Runs simulated worlds from consecutive seeds, sums up their results and shrinks the first failing run.

use super::action::{generate, Action};
use super::oracle::{CallCounts, Violation};
use super::world::World;
use foxnotch_core::guard::Guards;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum number of trial runs while shrinking a failure.
const MAX_SHRINK_RUNS: usize = 400;

/// Settings of a series of runs.
#[derive(Clone, Copy, Debug)]
pub struct SimSettings {
    /// The first seed; run number n, counted from 0, uses `seed + n`.
    pub seed: u64,
    /// Actions per run.
    pub steps: usize,
    /// Number of runs.
    pub runs: u64,
    /// Number of threads.
    pub threads: usize,
    /// The guards that are active.
    pub guards: Guards,
}

/// Result of one run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// Violations that the oracle recorded in the run.
    pub violations: Vec<Violation>,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Calls by state.
    pub calls: CallCounts,
}

/// Everything needed to repeat a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Seed of the world.
    pub seed: u64,
    /// Actions applied to the world, in order.
    pub actions: Vec<Action>,
}

/// A run with a violation, after shrinking.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Violations of the shrunk run.
    pub violations: Vec<Violation>,
    /// The shortest trace found that violates the same invariant.
    pub trace: Trace,
}

/// Sum of all runs.
#[derive(Clone, Debug, Default)]
pub struct SimReport {
    /// Number of runs executed.
    pub runs: u64,
    /// Actions per run.
    pub steps: usize,
    /// Seed of the first run; each further run uses the next number.
    pub seed: u64,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Calls by state.
    pub calls: CallCounts,
    /// The failing run with the lowest seed.
    pub failure: Option<Failure>,
    /// Wall-clock duration of all runs.
    pub elapsed: Duration,
}

/// Applies a list of actions to a new world and then lets the world finish. Stops at the first violation.
pub fn run_actions(seed: u64, actions: &[Action], guards: Guards) -> RunResult {
    let mut world = World::new(seed, guards);
    for action in actions {
        world.apply(*action);
        if !world.oracle().violations().is_empty() {
            break;
        }
    }
    if world.oracle().violations().is_empty() {
        world.finish();
    }
    RunResult {
        violations: world.oracle().violations().to_vec(),
        faults: world.faults().clone(),
        calls: world.oracle().call_counts(),
    }
}

/// Shortens a failing run: removes each action without which the first violation is still of the same invariant.
fn shrink(seed: u64, actions: Vec<Action>, broken: &[Violation], guards: Guards) -> Failure {
    let invariant = broken[0].invariant;
    let mut failure = Failure { violations: broken.to_vec(), trace: Trace { seed, actions } };
    let mut chunk = failure.trace.actions.len() / 2;
    let mut rounds = 0;
    while chunk > 0 && rounds < MAX_SHRINK_RUNS {
        let mut start = 0;
        let mut shorter = false;
        while start < failure.trace.actions.len() && rounds < MAX_SHRINK_RUNS {
            rounds += 1;
            let mut trial = failure.trace.actions.clone();
            trial.drain(start..(start + chunk).min(trial.len()));
            let result = run_actions(seed, &trial, guards);
            if result.violations.first().is_some_and(|violation| violation.invariant == invariant) {
                failure.trace.actions = trial;
                failure.violations = result.violations;
                shorter = true;
            } else {
                start += chunk;
            }
        }
        if !shorter || chunk > failure.trace.actions.len() {
            chunk /= 2;
        }
    }
    failure
}

/// Runs many worlds in parallel. After a failure it starts no further worlds and shrinks the failing run with the
/// lowest seed.
pub fn run(settings: SimSettings) -> SimReport {
    let started = Instant::now();
    let next = AtomicU64::new(0);
    let first_failed = AtomicU64::new(u64::MAX);
    let totals = Mutex::new(SimReport { steps: settings.steps, seed: settings.seed, ..SimReport::default() });
    std::thread::scope(|scope| {
        for _ in 0..settings.threads.max(1) {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::SeqCst);
                if index >= settings.runs || index >= first_failed.load(Ordering::SeqCst) {
                    return;
                }
                let seed = settings.seed + index;
                let result = run_actions(seed, &generate(seed, settings.steps), settings.guards);
                if !result.violations.is_empty() {
                    first_failed.fetch_min(index, Ordering::SeqCst);
                }
                if let Ok(mut totals) = totals.lock() {
                    totals.add(&result);
                }
            });
        }
    });
    let mut report = totals.into_inner().unwrap_or_default();
    let failed = first_failed.load(Ordering::SeqCst);
    if failed != u64::MAX {
        let seed = settings.seed + failed;
        let actions = generate(seed, settings.steps);
        let result = run_actions(seed, &actions, settings.guards);
        report.failure = Some(shrink(seed, actions, &result.violations, settings.guards));
    }
    report.elapsed = started.elapsed();
    report
}

impl SimReport {
    fn add(&mut self, result: &RunResult) {
        self.runs += 1;
        for (kind, count) in &result.faults {
            *self.faults.entry(kind).or_default() += count;
        }
        self.calls.issued += result.calls.issued;
        self.calls.started += result.calls.started;
        self.calls.done += result.calls.done;
    }
}

impl fmt::Display for SimReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.elapsed.as_secs_f64();
        let rate = self.runs as f64 / seconds.max(f64::MIN_POSITIVE);
        writeln!(
            f,
            "{} runs of {} steps from seed {}, {seconds:.1} s, {rate:.1} runs a second",
            self.runs, self.steps, self.seed
        )?;
        writeln!(f, "calls: {} issued, {} begun, {} done", self.calls.issued, self.calls.started, self.calls.done)?;
        for (kind, count) in &self.faults {
            writeln!(f, "  {kind}: {count}")?;
        }
        let Some(failure) = &self.failure else { return writeln!(f, "violations: 0") };
        writeln!(f, "violations: {}", failure.violations.len())?;
        for violation in &failure.violations {
            writeln!(f, "  {violation}")?;
        }
        let trace = &failure.trace;
        writeln!(f, "seed {}, shortest trace found ({} actions):", trace.seed, trace.actions.len())?;
        for action in &trace.actions {
            writeln!(f, "  {action}")?;
        }
        writeln!(f, "to repeat it, save the next line to a file and give the file to --replay:")?;
        writeln!(f, "{}", serde_json::to_string(trace).unwrap_or_default())
    }
}
