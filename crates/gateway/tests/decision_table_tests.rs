//! Decision tables for overload, failures and time limits: each rule is tested over the whole range of its inputs.

use foxnotch_gateway::buffer_budget::BuffersFull;
use foxnotch_gateway::edge::call::Call;
use foxnotch_gateway::edge::refusal::{Refusal, RefusalKind};
use foxnotch_gateway::edge::send_record::SendRecord;
use foxnotch_gateway::engines::engine::Engine;
use foxnotch_gateway::engines::learned_costs::ServicePrices;
use foxnotch_gateway::engines::round_trips::{NetworkPath, NetworkPaths};
use foxnotch_gateway::engines::selector::{choose_engine, Choice, Placement};
use foxnotch_gateway::ports::configuration::{EngineEntry, Route, RouteKind};
use foxnotch_gateway::ports::dialect::{CallMetadata, PromptPart};
use foxnotch_scheduler::distance::{Proximity, TrafficPrices};
use foxnotch_scheduler::load_sharing::estimate::LoadEstimate;
use foxnotch_scheduler::quota::ProgramStage;
use foxnotch_scheduler::residency::{Residency, ResidencyDenial};
use foxnotch_scheduler::retry::{NextStep, PauseDecision, RepeatLimit, SendOutcome};
use foxnotch_scheduler::slow_start::warmth::ColdCause;
use foxnotch_scheduler::slow_start::SlowStart;
use foxnotch_scheduler::tenants::KeyDenial;
use http::{header, Request};
use rstest::rstest;
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Returns each refusal with its name, its HTTP status, and the seconds in its `retry-after` header.
fn refusals() -> Vec<(Refusal, &'static str, u16, Option<&'static str>)> {
    let text = || "x".to_owned();
    let ms = Duration::from_millis;
    vec![
        (Refusal::NoConfiguration, "no_configuration", 503, Some("0.300")),
        (Refusal::ConfigurationBehind, "configuration_behind", 503, Some("0.300")),
        (Refusal::ConfigurationUnconfirmed, "configuration_unconfirmed", 503, Some("1.000")),
        (Refusal::Stopping, "stopping", 503, Some("0.200")),
        (Refusal::NoRoute, "no_route", 404, None),
        (Refusal::KeyDenied(KeyDenial::Missing), "key_denied", 401, None),
        (Refusal::OverLimit(ms(0)), "over_limit", 429, Some("0.020")),
        (Refusal::OverLimit(ms(19)), "over_limit", 429, Some("0.020")),
        (Refusal::OverLimit(ms(21)), "over_limit", 429, Some("0.021")),
        (Refusal::OverLimit(ms(4_000)), "over_limit", 429, Some("4.000")),
        (Refusal::LimitUnknown, "limit_unknown", 503, Some("0.200")),
        (Refusal::Malformed("x"), "malformed", 400, None),
        (Refusal::TooLarge(1), "too_large", 413, None),
        (Refusal::BuffersFull(BuffersFull { held: 2, limit: 1 }), "buffers_full", 503, Some("0.200")),
        (Refusal::NoRoom(ms(300)), "no_room", 503, Some("0.300")),
        (Refusal::NoRoom(ms(1_000)), "no_room", 503, Some("1.000")),
        (Refusal::NoEngineReachable, "no_engine_reachable", 503, Some("0.200")),
        (Refusal::ZonesDrained, "zones_drained", 503, Some("1.000")),
        (Refusal::OutsideRegions(ResidencyDenial::NoCommonRegion), "no_common_region", 503, Some("30.000")),
        (Refusal::OutsideRegions(ResidencyDenial::NoEngine), "no_engine_in_regions", 503, Some("30.000")),
        (Refusal::OutsideRegions(ResidencyDenial::NoneInService), "none_in_service_in_regions", 503, Some("1.000")),
        (Refusal::NotKeptInRegions, "not_kept_in_regions", 503, Some("30.000")),
        (Refusal::ChainOutsideRegions, "chain_outside_regions", 503, Some("30.000")),
        (Refusal::NoQuorum(text()), "no_quorum", 503, Some("0.200")),
        (Refusal::ChainUnknown, "chain_unknown", 503, Some("0.200")),
        (Refusal::NoSuchTurn, "no_such_turn", 404, None),
        (Refusal::BudgetSpent, "budget_spent", 402, None),
        (Refusal::BudgetUnknown, "budget_unknown", 503, Some("0.200")),
        (Refusal::StreamVersionUnknown, "stream_version_unknown", 503, Some("0.200")),
        (Refusal::StreamVersionGone, "stream_version_gone", 503, Some("0.200")),
        (Refusal::EngineLossesUnknown, "engine_losses_unknown", 503, Some("0.200")),
        (Refusal::EnginesEnded(3), "engines_ended", 502, None),
        (Refusal::OutOfTime, "out_of_time", 503, Some("0.200")),
        (Refusal::MayHaveRun(text()), "may_have_run", 502, None),
        (Refusal::TimedOut, "timed_out", 504, None),
    ]
}

#[test]
fn each_refusal_has_its_status_and_its_time_to_retry() {
    for (refusal, name, status, retry_after) in refusals() {
        let response = refusal.to_response();
        let header =
            response.headers().get(header::RETRY_AFTER).map(|value| value.to_str().expect("the value is text"));
        assert_eq!((refusal.name(), response.status().as_u16(), header), (name, status, retry_after));
    }
}

#[test]
fn the_table_of_refusals_is_complete() {
    for kind in RefusalKind::ALL {
        assert!(
            refusals().iter().any(|(refusal, ..)| refusal.kind() == *kind),
            "the table of refusals in this test does not contain {}",
            kind.name()
        );
    }
}

/// The operators' page lists each refusal with its status. The scheduler's tests check the page's other columns.
#[test]
fn the_operators_page_has_each_refusal_with_its_status() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/DECISIONS.md");
    let page = std::fs::read_to_string(page).expect("docs/DECISIONS.md can be read");
    for (_, name, status, _) in refusals() {
        let row = format!("| `{name}` | {status} |");
        assert!(page.contains(&row), "docs/DECISIONS.md has no table row that begins with {row}");
    }
}

fn route(kind: RouteKind, resumable: bool, attempts: u32, objective_ms: u64, timeout_ms: u64) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        kind,
        timeout_ms,
        objective_ms,
        priority: 0,
        attempts,
        backends: Vec::new(),
        retain: false,
        retention_ms: 0,
        resumable,
        is_open: false,
        residency: Residency::default(),
    }
}

fn call(route: Route, stage: ProgramStage, deadline_ms: Option<u64>) -> Call {
    let (head, ()) = Request::new(()).into_parts();
    let metadata = CallMetadata { deadline_ms, ..CallMetadata::default() };
    let mut call = Call::new(metadata, route, "s".to_owned(), Instant::now(), head, bytes::Bytes::new());
    call.stage = stage;
    call
}

/// A request of a new program waits for a free engine for as long as the route's latency objective. A request of a
/// running program waits for half of its total time if that is longer than the objective. No request waits for longer
/// than its total time.
#[rstest]
#[case::new(ProgramStage::New, 500, 4_000, None, 500)]
#[case::new_with_a_shorter_deadline(ProgramStage::New, 500, 4_000, Some(300), 300)]
#[case::new_without_an_objective(ProgramStage::New, 0, 4_000, None, 1)]
#[case::new_with_a_long_objective(ProgramStage::New, 9_000, 4_000, None, 4_000)]
#[case::running(ProgramStage::Running, 500, 4_000, None, 2_000)]
#[case::running_with_a_shorter_deadline(ProgramStage::Running, 500, 4_000, Some(1_200), 600)]
#[case::running_with_an_objective_over_half(ProgramStage::Running, 900, 4_000, Some(1_200), 900)]
#[case::running_with_little_time(ProgramStage::Running, 500, 4_000, Some(300), 300)]
#[case::running_without_an_objective(ProgramStage::Running, 0, 4_000, None, 2_000)]
#[case::deadline_beyond_the_routes_timeout(ProgramStage::Running, 500, 4_000, Some(60_000), 2_000)]
#[case::no_time_left(ProgramStage::Running, 500, 4_000, Some(0), 0)]
fn the_wait_for_an_engine_ends_in_time(
    #[case] stage: ProgramStage,
    #[case] objective_ms: u64,
    #[case] timeout_ms: u64,
    #[case] deadline_ms: Option<u64>,
    #[case] max_wait_ms: u128,
) {
    let call = call(route(RouteKind::Streaming, false, 1, objective_ms, timeout_ms), stage, deadline_ms);
    assert_eq!((call.engine_search_deadline() - call.arrived_at).as_millis(), max_wait_ms);
}

/// A request that may have run is sent again only if its route allows repetition, and to no more engines than the
/// route's `attempts`.
#[rstest]
fn a_request_that_may_have_run_is_repeated_as_the_route_allows(
    #[values(RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Streaming)] kind: RouteKind,
    #[values(false, true)] resumable: bool,
    #[values(0, 1, 2, 3)] attempts: u32,
    #[values(0, 1, 2, 3)] runs: usize,
) {
    let mut sends = SendRecord::default();
    let is_repeatable = kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable);
    let call = call(route(kind, resumable, attempts, 500, 4_000), ProgramStage::Running, None);
    let mut may_be_repeated = call.repetition_limit().allows_another_run(0);
    for index in 0..runs {
        let step = sends.note_outcome(
            &engine(&format!("e{index}")),
            SendOutcome::AnswerLost,
            call.stage,
            call.repetition_limit(),
        );
        may_be_repeated = step == NextStep::TryAnother;
    }
    assert_eq!(may_be_repeated, is_repeatable && runs < attempts as usize);
}

#[test]
fn pauses_double_three_times_and_only_engines_that_may_have_run_the_request_remain_excluded() {
    let (stage, repetition, time_left) = (ProgramStage::Running, RepeatLimit::AtMost(2), Duration::from_secs(9));
    let (lost, full) = (engine("lost"), engine("full"));
    let mut sends = SendRecord::default();
    assert!(sends.has_no_exclusions() && !sends.may_have_run() && sends.counts().refusals == 0);
    sends.note_outcome(&lost, SendOutcome::AnswerLost, stage, repetition);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        sends.note_outcome(&full, SendOutcome::Full, stage, repetition);
        assert_eq!(sends.counts().refusals, 1);
        assert_eq!(sends.excluded_engines(), ["lost", "full"]);
        sends.note_outcome(&full, SendOutcome::Full, stage, repetition);
        assert_eq!(sends.counts().refusals, 2);
        sends.note_no_permit();
        assert!(!sends.counts().skips_cold_engines());
        sends.note_no_permit();
        assert!(sends.counts().skips_cold_engines());
        let PauseDecision::Pause(pause) = sends.decide_pause(stage, time_left) else {
            panic!("decide_pause() planned no pause, although there is time left for another send")
        };
        pauses.push(pause.as_millis());
        assert!(!sends.counts().skips_cold_engines() && sends.counts().refusals == 0);
        assert_eq!(sends.excluded_engines(), ["lost"]);
    }
    assert_eq!(pauses, [15, 30, 60, 120, 120, 120]);
    assert!(sends.may_have_run() && sends.counts().runs == 1);
}

const ROUND_TRIP_MS: f64 = 2.0;

fn engine(id: &str) -> Arc<Engine> {
    let entry = EngineEntry {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "a".to_owned(),
        slots: 4,
        draining: false,
        started_at_ms: None,
        cold_left_ms: 0,
        software_version: Some(String::new()),
    };
    Arc::new(Engine::new(entry, 100_000).expect("the address is valid"))
}

/// Returns the choice, with its costs, for a turn of 1,000 prompt tokens when `engine` is the only engine.
fn choose_only_engine(engine: &Arc<Engine>, previous_engine: Option<u32>, avoided: &[u32]) -> Choice {
    let path = NetworkPath { proximity: Proximity::SameZone, round_trip_ms: ROUND_TRIP_MS };
    let prices = TrafficPrices { zone_ms_per_kilobyte: 1.0, region_ms_per_kilobyte: 4.0 };
    let paths = NetworkPaths::new(prices, HashMap::from([("a".to_owned(), path)]));
    let placement = Placement {
        prompt: &[PromptPart { id: 1, tokens: 1_000 }],
        is_model: true,
        paths: &paths,
        loads: &LoadEstimate::default(),
        program: "p",
        previous_engine,
        avoided,
        kilobytes: 2.0,
        prices: ServicePrices::default(),
        outliers: false,
    };
    choose_engine(std::slice::from_ref(engine), &placement, &[]).expect("an engine is chosen")
}

/// Each reason to avoid an engine costs one second. A failure counts twice: the engine is not available, and it failed
/// recently.
#[rstest]
#[case::healthy(false, false, false, 0.0)]
#[case::full(true, false, false, 1_000.0)]
#[case::failed_the_program(false, false, true, 1_000.0)]
#[case::failed_recently(false, true, false, 2_000.0)]
#[case::failed_recently_and_full(true, true, false, 2_000.0)]
#[case::full_and_failed_the_program(true, false, true, 2_000.0)]
#[case::all(true, true, true, 3_000.0)]
fn each_reason_to_avoid_an_engine_has_its_cost(
    #[case] is_full: bool,
    #[case] has_failed: bool,
    #[case] is_avoided: bool,
    #[case] risk_ms: f64,
) {
    let engine = engine("e");
    if is_full {
        engine.note_full();
    }
    if has_failed {
        engine.note_failure();
    }
    let avoided = if is_avoided { vec![engine.number] } else { Vec::new() };
    assert_eq!(choose_only_engine(&engine, None, &avoided).cost.risk_ms, risk_ms);
}

/// A new connection costs 8 ms and another round trip, a cold engine 20 ms.
#[rstest]
#[case::warm(false, 8.0)]
#[case::cold(true, 28.0)]
fn new_connections_and_cold_engines_have_their_prices(#[case] is_cold: bool, #[case] price_ms: f64) {
    let engine = engine("e");
    if is_cold {
        engine.warmth.apply_reported_cold_time("e", 5_000, SlowStart::new(5_000, 1.0));
    }
    let cost = choose_only_engine(&engine, None, &[]).cost;
    assert_eq!((cost.price_ms, cost.distance_ms), (price_ms, 2.0 * ROUND_TRIP_MS));
}

/// The engine of the previous turn holds the prompt, unless it failed a turn of the program or has restarted since.
#[rstest]
#[case::another_engine(false, false, false, 1_000.0)]
#[case::previous_engine(true, false, false, 0.0)]
#[case::previous_engine_that_failed_the_program(true, true, false, 1_000.0)]
#[case::previous_engine_that_restarted(true, false, true, 1_000.0)]
fn the_previous_engine_holds_the_prompt(
    #[case] is_previous: bool,
    #[case] is_avoided: bool,
    #[case] has_restarted: bool,
    #[case] missing_tokens: f64,
) {
    let engine = engine("e");
    if has_restarted {
        engine.warmth.apply_reported_cold_time("e", 0, SlowStart::new(5_000, 1.0));
        engine.warmth.assume_cold("e", ColdCause::Restart);
    }
    let avoided = if is_avoided { vec![engine.number] } else { Vec::new() };
    let choice = choose_only_engine(&engine, is_previous.then_some(engine.number), &avoided);
    assert_eq!(choice.missing_tokens, missing_tokens);
}

/// If the program's previous engine is no longer listed, every gateway chooses the same successor of that engine by a
/// hash of the program's name. The successor counts as holding the prompt.
#[test]
fn the_successor_of_an_unlisted_engine_counts_as_holding_the_prompt() {
    let engine = engine("e");
    assert_eq!(choose_only_engine(&engine, Some(engine.number.wrapping_add(1)), &[]).missing_tokens, 0.0);
}
