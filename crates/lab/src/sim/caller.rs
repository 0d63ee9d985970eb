//! Simulated callers: each runs one program by a script generated from its seed. Most behave correctly; some send
//! duplicates, send calls too early, exhaust their budget or disappear.

use foxnotch_core::ownership::program_id;
use foxnotch_core::request::{CallRequest, Refusal, RequestBody};
use foxnotch_membership::Millis;
use foxnotch_wire::{BranchId, CallKey, ProgramId, ROOT_BRANCH};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Name of the instance of ordinary programs.
pub const INSTANCE: &str = "agents";
/// Name of the instance of programs that exhaust their budget.
pub const SMALL_INSTANCE: &str = "small";
/// Name of the only tenant.
pub const TENANT: &str = "tenant";
/// Budget of an ordinary program in tokens.
pub const BUDGET_TOKENS: u64 = 20_000;
/// Budget of a program of [`SMALL_INSTANCE`] in tokens.
pub const SMALL_BUDGET_TOKENS: u64 = 900;
/// Budget of a sub-agent in tokens.
pub const SUB_AGENT_BUDGET_TOKENS: u64 = 700;

/// The way in which a caller uses the API wrongly, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Uses the API correctly.
    Correct,
    /// Sends some calls to two nodes at once.
    SendsDuplicates,
    /// Sends some calls before the previous one has ended.
    SendsEarly,
    /// Issues calls until its budget is exhausted.
    ExhaustsBudget,
    /// Stops sending before its program is closed.
    Disappears,
}

/// One call of a script.
#[derive(Clone, Debug)]
pub struct ScriptedCall {
    /// Text that the call appends to the history.
    pub input: Vec<u8>,
    /// Maximum length of the answer in tokens.
    pub maximum_output_tokens: u32,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Time from sending to the call's deadline, milliseconds.
    pub timeout_ms: u64,
    /// Pause before the call, as if a tool ran, milliseconds.
    pub pause_ms: u64,
}

/// Progress of a branch's script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScriptState {
    /// The branch has to be opened.
    Opening,
    /// The caller issues the calls.
    Running,
    /// All calls have ended, or the budget or call limit allows no more.
    Done,
}

/// The calls of one branch and their progress.
#[derive(Clone, Debug)]
pub struct BranchScript {
    /// The branch that the calls belong to; none until the branch is open.
    pub branch: Option<BranchId>,
    /// Progress of the script.
    pub state: ScriptState,
    /// Sequence number of the current call.
    pub sequence: u32,
    /// All calls of the branch.
    pub calls: Vec<ScriptedCall>,
    /// Number of times that the current request was sent.
    pub times_sent: u32,
    /// Whether a node may have accepted the current call already; the caller then marks it as resent.
    pub undecided: bool,
    /// Deadline of the current call.
    pub deadline: u64,
    /// Number of sessions that have the current request in flight.
    pub waiting: u32,
    /// Number of the current request; replies to earlier requests are ignored.
    pub request: u64,
}

/// Progress of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerState {
    /// The program has to be opened.
    Opening,
    /// The scripts of the program's branches run.
    Running,
    /// The program has to be closed.
    Closing,
    /// The program is closed.
    Done,
    /// The caller has disappeared: it sends nothing any more.
    Gone,
}

/// A caller and its program.
#[derive(Clone, Debug)]
pub struct SimCaller {
    /// Index of the caller in the world.
    pub id: u32,
    /// The way in which the caller uses the API wrongly.
    pub behaviour: Behaviour,
    /// Progress of the caller.
    pub state: CallerState,
    /// The program that the caller opens and runs.
    pub program: ProgramId,
    /// Name of the program's instance.
    pub instance: &'static str,
    /// Key with which the caller opens the program.
    pub key: String,
    /// Scripts of the program's root branch and then of its sub-agents.
    pub scripts: Vec<BranchScript>,
    /// Number of the node to which the caller sends its requests.
    pub node: u32,
    /// Number of times that the current open or close request was sent.
    pub times_sent: u32,
    /// Number of the current open or close request; replies to earlier requests are ignored.
    pub request: u64,
    /// Sequence number of the root branch's call after whose end the caller disappears, if that is its behaviour.
    pub last_call_before_leaving: u32,
    /// The last refusal that the caller received, for the report of a stuck caller.
    pub last_refusal: Option<Refusal>,
}

fn script(calls: Vec<ScriptedCall>, state: ScriptState, branch: Option<BranchId>) -> BranchScript {
    BranchScript {
        branch,
        state,
        sequence: 0,
        calls,
        times_sent: 0,
        undecided: false,
        deadline: 0,
        waiting: 0,
        request: 0,
    }
}

fn scripted_call(random: &mut StdRng) -> ScriptedCall {
    let length = random.random_range(8..400);
    let slow = random.random_range(0..12) == 0;
    ScriptedCall {
        input: (0..length).map(|_| random.random_range(b'a'..=b'z')).collect(),
        maximum_output_tokens: random.random_range(8..160),
        repeatable: random.random_range(0..100) < 55,
        timeout_ms: if slow { random.random_range(100..900) } else { random.random_range(4000..12_000) },
        pause_ms: if random.random_range(0..8) == 0 { 3000 } else { random.random_range(5..500) },
    }
}

impl SimCaller {
    /// Generates a caller from a seed.
    pub fn new(id: u32, seed: u32, nodes: u32) -> Self {
        let mut random = StdRng::seed_from_u64(u64::from(seed) << 32 | u64::from(id));
        let behaviour = match random.random_range(0..100) {
            0..12 => Behaviour::SendsDuplicates,
            12..24 => Behaviour::SendsEarly,
            24..34 => Behaviour::ExhaustsBudget,
            34..42 => Behaviour::Disappears,
            _ => Behaviour::Correct,
        };
        let instance = if behaviour == Behaviour::ExhaustsBudget { SMALL_INSTANCE } else { INSTANCE };
        let count = if behaviour == Behaviour::ExhaustsBudget { 40 } else { random.random_range(2..7) };
        let calls = (0..count).map(|_| scripted_call(&mut random)).collect();
        let mut scripts = vec![script(calls, ScriptState::Running, Some(ROOT_BRANCH))];
        for _ in 0..random.random_range(0..3) {
            let calls = (0..random.random_range(1..8)).map(|_| scripted_call(&mut random)).collect();
            scripts.push(script(calls, ScriptState::Opening, None));
        }
        let key = format!("key-{id}");
        Self {
            id,
            behaviour,
            state: CallerState::Opening,
            program: program_id(TENANT, instance, &key),
            instance,
            key,
            scripts,
            node: random.random_range(0..nodes) + 1,
            times_sent: 0,
            request: 0,
            last_call_before_leaving: random.random_range(0..3),
            last_refusal: None,
        }
    }

    /// Budget of the program in tokens.
    pub fn budget(&self) -> u64 {
        if self.instance == SMALL_INSTANCE {
            SMALL_BUDGET_TOKENS
        } else {
            BUDGET_TOKENS
        }
    }

    /// The request that opens the program.
    pub fn open_request(&self) -> RequestBody {
        RequestBody::Open { instance: self.instance.to_owned(), key: self.key.clone() }
    }

    /// The request that closes the program.
    pub fn close_request(&self) -> RequestBody {
        RequestBody::Close { program: self.program, branch: ROOT_BRANCH }
    }

    /// The request that opens a sub-agent.
    pub fn branch_request(&self, script: usize) -> RequestBody {
        RequestBody::OpenBranch {
            program: self.program,
            parent: ROOT_BRANCH,
            key: format!("sub-agent-{script}"),
            budget_tokens: SUB_AGENT_BUDGET_TOKENS,
        }
    }

    /// The request for the call at `sequence` of a script; none after the script's last call.
    pub fn call_request(&self, script: usize, sequence: u32, now: u64, resend: bool) -> Option<CallRequest> {
        let script = &self.scripts[script];
        let call = script.calls.get(sequence as usize)?;
        Some(CallRequest {
            key: CallKey { program: self.program, branch: script.branch?, sequence },
            resend,
            input: call.input.clone(),
            maximum_output_tokens: call.maximum_output_tokens,
            repeatable: call.repeatable,
            deadline: Millis(now + call.timeout_ms),
        })
    }

    /// Whether all scripts have ended.
    pub fn all_scripts_done(&self) -> bool {
        self.scripts.iter().all(|script| script.state == ScriptState::Done)
    }
}
