//! The workloads of the two deployments in `examples/`, and the plan of a run generated from a seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::ops::RangeInclusive;

/// One kind of program.
#[derive(Clone, Debug)]
pub struct ProgramProfile {
    /// Name of the programs' instance.
    pub instance: &'static str,
    /// Name of the tenant.
    pub tenant: &'static str,
    /// Length in tokens of the prompt prefix that all programs of this kind share.
    pub prefix_tokens: usize,
    /// Number of calls on the root branch.
    pub turns: RangeInclusive<u32>,
    /// Tokens that a call appends to the history.
    pub input_tokens: RangeInclusive<usize>,
    /// Maximum length of an answer in tokens.
    pub output_tokens: RangeInclusive<u32>,
    /// Pause between two calls for a tool or the user, milliseconds.
    pub pause_ms: RangeInclusive<u64>,
    /// Percentage of programs that open a sub-agent.
    pub sub_agent_percent: u32,
    /// Percentage of calls that must run at most once.
    pub once_percent: u32,
    /// Programs opened in ten seconds at a load of 100 percent.
    pub programs_per_10s: u32,
    /// Milliseconds that a caller waits for one call.
    pub timeout_ms: u64,
}

/// Requests to one plain service.
#[derive(Clone, Debug)]
pub struct PlainProfile {
    /// Name of the service's instance.
    pub instance: &'static str,
    /// Name of the tenant.
    pub tenant: &'static str,
    /// Requests per second at a load of 100 percent.
    pub per_second: u32,
}

/// The load on one deployment.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name of the workload.
    pub name: &'static str,
    /// Kinds of programs.
    pub programs: Vec<ProgramProfile>,
    /// Kinds of plain requests.
    pub plain: Vec<PlainProfile>,
}

/// The workload of the dairy cooperative: collection rounds, weight checks and plain look-ups.
pub fn dairy() -> Workload {
    let rounds = ProgramProfile {
        instance: "rounds",
        tenant: "dairy",
        prefix_tokens: 800,
        turns: 4..=8,
        input_tokens: 60..=200,
        output_tokens: 30..=100,
        pause_ms: 200..=1200,
        sub_agent_percent: 10,
        once_percent: 30,
        programs_per_10s: 20,
        timeout_ms: 20_000,
    };
    let weights = ProgramProfile {
        instance: "weights",
        prefix_tokens: 300,
        turns: 8..=14,
        input_tokens: 20..=60,
        output_tokens: 12..=40,
        pause_ms: 100..=500,
        sub_agent_percent: 0,
        once_percent: 20,
        programs_per_10s: 20,
        ..rounds.clone()
    };
    let lookups = PlainProfile { instance: "farm-lookup", tenant: "dairy", per_second: 40 };
    Workload { name: "dairy", programs: vec![rounds, weights], plain: vec![lookups] }
}

/// The workload of an archive that several museums share: long sessions of curators on the provenance of objects, with
/// large shared prefixes, and the plain requests of the archive's web portal.
pub fn archive() -> Workload {
    let curators = ProgramProfile {
        instance: "curators",
        tenant: "archive",
        prefix_tokens: 6_000,
        turns: 5..=10,
        input_tokens: 150..=500,
        output_tokens: 60..=160,
        pause_ms: 400..=2_000,
        sub_agent_percent: 30,
        once_percent: 30,
        programs_per_10s: 12,
        timeout_ms: 30_000,
    };
    let portal = PlainProfile { instance: "portal", tenant: "archive", per_second: 40 };
    Workload { name: "archive", programs: vec![curators], plain: vec![portal] }
}

/// Returns the workload with this name; none if there is no such workload.
pub fn by_name(name: &str) -> Option<Workload> {
    match name {
        "dairy" => Some(dairy()),
        "archive" => Some(archive()),
        _ => None,
    }
}

/// One call of a planned program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// Text that the call appends to the history.
    pub input: String,
    /// Maximum length of the answer in tokens.
    pub maximum_output_tokens: u32,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Pause before the call, milliseconds; ignored for the first call of a branch.
    pub pause_ms: u64,
}

/// One planned program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedProgram {
    /// Name of the program's instance.
    pub instance: &'static str,
    /// Name of the tenant.
    pub tenant: &'static str,
    /// Key with which the caller opens the program.
    pub key: String,
    /// Time from the start of the run to the opening of the program, milliseconds.
    pub starts_ms: u64,
    /// Calls of the root branch.
    pub calls: Vec<PlannedCall>,
    /// Calls of the sub-agent; empty for none. The sub-agent runs in parallel to the root branch.
    pub sub_agent_calls: Vec<PlannedCall>,
    /// Milliseconds that a caller waits for one call.
    pub timeout_ms: u64,
}

/// Generates a random text of `tokens` tokens.
pub fn random_text(tokens: usize, random: &mut StdRng) -> String {
    const LETTERS: &[u8] = b"etaoinshrdlu ";
    let letters = tokens * foxnotch_core::program::BYTES_PER_TOKEN;
    (0..letters).map(|_| LETTERS[random.random_range(0..LETTERS.len())] as char).collect()
}

fn planned_call(profile: &ProgramProfile, prefix: &str, random: &mut StdRng) -> PlannedCall {
    let tokens = random.random_range(profile.input_tokens.clone());
    PlannedCall {
        input: format!("{prefix}{}", random_text(tokens, random)),
        maximum_output_tokens: random.random_range(profile.output_tokens.clone()),
        repeatable: random.random_range(0..100) >= profile.once_percent,
        pause_ms: random.random_range(profile.pause_ms.clone()),
    }
}

/// Generates all programs of a run. The result depends only on the arguments.
pub fn plan(workload: &Workload, load_percent: u32, seconds: u64, seed: u64) -> Vec<PlannedProgram> {
    let mut programs = Vec::new();
    for profile in &workload.programs {
        let mut prefix_random = StdRng::seed_from_u64(profile.prefix_tokens as u64);
        let prefix = random_text(profile.prefix_tokens, &mut prefix_random);
        let mut random = StdRng::seed_from_u64(seed ^ u64::from(profile.programs_per_10s) << 32 ^ prefix.len() as u64);
        let mean_gap_ms = 1_000_000.0 / f64::from(profile.programs_per_10s * load_percent);
        let mut at_ms = 0.0;
        loop {
            at_ms -= mean_gap_ms * random.random_range(f64::MIN_POSITIVE..1.0).ln();
            if at_ms >= seconds as f64 * 1000.0 {
                break;
            }
            programs.push(planned_program(profile, &prefix, at_ms as u64, programs.len(), seed, &mut random));
        }
    }
    programs.sort_by_key(|program| program.starts_ms);
    programs
}

fn planned_program(
    profile: &ProgramProfile,
    prefix: &str,
    starts_ms: u64,
    number: usize,
    seed: u64,
    random: &mut StdRng,
) -> PlannedProgram {
    let turns = random.random_range(profile.turns.clone());
    let calls = (0..turns).map(|turn| planned_call(profile, if turn == 0 { prefix } else { "" }, random)).collect();
    let has_sub_agent = random.random_range(0..100) < profile.sub_agent_percent;
    let sub_agent_turns = if has_sub_agent { random.random_range(1..=3) } else { 0 };
    let sub_agent_calls =
        (0..sub_agent_turns).map(|turn| planned_call(profile, if turn == 0 { prefix } else { "" }, random)).collect();
    PlannedProgram {
        instance: profile.instance,
        tenant: profile.tenant,
        key: format!("{}-{seed}-{number}", profile.instance),
        starts_ms,
        calls,
        sub_agent_calls,
        timeout_ms: profile.timeout_ms,
    }
}
