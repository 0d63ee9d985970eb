//! Switches that turn single mechanisms off, to measure the effect of each mechanism. The switches do not change any
//! format on the wire or on disk, so processes with different switches work together.
//!
//! Gateways read all switches except `whole_programs`, which replicas read. `docs/DECIDING.md` lists the measured
//! effects.

use foxnotch_scheduler::quota::Admission;
use serde::Deserialize;

/// The mechanisms that are on. By default, all are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// A turn prefers the engine that ran the program's previous turn. Read by gateways.
    #[serde(rename = "home")]
    pub affinity: bool,
    /// For routes that store no turns, replicas report the engine of the previous turn together with the budget. If
    /// off, a gateway knows only the turns that it sent itself. Read by gateways.
    pub shared_places: bool,
    /// A turn avoids engines that failed earlier turns of its program, including turns that another gateway sent. Read
    /// by gateways.
    pub avoid_failed: bool,
    /// A request to a plain service that may be repeated is sent to another engine when an engine answers with a
    /// failure. A failed turn is always reported to the caller. Read by gateways.
    pub retry_failures: bool,
    /// A gateway remembers which prompt parts it has sent to which engine. Read by gateways. `learned_prices` needs
    /// this to estimate how many tokens an engine has to read.
    pub known_parts: bool,
    /// Gateways report to each other how many requests they have in flight at the engines. Read by gateways.
    pub shared_loads: bool,
    /// The prices by which engines are compared are learned from requests. If off, fixed prices apply, which fit the
    /// engines of one deployment only. Read by gateways.
    pub learned_prices: bool,
    /// A request to a replica that does not answer directly is sent through another gateway. This helps where a gateway
    /// cannot reach all replicas directly. Read by gateways.
    pub relay: bool,
    /// The cost of an engine rises with the share of its requests that fail, at all gateways together. Read by
    /// gateways.
    pub outliers: bool,
    /// New programs are refused while the engines are full. Read by gateways.
    pub admission_by_load: bool,
    /// While little of a tenant's limit is left, a new program is admitted only if the limit allows all the requests
    /// that the program is expected to make. If off, each request is admitted or refused on its own. Read by replicas,
    /// which grant the shares of a limit.
    pub whole_programs: bool,
    /// When a turn of a program with a budget ends, tokens are reserved for the next turn, so that the next turn need
    /// not wait for a round trip to the replicas. Read by gateways. This helps most with replicas in several regions,
    /// where a ticket arrives within 15 ms and a round trip to a quorum takes longer.
    pub reserve_ahead: bool,
}

impl PolicySettings {
    /// The unit in which a replica admits requests when little of a tenant's limit is left: whole programs or single
    /// requests.
    pub fn quota_admission(&self) -> Admission {
        if self.whole_programs {
            Admission::WholePrograms
        } else {
            Admission::EachRequest
        }
    }
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            affinity: true,
            shared_places: true,
            avoid_failed: true,
            retry_failures: true,
            known_parts: true,
            shared_loads: true,
            learned_prices: true,
            relay: true,
            outliers: true,
            admission_by_load: true,
            whole_programs: true,
            reserve_ahead: true,
        }
    }
}
