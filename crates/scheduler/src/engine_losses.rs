//! Decides whether a request may be sent to another engine after engines have ended while they ran it.
//!
//! A request can make every engine end that runs it, because of its content or of a fault in the engine's software.
//! Without a limit over all attempts of the caller, at all gateways, such a request ends one engine after the other.
//!
//! Inputs: the number of engines that have ended under the request since it was last served, and the number of engines
//! that have ended recently without it. When many engines end anyway, a request may meet several of them by chance, so
//! the ends are no evidence against it until they are too many.

/// Number of engines that may end under a request.
pub const MAX_ENDED_ENGINES: usize = 3;
/// Number of ends without the request, for each end under it, from which chance explains the ends under it.
const UNRELATED_ENDS_PER_END: usize = 2;
/// Number of ends under a request that chance no longer explains, however many other engines end.
const MAX_CHANCE_ENDS: usize = 6;

/// Recent ends of engines of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineEnds {
    /// Number of engines that have ended under the request since it was last served.
    pub under_request: usize,
    /// Number of engines that have ended without this request, and not under another request that is suspected.
    pub unrelated: usize,
}

impl EngineEnds {
    /// Whether the request may be sent to another engine.
    pub fn allow_another_send(self) -> bool {
        if self.under_request < MAX_ENDED_ENGINES {
            return true;
        }
        let by_chance = self.unrelated >= UNRELATED_ENDS_PER_END * self.under_request;
        by_chance && self.under_request < MAX_CHANCE_ENDS
    }
}
