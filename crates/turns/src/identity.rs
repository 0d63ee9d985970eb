//! Derives fixed-size identifiers from names by hashing.

use foxnotch_wire::{NodeId, ProgramKey, RegionId, TurnId};
use xxhash_rust::xxh3::{xxh3_128, xxh3_64, Xxh3};

/// Prefixes a name with its tenant, unless `tenant` is empty. The separator is a byte that tenant names do not contain.
fn qualified_name(tenant: &str, name: &str) -> String {
    if tenant.is_empty() {
        name.to_owned()
    } else {
        format!("{tenant}\0{name}")
    }
}

/// The identifier of the turn that a caller of `tenant` refers to by `name`. `tenant` is empty for a caller without a
/// tenant. The result is never 0, which stands for no turn.
///
/// The tenant is part of the hashed name, so a caller cannot refer to another tenant's turn: for that caller the turn
/// does not exist.
pub fn turn_id(tenant: &str, name: &str) -> TurnId {
    TurnId(xxh3_128(qualified_name(tenant, name).as_bytes()).max(1))
}

/// The key of the program that a caller of `tenant` refers to by `name`. `tenant` is empty for a caller without a
/// tenant.
pub fn program_key(tenant: &str, name: &str) -> ProgramKey {
    ProgramKey(xxh3_64(qualified_name(tenant, name).as_bytes()))
}

/// Identifies a request across its attempts, which have different identifiers: a hash of what the caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey(u64);

impl std::fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The key of the request that consists of these parts, in this order. All attempts of a request have the same parts.
pub fn request_key<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> RequestKey {
    let mut hasher = Xxh3::new();
    for part in parts {
        // The length keeps neighbouring parts apart.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    RequestKey(hasher.digest())
}

/// The identifier of the node with this name; never 0. The probability that any two of 500 names collide is 1 in
/// 34,000.
pub fn node_id(name: &str) -> NodeId {
    NodeId((xxh3_64(name.as_bytes()) as u32).max(1))
}

/// The hash that identifies the zone with this name.
pub fn zone_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// The identifier of the region with this name.
pub fn region_id(name: &str) -> RegionId {
    RegionId(xxh3_64(name.as_bytes()) as u32)
}
