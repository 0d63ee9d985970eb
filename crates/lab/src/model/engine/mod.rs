//! A model engine: continuous batching, a prefix cache of limited size, priorities, resumable and cancellable
//! answers, and reports with a lag.
//!
//! The engine works in steps. A step decodes some tokens of every call whose prompt is prefilled, and prefills one
//! chunk of the prompt of at most one other call. A step lasts for the base time, plus a fixed time for each decoding
//! call after the first, plus the time to prefill the chunk.

mod reports;

use super::answer::{answer_text, answer_tokens};
use super::cache::{Cache, HoldKey};
use foxnotch_core::prefix::{block_hashes, BlockHash, BLOCK_TOKENS};
use foxnotch_core::program::{tokens_of, BYTES_PER_TOKEN};
use foxnotch_wire::{BranchId, CallKey, ProgramId, ROOT_BRANCH};
use reports::Report;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Time for which a finished answer can be read again.
const ANSWER_RETENTION_US: u64 = 60_000_000;
/// Maximum number of waiting calls; the engine refuses further ones.
const MAX_WAITING_CALLS: usize = 512;

/// Speed, size and limits of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineParameters {
    /// Name of the model that the engine serves.
    pub model: String,
    /// Maximum number of calls that run at the same time.
    pub batch_limit: u32,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: u64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk: u64,
    /// Duration of a step with one decoding call, microseconds.
    pub step_base_us: u64,
    /// Time that each further decoding call adds to a step, microseconds.
    pub step_call_us: u64,
    /// Tokens decoded per call and step. Values above 1 only serve to make simulations faster.
    pub tokens_per_step: u32,
    /// Capacity of the prefix cache in blocks.
    pub capacity_blocks: usize,
    /// Time by which the load that a poller receives lags behind the present load, microseconds.
    pub report_lag_us: u64,
}

impl Default for EngineParameters {
    fn default() -> Self {
        Self {
            model: "model".to_owned(),
            batch_limit: 16,
            prefill_rate: 8_000,
            prefill_chunk: 512,
            step_base_us: 15_000,
            step_call_us: 500,
            tokens_per_step: 1,
            capacity_blocks: 4_096,
            report_lag_us: 300_000,
        }
    }
}

/// A dispatch, which is one attempt to run a call, as a node sends it to an engine.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The call to run.
    pub key: CallKey,
    /// Number of the dispatch among all dispatches of the call.
    pub attempt: u32,
    /// Name of the requested model.
    pub model: String,
    /// Name of the requested adapter; empty for none.
    pub adapter: String,
    /// The complete prompt, in bytes.
    pub prompt: Vec<u8>,
    /// Maximum length of the answer in tokens.
    pub maximum_output_tokens: u32,
    /// Calls with a lower number start first.
    pub priority: u32,
    /// Time for which the engine holds the blocks of prompt and answer after the answer, microseconds; 0 for no hold.
    pub hold_us: u64,
    /// Time after which the engine drops the call instead of starting it, microseconds.
    pub start_by_us: u64,
}

/// Identifies a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatchKey {
    /// The call that the dispatch attempts.
    pub key: CallKey,
    /// Number of the dispatch among all dispatches of the call.
    pub attempt: u32,
}

/// Progress of a dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOutput {
    /// The answer has grown to this many bytes.
    Grown(DispatchKey, usize),
    /// The answer is complete.
    Finished(DispatchKey),
    /// The engine dropped the dispatch because its start deadline passed while it waited.
    Expired(DispatchKey),
}

/// A dispatch that the engine started, for the oracle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRecord {
    /// Identifies the dispatch.
    pub dispatch: DispatchKey,
    /// Time of the start, microseconds.
    pub at_us: u64,
    /// The complete prompt with which the engine started the call.
    pub prompt: Vec<u8>,
}

/// Counters of an engine since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineFigures {
    /// Number of dispatches that the engine started.
    pub calls: u64,
    /// Prompt tokens prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens taken from the cache.
    pub cached_tokens: u64,
    /// Token-seconds of holds that ended without their blocks being used again.
    pub unused_hold_token_seconds: u64,
}

/// A waiting or running dispatch.
#[derive(Clone, Debug)]
struct Job {
    submission: Submission,
    prompt_blocks: Vec<BlockHash>,
    prefill_left: u64,
    tokens_total: u32,
    tokens_done: u32,
}

/// A finished answer, stored so that it can be read again.
#[derive(Clone, Debug)]
struct FinishedAnswer {
    text: Vec<u8>,
    finished_us: u64,
}

/// Orders the waiting calls: by priority, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitKey {
    priority: u32,
    arrival: u64,
}

/// The state of an engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    parameters: EngineParameters,
    cache: Cache,
    waiting: BTreeMap<WaitKey, Job>,
    running: Vec<Job>,
    finished_answers: BTreeMap<DispatchKey, FinishedAnswer>,
    arrivals: u64,
    step_ends_us: Option<u64>,
    step_prefill: Option<usize>,
    reports: Vec<Report>,
    leaving: bool,
    starts: Vec<StartRecord>,
    expired: Vec<DispatchKey>,
    computed: HashMap<BlockHash, u32>,
    figures: EngineFigures,
}

impl EngineModel {
    /// Creates an idle engine with an empty cache.
    pub fn new(parameters: EngineParameters) -> Self {
        let cache = Cache::new(parameters.capacity_blocks);
        Self {
            parameters,
            cache,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            finished_answers: BTreeMap::new(),
            arrivals: 0,
            step_ends_us: None,
            step_prefill: None,
            reports: Vec::new(),
            leaving: false,
            starts: Vec::new(),
            expired: Vec::new(),
            computed: HashMap::new(),
            figures: EngineFigures::default(),
        }
    }

    /// Sets whether the engine refuses new calls.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Queues a dispatch. A dispatch that is already waiting or running, or whose answer is stored, does not run again.
    ///
    /// # Errors
    /// The reason for which the engine refuses the call. The engine has not started the call then.
    pub fn submit(&mut self, submission: Submission, now_us: u64) -> Result<(), &'static str> {
        let dispatch = DispatchKey { key: submission.key, attempt: submission.attempt };
        if self.has_dispatch(dispatch) {
            return Ok(());
        }
        if self.leaving {
            return Err("the engine is leaving");
        }
        if submission.model != self.parameters.model {
            return Err("the engine does not serve the model");
        }
        if !submission.adapter.is_empty() {
            return Err("the engine has no adapters");
        }
        if self.waiting.len() >= MAX_WAITING_CALLS {
            return Err("too many calls are waiting");
        }
        let prompt_blocks = block_hashes(&submission.prompt);
        let output_blocks = u64::from(submission.maximum_output_tokens).div_ceil(BLOCK_TOKENS) as usize;
        if prompt_blocks.len() + output_blocks > self.parameters.capacity_blocks {
            return Err("the prompt and the answer do not fit into the prefix cache");
        }
        let cached = self.cache.cached_prefix_blocks(&prompt_blocks) as u64 * BLOCK_TOKENS;
        let prefill_left = tokens_of(submission.prompt.len()).saturating_sub(cached);
        let tokens_total = answer_tokens(submission.key, submission.maximum_output_tokens);
        self.arrivals += 1;
        let wait_key = WaitKey { priority: submission.priority, arrival: self.arrivals };
        let job = Job { submission, prompt_blocks, prefill_left, tokens_total, tokens_done: 0 };
        self.waiting.insert(wait_key, job);
        self.begin_step(now_us);
        Ok(())
    }

    /// Whether a dispatch is waiting or running, or its finished answer is still stored.
    pub fn has_dispatch(&self, dispatch: DispatchKey) -> bool {
        let is = |job: &Job| job.submission.key == dispatch.key && job.submission.attempt == dispatch.attempt;
        self.finished_answers.contains_key(&dispatch) || self.running.iter().any(is) || self.waiting.values().any(is)
    }

    /// The answer of a dispatch so far, and whether it is complete; none when the dispatch is unknown.
    pub fn answer(&self, dispatch: DispatchKey) -> Option<(Vec<u8>, bool)> {
        if let Some(answer) = self.finished_answers.get(&dispatch) {
            return Some((answer.text.clone(), true));
        }
        let is = |job: &&Job| job.submission.key == dispatch.key && job.submission.attempt == dispatch.attempt;
        let job = self.running.iter().find(is).or_else(|| self.waiting.values().find(is))?;
        let mut text = answer_text(dispatch.key, job.submission.maximum_output_tokens);
        text.truncate(job.tokens_done as usize * BYTES_PER_TOKEN);
        Some((text, false))
    }

    /// Stops every dispatch of a call.
    pub fn cancel(&mut self, key: CallKey, now_us: u64) {
        self.waiting.retain(|_, job| job.submission.key != key);
        let (stopped, running): (Vec<Job>, Vec<Job>) =
            self.running.drain(..).partition(|job| job.submission.key == key);
        self.running = running;
        self.step_prefill = None;
        for job in stopped {
            self.cache.release_use(&job.prompt_blocks, now_us);
        }
    }

    /// Ends the hold of a branch; for the root branch, ends the holds of all branches of the program.
    pub fn release_holds(&mut self, program: ProgramId, branch: BranchId, now_us: u64) {
        let is_released = |key: &HoldKey| key.program == program && (branch == ROOT_BRANCH || key.branch == branch);
        let ended: Vec<HoldKey> = self.cache.holds().map(|(key, _)| *key).filter(is_released).collect();
        for key in ended {
            self.cache.end_hold(key, now_us, false);
        }
    }

    /// End of the current step, microseconds; none when the engine is idle.
    pub fn current_step_end_us(&self) -> Option<u64> {
        self.step_ends_us
    }

    /// Runs all steps that end by `now_us` and returns the progress of the dispatches.
    pub fn advance(&mut self, now_us: u64) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        while let Some(end) = self.step_ends_us.filter(|end| *end <= now_us) {
            self.end_step(end, &mut outputs);
            self.step_ends_us = None;
            self.begin_step(end);
        }
        outputs.extend(self.expired.drain(..).map(EngineOutput::Expired));
        self.cache.expire_holds(now_us);
        self.finished_answers.retain(|_, answer| now_us < answer.finished_us + ANSWER_RETENTION_US);
        self.record_report(now_us);
        outputs
    }

    /// Admits waiting calls and starts a step, unless one is in progress or no call runs.
    fn begin_step(&mut self, now_us: u64) {
        if self.step_ends_us.is_some() {
            return;
        }
        self.admit_waiting_calls(now_us);
        if self.running.is_empty() {
            return;
        }
        let decoding = self.running.iter().filter(|job| job.prefill_left == 0).count() as u64;
        self.step_prefill = self.running.iter().position(|job| job.prefill_left > 0);
        let chunk =
            self.step_prefill.map_or(0, |index| self.running[index].prefill_left.min(self.parameters.prefill_chunk));
        let calls_us = decoding.saturating_sub(1) * self.parameters.step_call_us;
        let prefill_us = chunk * 1_000_000 / self.parameters.prefill_rate.max(1);
        let step_us = self.parameters.step_base_us + calls_us + prefill_us;
        self.step_ends_us = Some(now_us + step_us);
    }

    /// Moves waiting calls into the batch while the batch and the cache have room; drops calls whose start deadline has
    /// passed.
    fn admit_waiting_calls(&mut self, now_us: u64) {
        while self.running.len() < self.parameters.batch_limit as usize {
            let Some((wait_key, mut job)) = self.waiting.pop_first() else { return };
            if now_us > job.submission.start_by_us {
                self.expired.push(DispatchKey { key: job.submission.key, attempt: job.submission.attempt });
                continue;
            }
            let overlap = self.cache.cached_prefix_blocks(&job.prompt_blocks);
            if !self.cache.acquire(&job.prompt_blocks, now_us) {
                self.waiting.insert(wait_key, job);
                return;
            }
            let hold = HoldKey { program: job.submission.key.program, branch: job.submission.key.branch };
            self.cache.end_hold(hold, now_us, overlap > 0);
            for block in &job.prompt_blocks[overlap..] {
                *self.computed.entry(*block).or_default() += 1;
            }
            let cached = overlap as u64 * BLOCK_TOKENS;
            job.prefill_left = tokens_of(job.submission.prompt.len()).saturating_sub(cached).max(1);
            self.figures.calls += 1;
            self.figures.prefilled_tokens += job.prefill_left;
            self.figures.cached_tokens += cached;
            self.record_start(&job, now_us);
            self.running.push(job);
        }
    }

    fn record_start(&mut self, job: &Job, at_us: u64) {
        let dispatch = DispatchKey { key: job.submission.key, attempt: job.submission.attempt };
        self.starts.push(StartRecord { dispatch, at_us, prompt: job.submission.prompt.clone() });
    }

    fn end_step(&mut self, now_us: u64, outputs: &mut Vec<EngineOutput>) {
        let prefilled = self.step_prefill.take();
        let chunk = self.parameters.prefill_chunk;
        let tokens_per_step = self.parameters.tokens_per_step;
        for (index, job) in self.running.iter_mut().enumerate() {
            if Some(index) == prefilled {
                job.prefill_left = job.prefill_left.saturating_sub(chunk);
                continue;
            }
            if job.prefill_left > 0 {
                continue;
            }
            let done = (job.tokens_done + tokens_per_step).min(job.tokens_total);
            job.tokens_done = done;
            let dispatch = DispatchKey { key: job.submission.key, attempt: job.submission.attempt };
            outputs.push(EngineOutput::Grown(dispatch, done as usize * BYTES_PER_TOKEN));
        }
        let (finished, running): (Vec<Job>, Vec<Job>) =
            self.running.drain(..).partition(|job| job.prefill_left == 0 && job.tokens_done >= job.tokens_total);
        self.running = running;
        for job in finished {
            outputs.push(self.finish_job(job, now_us));
        }
    }

    fn finish_job(&mut self, job: Job, now_us: u64) -> EngineOutput {
        let Submission { key, attempt, prompt, maximum_output_tokens, hold_us, .. } = job.submission;
        let text = answer_text(key, maximum_output_tokens);
        let mut whole = prompt;
        whole.extend_from_slice(&text);
        let blocks = block_hashes(&whole);
        self.cache.release_use(&job.prompt_blocks, now_us);
        if self.cache.acquire(&blocks, now_us) {
            self.cache.release_use(&blocks, now_us);
            if hold_us > 0 {
                let hold = HoldKey { program: key.program, branch: key.branch };
                self.cache.hold(hold, blocks, now_us, now_us + hold_us);
            }
        }
        let dispatch = DispatchKey { key, attempt };
        self.finished_answers.insert(dispatch, FinishedAnswer { text, finished_us: now_us });
        EngineOutput::Finished(dispatch)
    }

    /// The program of each current hold; a program with several holds occurs several times.
    pub fn held_programs(&mut self, now_us: u64) -> Vec<ProgramId> {
        self.cache.expire_holds(now_us);
        self.cache.holds().map(|(key, _)| key.program).collect()
    }

    /// Returns the dispatches started since the previous call of this function.
    pub fn take_starts(&mut self) -> Vec<StartRecord> {
        std::mem::take(&mut self.starts)
    }

    /// Number of times that this engine has computed each block.
    pub fn block_compute_counts(&self) -> &HashMap<BlockHash, u32> {
        &self.computed
    }

    /// Counters since the start.
    pub fn figures(&self) -> EngineFigures {
        let unused_hold_token_seconds = self.cache.unused_hold_token_seconds();
        EngineFigures { unused_hold_token_seconds, ..self.figures }
    }
}
