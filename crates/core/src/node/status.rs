//! The status that a node reports to operators.

use super::Node;
use crate::request::{RefusalKind, Reply};
use foxnotch_wire::{MemberAddress, NodeId, Outcome};
use serde::Serialize;
use std::collections::BTreeMap;

/// Counters since the start of the node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests received.
    pub requests: u64,
    /// Programs taken over or opened.
    pub takeovers: u64,
    /// Calls that ended with a complete answer.
    pub done: u64,
    /// Calls that ended without a complete answer.
    pub ended_otherwise: u64,
    /// Requests forwarded to another node.
    pub forwarded: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<String, u64>,
    /// When this node last applied a new configuration, in milliseconds since the Unix epoch.
    pub configuration_applied_at: u64,
}

impl Counters {
    /// Counts a reply that ends a request.
    pub fn count_reply(&mut self, reply: &Reply) {
        match reply {
            Reply::Finished { outcome: Outcome::Done, .. } => self.done += 1,
            Reply::Finished { .. } => self.ended_otherwise += 1,
            Reply::Forward(_) => self.forwarded += 1,
            Reply::Refused(refusal) => *self.refused.entry(kind_name(refusal.kind)).or_default() += 1,
            Reply::Opened(_) | Reply::BranchOpened(_) | Reply::Closed | Reply::Tokens { .. } => {}
        }
    }
}

/// The name of a refusal kind, as in its JSON form.
fn kind_name(kind: RefusalKind) -> String {
    let value = serde_json::to_value(kind).unwrap_or_default();
    value.as_str().unwrap_or("unknown").to_owned()
}

/// One member as the reporting node knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberStatus {
    /// The member's node id.
    pub node: u32,
    /// The member's zone.
    pub zone: u8,
    /// The member's state: alive, suspect, leaving or dead.
    pub state: &'static str,
    /// The configuration revision that the member has applied.
    pub config_revision: u64,
}

/// A node's status for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeStatus {
    /// The id of the reporting node.
    pub node: u32,
    /// Whether the node is stopping.
    pub draining: bool,
    /// Whether the node's replica votes; none if the node stores no histories.
    pub replica_voting: Option<bool>,
    /// Number of histories stored on this node.
    pub histories: usize,
    /// Number of programs that this node owns.
    pub programs_owned: usize,
    /// The configuration revision that this node has applied.
    pub config_revision: u64,
    /// The lowest configuration revision applied among the members that are not dead.
    pub config_revision_everywhere: u64,
    /// Number of members that have applied at least this node's revision.
    pub members_in_force: usize,
    /// Whether this node reads the configuration store.
    pub reads_store: bool,
    /// Names of the instances in the configuration.
    pub instances: Vec<String>,
    /// All members, this node included.
    pub members: Vec<MemberStatus>,
    /// Counters since the start of the node.
    pub counters: Counters,
}

/// One program that a node owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ProgramStatus {
    /// The program's id, in the form that callers use.
    pub program: String,
    /// The name of the tenant that opened the program.
    pub tenant: String,
    /// The name of the instance for which the program was opened.
    pub instance: String,
    /// Number of calls made.
    pub calls: u32,
    /// Number of branches, the root branch included.
    pub branches: usize,
    /// Tokens charged or reserved.
    pub used_tokens: u64,
    /// Maximum number of tokens that the program may use.
    pub budget_tokens: u64,
    /// Whether calls are in flight or requests wait.
    pub busy: bool,
}

impl Node {
    /// Returns the node's status for operators.
    pub fn status(&self) -> NodeStatus {
        let own = self.membership.own_update();
        let others = self.membership.members().map(|member| member.update);
        let members: Vec<MemberStatus> = std::iter::once(*own)
            .chain(others)
            .map(|update| MemberStatus {
                node: update.node.0,
                zone: update.zone,
                state: update.state.name(),
                config_revision: update.config_revision,
            })
            .collect();
        let revision = self.configuration.revision();
        NodeStatus {
            node: self.id.0,
            draining: self.draining,
            replica_voting: self.replica.as_ref().map(|replica| replica.is_voting()),
            histories: self.replica.as_ref().map_or(0, |replica| replica.histories().count()),
            programs_owned: self.owners.len(),
            config_revision: revision,
            config_revision_everywhere: self.membership.lowest_configuration_revision(),
            members_in_force: members.iter().filter(|member| member.config_revision >= revision).count(),
            reads_store: self.is_store_reader(),
            instances: self.configuration.instances().map(|(name, _)| name.to_owned()).collect(),
            members,
            counters: self.counters.clone(),
        }
    }

    /// Returns the status of each opened program that this node owns.
    pub fn programs(&self) -> Vec<ProgramStatus> {
        let describe = |(program, owner): (&foxnotch_wire::ProgramId, &crate::owner::Owner)| {
            let state = owner.state();
            let opened = state.opened.as_ref()?;
            let root = state.branches.get(&foxnotch_wire::ROOT_BRANCH)?;
            Some(ProgramStatus {
                program: program.to_string(),
                tenant: opened.tenant.to_string_lossy(),
                instance: opened.instance.to_string_lossy(),
                calls: state.calls_made,
                branches: state.branches.len(),
                used_tokens: root.used_tokens,
                budget_tokens: root.budget_tokens,
                busy: owner.is_busy(),
            })
        };
        self.owners.iter().filter_map(describe).collect()
    }

    /// The address at which another node listens.
    pub fn address_of(&self, node: NodeId) -> Option<MemberAddress> {
        self.membership.address(node)
    }

    /// The configuration revision that this node has applied.
    pub fn config_revision(&self) -> u64 {
        self.configuration.revision()
    }

    /// Whether the node accepts requests: it is not draining, has a configuration, and its replica, if any, votes.
    pub fn is_ready(&self) -> bool {
        let votes = self.replica.as_ref().is_none_or(|replica| replica.is_voting());
        !self.draining && votes && self.configuration.revision() > 0
    }
}
