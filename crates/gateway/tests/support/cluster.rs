//! Runs real replicas in the test's process with a stub of the platform's store.
//!
//! Each replica has its own runtime with one worker thread, its own loopback address and its own data folder, so that a
//! test can kill, freeze or wipe it alone. A killed replica runs no code any more; a frozen one keeps its connections
//! open. A cluster also has the client with which a gateway stores turns, for tests without a gateway. If the
//! environment variable SHOW_LOGS is set, the log goes to standard output.

use crate::support::store::StubStore;
use foxnotch_gateway::buffer_budget::BufferBudget;
use foxnotch_gateway::edge::turn_cache::TurnCache;
use foxnotch_gateway::edge::turns::TurnClient;
use foxnotch_gateway::peers::replica_client::ReplicaClient;
use foxnotch_gateway::peers::rpc_client::RpcClient;
use foxnotch_gateway::peers::view::{Origin, ViewHolder};
use foxnotch_gateway::replica::process;
use foxnotch_gateway::settings::{ProcessSettings, ReplicaSettings, ResourceSettings, TimeSettings, ToleranceSettings};
use foxnotch_turns::identity::{node_id, zone_hash};
use foxnotch_turns::replica_set::Tolerance;
use foxnotch_wire::{
    Content, DiskIdentity, FetchEntries, ListMarks, NodeId, ProgramKey, ReplicaSet, ReplicaSetUpdate, RpcBody,
    StoreEntry, TurnEntry, TurnId, TurnRecord, NOT_SETTLED,
};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};

/// The port at which every node accepts connections of other nodes.
pub const PEER_PORT: u16 = 7380;
/// Maximum time that a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The zones and regions of a cluster's nodes.
#[derive(Clone, Copy)]
pub struct ZoneLayout {
    /// Returns the zone of the node with the given number.
    pub of_node: fn(u8) -> &'static str,
    /// Each zone and its region.
    pub regions: &'static [(&'static str, &'static str)],
}

/// One zone and no regions.
const ONE_ZONE: ZoneLayout = ZoneLayout { of_node: |_| "a", regions: &[] };

impl ZoneLayout {
    fn zone_names(self) -> Vec<String> {
        if self.regions.is_empty() {
            return vec!["a".to_owned()];
        }
        self.regions.iter().map(|(zone, _)| (*zone).to_owned()).collect()
    }

    /// Returns each zone with its region.
    fn zone_regions(self) -> BTreeMap<String, String> {
        self.regions.iter().map(|(zone, region)| ((*zone).to_owned(), (*region).to_owned())).collect()
    }
}

struct RunningReplica {
    runtime: Runtime,
}

/// A replica that executes nothing, like a process that gets no CPU time. Dropping this resumes it.
pub struct FrozenReplica {
    _resume: std::sync::mpsc::Sender<()>,
}

/// Replicas, a stub of the store, and a gateway's client for storing turns.
pub struct Cluster {
    /// The stub of the platform's store.
    pub store: StubStore,
    /// The client with which a gateway stores and reads turns.
    pub turn_client: Arc<TurnClient>,
    /// The view that `turn_client` uses.
    pub view: Arc<ViewHolder>,
    client: Arc<RpcClient>,
    /// Third byte of the loopback addresses, which separates tests that run at the same time.
    net: u8,
    folder: TempDir,
    set_size: Option<usize>,
    zones: ZoneLayout,
    /// Number of machines that may be lost at the same time and that the deployment has to tolerate.
    tolerated_losses: usize,
    running: BTreeMap<u8, RunningReplica>,
}

/// Returns the node name of the replica with this number.
pub fn name(number: u8) -> String {
    format!("replica-{number}")
}

/// Waits until `holds` returns true, and panics after [`WAIT_TIMEOUT`]. `condition` describes the awaited
/// condition in the panic message.
pub async fn eventually(condition: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting until {condition}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the entry of a completed turn of program 7.
pub fn turn(number: u128, previous: u128, input: &str) -> TurnEntry {
    let record = TurnRecord {
        previous: TurnId(previous),
        engine: 7,
        regions: Vec::new(),
        input: Content::from(input.as_bytes().to_vec()),
        output: Content::from(b"out\n".to_vec()),
    };
    TurnEntry { used: 5, record: vec![record], ..reservation(number, 7, 80) }
}

/// Returns the entry that reserves tokens for a turn before it runs.
pub fn reservation(number: u128, program: u64, tokens: u32) -> TurnEntry {
    TurnEntry {
        turn: TurnId(number),
        program: ProgramKey(program),
        retention_ms: 60_000,
        reserved: tokens,
        used: NOT_SETTLED,
        run_location: None,
        elsewhere: None,
        record: Vec::new(),
    }
}

impl Cluster {
    /// Starts a new deployment with `replicas` replicas in one zone and waits until all are members of the set. `net`
    /// is the third byte of its loopback addresses and has to be unique within the test binary.
    pub async fn start(net: u8, replicas: u8) -> Self {
        Self::start_in(net, replicas, ONE_ZONE).await
    }

    /// Like [`Cluster::start`], with the nodes in several zones.
    pub async fn start_in(net: u8, replicas: u8, zones: ZoneLayout) -> Self {
        let cluster = Self::launch_in(net, replicas, Some(usize::from(replicas)), zones);
        cluster.wait_for_members(&(1..=replicas).collect::<Vec<_>>()).await;
        cluster
    }

    /// Starts a new deployment whose replica set has `set_size` members, or the fewest that the tolerance allows if
    /// `set_size` is `None`. Does not wait until the set is complete.
    pub fn launch(net: u8, replicas: u8, set_size: Option<usize>) -> Self {
        Self::launch_in(net, replicas, set_size, ONE_ZONE)
    }

    /// Like [`Cluster::launch`], with the nodes in several zones.
    pub fn launch_in(net: u8, replicas: u8, set_size: Option<usize>, zones: ZoneLayout) -> Self {
        Self::launch_tolerating(net, replicas, set_size, zones, 1)
    }

    /// Like [`Cluster::start`], for a deployment that has to tolerate the simultaneous loss of `tolerated_losses`
    /// machines.
    pub async fn start_tolerating(net: u8, replicas: u8, tolerated_losses: usize) -> Self {
        let cluster = Self::launch_tolerating(net, replicas, Some(usize::from(replicas)), ONE_ZONE, tolerated_losses);
        cluster.wait_for_members(&(1..=replicas).collect::<Vec<_>>()).await;
        cluster
    }

    fn launch_tolerating(
        net: u8,
        replicas: u8,
        set_size: Option<usize>,
        zones: ZoneLayout,
        tolerated_losses: usize,
    ) -> Self {
        if std::env::var_os("SHOW_LOGS").is_some() {
            // Fails for all clusters of a process but the first, since a process has one logger.
            let _ = foxnotch_gateway::logging::start("info");
        }
        let store = StubStore::default();
        let view = Arc::new(ViewHolder::default());
        let client = Arc::new(RpcClient::new(NodeId(1)));
        let cache = TurnCache::new(0);
        let turn_client = Arc::new(TurnClient::new(
            Arc::new(ReplicaClient::without_relays(client.clone())),
            view.clone(),
            cache,
            zone_hash("a"),
            Tolerance { machines: tolerated_losses, zones: 0 },
        ));
        let folder = TempDir::new().expect("a folder can be created");
        let mut cluster = Self {
            store,
            turn_client,
            view,
            client,
            net,
            folder,
            set_size,
            zones,
            tolerated_losses,
            running: BTreeMap::new(),
        };
        for number in 1..=replicas {
            cluster.start_replica(number, true);
        }
        cluster
    }

    /// Waits until the replica set in the store has `size` members, none of them in `without`. Adopts the set into the
    /// view and returns the members' numbers.
    pub async fn wait_for_member_count(&self, size: usize, without: &[u8]) -> Vec<u8> {
        let excluded: Vec<NodeId> = without.iter().map(|number| node_id(&name(*number))).collect();
        let holds = |members: &[NodeId]| members.len() == size && !members.iter().any(|node| excluded.contains(node));
        eventually(&format!("the set has {size} members, none of them in {without:?}"), || holds(&self.members()))
            .await;
        if let Some(set) = self.store.replica_set() {
            self.view.adopt_set(&set, Origin::Store);
        }
        let members = self.members();
        (1..=20).filter(|number| members.contains(&node_id(&name(*number)))).collect()
    }

    /// Returns the IP address of a node.
    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 77, self.net, number)
    }

    /// Returns the data folder of a replica.
    pub fn data_folder(&self, number: u8) -> PathBuf {
        self.folder.path().join(name(number))
    }

    /// Returns the settings of a node.
    pub fn settings(&self, number: u8, first_start: bool) -> ProcessSettings {
        ProcessSettings {
            policy: Default::default(),
            node: name(number),
            zone: (self.zones.of_node)(number).to_owned(),
            zones: self.zones.zone_names(),
            ip: self.ip(number),
            peer_port: PEER_PORT,
            metrics_port: PEER_PORT + 1,
            caller_address: None,
            readiness_address: None,
            contact_address: None,
            seeds: (1..=4).map(|seed| (self.ip(seed), PEER_PORT).into()).collect(),
            store_address: (self.ip(99), 1).into(),
            first_start,
            data_folder: Some(self.data_folder(number)),
            log_level: "info".to_owned(),
            quota: Default::default(),
            tolerance: ToleranceSettings { machines: self.tolerated_losses, zones: 0 },
            regions: self.zones.zone_regions(),
            slow_start: foxnotch_gateway::settings::SlowStartSettings::default(),
            distance: foxnotch_gateway::settings::DistanceSettings::default(),
            times: TimeSettings { drain_ms: 2000.0, apply_ms: 2000.0, grace_s: 8.0, zone_drain_ms: Some(2000.0) },
            resources: ResourceSettings { memory_mb: 200, descriptors: 4000 },
            replicas: ReplicaSettings { set_size: self.set_size },
        }
    }

    /// Starts a replica with the current content of its data folder.
    pub fn start_replica(&mut self, number: u8, first_start: bool) {
        let settings = self.settings(number, first_start);
        let store = Arc::new(self.store.clone());
        let runtime =
            Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime can be created");
        runtime.spawn(async move {
            let buffers = BufferBudget::of_machine(settings.resources.memory_mb, process::REPLICA_BUFFER_PERCENT);
            if let Err(error) = process::run(settings, PathBuf::new(), store, buffers).await {
                eprintln!("replica {number} failed: {error:#}");
            }
        });
        self.running.insert(number, RunningReplica { runtime });
    }

    /// Kills a replica. None of its code runs any more, and its data folder remains.
    pub fn kill(&mut self, number: u8) {
        if let Some(replica) = self.running.remove(&number) {
            tokio::task::block_in_place(|| replica.runtime.shutdown_timeout(Duration::from_secs(5)));
        }
    }

    /// Suspends a replica, with its connections open, until the result is dropped. Returns once the replica is
    /// suspended.
    pub async fn freeze(&self, number: u8) -> FrozenReplica {
        let replica = self.running.get(&number).expect("the replica runs");
        let (resume, resumed) = std::sync::mpsc::channel::<()>();
        let (stopped, is_stopped) = tokio::sync::oneshot::channel();
        replica.runtime.spawn(async move {
            // The receiver is gone if the test has ended.
            let _ = stopped.send(());
            // Blocks the replica's only worker thread until the sender is dropped. Nothing is ever sent.
            let _ = resumed.recv();
        });
        is_stopped.await.expect("the replica runs");
        FrozenReplica { _resume: resume }
    }

    /// Kills a replica and deletes its data folder.
    pub fn wipe(&mut self, number: u8) {
        self.kill(number);
        std::fs::remove_dir_all(self.data_folder(number)).expect("the folder can be removed");
    }

    /// Waits until a replica reports that it holds all entries that it has to hold.
    pub async fn wait_until_complete(&self, number: u8) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let address = self.peer_address(number);
        let own = DiskIdentity { node: NodeId(1), disk: 1 };
        loop {
            let request = RpcBody::ListMarks(ListMarks { own, set: ReplicaSet::default() });
            let answer = self.client.call(address, request, Duration::from_secs(1)).await;
            if matches!(answer, Ok(RpcBody::Marks(marks)) if marks.complete == 1) {
                return;
            }
            assert!(Instant::now() < deadline, "replica {number} did not become complete in time");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the address at which a node accepts connections of other nodes.
    pub fn peer_address(&self, number: u8) -> SocketAddr {
        (self.ip(number), PEER_PORT).into()
    }

    /// Returns the value of a node's metric, or `None` if the node does not serve it.
    pub async fn metric(&self, number: u8, name: &str) -> Option<u64> {
        let mut stream = TcpStream::connect((self.ip(number), PEER_PORT + 1)).await.ok()?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n").await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        let line = text.lines().find(|line| line.starts_with(&format!("foxnotch_{name} ")))?;
        line.split(' ').nth(1)?.parse().ok()
    }

    /// Returns whether a replica holds a turn.
    pub async fn holds(&self, number: u8, turn: u128) -> bool {
        self.fetch(number, "a", turn).await.is_some()
    }

    /// Fetches a turn's entry from a replica, like another replica in `zone` that is missing the entry. Returns `None`
    /// if the asked replica has no entry of the turn or does not answer.
    pub async fn fetch(&self, number: u8, zone: &str, turn: u128) -> Option<TurnEntry> {
        let address = self.peer_address(number);
        let request = RpcBody::FetchEntries(FetchEntries { zone: zone_hash(zone), turns: vec![TurnId(turn)] });
        match self.client.call(address, request, Duration::from_secs(5)).await {
            Ok(RpcBody::Entries(mut entries)) => entries.entries.pop(),
            _ => None,
        }
    }

    /// Waits until these replicas are synced to the set. After that none of them pulls entries from another.
    pub async fn wait_until_synced(&self, numbers: &[u8]) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let set = self.view.replica_set();
        for number in numbers {
            let address = self.peer_address(*number);
            let request = || RpcBody::AdoptSet(ReplicaSetUpdate { set: (*set).clone(), synced: 0 });
            while !matches!(self.client.call(address, request(), Duration::from_secs(1)).await,
                Ok(RpcBody::SetKnown(update)) if update.synced == set.version)
            {
                assert!(Instant::now() < deadline, "replica {number} did not sync to the set in time");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Sends an entry to one replica to store. Returns the replica's answer.
    pub async fn write_entry_to(&self, number: u8, entry: &TurnEntry) -> RpcBody {
        let request = StoreEntry { set_version: self.view.replica_set().version, entry: entry.clone() };
        let answer = self.client.call(self.peer_address(number), RpcBody::StoreEntry(request), Duration::from_secs(5));
        answer.await.expect("the replica answers")
    }

    /// Sends a request to a node. Returns the node's answer.
    pub async fn call_replica(&self, number: u8, body: RpcBody) -> RpcBody {
        let answer = self.client.call(self.peer_address(number), body, Duration::from_secs(5));
        answer.await.expect("the replica answers")
    }

    /// Writes an entry only to these replicas, so that the other replicas are missing it.
    pub async fn write_only_to(&self, numbers: &[u8], entry: &TurnEntry) {
        for number in numbers {
            let answer = self.write_entry_to(*number, entry).await;
            assert!(matches!(answer, RpcBody::Stored(_)), "replica {number} did not store the entry");
        }
    }

    /// Returns the members of the set in the store.
    pub fn members(&self) -> Vec<NodeId> {
        self.store.replica_set().map_or(Vec::new(), |set| set.members.iter().map(|member| member.node).collect())
    }

    /// Waits until the set in the store has exactly these members, and adopts it into the view.
    pub async fn wait_for_members(&self, numbers: &[u8]) {
        let mut wanted: Vec<NodeId> = numbers.iter().map(|number| node_id(&name(*number))).collect();
        wanted.sort();
        eventually(&format!("the members are {numbers:?}"), || self.members() == wanted).await;
        if let Some(set) = self.store.replica_set() {
            self.view.adopt_set(&set, Origin::Store);
        }
    }

    /// Stores a turn, with retries until it succeeds.
    pub async fn store_with_retries(&self, entry: &TurnEntry) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while let Err(error) =
            self.turn_client.store_finished_turn(vec![entry.clone()], Instant::now() + Duration::from_secs(1)).await
        {
            assert!(Instant::now() < deadline, "the turn cannot be stored: {error}");
        }
    }

    /// Reads the inputs of the chain that ends with the turn `newest`, with retries until it can be read.
    pub async fn read_chain_inputs(&self, newest: u128) -> Vec<String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let read_deadline = Instant::now() + Duration::from_secs(1);
            match self.turn_client.fetch_chain(TurnId(newest), read_deadline).await {
                Ok(chain) => {
                    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
                    return chain.iter().map(|(_, record)| text(&record.input.bytes)).collect();
                }
                Err(error) => assert!(Instant::now() < deadline, "turn {newest} cannot be read: {error}"),
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let numbers: Vec<u8> = self.running.keys().copied().collect();
        for number in numbers {
            self.kill(number);
        }
    }
}
