//! Another program writes an entry that cannot be read among those of the engines. Then engines are replaced.

use crate::caller::{has_run, send_turn, write_configuration, Turn, SERVICE};
use crate::fleet::Fleet;
use crate::store::UNREADABLE;
use crate::Verdict;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const REPLICAS: usize = 4;
/// Engines 0 to 2 serve first; engines 3 to 5 take their places.
const ENGINES: usize = 3;
/// `drain_ms` of the small sites, and a margin for the way to the engine.
const DRAIN_TIME: Duration = Duration::from_millis(2000);
const MARGIN: Duration = Duration::from_millis(500);
const TURNS: usize = 30;

/// Sends first turns to all gateways. Returns those that ran, and those that ran at the engine `at`.
fn send_turns(fleet: &Fleet, name: &str, at: &str) -> (usize, usize) {
    let record = &fleet.record;
    let (mut ran, mut ran_there) = (0, 0);
    for number in 0..TURNS {
        let turn =
            Turn { tokens: (900, 18), ..Turn::first(&format!("{name}-{number}"), "/kept/4b", b"a first turn\n") };
        let (attempt, _) = send_turn(record, fleet.caller_address(number % GATEWAYS), &turn, |_| {});
        ran += usize::from(has_run(record, &attempt));
        let is_there = |line: &String| line.contains(&attempt) && line.contains(&format!("engine={at} "));
        ran_there += usize::from(record.lines().iter().any(is_there));
    }
    (ran, ran_there)
}

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Result<Verdict, String> {
    write_configuration(fleet);
    for number in 0..ENGINES {
        fleet.start_engine(fleet.engine_arguments(number, SERVICE))?;
    }
    fleet.start_all(GATEWAYS, REPLICAS)?;
    let record = fleet.record.clone();
    let (before, _) = send_turns(fleet, "before", "-");
    if before < TURNS {
        return Err(format!("only {before} of {TURNS} turns ran before the trouble"));
    }

    if has_trouble {
        let note = format!("{{\"service\":\"{SERVICE}\",\"note\":\"caf{UNREADABLE}\"}}");
        fleet.store.put("servers", "inventory-note", &note);
        record.line("entry   another writer writes servers/inventory-note, whose text holds the byte 0xff");
    }
    std::thread::sleep(Duration::from_secs(1));

    // The first engine leaves as planned. It serves on for several seconds.
    let leaving = fleet.engine_arguments(0, SERVICE).id;
    fleet.drain_engine(&leaving);
    let asked_at = Instant::now();
    while !record.lines().iter().any(|line| line.contains("state=draining store_status=200")) {
        if asked_at.elapsed() > Duration::from_secs(3) {
            return Err("the engine did not drain".to_owned());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    std::thread::sleep(DRAIN_TIME + MARGIN);
    let (_, late) = send_turns(fleet, "late", &leaving);
    fleet.kill_engine(&leaving);

    // The others are replaced: new ones start, the old ones drain and end.
    for number in ENGINES..2 * ENGINES {
        fleet.start_engine(fleet.engine_arguments(number, SERVICE))?;
    }
    std::thread::sleep(Duration::from_secs(2));
    for number in 1..ENGINES {
        fleet.drain_engine(&fleet.engine_arguments(number, SERVICE).id);
    }
    std::thread::sleep(DRAIN_TIME + MARGIN);
    for number in 1..ENGINES {
        fleet.kill_engine(&fleet.engine_arguments(number, SERVICE).id);
    }
    std::thread::sleep(Duration::from_secs(2));
    let (after, _) = send_turns(fleet, "after", "-");

    let text = format!(
        "{late} of {TURNS} turns reached the engine over {:?} after the store had taken that it drains; after all \
         engines were replaced, {after} of {TURNS} turns ran",
        DRAIN_TIME + MARGIN
    );
    Ok(Verdict { is_broken: late > 0, text })
}
