//! The newest version of the protocol that each other node is known to read. Datagrams to a node are written in that
//! version; each TCP connection negotiates its own version (see `rpc_client`).
//!
//! The module performs no I/O. A recorded version holds for one incarnation of a node, since the node may run another
//! build after a restart.

use crate::logging::part;
use foxnotch_membership::Millis;
use foxnotch_wire::{NodeId, ProtocolVersion};
use std::collections::{HashMap, HashSet};

/// Maximum number of nodes that one call of [`PeerVersions::take_nodes_to_ask`] returns. When a whole fleet starts
/// together, no node must send a datagram to all others at once.
const MAX_NODES_ASKED_AT_ONCE: usize = 8;
/// Milliseconds after which a node that did not answer is asked again.
const RETRY_PERIOD_MS: u64 = 1000;

/// The protocol version of one node in one incarnation, and the time at which the node was last asked for it.
#[derive(Clone, Copy, Debug)]
struct PeerVersion {
    incarnation: u64,
    /// The newest version that the node reads; none until a message from the node shows the version.
    version: Option<ProtocolVersion>,
    asked_at: Option<Millis>,
}

/// The protocol versions of other nodes.
#[derive(Debug, Default)]
pub(super) struct PeerVersions {
    versions: HashMap<NodeId, PeerVersion>,
}

impl PeerVersions {
    /// The newest version that a node is known to read in this incarnation; none if it is not known.
    pub(super) fn version_of(&self, node: NodeId, incarnation: u64) -> Option<ProtocolVersion> {
        self.versions.get(&node).filter(|peer| peer.incarnation == incarnation)?.version
    }

    /// Records that a node reads `version`. The version that a node reads does not change within an incarnation. So if
    /// `version` is older than the recorded one, it comes from a datagram that was sent earlier, and is ignored.
    pub(super) fn record(&mut self, node: NodeId, incarnation: u64, version: ProtocolVersion) {
        let recorded = self.version_of(node, incarnation);
        if recorded >= Some(version) {
            return;
        }
        self.versions.insert(node, PeerVersion { incarnation, version: Some(version), asked_at: None });
        if version < ProtocolVersion::NEWEST {
            log::info!(
                target: part::PEER,
                "Node {node} runs an older build, so this node encodes messages to it in the older protocol version: \
                 protocol={version}.",
            );
        }
    }

    /// Returns those of the given nodes that have to be asked for their version now, and marks them as asked. Drops the
    /// state of all nodes that are not given.
    pub(super) fn take_nodes_to_ask(&mut self, nodes: &[(NodeId, u64)], now: Millis) -> Vec<NodeId> {
        let alive: HashSet<NodeId> = nodes.iter().map(|(node, _)| *node).collect();
        self.versions.retain(|node, _| alive.contains(node));
        let mut nodes_to_ask = Vec::new();
        for (node, incarnation) in nodes {
            if nodes_to_ask.len() == MAX_NODES_ASKED_AT_ONCE {
                break;
            }
            let unknown = PeerVersion { incarnation: *incarnation, version: None, asked_at: None };
            let peer = self.versions.entry(*node).or_insert(unknown);
            if peer.incarnation != *incarnation {
                *peer = unknown;
            }
            let is_due = peer.asked_at.is_none_or(|asked_at| now.since(asked_at) >= RETRY_PERIOD_MS);
            if peer.version.is_none() && is_due {
                peer.asked_at = Some(now);
                nodes_to_ask.push(*node);
            }
        }
        nodes_to_ask
    }
}
