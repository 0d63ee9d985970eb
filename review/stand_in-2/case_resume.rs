//! Engines crash under streams whose programs have a budget for just these turns; their callers take them up again.

use crate::caller::{deadline_from_now, has_run, send_turn, write_configuration, Turn, SERVICE};
use crate::case_versions::events_of;
use crate::engine::EngineArguments;
use crate::fleet::Fleet;
use crate::Verdict;
use std::sync::mpsc::channel;
use std::time::Duration;

const GATEWAYS: usize = 3;
const REPLICAS: usize = 4;
const ENGINES: usize = 8;
const PROGRAMS: usize = 64;
/// The most that a turn generates, which these turns do.
const MOST: u32 = 288;
const TURNS: u64 = 2;
/// Time between two events: a turn has 32.
const EVENT_PERIOD: Duration = Duration::from_millis(60);

/// How the second turn of a program went.
#[derive(Default)]
struct Outcome {
    is_resumed: bool,
    has_gone_on: bool,
    status: u16,
    tokens: u64,
}

fn run_program(
    fleet_record: crate::record::Record,
    gateways: &[std::net::SocketAddr],
    number: usize,
) -> Option<Outcome> {
    let record = fleet_record;
    let program = format!("77d20b{number:02}");
    let gateway = gateways[number % GATEWAYS];
    let first = Turn::first(&program, "/open/2f", format!("turn 0 of {program}\n").as_bytes());
    let first = Turn { budget: Some(TURNS * u64::from(MOST)), tokens: (839, MOST), ..first };
    let (_, answer) = send_turn(&record, gateway, &first, |_| {});
    if answer.status != 200 || !answer.is_whole {
        return None;
    }
    std::thread::sleep(Duration::from_millis(150));
    let second = Turn { input: format!("turn 0 and turn 1 of {program}\n").into_bytes(), ..first };
    let deadline = Some(deadline_from_now());
    let (begun_by, answer) = send_turn(&record, gateway, &second, |_| {});
    let (_, last) = events_of(&answer.body);
    let mut outcome = Outcome { status: answer.status, ..Outcome::default() };
    outcome.tokens = last.map_or(0, |last| u64::from(last + 1) * u64::from(crate::engine::TOKENS_PER_EVENT));
    if let (false, Some(last)) = (answer.is_whole, last) {
        std::thread::sleep(Duration::from_millis(150));
        let resumed = Turn { resumed: Some((last, begun_by)), deadline, ..second };
        let (attempt, rest) = send_turn(&record, gateways[(number + 1) % GATEWAYS], &resumed, |_| {});
        outcome = Outcome {
            is_resumed: true,
            has_gone_on: has_run(&record, &attempt) && rest.status == 200,
            status: rest.status,
            tokens: outcome.tokens,
        };
    }
    Some(outcome)
}

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Result<Verdict, String> {
    write_configuration(fleet);
    for number in 0..ENGINES {
        let arguments = fleet.engine_arguments(number, SERVICE);
        fleet.start_engine(EngineArguments { event_period: EVENT_PERIOD, ..arguments })?;
    }
    fleet.start_all(GATEWAYS, REPLICAS)?;
    let record = fleet.record.clone();
    let gateways: Vec<_> = (0..GATEWAYS).map(|gateway| fleet.caller_address(gateway)).collect();
    let (sender, receiver) = channel();
    for number in 0..PROGRAMS {
        let (record, gateways, sender) = (record.clone(), gateways.clone(), sender.clone());
        std::thread::spawn(move || drop(sender.send(run_program(record, &gateways, number))));
        std::thread::sleep(Duration::from_millis(8));
    }
    drop(sender);
    // All second turns are under way: each turn takes 1.9 s.
    std::thread::sleep(Duration::from_millis(2700));
    // Two engines crash one after the other; each is back after 0.4 s.
    for number in (0..2).filter(|_| has_trouble) {
        let crashing = EngineArguments { event_period: EVENT_PERIOD, ..fleet.engine_arguments(number, SERVICE) };
        fleet.kill_engine(&crashing.id);
        std::thread::sleep(Duration::from_millis(400));
        fleet.start_engine(crashing)?;
    }
    let outcomes: Vec<Outcome> = receiver.iter().flatten().collect();
    let mut new_streams = 0;
    let new_count = 12;
    for number in 0..new_count {
        let other =
            Turn { tokens: (839, 18), ..Turn::first(&format!("other-{number}"), "/open/2f", b"a first turn\n") };
        let (attempt, _) = send_turn(&record, gateways[number % GATEWAYS], &other, |_| {});
        new_streams += usize::from(has_run(&record, &attempt));
    }
    let resumed: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.is_resumed).collect();
    let went_on = resumed.iter().filter(|outcome| outcome.has_gone_on).count();
    let spent = resumed.iter().filter(|outcome| outcome.status == 402).count();
    let most_left = resumed.iter().map(|outcome| u64::from(MOST) - outcome.tokens).max().unwrap_or(0);
    let is_broken = resumed.len() >= 12 && 2 * went_on * new_count < new_streams * resumed.len();
    let text = format!(
        "{} programs of {PROGRAMS} ran their second turn; {} streams were taken up again, of which {went_on} went on and \
         {spent} got 402 with up to {most_left} tokens of their budget not used; {new_streams} of {new_count} new \
         streams began",
        outcomes.len(),
        resumed.len(),
    );
    if has_trouble && resumed.len() < 12 {
        return Err(format!("too few streams broke: {text}"));
    }
    Ok(Verdict { is_broken, text })
}
