//! Tests of the decision whether a request is sent on after sends of it were lost.

use foxnotch_scheduler::engine_losses::{SendDecision, UnansweredSends, MAX_LOST_SENDS};
use rstest::rstest;

#[rstest]
#[case::none(0, 0, SendDecision::Send)]
#[case::fewer_than_the_limit(2, 0, SendDecision::Send)]
#[case::as_many_as_the_limit(3, 0, SendDecision::Refuse)]
#[case::more_than_the_limit(6, 0, SendDecision::Refuse)]
#[case::one_more_may_be_lost(1, 1, SendDecision::Send)]
#[case::all_that_are_left_may_be_lost(2, 1, SendDecision::AwaitOutcome)]
#[case::only_unknown(0, 3, SendDecision::AwaitOutcome)]
#[case::lost_and_unknown(3, 2, SendDecision::Refuse)]
fn a_request_is_sent_only_if_the_limit_holds_in_the_worst_case(
    #[case] lost: usize,
    #[case] open: usize,
    #[case] decision: SendDecision,
) {
    assert_eq!(UnansweredSends { lost, open }.decide_send(), decision);
}

#[test]
fn three_engines_may_end_under_a_request() {
    assert_eq!(MAX_LOST_SENDS, 3);
}
