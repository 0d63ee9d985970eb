//! The oracle: it records the calls that callers issued, the replies that they received and the calls that engines
//! started, and checks the invariants on these records. It uses no internal state of foxnotch.

use super::platform::{MACHINE_LIST_LAG_MS, MACHINE_LIST_PERIOD_MS};
use crate::model::answer::{answer_text, answer_tokens};
use crate::model::engine::StartRecord;
use foxnotch_core::program::tokens_of;
use foxnotch_wire::{BranchId, CallKey, EngineId, Outcome, ProgramId, ROOT_BRANCH};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The invariants that the oracle checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// The calls of a program run in order.
    Order,
    /// A history is neither lost nor mixed with another one.
    History,
    /// A budget is never exceeded.
    Budget,
    /// Engines hold no memory for ended programs.
    Holds,
    /// Each caller receives the complete answer to its own call.
    Answer,
    /// A call that was reported as not run did not run.
    NotRun,
    /// A call that is not repeatable runs at most once.
    AtMostOnce,
    /// An engine that is leaving receives no new calls.
    LeavingEngine,
    /// A planned stop interrupts no request.
    PlannedStop,
    /// Every node applies an accepted configuration in time and never returns to an older one.
    Configuration,
    /// Every caller receives a final reply and every program can continue.
    Liveness,
}

/// An invariant that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant that the observation contradicts.
    pub invariant: Invariant,
    /// What the oracle observed.
    pub detail: String,
    /// Virtual time of the observation, milliseconds.
    pub at: u64,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.invariant, self.at, self.detail)
    }
}

/// A call as its caller issued it, with its replies and its starts on engines.
#[derive(Clone, Debug, Default)]
struct IssuedCall {
    input: Vec<u8>,
    maximum_output_tokens: u32,
    repeatable: bool,
    times_sent: u32,
    refused_not_run: u32,
    ended: Option<Outcome>,
    starts: u32,
    deadline: u64,
    running: bool,
}

/// A branch as it was opened.
#[derive(Clone, Copy, Debug)]
struct IssuedBranch {
    parent: Option<BranchId>,
    budget_tokens: u64,
}

/// Identifies a branch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BranchKey {
    program: ProgramId,
    branch: BranchId,
}

/// A call as its caller sends it to a node.
#[derive(Clone, Debug)]
pub struct SentCall {
    /// Program, branch and sequence number of the call.
    pub key: CallKey,
    /// Text that the call appends to the history.
    pub input: Vec<u8>,
    /// Maximum length of the answer in tokens.
    pub maximum_output_tokens: u32,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Virtual time at which the caller stops waiting, milliseconds.
    pub deadline: u64,
}

/// Records of one run, and the violations found in them.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    calls: BTreeMap<CallKey, IssuedCall>,
    branches: BTreeMap<BranchKey, IssuedBranch>,
    /// Highest sequence number that an engine has started, by branch.
    last_started: BTreeMap<BranchKey, u32>,
    /// Time since which the machine list shows an engine as leaving, milliseconds.
    leaving: BTreeMap<EngineId, u64>,
    /// Time at which the caller received the confirmation that its program is closed, milliseconds.
    closed: BTreeMap<ProgramId, u64>,
    violations: Vec<Violation>,
    acknowledged: u64,
}

/// Time after a program's end, and after the last fault, within which engines have to release the program's memory.
pub const HOLD_RELEASE_LIMIT_MS: u64 = 10_000;
/// Time for which an engine may still receive new calls after the machine list shows it as leaving.
pub const LEAVING_LIMIT_MS: u64 = 4_000;

impl Oracle {
    /// Records a violation.
    pub fn record_violation(&mut self, invariant: Invariant, at: u64, detail: impl Into<String>) {
        self.violations.push(Violation { invariant, detail: detail.into(), at });
    }

    /// The violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Number of final call results that callers have received so far.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Records that a caller received the confirmation that a program or sub-agent is open.
    pub fn branch_opened(&mut self, program: ProgramId, branch: BranchId, parent: Option<BranchId>, budget: u64) {
        let key = BranchKey { program, branch };
        self.branches.entry(key).or_insert(IssuedBranch { parent, budget_tokens: budget });
    }

    /// Records that a caller sends a call.
    pub fn call_sent(&mut self, sent: &SentCall) {
        let call = self.calls.entry(sent.key).or_default();
        call.input = sent.input.clone();
        call.maximum_output_tokens = sent.maximum_output_tokens;
        call.repeatable = sent.repeatable;
        call.deadline = sent.deadline;
        call.times_sent += 1;
    }

    /// Records that a caller's request for a call was refused as not run or could not be delivered. If that is true of
    /// all requests for the call so far, no engine may have started the call.
    pub fn refused_not_run(&mut self, key: CallKey, at: u64) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        call.refused_not_run += 1;
        let all_refused = call.times_sent == call.refused_not_run;
        if all_refused && call.starts > 0 {
            self.record_violation(
                Invariant::NotRun,
                at,
                format!("{key} was refused as not run after an engine had started it"),
            );
        }
    }

    /// Checks a part of an answer that a caller received.
    pub fn check_tokens(&mut self, key: CallKey, offset: usize, text: &[u8], at: u64) {
        let Some(call) = self.calls.get(&key) else { return };
        let answer = answer_text(key, call.maximum_output_tokens);
        if answer.get(offset..offset + text.len()) != Some(text) {
            self.record_violation(
                Invariant::Answer,
                at,
                format!("a caller received a part of the answer to {key} that is not in the expected answer"),
            );
        }
    }

    /// Records the final result of a call as its caller received it, and checks it.
    pub fn call_ended(&mut self, key: CallKey, outcome: Outcome, text: &[u8], at: u64) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        self.acknowledged += 1;
        let before = call.ended.replace(outcome);
        let wrong_text = outcome == Outcome::Done && text != answer_text(key, call.maximum_output_tokens);
        let started = call.starts > 0;
        if before.is_some_and(|before| before != outcome) {
            self.record_violation(Invariant::History, at, format!("{key} ended as {before:?} and then as {outcome:?}"));
        }
        if wrong_text {
            self.record_violation(
                Invariant::Answer,
                at,
                format!("the answer to {key} is not the expected one or not complete"),
            );
        }
        if outcome == Outcome::NotRun && started {
            self.record_violation(
                Invariant::NotRun,
                at,
                format!("{key} ended as not run, but an engine had started it"),
            );
        }
        if outcome == Outcome::Done && !started {
            self.record_violation(Invariant::Answer, at, format!("{key} was answered, but no engine had started it"));
        }
    }

    /// Records that a caller received the confirmation that its program is closed.
    pub fn program_closed(&mut self, program: ProgramId, at: u64) {
        self.closed.entry(program).or_insert(at);
    }

    /// Checks that engines hold no memory for programs that ended more than [`HOLD_RELEASE_LIMIT_MS`] ago.
    pub fn check_holds(&mut self, held: &BTreeSet<ProgramId>, disturbed_until: u64, at: u64) {
        let overdue: Vec<ProgramId> = held
            .iter()
            .filter(|program| {
                self.closed.get(program).is_some_and(|closed| at > closed.max(&disturbed_until) + HOLD_RELEASE_LIMIT_MS)
            })
            .copied()
            .collect();
        for program in overdue {
            self.record_violation(
                Invariant::Holds,
                at,
                format!(
                    "an engine still holds memory for {program}, which ended more than {HOLD_RELEASE_LIMIT_MS} ms ago"
                ),
            );
        }
    }

    /// Records since when the machine list shows an engine as leaving; none when it is available again.
    pub fn engine_leaving(&mut self, engine: EngineId, since: Option<u64>) {
        match since {
            Some(at) => self.leaving.insert(engine, at),
            None => self.leaving.remove(&engine),
        };
    }

    /// Records that the machine list shows no changes until a time. For an engine that began to leave so recently that
    /// some nodes may not have read this from the list, [`LEAVING_LIMIT_MS`] counts from `until`.
    pub fn machine_list_stuck(&mut self, now: u64, until: u64) {
        for since in
            self.leaving.values_mut().filter(|since| now <= **since + MACHINE_LIST_LAG_MS + MACHINE_LIST_PERIOD_MS)
        {
            *since = (*since).max(until);
        }
    }

    /// Records that an engine accepted a call.
    pub fn engine_accepted(&mut self, engine: EngineId, key: CallKey, at: u64) {
        let overdue = self.leaving.get(&engine).is_some_and(|since| at > since + LEAVING_LIMIT_MS);
        if overdue {
            self.record_violation(
                Invariant::LeavingEngine,
                at,
                format!(
                    "engine {engine} accepted {key} more than {LEAVING_LIMIT_MS} ms after it was listed as leaving"
                ),
            );
        }
    }

    /// Records that an engine started a call, and checks the invariants that concern starts.
    pub fn engine_started(&mut self, start: &StartRecord) {
        let key = start.dispatch.key;
        let at = start.at_us / 1000;
        self.check_at_most_once(key, at);
        self.check_order(key, at);
        self.check_prompt(start, at);
        self.check_budget(key, at);
    }

    /// Records that a call no longer runs: it finished, was cancelled, or its engine crashed.
    pub fn engine_stopped(&mut self, key: CallKey) {
        if let Some(call) = self.calls.get_mut(&key) {
            call.running = false;
        }
    }

    /// Counts a start of a call. Checks that a call that is not repeatable has no other start, and that at least one
    /// request for the call was not refused as not run.
    fn check_at_most_once(&mut self, key: CallKey, at: u64) {
        let Some(call) = self.calls.get_mut(&key) else {
            self.record_violation(Invariant::History, at, format!("an engine started {key}, which no caller issued"));
            return;
        };
        call.starts += 1;
        call.running = true;
        let (starts, repeatable) = (call.starts, call.repeatable);
        let all_refused = call.times_sent == call.refused_not_run;
        if starts > 1 && !repeatable {
            self.record_violation(
                Invariant::AtMostOnce,
                at,
                format!("{key} is not repeatable but was started {starts} times"),
            );
        }
        if all_refused {
            self.record_violation(
                Invariant::NotRun,
                at,
                format!("{key} was started although nodes had refused every request for it as not run"),
            );
        }
    }

    /// Checks that engines start the calls of a branch in order. Only the first start of a repeatable call counts. When
    /// an engine becomes unreachable, a node repeats the call on another engine. The unreachable engine may still start
    /// the call later, because no cancellation reaches that engine; nobody uses its answer.
    fn check_order(&mut self, key: CallKey, at: u64) {
        let branch = BranchKey { program: key.program, branch: key.branch };
        let last = self.last_started.get(&branch).copied().unwrap_or(0);
        let started_before = self.calls.get(&key).is_some_and(|call| call.starts > 1 && call.repeatable);
        if started_before {
            return;
        }
        if key.sequence < last {
            self.record_violation(Invariant::Order, at, format!("{key} was started after call {last} of its branch"));
        }
        let early = (0..key.sequence).find(|sequence| {
            let earlier = self.calls.get(&CallKey { sequence: *sequence, ..key });
            // An earlier call that no engine has started is no violation: it may have ended without its caller knowing
            // yet. If an engine starts it after this one, the check above finds that start.
            earlier.is_none_or(|call| call.running && call.ended.is_none() && at < call.deadline)
        });
        if let Some(earlier) = early {
            let state = self.calls.get(&CallKey { sequence: earlier, ..key });
            let detail = format!("{key} was started before call {earlier} of its branch had ended: {state:?}");
            self.record_violation(Invariant::Order, at, detail);
        }
        self.last_started.insert(branch, last.max(key.sequence));
    }

    /// Checks that the prompt consists of the branch's finished turns, in order, and the call's own input.
    fn check_prompt(&mut self, start: &StartRecord, at: u64) {
        let key = start.dispatch.key;
        let mut expected = Vec::new();
        for sequence in 0..key.sequence {
            let earlier = CallKey { sequence, ..key };
            let Some(call) = self.calls.get(&earlier) else { continue };
            if call.ended == Some(Outcome::Done) {
                expected.extend_from_slice(&call.input);
                expected.extend_from_slice(&answer_text(earlier, call.maximum_output_tokens));
            } else if call.ended.is_none() {
                // The caller sent this call before it knew how the earlier one ended, so the expected history is
                // unknown.
                return;
            }
        }
        let Some(call) = self.calls.get(&key) else { return };
        expected.extend_from_slice(&call.input);
        if expected != start.prompt {
            let detail = format!(
                "{key} was started with a prompt that differs from its branch's history: {} bytes, expected {} bytes",
                start.prompt.len(),
                expected.len()
            );
            self.record_violation(Invariant::History, at, detail);
        }
    }

    /// Checks the budgets of the call's branch and of all its ancestors. Each started call counts once, whatever the
    /// number of its starts.
    fn check_budget(&mut self, key: CallKey, at: u64) {
        let mut next = Some(key.branch);
        while let Some(branch) = next {
            let Some(issued) = self.branches.get(&BranchKey { program: key.program, branch }).copied() else { return };
            let used = self.used_tokens_in_subtree(key.program, branch);
            if used > issued.budget_tokens {
                let detail = format!(
                    "branch {} of {} used {used} tokens of a budget of {}",
                    branch.0, key.program, issued.budget_tokens
                );
                self.record_violation(Invariant::Budget, at, detail);
            }
            next = issued.parent;
        }
    }

    fn used_tokens_in_subtree(&self, program: ProgramId, branch: BranchId) -> u64 {
        let first = CallKey { program, branch: ROOT_BRANCH, sequence: 0 };
        let last = CallKey { program, branch: BranchId(u32::MAX), sequence: u32::MAX };
        let below = self
            .calls
            .range(first..=last)
            .filter(|(key, call)| call.starts > 0 && self.is_in_subtree(program, key.branch, branch));
        below
            .map(|(key, call)| tokens_of(call.input.len()) + u64::from(answer_tokens(*key, call.maximum_output_tokens)))
            .sum()
    }

    fn is_in_subtree(&self, program: ProgramId, branch: BranchId, above: BranchId) -> bool {
        let mut next = Some(branch);
        while let Some(current) = next {
            if current == above {
                return true;
            }
            next = self.branches.get(&BranchKey { program, branch: current }).and_then(|branch| branch.parent);
        }
        false
    }

    /// Checks the invariants of the end state.
    pub fn check_end_state(&mut self, held: &BTreeSet<ProgramId>, at: u64) {
        for program in held {
            self.record_violation(
                Invariant::Holds,
                at,
                format!("an engine still holds memory for {program}, which has ended"),
            );
        }
        let started_although_not_run: Vec<CallKey> = self
            .calls
            .iter()
            .filter(|(_, call)| call.ended == Some(Outcome::NotRun) && call.starts > 0)
            .map(|(key, _)| *key)
            .collect();
        for key in started_although_not_run {
            self.record_violation(Invariant::NotRun, at, format!("{key} ended as not run, but an engine started it"));
        }
    }

    /// Numbers of calls by state, for reports.
    pub fn call_counts(&self) -> CallCounts {
        CallCounts {
            issued: self.calls.len() as u64,
            started: self.calls.values().filter(|call| call.starts > 0).count() as u64,
            done: self.calls.values().filter(|call| call.ended == Some(Outcome::Done)).count() as u64,
        }
    }
}

/// Numbers of calls by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Issued by callers.
    pub issued: u64,
    /// Started by an engine.
    pub started: u64,
    /// Finished with a complete answer.
    pub done: u64,
}
