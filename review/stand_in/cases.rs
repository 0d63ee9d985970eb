//! The cases of the review that are scripts.

use super::*;

const SERVICES: &str = "[{\"name\":\"farm-lookup\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}]";
/// Gateways of a run.
const GATEWAYS: usize = 4;
/// Replicas of a run.
const REPLICAS: usize = 4;

pub fn run(case: &str, has_trouble: bool, output: &Path) -> Verdict {
    let outcome = match case {
        "late-refusal" => late_refusal(has_trouble, output),
        "cut-refusal" => cut_refusal(has_trouble, output),
        "lost-parent" => lost_parent(has_trouble, output),
        _ => Err(format!("no case has the name {case:?}")),
    };
    outcome.unwrap_or_else(Verdict::NotRun)
}

fn conclude(record: &Record, findings: Vec<String>, output: &Path) -> Result<Verdict, String> {
    record.write(output, &findings).map_err(|error| error.to_string())?;
    Ok(if findings.is_empty() { Verdict::Held } else { Verdict::Broken(findings) })
}

/// Engines of a run that serve plain requests, with the site's slots and queue.
const PLAIN_ENGINES: usize = 5;
const PLAIN_SIZE: (usize, usize) = (6, 24);
/// The share of engines that are faulty (0.6), and one of how many answers these spoil (less than 0.03).
const FAULTY_ENGINES: usize = 3;
const SPOILS_ONE_OF: u64 = 34;
/// 480 clients that send a request every 2 s load the engines to 85 of 100.
const CLIENTS: (usize, Duration) = (480, Duration::from_secs(2));
/// Many users come at once: 1.7 times as many, for 6 s.
const BURST: (std::ops::Range<Duration>, f64) = (Duration::from_secs(2)..Duration::from_secs(8), 1.7);
/// When engines spoil answers, for 5 s.
const FAULT_SPAN: std::ops::Range<Duration> = Duration::from_millis(2800)..Duration::from_millis(7800);
const RUN_TIME: Duration = Duration::from_secs(10);

fn start_plain_engines(fleet: &Fleet, fault: Fault, has_trouble: bool) -> Result<Vec<Arc<Engine>>, String> {
    let fault_of = |number| if has_trouble && number < FAULTY_ENGINES { fault } else { Fault::None };
    (0..PLAIN_ENGINES)
        .map(|number| fleet.add_engine(number, "farm-lookup", PLAIN_SIZE, (fault_of(number), SPOILS_ONE_OF)))
        .collect()
}

/// Sends plain requests of many users through all gateways. A refused client waits a little longer.
fn run_plain_load(fleet: &Fleet, engines: &[Arc<Engine>], (method, path): (&'static str, &'static str), wait_ms: u64) {
    let (net, log) = (fleet.net, fleet.record.clone());
    switch_faults(&fleet.record, engines, FAULT_SPAN);
    run_clients(&fleet.record, CLIENTS, RUN_TIME, BURST, move |client, number| {
        let gateway = net.caller((client + number as usize) % GATEWAYS);
        send_plain(&log, gateway, method, path, method == "GET", wait_ms);
    });
    std::thread::sleep(Duration::from_secs(1));
}

/// A burst fills the engines, so that they refuse some requests as not run. Meanwhile some of them send 3 of 100 of their
/// answers a second time, late: in the place of the next answer that is due on the connection.
fn late_refusal(has_trouble: bool, output: &Path) -> Result<Verdict, String> {
    let routes = "[{\"name\":\"sample-tag\",\"host\":\"ficu95.example\",\"path_prefix\":\"/samples/\",\
                  \"route_type\":\"non_idempotent\",\"timeout_ms\":3000,\"target_ms\":500,\"priority\":2,\
                  \"service\":\"farm-lookup\",\"attempts\":1}]";
    let mut fleet = Fleet::start(routes, SERVICES, GATEWAYS, REPLICAS)?;
    let engines = start_plain_engines(&fleet, Fault::LateCopy, has_trouble)?;
    fleet.start_nodes()?;
    fleet.wait_until_ready(GATEWAYS)?;
    run_plain_load(&fleet, &engines, ("POST", "/samples/17"), 3000);
    count_engines(&fleet.record, &engines)?;
    let findings = [fleet.record.twice(), fleet.record.falsely_refused()].concat();
    conclude(&fleet.record, findings, output)
}

/// A burst fills the engines, so that they refuse some requests as not run. Meanwhile some of them cut 3 of 100 of their
/// answers short, and keep the connection open. Clients wait for longer than the route's timeout.
fn cut_refusal(has_trouble: bool, output: &Path) -> Result<Verdict, String> {
    let routes = "[{\"name\":\"tank-read\",\"host\":\"ficu95.example\",\"path_prefix\":\"/tanks/\",\
                  \"route_type\":\"idempotent\",\"timeout_ms\":1200,\"target_ms\":150,\"priority\":2,\
                  \"service\":\"farm-lookup\",\"attempts\":3}]";
    let mut fleet = Fleet::start(routes, SERVICES, GATEWAYS, REPLICAS)?;
    let engines = start_plain_engines(&fleet, Fault::CutShort, has_trouble)?;
    fleet.start_nodes()?;
    fleet.wait_until_ready(GATEWAYS)?;
    run_plain_load(&fleet, &engines, ("GET", "/tanks/4"), 4000);
    count_engines(&fleet.record, &engines)?;
    let attempts = fleet.record.attempts();
    let outlasting: Vec<_> = attempts.iter().filter(|(_, attempt)| attempt.waited_ms > 1200).collect();
    let late: Vec<_> = outlasting.iter().filter(|(_, attempt)| attempt.waited_ms > 1700).collect();
    let text = format!("{} requests outlasted their route's timeout, {} of them by over 0.5 s", outlasting.len(), late.len());
    fleet.record.line(&text);
    let is_broken = late.len() >= 8 && late.len() * 4 > outlasting.len();
    let findings = late.iter().map(|(name, attempt)| format!("CONFIG {name} had {:?} after {} ms", attempt.status, attempt.waited_ms));
    conclude(&fleet.record, if is_broken { findings.collect() } else { Vec::new() }, output)
}

const MODEL_SERVICES: &str = "[{\"name\":\"rounds-agents\",\"health_path\":\"/healthz\",\"max_conns\":160,\"protocol\":\"h1\",\
    \"tls\":false,\"engine\":{\"slots\":12,\"kv_capacity\":127559,\"tokens_per_event\":9,\"models\":[{\"name\":\"m\"}]}}]";
const MODEL_ROUTES: &str = "[{\"name\":\"route-plan\",\"host\":\"ficu95.example\",\"path_prefix\":\"/plans/\",\
    \"route_type\":\"streaming\",\"timeout_ms\":4000,\"target_ms\":200,\"priority\":1,\"service\":\"rounds-agents\",\
    \"attempts\":1,\"retain\":true,\"retention_s\":60.0,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":200}]";

/// When the first member loses its disk, counted from the first turns.
const FIRST_LOSS_S: f64 = 3.5;
/// Time between two losses. After a disk's machine is back (`DOWN_TIME`), the store is stable after `contact_ms` (3 s), and
/// the machine counts as lost for `sync_s` (4.3 s) more.
const LOSS_PERIOD_S: f64 = 8.0;
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Sleeps until a moment, counted from the start of the case.
fn wait_until(record: &Record, begun_at: Instant, seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(begun_at.elapsed()));
    record.line(&format!("{seconds} s since the first turns"));
}

/// The indexes of the replicas that are members of the set.
fn members_of_set(fleet: &Fleet) -> Vec<usize> {
    let (spec, _) = fleet.store.get("foxnotch-replica-set", "main").unwrap_or_default();
    let members = store::json_value(&spec, "members").unwrap_or("").to_owned();
    let is_member = |number: &usize| members.contains(&format!("\"{}\"", fleet.net.replica_ip(*number)));
    (0..REPLICAS).filter(is_member).collect()
}

/// Sends the next turns of many programs side by side. Returns for each program its attempt or the statuses.
/// They begin 25 ms apart, so that few are at the engines at a time.
fn complete_turns(record: &Arc<Record>, gateways: &[SocketAddr], turns: &[Turn]) -> Vec<Result<String, Vec<Option<u16>>>> {
    let sending: Vec<_> = turns
        .iter()
        .map(|turn| {
            let (record, gateways, turn) = (record.clone(), gateways.to_vec(), turn.clone());
            std::thread::sleep(Duration::from_millis(25));
            std::thread::spawn(move || complete_turn(&record, &gateways, &turn))
        })
        .collect();
    sending.into_iter().map(|turn| turn.join().unwrap_or_else(|_| Err(Vec::new()))).collect()
}

/// The turns that go on from completed ones.
fn next_turns(before: &[Turn], attempts: &[String], program: impl Fn(usize) -> String, input: &str) -> Vec<Turn> {
    let next = |(number, (turn, attempt)): (usize, (&Turn, &String))| {
        let mut history = turn.history.clone();
        history.extend_from_slice(turn.input.as_bytes());
        history.extend_from_slice(engine::output_of(attempt).as_bytes());
        Turn {
            program: program(number),
            previous: Some(attempt.clone()),
            history,
            input: format!("{input} {number}\n"),
            ends_at: turn.ends_at,
        }
    };
    before.iter().zip(attempts).enumerate().map(next).collect()
}

/// Programs whose turns others go on from: each first program has one turn, and a second program goes on from it. Then
/// the three members of the replica set lose their disks, one after the other, each after the one before is back and
/// refilled. The second programs go on within the retention of their last turn.
fn lost_parent(has_trouble: bool, output: &Path) -> Result<Verdict, String> {
    const PROGRAMS: usize = 64;
    let mut fleet = Fleet::start(MODEL_ROUTES, MODEL_SERVICES, GATEWAYS, REPLICAS)?;
    let engines: Vec<Arc<Engine>> = (0..4)
        .map(|number| fleet.add_engine(number, "rounds-agents", (12, 36), (Fault::None, 1)))
        .collect::<Result<_, _>>()?;
    fleet.start_nodes()?;
    fleet.wait_until_ready(GATEWAYS)?;
    let until = Instant::now() + Duration::from_secs(10);
    while members_of_set(&fleet).len() < 3 {
        if Instant::now() > until {
            return Err("the replica set did not get three members".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(1));
    let record = fleet.record.clone();
    let begun_at = Instant::now();
    // The lines of turns enter through one zone at first, and later through others.
    let first_gateway = [fleet.net.caller(0)];
    let other_gateways: Vec<SocketAddr> = (1..GATEWAYS).map(|gateway| fleet.net.caller(gateway)).collect();
    let completed = |turns: &[Turn], gateways: &[SocketAddr]| -> Result<Vec<String>, String> {
        let outcomes = complete_turns(&record, gateways, turns);
        outcomes.into_iter().collect::<Result<_, _>>().map_err(|statuses| format!("a turn before the trouble failed: {statuses:?}"))
    };
    let first: Vec<Turn> = (0..PROGRAMS)
        .map(|number| Turn {
            program: format!("a{number:04x}"),
            previous: None,
            history: Vec::new(),
            input: format!("first input {number}\n"),
            ends_at: begun_at + Duration::from_secs(115),
        })
        .collect();
    let first_attempts = completed(&first, &first_gateway)?;
    let second = next_turns(&first, &first_attempts, |number| format!("b{number:04x}"), "second input");
    let second_attempts = completed(&second, &first_gateway)?;
    let members = members_of_set(&fleet);
    record.line(&format!("members of the replica set: {members:?}"));
    for (step, member) in members.iter().enumerate() {
        wait_until(&record, begun_at, FIRST_LOSS_S + LOSS_PERIOD_S * step as f64);
        if has_trouble {
            let node = &mut fleet.nodes[GATEWAYS + member];
            node.kill();
            std::fs::remove_dir_all(node.data_folder()).map_err(|error| error.to_string())?;
            std::thread::sleep(DOWN_TIME);
            node.start(false).map_err(|error| error.to_string())?;
            record.line(&format!("{} lost its disk and is back with an empty one", node.name()));
        }
    }
    wait_until(&record, begun_at, 50.0);
    let third = next_turns(&second, &second_attempts, |number| format!("b{number:04x}"), "third input");
    let third_attempts = completed(&third, &first_gateway)?;
    engines.iter().for_each(|engine| engine.peak.store(0, Ordering::Relaxed));
    wait_until(&record, begun_at, 99.0);
    let fourth = next_turns(&third, &third_attempts, |number| format!("b{number:04x}"), "fourth input");
    let outcomes = complete_turns(&record, &other_gateways, &fourth);
    let fresh: Vec<Turn> = (0..20)
        .map(|number| Turn {
            program: format!("c{number:04x}"),
            previous: None,
            history: Vec::new(),
            input: "new\n".to_owned(),
            ends_at: begun_at + Duration::from_secs(115),
        })
        .collect();
    let served = complete_turns(&record, &other_gateways, &fresh).iter().filter(|outcome| outcome.is_ok()).count();
    record.line(&format!("{served} of 20 first turns are served at the same time"));
    if served < 18 {
        return Err(format!("only {served} of 20 first turns were served"));
    }
    let peaks: Vec<u64> = engines.iter().map(|engine| engine.peak.load(Ordering::Relaxed)).collect();
    record.line(&format!("the most requests at each engine meanwhile: {peaks:?} of 12 places"));
    if peaks.iter().any(|peak| *peak >= 6) {
        return Err(format!("the engines were not under half full: {peaks:?} of 12 places"));
    }
    let mut findings = Vec::new();
    for (number, outcome) in outcomes.iter().enumerate() {
        match outcome {
            Err(statuses) => findings.push(format!(
                "LOST the turn after {} of program {} reached no engine in five tries: {statuses:?}",
                third_attempts[number], fourth[number].program
            )),
            Ok(attempt) => {
                let expected = [fourth[number].history.as_slice(), fourth[number].input.as_bytes()].concat();
                let got = engines.iter().find_map(|engine| engine.bodies.lock().unwrap().get(attempt).cloned());
                if got.as_ref() != Some(&expected) {
                    findings.push(format!("UNASKED turn {attempt} ran with another body than its chain"));
                }
            }
        }
    }
    conclude(&record, findings, output)
}
