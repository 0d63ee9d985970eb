//! The fault soak: its plans, and a short run of a fixed seed with the real programs.
//!
//! `scripts/soak` runs it by hand, with other seeds, longer, or by the plan of an earlier run.

mod soak;

use soak::cold_starts::{draw_cold_starts, plan_of as plan_of_cold_starts, run_cold_starts};
use soak::plan::{Fault, Node, Plan};
use soak::processes::Programs;
use soak::run::{run, SoakSettings};
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// The seed in CI.
const SEED: u64 = 5;
/// Seconds of faults in CI.
const SECONDS: u64 = 15;
/// The seed of the cold starts in CI; its two rounds lose a disk and bring 1400 routes.
const COLD_SEED: u64 = 7;
/// Cold starts in CI.
const COLD_STARTS: usize = 2;

/// A number that `scripts/soak` gives, or the one for CI.
fn given<T: FromStr>(name: &str, otherwise: T) -> T {
    match std::env::var(name) {
        Ok(text) => text.parse().unwrap_or_else(|_| panic!("{name} is {text:?}; give a whole number")),
        Err(_) => otherwise,
    }
}

/// The program beside the tests, and the older one that `scripts/soak` gives.
fn programs() -> Programs {
    let newest = Path::new(env!("CARGO_BIN_EXE_foxnotch-lab")).with_file_name("foxnotch");
    Programs { newest, older: std::env::var("SOAK_OLDER").ok().map(PathBuf::from) }
}

fn plan_of(file: &str) -> Plan {
    let text = std::fs::read(file).unwrap_or_else(|error| panic!("{file} cannot be read ({error})"));
    serde_json::from_slice(&text)
        .unwrap_or_else(|error| panic!("{file} holds no plan ({error}); take plan.json of a soak's folder"))
}

#[test]
fn a_plan_is_the_same_for_the_same_seed_and_survives_its_file() {
    let plan = Plan::draw(7, 60);
    assert_eq!(plan, Plan::draw(7, 60));
    assert_ne!(plan.steps, Plan::draw(8, 60).steps);
    let text = serde_json::to_vec(&plan).expect("it can be coded");
    assert_eq!(serde_json::from_slice::<Plan>(&text).expect("it can be read"), plan);
}

/// One replica of the three members may be lost at a time: what a plan does beyond that would prove nothing.
#[test]
fn no_plan_loses_two_replicas_at_the_same_time() {
    for seed in 0..200 {
        let mut free_at = 0;
        for step in Plan::draw(seed, 300).steps {
            let node = match step.fault {
                Fault::Kill { node } | Fault::Pause { node } | Fault::Stop { node } | Fault::Wipe { node } => node,
                _ => continue,
            };
            if matches!(node, Node::Replica(_)) {
                assert!(step.at_ms >= free_at, "seed {seed} loses two at {} ms", step.at_ms);
                free_at = step.at_ms + step.for_ms;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_through_a_soak() {
    let temporary = tempfile::tempdir().expect("a folder can be made");
    let folder = std::env::var("SOAK_FOLDER").map_or_else(|_| temporary.path().join("soak"), PathBuf::from);
    let plan = std::env::var("SOAK_REPLAY")
        .map_or_else(|_| Plan::draw(given("SOAK_SEED", SEED), given("SOAK_SECONDS", SECONDS)), |file| plan_of(&file));
    let report = run(SoakSettings { plan, programs: programs(), folder }).await.expect("everything can be started");
    println!("{report}");
    assert!(report.violations.is_empty(), "{report}");
}

#[test]
fn the_cold_starts_of_ci_lose_a_disk_and_bring_many_routes() {
    let starts = draw_cold_starts(COLD_SEED, COLD_STARTS);
    assert!(starts.iter().any(|start| start.wiped.is_some()), "{starts:?}");
    assert!(starts.iter().any(|start| start.more_routes > 0), "{starts:?}");
}

/// All processes are killed while the store answers nobody, and have to serve before it is back.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_when_all_start_again_without_the_store() {
    let temporary = tempfile::tempdir().expect("a folder can be made");
    let folder = std::env::var("SOAK_FOLDER").map_or_else(|_| temporary.path().join("soak"), PathBuf::from);
    let plan = plan_of_cold_starts(given("SOAK_SEED", COLD_SEED));
    let settings = SoakSettings { plan, programs: programs(), folder };
    let report = run_cold_starts(settings, given("SOAK_COLD_STARTS", COLD_STARTS)).await;
    let report = report.expect("everything can be started");
    println!("{report}");
    assert!(report.violations.is_empty(), "{report}");
}

#[tokio::test]
async fn a_program_that_is_not_there_is_named() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let programs = Programs { newest: folder.path().join("foxnotch"), older: None };
    let settings = SoakSettings { plan: Plan::draw(6, 1), programs, folder: folder.path().join("soak") };
    let error = run(settings).await.err().expect("nothing can be started").to_string();
    assert!(error.contains("cargo build --workspace"), "{error}");
}
