//! The other gateways and replicas: keeps the list of members up to date and dispatches the datagrams that arrive.
//!
//! [`Members`] is the interface for the rest of the crate. It owns the gateways' load reports and combines these
//! modules, each of which uses only those before it:
//!
//! - `member_table`: the members, and the datagrams of SWIM
//! - `view_pulls`: pulls of a newer view from other members, one at a time
//! - `member_discovery`: finds the first members, and pulls the list of members regularly
//! - `store_updates`: messages with the newest revisions of the platform's store, sent according to this node's
//!   `watcher_role`
//!
//! Probes carry the revision of the sender's view. A node that receives a higher revision than its own pulls the
//! sender's view. A node that has just got a change from the store probes three members at once.

use crate::clock::SteadyClock;
use crate::engines::peer_loads::PeerLoads;
use crate::peers::addresses::member_socket_address;
use crate::peers::member_discovery::MemberDiscovery;
use crate::peers::member_table::MemberTable;
use crate::peers::rpc_client::RpcClient;
use crate::peers::store_updates::StoreUpdates;
use crate::peers::view::ViewHolder;
use crate::peers::view_pulls::ViewPulls;
use crate::peers::watcher_role::{WatcherRole, WatcherTimes};
use crate::settings::ProcessSettings;
use foxnotch_scheduler::load_sharing::peers::Peers;
use foxnotch_wire::{MemberUpdate, Message, NodeId, RpcBody};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two steps of the SWIM state machine. A direct probe has to be answered within this time.
const TICK_PERIOD: Duration = Duration::from_millis(150);
/// Number of members that are probed at once after a change of the view. The others learn of the change by store
/// updates.
const ANNOUNCED_MEMBERS: usize = 3;

/// The members that this node knows. [`Members::run`] keeps them up to date.
pub struct Members {
    table: Arc<MemberTable>,
    view: Arc<ViewHolder>,
    view_pulls: Arc<ViewPulls>,
    discovery: MemberDiscovery,
    watcher_role: Arc<WatcherRole>,
    store_updates: Arc<StoreUpdates>,
    loads: PeerLoads,
}

impl Members {
    /// Creates the membership of a node that knows no other members, and binds its UDP socket on the address for
    /// node-to-node traffic.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(
        settings: &ProcessSettings,
        clock: SteadyClock,
        client: Arc<RpcClient>,
        view: Arc<ViewHolder>,
    ) -> std::io::Result<Arc<Self>> {
        let table = Arc::new(MemberTable::bind(settings, clock).await?);
        let loads = PeerLoads::default();
        let watcher_role = Arc::new(WatcherRole::new(WatcherTimes::for_change_limit(settings.shortest_change_limit())));
        let view_pulls = Arc::new(ViewPulls::new(client.clone(), view.clone()));
        let seeds = settings.seeds.clone();
        let discovery = MemberDiscovery::new(table.clone(), client, view_pulls.clone(), seeds, settings.peer_port);
        let store_updates =
            Arc::new(StoreUpdates::new(table.clone(), view.clone(), watcher_role.clone(), view_pulls.clone()));
        Ok(Arc::new(Self { table, view, view_pulls, discovery, watcher_role, store_updates, loads }))
    }

    /// Replaces the seeds: the addresses from which this node pulls its first list of members.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.discovery.set_seeds(seeds);
    }

    /// Announces to other nodes that this node is leaving and takes no new work.
    pub fn leave(&self) {
        self.table.leave();
    }

    /// Whether a node answers probes, by this node's present knowledge.
    pub fn is_reachable(&self, node: NodeId) -> bool {
        self.table.is_reachable(node)
    }

    /// Whether this node knows a node and considers it dead.
    pub fn is_dead(&self, node: NodeId) -> bool {
        self.table.is_dead(node)
    }

    /// Answers a node that pulls the list of members, and adds `caller`, the node's own entry, to the list.
    pub fn answer_member_pull(&self, caller: MemberUpdate) -> RpcBody {
        self.table.answer_member_pull(caller)
    }

    /// All members as this node knows them, including itself.
    pub fn list_members(&self) -> RpcBody {
        self.table.list_members()
    }

    /// The load reports of other gateways.
    pub fn peer_loads(&self) -> &PeerLoads {
        &self.loads
    }

    /// The state that decides whether this node has to watch the platform's store.
    pub fn watcher_role(&self) -> Arc<WatcherRole> {
        self.watcher_role.clone()
    }

    /// All replicas that are neither dead nor leaving, including this node if it is one.
    pub fn live_replicas(&self) -> Vec<MemberUpdate> {
        self.table.live_replicas()
    }

    /// The other gateways that are not dead.
    pub fn live_gateways(&self) -> Vec<MemberUpdate> {
        self.table.other_live_gateways()
    }

    /// The number of other gateways that are not dead.
    pub fn other_gateway_count(&self) -> usize {
        self.table.other_gateway_count()
    }

    /// Counts the other nodes that are not dead and not known to read the newest version of the protocol. Such a node
    /// runs an older build, or has not answered a probe yet.
    pub fn count_nodes_not_on_newest_protocol(&self) -> usize {
        self.table.count_nodes_not_on_newest_protocol()
    }

    /// Returns another gateway for which `fits` returns true, or none if there is no such gateway. Prefers `preferred`,
    /// and otherwise picks a random one.
    pub fn pick_gateway(
        &self,
        preferred: Option<NodeId>,
        fits: impl Fn(&MemberUpdate) -> bool,
    ) -> Option<MemberUpdate> {
        self.table.pick_gateway(preferred, fits)
    }

    /// The other gateways that are not dead, as a load report distinguishes them.
    pub fn load_sharing_peers(&self) -> Peers {
        self.table.load_sharing_peers()
    }

    /// A random number below `limit`.
    pub fn random_below(&self, limit: usize) -> usize {
        self.table.random_below(limit)
    }

    /// Sends a datagram to the given nodes.
    pub fn send_to(&self, nodes: &[NodeId], message: &Message) {
        self.table.send_to(nodes, message);
    }

    /// Starts the tasks that receive datagrams, discover members and announce changes of the view. Then runs the SWIM
    /// state machine and never returns.
    pub async fn run(self: Arc<Self>) {
        tokio::spawn(self.clone().receive_messages());
        let discovering = self.clone();
        tokio::spawn(async move { discovering.discovery.run().await });
        tokio::spawn(self.clone().announce_view_changes());
        loop {
            self.table.tick(self.view.get().revision());
            tokio::time::sleep(TICK_PERIOD).await;
        }
    }

    /// Sends store updates to other nodes and decides repeatedly whether this node watches the store itself. Never
    /// returns.
    pub async fn send_store_updates(self: Arc<Self>) {
        self.store_updates.run().await;
    }

    async fn receive_messages(self: Arc<Self>) {
        loop {
            let envelope = self.table.receive_message().await;
            self.on_message(envelope.from, envelope.version, envelope.message);
        }
    }

    fn on_message(&self, from: NodeId, version: u8, message: Message) {
        match message {
            Message::LoadReport(report) => {
                self.loads.record_report(from, &report.loads, &report.unreachable);
            }
            Message::StoreUpdate(update) => self.store_updates.handle_update(from, version, update),
            membership_message => {
                self.table.on_message(from, version, membership_message);
                let Some(sender) = self.table.find_member(from) else { return };
                self.view_pulls.pull_view_if_behind(sender, self.watcher_role.times().update_period);
            }
        }
    }

    /// Pulls the view from a random replica, in this node's zone if there is one. Returns whether the replica answered.
    pub async fn pull_view_from_replica(&self) -> bool {
        let own_zone = self.table.own_member().zone;
        let mut replicas = self.live_replicas();
        if replicas.iter().any(|replica| replica.zone == own_zone) {
            replicas.retain(|replica| replica.zone == own_zone);
        }
        let index = self.table.random_below(replicas.len());
        let Some(address) = replicas.get(index).and_then(|replica| member_socket_address(&replica.address)) else {
            return false;
        };
        self.view_pulls.pull_view_from(address).await.is_ok()
    }

    /// Probes some members as soon as the view changes, if this node watches the store. Without these probes, the
    /// members would learn of the change later, by regular probes and store updates.
    async fn announce_view_changes(self: Arc<Self>) {
        let mut changed = self.view.subscribe();
        let mut announced = 0;
        while changed.changed().await.is_ok() {
            let revision = self.view.get().revision();
            if revision <= announced || !self.watcher_role.must_watch() {
                continue;
            }
            announced = revision;
            let mut alive = self.table.other_live_members();
            for _ in 0..ANNOUNCED_MEMBERS.min(alive.len()) {
                let index = self.table.random_below(alive.len());
                let member = alive.swap_remove(index);
                if member.config_revision < revision {
                    self.table.announce_revision(member.node, self.view.get().revision());
                }
            }
        }
    }
}
