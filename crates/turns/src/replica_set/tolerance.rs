//! The losses that a deployment has to survive, and the size of the replica set that follows from them.

use foxnotch_wire::ReplicaMember;
use std::collections::HashMap;

/// The simultaneous losses under which every guarantee holds: any `machines` machines, or all machines of any `zones`
/// zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// Number of machines with a replica's disk that may be lost at the same time.
    pub machines: usize,
    /// Number of zones whose machines may all be lost at the same time.
    pub zones: usize,
}

impl Tolerance {
    /// The largest number of these members that may be lost at the same time: `machines`, or all members of the `zones`
    /// zones with the most members, whichever is larger.
    pub fn max_losses(&self, members: &[ReplicaMember]) -> usize {
        let mut zones: HashMap<u32, usize> = HashMap::new();
        for member in members {
            *zones.entry(member.zone).or_default() += 1;
        }
        let mut counts: Vec<usize> = zones.into_values().collect();
        counts.sort_unstable_by(|left, right| right.cmp(left));
        self.machines.max(counts.into_iter().take(self.zones).sum())
    }
}

/// Minimum number of members of a set, whatever the tolerance. With three, one member can be replaced while the other
/// two are a majority.
const MIN_SET_SIZE: usize = 3;

/// The smallest size of a set in which a majority remains after `losses` members are lost.
pub fn min_set_size(losses: usize) -> usize {
    (2 * losses + 1).max(MIN_SET_SIZE)
}

/// The size that a set should reach. When a set is large enough, further replicas are standbys: they store nothing, and
/// join when a member is lost or retires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SetTarget {
    /// The losses that the set has to survive.
    pub tolerance: Tolerance,
    /// Minimum number of members, even if the tolerance requires fewer.
    pub size: usize,
}

impl SetTarget {
    /// The target for the smallest set that survives the losses of `tolerance`.
    pub fn of(tolerance: Tolerance) -> Self {
        Self { tolerance, size: min_set_size(tolerance.machines) }
    }

    /// Whether there are at least `size` members, and a majority of them remains after every tolerated loss.
    pub fn is_reached_by(&self, members: &[ReplicaMember]) -> bool {
        members.len() >= self.size.max(min_set_size(self.tolerance.max_losses(members)))
    }
}
