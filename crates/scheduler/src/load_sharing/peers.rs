//! Groups gateways and engines, so that the load of an engine is known best where it is used most.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The most gateways of a fleet, or of one of its zones, that form one group. A gateway has a recent report of a third of a
/// group of this size at any time.
pub const MAX_GROUP_GATEWAYS: usize = 56;

/// A gateway, by what determines its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayPlace {
    /// Identifies the gateway.
    pub node: u32,
    /// The number of its zone.
    pub zone: u8,
}

/// The other gateways, as seen by one gateway, and the engines of its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// The gateways of the own group, ordered by node.
    pub group: Vec<u32>,
    /// The gateways of other groups, ordered by node.
    pub others: Vec<u32>,
    /// The parts of the own zone, if it is not the whole fleet that forms one group.
    parts: Option<ZoneParts>,
}

impl Default for Peers {
    fn default() -> Self {
        Self::of(GatewayPlace { node: 0, zone: 0 }, &[])
    }
}

impl Peers {
    /// Splits the other gateways by their group. A small fleet is one group. A larger one has a group for each zone, or
    /// several for a large zone.
    pub fn of(own: GatewayPlace, gateways: &[GatewayPlace]) -> Self {
        let others = || gateways.iter().filter(|gateway| gateway.node != own.node);
        let is_one_group = others().count() < MAX_GROUP_GATEWAYS;
        let in_zone = 1 + others().filter(|gateway| gateway.zone == own.zone).count();
        let parts = (!is_one_group).then(|| ZoneParts::new(in_zone, own.node));
        let is_in_group = |gateway: &GatewayPlace| {
            parts.is_none_or(|parts| gateway.zone == own.zone && parts.is_in_own_part(gateway.node))
        };
        let split: BTreeMap<u32, bool> = others().map(|gateway| (gateway.node, is_in_group(gateway))).collect();
        let (group, others): (Vec<_>, Vec<_>) = split.into_iter().partition(|(_, is_in_group)| *is_in_group);
        let nodes = |gateways: Vec<(u32, bool)>| gateways.into_iter().map(|(node, _)| node).collect();
        Self { group: nodes(group), others: nodes(others), parts }
    }

    /// Whether an engine belongs to the own group. `is_same_zone` tells whether it is in this gateway's zone.
    pub fn has_engine(&self, engine: u32, is_same_zone: bool) -> bool {
        self.parts.is_none_or(|parts| is_same_zone && parts.is_in_own_part(engine))
    }
}

/// How a zone is split into groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ZoneParts {
    count: u64,
    own: u64,
}

impl ZoneParts {
    /// Splits a zone with this many gateways. A power of two, because doubling it splits each part and moves nothing
    /// between the others.
    fn new(gateways: usize, own_node: u32) -> Self {
        let count = gateways.div_ceil(MAX_GROUP_GATEWAYS).next_power_of_two() as u64;
        Self { count, own: part_of(own_node, count) }
    }

    fn is_in_own_part(self, number: u32) -> bool {
        part_of(number, self.count) == self.own
    }
}

fn part_of(number: u32, parts: u64) -> u64 {
    xxh3_64(&number.to_le_bytes()) % parts
}
