//! A program's state, computed by applying the entries of its history in order.
//!
//! Invariant: the state depends on the entries alone, so all owners that have read the same history make the same
//! decisions.

use crate::request::RefusalKind;
use foxnotch_wire::{Answered, BranchId, BranchOpened, Dispatched, EngineId, Entry, Opened, Outcome, ROOT_BRANCH};
use std::collections::BTreeMap;

/// Bytes of text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// The number of tokens that `bytes` bytes of text count as, rounded up.
pub fn tokens_of(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

/// One call of a branch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallState {
    /// The number of the call's last attempt, from 0.
    pub attempt: u32,
    /// The engine of the last attempt.
    pub engine: EngineId,
    /// Tokens reserved for the call; 0 once it has ended.
    pub reserved_tokens: u64,
    /// The maximum length of the answer, in tokens.
    pub maximum_output_tokens: u32,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// The time at which the caller stops waiting, in milliseconds since the Unix epoch.
    pub deadline: u64,
    /// The latest time at which the engine may start the call, in milliseconds since the Unix epoch.
    pub start_by: u64,
    /// The text that the call adds to the prompt.
    pub input: Vec<u8>,
    /// How the call ended; none while it is in flight.
    pub end: Option<CallEnd>,
}

/// The end of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallEnd {
    /// How the call ended.
    pub outcome: Outcome,
    /// Tokens charged to the budgets of the branch and its ancestors.
    pub charged_tokens: u64,
    /// The answer; empty unless the outcome is [`Outcome::Done`].
    pub output: Vec<u8>,
}

/// A sequence of dependent calls, made by the program itself (the root branch) or by a sub-agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// The branch that opened this branch; none for the root branch.
    pub parent: Option<BranchId>,
    /// The caller's key with which the branch was opened.
    pub key: String,
    /// Tokens that the branch and its sub-agents may use.
    pub budget_tokens: u64,
    /// Tokens charged to or reserved for the branch and its sub-agents.
    pub used_tokens: u64,
    /// Its calls; the index is the sequence number.
    pub calls: Vec<CallState>,
    /// Whether the branch has ended.
    pub closed: bool,
}

impl Branch {
    /// The sequence number of the next call.
    pub fn next_sequence(&self) -> u32 {
        self.calls.len() as u32
    }

    /// The last call, if it has not ended.
    pub fn running_call(&self) -> Option<&CallState> {
        self.calls.last().filter(|call| call.end.is_none())
    }

    /// The prompt of call `sequence`: input and output of every earlier answered call, then its own input.
    pub fn prompt(&self, sequence: u32) -> Vec<u8> {
        let mut text = Vec::new();
        for call in self.calls.iter().take(sequence as usize) {
            let Some(end) = &call.end else { continue };
            if end.outcome == Outcome::Done {
                text.extend_from_slice(&call.input);
                text.extend_from_slice(&end.output);
            }
        }
        if let Some(call) = self.calls.get(sequence as usize) {
            text.extend_from_slice(&call.input);
        }
        text
    }
}

/// The state of a program that results from its history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProgramState {
    /// The entry that opened the program; none if it is not open yet.
    pub opened: Option<Opened>,
    /// The program's branches, the root branch included.
    pub branches: BTreeMap<BranchId, Branch>,
    /// Number of calls made in all branches.
    pub calls_made: u32,
    /// Whether the program has ended.
    pub closed: bool,
}

impl ProgramState {
    /// Applies the next entry of the history.
    pub fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Opened(opened) => self.apply_opened(opened),
            Entry::BranchOpened(opened) => self.apply_branch_opened(opened),
            Entry::Dispatched(dispatched) => self.apply_dispatched(dispatched),
            Entry::Answered(answered) => self.apply_answered(answered),
            Entry::Closed(closed) => self.apply_closed(closed.branch),
        }
    }

    fn apply_opened(&mut self, opened: &Opened) {
        let root = Branch {
            parent: None,
            key: opened.key.to_string_lossy(),
            budget_tokens: opened.budget_tokens,
            used_tokens: 0,
            calls: Vec::new(),
            closed: false,
        };
        self.branches.insert(ROOT_BRANCH, root);
        self.opened = Some(opened.clone());
    }

    fn apply_branch_opened(&mut self, opened: &BranchOpened) {
        let branch = Branch {
            parent: Some(opened.parent),
            key: opened.key.to_string_lossy(),
            budget_tokens: opened.budget_tokens,
            used_tokens: 0,
            calls: Vec::new(),
            closed: false,
        };
        self.branches.insert(opened.branch, branch);
    }

    fn apply_dispatched(&mut self, dispatched: &Dispatched) {
        let Some(branch) = self.branches.get_mut(&dispatched.branch) else { return };
        if let Some(call) = branch.calls.get_mut(dispatched.sequence as usize) {
            call.attempt = dispatched.attempt;
            call.engine = dispatched.engine;
            call.start_by = dispatched.start_by;
            return;
        }
        branch.calls.push(CallState {
            attempt: dispatched.attempt,
            engine: dispatched.engine,
            reserved_tokens: dispatched.reserved_tokens,
            maximum_output_tokens: dispatched.maximum_output_tokens,
            repeatable: dispatched.repeatable != 0,
            deadline: dispatched.deadline,
            start_by: dispatched.start_by,
            input: dispatched.input.bytes.clone(),
            end: None,
        });
        self.calls_made += 1;
        self.adjust_used_tokens(dispatched.branch, 0, dispatched.reserved_tokens);
    }

    fn apply_answered(&mut self, answered: &Answered) {
        let Some(branch) = self.branches.get_mut(&answered.branch) else { return };
        let Some(call) = branch.calls.get_mut(answered.sequence as usize) else { return };
        let released = std::mem::take(&mut call.reserved_tokens);
        call.end = Some(CallEnd {
            outcome: answered.outcome,
            charged_tokens: answered.charged_tokens,
            output: answered.output.bytes.clone(),
        });
        self.adjust_used_tokens(answered.branch, released, answered.charged_tokens);
    }

    fn apply_closed(&mut self, branch: BranchId) {
        if branch == ROOT_BRANCH {
            self.closed = true;
        }
        if let Some(branch) = self.branches.get_mut(&branch) {
            branch.closed = true;
        }
    }

    /// Adjusts the tokens used by `branch` and by all its ancestors.
    fn adjust_used_tokens(&mut self, branch: BranchId, subtracted: u64, added: u64) {
        let mut next = Some(branch);
        while let Some(identifier) = next {
            let Some(branch) = self.branches.get_mut(&identifier) else { return };
            branch.used_tokens = branch.used_tokens.saturating_sub(subtracted).saturating_add(added);
            next = branch.parent;
        }
    }

    /// Checks that `tokens` further tokens fit into the budgets of `branch` and of all its ancestors.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    pub fn check_budget(&self, branch: BranchId, tokens: u64) -> Result<(), RefusalKind> {
        let mut next = Some(branch);
        while let Some(identifier) = next {
            let branch = self.branches.get(&identifier).ok_or(RefusalKind::UnknownBranch)?;
            if branch.used_tokens.saturating_add(tokens) > branch.budget_tokens {
                return Err(RefusalKind::BudgetExceeded);
            }
            next = branch.parent;
        }
        Ok(())
    }

    /// Checks that `branch` and all its ancestors are open.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    pub fn check_open(&self, branch: BranchId) -> Result<&Branch, RefusalKind> {
        if self.opened.is_none() {
            return Err(RefusalKind::UnknownProgram);
        }
        let found = self.branches.get(&branch).ok_or(RefusalKind::UnknownBranch)?;
        let mut next = Some(branch);
        while let Some(identifier) = next {
            let Some(ancestor) = self.branches.get(&identifier) else { break };
            if ancestor.closed {
                return Err(RefusalKind::Closed);
            }
            next = ancestor.parent;
        }
        Ok(found)
    }

    /// The calls that have not ended, with their branch and sequence number.
    pub fn running_calls(&self) -> impl Iterator<Item = (BranchId, u32, &CallState)> {
        self.branches.iter().filter_map(|(identifier, branch)| {
            branch.running_call().map(|call| (*identifier, branch.next_sequence() - 1, call))
        })
    }

    /// Every engine that may hold memory for the program.
    pub fn engines_used(&self) -> std::collections::BTreeSet<EngineId> {
        self.branches.values().flat_map(|branch| branch.calls.iter().map(|call| call.engine)).collect()
    }
}
