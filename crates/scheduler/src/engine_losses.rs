//! Decides whether a request may be sent to another engine after sends of it were lost.
//!
//! A request can make every engine end that runs it, because of its content or of a fault in the engine's software.
//! Without a limit over all attempts of the caller, at all gateways, such a request ends one engine after the other.
//!
//! The limit counts sends, not engines: a send that ended without an answer or a refusal is lost, whatever became of its
//! engine. Whether the engine has ended cannot be found out reliably: another start may answer at its address, and an
//! engine that has ended may fall silent. A send whose outcome is unknown counts as well, because it may be lost.

/// Number of sends of a request that may be lost, over all of its attempts. At most as many engines end under it.
pub const MAX_LOST_SENDS: usize = 3;

/// The sends of one request that ended its engines, or may have done so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnansweredSends {
    /// Number of sends that were lost.
    pub lost: usize,
    /// Number of other sends whose outcome is unknown: an engine may run the request now.
    pub open: usize,
}

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// The request may be sent.
    Send,
    /// The request may be sent only if one of the open sends ends with an answer or a refusal.
    AwaitOutcome,
    /// Too many sends were lost.
    Refuse,
}

impl UnansweredSends {
    /// Decides whether the request may be sent to one more engine.
    pub fn decide_send(self) -> SendDecision {
        if self.lost >= MAX_LOST_SENDS {
            SendDecision::Refuse
        } else if self.lost + self.open >= MAX_LOST_SENDS {
            SendDecision::AwaitOutcome
        } else {
            SendDecision::Send
        }
    }

    /// Number of sends that may have ended their engines.
    pub fn possible_ends(self) -> usize {
        self.lost + self.open
    }
}
