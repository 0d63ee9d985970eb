//! A program whose turns are long goes on after the planned restart of the gateway that it uses.

use crate::caller::{deadline_from_now, has_run, send_turn, write_configuration, Turn, SERVICE};
use crate::engine::{hash, output_of};
use crate::fleet::{Fleet, Node, CONTACT_TIME};
use crate::Verdict;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const REPLICAS: usize = 4;
const ENGINES: usize = 3;
/// Bytes of the input of each earlier turn; the configuration allows 4,194,304.
const INPUT_BYTES: usize = 3_500_000;
/// Time within which the program should end.
const PROGRAM_TIME: Duration = Duration::from_secs(40);
const EARLIER_TURNS: usize = 5;
/// Times that the next turn is sent.
const TRIES: usize = 6;

fn input(turn: usize) -> Vec<u8> {
    let line = format!("line of turn {turn} of a long document\n");
    line.bytes().cycle().take(INPUT_BYTES).collect()
}

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Result<Verdict, String> {
    write_configuration(fleet);
    for number in 0..ENGINES {
        fleet.start_engine(fleet.engine_arguments(number, SERVICE))?;
    }
    fleet.start_all(GATEWAYS, REPLICAS)?;
    let (record, gateway) = (fleet.record.clone(), fleet.caller_address(0));

    let mut turn = Turn { program_ends_at: Instant::now() + PROGRAM_TIME, ..Turn::first("3fa81c", "/kept/4b", b"") };
    let mut history = Vec::new();
    for number in 0..EARLIER_TURNS {
        turn.input = input(number);
        let (attempt, answer) = send_turn(&record, gateway, &turn, |_| {});
        if answer.status != 200 || !answer.is_whole {
            return Err(format!("turn {number} was not answered: {} {}", answer.status, answer.error));
        }
        history.extend_from_slice(&turn.input);
        history.extend(output_of(turn.tokens.1, "v1"));
        turn.previous = Some(attempt);
    }

    if has_trouble {
        fleet.restart_node(Node::Gateway(0))?;
        fleet.wait_until_ready(GATEWAYS)?;
    }
    std::thread::sleep(CONTACT_TIME);

    turn.input = b"and now a summary\n".to_vec();
    history.extend_from_slice(&turn.input);
    let (mut reached, mut tries, mut others_reached) = (false, 0, 0);
    while tries < TRIES && !reached {
        let other = Turn::first(&format!("other-{tries}"), "/kept/4b", b"a first turn\n");
        let (attempt, _) = send_turn(&record, gateway, &other, |_| {});
        others_reached += usize::from(has_run(&record, &attempt));
        // Each second try is a retry within the deadline of the one before.
        turn.deadline = if tries % 2 == 0 { Some(deadline_from_now()) } else { turn.deadline };
        let (attempt, answer) = send_turn(&record, gateway, &turn, |_| {});
        tries += 1;
        reached = has_run(&record, &attempt);
        if reached {
            let wanted = format!("body_bytes={} body_hash={:016x}", history.len(), hash(&history));
            let is_right = record.lines().iter().any(|line| line.contains(&attempt) && line.contains(&wanted));
            if !is_right || answer.status != 200 {
                return Err(format!("the turn ran with another body, or its answer was {}", answer.status));
            }
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    let is_broken = !reached && tries >= 5 && others_reached * 10 >= tries * 9;
    let text = format!(
        "the next turn reached an engine: {reached}, after {tries} tries; {others_reached} of {tries} first turns \
         reached one meanwhile"
    );
    Ok(Verdict { is_broken, text })
}
