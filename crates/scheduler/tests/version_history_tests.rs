//! Tests for how long one software version has been the only one of a service.
//!
//! Guards against a history that counts what it does not know as "no other version": an engine of unknown version that
//! came and left, and changes between two lists, once went unnoticed.

use foxnotch_scheduler::version_history::{
    Continuity, EngineStart, ListedEngine, VersionHistory, MAX_LIST_GAP, UNLISTED_SERVICE_TIME,
};
use proptest::prelude::*;
use rstest::rstest;
use std::time::{Duration, Instant};

const SERVICE: &str = "drafts";
const SECOND: Duration = Duration::from_secs(1);

fn engine(id: &str, version: Option<&str>) -> ListedEngine {
    let start = EngineStart { id: id.to_owned(), address: "10.0.0.1:80".to_owned(), started_at_ms: None };
    ListedEngine { service: SERVICE.to_owned(), start, version: version.map(str::to_owned) }
}

/// A history with the time of its gateway.
struct Gateway {
    history: VersionHistory,
    now: Instant,
}

impl Gateway {
    /// Starts with a list of one engine of the version v1.
    fn new() -> Self {
        let mut gateway = Self { history: VersionHistory::default(), now: Instant::now() };
        gateway.get_list(&[("a", Some("v1"))], Continuity::ResultOnly);
        gateway
    }

    fn get_list(&mut self, engines: &[(&str, Option<&str>)], continuity: Continuity) {
        let engines = engines.iter().map(|(id, version)| engine(id, *version)).collect();
        self.history.add_list(engines, continuity, self.now);
    }

    fn confirm(&mut self) {
        self.history.confirm(self.now);
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    /// The only version, and the time for which it is known to be that.
    fn only(&self) -> Option<(String, Duration)> {
        self.history.only_version(SERVICE, self.now).map(|only| (only.version, only.known_for))
    }

    fn known_for(&self) -> Duration {
        self.only().expect("all engines have one version").1
    }
}

#[test]
fn a_version_is_known_since_the_first_list() {
    let mut gateway = Gateway::new();
    gateway.wait(7 * SECOND);
    assert_eq!(gateway.only(), Some(("v1".to_owned(), 7 * SECOND)));
    assert!(gateway.history.only_version("another", gateway.now).is_none());
}

#[rstest]
#[case::several(&[("a", Some("v1")), ("b", Some("v2"))])]
#[case::one_unknown(&[("a", Some("v1")), ("b", None)])]
#[case::all_unknown(&[("a", None)])]
#[case::none_listed(&[])]
fn there_is_no_only_version(#[case] listed: &[(&str, Option<&str>)]) {
    let mut gateway = Gateway::new();
    gateway.get_list(listed, Continuity::AllChanges);
    assert_eq!(gateway.only(), None);
}

#[test]
fn an_engine_that_is_no_longer_listed_may_serve_for_some_time() {
    let mut gateway = Gateway::new();
    gateway.get_list(&[("a", Some("v1")), ("b", Some("v2"))], Continuity::AllChanges);
    gateway.wait(SECOND);
    gateway.get_list(&[("a", Some("v1"))], Continuity::AllChanges);
    gateway.wait(UNLISTED_SERVICE_TIME);
    assert_eq!(gateway.known_for(), Duration::ZERO);
    gateway.wait(3 * SECOND);
    assert_eq!(gateway.known_for(), 3 * SECOND);
    assert!(!gateway.history.only_version(SERVICE, gateway.now).expect("one version is listed").is_first);
}

/// A node of an older build left out the version of an engine, which leaves before any other entry tells it.
#[test]
fn an_engine_of_unknown_version_that_has_left_counts_as_another_version() {
    let mut gateway = Gateway::new();
    gateway.get_list(&[("a", Some("v1")), ("b", None)], Continuity::AllChanges);
    gateway.get_list(&[("a", Some("v1"))], Continuity::AllChanges);
    gateway.wait(UNLISTED_SERVICE_TIME);
    assert_eq!(gateway.known_for(), Duration::ZERO);
}

#[test]
fn an_engine_whose_version_becomes_known_counts_with_that_version() {
    let mut gateway = Gateway::new();
    gateway.get_list(&[("a", Some("v1")), ("b", None)], Continuity::AllChanges);
    gateway.wait(SECOND);
    gateway.get_list(&[("a", Some("v1")), ("b", Some("v1"))], Continuity::AllChanges);
    assert_eq!(gateway.known_for(), SECOND);
    gateway.get_list(&[("a", Some("v1"))], Continuity::AllChanges);
    assert_eq!(gateway.known_for(), SECOND);
}

/// The whole entry of the same revision tells the start's time as well, and describes the same start.
#[test]
fn an_engine_whose_start_and_version_become_known_counts_with_that_version() {
    let mut gateway = Gateway::new();
    gateway.get_list(&[("a", Some("v1")), ("b", None)], Continuity::AllChanges);
    gateway.wait(SECOND);
    let mut whole = engine("b", Some("v1"));
    whole.start.started_at_ms = Some(1000);
    let list = vec![engine("a", Some("v1")), whole];
    gateway.history.add_list(list, Continuity::SameRevision, gateway.now);
    assert_eq!(gateway.known_for(), SECOND);
}

/// Whether the version is known since the start after a second list.
#[rstest]
#[case::all_changes_are_known(Continuity::AllChanges, None, true)]
#[case::lists_follow_each_other_closely(Continuity::ResultOnly, Some(MAX_LIST_GAP), true)]
#[case::lists_are_far_apart(Continuity::ResultOnly, Some(MAX_LIST_GAP + SECOND), false)]
#[case::the_first_list_was_never_confirmed(Continuity::ResultOnly, None, false)]
fn a_gap_between_lists_begins_the_history_anew(
    #[case] continuity: Continuity,
    #[case] confirmed_ago: Option<Duration>,
    #[case] is_known_since_start: bool,
) {
    let mut gateway = Gateway::new();
    gateway.wait(20 * SECOND);
    if let Some(ago) = confirmed_ago {
        gateway.confirm();
        gateway.wait(ago);
    }
    gateway.get_list(&[("a", Some("v1"))], continuity);
    assert_eq!(gateway.known_for() >= 20 * SECOND, is_known_since_start);
}

#[test]
fn an_engine_that_came_and_left_between_two_lists_counts() {
    let mut gateway = Gateway::new();
    gateway.wait(20 * SECOND);
    gateway.history.add_passing_engine(engine("b", Some("v2")), gateway.now);
    gateway.get_list(&[("a", Some("v1"))], Continuity::AllChanges);
    assert_eq!(gateway.known_for(), Duration::ZERO);
}

/// One step of the property.
#[derive(Clone, Debug)]
enum Step {
    /// Milliseconds pass.
    Wait(u64),
    /// An engine of this version is listed.
    Add(usize),
    /// The engine that has been listed longest is no longer listed.
    RemoveOldest,
    /// The gateway gets the result of the latest changes from another node.
    GetResult,
    /// The gateway gets all changes from the store.
    GetAllChanges,
    /// The store confirms the gateway's list, if it is up to date.
    Confirm,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..6_000_u64).prop_map(Step::Wait),
        2 => (0..3_usize).prop_map(Step::Add),
        2 => Just(Step::RemoveOldest),
        2 => Just(Step::GetResult),
        1 => Just(Step::GetAllChanges),
        2 => Just(Step::Confirm),
    ]
}

/// An engine in the store's list.
#[derive(Clone, Debug)]
struct StoredEngine {
    id: String,
    version: String,
    listed_at: Instant,
}

/// The store's list of engines, and what a gateway knows of it.
struct Model {
    gateway: Gateway,
    engines: Vec<StoredEngine>,
    /// Engines that were added since the gateway's list.
    added: Vec<StoredEngine>,
    /// Versions that have been listed, and when they were listed last.
    last_listed: Vec<(String, Instant)>,
    is_up_to_date: bool,
    next_id: usize,
}

impl Model {
    fn new() -> Self {
        let gateway = Gateway::new();
        let engines = vec![StoredEngine { id: "a".to_owned(), version: "v1".to_owned(), listed_at: gateway.now }];
        Self { gateway, engines, added: Vec::new(), last_listed: Vec::new(), is_up_to_date: true, next_id: 0 }
    }

    fn apply(&mut self, step: &Step) {
        let now = self.gateway.now;
        match step {
            Step::Wait(ms) => self.gateway.wait(Duration::from_millis(*ms)),
            Step::Add(version) => {
                let engine =
                    StoredEngine { id: format!("e{}", self.next_id), version: format!("v{version}"), listed_at: now };
                self.next_id += 1;
                self.engines.push(engine.clone());
                self.added.push(engine);
                self.is_up_to_date = false;
            }
            Step::RemoveOldest => {
                let is_listed_long = |engine: &StoredEngine| now.duration_since(engine.listed_at) > MAX_LIST_GAP;
                if self.engines.len() > 1 && self.engines.first().is_some_and(is_listed_long) {
                    let removed = self.engines.remove(0);
                    self.last_listed.push((removed.version, now));
                    self.is_up_to_date = false;
                }
            }
            Step::GetResult => self.get_list(Continuity::ResultOnly),
            Step::GetAllChanges => {
                for added in std::mem::take(&mut self.added) {
                    self.gateway.history.add_passing_engine(engine(&added.id, Some(&added.version)), now);
                }
                self.get_list(Continuity::AllChanges);
            }
            Step::Confirm if self.is_up_to_date => self.gateway.confirm(),
            Step::Confirm => {}
        }
    }

    fn get_list(&mut self, continuity: Continuity) {
        let listed: Vec<(&str, Option<&str>)> =
            self.engines.iter().map(|engine| (engine.id.as_str(), Some(engine.version.as_str()))).collect();
        self.gateway.get_list(&listed, continuity);
        self.added.clear();
        self.is_up_to_date = true;
    }

    /// If the gateway's list is up to date, no other version than its only one was listed for as long as it says.
    fn check(&self) {
        let Some((version, known_for)) = self.gateway.only().filter(|_| self.is_up_to_date) else { return };
        for (other, listed_at) in self.last_listed.iter().filter(|(other, _)| *other != version) {
            let listed_ago = self.gateway.now.duration_since(*listed_at);
            assert!(
                listed_ago >= known_for,
                "{version} is said to be the only one for {known_for:?}, and {other} was listed {listed_ago:?} ago"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn no_other_version_was_listed_while_one_is_said_to_be_the_only_one(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
            model.check();
        }
    }
}
