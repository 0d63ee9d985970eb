//! Measures how fast an engine serves a turn, for the learned costs of its service.

use crate::edge::send_record::SendRecord;
use crate::engines::learned_costs::TurnSample;
use std::time::{Duration, Instant};

/// Counts the events of one turn, and measures the time from the choice of the engine to the first event and to the
/// turn's end.
#[derive(Clone, Debug)]
pub struct TurnPace {
    /// Number of prompt tokens that the engine probably had to read, because they were not in its cache.
    missing_tokens: f64,
    /// Number of requests in flight at the engine when the turn was sent, as estimated then.
    in_flight_requests: f64,
    sent_at: Instant,
    first_event_after: Option<Duration>,
    events: u32,
}

impl TurnPace {
    /// Begins to measure a turn whose engine has just started to answer; `None` when no engine was chosen.
    pub fn begin(sends: &SendRecord) -> Option<Self> {
        let choice = sends.last_choice()?;
        Some(Self {
            missing_tokens: choice.missing_tokens,
            in_flight_requests: choice.in_flight_requests,
            sent_at: choice.chosen_at,
            first_event_after: None,
            events: 0,
        })
    }

    /// Counts an event that the engine sent.
    pub fn note_event(&mut self) {
        self.events += 1;
        self.first_event_after.get_or_insert_with(|| self.sent_at.elapsed());
    }

    /// Returns the sample of a turn that ends now; `None` when the engine sent no event.
    pub fn sample(&self) -> Option<TurnSample> {
        let milliseconds = |time: Duration| time.as_secs_f64() * 1000.0;
        Some(TurnSample {
            missing_tokens: self.missing_tokens,
            in_flight_requests: self.in_flight_requests,
            events: f64::from(self.events),
            first_event_ms: milliseconds(self.first_event_after?),
            total_ms: milliseconds(self.sent_at.elapsed()),
        })
    }
}
