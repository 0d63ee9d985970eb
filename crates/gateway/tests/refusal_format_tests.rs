//! Tests how callers and operators see each refusal: its name in logs and metrics, its HTTP status, and its
//! `retry-after` header in seconds. `foxnotch explain` reads these names, so the node's `explain_format_tests.rs` lists
//! them too.
//!
//! When a refusal is added: add a case here and its sentence in `explain.rs`.

use foxnotch_gateway::buffer_budget::BuffersFull;
use foxnotch_gateway::edge::refusal::Refusal;
use foxnotch_scheduler::residency::ResidencyDenial;
use foxnotch_scheduler::tenants::KeyDenial;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case(Refusal::NoConfiguration, "no_configuration", 503, Some("0.300"))]
#[case(Refusal::ConfigurationBehind, "configuration_behind", 503, Some("0.300"))]
#[case(Refusal::ConfigurationUnconfirmed, "configuration_unconfirmed", 503, Some("1.000"))]
#[case(Refusal::Stopping, "stopping", 503, Some("0.200"))]
#[case(Refusal::NoRoute, "no_route", 404, None)]
#[case(Refusal::KeyDenied(KeyDenial::Missing), "key_denied", 401, None)]
#[case(Refusal::OverLimit(Duration::ZERO), "over_limit", 429, Some("0.020"))]
#[case(Refusal::LimitUnknown, "limit_unknown", 503, Some("0.200"))]
#[case(Refusal::Malformed("x"), "malformed", 400, None)]
#[case(Refusal::TooLarge(1), "too_large", 413, None)]
#[case(Refusal::BuffersFull(BuffersFull { held: 2, limit: 1 }), "buffers_full", 503, Some("0.200"))]
#[case(Refusal::NoRoom(Duration::from_millis(70)), "no_room", 503, Some("0.070"))]
#[case(Refusal::NoEngineReachable, "no_engine_reachable", 503, Some("0.200"))]
#[case(Refusal::ZonesDrained, "zones_drained", 503, Some("1.000"))]
#[case(Refusal::OutsideRegions(ResidencyDenial::NoCommonRegion), "no_common_region", 503, Some("30.000"))]
#[case(Refusal::OutsideRegions(ResidencyDenial::NoEngine), "no_engine_in_regions", 503, Some("30.000"))]
#[case(Refusal::OutsideRegions(ResidencyDenial::NoneInService), "none_in_service_in_regions", 503, Some("1.000"))]
#[case(Refusal::NotKeptInRegions, "not_kept_in_regions", 503, Some("30.000"))]
#[case(Refusal::ChainOutsideRegions, "chain_outside_regions", 503, Some("30.000"))]
#[case(Refusal::NoQuorum(String::new()), "no_quorum", 503, Some("0.200"))]
#[case(Refusal::ChainUnknown, "chain_unknown", 503, Some("0.200"))]
#[case(Refusal::NoSuchTurn, "no_such_turn", 404, None)]
#[case(Refusal::BudgetSpent, "budget_spent", 402, None)]
#[case(Refusal::BudgetUnknown, "budget_unknown", 503, Some("0.200"))]
#[case(Refusal::StreamVersionUnknown, "stream_version_unknown", 503, Some("0.200"))]
#[case(Refusal::StreamVersionGone, "stream_version_gone", 503, Some("0.200"))]
#[case(Refusal::EngineLossesUnknown, "engine_losses_unknown", 503, Some("0.200"))]
#[case(Refusal::EnginesEnded(3), "engines_ended", 502, None)]
#[case(Refusal::OutOfTime, "out_of_time", 503, Some("0.200"))]
#[case(Refusal::MayHaveRun(String::new()), "may_have_run", 502, None)]
#[case(Refusal::TimedOut, "timed_out", 504, None)]
fn each_refusal_keeps_its_name_status_and_retry_time(
    #[case] refusal: Refusal,
    #[case] name: &str,
    #[case] status: u16,
    #[case] retry_after: Option<&str>,
) {
    assert_eq!(refusal.name(), name);
    let response = refusal.to_response();
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(response.headers()["content-type"], "text/plain");
    let header = response.headers().get("retry-after").map(|value| value.to_str().expect("the value is text"));
    assert_eq!(header, retry_after);
}
