//! Unit tests of parts of the gateway that need no sockets: routes, event streams, caches, the choice of an engine, and
//! the planned stop.

use foxnotch_gateway::edge::events::EventSplitter;
use foxnotch_gateway::edge::planned_stop::PlannedStop;
use foxnotch_gateway::edge::routes::{RouteTable, ServiceBalancer};
use foxnotch_gateway::edge::turn_cache::TurnCache;
use foxnotch_gateway::engines::engine::Engine;
use foxnotch_gateway::engines::learned_costs::ServicePrices;
use foxnotch_gateway::engines::part_cache::PromptPartCache;
use foxnotch_gateway::engines::peer_loads::{engine_number, PeerLoads};
use foxnotch_gateway::engines::round_trips::{NetworkPath, NetworkPaths};
use foxnotch_gateway::engines::selector::{choose_engine, Placement};
use foxnotch_gateway::ports::configuration::{Backend, Configuration, EngineEntry, Route, RouteKind};
use foxnotch_gateway::ports::dialect::PromptPart;
use foxnotch_scheduler::distance::{Proximity, TrafficPrices};
use foxnotch_scheduler::load_sharing::estimate::{EngineSet, LoadEstimate};
use foxnotch_scheduler::load_sharing::peers::{GatewayPlace, Peers};
use foxnotch_scheduler::residency::Residency;
use foxnotch_wire::{Content, EngineLoad, NodeId, TurnId, TurnRecord};
use rstest::rstest;
use std::collections::HashMap;
use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1000,
        objective_ms: 100,
        priority: 0,
        attempts: 1,
        backends: vec![Backend { service: name.to_owned(), weight: 1 }],
        retain: false,
        retention_ms: 0,
        resumable: false,
        is_open: false,
        residency: Residency::default(),
    }
}

#[rstest]
#[case("h.example", "/a/b", Some("short"))]
#[case("h.example", "/a/deep/b", Some("long"))]
#[case("H.Example:80", "/a/", Some("short"))]
#[case("h.example", "/b/", None)]
#[case("other.example", "/a/b", None)]
fn the_route_with_the_longest_matching_prefix_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    let routes = vec![route("short", "h.example", "/a/"), route("long", "h.example", "/a/deep/")];
    let table = RouteTable::new(Arc::new(Configuration { routes, ..Configuration::default() }));
    assert_eq!(table.find(host, path).map(|route| route.name.as_str()), name);
}

#[test]
fn requests_are_split_over_services_by_weight() {
    let mut split_route = route("r", "h", "/");
    split_route.backends =
        vec![Backend { service: "a".to_owned(), weight: 90 }, Backend { service: "b".to_owned(), weight: 10 }];
    let balancer = ServiceBalancer::default();
    let mut counts: HashMap<String, u32> = HashMap::new();
    for _ in 0..200 {
        *counts.entry(balancer.next_service(&split_route).expect("the route has a service")).or_default() += 1;
    }
    assert_eq!(counts["a"], 180);
    assert_eq!(counts["b"], 20);
}

#[rstest]
fn events_are_parsed_however_the_bytes_are_split(#[values(1, 2, 3, 5, 7, 1000)] size: usize) {
    let text = b"id: 1\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\n: note\n\nx-version: 3\nid:3\ndata:\n\nda";
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in text.chunks(size) {
        splitter.push(chunk);
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    let data: Vec<Option<&[u8]>> = events.iter().map(|event| event.data.as_deref()).collect();
    assert_eq!(data, vec![Some(&b"one"[..]), Some(&b"two\nlines"[..]), None, Some(&b""[..])]);
    let ids: Vec<Option<&str>> = events.iter().map(|event| event.id.as_deref()).collect();
    assert_eq!(ids, vec![Some("1"), Some("2"), None, Some("3")]);
    assert_eq!(splitter.buffered_bytes(), 2);
    let parsed_bytes: usize = events.iter().map(|event| event.raw.len()).sum();
    assert_eq!(parsed_bytes + 2, text.len());
}

#[test]
fn event_lines_may_end_with_carriage_return_and_newline() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 4\r\ndata: x\r\n\r\nid");
    let event = splitter.next_event().expect("one event is complete");
    assert_eq!(event.data.as_deref(), Some(&b"x"[..]));
    assert_eq!(event.id.as_deref(), Some("4"));
    assert!(splitter.next_event().is_none());
}

/// Returns the record of a turn with an input of `length` bytes.
fn record(length: usize) -> Arc<TurnRecord> {
    Arc::new(TurnRecord {
        previous: TurnId(0),
        engine: 0,
        regions: Vec::new(),
        input: Content::from(vec![0; length]),
        output: Content::default(),
    })
}

#[test]
fn a_full_turn_cache_evicts_the_oldest_turns() {
    let cache = TurnCache::new(3000);
    for turn in 1..=5 {
        cache.insert(TurnId(turn), record(872));
    }
    assert!(cache.get(TurnId(2)).is_none());
    assert!(cache.get(TurnId(3)).is_some());
    assert!(cache.get(TurnId(5)).is_some());
}

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

#[test]
fn a_cached_part_counts_only_together_with_all_parts_before_it() {
    let mut parts = PromptPartCache::new(10_000);
    parts.insert(&[part(1, 500), part(2, 100)], 20);
    assert_eq!(parts.held_tokens(&[part(1, 500), part(2, 100)]), 600);
    assert_eq!(parts.held_tokens(&[part(1, 500), part(2, 150)]), 620);
    assert_eq!(parts.held_tokens(&[part(1, 500), part(3, 100), part(2, 100)]), 500);
    assert_eq!(parts.held_tokens(&[part(9, 500), part(2, 100)]), 0);
}

#[test]
fn a_full_part_cache_evicts_the_least_recently_used_parts() {
    let mut parts = PromptPartCache::new(1000);
    parts.insert(&[part(1, 400)], 0);
    parts.insert(&[part(2, 400)], 0);
    parts.insert(&[part(1, 400)], 0);
    parts.insert(&[part(3, 400)], 0);
    assert_eq!(parts.held_tokens(&[part(2, 400)]), 0);
    assert_eq!(parts.held_tokens(&[part(1, 400)]), 400);
    assert_eq!(parts.held_tokens(&[part(3, 400)]), 400);
}

fn engine(id: &str, zone: &str, slots: u32) -> Arc<Engine> {
    let entry = EngineEntry {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: zone.to_owned(),
        slots,
        draining: false,
        started_at_ms: None,
        cold_left_ms: 0,
        software_version: Some(String::new()),
    };
    Arc::new(Engine::new(entry, 100_000).expect("the address is valid"))
}

/// The number of an engine that is no longer listed.
const UNLISTED_ENGINE: u32 = 1;

/// Network paths from a gateway in zone a: b and c are in the same region, x is in another one.
static PATHS: LazyLock<NetworkPaths> = LazyLock::new(|| {
    let path = |proximity, round_trip_ms| NetworkPath { proximity, round_trip_ms };
    let paths = [
        ("a", path(Proximity::SameZone, 0.5)),
        ("b", path(Proximity::SameRegion, 2.5)),
        ("c", path(Proximity::SameRegion, 2.5)),
        ("x", path(Proximity::OtherRegion, 40.0)),
    ];
    let prices = TrafficPrices { zone_ms_per_kilobyte: 1.0, region_ms_per_kilobyte: 4.0 };
    NetworkPaths::new(prices, paths.into_iter().map(|(zone, path)| (zone.to_owned(), path)).collect())
});

fn placement<'a>(prompt: &'a [PromptPart], loads: &'a LoadEstimate, program: &'a str) -> Placement<'a> {
    Placement {
        avoided: &[],
        prompt,
        is_model: true,
        paths: &PATHS,
        loads,
        program,
        previous_engine: Some(UNLISTED_ENGINE),
        kilobytes: 0.0,
        prices: ServicePrices::default(),
        outliers: true,
    }
}

/// The record of the previous turn names its engine, whichever gateway received that turn.
#[test]
fn a_turn_goes_to_the_engine_of_the_previous_turn() {
    let engines: Vec<Arc<Engine>> = (0..8).map(|index| engine(&format!("e{index}"), "b", 12)).collect();
    let loads = LoadEstimate::default();
    let prompt = [part(1, 2000)];
    for previous in &engines {
        let placement = Placement { previous_engine: Some(previous.number), ..placement(&prompt, &loads, "p1") };
        let chosen = choose_engine(&engines, &placement, &[]).expect("an engine is chosen");
        assert_eq!(chosen.engine.entry.id, previous.entry.id);
    }
}

#[test]
fn a_programs_first_turn_stays_in_the_gateways_zone_until_its_engine_is_loaded() {
    let engines = vec![engine("e0", "b", 12), engine("e1", "a", 12), engine("e2", "c", 12)];
    let loads = LoadEstimate::default();
    let prompt = [part(1, 2000)];
    let placement = Placement { previous_engine: None, ..placement(&prompt, &loads, "p1") };
    for _ in 0..20 {
        assert_eq!(choose_engine(&engines, &placement, &[]).expect("an engine is chosen").engine.entry.id, "e1");
    }
    let _in_flight: Vec<_> = (0..6).map(|_| engines[1].begin_request()).collect();
    assert_ne!(choose_engine(&engines, &placement, &[]).expect("an engine is chosen").engine.entry.id, "e1");
}

#[test]
fn all_gateways_choose_the_same_engine_for_a_program() {
    let engines: Vec<Arc<Engine>> = (0..8).map(|index| engine(&format!("e{index}"), "a", 12)).collect();
    let reversed: Vec<Arc<Engine>> = engines.iter().rev().cloned().collect();
    let loads = LoadEstimate::default();
    let prompt = [part(1, 2000)];
    for program in ["p1", "p2", "p3", "p4"] {
        let chosen = choose_engine(&engines, &placement(&prompt, &loads, program), &[]).expect("an engine is chosen");
        let chosen_in_reverse =
            choose_engine(&reversed, &placement(&prompt, &loads, program), &[]).expect("an engine is chosen");
        assert_eq!(chosen.engine.entry.id, chosen_in_reverse.engine.entry.id);
    }
}

#[test]
fn a_program_leaves_its_preferred_engine_when_that_fails_or_is_far_over_its_slots() {
    let engines: Vec<Arc<Engine>> = (0..4).map(|index| engine(&format!("e{index}"), "a", 2)).collect();
    let loads = LoadEstimate::default();
    let prompt = [part(1, 2000)];
    let placement = placement(&prompt, &loads, "p1");
    let preferred = choose_engine(&engines, &placement, &[]).expect("an engine is chosen");
    let one_request: Vec<_> = (0..1).map(|_| preferred.engine.begin_request()).collect();
    let chosen = choose_engine(&engines, &placement, &[]).expect("an engine is chosen");
    assert_eq!(
        chosen.engine.entry.id, preferred.engine.entry.id,
        "the program must stay: waiting for one request costs less than reading 2,000 tokens elsewhere"
    );
    let more_requests: Vec<_> = (0..15).map(|_| preferred.engine.begin_request()).collect();
    let other = choose_engine(&engines, &placement, &[]).expect("an engine is chosen");
    assert_ne!(other.engine.entry.id, preferred.engine.entry.id);
    drop((one_request, more_requests));
    preferred.engine.note_failure();
    let other = choose_engine(&engines, &placement, &[]).expect("an engine is chosen");
    assert_ne!(other.engine.entry.id, preferred.engine.entry.id);
}

/// Returns a report of `in_flight` requests in flight at an engine, with no ended requests.
fn engine_load(engine: u32, in_flight: u16) -> EngineLoad {
    EngineLoad { engine, in_flight, answered: 0, failed: 0 }
}

/// Estimates the load of engines of one zone from the reports of the other gateways, which are these nodes.
fn estimate_loads(peer_loads: &PeerLoads, gateways: std::ops::Range<u32>, engines: &[u32]) -> LoadEstimate {
    let gateways: Vec<GatewayPlace> = gateways.map(|node| GatewayPlace { node, zone: 0 }).collect();
    let peers = Peers::of(GatewayPlace { node: 0, zone: 0 }, &gateways);
    let candidates = EngineSet { engines: engines.to_vec(), is_of_other_group: false };
    peer_loads.estimate_loads(&peers, &[candidates])
}

/// An engine that fails requests immediately has few requests in flight and looks idle. A gateway avoids it because of
/// the outcomes that other gateways report, even before one of its own requests fails.
#[test]
fn an_engine_that_fails_other_gateways_requests_is_avoided() {
    let engines: Vec<Arc<Engine>> = (0..4).map(|index| engine(&format!("e{index}"), "a", 6)).collect();
    let peer_loads = PeerLoads::default();
    let reports = engines.iter().enumerate().map(|(index, engine)| EngineLoad {
        answered: if index == 0 { 2 } else { 10 },
        failed: if index == 0 { 2 } else { 0 },
        ..engine_load(engine.number, if index == 0 { 0 } else { 3 })
    });
    peer_loads.record_report(NodeId(7), &reports.collect::<Vec<_>>(), &[]);
    let numbers: Vec<u32> = engines.iter().map(|engine| engine.number).collect();
    let loads = estimate_loads(&peer_loads, 7..8, &numbers);
    let plain = Placement { is_model: false, ..placement(&[], &loads, "") };
    for _ in 0..20 {
        assert_ne!(choose_engine(&engines, &plain, &[]).expect("an engine is chosen").engine.entry.id, "e0");
    }
    let without_outliers = Placement { outliers: false, ..plain };
    assert_eq!(choose_engine(&engines, &without_outliers, &[]).expect("an engine is chosen").engine.entry.id, "e0");
}

/// A status 500 and a lost connection each count as one failure. A request that stops waiting for its response head
/// does not count as an outcome by itself.
#[test]
fn outcomes_of_the_gateways_own_requests_are_counted() {
    let engine = engine("e0", "a", 6);
    engine.note_success();
    engine.note_failed_answer();
    engine.note_failure();
    drop(engine.begin_waiting_for_head());
    let outcomes = engine.outcomes();
    assert_eq!((outcomes.answered, outcomes.failed), (1, 2));
}

#[test]
fn requests_of_other_gateways_in_flight_count_as_load() {
    let engines = vec![engine("e0", "a", 6), engine("e1", "a", 6)];
    let peer_loads = PeerLoads::default();
    let report = engine_load(engine_number("e0"), 5);
    peer_loads.record_report(NodeId(7), &[report], &[]);
    let numbers = [engine_number("e0"), engine_number("e1")];
    let loads = estimate_loads(&peer_loads, 7..10, &numbers);
    // One gateway of three reported 5 requests, so the other two have 10. Each engine is expected to have half of them,
    // with a weight of 8 requests an engine: (8 + 5) / (16 + 5) of them are at e0.
    assert!(
        (loads.estimated_requests(engine_number("e0")) - 11.19).abs() < 0.01,
        "the estimate for engine e0 must include requests of the two gateways without a report"
    );
    assert!(
        (loads.estimated_requests(engine_number("e1")) - 3.81).abs() < 0.01,
        "the estimate for engine e1 must include requests of the two gateways without a report"
    );
    let plain = Placement { is_model: false, ..placement(&[], &loads, "") };
    for _ in 0..20 {
        assert_eq!(choose_engine(&engines, &plain, &[]).expect("an engine is chosen").engine.entry.id, "e1");
    }
    peer_loads.record_report(NodeId(7), &[], &[]);
    assert!(estimate_loads(&peer_loads, 7..10, &numbers).estimated_requests(engine_number("e0")) < 0.01);
}

/// Guards against idle engines that look as loaded as all others: few of the many gateways have reported, and none of them
/// has a request in flight at most engines. The engine that also answered none is idle.
#[test]
fn an_engine_that_answered_no_request_is_estimated_to_be_idle() {
    let peer_loads = PeerLoads::default();
    let numbers: Vec<u32> = (0..102).collect();
    for gateway in 0..40 {
        let answered = |engine: u32| EngineLoad { answered: 1, ..engine_load(engine, u16::from(engine == gateway)) };
        let loads: Vec<EngineLoad> = (0..20).map(|offset| answered((gateway + 5 * offset) % 100)).collect();
        peer_loads.record_report(NodeId(gateway + 1), &loads, &[]);
    }
    let loads = estimate_loads(&peer_loads, 1..259, &numbers);
    let (busy, idle) = (loads.estimated_requests(50), loads.estimated_requests(101));
    assert!(busy > 2.0 && idle < 0.2 * busy, "estimated {busy} requests at a busy engine and {idle} at an idle one");
}

/// A gateway estimates loads only for gateways that have not reported.
#[test]
fn the_load_is_the_sum_of_the_reports_if_all_other_gateways_have_reported() {
    let peer_loads = PeerLoads::default();
    for (gateway, in_flight) in [(7, 5), (8, 2)] {
        peer_loads.record_report(NodeId(gateway), &[engine_load(1, in_flight)], &[]);
    }
    let loads = estimate_loads(&peer_loads, 7..9, &[1, 2]);
    assert!((loads.estimated_requests(1) - 7.0).abs() < 0.01 && loads.estimated_requests(2) < 0.01);
}

/// Guards against overestimated loads. With 259 gateways, a gateway has recent reports from about 40. One request that
/// a reporting gateway had at an engine was extrapolated to 6.5 requests, more than the engine's slots, so turns left
/// their preferred engine.
#[test]
fn one_reported_request_is_not_extrapolated_to_all_gateways() {
    let peer_loads = PeerLoads::default();
    let numbers: Vec<u32> = (0..102).collect();
    for gateway in 0..40 {
        peer_loads.record_report(NodeId(gateway + 1), &[engine_load(gateway, 1)], &[]);
    }
    let loads = estimate_loads(&peer_loads, 1..259, &numbers);
    let (reported, unreported) = (loads.estimated_requests(0), loads.estimated_requests(90));
    assert!(
        reported > unreported && reported < 4.5,
        "estimated {reported} requests at a reported engine and {unreported} at an unreported engine"
    );
    let sum: f64 = numbers.iter().map(|engine| loads.estimated_requests(*engine)).sum();
    assert!((sum / 258.0 - 1.0).abs() < 0.01, "estimated {sum} requests in total");
}

#[test]
fn an_engine_that_was_tried_is_not_chosen_again() {
    let engines = vec![engine("e0", "a", 6), engine("e1", "a", 6)];
    let loads = LoadEstimate::default();
    let placement = placement(&[], &loads, "p");
    let tried = ["e0".to_owned(), "e1".to_owned()];
    assert_eq!(choose_engine(&engines, &placement, &tried[..1]).expect("one engine remains").engine.entry.id, "e1");
    assert!(choose_engine(&engines, &placement, &tried).is_none());
}

/// Guards against requests that a stopping gateway accepts and cannot finish: one that arrived 7.6 s after the signal
/// to stop, while most other gateways were stopped, was accepted and cut off when the process ended 10 ms later.
#[rstest]
#[case::soon_after_the_signal(1.0, 4.0, true)]
#[case::with_the_required_share_left(4.3, 4.0, true)]
#[case::with_less_than_the_required_share(4.5, 4.0, false)]
#[case::short_request(6.0, 1.2, true)]
#[case::just_before_the_end(7.59, 4.0, false)]
#[case::after_the_end(7.8, 0.5, false)]
fn a_stopping_gateway_accepts_only_requests_that_it_can_finish(
    #[case] after_s: f64,
    #[case] may_take_s: f64,
    #[case] is_accepted: bool,
) {
    let begun_at = Instant::now();
    let stop = PlannedStop::begin(begun_at, Duration::from_secs(8));
    let now = begun_at + Duration::from_secs_f64(after_s);
    assert_eq!(stop.admits(now, now + Duration::from_secs_f64(may_take_s)), is_accepted);
}

#[test]
fn a_program_leaves_its_preferred_engine_only_for_a_shorter_wait() {
    let engines: Vec<Arc<Engine>> = (0..4).map(|index| engine(&format!("e{index}"), "a", 2)).collect();
    let loads = LoadEstimate::default();
    let prompt = [part(1, 2000)];
    let prices = ServicePrices { token_ms: 0.01, request_ms: 1.0, turn_ms: 100.0, answer_ms: 10.0 };
    let placement = Placement { prices, ..placement(&prompt, &loads, "p1") };
    let preferred = choose_engine(&engines, &placement, &[]).expect("an engine is chosen").engine;
    // Reading 2,000 tokens at another engine takes 20 ms. Waiting for one of two busy slots takes 50 ms.
    let _in_flight: Vec<_> = (0..2).map(|_| preferred.begin_request()).collect();
    let chosen = choose_engine(&engines, &placement, &[]).expect("an engine is chosen");
    assert_ne!(chosen.engine.entry.id, preferred.entry.id);
    let slow_prompt_prices = ServicePrices { token_ms: 0.1, ..prices };
    let placement = Placement { prices: slow_prompt_prices, ..placement };
    let chosen = choose_engine(&engines, &placement, &[]).expect("an engine is chosen");
    assert_eq!(
        chosen.engine.entry.id, preferred.entry.id,
        "the program must stay: with these prices, reading its prompt elsewhere takes 200 ms"
    );
}

#[test]
fn a_large_request_stays_in_its_zone_where_a_small_one_leaves_it() {
    let engines = vec![engine("e0", "a", 6), engine("e1", "b", 6)];
    let _in_flight: Vec<_> = (0..4).map(|_| engines[0].begin_request()).collect();
    let loads = LoadEstimate::default();
    let prices = ServicePrices { request_ms: 5.0, ..ServicePrices::default() };
    let small = Placement { previous_engine: None, prices, ..placement(&[], &loads, "p1") };
    assert_eq!(choose_engine(&engines, &small, &[]).expect("an engine is chosen").engine.entry.id, "e1");
    let large = Placement { kilobytes: 30.0, ..small };
    assert_eq!(choose_engine(&engines, &large, &[]).expect("an engine is chosen").engine.entry.id, "e0");
}

/// An engine that failed a turn of the program is chosen only if there is no other, even if it ran the previous turn.
#[test]
fn an_engine_that_failed_the_program_is_avoided() {
    let loads = LoadEstimate::default();
    let engines = ["e1", "e2", "e3"].map(|id| engine(id, "a", 8));
    let prompt = [PromptPart { id: 1, tokens: 4000 }];
    let avoided = [engines[0].number];
    let placement =
        Placement { previous_engine: Some(engines[0].number), avoided: &avoided, ..placement(&prompt, &loads, "p1") };
    let choice = choose_engine(&engines, &placement, &[]).expect("an engine is chosen");
    assert_ne!(choice.engine.number, engines[0].number);
    let tried: Vec<String> = engines[1..].iter().map(|engine| engine.entry.id.clone()).collect();
    let choice = choose_engine(&engines, &placement, &tried).expect("one engine remains");
    assert_eq!(choice.engine.number, engines[0].number);
}
