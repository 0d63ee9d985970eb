//! Answers RPC requests that other nodes send to a gateway.

use crate::edge::engine_losses::EngineLossTracker;
use crate::peers::members::Members;
use crate::peers::replica_client::ReplicaClient;
use crate::peers::rpc_server::RpcHandler;
use crate::peers::view::ViewHolder;
use crate::peers::view_exchange;
use foxnotch_wire::{NodeId, ReplicaSetUpdate, RpcBody, StoreEntry};
use futures_util::future::BoxFuture;
use std::sync::Arc;

/// The RPC handler of a gateway. Answers requests that only replicas serve with `NotServed`.
pub(super) struct GatewayRpcHandler {
    pub(super) members: Arc<Members>,
    pub(super) view: Arc<ViewHolder>,
    pub(super) replicas: Arc<ReplicaClient>,
    pub(super) losses: Arc<EngineLossTracker>,
}

impl RpcHandler for GatewayRpcHandler {
    fn handle(self: Arc<Self>, _from: NodeId, body: RpcBody) -> BoxFuture<'static, RpcBody> {
        let answer = match body {
            RpcBody::Relay(relay) => {
                return Box::pin(async move { self.replicas.answer_relay(&self.view.replica_set(), relay).await });
            }
            RpcBody::StoreEntry(StoreEntry { entry, .. }) => {
                self.losses.learn_from_gateway(&entry);
                // Only replicas store entries, so the answer must not count towards a quorum.
                RpcBody::NotServed
            }
            RpcBody::StoreEntries(request) => self.losses.hold_records(&request),
            RpcBody::ReadProgram(request) => self.losses.answer_list(&request),
            RpcBody::PullMembers(requester) => self.members.answer_member_pull(requester),
            RpcBody::ShowMembers => self.members.list_members(),
            RpcBody::ShowSet => {
                RpcBody::SetKnown(ReplicaSetUpdate { set: (*self.view.replica_set()).clone(), synced: 0 })
            }
            RpcBody::PullView(requester_view) => {
                RpcBody::View(view_exchange::build_update_for_peer(&self.view, &requester_view))
            }
            RpcBody::ShowView => RpcBody::View(view_exchange::summarize_view(&self.view.get())),
            _ => RpcBody::NotServed,
        };
        Box::pin(std::future::ready(answer))
    }
}
