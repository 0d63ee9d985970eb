//! Results of a run of the load tool.

use crate::stand_in::engine::EngineCount;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::HashMap;
use std::fmt;

/// Highest latency in the histogram; higher latencies are recorded as this one.
const MAX_LATENCY_MS: u64 = 3_600_000;
/// Significant decimal digits of a latency in the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// 50th percentile (median), milliseconds.
    pub p50: u64,
    /// 95th percentile, milliseconds.
    pub p95: u64,
    /// 99th percentile, milliseconds.
    pub p99: u64,
}

impl Percentiles {
    /// The percentiles of `samples`; all are 0 when there are no samples.
    pub fn from_samples(samples: impl Iterator<Item = u64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS) else {
            return Self::default();
        };
        for sample in samples {
            histogram.saturating_record(sample.max(1));
        }
        if histogram.is_empty() {
            return Self::default();
        }
        Self {
            p50: histogram.value_at_quantile(0.50),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
        }
    }
}

/// Prompt tokens computed repeatedly and cache memory held without use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WastedCache {
    /// Prompt tokens prefilled.
    pub prefilled_tokens: u64,
    /// Part of the prefilled tokens whose blocks some engine had already computed.
    pub prefilled_again_tokens: u64,
    /// Prompt tokens taken from a cache.
    pub cached_tokens: u64,
    /// Token-seconds of holds that ended without their blocks being used again.
    pub unused_hold_token_seconds: u64,
}

impl WastedCache {
    /// Sums up the counters of all engines.
    pub fn from_counts(counts: &[EngineCount]) -> Self {
        let mut computed: HashMap<u64, u64> = HashMap::new();
        let mut wasted = Self::default();
        for count in counts {
            wasted.prefilled_tokens += count.figures.prefilled_tokens;
            wasted.cached_tokens += count.figures.cached_tokens;
            wasted.unused_hold_token_seconds += count.figures.unused_hold_token_seconds;
            for (block, times) in &count.computed {
                *computed.entry(*block).or_default() += u64::from(*times);
            }
        }
        let again: u64 = computed.values().map(|times| times - 1).sum();
        wasted.prefilled_again_tokens = again * foxnotch_core::prefix::BLOCK_TOKENS;
        wasted
    }
}

/// Result of one program.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ProgramResult {
    /// Name of the program's instance.
    pub instance: String,
    /// Time from the start of the run to the program's end, milliseconds.
    pub ended_ms: u64,
    /// Time from the program's opening to its end including pauses, milliseconds.
    pub latency_ms: u64,
    /// Sum of the pauses on its root branch, milliseconds.
    pub paused_ms: u64,
    /// Calls answered in full.
    pub calls_done: u32,
    /// Calls that ended without a known result: they may have run.
    pub calls_undecided: u32,
    /// Calls that ended as not run.
    pub calls_not_run: u32,
    /// Refusals that asked for a retry.
    pub refusals: u32,
    /// Number of times that the caller sent a request again.
    pub resends: u32,
    /// Reason for which the program did not finish; none when it did.
    pub failure: Option<String>,
    /// Violations that the program's callers observed, one line each.
    pub violations: Vec<String>,
}

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the workload.
    pub workload: String,
    /// Load in percent of the workload's rates.
    pub load_percent: u32,
    /// Seed of the run.
    pub seed: u64,
    /// Number of programs opened.
    pub programs: usize,
    /// Programs that finished.
    pub programs_done: usize,
    /// Programs that did not finish.
    pub programs_failed: usize,
    /// Calls answered in full.
    pub calls_done: u32,
    /// Calls that ended without a known result: they may have run.
    pub calls_undecided: u32,
    /// Calls that ended as not run.
    pub calls_not_run: u32,
    /// Refusals that asked for a retry.
    pub refusals: u32,
    /// Number of times that callers sent a request again.
    pub resends: u32,
    /// Latency of finished programs without pauses, milliseconds.
    pub program_latency: Percentiles,
    /// Plain requests answered.
    pub plain_done: u64,
    /// Plain requests not answered.
    pub plain_failed: u64,
    /// Latency of plain requests, milliseconds.
    pub plain_latency: Percentiles,
    /// Repeated computation and unused holds on the engines.
    pub wasted_cache: WastedCache,
    /// Violations found in all programs and on the engines, one line each.
    pub violations: Vec<String>,
    /// Results by program.
    pub results: Vec<ProgramResult>,
}

impl Report {
    /// Sums up the programs' results.
    pub fn from_results(workload: &str, load_percent: u32, seed: u64, results: Vec<ProgramResult>) -> Self {
        let finished = || results.iter().filter(|result| result.failure.is_none());
        let latency =
            Percentiles::from_samples(finished().map(|result| result.latency_ms.saturating_sub(result.paused_ms)));
        let done = finished().count();
        Self {
            workload: workload.to_owned(),
            load_percent,
            seed,
            programs: results.len(),
            programs_done: done,
            programs_failed: results.len() - done,
            calls_done: results.iter().map(|result| result.calls_done).sum(),
            calls_undecided: results.iter().map(|result| result.calls_undecided).sum(),
            calls_not_run: results.iter().map(|result| result.calls_not_run).sum(),
            refusals: results.iter().map(|result| result.refusals).sum(),
            resends: results.iter().map(|result| result.resends).sum(),
            program_latency: latency,
            violations: results.iter().flat_map(|result| result.violations.clone()).collect(),
            results,
            ..Self::default()
        }
    }

    /// Whether every program finished without a violation.
    pub fn is_clean(&self) -> bool {
        self.programs_failed == 0 && self.violations.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let latency = &self.program_latency;
        let plain = &self.plain_latency;
        let wasted = &self.wasted_cache;
        writeln!(f, "workload {}, load {} %, seed {}", self.workload, self.load_percent, self.seed)?;
        writeln!(
            f,
            "  programs        opened {:>6}  done {:>6}  failed {:>6}",
            self.programs, self.programs_done, self.programs_failed
        )?;
        writeln!(
            f,
            "  calls           done   {:>6}  may have run {:>4}  not run {:>4}  refusals retried {:>4}  sent again {:>4}",
            self.calls_done, self.calls_undecided, self.calls_not_run, self.refusals, self.resends
        )?;
        writeln!(
            f,
            "  program latency p50 {:>6} ms  p95 {:>6} ms  p99 {:>6} ms (pauses left out)",
            latency.p50, latency.p95, latency.p99
        )?;
        writeln!(
            f,
            "  plain requests  done   {:>6}  failed {:>4}  p50 {} ms  p95 {} ms  p99 {} ms",
            self.plain_done, self.plain_failed, plain.p50, plain.p95, plain.p99
        )?;
        writeln!(
            f,
            "  prompt tokens   computed {:>8}  of these again {:>8}  from cache {:>8}",
            wasted.prefilled_tokens, wasted.prefilled_again_tokens, wasted.cached_tokens
        )?;
        writeln!(f, "  memory held and not used again: {} token-seconds", wasted.unused_hold_token_seconds)?;
        writeln!(f, "  violations      {}", self.violations.len())?;
        for violation in &self.violations {
            writeln!(f, "    {violation}")?;
        }
        let failures = self.results.iter().filter_map(|result| result.failure.as_ref());
        for failure in failures {
            writeln!(f, "    failed: {failure}")?;
        }
        Ok(())
    }
}
