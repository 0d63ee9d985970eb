//! A replica that starts with many turns on its disk needs hardly more memory than the turns take afterwards.

use foxnotch_gateway::replica::disk::Disk;
use foxnotch_turns::segment::Record;
use foxnotch_wire::{Content, ProgramKey, RunLocation, TurnEntry, TurnId, TurnRecord, NOT_SETTLED};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Number of turns on the disk.
const TURNS: u32 = 85_000;
/// Length of the input of each turn, and of its output, in bytes.
const TEXT_BYTES: usize = 110;
/// Number of turns of each program.
const TURNS_PER_PROGRAM: u32 = 4;
/// Number of records in one write.
const RECORDS_PER_WRITE: usize = 3000;
/// The most memory that the start may need beyond what is in use afterwards: a few segments of 4 MB, in megabytes.
const MAX_EXCESS_MB: u64 = 16;
const KILOBYTES_PER_MEGABYTE: u64 = 1024;

/// The two records of a turn: its reservation, and its settlement with its text.
fn records_of_turn(number: u32) -> [Record; 2] {
    let text = || Content::from(vec![b'x'; TEXT_BYTES]);
    let reservation = TurnEntry {
        turn: TurnId(u128::from(number) + 1),
        program: ProgramKey(u64::from(number / TURNS_PER_PROGRAM)),
        retention_ms: 600_000,
        reserved: 100,
        used: NOT_SETTLED,
        run_location: None,
        elsewhere: None,
        record: Vec::new(),
    };
    let record = TurnRecord { previous: TurnId(0), engine: 7, regions: Vec::new(), input: text(), output: text() };
    let run_location = Some(RunLocation { engine: 7, part: u64::from(number), prompt_tokens: 10 });
    let settlement = TurnEntry { used: 50, run_location, record: vec![record], ..reservation.clone() };
    [Record::Entry(reservation), Record::Entry(settlement)]
}

async fn write_turns(folder: &Path) {
    let (disk, _) = Disk::open(folder).expect("the folder can be used");
    let records: Vec<Record> = (0..TURNS).flat_map(records_of_turn).collect();
    for page in records.chunks(RECORDS_PER_WRITE) {
        disk.write(page.to_vec()).await.expect("the records can be written");
    }
}

/// A replica process; it is killed when this value is dropped.
struct Replica(Child);

impl Drop for Replica {
    fn drop(&mut self) {
        // `kill` fails when the process has ended already; `wait` is needed in either case.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Replica {
    /// Starts a replica at the loopback address with this last number; tests that run at the same time need different ones.
    fn start(folder: &Path, number: u8) -> Self {
        let settings = folder.join("replica.toml");
        let text = format!(
            "node = \"replica-1\"\nzone = \"a\"\nzones = [\"a\"]\nip = \"127.91.1.{number}\"\npeer_port = 7380\n\
             metrics_port = 7381\nseeds = []\nstore_address = \"127.91.1.9:7500\"\nfirst_start = false\n\
             data_folder = \"{}\"\n[tolerance]\nmachines = 1\n[times]\ndrain_ms = 3000\napply_ms = 3000\n\
             grace_s = 8\n[resources]\nmemory_mb = {MACHINE_MB}\ndescriptors = 4000\n",
            folder.join("data").display()
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_foxnotch"))
            .args(["replica", "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn();
        Self(child.expect("the replica can be started"))
    }

    /// Waits until the replica has read its disk.
    fn wait_until_disk_is_read(&mut self) {
        let output = self.0.stdout.take().expect("the output is piped");
        let is_read = |line: &str| line.contains("Disk read") && line.contains(&format!("turns={TURNS} "));
        let mut lines = BufReader::new(output).lines().map_while(Result::ok);
        assert!(lines.any(|line| is_read(&line)), "the replica ended before it had read its disk");
    }

    /// Values of the process's memory in megabytes, by their names in `/proc`, all of the same moment.
    fn memory_mb<const COUNT: usize>(&self, names: [&str; COUNT]) -> [u64; COUNT] {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).expect("the process runs");
        names.map(|name| memory_value_mb(&status, name))
    }
}

fn memory_value_mb(status: &str, name: &str) -> u64 {
    let value = status.lines().find_map(|line| line.strip_prefix(name)?.split_whitespace().nth(1)?.parse().ok());
    let kilobytes: u64 = value.expect("the status has the value");
    kilobytes / KILOBYTES_PER_MEGABYTE
}

/// The memory of a replica's machine, in megabytes.
const MACHINE_MB: u64 = 58;

/// Replicas that hold the turns of little more than a minute of a deployment's traffic ended for their memory.
#[tokio::test]
async fn the_turns_of_a_minute_need_less_than_half_of_a_small_machine() {
    let folder = tempfile::tempdir().expect("a folder can be created");
    write_turns(&folder.path().join("data")).await;
    let mut replica = Replica::start(folder.path(), 1);
    replica.wait_until_disk_is_read();
    let [used] = replica.memory_mb(["RssAnon"]);
    assert!(used <= MACHINE_MB / 2, "{TURNS} turns need {used} MB of {MACHINE_MB} MB");
}

#[tokio::test]
async fn a_start_with_many_turns_needs_little_more_memory_than_the_turns() {
    let folder = tempfile::tempdir().expect("a folder can be created");
    write_turns(&folder.path().join("data")).await;
    let mut replica = Replica::start(folder.path(), 2);
    replica.wait_until_disk_is_read();
    let [peak, afterwards, anonymous] = replica.memory_mb(["VmHWM", "VmRSS", "RssAnon"]);
    println!("anonymous memory afterwards: {anonymous} MB");
    let excess = peak - afterwards;
    assert!(excess <= MAX_EXCESS_MB, "the start needed {excess} MB more than the {afterwards} MB in use afterwards");
}
