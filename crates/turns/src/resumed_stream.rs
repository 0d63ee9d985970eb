//! The token budget of streams that callers resume.
//!
//! A stream takes the most that its turn may use from the budget once, however often it breaks and is resumed. Each
//! attempt reserves and settles tokens of its own, and an attempt that resumes the stream reserves only what the turn
//! may still use. The charge of an earlier attempt can exceed what the caller has received of it: events were lost with
//! the connection, or the attempt's gateway died and never settled it. This excess does not count against the resuming
//! attempt, up to the most that the turn may use. So all attempts of a program together use at most its budget and the
//! most of one turn, whatever callers state about what they have received.

use crate::budget::BudgetView;
use foxnotch_wire::TurnId;

/// Number of the lowest bits of an entry's identifier that differ between the attempts of one stream.
const ATTEMPT_BITS: u32 = 64;

/// The identifier of the budget entry of an attempt that resumes the stream which the turn `begun_by` began. `random`
/// makes it unique.
pub fn resuming_entry_id(begun_by: TurnId, random: u64) -> TurnId {
    TurnId(begun_by.0 >> ATTEMPT_BITS << ATTEMPT_BITS | u128::from(random))
}

/// Whether an entry belongs to an attempt of the stream that the turn `begun_by` began.
pub fn is_entry_of_stream(entry: TurnId, begun_by: TurnId) -> bool {
    entry.0 >> ATTEMPT_BITS == begun_by.0 >> ATTEMPT_BITS
}

/// A stream that an attempt resumes, as far as the budget is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumedStream {
    /// The turn that began the stream, if the caller names it.
    begun_by: Option<TurnId>,
    /// Number of tokens that the caller has received at least.
    received_tokens: u32,
    /// The most tokens that the whole turn may use.
    turn_maximum: u32,
    /// Number of tokens that an event counts as.
    event_tokens: u32,
}

impl ResumedStream {
    /// A stream of which the caller has received the event with the identifier `last_event`, and all before it.
    ///
    /// Engines number the events of a stream from 0 or 1. With any other identifier, the caller counts as having
    /// received nothing.
    pub fn new(begun_by: Option<TurnId>, last_event: Option<&str>, turn_maximum: u32, event_tokens: u32) -> Self {
        let number = last_event.and_then(|last_event| last_event.parse::<u32>().ok()).unwrap_or(0);
        let received = number.checked_mul(event_tokens).filter(|received| *received < turn_maximum);
        Self { begun_by, received_tokens: received.unwrap_or(0), turn_maximum, event_tokens }
    }

    /// The most tokens that the rest of the stream may use.
    pub fn remaining_tokens(&self) -> u32 {
        self.turn_maximum - self.received_tokens
    }

    /// The tokens charged for the stream's other attempts than `own` beyond what the caller has received: those by
    /// which the program's charges may exceed the budget. At least one event, because it is unknown from which number
    /// the engine counts.
    fn excess_tokens(&self, program: &BudgetView, own: TurnId) -> u64 {
        let is_other_attempt =
            |entry: TurnId| entry != own && self.begun_by.is_some_and(|begun_by| is_entry_of_stream(entry, begun_by));
        let charged = program.charged_tokens_of(is_other_attempt);
        let excess = charged.saturating_sub(u64::from(self.received_tokens)).max(u64::from(self.event_tokens));
        excess.min(u64::from(self.turn_maximum))
    }
}

/// The number of tokens that may be charged to a program when the reservation of one of its turns is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimit {
    /// The program's budget, in tokens.
    pub budget: u64,
    /// The stream that the turn resumes; `None` for a turn that begins a stream.
    pub resumed: Option<ResumedStream>,
}

impl From<u64> for BudgetLimit {
    fn from(budget: u64) -> Self {
        Self { budget, resumed: None }
    }
}

impl BudgetLimit {
    /// The limit for the turn whose reservation is the entry `own`, in tokens.
    pub fn tokens(&self, program: &BudgetView, own: TurnId) -> u64 {
        let excess = self.resumed.map_or(0, |stream| stream.excess_tokens(program, own));
        self.budget.saturating_add(excess)
    }
}
