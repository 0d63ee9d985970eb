//! Decides whether a gateway may deny a request based on its current configuration.
//!
//! A request is denied when no route matches it, no tenant has its key, or its body is too long. A denial is final for
//! the caller, so a gateway denies a request only when no other node has reported a newer configuration and the store
//! has confirmed the gateway's configuration. Otherwise the gateway asks the caller to try again.

use crate::refusal::RefusalKind;

/// Whether a gateway's configuration is the newest, as far as other nodes and the store have reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationFreshness {
    /// Whether another node has reported a newer configuration.
    pub is_behind: bool,
    /// Whether the configuration was loaded from the replicas' disks and the store has not confirmed it since.
    pub is_unconfirmed: bool,
}

impl ConfigurationFreshness {
    /// Returns the refusal that replaces a denial, or `None` when the denial may be sent.
    pub fn replacement_for_denial(self) -> Option<RefusalKind> {
        match self {
            Self { is_behind: true, .. } => Some(RefusalKind::ConfigurationBehind),
            Self { is_unconfirmed: true, .. } => Some(RefusalKind::ConfigurationUnconfirmed),
            Self { is_behind: false, is_unconfirmed: false } => None,
        }
    }
}
