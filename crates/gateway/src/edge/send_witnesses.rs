//! Lets other gateways hold the records of a request's sends in memory, so that they outlive the gateway that sends.
//!
//! The witnesses of a request are the two gateways that rank first by a hash of request and gateway. All gateways rank
//! alike, so the next attempt of the request asks the same two, whichever gateway gets it. A witness that does not answer
//! is replaced by the next in rank.
//!
//! Witnesses are asked by the message that stores entries on a replica, and answer like a replica with the request's
//! records. Gateways of older builds answer that they do not serve it.

use crate::edge::suspect_exchange::NO_REPLICA_SET;
use crate::locks::lock;
use crate::peers::addresses::member_socket_address;
use crate::peers::members::Members;
use crate::peers::rpc_client::{RpcClient, RpcError};
use foxnotch_turns::witness_choice::{rank_witnesses, silent_last};
use foxnotch_wire::{
    MemberAddress, NodeId, ProgramKey, ReplicaStanding, RpcBody, RunLocation, StoreEntries, Stored, TurnEntry,
};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of other gateways that hold the record of a send: the gateway that sends and one of them may fail at once.
const WITNESSES: usize = 2;
/// Time after which the next gateways in rank are asked as well. A healthy gateway answers within a round trip.
const NEXT_WITNESS_DELAY: Duration = Duration::from_millis(25);
/// Number of times that the next gateways are asked.
const MAX_ROUNDS: usize = 4;
/// Time limit for one gateway's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a gateway that did not answer is ranked last.
const SILENCE_PAUSE: Duration = Duration::from_secs(1);
/// Time for which a gateway that does not serve as a witness is not asked: it runs an older build, or has no room.
const NOT_SERVED_PAUSE: Duration = Duration::from_secs(1);
/// Time limit for telling a witness how a send ended.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a gateway is not asked at first, and until when.
#[derive(Clone, Copy)]
enum Pause {
    Silent(Instant),
    NotServed(Instant),
}

/// The gateways that were asked to hold a record, and what they know of the request.
pub(super) struct WitnessAnswers {
    /// The gateways that may hold the record, also those that have not answered.
    pub(super) asked: Vec<SocketAddr>,
    /// Number of gateways that hold the record and all earlier ones.
    pub(super) held_by: usize,
    /// Whether a gateway holds the record that has just started, and may lack earlier ones.
    pub(super) has_starting: bool,
    /// Whether a gateway that ranks first does not hold the record, so that the next attempt may ask others.
    pub(super) has_replaced: bool,
    /// The records of the request that they hold.
    pub(super) locations: Vec<RunLocation>,
}

/// Asks other gateways to hold records.
pub(super) struct SendWitnesses {
    members: Arc<Members>,
    client: Arc<RpcClient>,
    /// Numbers of the zones of this gateway's region; `None` when the deployment has only one region.
    region_zones: Option<HashSet<u8>>,
    pauses: Mutex<HashMap<NodeId, Pause>>,
}

impl SendWitnesses {
    /// Creates a client without pauses.
    pub(super) fn new(members: Arc<Members>, client: Arc<RpcClient>, region_zones: Option<HashSet<u8>>) -> Self {
        Self { members, client, region_zones, pauses: Mutex::default() }
    }

    /// Stores entries of a request's records at its witnesses.
    pub(super) async fn store(&self, program: ProgramKey, entries: &[TurnEntry]) -> WitnessAnswers {
        let gateways = self.possible_witnesses();
        let ranked = rank_witnesses(program, &gateways.keys().copied().collect::<Vec<_>>());
        let first: Vec<NodeId> = ranked.iter().copied().take(WITNESSES).collect();
        let mut waiting = self.silent_last(ranked).into_iter();
        let mut answers = WitnessAnswers {
            asked: Vec::new(),
            held_by: 0,
            has_starting: false,
            has_replaced: false,
            locations: Vec::new(),
        };
        let mut holders = HashSet::new();
        let mut requests = FuturesUnordered::new();
        for _ in 0..MAX_ROUNDS {
            let missing = WITNESSES - answers.held_by;
            for node in waiting.by_ref().take(missing) {
                let Some(address) = gateways.get(&node).and_then(member_socket_address) else { continue };
                answers.asked.push(address);
                requests.push(self.ask(node, address, entries.to_vec()));
            }
            let round = async {
                while let Some(answer) = requests.next().await {
                    let Some(Stored { report, run_locations, .. }) = answer else { continue };
                    holders.insert(report.own.node);
                    let is_complete = report.standing == ReplicaStanding::Counts;
                    answers.held_by += usize::from(is_complete);
                    answers.has_starting |= !is_complete;
                    answers.locations.extend(run_locations);
                    if answers.held_by == WITNESSES {
                        return;
                    }
                }
            };
            let _ = tokio::time::timeout(NEXT_WITNESS_DELAY, round).await;
            if answers.held_by == WITNESSES || (requests.is_empty() && waiting.len() == 0) {
                break;
            }
        }
        answers.has_replaced = first.iter().any(|node| !holders.contains(node));
        answers
    }

    /// Tells witnesses in the background how a send ended.
    pub(super) fn tell_outcome(self: &Arc<Self>, asked: Vec<SocketAddr>, entries: Vec<TurnEntry>) {
        for address in asked {
            let (witnesses, entries) = (self.clone(), entries.clone());
            tokio::spawn(async move {
                let request = RpcBody::StoreEntries(StoreEntries { set_version: NO_REPLICA_SET, entries });
                // Without the outcome, the witness counts the send as one that may be lost.
                witnesses.client.call(address, request, OUTCOME_TIMEOUT).await.ok()
            });
        }
    }

    /// Asks one gateway to hold records. Returns what it knows of the request; `None` if it does not hold them.
    async fn ask(&self, node: NodeId, address: SocketAddr, entries: Vec<TurnEntry>) -> Option<Stored> {
        let request = RpcBody::StoreEntries(StoreEntries { set_version: NO_REPLICA_SET, entries });
        match self.client.call(address, request, ANSWER_TIMEOUT).await {
            Ok(RpcBody::Stored(stored)) => Some(stored),
            Ok(_) | Err(RpcError::UnsupportedByNode(_) | RpcError::EncodingFailed(_)) => {
                self.pause(node, Pause::NotServed(Instant::now() + NOT_SERVED_PAUSE));
                None
            }
            Err(RpcError::Unreachable(_) | RpcError::TimedOut(_)) => {
                self.pause(node, Pause::Silent(Instant::now() + SILENCE_PAUSE));
                None
            }
        }
    }

    fn pause(&self, node: NodeId, pause: Pause) {
        lock(&self.pauses).insert(node, pause);
    }

    /// The addresses of the gateways that may be witnesses, those that did not answer a moment ago included.
    fn possible_witnesses(&self) -> HashMap<NodeId, MemberAddress> {
        let now = Instant::now();
        let mut pauses = lock(&self.pauses);
        pauses.retain(|_, pause| matches!(pause, Pause::Silent(until) | Pause::NotServed(until) if now < *until));
        let is_in_region = |zone: u8| self.region_zones.as_ref().is_none_or(|zones| zones.contains(&zone));
        let serves = |node: NodeId| !matches!(pauses.get(&node), Some(Pause::NotServed(_)));
        let gateways = self.members.live_gateways().into_iter();
        let possible = gateways.filter(|gateway| is_in_region(gateway.zone) && serves(gateway.node));
        possible.map(|gateway| (gateway.node, gateway.address)).collect()
    }

    fn silent_last(&self, ranked: Vec<NodeId>) -> Vec<NodeId> {
        let pauses = lock(&self.pauses);
        silent_last(ranked, |node| pauses.contains_key(&node))
    }
}
