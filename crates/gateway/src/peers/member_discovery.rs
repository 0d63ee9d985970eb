//! Finds the other nodes: pulls the list of members from the seeds first, and later regularly from a known member.

use crate::locks::lock;
use crate::logging::part;
use crate::peers::addresses::member_socket_address;
use crate::peers::member_table::MemberTable;
use crate::peers::rpc_client::RpcClient;
use crate::peers::view_pulls::ViewPulls;
use foxnotch_wire::{MemberUpdate, RpcBody};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two rounds of pulls from the seeds while no other live member is known.
const SEED_RETRY_PERIOD: Duration = Duration::from_millis(500);
/// Pauses after the first pulls of the list of members. They are short because nodes that start together know few of
/// the others at first.
const FIRST_PULL_PAUSES: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_millis(1500), Duration::from_secs(6)];
/// Time between two later pulls of the list of members.
const MEMBER_PULL_PERIOD: Duration = Duration::from_secs(20);
/// Timeout of one pull of the list of members.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Finds members and adds them to the member table.
pub(super) struct MemberDiscovery {
    table: Arc<MemberTable>,
    client: Arc<RpcClient>,
    view_pulls: Arc<ViewPulls>,
    seeds: Mutex<Vec<SocketAddr>>,
    /// The port for node-to-node traffic, the same on all machines.
    peer_port: u16,
    started_at: Instant,
}

impl MemberDiscovery {
    /// Creates a discovery that has pulled nothing yet; [`Self::run`] starts its pulls.
    pub(super) fn new(
        table: Arc<MemberTable>,
        client: Arc<RpcClient>,
        view_pulls: Arc<ViewPulls>,
        seeds: Vec<SocketAddr>,
        peer_port: u16,
    ) -> Self {
        Self { table, client, view_pulls, seeds: Mutex::new(seeds), peer_port, started_at: Instant::now() }
    }

    /// Replaces the seeds.
    pub(super) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = seeds;
    }

    /// Pulls the list of members and the view, regularly, and never returns.
    pub(super) async fn run(&self) {
        let mut pauses = FIRST_PULL_PAUSES.into_iter();
        loop {
            let alive = self.table.other_live_members();
            if alive.is_empty() {
                for address in self.seed_addresses() {
                    self.pull_members(address).await;
                }
            } else if let Some(address) = self.pick_source(&alive) {
                self.pull_members(address).await;
            }
            let is_alone = self.table.other_live_members().is_empty();
            let pause = if is_alone { SEED_RETRY_PERIOD } else { pauses.next().unwrap_or(MEMBER_PULL_PERIOD) };
            tokio::time::sleep(pause).await;
        }
    }

    /// The address of the node to pull from. While this node is new, that is a random live seed if there is one: all
    /// starting nodes pull from the seeds, so the seeds know them first. Otherwise it is a random live member.
    fn pick_source(&self, alive: &[MemberUpdate]) -> Option<SocketAddr> {
        let is_new = self.started_at.elapsed() < FIRST_PULL_PAUSES.iter().sum();
        let seeds = self.seed_addresses();
        let addresses: Vec<SocketAddr> =
            alive.iter().filter_map(|member| member_socket_address(&member.address)).collect();
        let mut sources: Vec<SocketAddr> =
            addresses.iter().filter(|address| seeds.contains(address)).copied().collect();
        if !is_new || sources.is_empty() {
            sources = addresses;
        }
        let index = self.table.random_below(sources.len());
        sources.get(index).copied()
    }

    /// The seeds' addresses for node-to-node traffic, without this node's own.
    fn seed_addresses(&self) -> Vec<SocketAddr> {
        let seeds = lock(&self.seeds).clone();
        let own = member_socket_address(&self.table.own_member().address);
        let addresses = seeds.into_iter().map(|seed| SocketAddr::new(seed.ip(), self.peer_port));
        addresses.filter(|address| Some(*address) != own).collect()
    }

    async fn pull_members(&self, address: SocketAddr) {
        let body = RpcBody::PullMembers(self.table.own_member());
        let Ok(RpcBody::Members(list)) = self.client.call(address, body, PULL_TIMEOUT).await else {
            // The node may be down, or a seed's address may be stale. A later pull may ask another node.
            return;
        };
        self.table.merge_members(&list.members);
        // `ViewPulls::pull` logs a failure. Store updates later lead to another pull of the missing parts.
        let _ = self.view_pulls.pull_view_from(address).await;
        log::debug!(
            target: part::PEER,
            "Pulled the list of members from {address}: {} members.",
            list.members.len(),
        );
    }
}
