//! Tests of the decision whether a request is sent on after engines have ended under it.

use foxnotch_scheduler::engine_losses::{EngineEnds, MAX_ENDED_ENGINES};
use rstest::rstest;

#[rstest]
#[case::none(0, 0, true)]
#[case::fewer_than_the_limit(2, 0, true)]
#[case::as_many_as_the_limit(3, 0, false)]
#[case::a_few_other_engines_ended(3, 5, false)]
#[case::many_other_engines_ended(3, 6, true)]
#[case::more_ends_need_more_other_ends(4, 7, false)]
#[case::more_ends_among_many_others(4, 8, true)]
#[case::too_many_for_chance(6, 100, false)]
fn a_request_is_sent_on_unless_it_explains_the_ends(
    #[case] under_request: usize,
    #[case] unrelated: usize,
    #[case] is_allowed: bool,
) {
    assert_eq!(EngineEnds { under_request, unrelated }.allow_another_send(), is_allowed);
}

#[test]
fn three_engines_may_end_under_a_request() {
    assert_eq!(MAX_ENDED_ENGINES, 3);
}
