//! An engine goes down and up twice; it comes up with another version of its software under its identifier.

use crate::caller::{deadline_from_now, send_turn, write_configuration, Turn, SERVICE};
use crate::engine::EngineArguments;
use crate::fleet::Fleet;
use crate::Verdict;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const REPLICAS: usize = 4;
/// As many as the site's service has; one of them goes down and up.
const ENGINES: usize = 11;
const STREAMS: usize = 66;
/// Time for which the engine is down, and up, as `gap_s` of `srv_flap`.
const FLAP_PERIOD: Duration = Duration::from_millis(1400);
const EVENT_PERIOD: Duration = Duration::from_millis(70);

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
        let arguments = fleet.engine_arguments(number, SERVICE);
        fleet.start_engine(EngineArguments { event_period: EVENT_PERIOD, ..arguments })?;
    }
    fleet.start_all(GATEWAYS, REPLICAS)?;
    let record = fleet.record.clone();
    let gateways: Vec<_> = (0..GATEWAYS).map(|gateway| fleet.caller_address(gateway)).collect();

    let mut flapping = EngineArguments {
        event_period: EVENT_PERIOD,
        version: "v2".to_owned(),
        // Half of the time between two writes of an entry.
        first_beat: Duration::from_millis(600),
        ..fleet.engine_arguments(0, SERVICE)
    };
    if has_trouble {
        fleet.kill_engine(&flapping.id);
        std::thread::sleep(FLAP_PERIOD);
        fleet.start_engine(flapping.clone())?;
        std::thread::sleep(Duration::from_millis(60));
    }
    let up_since = Instant::now();
    let (sender, receiver) = channel();
    for number in 0..STREAMS {
        let (record, gateways, sender) = (record.clone(), gateways.clone(), sender.clone());
        std::thread::spawn(move || {
            let program = format!("77d20b{number:02}");
            let turn = Turn::first(&program, "/open/2f", format!("stream {number}\n").as_bytes());
            let deadline = Some(deadline_from_now());
            let (begun_by, first) = send_turn(&record, gateways[number % GATEWAYS], &turn, |_| {});
            let (mut versions, last) = events_of(&first.body);
            if let (false, Some(last)) = (first.is_whole, last) {
                std::thread::sleep(Duration::from_millis(150));
                let resumed = Turn { resumed: Some((last, begun_by)), deadline, ..turn };
                let (_, rest) = send_turn(&record, gateways[(number + 1) % GATEWAYS], &resumed, |_| {});
                versions.extend(events_of(&rest.body).0);
            }
            versions.dedup();
            record.line(&format!("stream  program={program} versions={versions:?}"));
            let _ = sender.send(versions);
        });
        std::thread::sleep(Duration::from_millis(6));
    }
    drop(sender);
    if has_trouble {
        std::thread::sleep(FLAP_PERIOD.saturating_sub(up_since.elapsed()));
        fleet.kill_engine(&flapping.id);
        std::thread::sleep(FLAP_PERIOD);
        flapping.first_beat = Duration::ZERO;
        fleet.start_engine(flapping)?;
    }
    let streams: Vec<Vec<String>> = receiver.iter().collect();
    let mixed = streams.iter().filter(|versions| versions.len() > 1).count();
    let text = format!("{mixed} of {} streams hold events of two software versions", streams.len());
    Ok(Verdict { is_broken: mixed > 2, text })
}
