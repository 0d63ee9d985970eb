//! Unit tests of the choice of an engine in a deployment with several regions.

use foxnotch_gateway::engines::engine::Engine;
use foxnotch_gateway::engines::learned_costs::ServicePrices;
use foxnotch_gateway::engines::round_trips::{GatewayDistances, NetworkPaths};
use foxnotch_gateway::engines::selector::{choose_engine, Choice, Placement};
use foxnotch_gateway::ports::configuration::EngineEntry;
use foxnotch_gateway::ports::dialect::PromptPart;
use foxnotch_scheduler::distance::{Proximity, TrafficPrices};
use foxnotch_scheduler::load_sharing::estimate::LoadEstimate;
use foxnotch_scheduler::slow_start::SlowStart;
use foxnotch_scheduler::topology::Topology;
use foxnotch_turns::identity::zone_hash;
use std::sync::Arc;
use std::time::Duration;

/// All zones. The first letter of a zone is its region.
const ZONES: [&str; 4] = ["a1", "a2", "b1", "b2"];

/// Returns the distances from a gateway in zone a1.
fn gateway_distances() -> Arc<GatewayDistances> {
    let regions = ZONES.iter().map(|zone| ((*zone).to_owned(), zone[..1].to_owned()));
    let prices = TrafficPrices { zone_ms_per_kilobyte: 1.0, region_ms_per_kilobyte: 4.0 };
    GatewayDistances::new(Topology::new(regions.collect()), "a1", &ZONES.map(str::to_owned), prices)
}

/// Returns one engine with four slots in each zone.
fn engines() -> Vec<Arc<Engine>> {
    let entry = |zone: &str| EngineEntry {
        id: format!("e-{zone}"),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: zone.to_owned(),
        slots: 4,
        draining: false,
        started_at_ms: None,
        cold_left_ms: 0,
        software_version: Some(String::new()),
    };
    ZONES.iter().map(|zone| Arc::new(Engine::new(entry(zone), 100_000).expect("the address is valid"))).collect()
}

fn choose_for_turn(engines: &[Arc<Engine>], paths: &NetworkPaths, tokens: u32, previous_engine: Option<u32>) -> Choice {
    let prompt = [PromptPart { id: 1, tokens }];
    let prices = ServicePrices { token_ms: 0.01, ..ServicePrices::default() };
    let placement = Placement {
        avoided: &[],
        prompt: &prompt,
        is_model: true,
        paths,
        loads: &LoadEstimate::default(),
        program: "p",
        previous_engine,
        kilobytes: 2.0,
        prices,
        outliers: true,
    };
    choose_engine(engines, &placement, &[]).expect("an engine is chosen")
}

fn paths() -> NetworkPaths {
    gateway_distances().paths(ZONES.into_iter())
}

#[test]
fn new_programs_leave_the_gateways_region_only_when_its_engines_are_loaded() {
    let engines = engines();
    let mut leases = Vec::new();
    let mut chosen = Vec::new();
    for _ in 0..24 {
        let choice = choose_for_turn(&engines, &paths(), 1000, None);
        leases.push(choice.engine.begin_request());
        chosen.push(choice.path.proximity);
    }
    let first_far = chosen.iter().position(|proximity| *proximity == Proximity::OtherRegion);
    assert!(first_far.is_some_and(|turn| turn >= 6), "{chosen:?}");
    let next = choose_for_turn(&engines, &paths(), 1000, None);
    assert_eq!(next.cost_nearby.is_some(), next.path.proximity == Proximity::OtherRegion);
}

#[test]
fn a_moved_program_returns_to_the_region_when_the_round_trip_costs_more_than_reading_the_prompt() {
    let engines = engines();
    let moved = Some(engines[2].number);
    let short_prompt = choose_for_turn(&engines, &paths(), 500, moved);
    assert_ne!(
        short_prompt.path.proximity,
        Proximity::OtherRegion,
        "the program must return to its region: reading 500 tokens there takes 5 ms"
    );
    let long_prompt = choose_for_turn(&engines, &paths(), 20_000, moved);
    assert_eq!(
        long_prompt.engine.number, engines[2].number,
        "the program must stay in the other region: reading 20,000 tokens again takes 200 ms"
    );
    assert!(long_prompt.cost_nearby.is_some_and(|nearby| nearby.total_ms() > long_prompt.cost.total_ms()));
}

/// If the program's engine is no longer listed, the program gets a new preferred engine. That engine is in the
/// gateway's region if the region has engines.
#[test]
fn a_program_whose_engine_is_gone_gets_an_engine_in_the_region() {
    let engines = engines();
    let unlisted = Some(7);
    assert_ne!(choose_for_turn(&engines, &paths(), 20_000, unlisted).path.proximity, Proximity::OtherRegion);
    let elsewhere = choose_for_turn(&engines[2..], &paths(), 20_000, unlisted);
    assert_eq!(elsewhere.path.proximity, Proximity::OtherRegion);
    assert!(elsewhere.cost_nearby.is_none(), "cost_nearby must be none: no engine is in the gateway's region");
}

/// The times of replicas' answers update the round trips to other regions only. Such a time includes a write to the
/// replica's disk, which would make zones of the gateway's own region look distant.
#[test]
fn answers_of_replicas_update_the_round_trips_to_other_regions_only() {
    let distances = gateway_distances();
    let before = distances.paths(ZONES.into_iter());
    for _ in 0..16 {
        distances.record_replica_answer_time(zone_hash("b1"), Duration::from_millis(120));
        distances.record_replica_answer_time(zone_hash("a2"), Duration::from_millis(120));
        distances.record_replica_answer_time(zone_hash("nowhere"), Duration::from_millis(120));
    }
    let after = distances.paths(ZONES.into_iter());
    assert!(after.path_to("b1").round_trip_ms > 100.0 && after.path_to("b2").round_trip_ms > 100.0);
    assert!((after.path_to("a2").round_trip_ms - before.path_to("a2").round_trip_ms).abs() < 1e-9);
}

#[test]
fn connection_times_update_the_round_trip_to_any_zone() {
    let distances = gateway_distances();
    for _ in 0..16 {
        distances.record_round_trip("a2", Duration::from_millis(9));
    }
    assert!(distances.paths(ZONES.into_iter()).path_to("a2").round_trip_ms > 8.0);
}

#[test]
fn a_new_preferred_engine_is_not_cold() {
    let (engines, paths) = (engines(), paths());
    let unlisted = Some(u32::MAX);
    let preferred = choose_for_turn(&engines, &paths, 100_000, unlisted).engine;
    preferred.warmth.apply_reported_cold_time(&preferred.entry.id, 5000, SlowStart::new(5000, 1.0));
    let other = choose_for_turn(&engines, &paths, 100_000, unlisted);
    assert_ne!(other.engine.number, preferred.number);
    assert_eq!(other.missing_tokens, 0.0, "the chosen engine must count as the program's preferred engine");
}

#[test]
fn a_new_preferred_engine_is_a_cold_one_of_the_region_when_all_engines_there_are_cold() {
    let (engines, paths) = (engines(), paths());
    for engine in engines.iter().filter(|engine| engine.entry.zone.starts_with('a')) {
        engine.warmth.apply_reported_cold_time(&engine.entry.id, 5000, SlowStart::new(5000, 1.0));
    }
    assert!(choose_for_turn(&engines, &paths, 100_000, Some(u32::MAX)).engine.entry.zone.starts_with('a'));
}
