//! Which replicas are asked first.

use crate::locks::lock;
use foxnotch_turns::quorum::Tally;
use foxnotch_wire::{NodeId, ReplicaMember};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which a replica that was late is asked after the others.
const LATE_FOR: Duration = Duration::from_secs(1);

/// The order in which a gateway asks replicas: those that answer in time, then those of its own zone, then by lot.
#[derive(Debug, Default)]
pub struct AskOrder {
    late_until: Mutex<HashMap<NodeId, Instant>>,
}

impl AskOrder {
    /// All members in the order in which they are asked. `spread` decides among equals.
    pub fn ask_order(&self, members: &[ReplicaMember], zone: u32, spread: u64) -> Vec<ReplicaMember> {
        let now = Instant::now();
        let mut late_until = lock(&self.late_until);
        late_until.retain(|_, until| *until > now);
        let mut ordered = members.to_vec();
        ordered.sort_by_cached_key(|member| {
            let lot = xxh3_64_with_seed(&member.node.0.to_le_bytes(), spread);
            (late_until.contains_key(&member.node), member.zone != zone, lot)
        });
        ordered
    }

    /// Notes those that were asked and have not answered: all `members` but those `not_asked` and those counted.
    pub fn note_late(&self, members: &[ReplicaMember], not_asked: &[ReplicaMember], answered: &Tally) {
        let until = Instant::now() + LATE_FOR;
        let counted: Vec<NodeId> = answered.counted().collect();
        let asked = members.iter().filter(|member| !not_asked.contains(member));
        let late = asked.map(|member| member.node).filter(|node| !counted.contains(node));
        lock(&self.late_until).extend(late.map(|node| (node, until)));
    }
}
