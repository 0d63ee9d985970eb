//! Tests of the fault soak's plans, and short runs of the soak with fixed seeds and the real programs.
//!
//! `scripts/soak` runs the soak with other seeds, for longer, or with the plan of an earlier run.

mod soak;

use soak::cold_starts::{generate_cold_starts, plan_without_steps, run_cold_starts};
use soak::fatal_requests::run_with_fatal_requests;
use soak::plan::{Fault, Node, Plan};
use soak::processes::Programs;
use soak::run::{run, SoakSettings};
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// Seed of the plan in CI.
const SEED: u64 = 5;
/// Duration of the faults in CI, in seconds.
const FAULT_SECONDS: u64 = 15;
/// Seed of the plan in CI in which engines are replaced by those of another software version.
const VERSIONS_SEED: u64 = 12;
/// Duration of the faults of that plan in CI, in seconds.
const VERSIONS_SECONDS: u64 = 30;
/// Seed of the plan in CI in which all gateways lose power while engines are replaced.
const POWER_LOSSES_SEED: u64 = 76;
/// Seed of the plan in CI with requests under which engines end.
const FATAL_SEED: u64 = 8;
/// Seed of the plan in CI with engines that send bytes without end.
const ENDLESS_SEED: u64 = 31;
/// Seed of the cold starts in CI. Its two rounds include the loss of a disk and a configuration with 1400 additional
/// routes.
const COLD_SEED: u64 = 7;
/// Number of cold starts in CI.
const COLD_STARTS: usize = 2;

/// Returns the number in an environment variable that `scripts/soak` sets, or the default for CI when it is not set.
fn number_from_env<T: FromStr>(name: &str, default: T) -> T {
    match std::env::var(name) {
        Ok(text) => text.parse().unwrap_or_else(|_| panic!("{name} is {text:?}; set it to a whole number")),
        Err(_) => default,
    }
}

/// Returns the paths of the `foxnotch` program of this build and of the older build that `scripts/soak` names, if any.
fn programs() -> Programs {
    let newest = Path::new(env!("CARGO_BIN_EXE_foxnotch-lab")).with_file_name("foxnotch");
    Programs { newest, older: std::env::var("SOAK_OLDER").ok().map(PathBuf::from) }
}

fn read_plan(file: &str) -> Plan {
    let text = std::fs::read(file).unwrap_or_else(|error| panic!("{file} cannot be read ({error})"));
    serde_json::from_slice(&text)
        .unwrap_or_else(|error| panic!("{file} is not a plan ({error}); use plan.json from a soak's folder"))
}

#[test]
fn a_plan_is_the_same_for_the_same_seed_and_survives_its_file() {
    let plan = Plan::draw(7, 60);
    assert_eq!(plan, Plan::draw(7, 60));
    assert_ne!(plan.steps, Plan::draw(8, 60).steps);
    let text = serde_json::to_vec(&plan).expect("the plan can be serialized");
    assert_eq!(serde_json::from_slice::<Plan>(&text).expect("the serialized plan can be parsed"), plan);
}

/// The replica set of three members tolerates the loss of one. A plan that loses two members at a time would fail
/// without a fault in the product.
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
                assert!(step.at_ms >= free_at, "the plan of seed {seed} loses two replicas at {} ms", step.at_ms);
                free_at = step.at_ms + step.for_ms;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_through_a_soak() {
    let temporary = tempfile::tempdir().expect("a temporary folder can be created");
    let folder = std::env::var("SOAK_FOLDER").map_or_else(|_| temporary.path().join("soak"), PathBuf::from);
    let plan = std::env::var("SOAK_REPLAY").map_or_else(
        |_| Plan::draw(number_from_env("SOAK_SEED", SEED), number_from_env("SOAK_SECONDS", FAULT_SECONDS)),
        |file| read_plan(&file),
    );
    let report = run(SoakSettings { plan, programs: programs(), folder }).await.expect("the soak can be started");
    println!("{report}");
    assert!(report.violations.is_empty(), "{report}");
}

/// Engines are replaced by those of another software version while gateways and replicas are under faults. Callers
/// resume their streams at any gateway, and each stream stays at the version that began it.
#[tokio::test(flavor = "multi_thread")]
async fn streams_keep_their_version_through_a_soak() {
    let temporary = tempfile::tempdir().expect("a temporary folder can be created");
    let folder = std::env::var("SOAK_FOLDER").map_or_else(|_| temporary.path().join("soak"), PathBuf::from);
    let seed = number_from_env("SOAK_SEED", VERSIONS_SEED);
    let plan = Plan::draw_with_version_changes(seed, number_from_env("SOAK_SECONDS", VERSIONS_SECONDS));
    let report = run(SoakSettings { plan, programs: programs(), folder }).await.expect("the soak can be started");
    println!("{report}");
    assert!(report.violations.is_empty(), "{report}");
}

/// All gateways are killed at once while engines of two software versions serve, or just after those of one have left.
/// No gateway remembers a stream then, and callers resume theirs at the gateways that come back.
#[tokio::test(flavor = "multi_thread")]
async fn streams_keep_their_version_when_all_gateways_lose_power() {
    let temporary = tempfile::tempdir().expect("a temporary folder can be created");
    let folder = std::env::var("SOAK_FOLDER").map_or_else(|_| temporary.path().join("soak"), PathBuf::from);
    let (seed, seconds) =
        (number_from_env("SOAK_SEED", POWER_LOSSES_SEED), number_from_env("SOAK_SECONDS", FAULT_SECONDS));
    let plan = Plan::draw_power_losses_of_gateways(seed, seconds);
    let report = run(SoakSettings { plan, programs: programs(), folder }).await.expect("the soak can be started");
    println!("{report}");
    assert!(report.violations.is_empty(), "{report}");
    assert_eq!(report.skipped, 0, "each loss of power has to reach all gateways: {report}");
    let resumed = report.outcomes.get("stream resumed 200").copied().unwrap_or(0);
    assert!(resumed > 0, "no stream was resumed: {report}");
}

/// Engines end under some requests while gateways and replicas are under faults. At most three end under each.
#[tokio::test(flavor = "multi_thread")]
async fn few_engines_end_under_a_request_through_a_soak() {
    let temporary = tempfile::tempdir().expect("a temporary folder can be created");
    let folder = std::env::var("SOAK_FOLDER").map_or_else(|_| temporary.path().join("soak"), PathBuf::from);
    let plan = Plan::draw(number_from_env("SOAK_SEED", FATAL_SEED), number_from_env("SOAK_SECONDS", FAULT_SECONDS));
    let report = run_with_fatal_requests(SoakSettings { plan, programs: programs(), folder }).await;
    let report = report.expect("the soak can be started");
    println!("{report}");
    assert!(report.violations.is_empty(), "{report}");
}

/// Paths to engines send bytes without end while gateways and replicas are under faults. All promises hold, and no process
/// holds more memory than its machine has.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_beside_bytes_without_end_through_a_soak() {
    let temporary = tempfile::tempdir().expect("a temporary folder can be created");
    let folder = std::env::var("SOAK_FOLDER").map_or_else(|_| temporary.path().join("soak"), PathBuf::from);
    let (seed, seconds) = (number_from_env("SOAK_SEED", ENDLESS_SEED), number_from_env("SOAK_SECONDS", FAULT_SECONDS));
    let plan = Plan::draw_with_endless_bytes(seed, seconds);
    let report = run(SoakSettings { plan, programs: programs(), folder }).await.expect("the soak can be started");
    println!("{report}");
    assert!(report.violations.is_empty(), "{report}");
}

#[test]
fn the_cold_starts_of_ci_include_a_lost_disk_and_many_routes() {
    let starts = generate_cold_starts(COLD_SEED, COLD_STARTS);
    assert!(starts.iter().any(|start| start.wiped.is_some()), "{starts:?}");
    assert!(starts.iter().any(|start| start.more_routes > 0), "{starts:?}");
}

/// All processes are killed while the store is unreachable, and must serve requests before it is reachable again.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_when_all_start_again_without_the_store() {
    let temporary = tempfile::tempdir().expect("a temporary folder can be created");
    let folder = std::env::var("SOAK_FOLDER").map_or_else(|_| temporary.path().join("soak"), PathBuf::from);
    let plan = plan_without_steps(number_from_env("SOAK_SEED", COLD_SEED));
    let settings = SoakSettings { plan, programs: programs(), folder };
    let report = run_cold_starts(settings, number_from_env("SOAK_COLD_STARTS", COLD_STARTS)).await;
    let report = report.expect("the soak can be started");
    println!("{report}");
    assert!(report.violations.is_empty(), "{report}");
}

#[tokio::test]
async fn a_missing_program_is_reported() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let programs = Programs { newest: folder.path().join("foxnotch"), older: None };
    let settings = SoakSettings { plan: Plan::draw(6, 1), programs, folder: folder.path().join("soak") };
    let error = run(settings).await.err().expect("the soak must not start without the programs").to_string();
    assert!(error.contains("cargo build --workspace"), "{error}");
}
