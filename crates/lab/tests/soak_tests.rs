//! The fault soak: its plans, and a short run of a fixed seed with the real programs.

use foxnotch_lab::soak::plan::{Fault, Node, Plan};
use foxnotch_lab::soak::run::{run, SoakSettings};
use std::path::Path;

/// Seconds of faults in CI; long runs are started by hand.
const SECONDS: u64 = 15;

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
async fn promises_hold_through_a_short_soak_of_a_fixed_seed() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let program = Path::new(env!("CARGO_BIN_EXE_foxnotch-lab")).with_file_name("foxnotch");
    let settings = SoakSettings { plan: Plan::draw(5, SECONDS), program, folder: folder.path().join("soak") };
    let report = run(settings).await.expect("everything can be started");
    assert!(report.violations.is_empty(), "{report}");
}

#[tokio::test]
async fn a_program_that_is_not_there_is_named() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let program = folder.path().join("foxnotch");
    let settings = SoakSettings { plan: Plan::draw(6, 1), program, folder: folder.path().join("soak") };
    let error = run(settings).await.err().expect("nothing can be started").to_string();
    assert!(error.contains("cargo build --workspace"), "{error}");
}
