//! Cases of the second review, and the stand-ins that they start. Only the standard library is used.
//!
//! `cases case NAME FOLDER` runs a case and writes `record.txt` into the folder. The exit status is 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out. With `KEEP_LOGS`
//! set to a folder, the logs of the nodes are copied there.

mod caller;
mod case_chain;
mod case_entries;
mod case_resume;
mod case_tickets;
mod case_versions;
mod engine;
mod fleet;
mod http;
mod json;
mod record;
mod store;

use fleet::Fleet;
use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// What a case has found.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

fn run_case(name: &str, folder: &str) -> Result<Verdict, String> {
    let record = Record::begin(&Path::new(folder).join("record.txt")).map_err(|error| error.to_string())?;
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case    {name} trouble={has_trouble}"));
    fleet::limit_time();
    let mut fleet = Fleet::begin(record.clone())?;
    let run = match name {
        "chain" => case_chain::run,
        "tickets" => case_tickets::run,
        "resume" => case_resume::run,
        "versions" => case_versions::run,
        "entries" => case_entries::run,
        _ => return Err(format!("there is no case {name}")),
    };
    let verdict = run(&mut fleet, has_trouble)?;
    drop(fleet);
    record.line(&format!("verdict broken={}: {}", verdict.is_broken, verdict.text));
    Ok(verdict)
}

/// Runs a case; one that panics could not run. Its processes have ended by then.
fn run_without_panic(name: &str, folder: &str) -> Result<Verdict, String> {
    std::panic::catch_unwind(|| run_case(name, folder)).unwrap_or_else(|_| Err("it panicked".to_owned()))
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match words.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["engine", ..] => match engine::run(&words[1..]) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("engine: {error}");
                ExitCode::from(2)
            }
        },
        ["guard"] => {
            fleet::guard();
            ExitCode::SUCCESS
        }
        ["case", name, folder] => match run_without_panic(name, folder) {
            Ok(verdict) => {
                println!("{}: {}", if verdict.is_broken { "BROKEN" } else { "held" }, verdict.text);
                ExitCode::from(u8::from(verdict.is_broken))
            }
            Err(error) => {
                eprintln!("the case could not run: {error}");
                ExitCode::from(2)
            }
        },
        _ => {
            eprintln!("usage: cases case NAME FOLDER");
            ExitCode::from(2)
        }
    }
}
