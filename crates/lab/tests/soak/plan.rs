//! The plan of a soak: which faults it injects and when, generated from a seed or read from a file.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Number of gateways.
pub(crate) const GATEWAYS: usize = 4;
/// Number of replicas: a set of 2 x 1 + 1 = 3 members for a tolerance of one machine, and one standby.
pub(crate) const REPLICAS: usize = 4;
/// Number of engines of each service.
pub(crate) const ENGINES: usize = 3;
/// Time without faults at the start.
const FAULT_FREE_START_MS: u64 = 3000;
/// Maximum time between the starts of two faults.
const MAX_GAP_MS: u64 = 1100;
/// Minimum time between the end of a fault of a replica and the next fault of any replica, so that the first replica is
/// refilled in between.
const REPLICA_REST_MS: u64 = 9000;
/// Time between two replacements of engines by those of another software version, milliseconds.
const VERSION_CHANGE_GAP_MS: std::ops::RangeInclusive<u64> = 500..=2500;
/// Time for which an engine drains before it is replaced by one of another software version, milliseconds.
const VERSION_CHANGE_DRAIN_MS: std::ops::RangeInclusive<u64> = 100..=1500;
/// Time between two losses of power of all gateways, milliseconds.
const POWER_LOSS_GAP_MS: std::ops::RangeInclusive<u64> = 4500..=7000;
/// Time from the start of the engines' replacement to a loss of power, milliseconds. Most engines have been replaced
/// then.
const POWER_LOSS_DELAY_MS: std::ops::RangeInclusive<u64> = 0..=2000;
/// Time for which all gateways are without power, milliseconds.
const POWER_LOSS_MS: std::ops::RangeInclusive<u64> = 100..=2500;
/// Time between the starts of two faults that send bytes without end, milliseconds.
const ENDLESS_GAP_MS: std::ops::RangeInclusive<u64> = 200..=1200;
/// Maximum duration of a fault.
const MAX_FAULT_MS: u64 = 3500;

/// A gateway or replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Node {
    /// A gateway, by number.
    Gateway(usize),
    /// A replica, by number.
    Replica(usize),
}

/// Fault of a network path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PathFault {
    /// The path closes all connections, and new ones as soon as they are opened.
    Reset,
    /// The path discards all bytes and leaves connections open.
    Silent,
    /// The path forwards requests but discards responses.
    OneWay,
    /// The path delays each chunk of bytes.
    Late,
    /// The path forwards responses a few bytes at a time.
    Trickle,
    /// In place of responses, the path sends heads of informational answers without end.
    EndlessHeads,
    /// In place of responses, the path sends lines of a head without end.
    EndlessHeadLines,
    /// In place of responses, the path sends bytes without end that are no HTTP.
    EndlessGarbage,
    /// In place of responses, the path sends a valid head and a body without end.
    EndlessBody,
    /// After responses, the path sends bytes without end.
    EndlessAfterResponse,
}

impl PathFault {
    /// The faults that send bytes without end.
    pub(crate) const ENDLESS: [Self; 5] = [
        Self::EndlessHeads,
        Self::EndlessHeadLines,
        Self::EndlessGarbage,
        Self::EndlessBody,
        Self::EndlessAfterResponse,
    ];
}

/// One action of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub(crate) enum Fault {
    /// Kills a process with SIGKILL and restarts it after `for_ms`.
    Kill {
        /// The process.
        node: Node,
    },
    /// Suspends a process with SIGSTOP and resumes it with SIGCONT after `for_ms`.
    Pause {
        /// The process.
        node: Node,
    },
    /// Stops a process with SIGTERM and restarts it after it has ended.
    Stop {
        /// The process.
        node: Node,
    },
    /// Kills a replica, deletes its data folder, and restarts it after `for_ms`.
    Wipe {
        /// The replica.
        node: Node,
    },
    /// The path of one node to the store has a fault for `for_ms`.
    StorePath {
        /// The node.
        node: Node,
        /// The fault.
        how: PathFault,
    },
    /// The paths of all nodes to the store have a fault for `for_ms`.
    StoreDown {
        /// The fault.
        how: PathFault,
    },
    /// The store drops its history of changes, so that watches must list again.
    ForgetHistory,
    /// The path to an engine has a fault for `for_ms`.
    EnginePath {
        /// Number of the engine.
        engine: usize,
        /// The fault.
        how: PathFault,
    },
    /// An engine refuses all requests, as not run, for `for_ms`.
    EngineFull {
        /// Number of the engine.
        engine: usize,
    },
    /// The store lists an engine as draining for `for_ms`; then another engine replaces it.
    EngineLeaves {
        /// Number of the engine.
        engine: usize,
    },
    /// The operator writes a configuration with one new route and `more` additional ones.
    Configure {
        /// Number of additional routes.
        more: usize,
    },
}

/// A fault with its time and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Step {
    /// Time from the start of the load, milliseconds.
    pub at_ms: u64,
    /// Duration of the fault, milliseconds; ignored by actions without a duration.
    pub for_ms: u64,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

/// The plan of a soak.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Plan {
    /// Seed from which the plan was generated.
    pub seed: u64,
    /// Duration of the load with faults in seconds; a phase without faults follows.
    pub seconds: u64,
    /// The steps, ordered by time.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Generates a plan from a seed. Faults may overlap, but at most one replica at a time is killed, suspended,
    /// stopped or wiped.
    pub(crate) fn draw(seed: u64, seconds: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at_ms = FAULT_FREE_START_MS;
        let mut replica_free_at = 0;
        while at_ms < seconds * 1000 {
            let for_ms = random.random_range(200..=MAX_FAULT_MS);
            let fault = random_fault(&mut random, at_ms >= replica_free_at);
            if loses_a_replica(&fault) {
                replica_free_at = at_ms + for_ms + REPLICA_REST_MS;
            }
            steps.push(Step { at_ms, for_ms, fault });
            at_ms += random.random_range(0..=MAX_GAP_MS);
        }
        Self { seed, seconds, steps }
    }
}

impl Plan {
    /// Generates a plan as [`Plan::draw`] does, and adds replacements of the engines that run turns by engines of
    /// another software version, one after the other.
    pub(crate) fn draw_with_version_changes(seed: u64, seconds: u64) -> Self {
        let mut plan = Self::draw(seed, seconds);
        let mut random = StdRng::seed_from_u64(!seed);
        let mut at_ms = FAULT_FREE_START_MS;
        while at_ms < seconds * 1000 {
            let engine = random.random_range(0..ENGINES);
            let for_ms = random.random_range(VERSION_CHANGE_DRAIN_MS);
            plan.steps.push(Step { at_ms, for_ms, fault: Fault::EngineLeaves { engine } });
            at_ms += random.random_range(VERSION_CHANGE_GAP_MS);
        }
        plan.steps.sort_by_key(|step| step.at_ms);
        plan
    }
}

impl Plan {
    /// Generates a plan that replaces the engines that run turns by those of another software version, all or all but
    /// one, and kills all gateways at once meanwhile or shortly afterwards, again and again.
    pub(crate) fn draw_power_losses_of_gateways(seed: u64, seconds: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at_ms = FAULT_FREE_START_MS;
        while at_ms < seconds * 1000 {
            for engine in random.random_range(0..2)..ENGINES {
                let for_ms = random.random_range(VERSION_CHANGE_DRAIN_MS);
                steps.push(Step { at_ms, for_ms, fault: Fault::EngineLeaves { engine } });
            }
            let lost_at_ms = at_ms + random.random_range(POWER_LOSS_DELAY_MS);
            let for_ms = random.random_range(POWER_LOSS_MS);
            let kill = |number| Step { at_ms: lost_at_ms, for_ms, fault: Fault::Kill { node: Node::Gateway(number) } };
            steps.extend((0..GATEWAYS).map(kill));
            at_ms += random.random_range(POWER_LOSS_GAP_MS);
        }
        steps.sort_by_key(|step| step.at_ms);
        Self { seed, seconds, steps }
    }
}

impl Plan {
    /// Generates a plan as [`Plan::draw`] does, and adds overlapping faults of paths to engines that send bytes without
    /// end. One engine of each service has none of them.
    pub(crate) fn draw_with_endless_bytes(seed: u64, seconds: u64) -> Self {
        let mut plan = Self::draw(seed, seconds);
        let mut random = StdRng::seed_from_u64(!seed);
        let mut at_ms = FAULT_FREE_START_MS;
        while at_ms < seconds * 1000 {
            let engine = random.random_range(0..2) * ENGINES + random.random_range(1..ENGINES);
            let how = PathFault::ENDLESS[random.random_range(0..PathFault::ENDLESS.len())];
            let for_ms = random.random_range(200..=MAX_FAULT_MS);
            plan.steps.push(Step { at_ms, for_ms, fault: Fault::EnginePath { engine, how } });
            at_ms += random.random_range(ENDLESS_GAP_MS);
        }
        plan.steps.sort_by_key(|step| step.at_ms);
        plan
    }
}

fn loses_a_replica(fault: &Fault) -> bool {
    match fault {
        Fault::Kill { node } | Fault::Pause { node } | Fault::Stop { node } | Fault::Wipe { node } => {
            matches!(node, Node::Replica(_))
        }
        _ => false,
    }
}

fn random_fault(random: &mut StdRng, may_lose_a_replica: bool) -> Fault {
    let gateway = Node::Gateway(random.random_range(0..GATEWAYS));
    let replica = Node::Replica(random.random_range(0..REPLICAS));
    let node = if may_lose_a_replica && random.random_bool(0.5) { replica } else { gateway };
    let any = if random.random_bool(0.7) { gateway } else { replica };
    let engine = random.random_range(0..2 * ENGINES);
    let how = [PathFault::Reset, PathFault::Silent, PathFault::OneWay, PathFault::Late, PathFault::Trickle]
        [random.random_range(0..5)];
    match random.random_range(0..20) {
        0..=2 => Fault::Kill { node },
        3..=4 => Fault::Pause { node },
        5..=7 => Fault::Stop { node },
        8 if may_lose_a_replica => Fault::Wipe { node: replica },
        8..=10 => Fault::StorePath { node: any, how },
        11 => Fault::StoreDown { how },
        12 => Fault::ForgetHistory,
        13..=14 => Fault::EnginePath { engine, how },
        15 => Fault::EngineFull { engine },
        16 => Fault::EngineLeaves { engine },
        17 => Fault::Configure { more: 1400 },
        _ => Fault::Configure { more: 0 },
    }
}
