//! Tests of the next step after a request was sent to an engine without a usable response.

use foxnotch_scheduler::eligibility::{CandidateCounts, CandidateDecision};
use foxnotch_scheduler::quota::ProgramStage;
use foxnotch_scheduler::retry::{NextStep, PauseDecision, RepeatLimit, SendCounts, SendOutcome};
use rstest::rstest;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// After the second full engine, a new program would have to pause and is refused instead, see
/// `a_pause_is_made_while_time_is_left`. A running program pauses after the third.
#[rstest]
#[case(ProgramStage::New, [NextStep::TryAnother, NextStep::Pause, NextStep::Pause, NextStep::Pause])]
#[case(ProgramStage::Running, [NextStep::TryAnother, NextStep::TryAnother, NextStep::Pause, NextStep::Pause])]
fn full_engines_lead_to_a_pause(#[case] stage: ProgramStage, #[case] steps: [NextStep; 4]) {
    let mut counts = SendCounts::default();
    assert_eq!([(); 4].map(|()| counts.note_outcome(SendOutcome::Full, stage, RepeatLimit::Never)), steps);
    assert!(!counts.may_have_run());
}

#[rstest]
fn other_outcomes_without_a_run_lead_to_another_engine(
    #[values(SendOutcome::Replaced, SendOutcome::PermitLapsed, SendOutcome::Unreachable)] outcome: SendOutcome,
    #[values(ProgramStage::New, ProgramStage::Running)] stage: ProgramStage,
) {
    let mut counts = SendCounts::default();
    for _ in 0..20 {
        assert_eq!(counts.note_outcome(outcome, stage, RepeatLimit::Never), NextStep::TryAnother);
    }
    assert!(!counts.may_have_run());
}

/// Only runs count towards the number of engines at which a request may run; refusals do not.
#[rstest]
fn a_request_that_may_have_run_is_repeated_within_its_limit(
    #[values(SendOutcome::AnswerLost, SendOutcome::Failed)] outcome: SendOutcome,
    #[values(RepeatLimit::Never, RepeatLimit::AtMost(0), RepeatLimit::AtMost(1), RepeatLimit::AtMost(3))]
    repeat_limit: RepeatLimit,
    #[values(0, 1, 2, 3)] runs_before: u32,
    #[values(0, 1, 5)] refusals: u32,
) {
    let mut counts = SendCounts { runs: runs_before, refusals, ..SendCounts::default() };
    let limit = if let RepeatLimit::AtMost(engines) = repeat_limit { engines } else { 0 };
    let expected = if runs_before + 1 < limit { NextStep::TryAnother } else { NextStep::EndMayHaveRun };
    assert_eq!(counts.note_outcome(outcome, ProgramStage::Running, repeat_limit), expected);
    assert!(counts.may_have_run());
}

#[test]
fn a_timed_out_request_is_not_sent_again() {
    let mut counts = SendCounts::default();
    let step = counts.note_outcome(SendOutcome::TimedOut, ProgramStage::Running, RepeatLimit::AtMost(9));
    assert_eq!(step, NextStep::EndTimedOut);
    assert!(counts.may_have_run());
}

/// A request also pauses if the pause ends exactly at the placement timeout.
#[rstest]
#[case::new_and_refused(ProgramStage::New, 1, 0, 9_000, PauseDecision::EndNewProgram)]
#[case::new_and_refused_without_time(ProgramStage::New, 1, 0, 0, PauseDecision::EndNewProgram)]
#[case::new_without_an_engine(ProgramStage::New, 0, 0, 9_000, PauseDecision::Pause(15 * MS))]
#[case::running_and_refused(ProgramStage::Running, 3, 0, 9_000, PauseDecision::Pause(15 * MS))]
#[case::the_time_is_just_enough(ProgramStage::Running, 3, 0, 15, PauseDecision::Pause(15 * MS))]
#[case::the_time_is_not_enough(ProgramStage::Running, 3, 0, 14, PauseDecision::EndNoTime)]
#[case::no_time_is_left(ProgramStage::Running, 0, 0, 0, PauseDecision::EndNoTime)]
#[case::fourth_pause(ProgramStage::Running, 3, 3, 9_000, PauseDecision::Pause(120 * MS))]
#[case::tenth_pause(ProgramStage::Running, 3, 9, 9_000, PauseDecision::Pause(120 * MS))]
#[case::fourth_pause_is_too_long(ProgramStage::Running, 3, 3, 119, PauseDecision::EndNoTime)]
fn a_pause_is_made_while_time_is_left(
    #[case] stage: ProgramStage,
    #[case] refusals: u32,
    #[case] pauses: u32,
    #[case] time_left_ms: u64,
    #[case] expected: PauseDecision,
) {
    let mut counts = SendCounts { refusals, pauses, ..SendCounts::default() };
    assert_eq!(counts.decide_pause(stage, Duration::from_millis(time_left_ms)), expected);
}

/// `engines` has the numbers of engines: those in the allowed regions, the candidates and the reachable candidates.
#[rstest]
#[case::all_reachable([5, 5, 5], false, CandidateDecision::Proceed, CandidateDecision::Proceed)]
#[case::none_listed([0, 0, 0], false, CandidateDecision::Proceed, CandidateDecision::Proceed)]
#[case::none_listed_while_others_drain([0, 0, 0], true, CandidateDecision::Proceed, CandidateDecision::Proceed)]
#[case::all_drained([5, 0, 0], true, CandidateDecision::RefuseZonesDrained, CandidateDecision::RefuseZonesDrained)]
#[case::some_drained([5, 2, 1], true, CandidateDecision::Proceed, CandidateDecision::Proceed)]
#[case::none_reachable([5, 5, 0], false, CandidateDecision::RefuseNoneReachable, CandidateDecision::Proceed)]
#[case::none_of_the_rest_reachable([5, 2, 0], true, CandidateDecision::RefuseNoneReachable, CandidateDecision::Proceed)]
fn a_request_without_engines_waits_or_is_refused(
    #[case] engines: [usize; 3],
    #[case] is_any_zone_drained: bool,
    #[case] as_new: CandidateDecision,
    #[case] as_running: CandidateDecision,
) {
    let [in_regions, candidates, reachable] = engines;
    let counts = CandidateCounts { in_regions, candidates, reachable, is_any_zone_drained, is_version_required: false };
    assert_eq!(counts.decide_whether_to_proceed(ProgramStage::New), as_new);
    assert_eq!(counts.decide_whether_to_proceed(ProgramStage::Running), as_running);
}

/// `engines` has the numbers of engines of the required version.
#[rstest]
#[case::all_reachable([2, 2, 2], false, CandidateDecision::Proceed)]
#[case::none_in_service([0, 0, 0], false, CandidateDecision::RefuseStreamVersionGone)]
#[case::none_in_service_while_others_drain([0, 0, 0], true, CandidateDecision::RefuseStreamVersionGone)]
#[case::all_drained([2, 0, 0], true, CandidateDecision::RefuseZonesDrained)]
#[case::none_reachable([2, 2, 0], false, CandidateDecision::Proceed)]
fn a_stream_without_an_engine_of_its_version_is_refused(
    #[case] engines: [usize; 3],
    #[case] is_any_zone_drained: bool,
    #[case] decision: CandidateDecision,
) {
    let [in_regions, candidates, reachable] = engines;
    let counts = CandidateCounts { in_regions, candidates, reachable, is_any_zone_drained, is_version_required: true };
    assert_eq!(counts.decide_whether_to_proceed(ProgramStage::Running), decision);
}
