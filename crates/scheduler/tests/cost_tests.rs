//! Tests of the cost of an engine, and of programs that move to another region while their own region is full.

use foxnotch_scheduler::cost::{Cost, EngineState, ServicePrices, Work};
use proptest::prelude::*;

const SLOTS: f64 = 4.0;
const PRICES: ServicePrices = ServicePrices { token_ms: 0.01, request_ms: 1.0, turn_ms: 300.0, answer_ms: 30.0 };
/// Round trip within the region, in milliseconds.
const OWN_REGION_ROUND_TRIP_MS: f64 = 2.0;
/// Round trip to another region, in milliseconds.
const OTHER_REGION_ROUND_TRIP_MS: f64 = 40.0;
/// Price of a turn's traffic to another region, in milliseconds.
const OTHER_REGION_TRAFFIC_MS: f64 = 12.0;

/// An engine in the program's own region.
fn own_region_engine(in_flight: f64) -> EngineState {
    EngineState {
        in_flight,
        slots: SLOTS,
        round_trip_ms: OWN_REGION_ROUND_TRIP_MS,
        traffic_ms: 0.0,
        is_connected: true,
        is_cold: false,
        is_of_other_group: false,
        penalties: 0,
        failure_probability: 0.0,
    }
}

/// An engine in another region.
fn other_region_engine(in_flight: f64) -> EngineState {
    EngineState {
        round_trip_ms: OTHER_REGION_ROUND_TRIP_MS,
        traffic_ms: OTHER_REGION_TRAFFIC_MS,
        ..own_region_engine(in_flight)
    }
}

fn turn_cost(missing_tokens: f64, engine: &EngineState) -> f64 {
    Cost::of(Work::Turn { missing_tokens }, engine, &PRICES).total_ms()
}

/// Whether a program's turn runs in the other region. The prompt is cached there if `is_cached_in_other_region`,
/// otherwise in the program's own region.
fn runs_in_other_region(
    prompt: f64,
    is_cached_in_other_region: bool,
    own_region_load: f64,
    other_region_load: f64,
) -> bool {
    let (missing_in_own_region, missing_in_other_region) =
        if is_cached_in_other_region { (prompt, 0.0) } else { (0.0, prompt) };
    turn_cost(missing_in_other_region, &other_region_engine(other_region_load))
        < turn_cost(missing_in_own_region, &own_region_engine(own_region_load))
}

/// Follows one program, turn by turn, while the load of its region rises and falls.
#[test]
fn a_program_leaves_its_full_region_and_returns_when_that_costs_less() {
    let prompt = 2000.0;
    let own_region_loads = [0.0, 2.0, 4.0, 6.0, 8.0, 6.0, 3.0, 1.0, 0.0, 0.0];
    let other_region_load = 1.0;
    let mut is_in_other_region = false;
    let mut ran_in_other_region = Vec::new();
    for own_region_load in own_region_loads {
        is_in_other_region = runs_in_other_region(prompt, is_in_other_region, own_region_load, other_region_load);
        ran_in_other_region.push(is_in_other_region);
    }
    // Reading 2,000 tokens takes 20 ms on an idle engine, less than the round trip to the other region. Next to a
    // single request it takes 40 ms, still less than the round trip and the traffic; next to three it takes 80 ms, and
    // the program stays where its prompt is cached.
    assert_eq!(ran_in_other_region, [false, false, false, true, true, true, true, false, false, false]);
}

/// Sending a turn to another region costs less than reading a long prompt again.
#[test]
fn a_long_prompt_stays_where_it_is_cached() {
    assert!(runs_in_other_region(20_000.0, true, 0.0, 0.0));
    assert!(!runs_in_other_region(20_000.0, false, 3.0, 0.0));
}

#[test]
fn a_turn_leaves_a_region_with_only_penalized_engines() {
    let penalized = EngineState { penalties: 1, ..own_region_engine(0.0) };
    assert!(turn_cost(0.0, &other_region_engine(2.0)) < turn_cost(0.0, &penalized));
}

#[test]
fn a_plain_request_leaves_its_region_only_when_the_region_is_overloaded() {
    let cost = |engine: &EngineState| Cost::of(Work::Answer, engine, &PRICES).total_ms();
    assert!(cost(&own_region_engine(SLOTS)) < cost(&other_region_engine(0.0)));
    assert!(cost(&own_region_engine(2.0 * SLOTS)) > cost(&other_region_engine(0.0)));
}

#[test]
fn a_new_connection_costs_another_round_trip() {
    let connected = Cost::of(Work::Answer, &other_region_engine(0.0), &PRICES);
    let fresh = Cost::of(Work::Answer, &EngineState { is_connected: false, ..other_region_engine(0.0) }, &PRICES);
    assert!((fresh.distance_ms - 2.0 * connected.distance_ms).abs() < 1e-9);
    assert!(fresh.price_ms > connected.price_ms);
}

fn any_engine() -> impl Strategy<Value = EngineState> {
    let numbers = (0.0..200.0f64, 1.0..50.0f64, 0.0..500.0f64, 0.0..1000.0f64, 0.0..1.0f64);
    (numbers, any::<bool>(), any::<bool>(), any::<bool>(), 0..4u32).prop_map(
        |(numbers, is_connected, is_cold, is_of_other_group, penalties)| {
            let (in_flight, slots, round_trip_ms, traffic_ms, failure_probability) = numbers;
            EngineState {
                in_flight,
                slots,
                round_trip_ms,
                traffic_ms,
                is_connected,
                is_cold,
                is_of_other_group,
                penalties,
                failure_probability,
            }
        },
    )
}

proptest! {
    /// A larger prompt, more requests in flight, a longer path, more expensive traffic and more risk never make an
    /// engine cheaper.
    #[test]
    fn no_disadvantage_lowers_the_cost(engine in any_engine(), tokens in 0.0..100_000.0f64, increase in 0.1..50.0f64) {
        let cost = turn_cost(tokens, &engine);
        prop_assert!(cost.is_finite() && cost >= 0.0);
        prop_assert!(turn_cost(tokens + increase, &engine) >= cost);
        let disadvantaged = [
            EngineState { in_flight: engine.in_flight + increase, ..engine },
            EngineState { round_trip_ms: engine.round_trip_ms + increase, ..engine },
            EngineState { traffic_ms: engine.traffic_ms + increase, ..engine },
            EngineState { penalties: engine.penalties + 1, ..engine },
            EngineState { is_cold: true, ..engine },
            EngineState { is_of_other_group: true, ..engine },
        ];
        for state in disadvantaged {
            prop_assert!(turn_cost(tokens, &state) >= cost, "{state:?}");
            let answers = [&engine, &state].map(|state| Cost::of(Work::Answer, state, &PRICES).total_ms());
            prop_assert!(answers[1] >= answers[0], "{state:?}");
        }
    }
}

/// A cold engine is used when the others are full, not before.
#[test]
fn a_cold_engine_costs_more_than_a_warm_and_less_than_a_full_one() {
    let warm = Cost::of(Work::Answer, &other_region_engine(0.0), &PRICES).total_ms();
    let cold = Cost::of(Work::Answer, &EngineState { is_cold: true, ..other_region_engine(0.0) }, &PRICES).total_ms();
    let full = Cost::of(Work::Answer, &EngineState { penalties: 1, ..other_region_engine(0.0) }, &PRICES).total_ms();
    assert!(warm < cold && cold < full, "costs in ms: warm={warm} cold={cold} full={full}");
}
