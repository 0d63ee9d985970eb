//! When programs leave zones that are drained.

use foxnotch_scheduler::zone_drain::{move_window, moves_after, DrainStarts, HeldPrompt, ZoneDrains};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::{Duration, Instant};

fn drains(zones: &[&str]) -> ZoneDrains {
    ZoneDrains::of(zones.iter().map(|zone| (*zone).to_owned()))
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The program that leaves last of all.
const LAST: HeldPrompt = HeldPrompt { program_hash: u64::MAX, size: 1.0 };

#[test]
fn a_zone_that_is_not_drained_has_nothing_to_leave() {
    let mut moves = DrainStarts::default();
    let now = Instant::now();
    moves.follow(&drains(&["a"]), now, true);
    assert!(moves.may_stay("a", LAST, ms(1000), now));
    assert!(!moves.may_stay("b", LAST, ms(1000), now), "its start is not known");
    assert_eq!(moves.age("a", now + ms(30)), Some(ms(30)));
    assert_eq!(moves.age("b", now), None);
}

/// A node that started, or was cut off, cannot know how long the drain has been in force.
#[test]
fn nothing_stays_where_the_age_of_the_drain_is_not_known() {
    let mut moves = DrainStarts::default();
    let now = Instant::now();
    moves.follow(&drains(&["a"]), now, false);
    assert!(!moves.may_stay("a", LAST, ms(1000), now));
    // That it hears of it again, now in touch, tells nothing of the age.
    moves.follow(&drains(&["a"]), now + ms(10), true);
    assert!(!moves.may_stay("a", LAST, ms(1000), now + ms(10)));
}

#[test]
fn a_drain_that_was_taken_back_starts_anew() {
    let mut moves = DrainStarts::default();
    let now = Instant::now();
    moves.follow(&drains(&["a"]), now, true);
    moves.follow(&drains(&["a"]), now + ms(900), true);
    assert!(!moves.may_stay("a", LAST, ms(1000), now + ms(1000)), "a drain heard of twice has one start");
    moves.follow(&drains(&[]), now + ms(1100), true);
    moves.follow(&drains(&["a"]), now + ms(1200), true);
    assert!(moves.may_stay("a", LAST, ms(1000), now + ms(2199)));
    assert!(!moves.may_stay("a", LAST, ms(1000), now + ms(2200)));
}

#[test]
fn two_zones_have_a_start_each() {
    let mut moves = DrainStarts::default();
    let now = Instant::now();
    moves.follow(&drains(&["a"]), now, true);
    moves.follow(&drains(&["a", "b"]), now + ms(600), true);
    assert!(!moves.may_stay("a", LAST, ms(1000), now + ms(1000)));
    assert!(moves.may_stay("b", LAST, ms(1000), now + ms(1000)));
    moves.follow(&drains(&["b"]), now + ms(1100), true);
    assert_eq!(moves.age("a", now + ms(1200)), None);
    assert!(!moves.may_stay("b", LAST, ms(1000), now + ms(1600)));
}

#[test]
fn a_size_that_is_no_number_counts_as_none() {
    let prompt = HeldPrompt { program_hash: 7, size: f64::NAN };
    assert_eq!(moves_after(prompt, ms(1000)), moves_after(HeldPrompt { size: 0.0, ..prompt }, ms(1000)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(47), ..ProptestConfig::default()
    })]

    /// Whatever is drained and taken back when, and whoever hears of it how: nothing stays past the window after the last
    /// time that the zone became drained, and so nothing past the bound, as old as the news may have been.
    #[test]
    fn nothing_stays_past_the_bound(
        steps in prop::collection::vec((0u64..3000, any::<bool>(), any::<bool>(), any::<bool>()), 1..40),
        bound_ms in 100u64..20_000,
        news_share in 0.0f64..1.2,
        program_hash in any::<u64>(),
        size in -1.0f64..3.0,
        wait_ms in 0u64..20_000,
    ) {
        let bound = ms(bound_ms);
        let news_age = bound.mul_f64(news_share);
        let window = move_window(bound, news_age);
        // A send that is chosen at the end of the window asks for leave, connects and travels.
        prop_assert!(window.is_zero() || window + news_age + ms(700) <= bound);
        let prompt = HeldPrompt { program_hash, size };
        let mut moves = DrainStarts::default();
        let mut now = Instant::now();
        let mut drained_at: [Option<Instant>; 2] = [None; 2];
        for (pause_ms, first, second, is_age_bounded) in steps {
            now += ms(pause_ms);
            let zones = [("a", first), ("b", second)];
            moves.follow(&ZoneDrains::of(zones.iter().filter(|(_, on)| *on).map(|(zone, _)| (*zone).to_owned())), now, is_age_bounded);
            for (index, (zone, on)) in zones.into_iter().enumerate() {
                drained_at[index] = if on { drained_at[index].or(Some(now)) } else { None };
                let asked_at = now + ms(wait_ms);
                let stays = moves.may_stay(zone, prompt, window, asked_at);
                let in_time = drained_at[index].is_some_and(|at| asked_at.duration_since(at) < window);
                prop_assert!(!stays || in_time);
            }
        }
    }

    /// Of two prompts of one program the larger leaves no earlier, and all nodes agree.
    #[test]
    fn larger_prompts_leave_later(program_hash in any::<u64>(), left in 0.0f64..2.0, right in 0.0f64..2.0, window_ms in 0u64..20_000) {
        let (small, large) = (left.min(right), left.max(right));
        let window = ms(window_ms);
        let after = |size| moves_after(HeldPrompt { program_hash, size }, window);
        prop_assert!(after(small) <= after(large));
        prop_assert!(after(large) <= window);
    }

    /// Programs of one size leave over half of the window, not at once.
    #[test]
    fn programs_of_one_size_leave_one_after_the_other(size in 0.0f64..1.0) {
        let after = |program_hash| moves_after(HeldPrompt { program_hash, size }, ms(1000));
        prop_assert!(after(u64::MAX) - after(0) >= ms(499));
        prop_assert!(after(u64::MAX / 2) > after(u64::MAX / 4));
    }
}
