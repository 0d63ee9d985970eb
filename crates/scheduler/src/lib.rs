//! Scheduling decisions without I/O, clock or threads: the caller passes in the state and the time, and gets a decision
//! with its reason.
//!
//! `docs/DECISIONS.md` lists the rules in the order in which the gateway applies them to a request, with their
//! constants and refusals. In short:
//!
//! - who may send: [`tenants`] (keys), [`configuration_denial`] (whether a denial is final), [`quota`] (rate limits of
//!   tenants over all gateways together; [`quota::share_selection`] orders the replicas that a gateway asks);
//! - where a request may run: [`topology`] (zones and regions), [`residency`] (allowed regions), [`zone_drain`] (zones
//!   that get no new work), [`reachability`] (engines that cannot be reached), [`eligibility`] (all of these together),
//!   [`stream_version`] (the software version at which a stream may be resumed) with [`version_history`] (the versions
//!   that engines have had);
//! - which engine gets it: [`engine_choice`], by [`cost`], with [`load_sharing`], [`distance`], [`engine_health`] and
//!   [`outliers`]; [`slow_start`] for cold engines;
//! - what happens when engines have too little capacity: [`program_stage`], [`admission`], [`placement_timeout`],
//!   [`retry`];
//! - what a refused caller is sent: [`refusal`] and [`retry_after`].

pub mod admission;
pub mod configuration_denial;
pub mod cost;
pub mod distance;
pub mod eligibility;
pub mod engine_choice;
pub mod engine_health;
pub mod engine_losses;
pub mod load_sharing;
pub mod outliers;
pub mod placement_timeout;
pub mod program_stage;
pub mod quota;
pub mod reachability;
pub mod refusal;
pub mod residency;
pub mod retry;
pub mod retry_after;
pub mod slow_start;
pub mod stream_version;
pub mod tenants;
pub mod topology;
pub mod version_history;
pub mod zone_drain;
