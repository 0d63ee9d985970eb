//! Tracks members of the set that do not answer probes. Members that have been silent for long count as gone: the set
//! manager removes them from the set, and none of its steps waits for them.

use crate::locks::lock;
use crate::peers::members::Members;
use foxnotch_wire::{NodeId, ReplicaSet};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after which a member that membership considers dead counts as gone.
const DEAD_MEMBER_DELAY: Duration = Duration::from_millis(1500);
/// Time after which a member that membership does not know counts as gone. It is longer, since after the start of this
/// process membership may not have found the member yet.
const UNKNOWN_MEMBER_DELAY: Duration = Duration::from_secs(6);

/// Time after which a member that membership considers dead counts as gone for good. It exceeds the time that a machine
/// or a process takes to start again, because a member that is removed has to join again.
const GONE_FOR_GOOD_DELAY: Duration = Duration::from_secs(5);

/// The time since which each member has been silent, as observed by this replica.
pub(super) struct SilentMembers {
    own: NodeId,
    members: Arc<Members>,
    silent_since: Mutex<HashMap<NodeId, Instant>>,
}

impl SilentMembers {
    /// Creates the state of a process that starts, in which no member is known to be silent.
    pub(super) fn new(own: NodeId, members: Arc<Members>) -> Self {
        Self { own, members, silent_since: Mutex::default() }
    }

    /// Updates which members are silent. Returns the members that are gone, that is, have been dead or unknown for
    /// long, in the order of the set.
    pub(super) fn update_and_list_gone(&self, set: &ReplicaSet) -> Vec<NodeId> {
        let others = set.members.iter().map(|member| member.node).filter(|node| *node != self.own);
        let silent: Vec<NodeId> = others.filter(|node| !self.members.is_reachable(*node)).collect();
        let mut silent_since = lock(&self.silent_since);
        silent_since.retain(|node, _| silent.contains(node));
        for node in &silent {
            silent_since.entry(*node).or_insert_with(Instant::now);
        }
        let is_gone = |node: &NodeId| {
            let delay = if self.members.is_dead(*node) { DEAD_MEMBER_DELAY } else { UNKNOWN_MEMBER_DELAY };
            silent_since.get(node).is_some_and(|since| since.elapsed() > delay)
        };
        silent.into_iter().filter(is_gone).collect()
    }

    /// The members that membership has considered dead for longer than a restart takes, in the order of the set. As of
    /// the last update.
    pub(super) fn list_gone_for_good(&self, set: &ReplicaSet) -> Vec<NodeId> {
        let silent_since = lock(&self.silent_since);
        let is_gone = |node: &NodeId| {
            let silent_for = silent_since.get(node).map(Instant::elapsed);
            self.members.is_dead(*node) && silent_for.is_some_and(|time| time > GONE_FOR_GOOD_DELAY)
        };
        set.members.iter().map(|member| member.node).filter(is_gone).collect()
    }
}
