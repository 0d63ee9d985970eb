//! The members that this node knows, and the UDP socket on which it exchanges datagrams with them.
//!
//! Owns the SWIM state machine of `foxnotch-membership`. The table also sends and receives load reports and store
//! updates, for the modules that handle them.

use crate::clock::{time_of_day_ms, SteadyClock};
use crate::locks::lock;
use crate::peers::addresses::member_socket_address;
use crate::peers::peer_versions::PeerVersions;
use crate::peers::unreadable::record_unreadable_message;
use crate::settings::ProcessSettings;
use foxnotch_membership::{Datagram, Membership};
use foxnotch_scheduler::load_sharing::peers::{GatewayPlace, Peers};
use foxnotch_turns::identity::node_id;
use foxnotch_wire::{
    decode, encode_in_version, sequence_has_version_offer, sequence_with_version_offer, sequence_without_version_offer,
    Ack, Envelope, MemberAddress, MemberState, MemberUpdate, Message, NodeId, Ping, ProtocolVersion, RpcBody,
};
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Size of the receive buffer, in bytes. A probe with all the updates that it may carry is far shorter.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Sequence number of probes whose answer the state machine does not wait for. The state machine numbers its own probes
/// from 1.
const UNTRACKED_SEQUENCE: u32 = 0;
/// Pause after a failed receive. Without the pause, the receive loop would use a whole core while the socket is broken.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(100);

/// The members that this node knows, with the protocol version that each reads, and the socket to reach them.
pub(super) struct MemberTable {
    own: NodeId,
    clock: SteadyClock,
    membership: Mutex<Membership>,
    versions: Mutex<PeerVersions>,
    socket: UdpSocket,
}

impl MemberTable {
    /// Binds the socket for datagrams. No other member is known yet.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub(super) async fn bind(settings: &ProcessSettings, clock: SteadyClock) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.peer_address()).await?;
        let own = node_id(&settings.node);
        let update = MemberUpdate {
            node: own,
            state: MemberState::Alive,
            incarnation: time_of_day_ms(),
            zone: settings.zone_number(&settings.zone),
            address: MemberAddress {
                ip: settings.ip.to_ipv6_mapped().octets(),
                peer_port: settings.peer_port,
                caller_port: settings.caller_address.map_or(0, |address| address.port()),
            },
            config_revision: 0,
        };
        let membership = Mutex::new(Membership::new(update, &[], clock.now()));
        Ok(Self { own, clock, membership, versions: Mutex::default(), socket })
    }

    fn with_membership<T>(&self, action: impl FnOnce(&mut Membership) -> T) -> T {
        action(&mut lock(&self.membership))
    }

    /// This node's own entry, as it is announced to other members.
    pub(super) fn own_member(&self) -> MemberUpdate {
        self.with_membership(|membership| *membership.own_update())
    }

    /// Announces to other nodes that this node is leaving and takes no new work.
    pub(super) fn leave(&self) {
        self.with_membership(Membership::leave);
    }

    /// Whether a node answers probes, by the state machine's present knowledge.
    pub(super) fn is_reachable(&self, node: NodeId) -> bool {
        self.with_membership(|membership| membership.is_reachable(node))
    }

    /// Whether the table has a node and considers it dead.
    pub(super) fn is_dead(&self, node: NodeId) -> bool {
        self.find_member(node).is_some_and(|update| update.state == MemberState::Dead)
    }

    /// The last known state of a node; none if the table does not have the node.
    pub(super) fn find_member(&self, node: NodeId) -> Option<MemberUpdate> {
        self.with_membership(|membership| membership.member(node).map(|member| member.update))
    }

    /// Answers a node that pulls the list of members: adds `caller`, the node's own entry, to the table and returns the
    /// list.
    pub(super) fn answer_member_pull(&self, caller: MemberUpdate) -> RpcBody {
        let now = self.clock.now();
        self.with_membership(|membership| {
            membership.on_member_list(&[caller], now);
            RpcBody::Members(membership.member_list())
        })
    }

    /// Merges a list of members from another node into the table.
    pub(super) fn merge_members(&self, members: &[MemberUpdate]) {
        let now = self.clock.now();
        self.with_membership(|membership| membership.on_member_list(members, now));
        self.probe_unknown_versions();
    }

    /// All members, including this node, as an answer to another node.
    pub(super) fn list_members(&self) -> RpcBody {
        RpcBody::Members(self.with_membership(|membership| membership.member_list()))
    }

    /// This node, and all other known members including dead ones.
    pub(super) fn own_and_known_members(&self) -> (MemberUpdate, Vec<MemberUpdate>) {
        self.with_membership(|membership| {
            (*membership.own_update(), membership.members().map(|member| member.update).collect())
        })
    }

    /// Other members that are not dead.
    pub(super) fn other_live_members(&self) -> Vec<MemberUpdate> {
        self.with_membership(|membership| {
            let members = membership.members().map(|member| member.update);
            members.filter(|update| update.state != MemberState::Dead).collect()
        })
    }

    /// Other gateways that are not dead. Gateways are the members with a port for callers.
    pub(super) fn other_live_gateways(&self) -> Vec<MemberUpdate> {
        let mut alive = self.other_live_members();
        alive.retain(|update| update.address.caller_port != 0);
        alive
    }

    /// All replicas that are neither dead nor leaving, including this node if it is one. Replicas are the members
    /// without a port for callers.
    pub(super) fn live_replicas(&self) -> Vec<MemberUpdate> {
        let own = self.own_member();
        let mut replicas = self.other_live_members();
        replicas.push(own);
        replicas.retain(|update| update.address.caller_port == 0 && update.state != MemberState::Leaving);
        replicas
    }

    /// The number of other gateways that are not dead.
    pub(super) fn other_gateway_count(&self) -> usize {
        self.other_live_gateways().len()
    }

    /// A random number below `limit`.
    pub(super) fn random_below(&self, limit: usize) -> usize {
        self.with_membership(|membership| membership.random_below(limit))
    }

    /// Returns another gateway for which `fits` returns true, or none if there is no such gateway. Prefers `preferred`,
    /// and otherwise picks a random one.
    pub(super) fn pick_gateway(
        &self,
        preferred: Option<NodeId>,
        fits: impl Fn(&MemberUpdate) -> bool,
    ) -> Option<MemberUpdate> {
        let mut gateways = self.other_live_gateways();
        gateways.retain(fits);
        if let Some(found) = gateways.iter().find(|gateway| Some(gateway.node) == preferred) {
            return Some(*found);
        }
        let index = self.random_below(gateways.len());
        gateways.get(index).copied()
    }

    /// The other gateways that are not dead, as a load report distinguishes them.
    pub(super) fn load_sharing_peers(&self) -> Peers {
        let place = |update: &MemberUpdate| GatewayPlace { node: update.node.0, zone: update.zone };
        let gateways: Vec<GatewayPlace> = self.other_live_gateways().iter().map(place).collect();
        Peers::of(place(&self.own_member()), &gateways)
    }

    /// Sends a message to those of the given nodes whose address is known.
    pub(super) fn send_to(&self, nodes: &[NodeId], message: &Message) {
        let datagram = |node: &NodeId| {
            let address = self.with_membership(|membership| membership.address(*node))?;
            Some(Datagram { to: *node, address, message: message.clone() })
        };
        self.send(nodes.iter().filter_map(datagram).collect());
    }

    fn send(&self, datagrams: Vec<Datagram>) {
        for datagram in datagrams {
            let Some(address) = member_socket_address(&datagram.address) else { continue };
            let version = self.protocol_version_of(datagram.to).unwrap_or(ProtocolVersion::OLDEST);
            let message = match datagram.message {
                Message::Ping(ping) if version < ProtocolVersion::NEWEST => {
                    Message::Ping(Ping { sequence: sequence_with_version_offer(ping.sequence), ..ping })
                }
                message => message,
            };
            if let Ok(bytes) = encode_in_version(version, self.own, message) {
                // The protocol tolerates lost datagrams, so one that cannot be sent is dropped.
                let _ = self.socket.try_send_to(&bytes, address);
            }
        }
    }

    /// The newest version of the protocol that a node is known to read.
    pub(super) fn protocol_version_of(&self, node: NodeId) -> Option<ProtocolVersion> {
        let incarnation = self.find_member(node)?.incarnation;
        lock(&self.versions).version_of(node, incarnation)
    }

    /// Counts the members that are not dead and not known to read the newest version of the protocol.
    pub(super) fn count_nodes_not_on_newest_protocol(&self) -> usize {
        let alive = self.other_live_members();
        let versions = lock(&self.versions);
        let reads_newest = |member: &MemberUpdate| {
            versions.version_of(member.node, member.incarnation) == Some(ProtocolVersion::NEWEST)
        };
        alive.iter().filter(|member| !reads_newest(member)).count()
    }

    /// Records the protocol version that a datagram's sender reads, if the datagram shows it and the sender is known.
    fn record_version(&self, from: NodeId, version: Option<ProtocolVersion>) {
        if let (Some(version), Some(sender)) = (version, self.find_member(from)) {
            lock(&self.versions).record(from, sender.incarnation, version);
        }
    }

    /// Advances the state machine by one step and sends the resulting datagrams. The probes among them carry
    /// `revision`, the revision of this node's view.
    pub(super) fn tick(&self, revision: u64) {
        let now = self.clock.now();
        let datagrams = self.with_membership(|membership| {
            membership.set_configuration_revision(revision);
            membership.tick(now)
        });
        self.send(datagrams);
        self.probe_unknown_versions();
    }

    /// Probes several members whose protocol version is not known. The state machine's own probes reach only one member
    /// at a time.
    fn probe_unknown_versions(&self) {
        let alive = self.other_live_members();
        let incarnations: Vec<(NodeId, u64)> = alive.iter().map(|member| (member.node, member.incarnation)).collect();
        let nodes_to_ask = lock(&self.versions).take_nodes_to_ask(&incarnations, self.clock.now());
        if !nodes_to_ask.is_empty() {
            let probe = Ping { sequence: UNTRACKED_SEQUENCE, updates: vec![self.own_member()] };
            self.send_to(&nodes_to_ask, &Message::Ping(probe));
        }
    }

    /// Handles a message of SWIM that was written in `version`, and answers it. Ignores other messages.
    pub(super) fn on_message(&self, from: NodeId, version: u8, message: Message) {
        let now = self.clock.now();
        let sender_version = version_read_by_sender(version, &message);
        let datagrams = self.with_membership(|membership| match message {
            Message::Ping(ping) => membership.on_ping(from, ping, now),
            Message::PingRequest(request) => membership.on_ping_request(from, request, now),
            Message::Ack(ack) => {
                membership.on_ack(Ack { sequence: sequence_without_version_offer(ack.sequence), ..ack }, now)
            }
            _ => Vec::new(),
        });
        // Recorded before the answer is encoded, so that a sender that offers the newest version is answered in that
        // version.
        self.record_version(from, sender_version);
        self.send(datagrams);
    }

    /// Waits for the next datagram that can be decoded; counts and drops the others.
    pub(super) async fn receive_message(&self) -> Envelope {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(PAUSE_AFTER_ERROR).await;
                continue;
            };
            match decode(&buffer[..length]) {
                Ok(envelope) => return envelope,
                Err(error) => record_unreadable_message(from, &error),
            }
        }
    }

    /// Probes a member. The probe carries `revision`, the revision of this node's view; a member whose view is older
    /// pulls this node's view.
    pub(super) fn announce_revision(&self, member: NodeId, revision: u64) {
        let own = self.with_membership(|membership| {
            membership.set_configuration_revision(revision);
            *membership.own_update()
        });
        // If this datagram is lost, the next regular probes carry the revision.
        self.send_to(&[member], &Message::Ping(Ping { sequence: UNTRACKED_SEQUENCE, updates: vec![own] }));
    }
}

/// The newest protocol version that the sender of a message reads; `None` if the message does not show it. In the high
/// bits of a probe's sequence number, a sender that writes an older version may state that it also reads the newest
/// one: the version offer.
fn version_read_by_sender(version: u8, message: &Message) -> Option<ProtocolVersion> {
    let written = ProtocolVersion::from_number(version)?;
    if written == ProtocolVersion::NEWEST {
        return Some(written);
    }
    match message {
        Message::Ping(ping) if sequence_has_version_offer(ping.sequence) => Some(ProtocolVersion::NEWEST),
        Message::Ping(_) => Some(written),
        // The sender answered an offer of the newest version in an older one, so it does not read the newest one.
        Message::Ack(ack) if sequence_has_version_offer(ack.sequence) => Some(written),
        // The sender wrote an older version because it does not know yet what this node reads.
        _ => None,
    }
}
