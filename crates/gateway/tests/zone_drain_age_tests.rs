//! Whether a node knows how old a drain of a zone may be, in virtual time.

use foxnotch_gateway::peers::view::{Origin, ViewHolder};
use foxnotch_gateway::peers::watch_duty::{DutyTimes, WatchDuty};
use foxnotch_scheduler::zone_drain::{HeldPrompt, ZoneDrains};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Far more time than a test takes.
const WINDOW: Duration = Duration::from_secs(3600);

fn drains(zones: &[&str]) -> ZoneDrains {
    ZoneDrains::of(zones.iter().map(|zone| (*zone).to_owned()))
}

fn start() -> (ViewHolder, Arc<WatchDuty>) {
    let view = ViewHolder::default();
    let duty = Arc::new(WatchDuty::new(DutyTimes::within(Duration::from_secs(2))));
    view.use_freshness_of(duty.clone());
    (view, duty)
}

/// Whether a program may go on in the zone for a while.
fn may_stay(view: &ViewHolder, zone: &str) -> bool {
    let prompt = HeldPrompt { program_hash: u64::MAX, size: 1.0 };
    view.get().drain_starts.may_stay(zone, prompt, WINDOW, Instant::now())
}

#[tokio::test(start_paused = true)]
async fn a_node_in_touch_knows_how_old_a_drain_may_be() {
    let (view, duty) = start();
    view.adopt_zone_drains(1, drains(&[]), Origin::Peer);
    duty.take_news(Duration::from_millis(100));
    view.adopt_zone_drains(2, drains(&["a"]), Origin::Peer);
    assert!(may_stay(&view, "a"));
    view.adopt_zone_drains(3, drains(&["a", "b"]), Origin::Store);
    assert!(may_stay(&view, "b"));
}

#[tokio::test(start_paused = true)]
async fn a_node_that_was_cut_off_does_not() {
    let (view, duty) = start();
    view.adopt_zone_drains(1, drains(&[]), Origin::Peer);
    duty.take_news(Duration::from_millis(100));
    tokio::time::sleep(duty.times().contact_limit).await;
    view.adopt_zone_drains(2, drains(&["a"]), Origin::Peer);
    // The news that brought the drain count from now on.
    duty.take_news(Duration::from_millis(100));
    assert!(!may_stay(&view, "a"));
    view.adopt_zone_drains(3, drains(&["a", "b"]), Origin::Peer);
    assert!(!may_stay(&view, "a") && may_stay(&view, "b"));
}

#[tokio::test(start_paused = true)]
async fn a_node_that_has_just_started_does_not() {
    let (view, duty) = start();
    duty.take_news(Duration::from_millis(100));
    view.adopt_zone_drains(2, drains(&["a"]), Origin::Peer);
    assert!(!may_stay(&view, "a"));
}

/// What replicas have kept may be of any age; and a drain that was taken back and came again is a new one.
#[tokio::test(start_paused = true)]
async fn a_node_that_found_it_on_disks_does_not() {
    let (view, duty) = start();
    view.adopt_zone_drains(2, drains(&["a"]), Origin::KeptByReplicas);
    assert!(!may_stay(&view, "a"));
    duty.take_news(Duration::from_millis(100));
    view.adopt_zone_drains(3, drains(&[]), Origin::Peer);
    view.adopt_zone_drains(4, drains(&["a"]), Origin::Peer);
    assert!(may_stay(&view, "a"));
}
