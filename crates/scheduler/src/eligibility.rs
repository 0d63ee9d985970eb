//! Decides whether a request proceeds with the engines to which it may be sent, or is refused because there are none.
//!
//! An engine is a candidate for a request when all of these hold:
//!
//! - the engine accepts work: it is listed, and not as draining;
//! - the engine's zone is not drained, or the program may stay there for now ([`crate::zone_drain`]);
//! - the engine's zone is in an allowed region ([`crate::residency`]);
//! - if the request resumes a stream, the engine has the software version that began it ([`crate::stream_version`]).
//!
//! The gateway chooses only among the candidates that can be reached ([`crate::reachability`]). The gateway determines
//! the candidates again before each send, so a retry takes into account the drains and failures known by then.
//!
//! Unreachable engines are left out because the list of engines may still name engines that are gone, for as long as
//! the platform's store is unavailable. When the gateway also chose such engines, each of them delayed callers by half
//! a second. When their slots counted as capacity, a deployment with 18 of its 45 engines left admitted more than three
//! requests for each slot and served 12 of 100 programs in time.

use crate::quota::ProgramStage;

/// Numbers of engines of a request's service, from which [`CandidateCounts::decide_whether_to_proceed`] decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CandidateCounts {
    /// Number of engines in the allowed regions that accept work and have the required software version, including
    /// engines in drained zones.
    pub in_regions: usize,
    /// Number of engines among `in_regions` to which the request may be sent.
    pub candidates: usize,
    /// Number of engines among `candidates` that can be reached.
    pub reachable: usize,
    /// Whether any zone is drained.
    pub is_any_zone_drained: bool,
    /// Whether the request resumes a stream, so that only engines of one software version may serve it.
    pub is_version_required: bool,
}

/// Whether a request proceeds with the candidates of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateDecision {
    /// The request proceeds. Without candidates it waits for one until its placement timeout
    /// ([`crate::placement_timeout`]).
    Proceed,
    /// The request is refused because all engines are in drained zones. Waiting does not help: a drain lasts until an
    /// operator ends it.
    RefuseZonesDrained,
    /// The request is refused because no engine in service has the software version that began the stream which it
    /// resumes. Waiting rarely helps: an engine leaves for good while its version is replaced. The caller can begin the
    /// stream anew.
    RefuseStreamVersionGone,
    /// The first request of a program is refused because no candidate can be reached. Requests of running programs wait
    /// instead, because a refused turn loses all of the program's earlier work.
    RefuseNoneReachable,
}

impl CandidateCounts {
    /// Decides whether a request of a program in this stage proceeds.
    pub fn decide_whether_to_proceed(&self, stage: ProgramStage) -> CandidateDecision {
        if self.candidates == 0 {
            return if self.is_any_zone_drained && self.in_regions > 0 {
                CandidateDecision::RefuseZonesDrained
            } else if self.is_version_required {
                CandidateDecision::RefuseStreamVersionGone
            } else {
                CandidateDecision::Proceed
            };
        }
        if stage == ProgramStage::New && self.reachable == 0 {
            return CandidateDecision::RefuseNoneReachable;
        }
        CandidateDecision::Proceed
    }
}
