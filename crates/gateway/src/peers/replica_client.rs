//! Calls replicas directly or, if the direct path is silent, through another gateway as a relay.
//!
//! A gateway may lose its connections to replicas while it still reaches other gateways, which reach the replicas. All
//! requests to replicas are idempotent, so sending one on both paths costs one more message and does no harm.

use crate::engines::round_trips::GatewayDistances;
use crate::locks::lock;
use crate::logging::part;
use crate::metrics::Metrics;
use crate::peers::addresses::{member_socket_address, replica_socket_address};
use crate::peers::direct_paths::DirectPaths;
use crate::peers::members::Members;
use crate::peers::rpc_client::{RpcClient, RpcError};
use foxnotch_turns::zone_regions::ZoneRegions;
use foxnotch_wire::{
    decode_rpc, encode_rpc, text_regions, Content, MemberUpdate, NodeId, RegionId, RelayRequest, ReplicaMember,
    ReplicaSet, ReplicaStanding, RpcBody, StoreEntries, StoreEntry, Stored, TurnEntry,
};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of one relayed call.
const RELAY_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of gateways that are asked to relay one request, one after the other.
const MAX_RELAYS: usize = 3;

/// Selects the gateways through which requests are relayed.
pub struct RelayGateways {
    members: Arc<Members>,
    /// This gateway's zone, as a hash of the zone's name.
    zone: u32,
    /// The region of each zone.
    regions: ZoneRegions,
    /// The last gateway that relayed an answer; none after it has failed to relay one.
    preferred: Mutex<Option<NodeId>>,
}

/// The gateways that may relay a request and its answer. Text that is restricted to regions must not pass through
/// gateways in other regions.
enum RelayScope<'a> {
    /// Any gateway: the request carries no text that is restricted to regions.
    Any,
    /// Gateways in these regions or in this gateway's own region: the request carries text that is restricted to these
    /// regions.
    Regions(&'a [RegionId]),
    /// Gateways in this gateway's own region: the answer may carry text whose regions are not known yet.
    OwnRegionOnly,
}

fn relay_scope_of(body: &RpcBody) -> RelayScope<'_> {
    match body {
        RpcBody::StoreEntry(request) => relay_scope_of_entries(std::slice::from_ref(&request.entry)),
        RpcBody::StoreEntries(request) => relay_scope_of_entries(&request.entries),
        RpcBody::ReadChain(_) => RelayScope::OwnRegionOnly,
        _ => RelayScope::Any,
    }
}

fn relay_scope_of_entries(entries: &[TurnEntry]) -> RelayScope<'_> {
    match text_regions(entries) {
        [] => RelayScope::Any,
        regions => RelayScope::Regions(regions),
    }
}

impl RelayGateways {
    /// Creates a selector of gateways among `members`. The regions of zones are unknown until [`Self::with_regions`]
    /// sets them.
    pub fn new(members: Arc<Members>) -> Self {
        Self { members, zone: 0, regions: ZoneRegions::default(), preferred: Mutex::default() }
    }

    /// Sets the regions of all zones, and the hash of this gateway's zone.
    pub fn with_regions(mut self, zone: u32, regions: ZoneRegions) -> Self {
        self.zone = zone;
        self.regions = regions;
        self
    }

    /// Returns a gateway that may relay in this scope and is not in `tried`; none if there is no such gateway. Prefers
    /// the gateway that relayed last, and otherwise picks a random one.
    fn pick_relay(&self, tried: &[NodeId], scope: &RelayScope<'_>) -> Option<MemberUpdate> {
        let preferred = *lock(&self.preferred);
        self.members.pick_gateway(preferred, |gateway| {
            let may_pass = match scope {
                RelayScope::Any => true,
                RelayScope::OwnRegionOnly => self.regions.may_forward_through(gateway.zone, self.zone, &[]),
                RelayScope::Regions(regions) => self.regions.may_forward_through(gateway.zone, self.zone, regions),
            };
            may_pass && !tried.contains(&gateway.node)
        })
    }
}

/// Calls replicas, through relays where the direct path is silent.
pub struct ReplicaClient {
    client: Arc<RpcClient>,
    paths: Mutex<DirectPaths>,
    relays: Option<RelayGateways>,
    metrics: Arc<Metrics>,
    round_trips: Option<Arc<GatewayDistances>>,
}

impl ReplicaClient {
    /// Creates a client that calls replicas only directly.
    pub fn without_relays(client: Arc<RpcClient>) -> Self {
        Self { client, paths: Mutex::default(), relays: None, metrics: Arc::default(), round_trips: None }
    }

    /// Enables calls through other gateways.
    pub fn with_relays(mut self, relays: RelayGateways) -> Self {
        self.relays = Some(relays);
        self
    }

    /// Counts relayed answers in these metrics.
    pub fn with_metrics(mut self, metrics: Arc<Metrics>) -> Self {
        self.metrics = metrics;
        self
    }

    /// Records the round trips of direct answers in `round_trips`.
    pub fn with_round_trips(mut self, round_trips: Arc<GatewayDistances>) -> Self {
        self.round_trips = Some(round_trips);
        self
    }

    /// Sends an idempotent request and returns the first answer, direct or relayed. The replica may get the request
    /// twice.
    ///
    /// # Errors
    /// Any [`RpcError`] of the direct path; [`RpcError::Unreachable`] if only relays were tried and none answered.
    pub async fn call(&self, replica: &ReplicaMember, body: RpcBody, within: Duration) -> Result<RpcBody, RpcError> {
        let Some(relays) = &self.relays else {
            return self.call_directly(replica, body, within).await;
        };
        let begun_at = Instant::now();
        let plan = lock(&self.paths).plan_call(replica.node, begun_at);
        let direct = async {
            if !plan.direct {
                pending::<()>().await;
            }
            self.call_directly(replica, body.clone(), within).await
        };
        let relayed = async {
            // A path is not silent while bytes arrive on it, even if they are only a part of a long answer.
            self.client.wait_until_silent(replica_socket_address(replica), plan.relay_after).await;
            self.call_through_relays(relays, replica, &body, begun_at + within).await
        };
        tokio::pin!(direct, relayed);
        let mut relays_failed = false;
        loop {
            tokio::select! {
                answer = &mut direct => {
                    self.record_direct_answer(replica, &answer, begun_at);
                    return answer;
                }
                answer = &mut relayed, if !relays_failed => match answer {
                    Some(answer) => {
                        self.record_relayed_answer(replica.node, begun_at);
                        return Ok(answer);
                    }
                    None if plan.direct => relays_failed = true,
                    None => return Err(RpcError::Unreachable(replica_socket_address(replica))),
                }
            }
        }
    }

    /// Calls a replica directly. A replica of an older build, which cannot read a write of several entries, gets one
    /// write for each entry.
    async fn call_directly(
        &self,
        replica: &ReplicaMember,
        body: RpcBody,
        within: Duration,
    ) -> Result<RpcBody, RpcError> {
        let address = replica_socket_address(replica);
        let RpcBody::StoreEntries(write) = body else {
            return self.client.call(address, body, within).await;
        };
        let begun_at = Instant::now();
        if !self.client.runs_older_build(address) {
            match self.client.call(address, RpcBody::StoreEntries(write.clone()), within).await {
                Err(RpcError::UnsupportedByNode(_)) => {}
                answer => return answer,
            }
        }
        self.store_entries_one_by_one(address, write, begun_at + within).await
    }

    /// Writes the entries one after the other, in their order. Returns the merged answers (see [`merge_answers`]), or
    /// the first answer that is not [`RpcBody::Stored`].
    async fn store_entries_one_by_one(
        &self,
        address: SocketAddr,
        write: StoreEntries,
        deadline: Instant,
    ) -> Result<RpcBody, RpcError> {
        let mut merged: Option<Stored> = None;
        for entry in write.entries {
            let time_left = deadline.saturating_duration_since(Instant::now());
            let request = StoreEntry { set_version: write.set_version, entry };
            let answer = self.client.call(address, RpcBody::StoreEntry(request), time_left).await?;
            let RpcBody::Stored(stored) = answer else { return Ok(answer) };
            merged = Some(match merged {
                None => stored,
                Some(before) => merge_answers(before, stored),
            });
        }
        Ok(merged.map_or(RpcBody::NotServed, RpcBody::Stored))
    }

    fn record_direct_answer(&self, replica: &ReplicaMember, answer: &Result<RpcBody, RpcError>, begun_at: Instant) {
        if answer.is_err() {
            return;
        }
        if let Some(round_trips) = &self.round_trips {
            round_trips.record_replica_answer_time(replica.zone, begun_at.elapsed());
        }
        if lock(&self.paths).record_answer(replica.node, begun_at.elapsed()) {
            let replica = replica.node;
            log::info!(
                target: part::PEER,
                "Replica {replica} answers directly again, no longer only through another gateway (`after` is the \
                 duration of the call): after={:?}.",
                begun_at.elapsed(),
            );
        }
    }

    fn record_relayed_answer(&self, replica: NodeId, begun_at: Instant) {
        self.metrics.relayed_answers.inc();
        if lock(&self.paths).record_silence(replica, Instant::now()) {
            log::warn!(
                target: part::PEER,
                "Replica {replica} does not answer directly, only through another gateway; check the network between \
                 this node and the replica (`after` is the duration of the call): after={:?}.",
                begun_at.elapsed(),
            );
        }
    }

    /// Calls the replica through other gateways, one after the other, until one returns its answer. Returns none after
    /// [`MAX_RELAYS`] gateways have failed, or earlier if no other gateway may relay.
    async fn call_through_relays(
        &self,
        relays: &RelayGateways,
        replica: &ReplicaMember,
        body: &RpcBody,
        deadline: Instant,
    ) -> Option<RpcBody> {
        let request = encode_rpc(self.client.own_node(), 0, body.clone()).ok()?;
        let scope = relay_scope_of(body);
        let mut tried = Vec::new();
        while tried.len() < MAX_RELAYS {
            let time_left = deadline.saturating_duration_since(Instant::now()).min(RELAY_TIMEOUT);
            let relay = relays.pick_relay(&tried, &scope)?;
            tried.push(relay.node);
            let within_ms = u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX);
            let request = RelayRequest { replica: replica.node, within_ms, request: Content::from(request.clone()) };
            let address = member_socket_address(&relay.address)?;
            let answer = self.client.call(address, RpcBody::Relay(request), time_left).await;
            let relayed = match answer {
                Ok(RpcBody::Relayed(answer)) => decode_rpc(&answer.bytes).ok(),
                _ => None,
            };
            if let Some(message) = relayed {
                *lock(&relays.preferred) = Some(relay.node);
                return Some(message.body);
            }
            lock(&relays.preferred).take_if(|preferred| *preferred == relay.node);
        }
        None
    }

    /// Forwards another gateway's request to a replica of `set`, on the direct path only.
    pub async fn answer_relay(&self, set: &ReplicaSet, relay: RelayRequest) -> RpcBody {
        self.forward_to_replica(set, &relay)
            .await
            .map_or(RpcBody::Unreached, |answer| RpcBody::Relayed(Content::from(answer)))
    }

    async fn forward_to_replica(&self, set: &ReplicaSet, relay: &RelayRequest) -> Option<Vec<u8>> {
        let replica = set.members.iter().find(|member| member.node == relay.replica)?;
        if lock(&self.paths).is_silent(replica.node) {
            return None;
        }
        let request = decode_rpc(&relay.request.bytes).ok()?;
        if !may_be_relayed(&request.body) {
            return None;
        }
        let within = Duration::from_millis(relay.within_ms.into()).min(RELAY_TIMEOUT);
        let answer = self.call_directly(replica, request.body, within).await.ok()?;
        encode_rpc(replica.node, 0, answer).ok()
    }
}

/// Merges the answers to two writes. The result has the charges and run locations of both answers. If the first answer
/// does not count toward quorums, the result has the first answer's report, otherwise the second answer's. So the
/// result counts toward quorums only if both answers do.
fn merge_answers(mut first: Stored, second: Stored) -> Stored {
    if first.report.standing == ReplicaStanding::Counts {
        first.report = second.report;
    }
    first.charges.extend(second.charges);
    first.run_locations.extend(second.run_locations);
    first
}

/// Whether a gateway relays this request. Only requests that gateways send to replicas are relayed.
fn may_be_relayed(body: &RpcBody) -> bool {
    matches!(
        body,
        RpcBody::StoreEntry(_)
            | RpcBody::StoreEntries(_)
            | RpcBody::ReadProgram(_)
            | RpcBody::ReadChain(_)
            | RpcBody::AdoptSet(_)
            | RpcBody::TakeQuota(_)
            | RpcBody::TakeColdPermit(_)
    )
}
