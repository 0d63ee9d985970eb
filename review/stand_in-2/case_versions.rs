//! An engine goes down and up twice; it comes up with another version of its software under its identifier.

use crate::caller::{send_turn, write_configuration, Turn, SERVICE};
use crate::fleet::Fleet;
use crate::Verdict;
use std::sync::mpsc::channel;
use std::time::Duration;

const GATEWAYS: usize = 3;
const REPLICAS: usize = 4;
const ENGINES: usize = 3;
const STREAMS: usize = 24;

/// The versions that wrote the events, and the number of the last whole event.
pub fn events_of(body: &[u8]) -> (Vec<String>, Option<u32>) {
    let text = String::from_utf8_lossy(body);
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let mut versions = Vec::new();
    let mut last = None;
    for line in whole.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            last = id.parse().ok();
        } else if let Some((_, version)) = line.split_once(" of ") {
            if !versions.iter().any(|known| known == version) {
                versions.push(version.to_owned());
            }
        }
    }
    (versions, last)
}

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Result<Verdict, String> {
    write_configuration(fleet);
    for number in 0..ENGINES {
        fleet.start_engine(fleet.engine_arguments(number, SERVICE))?;
    }
    fleet.start_all(GATEWAYS, REPLICAS)?;
    let record = fleet.record.clone();
    let gateways: Vec<_> = (0..GATEWAYS).map(|gateway| fleet.caller_address(gateway)).collect();
    let slow = Duration::from_millis(70);
    for number in 0..ENGINES {
        let arguments = fleet.engine_arguments(number, SERVICE);
        fleet.kill_engine(&arguments.id);
        fleet.start_engine(crate::engine::EngineArguments { event_period: slow, ..arguments })?;
    }
    std::thread::sleep(Duration::from_secs(3));

    let mut flapping = fleet.engine_arguments(0, SERVICE);
    flapping.event_period = slow;
    flapping.version = "v2".to_owned();
    // Half of the time between two writes of an entry.
    flapping.first_beat = Duration::from_millis(600);
    if has_trouble {
        fleet.kill_engine(&flapping.id);
        fleet.start_engine(flapping.clone())?;
        std::thread::sleep(Duration::from_millis(60));
    }
    let (sender, receiver) = channel();
    for number in 0..STREAMS {
        let (record, gateways, sender) = (record.clone(), gateways.clone(), sender.clone());
        std::thread::spawn(move || {
            let program = format!("77d20b{number:02}");
            let turn = Turn::first(&program, "/open/2f", format!("stream {number}\n").as_bytes());
            let (begun_by, first) = send_turn(&record, gateways[number % GATEWAYS], &turn, |_| {});
            let (mut versions, last) = events_of(&first.body);
            if let (false, Some(last)) = (first.is_whole, last) {
                let resumed = Turn { resumed: Some((last, begun_by)), ..turn };
                std::thread::sleep(Duration::from_millis(150));
                for step in 1..3 {
                    let gateway = gateways[(number + step) % GATEWAYS];
                    let (_, rest) = send_turn(&record, gateway, &resumed, |_| {});
                    if rest.status == 200 {
                        versions.extend(events_of(&rest.body).0);
                        break;
                    }
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
            versions.dedup();
            record.line(&format!("stream  program={program} versions={versions:?}"));
            let _ = sender.send(versions);
        });
        std::thread::sleep(Duration::from_millis(15));
    }
    drop(sender);
    if has_trouble {
        std::thread::sleep(Duration::from_millis(900));
        fleet.kill_engine(&flapping.id);
        std::thread::sleep(Duration::from_millis(100));
        flapping.first_beat = Duration::ZERO;
        fleet.start_engine(flapping)?;
    }
    let streams: Vec<Vec<String>> = receiver.iter().collect();
    let mixed = streams.iter().filter(|versions| versions.len() > 1).count();
    let text = format!("{mixed} of {} streams hold events of two software versions", streams.len());
    Ok(Verdict { is_broken: mixed > 2, text })
}
