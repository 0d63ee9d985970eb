//! The actions that drive a simulated world, and their generation from a seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of nodes of a simulated world. Nodes 1 to 3 store histories, each in its own zone.
pub const NODES: u32 = 5;
/// Number of nodes that store histories.
pub const REPLICAS: u32 = 3;
/// Number of zones of a simulated world.
pub const ZONES: u8 = 3;
/// Number of engines of a simulated world.
pub const ENGINES: u32 = 4;

/// One step of a schedule: elapsed time, a request, or a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Advances virtual time by this many milliseconds.
    Advance(u64),
    /// A caller opens a program; the number is the seed of the caller's script.
    Open(u32),
    /// A node crashes and restarts after `down_ms` with its disk.
    Kill {
        /// Number of the node that crashes.
        node: u32,
        /// Milliseconds until it restarts.
        down_ms: u64,
    },
    /// A node crashes and restarts with an empty disk.
    LoseDisk {
        /// Number of the node that loses its disk.
        node: u32,
        /// Milliseconds until it restarts.
        down_ms: u64,
    },
    /// A node's process is suspended and resumes.
    Freeze {
        /// Number of the suspended node.
        node: u32,
        /// Milliseconds until it resumes.
        frozen_ms: u64,
    },
    /// A node drains, stops and restarts.
    Drain {
        /// Number of the node that drains.
        node: u32,
    },
    /// The network drops every message from one zone to another.
    CutOneWay {
        /// Zone that sends the dropped messages.
        from: u8,
        /// Zone to which the dropped messages are sent.
        to: u8,
        /// Milliseconds until the cut ends.
        cut_ms: u64,
    },
    /// The network drops every message between one zone and all others.
    CutZone {
        /// Zone that is cut off.
        zone: u8,
        /// Milliseconds until the cut ends.
        cut_ms: u64,
    },
    /// The network loses, duplicates and delays messages between nodes.
    Disturb {
        /// Percentage of messages lost.
        lost_percent: u8,
        /// Percentage of messages delivered twice.
        doubled_percent: u8,
        /// Maximum extra delay of a message, milliseconds.
        late_ms: u64,
        /// Milliseconds until the disturbance ends.
        for_ms: u64,
    },
    /// The object API refuses reads and writes for this many milliseconds.
    StoreDown(u64),
    /// The object API answers late for this many milliseconds.
    StoreSlow(u64),
    /// The responses to this many next writes are lost after the writes took effect.
    StoreLosesAnswers(u8),
    /// An operator writes a new parameter value, derived from the number.
    Operator(u32),
    /// Two operators write the same object concurrently.
    OperatorRace(u32),
    /// An engine crashes and restarts with an empty cache.
    EngineDies {
        /// Number of the engine that crashes.
        engine: u32,
        /// Milliseconds until it restarts.
        down_ms: u64,
    },
    /// The machine list shows an engine as leaving, and later as available.
    EngineLeaves {
        /// Number of the engine that is shown as leaving.
        engine: u32,
        /// Milliseconds until the list shows it as available.
        away_ms: u64,
    },
    /// A node's disk is full.
    DiskFull {
        /// Number of the node with the full disk.
        node: u32,
        /// Milliseconds until it has free space.
        full_ms: u64,
    },
    /// The machine list publishes no changes for this many milliseconds.
    MachineListLags(u64),
}

impl Action {
    /// The name under which reports count the fault; none when the action is not a fault.
    pub fn fault(&self) -> Option<&'static str> {
        match self {
            Self::Advance(_) | Self::Open(_) | Self::Operator(_) => None,
            Self::Kill { .. } => Some("node killed"),
            Self::LoseDisk { .. } => Some("disk lost"),
            Self::Freeze { .. } => Some("node frozen"),
            Self::Drain { .. } => Some("planned stop"),
            Self::CutOneWay { .. } => Some("one-way cut"),
            Self::CutZone { .. } => Some("zone cut"),
            Self::Disturb { .. } => Some("messages disturbed"),
            Self::StoreDown(_) => Some("store down"),
            Self::StoreSlow(_) => Some("store slow"),
            Self::StoreLosesAnswers(_) => Some("store answer lost"),
            Self::OperatorRace(_) => Some("operators race"),
            Self::EngineDies { .. } => Some("engine dies"),
            Self::EngineLeaves { .. } => Some("engine leaves"),
            Self::DiskFull { .. } => Some("disk full"),
            Self::MachineListLags(_) => Some("machine list lags"),
        }
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Generates the actions of a run from a seed: `steps` actions or one more. Each random draw is, about equally often,
/// an opened program, elapsed time, or one or two faults or operators' writes without elapsed time between them.
pub fn generate(seed: u64, steps: usize) -> Vec<Action> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut actions = vec![Action::Open(random.random())];
    while actions.len() < steps {
        match random.random_range(0..100) {
            0..30 => actions.push(Action::Open(random.random())),
            30..62 => actions.push(Action::Advance(random.random_range(50..2500))),
            _ => {
                actions.push(random_fault(&mut random));
                if random.random_range(0..3) == 0 {
                    actions.push(random_fault(&mut random));
                }
            }
        }
    }
    actions
}

fn random_fault(random: &mut StdRng) -> Action {
    let node = random.random_range(1..=NODES);
    let replica = random.random_range(1..=REPLICAS);
    let engine = random.random_range(1..=ENGINES);
    let zone = random.random_range(1..=ZONES);
    let other = zone % ZONES + 1;
    match random.random_range(0..100) {
        0..20 => Action::Kill { node, down_ms: random.random_range(100..6000) },
        20..25 => Action::LoseDisk { node: replica, down_ms: random.random_range(100..4000) },
        25..35 => Action::Freeze { node, frozen_ms: random.random_range(100..9000) },
        35..42 => Action::Drain { node },
        42..50 => Action::CutOneWay { from: zone, to: other, cut_ms: random.random_range(100..6000) },
        50..58 => Action::CutZone { zone, cut_ms: random.random_range(100..6000) },
        58..66 => Action::Disturb {
            lost_percent: random.random_range(0..30),
            doubled_percent: random.random_range(0..30),
            late_ms: random.random_range(1..400),
            for_ms: random.random_range(500..6000),
        },
        66..70 => Action::StoreDown(random.random_range(500..8000)),
        70..72 => Action::StoreSlow(random.random_range(500..8000)),
        72..75 => Action::StoreLosesAnswers(random.random_range(1..3)),
        75..80 => Action::Operator(random.random()),
        80..83 => Action::OperatorRace(random.random()),
        83..89 => Action::EngineDies { engine, down_ms: random.random_range(200..5000) },
        89..95 => Action::EngineLeaves { engine, away_ms: random.random_range(3000..12_000) },
        95..97 => Action::DiskFull { node: replica, full_ms: random.random_range(200..4000) },
        _ => Action::MachineListLags(random.random_range(500..4000)),
    }
}
