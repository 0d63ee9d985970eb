//! Two of the three gateways of a zone are stopped as planned, one shortly after the other, while slow turns are asked
//! for. A small stand-in for the platform's entry passes new connections on.

use crate::caller::{has_run, send_turn, write_configuration, Turn, SERVICE};
use crate::engine::EngineArguments;
use crate::fleet::{Fleet, Node};
use crate::Verdict;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const REPLICAS: usize = 4;
const ENGINES: usize = 8;
/// Time between the two stops, as in the site's `roll_term`.
const GAP: Duration = Duration::from_millis(1300);
/// Time between two turns of different programs.
const TURN_PERIOD: Duration = Duration::from_millis(70);
/// A turn has 32 events, so it takes 3.68 s; the route's timeout and the caller's deadline are 4 s.
const EVENT_PERIOD: Duration = Duration::from_millis(115);
const DEADLINE: Duration = Duration::from_millis(3950);
/// `grace_s` of the site.
const GRACE: Duration = Duration::from_secs(8);

/// The platform's entry: asks each gateway each second whether it is ready, takes it out after two misses, and uses all
/// of the zone's gateways while under half of them are in.
struct Entry {
    misses: [u32; GATEWAYS],
}

impl Entry {
    fn candidates(&self) -> Vec<usize> {
        let inside: Vec<usize> = (0..GATEWAYS).filter(|gateway| self.misses[*gateway] < 2).collect();
        if 2 * inside.len() < GATEWAYS {
            (0..GATEWAYS).collect()
        } else {
            inside
        }
    }
}

/// A turn as its caller saw it.
struct Sent {
    attempt: String,
    gateway: usize,
    at: Instant,
    took: Duration,
    status: u16,
    is_whole: bool,
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
    let ready: Vec<_> = (0..GATEWAYS).map(|gateway| fleet.readiness(gateway)).collect();

    let entry = Arc::new(Mutex::new(Entry { misses: [0; GATEWAYS] }));
    let asking = entry.clone();
    std::thread::spawn(move || loop {
        for (gateway, address) in ready.iter().enumerate() {
            let is_ready = crate::fleet::says_ready(*address);
            let mut entry = asking.lock().unwrap();
            entry.misses[gateway] = if is_ready { 0 } else { entry.misses[gateway] + 1 };
        }
        std::thread::sleep(Duration::from_secs(1));
    });

    let sent = Arc::new(Mutex::new(Vec::new()));
    let begun_at = Instant::now();
    let mut callers = Vec::new();
    let mut stopped_at: [Option<Instant>; GATEWAYS] = [None; GATEWAYS];
    let mut ended = [false; GATEWAYS];
    let mut number = 0;
    while begun_at.elapsed() < Duration::from_secs(16) {
        let candidates = entry.lock().unwrap().candidates();
        let gateway = candidates[number % candidates.len()];
        let (address, record, sent) = (gateways[gateway], record.clone(), sent.clone());
        callers.push(std::thread::spawn(move || {
            let turn = Turn::first(&format!("3fa81c{number:03}"), "/kept/4b", b"a first turn\n");
            let at = Instant::now();
            let (attempt, answer) = send_turn(&record, address, &turn, |_| {});
            let (took, status, is_whole) = (at.elapsed(), answer.status, answer.is_whole);
            sent.lock().unwrap().push(Sent { attempt, gateway, at, took, status, is_whole });
        }));
        number += 1;
        for (gateway, due) in [(0, Duration::from_secs(2)), (1, Duration::from_secs(2) + GAP)] {
            if has_trouble && stopped_at[gateway].is_none() && begun_at.elapsed() >= due {
                fleet.signal(Node::Gateway(gateway), "TERM");
                stopped_at[gateway] = Some(Instant::now());
            }
            let Some(at) = stopped_at[gateway].filter(|_| !ended[gateway]) else { continue };
            let has_ended = fleet.wait_for_end(Node::Gateway(gateway), Duration::from_millis(15)).is_some();
            if !has_ended && at.elapsed() >= GRACE {
                fleet.kill_node(Node::Gateway(gateway));
            }
            if has_ended || at.elapsed() >= GRACE {
                ended[gateway] = true;
                fleet.start_node(Node::Gateway(gateway), false)?;
            }
        }
        std::thread::sleep(TURN_PERIOD);
    }
    for caller in callers {
        let _ = caller.join();
    }

    let sent = sent.lock().unwrap();
    let mut cut = 0;
    for turn in sent.iter().filter(|turn| !turn.is_whole && turn.took < DEADLINE && has_run(&record, &turn.attempt)) {
        let Some(stopped_at) = stopped_at[turn.gateway] else { continue };
        let after_stop = turn.at.saturating_duration_since(stopped_at);
        let is_counted = turn.at > stopped_at + Duration::from_secs(3) && after_stop < GRACE + Duration::from_secs(1);
        record.line(&format!(
            "cut     attempt={} sent {after_stop:?} after SIGTERM, cut after {:?}, counted={is_counted}",
            turn.attempt, turn.took
        ));
        cut += usize::from(is_counted);
    }
    let whole = sent.iter().filter(|turn| turn.is_whole && turn.status == 200).count();
    let refused = sent.iter().filter(|turn| turn.status == 503).count();
    let text = format!(
        "{} turns: {whole} answered whole, {refused} refused with 503; {cut} that were sent over 3 s after the SIGTERM of \
         their gateway ran and were cut off, before their deadline",
        sent.len()
    );
    Ok(Verdict { is_broken: cut > 0, text })
}
