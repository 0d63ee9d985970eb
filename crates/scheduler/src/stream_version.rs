//! Decides at which software version a stream may be resumed.
//!
//! Inputs: the version that was recorded when the stream began, if the record was found, and the only version that the
//! engines of the service have had, with the time for which it has been the only one.
//!
//! The record decides. Without one, the stream may still be resumed if no other version can have begun it: the service
//! has had one version for longer than any stream lives. In all other cases a guess could join the output of two
//! versions, so the stream is not resumed.

use std::time::Duration;

/// The time for which a stream may be resumed, as a multiple of its route's timeout: the attempt that began the stream
/// and the attempts that resumed it each take up to one timeout.
const LIFETIME_TIMEOUTS: u32 = 4;

/// The time from the start of a stream after which callers do not resume it any more. `timeout` is that of the route.
pub fn stream_lifetime(timeout: Duration) -> Duration {
    timeout.saturating_mul(LIFETIME_TIMEOUTS)
}

/// A version that all engines of a service have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnlyVersion<V> {
    /// The version.
    pub version: V,
    /// The time for which the service has had no other version.
    pub known_for: Duration,
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
    /// Decides at which version a stream may be resumed that lives for `lifetime` at most.
    pub fn decide(recorded: Option<V>, only: Option<OnlyVersion<V>>, lifetime: Duration) -> Self {
        if let Some(version) = recorded {
            return Self::Recorded(version);
        }
        match only {
            Some(only) if only.known_for >= lifetime => Self::Only(only.version),
            _ => Self::Unknown,
        }
    }
}
