//! Programs go on within their budgets after the planned restart of one machine with a disk.

use crate::caller::{deadline_from_now, has_run, send_turn, write_configuration, Turn, SERVICE};
use crate::fleet::{Fleet, Node, CONTACT_TIME};
use crate::Verdict;
use std::time::Duration;

const GATEWAYS: usize = 3;
const REPLICAS: usize = 4;
const ENGINES: usize = 3;
const PROGRAMS: usize = 9;
/// The most that a turn generates, which these turns do, and a budget that holds three of them.
const MOST: u32 = 288;
const BUDGET: u64 = 3 * MOST as u64;
const TRIES: usize = 6;

/// The last turn of a program.
struct LastTurn {
    tries: usize,
    reached: bool,
    statuses: Vec<u16>,
}

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Result<Verdict, String> {
    write_configuration(fleet);
    for number in 0..ENGINES {
        fleet.start_engine(fleet.engine_arguments(number, SERVICE))?;
    }
    fleet.start_all(GATEWAYS, REPLICAS)?;
    let record = fleet.record.clone();
    let gateways: Vec<_> = (0..GATEWAYS).map(|gateway| fleet.caller_address(gateway)).collect();

    let mut programs = Vec::new();
    for number in 0..PROGRAMS {
        let gateway = gateways[number % GATEWAYS];
        let first = Turn::first(&format!("3fa81c{number:02}"), "/kept/4b", format!("turn 0 of {number}\n").as_bytes());
        let turn = Turn { budget: Some(BUDGET), tokens: (1840, MOST), ..first };
        let (attempt, answer) = send_turn(&record, gateway, &turn, |_| {});
        if answer.status != 200 || !answer.is_whole {
            return Err(format!("a first turn was not answered: {} {}", answer.status, answer.error));
        }
        programs.push((gateway, Turn { previous: Some(attempt), ..turn }));
    }

    if has_trouble {
        let set = fleet.store.spec("foxnotch-replica-set", "main").unwrap_or_default();
        let member = (0..REPLICAS).find(|number| set.contains(&format!(".{}\"", 17 + number)));
        fleet.restart_node(Node::Replica(member.ok_or("the replica set names no replica")?))?;
    }
    // The programs' tools take this long. Afterwards all machines are in touch.
    std::thread::sleep(CONTACT_TIME + Duration::from_millis(700));

    let going_on: Vec<_> = programs
        .into_iter()
        .map(|(gateway, turn)| {
            let record = record.clone();
            std::thread::spawn(move || -> Result<LastTurn, String> {
                let turn = Turn { input: b"turn 1\n".to_vec(), ..turn };
                let (attempt, answer) = send_turn(&record, gateway, &turn, |_| {});
                if answer.status != 200 || !answer.is_whole {
                    return Err(format!("a second turn was not answered: {} {}", answer.status, answer.error));
                }
                let mut turn = Turn { previous: Some(attempt), input: b"turn 2\n".to_vec(), ..turn };
                let mut last = LastTurn { tries: 0, reached: false, statuses: Vec::new() };
                while last.tries < TRIES && !last.reached {
                    std::thread::sleep(Duration::from_millis(250));
                    // Each second try is a retry within the deadline of the one before.
                    turn.deadline = if last.tries % 2 == 0 { Some(deadline_from_now()) } else { turn.deadline };
                    let (attempt, answer) = send_turn(&record, gateway, &turn, |_| {});
                    last.tries += 1;
                    last.reached = has_run(&record, &attempt);
                    last.statuses.push(answer.status);
                }
                Ok(last)
            })
        })
        .collect();
    let mut others_reached = 0;
    let other_count = 10;
    for number in 0..other_count {
        let other = Turn::first(&format!("other-{number}"), "/kept/4b", b"a first turn\n");
        let (attempt, _) = send_turn(&record, gateways[number % GATEWAYS], &other, |_| {});
        others_reached += usize::from(has_run(&record, &attempt));
        std::thread::sleep(Duration::from_millis(100));
    }
    let mut lost = 0;
    for program in going_on {
        let last = program.join().map_err(|_| "a caller ended")??;
        record.line(&format!("last    tries={} reached={} statuses={:?}", last.tries, last.reached, last.statuses));
        lost += usize::from(!last.reached && last.tries >= 5);
    }
    let is_broken = lost > 0 && others_reached * 10 >= other_count * 9;
    let text = format!(
        "the third turns of {lost} of {PROGRAMS} programs reached no engine in {TRIES} tries although the budget holds \
         them; {others_reached} of {other_count} first turns reached one meanwhile"
    );
    Ok(Verdict { is_broken, text })
}
