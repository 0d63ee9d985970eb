//! Runs a planned load against nodes and checks the replies.

use super::client::Caller;
use super::report::{Percentiles, ProgramResult, Report, WastedCache};
use super::workload::{plan, PlainProfile, PlannedCall, PlannedProgram, Workload};
use crate::model::answer::answer_text;
use crate::stand_in::engine::EngineCount;
use foxnotch::http::HttpClient;
use foxnotch::protocol::callers::{IssueCall, OpenBranch, OutcomeName, ReplyBody};
use foxnotch_wire::{BranchId, CallKey, ProgramId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Token budget of a sub-agent.
const SUB_AGENT_BUDGET_TOKENS: u64 = 40_000;
/// Timeout for reading an engine's counters.
const COUNT_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Caller addresses of the nodes.
    pub nodes: Vec<String>,
    /// Addresses of the engines.
    pub engines: Vec<String>,
    /// The workload to run.
    pub workload: Workload,
    /// Load in percent of the workload's rates.
    pub load_percent: u32,
    /// Seconds over which programs are opened.
    pub seconds: u64,
    /// Seed of the plan.
    pub seed: u64,
}

/// Keys of the run's calls that must run at most once.
type OnceCalls = Arc<Mutex<Vec<String>>>;

/// Runs a load until all programs have ended.
///
/// # Errors
/// When the HTTP client cannot be created or an engine's counters cannot be read.
pub async fn run(settings: LoadSettings) -> anyhow::Result<Report> {
    let client = HttpClient::new()?;
    let before = read_counts(&client, &settings.engines).await?;
    let started = Instant::now();
    let once_calls = OnceCalls::default();
    let mut programs = JoinSet::new();
    let planned = plan(&settings.workload, settings.load_percent, settings.seconds, settings.seed);
    for (number, program) in planned.into_iter().enumerate() {
        let caller = Caller::new(client.clone(), settings.nodes.clone(), number, program.tenant);
        programs.spawn(run_program(caller, program, started, once_calls.clone()));
    }
    let mut plain = JoinSet::new();
    for profile in &settings.workload.plain {
        plain.spawn(run_plain(client.clone(), settings.clone(), profile.clone(), started));
    }
    let results = programs.join_all().await;
    let plain_results: Vec<PlainResult> = plain.join_all().await;
    let after = read_counts(&client, &settings.engines).await?;
    let mut report = Report::from_results(settings.workload.name, settings.load_percent, settings.seed, results);
    report.plain_done = plain_results.iter().map(|result| result.latencies.len() as u64).sum();
    report.plain_failed = plain_results.iter().map(|result| result.failed).sum();
    report.plain_latency = Percentiles::from_samples(plain_results.into_iter().flat_map(|result| result.latencies));
    report.wasted_cache = difference(WastedCache::from_counts(&before), WastedCache::from_counts(&after));
    let once_calls = once_calls.lock().unwrap_or_else(PoisonError::into_inner).clone();
    report.violations.extend(find_repeated_calls(&once_calls, &after));
    Ok(report)
}

async fn read_counts(client: &HttpClient, engines: &[String]) -> anyhow::Result<Vec<EngineCount>> {
    let mut counts = Vec::new();
    for engine in engines {
        counts.push(client.get_json(engine, "/v1/count", COUNT_TIMEOUT).await?);
    }
    Ok(counts)
}

fn difference(before: WastedCache, after: WastedCache) -> WastedCache {
    WastedCache {
        prefilled_tokens: after.prefilled_tokens - before.prefilled_tokens,
        prefilled_again_tokens: after.prefilled_again_tokens - before.prefilled_again_tokens,
        cached_tokens: after.cached_tokens - before.cached_tokens,
        unused_hold_token_seconds: after.unused_hold_token_seconds - before.unused_hold_token_seconds,
    }
}

/// Returns a violation for each call that must run at most once and that the engines together started more often.
fn find_repeated_calls(once_calls: &[String], counts: &[EngineCount]) -> Vec<String> {
    let mut starts: HashMap<&str, u32> = HashMap::new();
    for (call, times) in counts.iter().flat_map(|count| &count.starts) {
        *starts.entry(call).or_default() += times;
    }
    let twice = once_calls.iter().filter(|call| starts.get(call.as_str()).is_some_and(|times| *times > 1));
    twice.map(|call| format!("call {call} must run at most once, but engines started it more than once")).collect()
}

async fn run_program(
    mut caller: Caller,
    plan: PlannedProgram,
    started: Instant,
    once_calls: OnceCalls,
) -> ProgramResult {
    tokio::time::sleep(Duration::from_millis(plan.starts_ms)).await;
    let mut result = ProgramResult { instance: plan.instance.to_owned(), ..ProgramResult::default() };
    let opened = Instant::now();
    if let Err(error) = drive_program(&mut caller, &plan, &once_calls, &mut result).await {
        result.failure = Some(format!("{}: {error}", plan.key));
    }
    result.latency_ms = opened.elapsed().as_millis() as u64;
    result.ended_ms = started.elapsed().as_millis() as u64;
    result
}

/// Opens a program, issues the calls of its root branch and of its sub-agent, and closes it.
async fn drive_program(
    caller: &mut Caller,
    plan: &PlannedProgram,
    once_calls: &OnceCalls,
    result: &mut ProgramResult,
) -> anyhow::Result<()> {
    let opened = caller.open(plan.instance, &plan.key).await?;
    result.resends += opened.times_sent - 1;
    let ReplyBody::Opened { program } = opened.reply else {
        anyhow::bail!("a node answered the request to open the program with {:?}", opened.reply)
    };
    let main = BranchDriver { program: program.clone(), branch: 0, timeout_ms: plan.timeout_ms };
    let mut sub_caller = caller.clone();
    let sub_agent = async {
        let mut result = ProgramResult::default();
        let driven = drive_sub_agent(&mut sub_caller, &program, plan, once_calls, &mut result).await;
        (driven, result)
    };
    let (driven, (sub_driven, sub_result)) =
        tokio::join!(main.issue_calls(caller, &plan.calls, once_calls, result), sub_agent);
    driven?;
    sub_driven?;
    result.calls_done += sub_result.calls_done;
    result.calls_undecided += sub_result.calls_undecided;
    result.calls_not_run += sub_result.calls_not_run;
    result.refusals += sub_result.refusals;
    result.resends += sub_result.resends;
    result.violations.extend(sub_result.violations);
    let closed = caller.close(&program).await?;
    anyhow::ensure!(
        closed.reply == ReplyBody::Closed,
        "a node answered the request to close the program with {:?}",
        closed.reply
    );
    Ok(())
}

async fn drive_sub_agent(
    caller: &mut Caller,
    program: &str,
    plan: &PlannedProgram,
    once_calls: &OnceCalls,
    result: &mut ProgramResult,
) -> anyhow::Result<()> {
    if plan.sub_agent_calls.is_empty() {
        return Ok(());
    }
    let open = OpenBranch { parent: 0, key: "sub-agent".to_owned(), budget_tokens: SUB_AGENT_BUDGET_TOKENS };
    let opened = caller.open_branch(program, &open).await?;
    let ReplyBody::BranchOpened { branch } = opened.reply else {
        anyhow::bail!("a node answered the request to open the sub-agent's branch with {:?}", opened.reply)
    };
    let driver = BranchDriver { program: program.to_owned(), branch, timeout_ms: plan.timeout_ms };
    driver.issue_calls(caller, &plan.sub_agent_calls, once_calls, result).await
}

/// Issues the calls of one branch.
struct BranchDriver {
    program: String,
    branch: u32,
    timeout_ms: u64,
}

impl BranchDriver {
    async fn issue_calls(
        &self,
        caller: &mut Caller,
        calls: &[PlannedCall],
        once_calls: &OnceCalls,
        result: &mut ProgramResult,
    ) -> anyhow::Result<()> {
        for (sequence, call) in calls.iter().enumerate() {
            if sequence > 0 {
                tokio::time::sleep(Duration::from_millis(call.pause_ms)).await;
                result.paused_ms += call.pause_ms;
            }
            self.issue_call(caller, sequence as u32, call, once_calls, result).await?;
        }
        Ok(())
    }

    async fn issue_call(
        &self,
        caller: &mut Caller,
        sequence: u32,
        call: &PlannedCall,
        once_calls: &OnceCalls,
        result: &mut ProgramResult,
    ) -> anyhow::Result<()> {
        let program: ProgramId = self.program.parse()?;
        let key = CallKey { program, branch: BranchId(self.branch), sequence };
        if !call.repeatable {
            once_calls.lock().unwrap_or_else(PoisonError::into_inner).push(key.to_string());
        }
        let issue = IssueCall {
            branch: self.branch,
            sequence,
            input: call.input.clone(),
            maximum_output_tokens: call.maximum_output_tokens,
            repeatable: call.repeatable,
            resend: false,
            timeout_ms: self.timeout_ms,
        };
        let exchange = caller.call(&self.program, &issue).await?;
        result.refusals += exchange.refusals;
        result.resends += exchange.times_sent - 1;
        match exchange.reply {
            ReplyBody::Finished { outcome: OutcomeName::Done, text, .. } => {
                result.calls_done += 1;
                if text.as_bytes() != answer_text(key, call.maximum_output_tokens) {
                    result.violations.push(format!("the answer to call {key} is not the expected one"));
                }
            }
            ReplyBody::Finished { outcome: OutcomeName::NotRun, .. } => result.calls_not_run += 1,
            ReplyBody::Finished { .. } => result.calls_undecided += 1,
            other => anyhow::bail!("call {key} ended with {other:?}"),
        }
        Ok(())
    }
}

/// Result of the plain requests of one profile.
#[derive(Clone, Debug, Default)]
struct PlainResult {
    latencies: Vec<u64>,
    failed: u64,
}

async fn run_plain(client: HttpClient, settings: LoadSettings, profile: PlainProfile, started: Instant) -> PlainResult {
    let mut random = StdRng::seed_from_u64(settings.seed);
    let mut requests = JoinSet::new();
    let end = Duration::from_secs(settings.seconds);
    let mean = 100.0 / f64::from(profile.per_second * settings.load_percent);
    let mut number = 0;
    while started.elapsed() < end {
        let gap = -mean * random.random_range(f64::MIN_POSITIVE..1.0).ln();
        tokio::time::sleep(Duration::from_secs_f64(gap)).await;
        number += 1;
        let mut caller = Caller::new(client.clone(), settings.nodes.clone(), number, profile.tenant);
        requests.spawn(async move {
            let sent = Instant::now();
            let answered = caller.send_plain_request(profile.instance).await;
            answered.then(|| sent.elapsed().as_millis() as u64)
        });
    }
    let outcomes = requests.join_all().await;
    let failed = outcomes.iter().filter(|outcome| outcome.is_none()).count() as u64;
    PlainResult { latencies: outcomes.into_iter().flatten().collect(), failed }
}
