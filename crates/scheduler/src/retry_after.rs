//! When a caller that was refused may try again: the header Retry-After of each refusal.
//!
//! Input: the kind of refusal. The decision is exhaustive over [`RefusalKind`], so a new kind needs an entry here. Two
//! kinds have a time that another rule computes: a full service ([`crate::admission::retry_after`]) and a tenant over
//! its limit ([`crate::quota`]).

use crate::refusal::RefusalKind;
use std::time::Duration;

/// Another gateway, or this one by another path, may serve what this one cannot; a caller's next try mostly enters
/// elsewhere.
const ELSEWHERE: Duration = Duration::from_millis(200);
/// A configuration that is on its way has come by then: 4,250 routes were in force at nine replicas of 66 machines 0.15
/// to 0.5 s after the operator had sent them (one simulated day).
const NEWER_CONFIGURATION: Duration = Duration::from_millis(300);
/// The answer stays the same until the platform's store answers or an engine is in service again, which may take long.
const STORE_OR_ENGINES_BACK: Duration = Duration::from_secs(1);
/// Maintenance of a zone takes longer than that, and nothing announces its end.
const DRAIN_ENDED: Duration = Duration::from_secs(1);
/// An operator has to change the configuration first.
const CONFIGURATION_CHANGED: Duration = Duration::from_secs(30);
/// The shortest Retry-After for a tenant over its limit: the answer itself takes about as long.
const MIN_OVER_LIMIT: Duration = Duration::from_millis(20);

/// Why a caller may try again after a time, or should not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// Another gateway or path may serve it.
    Elsewhere,
    /// A newer configuration is on its way.
    NewerConfiguration,
    /// The store, or an engine in the regions allowed, has to be reachable again.
    StoreOrEnginesBack,
    /// An operator's drain has to end.
    DrainEnded,
    /// An operator has to change the configuration.
    ConfigurationChanged,
    /// After a time drawn between bounds: engines have no room.
    Room,
    /// When the tenant's limit allows it: the replicas compute the time.
    Limit,
    /// The request itself has to change, or it may have run: the header is left out.
    NotAsItIs,
}

impl RetryAdvice {
    /// The advice for each refusal.
    pub fn of(kind: RefusalKind) -> Self {
        match kind {
            RefusalKind::Stopping
            | RefusalKind::OutOfTime
            | RefusalKind::NoEngineReachable
            | RefusalKind::NoQuorum
            | RefusalKind::ChainUnknown
            | RefusalKind::LimitUnknown
            | RefusalKind::BudgetUnknown => Self::Elsewhere,
            RefusalKind::NoConfiguration | RefusalKind::ConfigurationBehind => Self::NewerConfiguration,
            RefusalKind::ConfigurationUnconfirmed | RefusalKind::NoneInServiceInRegions => Self::StoreOrEnginesBack,
            RefusalKind::ZonesDrained => Self::DrainEnded,
            RefusalKind::NoCommonRegion
            | RefusalKind::NoEngineInRegions
            | RefusalKind::NotKeptInRegions
            | RefusalKind::ChainOutsideRegions => Self::ConfigurationChanged,
            RefusalKind::NoRoom => Self::Room,
            RefusalKind::OverLimit => Self::Limit,
            RefusalKind::Malformed
            | RefusalKind::NoRoute
            | RefusalKind::KeyDenied
            | RefusalKind::TooLarge
            | RefusalKind::NoSuchTurn
            | RefusalKind::BudgetSpent
            | RefusalKind::MayHaveRun
            | RefusalKind::TimedOut => Self::NotAsItIs,
        }
    }

    /// The value of the header; `computed` is the time that the rule of a full service or of a limit found.
    pub fn after(self, computed: Option<Duration>) -> Option<Duration> {
        match self {
            Self::Elsewhere => Some(ELSEWHERE),
            Self::NewerConfiguration => Some(NEWER_CONFIGURATION),
            Self::StoreOrEnginesBack => Some(STORE_OR_ENGINES_BACK),
            Self::DrainEnded => Some(DRAIN_ENDED),
            Self::ConfigurationChanged => Some(CONFIGURATION_CHANGED),
            Self::Room => computed,
            Self::Limit => computed.map(|after| after.max(MIN_OVER_LIMIT)),
            Self::NotAsItIs => None,
        }
    }
}
