//! Which gateways watch the platform's store, and how soon the others do when they hear nothing fresh. Virtual time.

mod support;

use foxnotch_gateway::peers::view::ViewHolder;
use foxnotch_gateway::peers::watch_duty::{group_of, DutyTimes, WatchDuty};
use foxnotch_gateway::ports::configuration::Configuration;
use foxnotch_gateway::ports::store::{Kind, ObjectBody};
use foxnotch_gateway::store_watch::{follow, probe, ConfigurationFollower};
use foxnotch_wire::NodeId;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use support::store::StubStore;

/// The time within which a change has to be in force.
const BOUND: Duration = Duration::from_secs(2);

fn duty() -> Arc<WatchDuty> {
    Arc::new(WatchDuty::new(DutyTimes::within(BOUND)))
}

fn configuration(version: u64) -> ObjectBody {
    ObjectBody::Configuration(Configuration { version, ..Configuration::default() })
}

/// A node that follows the configuration while its duty says so.
fn start_node(store: &StubStore) -> (Arc<WatchDuty>, Arc<ViewHolder>) {
    let (duty, view) = (duty(), Arc::new(ViewHolder::default()));
    let shared = Arc::new(store.clone());
    let follower = ConfigurationFollower { view: view.clone() };
    tokio::spawn(follow(shared.clone(), Kind::Configuration, duty.clone(), follower));
    tokio::spawn(probe(shared, duty.clone()));
    (duty, view)
}

async fn wait(milliseconds: u64) {
    tokio::time::sleep(Duration::from_millis(milliseconds)).await;
}

/// Reviews the duty as a gateway does, and takes news of `age` each time while `told` says so.
async fn review_for(duty: &WatchDuty, time: Duration, age: Option<Duration>) {
    let until = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < until {
        if let Some(age) = age {
            duty.take_news(age);
        }
        duty.review();
        tokio::time::sleep(duty.times().period).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_gateway_watches_until_it_hears_news_and_again_when_they_cease() {
    let duty = duty();
    assert!(duty.review());
    duty.take_news(Duration::ZERO);
    assert!(!duty.review());
    tokio::time::sleep(duty.times().silence_limit).await;
    assert!(duty.review());
}

#[rstest]
#[case::fresh(0, false)]
#[case::old(1300, true)]
#[tokio::test(start_paused = true)]
async fn news_that_rest_on_an_old_answer_of_the_store_do_not_count(#[case] age_ms: u64, #[case] watches: bool) {
    let duty = duty();
    duty.take_news(Duration::from_millis(age_ms));
    assert_eq!(duty.review(), watches);
}

#[tokio::test(start_paused = true)]
async fn the_first_of_a_group_watches_whatever_it_hears() {
    let duty = duty();
    duty.set_first(true);
    duty.take_news(Duration::ZERO);
    assert!(duty.review());
}

#[tokio::test(start_paused = true)]
async fn a_gateway_that_the_store_does_not_serve_has_no_news() {
    let duty = duty();
    assert_eq!(duty.contact_age(), None);
    duty.note_contact();
    assert!(duty.contact_age().is_some());
    duty.note_watches(Kind::Engines, true);
    assert_eq!(duty.contact_age(), None);
    duty.note_watches(Kind::Engines, false);
    tokio::time::sleep(duty.times().contact_limit).await;
    assert_eq!(duty.contact_age(), None);
}

#[rstest]
#[case(1)]
#[case(9)]
#[case(70)]
fn each_gateway_is_in_one_group_that_all_of_it_agree_on(#[case] count: u32) {
    let nodes: Vec<NodeId> = (0..count).map(|number| NodeId(number.wrapping_mul(2_654_435_761))).collect();
    let mut firsts = 0;
    for node in &nodes {
        let group = group_of(*node, &nodes);
        assert!(group.contains(node) && group.len() <= 16);
        assert!(group.iter().all(|other| group_of(*other, &nodes) == group));
        firsts += usize::from(group.first() == Some(node));
    }
    assert_eq!(firsts, count.div_ceil(16) as usize);
}

#[tokio::test(start_paused = true)]
async fn a_gateway_that_hears_fresh_news_does_not_call_the_store() {
    let store = StubStore::default();
    store.put(Kind::Configuration, "main", configuration(1));
    let (duty, view) = start_node(&store);
    review_for(&duty, Duration::from_secs(1), None).await;
    let before = store.calls();
    assert!(before > 0);
    review_for(&duty, Duration::from_secs(20), Some(Duration::ZERO)).await;
    assert_eq!(store.calls(), before);
    // The news cease: a change is seen within the time that it has.
    store.put(Kind::Configuration, "main", configuration(2));
    review_for(&duty, BOUND.mul_f64(0.6), None).await;
    assert_eq!(view.get().configuration.value.version, 2);
}

/// A teller that the store swallowed goes on telling, with an age that grows: whoever goes by it watches in time.
#[tokio::test(start_paused = true)]
async fn a_teller_that_the_store_has_fallen_silent_to_is_not_believed_for_long() {
    let (store, swallowed) = (StubStore::default(), StubStore::default());
    store.put(Kind::Configuration, "main", configuration(1));
    let (teller, _) = start_node(&swallowed);
    let (listener, view) = start_node(&store);
    teller.set_first(true);
    wait(3000).await;
    swallowed.fall_silent();
    store.put(Kind::Configuration, "main", configuration(2));
    let begun_at = tokio::time::Instant::now();
    while view.get().configuration.value.version < 2 {
        if let Some(age) = teller.contact_age() {
            listener.take_news(age);
        }
        listener.review();
        tokio::time::sleep(listener.times().period).await;
        assert!(begun_at.elapsed() < BOUND, "the change was not seen within its time");
    }
}

/// The watch of a silent store is made anew as soon as a question goes unanswered, not only when its own wait is over.
#[tokio::test(start_paused = true)]
async fn a_probe_finds_a_silent_store_before_the_watch_does() {
    let store = StubStore::default();
    store.put(Kind::Configuration, "main", configuration(1));
    let (_, view) = start_node(&store);
    wait(700).await;
    store.fall_silent();
    wait(1100).await;
    store.speak_again();
    store.put(Kind::Configuration, "main", configuration(2));
    wait(1100).await;
    assert_eq!(view.get().configuration.value.version, 2);
}
