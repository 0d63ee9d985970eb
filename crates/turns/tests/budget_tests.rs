//! Tests of token budgets: in whatever order concurrent reservations reach the replicas, the granted tokens never
//! exceed the budget.

use foxnotch_turns::budget::{BudgetVerdict, BudgetView};
use foxnotch_turns::resumed_stream::{resuming_entry_id, BudgetLimit, ResumedStream};
use foxnotch_wire::{RunLocation, TurnCharge, TurnId};
use proptest::prelude::*;
use rstest::rstest;

/// A reservation that is in progress.
#[derive(Clone, Debug)]
struct PendingReservation {
    turn: TurnId,
    tokens: u32,
    /// Replicas that the write has not reached yet, in reverse order: the last one is next.
    replicas_to_write: Vec<usize>,
    /// Replicas that the read after the write has not reached yet, in reverse order.
    replicas_to_read: Vec<usize>,
    view: BudgetView,
    verdict: Option<BudgetVerdict>,
}

/// A small reservation reaches replicas 0 and 2 and is granted from their replies. A large one reaches replicas 0 and 1
/// between these two writes, and reads replicas 1 and 2 before the second of them. Only the reply of replica 0 to the
/// large one's write has both.
#[test]
fn a_reservation_that_was_reported_only_by_the_reply_to_the_write_counts() {
    let budget = 100;
    let (small, large) = (charge(1, 40), charge(2, 70));
    let mut written = BudgetView::default();
    written.merge_charges(&[small, large]);
    written.merge_charges(&[large]);
    assert_eq!(written.verdict_after_write(budget), BudgetVerdict::ReadAgain);
    let mut read = BudgetView::default();
    read.merge_charges(&[large]);
    let mut replies_to_small = BudgetView::default();
    replies_to_small.merge_charges(&[small]);
    assert_eq!(replies_to_small.verdict_after_write(budget), BudgetVerdict::Granted);
    assert_eq!(read.verdict_after_read(budget), BudgetVerdict::Granted, "the read alone does not show the small one");
    written.merge(&read);
    assert_eq!(written.verdict_after_read(budget), BudgetVerdict::Exhausted);
}

fn charge(turn: u128, tokens: u32) -> TurnCharge {
    TurnCharge { turn: TurnId(turn), tokens, settled: 0 }
}

fn run_at(engine: u32, part: u64, prompt_tokens: u32) -> RunLocation {
    RunLocation { engine, part, prompt_tokens }
}

/// Performs one step of a reservation: the write to one replica or the read from one replica.
fn step(pending: &mut PendingReservation, replicas: &mut [Vec<TurnCharge>], budget: u64) {
    if pending.verdict.is_some() {
        return;
    }
    if let Some(replica) = pending.replicas_to_write.pop() {
        replicas[replica].push(charge(pending.turn.0, pending.tokens));
        pending.view.merge_charges(&replicas[replica]);
        if pending.replicas_to_write.is_empty() {
            let verdict = pending.view.verdict_after_write(budget);
            if verdict == BudgetVerdict::Granted {
                pending.verdict = Some(verdict);
            }
        }
        return;
    }
    if let Some(replica) = pending.replicas_to_read.pop() {
        pending.view.merge_charges(&replicas[replica]);
    }
    if pending.replicas_to_read.is_empty() {
        pending.verdict = Some(pending.view.verdict_after_read(budget));
    }
}

/// A majority of the replicas, starting at the replica `first`.
fn majority_starting_at(replicas: usize, first: usize) -> Vec<usize> {
    let needed = replicas / 2 + 1;
    (0..needed).map(|index| (first + index) % replicas).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    #[test]
    fn grants_never_exceed_the_budget(
        replicas in 2_usize..6,
        tokens in prop::collection::vec(1_u32..100, 1..8),
        seeds in prop::collection::vec((0_usize..6, 0_usize..6), 8),
        order in prop::collection::vec(0_usize..8, 0..120),
        budget in 1_u64..400,
    ) {
        let mut ledgers = vec![Vec::new(); replicas];
        let mut all: Vec<PendingReservation> = tokens.iter().enumerate().map(|(index, tokens)| PendingReservation {
            turn: TurnId(index as u128 + 1),
            tokens: *tokens,
            replicas_to_write: majority_starting_at(replicas, seeds[index].0),
            replicas_to_read: majority_starting_at(replicas, seeds[index].1),
            view: BudgetView::default(),
            verdict: None,
        }).collect();
        for index in order {
            let index = index % all.len();
            step(&mut all[index], &mut ledgers, budget);
        }
        for pending in &mut all {
            while pending.verdict.is_none() {
                step(pending, &mut ledgers, budget);
            }
        }
        let granted: u64 = all.iter().filter(|r| r.verdict == Some(BudgetVerdict::Granted)).map(|r| u64::from(r.tokens)).sum();
        prop_assert!(granted <= budget, "the replicas granted {granted} tokens with a budget of {budget}");
    }
}

#[test]
fn a_settled_charge_replaces_the_reservation() {
    let mut view = BudgetView::default();
    view.merge_charges(&[charge(1, 80)]);
    view.merge_charges(&[charge(1, 27)]);
    view.merge_charges(&[charge(1, 80)]);
    assert_eq!(view.charged_tokens(), 27);
}

#[test]
fn a_released_reservation_charges_nothing() {
    let mut view = BudgetView::default();
    view.merge_charges(&[charge(1, 80)]);
    view.merge_charges(&[charge(1, 0)]);
    assert_eq!(view.verdict_after_read(0), BudgetVerdict::Granted);
}

#[test]
fn no_further_read_is_needed_up_to_half_of_the_budget() {
    let mut view = BudgetView::default();
    view.merge_charges(&[charge(1, 50)]);
    assert_eq!(view.verdict_after_write(100), BudgetVerdict::Granted);
    assert_eq!(view.verdict_after_write(99), BudgetVerdict::ReadAgain);
    assert_eq!(view.verdict_after_read(50), BudgetVerdict::Granted);
    assert_eq!(view.verdict_after_read(49), BudgetVerdict::Exhausted);
}

/// `parts` are the parts of the prompt: 1 is the same in all prompts, 2 is the caller's session and 3 a sub-agent's
/// session. `places` are the run locations of earlier turns.
#[rstest]
#[case::nothing_ran(vec![], &[1, 2], None)]
#[case::turn_of_the_same_session(vec![run_at(7, 2, 900)], &[1, 2], Some(7))]
#[case::longest_turn_of_the_session(vec![run_at(7, 2, 900), run_at(8, 2, 1200), run_at(9, 2, 1000)], &[1, 2], Some(8))]
#[case::parent_of_a_new_sub_agent(vec![run_at(7, 2, 900)], &[1, 2, 3], Some(7))]
#[case::own_turn_before_the_parents(vec![run_at(7, 2, 5000), run_at(8, 3, 900)], &[1, 2, 3], Some(8))]
#[case::another_session(vec![run_at(7, 4, 900)], &[1, 2], None)]
fn the_engine_with_the_longest_prefix_is_selected(
    #[case] run_locations: Vec<RunLocation>,
    #[case] parts: &[u64],
    #[case] engine: Option<u32>,
) {
    let mut view = BudgetView::default();
    view.add_run_locations(&run_locations);
    assert_eq!(view.engine_with_longest_prefix(parts), engine);
}

#[test]
fn a_failed_engine_has_no_prefix_and_is_listed() {
    let mut view = BudgetView::default();
    view.add_run_locations(&[RunLocation::failure_at(9), run_at(7, 3, 500)]);
    view.add_run_locations(&[RunLocation::failure_at(9), RunLocation::failure_at(4)]);
    assert_eq!(view.failed_engines(), vec![4, 9]);
    assert_eq!(view.engine_with_longest_prefix(&[0, 3]), Some(7));
    assert_eq!(view.engine_with_longest_prefix(&[0]), None);
}

/// A program whose only turn was refused is still new when it sends another turn.
#[test]
fn refused_turns_do_not_count_as_started() {
    let mut view = BudgetView::default();
    let charge = |turn, tokens| TurnCharge { turn: TurnId(turn), tokens, settled: 0 };
    view.merge_charges(&[charge(1, 0), charge(2, 80)]);
    assert_eq!(view.started_turn_count(), 1);
    view.merge_charges(&[charge(3, 9)]);
    assert_eq!(view.started_turn_count(), 2);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Attempts resume one stream from any event that a caller states, and are settled late, or never because their
    /// gateway died. Attempts that broke with an event lost on the way are resumed as long as the budget holds the turn
    /// once.
    #[test]
    fn attempts_of_a_stream_use_at_most_the_budget_and_one_turn(
        attempts in prop::collection::vec((0_u32..40, 0_u32..33, any::<bool>()), 1..12),
        other_turns in 0_u32..300,
    ) {
        let (budget, most, event_tokens) = (576_u64, 288_u32, 9_u32);
        let begun_by = TurnId(0xabcd << 64 | 1);
        let mut view = BudgetView::default();
        view.merge_charges(&[charge(1, other_turns), charge(begun_by.0, most)]);
        let mut used = u64::from(other_turns) + u64::from(most);
        for (number, (last_event, events, is_settled)) in (2..).zip(attempts) {
            let stream = ResumedStream::new(Some(begun_by), Some(&last_event.to_string()), most, event_tokens);
            let own = resuming_entry_id(begun_by, number);
            let limit = BudgetLimit { budget, resumed: Some(stream) };
            view.merge_charges(&[charge(own.0, stream.remaining_tokens())]);
            let is_granted = view.verdict_after_read(limit.tokens(&view, own)) == BudgetVerdict::Granted;
            let tokens = if is_granted { (events * event_tokens).min(stream.remaining_tokens()) } else { 0 };
            used += u64::from(tokens);
            if is_settled || !is_granted {
                view.merge_charges(&[TurnCharge { turn: own, tokens, settled: 1 }]);
            }
        }
        prop_assert!(used <= budget + u64::from(most), "{used} tokens were used");
    }

    /// Each attempt breaks after an event that the caller has not received, and only the first one's gateway may die.
    #[test]
    fn a_stream_that_breaks_again_and_again_is_granted_within_its_budget(
        breaks in prop::collection::vec(1_u32..8, 1..12),
        is_first_settled in any::<bool>(),
    ) {
        let (budget, most, event_tokens) = (576_u64, 288_u32, 9_u32);
        let begun_by = TurnId(0xabcd << 64 | 1);
        let mut view = BudgetView::default();
        view.merge_charges(&[charge(1, most), charge(begun_by.0, most)]);
        let (mut received, mut own, mut sent) = (0, begun_by, 0);
        for (number, events) in (2..).zip(breaks) {
            received += events;
            if received * event_tokens >= most {
                break;
            }
            sent += events + u32::from(own == begun_by);
            if own != begun_by || is_first_settled {
                view.merge_charges(&[TurnCharge { turn: own, tokens: sent * event_tokens, settled: 1 }]);
            }
            sent = 0;
            own = resuming_entry_id(begun_by, number);
            let last_event = (received - 1).to_string();
            let stream = ResumedStream::new(Some(begun_by), Some(&last_event), most, event_tokens);
            let limit = BudgetLimit { budget, resumed: Some(stream) };
            view.merge_charges(&[charge(own.0, stream.remaining_tokens())]);
            let verdict = view.verdict_after_read(limit.tokens(&view, own));
            prop_assert_eq!(verdict, BudgetVerdict::Granted, "after {} events", received);
        }
    }
}
