//! Many callers with long turns come at once. The stand-in for the platform kills a process whose memory goes over its
//! machine's, and starts it again.

use crate::caller::{send_turn, write_configuration, Turn, SERVICE};
use crate::fleet::{Fleet, Node, GATEWAY_MEMORY_MB};
use crate::Verdict;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const REPLICAS: usize = 4;
const ENGINES: usize = 6;
/// Bytes of a turn's input; the configuration allows 4,194,304.
const INPUT_BYTES: usize = 3_800_000;
/// Callers at each gateway, each with one turn at a time, and as many more during the burst.
const CALLERS: usize = 3;
const BURST_AT: Duration = Duration::from_secs(3);
const BURST_FOR: Duration = Duration::from_secs(6);
const END_AT: Duration = Duration::from_secs(12);

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Result<Verdict, String> {
    write_configuration(fleet);
    for number in 0..ENGINES {
        fleet.start_engine(fleet.engine_arguments(number, SERVICE))?;
    }
    fleet.start_all(GATEWAYS, REPLICAS)?;
    let record = fleet.record.clone();
    let input: Vec<u8> = b"line of a long document\n".iter().copied().cycle().take(INPUT_BYTES).collect();
    let (input, stop, broken) = (Arc::new(input), Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let begun_at = Instant::now();
    let mut callers = Vec::new();
    for number in 0..2 * CALLERS * GATEWAYS {
        let is_of_burst = number >= CALLERS * GATEWAYS;
        if is_of_burst && !has_trouble {
            continue;
        }
        let (record, gateway) = (record.clone(), fleet.caller_address(number % GATEWAYS));
        let (input, stop, broken) = (input.clone(), stop.clone(), broken.clone());
        callers.push(std::thread::spawn(move || {
            let mut turns = 0;
            while !stop.load(Ordering::SeqCst) {
                let time = begun_at.elapsed();
                if is_of_burst && !(BURST_AT..BURST_AT + BURST_FOR).contains(&time) {
                    std::thread::sleep(Duration::from_millis(20));
                    continue;
                }
                let turn = Turn::first(&format!("m{number}-{turns}"), "/kept/4b", &input);
                let (_, answer) = send_turn(&record, gateway, &turn, |_| {});
                broken.fetch_add(usize::from(!answer.is_whole), Ordering::SeqCst);
                turns += 1;
                std::thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    let limit = GATEWAY_MEMORY_MB * 1024;
    let mut killed = [0; GATEWAYS];
    let mut down_since: [Option<Instant>; GATEWAYS] = [None; GATEWAYS];
    let mut peak = 0;
    while begun_at.elapsed() < END_AT {
        for gateway in 0..GATEWAYS {
            let node = Node::Gateway(gateway);
            if let Some(since) = down_since[gateway] {
                if since.elapsed() >= Duration::from_millis(300) {
                    fleet.start_node(node, false)?;
                    down_since[gateway] = None;
                }
                continue;
            }
            let Some((now, _)) = fleet.memory_kilobytes(node) else { continue };
            peak = peak.max(now);
            if now > limit {
                record.line(&format!("memory  {} holds {now} kB, over its {limit} kB", node.name()));
                fleet.kill_node(node);
                killed[gateway] += 1;
                down_since[gateway] = Some(Instant::now());
            }
        }
        std::thread::sleep(Duration::from_millis(4));
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let often = killed.iter().filter(|times| **times >= 3).count();
    let text = format!(
        "the gateways ended {killed:?} times because their memory went over {limit} kB (peak {peak} kB); {} turns were \
         not answered whole",
        broken.load(Ordering::SeqCst)
    );
    // A tenth of the machines in use, two at least.
    Ok(Verdict { is_broken: often >= 2, text })
}
