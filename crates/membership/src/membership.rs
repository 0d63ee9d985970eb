//! Detects which nodes are alive by probes, as in the SWIM protocol with suspicion and piggybacked member updates.
//!
//! In each period a node probes one other member, first directly and then, if no answer arrives, through other members.
//! The node suspects a member that answers neither probe, and declares the member dead unless the member refutes the
//! suspicion in time. The cost per node is independent of the number of members.
//!
//! Invariant: only a member itself increases its incarnation. Of two updates about a member, the one with the higher
//! incarnation takes precedence. If the incarnations are equal, the one with the later state in the order of
//! [`MemberState`] does.

use crate::time::Millis;
use foxnotch_wire::{
    Ack, MemberAddress, MemberList, MemberState, MemberUpdate, Message, NodeId, Ping, PingRequest, MAX_SEQUENCE,
};
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// Time between two probes of members that are not dead.
const PROBE_PERIOD_MS: u64 = 500;
/// Time after which a node repeats an unanswered probe through other members.
const DIRECT_ACK_TIMEOUT_MS: u64 = 150;
/// Time in which a suspected member may refute the suspicion before it is declared dead.
const SUSPICION_PERIOD_MS: u64 = 1500;
/// Time between two probes of dead members. These probes detect members that can be reached again after a network
/// partition.
const DEAD_PROBE_PERIOD_MS: u64 = 2000;
/// Time after which a node removes a member that stayed dead.
const DEAD_MEMBER_RETENTION_MS: u64 = 24 * 3_600_000;
/// Number of members that a node asks to probe a member that did not answer.
const INDIRECT_PROBE_COUNT: usize = 3;
/// Maximum number of updates in one message. It limits the size of a probe to about 500 bytes.
const MAX_UPDATES_PER_MESSAGE: usize = 6;
/// Number of messages that carry one update, as a multiple of the binary logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;

/// One member as this node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The newest known update about the member.
    pub update: MemberUpdate,
    /// The time at which this node learned the member's current state.
    pub changed_at: Millis,
    /// Number of further messages in which this node sends the update.
    retransmits_left: u32,
}

/// A membership message to send, by datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The node that receives the message.
    pub to: NodeId,
    /// The addresses at which the receiver listens.
    pub address: MemberAddress,
    /// A probe, a request to probe another member, or an answer to a probe.
    pub message: Message,
}

/// A probe whose answer this node awaits.
#[derive(Clone, Copy, Debug)]
struct Probe {
    target: NodeId,
    sequence: u32,
    sent_at: Millis,
    indirect: bool,
}

/// A probe that this node made at another node's request.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    requester: NodeId,
    requester_sequence: u32,
    sent_at: Millis,
}

/// The membership state of one node.
#[derive(Clone, Debug)]
pub struct Membership {
    own: MemberUpdate,
    members: BTreeMap<NodeId, Member>,
    probe_order: Vec<NodeId>,
    next_probe_index: usize,
    pending_probe: Option<Probe>,
    relayed_probes: BTreeMap<u32, RelayedProbe>,
    last_sequence: u32,
    next_probe_at: Millis,
    next_dead_probe_at: Millis,
    random_state: u64,
    /// The member whose update was last added to fill a message.
    last_filler_member: NodeId,
}

impl Membership {
    /// Creates the membership state of a node that has just started. `seeds` are the first known members, which the
    /// node considers alive until a probe fails.
    pub fn new(own: MemberUpdate, seeds: &[MemberUpdate], now: Millis) -> Self {
        let mut membership = Self {
            own,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            next_probe_index: 0,
            pending_probe: None,
            relayed_probes: BTreeMap::new(),
            last_sequence: 0,
            next_probe_at: now,
            next_dead_probe_at: now.plus(DEAD_PROBE_PERIOD_MS),
            random_state: own.incarnation ^ (u64::from(own.node.0) << 32) | 1,
            last_filler_member: own.node,
        };
        for seed in seeds.iter().filter(|seed| seed.node != own.node) {
            membership.insert_member(*seed, now);
        }
        membership
    }

    fn insert_member(&mut self, update: MemberUpdate, now: Millis) {
        let retransmits_left = self.retransmit_limit();
        self.members.insert(update.node, Member { update, changed_at: now, retransmits_left });
        let position = self.random_below(self.probe_order.len() + 1);
        self.probe_order.insert(position, update.node);
    }

    fn retransmit_limit(&self) -> u32 {
        RETRANSMIT_FACTOR * (usize::BITS - (self.members.len() + 1).leading_zeros())
    }

    /// A pseudorandom number below `bound`, by xorshift. The seed is made from the node's identifier and incarnation,
    /// so that simulations are reproducible.
    pub fn random_below(&mut self, bound: usize) -> usize {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state % bound.max(1) as u64) as usize
    }

    /// This node's own entry for the other members: its state, incarnation, zone, address and configuration revision.
    pub fn own_update(&self) -> &MemberUpdate {
        &self.own
    }

    /// All known members except this node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the member `node`, or `None` for an unknown member and for this node.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// The addresses at which the member `node` listens; `None` for an unknown member and for this node.
    pub fn address(&self, node: NodeId) -> Option<MemberAddress> {
        self.members.get(&node).map(|member| member.update.address)
    }

    /// Whether `node` is this node, or a known member that has not been declared dead.
    pub fn is_reachable(&self, node: NodeId) -> bool {
        node == self.own.node || self.members.get(&node).is_some_and(|member| member.update.state != MemberState::Dead)
    }

    /// The nodes that accept new work: members that are alive or suspected, and this node unless it is leaving.
    pub fn nodes_accepting_work(&self) -> impl Iterator<Item = NodeId> + '_ {
        let takes_work = |state| matches!(state, MemberState::Alive | MemberState::Suspect);
        let others = self.members.values().filter(move |member| takes_work(member.update.state));
        let own = (self.own.state == MemberState::Alive).then_some(self.own.node);
        others.map(|member| member.update.node).chain(own)
    }

    /// The lowest configuration revision in force on this node and all members that are not dead.
    pub fn lowest_configuration_revision(&self) -> u64 {
        let alive = self.members.values().filter(|member| member.update.state != MemberState::Dead);
        alive.map(|member| member.update.config_revision).chain([self.own.config_revision]).min().unwrap_or(0)
    }

    /// Sets the configuration revision that is in force on this node.
    pub fn set_configuration_revision(&mut self, revision: u64) {
        self.own.config_revision = revision;
    }

    /// Marks this node as leaving, so that it accepts no new work. Later messages announce the new state.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.own.incarnation += 1;
    }

    /// Handles a failed connection to `node`: suspects that member immediately.
    pub fn on_unreachable(&mut self, node: NodeId, now: Millis) {
        if let Some(member) = self.members.get(&node) {
            if matches!(member.update.state, MemberState::Alive | MemberState::Leaving) {
                self.set_state(node, MemberState::Suspect, now);
            }
        }
    }

    fn set_state(&mut self, node: NodeId, state: MemberState, now: Millis) {
        let retransmits_left = self.retransmit_limit();
        if let Some(member) = self.members.get_mut(&node) {
            member.update.state = state;
            member.changed_at = now;
            member.retransmits_left = retransmits_left;
        }
    }

    /// Performs everything that is due at `now`: probes members, suspects members that did not answer, and declares
    /// suspected members dead. Returns the messages to send.
    pub fn tick(&mut self, now: Millis) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        self.expire_members(now);
        self.send_indirect_probes(now, &mut datagrams);
        if now >= self.next_probe_at {
            self.next_probe_at = now.plus(PROBE_PERIOD_MS);
            self.suspect_unanswered_target(now);
            self.probe_next_member(now, &mut datagrams);
        }
        if now >= self.next_dead_probe_at {
            self.next_dead_probe_at = now.plus(DEAD_PROBE_PERIOD_MS);
            self.probe_random_dead_member(&mut datagrams);
        }
        datagrams
    }

    fn expire_members(&mut self, now: Millis) {
        let suspicion_expired = |member: &&Member| {
            member.update.state == MemberState::Suspect && now.since(member.changed_at) >= SUSPICION_PERIOD_MS
        };
        let dead: Vec<NodeId> =
            self.members.values().filter(suspicion_expired).map(|member| member.update.node).collect();
        for node in dead {
            self.set_state(node, MemberState::Dead, now);
        }
        self.members.retain(|_, member| {
            member.update.state != MemberState::Dead || now.since(member.changed_at) < DEAD_MEMBER_RETENTION_MS
        });
        let members = &self.members;
        self.probe_order.retain(|node| members.contains_key(node));
        self.relayed_probes.retain(|_, relay| now.since(relay.sent_at) < PROBE_PERIOD_MS);
    }

    fn send_indirect_probes(&mut self, now: Millis, datagrams: &mut Vec<Datagram>) {
        let Some(mut probe) = self.pending_probe else { return };
        if probe.indirect || now.since(probe.sent_at) < DIRECT_ACK_TIMEOUT_MS {
            return;
        }
        probe.indirect = true;
        self.pending_probe = Some(probe);
        let mut relays: Vec<NodeId> =
            self.nodes_accepting_work().filter(|node| *node != probe.target && *node != self.own.node).collect();
        for _ in 0..INDIRECT_PROBE_COUNT.min(relays.len()) {
            let index = self.random_below(relays.len());
            let relay_node = relays.swap_remove(index);
            let request = PingRequest { sequence: probe.sequence, target: probe.target };
            self.add_message(relay_node, Message::PingRequest(request), datagrams);
        }
    }

    fn suspect_unanswered_target(&mut self, now: Millis) {
        let Some(probe) = self.pending_probe.take() else { return };
        let state = self.members.get(&probe.target).map(|member| member.update.state);
        if matches!(state, Some(MemberState::Alive | MemberState::Leaving)) {
            self.set_state(probe.target, MemberState::Suspect, now);
        }
    }

    fn probe_next_member(&mut self, now: Millis, datagrams: &mut Vec<Datagram>) {
        for _ in 0..self.probe_order.len() {
            if self.next_probe_index >= self.probe_order.len() {
                self.next_probe_index = 0;
            }
            let target = self.probe_order[self.next_probe_index];
            self.next_probe_index += 1;
            let is_dead = self.members.get(&target).is_none_or(|member| member.update.state == MemberState::Dead);
            if is_dead {
                continue;
            }
            let sequence = self.next_sequence();
            self.pending_probe = Some(Probe { target, sequence, sent_at: now, indirect: false });
            self.add_ping(target, sequence, datagrams);
            return;
        }
    }

    fn probe_random_dead_member(&mut self, datagrams: &mut Vec<Datagram>) {
        let dead = self.members.values().filter(|member| member.update.state == MemberState::Dead);
        let dead: Vec<NodeId> = dead.map(|member| member.update.node).collect();
        if dead.is_empty() {
            return;
        }
        let target = dead[self.random_below(dead.len())];
        let sequence = self.next_sequence();
        self.add_ping(target, sequence, datagrams);
    }

    /// Returns the sequence number of the next probe. The bits above [`MAX_SEQUENCE`] are reserved for the offer of a
    /// protocol version to the receiver.
    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = if self.last_sequence < MAX_SEQUENCE { self.last_sequence + 1 } else { 1 };
        self.last_sequence
    }

    fn add_ping(&mut self, to: NodeId, sequence: u32, datagrams: &mut Vec<Datagram>) {
        let updates = self.select_updates(to);
        self.add_message(to, Message::Ping(Ping { sequence, updates }), datagrams);
    }

    fn add_message(&self, to: NodeId, message: Message, datagrams: &mut Vec<Datagram>) {
        if let Some(address) = self.address(to) {
            datagrams.push(Datagram { to, address, message });
        }
    }

    /// Selects updates for a message to `to`: the update about this node, the update about `to` (so that `to` can
    /// refute a suspicion), then the updates that this node has sent least often.
    fn select_updates(&mut self, to: NodeId) -> Vec<MemberUpdate> {
        let mut updates = vec![self.own];
        updates.extend(self.members.get(&to).map(|member| member.update));
        let mut pending: Vec<(u32, NodeId)> = self
            .members
            .values()
            .filter(|member| member.retransmits_left > 0 && member.update.node != to)
            .map(|member| (member.retransmits_left, member.update.node))
            .collect();
        pending.sort_unstable_by_key(|(left, node)| (std::cmp::Reverse(*left), *node));
        for (_, node) in pending.into_iter().take(MAX_UPDATES_PER_MESSAGE - updates.len()) {
            if let Some(member) = self.members.get_mut(&node) {
                member.retransmits_left -= 1;
                updates.push(member.update);
            }
        }
        self.fill_with_members(to, &mut updates);
        updates
    }

    /// Fills a message with updates about further members, in rotation, whether or not the updates are new. From these
    /// updates, a node that started with a few seeds learns of all members.
    fn fill_with_members(&mut self, to: NodeId, updates: &mut Vec<MemberUpdate>) {
        for _ in 0..self.members.len().min(MAX_UPDATES_PER_MESSAGE) {
            if updates.len() >= MAX_UPDATES_PER_MESSAGE {
                return;
            }
            let next = self.members.range((Excluded(self.last_filler_member), Unbounded)).next();
            let Some((node, member)) = next.or_else(|| self.members.iter().next()) else { return };
            self.last_filler_member = *node;
            if *node != to && !updates.iter().any(|update| update.node == *node) {
                updates.push(member.update);
            }
        }
    }

    /// Handles a probe of this node. Returns the answer to send.
    pub fn on_ping(&mut self, from: NodeId, ping: Ping, now: Millis) -> Vec<Datagram> {
        self.merge_updates(&ping.updates, now);
        let mut datagrams = Vec::new();
        let updates = self.select_updates(from);
        let ack = Ack { sequence: ping.sequence, subject: self.own.node, updates };
        self.add_message(from, Message::Ack(ack), &mut datagrams);
        datagrams
    }

    /// Handles a request to probe a member for another node. Returns the probe to send.
    pub fn on_ping_request(&mut self, from: NodeId, request: PingRequest, now: Millis) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        let sequence = self.next_sequence();
        let relay = RelayedProbe { requester: from, requester_sequence: request.sequence, sent_at: now };
        self.relayed_probes.insert(sequence, relay);
        self.add_ping(request.target, sequence, &mut datagrams);
        datagrams
    }

    /// Handles the answer to a probe. If this node made the probe for another node, returns the answer to forward to
    /// that node.
    pub fn on_ack(&mut self, ack: Ack, now: Millis) -> Vec<Datagram> {
        self.merge_updates(&ack.updates, now);
        let mut datagrams = Vec::new();
        if let Some(relay) = self.relayed_probes.remove(&ack.sequence) {
            let relayed_ack = Ack { sequence: relay.requester_sequence, subject: ack.subject, updates: ack.updates };
            self.add_message(relay.requester, Message::Ack(relayed_ack), &mut datagrams);
            return datagrams;
        }
        if self.pending_probe.is_some_and(|probe| probe.sequence == ack.sequence && probe.target == ack.subject) {
            self.pending_probe = None;
        }
        datagrams
    }

    /// All known members, including this node.
    pub fn member_list(&self) -> MemberList {
        let others = self.members.values().map(|member| member.update);
        MemberList { members: others.chain([self.own]).collect() }
    }

    /// Merges another node's member list, or the single entry that a node sends when it requests a list.
    pub fn on_member_list(&mut self, members: &[MemberUpdate], now: Millis) {
        self.merge_updates(members, now);
    }

    fn merge_updates(&mut self, updates: &[MemberUpdate], now: Millis) {
        for update in updates {
            if update.node == self.own.node {
                self.refute_if_newer(update);
            } else {
                self.merge_update(*update, now);
            }
        }
    }

    /// Increases this node's incarnation if `update`, which is about this node, takes precedence over the node's own
    /// entry, for example because another node suspects this node.
    fn refute_if_newer(&mut self, update: &MemberUpdate) {
        let newer = (update.incarnation, update.state) > (self.own.incarnation, self.own.state);
        if newer {
            self.own.incarnation = update.incarnation + 1;
        }
    }

    fn merge_update(&mut self, update: MemberUpdate, now: Millis) {
        let retransmit_limit = self.retransmit_limit();
        let Some(member) = self.members.get_mut(&update.node) else {
            self.insert_member(update, now);
            return;
        };
        let known = member.update;
        let newer = (update.incarnation, update.state) > (known.incarnation, known.state);
        let revision = update.config_revision.max(known.config_revision);
        if newer {
            let revision = if update.incarnation > known.incarnation { update.config_revision } else { revision };
            if update.state != known.state {
                member.changed_at = now;
            }
            member.update = MemberUpdate { config_revision: revision, ..update };
            member.retransmits_left = retransmit_limit;
            return;
        }
        if update.incarnation == known.incarnation {
            member.update.config_revision = revision;
        }
    }
}
