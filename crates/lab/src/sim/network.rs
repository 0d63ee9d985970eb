//! The simulated network between zones: delays, losses, duplicates, and cuts of one or both directions.

use rand::rngs::StdRng;
use rand::Rng;
use std::collections::BTreeMap;

/// The shortest delay of a message.
const MIN_DELAY_MS: u64 = 1;
/// The longest delay of a message while the network is not disturbed.
const MAX_DELAY_MS: u64 = 3;

/// A pair of sending and receiving zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Direction {
    from: u8,
    to: u8,
}

/// Losses, duplicates and extra delays of messages, until a time.
#[derive(Clone, Copy, Debug, Default)]
struct Disturbance {
    lost_percent: u8,
    doubled_percent: u8,
    late_ms: u64,
    until: u64,
}

/// The network: cuts by direction, and at most one disturbance.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// End of the cut of each direction, milliseconds.
    cuts: BTreeMap<Direction, u64>,
    disturbance: Disturbance,
}

impl Network {
    /// Drops all messages from one zone to another until a time.
    pub fn cut(&mut self, from: u8, to: u8, until: u64) {
        let cut = self.cuts.entry(Direction { from, to }).or_default();
        *cut = (*cut).max(until);
    }

    /// Loses, duplicates and delays messages between nodes until a time.
    pub fn disturb(&mut self, lost_percent: u8, doubled_percent: u8, late_ms: u64, until: u64) {
        self.disturbance = Disturbance { lost_percent, doubled_percent, late_ms, until };
    }

    /// Ends all cuts and disturbances.
    pub fn heal(&mut self) {
        *self = Self::default();
    }

    /// Whether the network drops all messages from one zone to another now.
    pub fn is_cut(&self, from: u8, to: u8, now: u64) -> bool {
        from != to && self.cuts.get(&Direction { from, to }).is_some_and(|until| now < *until)
    }

    /// Draws the delay of each delivered copy of a message between nodes, milliseconds. A lost message has no delivered
    /// copy, a duplicated one has two.
    pub fn draw_delivery_delays(&self, from: u8, to: u8, now: u64, random: &mut StdRng) -> Vec<u64> {
        if self.is_cut(from, to, now) {
            return Vec::new();
        }
        let delay = random.random_range(MIN_DELAY_MS..=MAX_DELAY_MS);
        if now >= self.disturbance.until {
            return vec![delay];
        }
        let Disturbance { lost_percent, doubled_percent, late_ms, .. } = self.disturbance;
        let mut late = || delay + random.random_range(0..=late_ms);
        let first = late();
        let second = late();
        let lost = random.random_range(0..100) < lost_percent;
        let doubled = random.random_range(0..100) < doubled_percent;
        match (lost, doubled) {
            (true, _) => Vec::new(),
            (false, true) => vec![first, second],
            (false, false) => vec![first],
        }
    }

    /// Draws a delay for traffic other than messages between nodes, milliseconds; disturbances do not change it.
    pub fn draw_delay(random: &mut StdRng) -> u64 {
        random.random_range(MIN_DELAY_MS..=MAX_DELAY_MS)
    }
}
