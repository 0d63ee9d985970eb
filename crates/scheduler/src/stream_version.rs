//! Decides at which software version a stream may be resumed.
//!
//! Inputs: the version that was recorded when the stream began, if the caller names the stream and the record was
//! found; and the only version that the engines of the service have had, with the time for which it has been the only
//! one ([`crate::version_history`]).
//!
//! The record decides. Without one, the stream may still be resumed if no other version can have begun it: the service
//! has had one version for longer than any stream lives. A gateway's list of engines does not prove this, because it
//! may be behind: another gateway may have begun the stream at a version that this one has not heard of yet. The store
//! has to confirm the list after the call has arrived, that is, after the stream began. In all other cases a guess
//! could join the output of two versions, so the stream is not resumed.
//!
//! A caller that does not name its stream has no record. For such callers the gateway's own list is enough. A gateway
//! that has just started would refuse all of their streams, so it also serves them while it has never known another
//! version.

use std::time::Duration;

/// The time for which a stream may be resumed, as a multiple of its route's timeout. All attempts of a stream share the
/// caller's deadline, which may exceed the timeout.
const LIFETIME_TIMEOUTS: u32 = 2;

/// The time from the start of a stream after which callers do not resume it any more. `timeout` is that of the route.
pub fn stream_lifetime(timeout: Duration) -> Duration {
    timeout.saturating_mul(LIFETIME_TIMEOUTS)
}

/// A version that all engines of a service have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnlyVersion<V> {
    /// The version.
    pub version: V,
    /// The time for which the gateway has known no other version of the service, by its own list.
    pub known_for: Duration,
    /// Whether the gateway has known no other version of the service since it started.
    pub is_first: bool,
}

impl<V> OnlyVersion<V> {
    /// Whether the gateway's own list is enough to resume a stream at this version that lives for `lifetime` at most.
    /// `is_named` tells whether the caller names the stream. A named stream needs a list that the store has confirmed
    /// ([`Self::must_have_begun_if_confirmed`]).
    pub fn must_have_begun(&self, lifetime: Duration, is_named: bool) -> bool {
        !is_named && (self.known_for >= lifetime || self.is_first)
    }

    /// Whether a stream that lives for `lifetime` at most can only have begun at this version, provided that the store
    /// has confirmed the list after the stream began.
    pub fn must_have_begun_if_confirmed(&self, lifetime: Duration) -> bool {
        self.known_for >= lifetime
    }
}

/// The version at which a stream may be resumed, and how it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeVersion<V> {
    /// The version that was recorded when the stream began.
    Recorded(V),
    /// The only version that can have begun the stream.
    Only(V),
    /// The stream may not be resumed: several versions can have begun it.
    Unknown,
}

impl<V> ResumeVersion<V> {
    /// Decides at which version a stream may be resumed. `only` is the only version that must have begun the stream
    /// ([`OnlyVersion::must_have_begun`], [`OnlyVersion::must_have_begun_if_confirmed`]), if there is one.
    pub fn decide(recorded: Option<V>, only: Option<V>) -> Self {
        match (recorded, only) {
            (Some(version), _) => Self::Recorded(version),
            (None, Some(version)) => Self::Only(version),
            (None, None) => Self::Unknown,
        }
    }
}
