//! What a request costs at an engine: facts go in, milliseconds come out. The engine of least cost gets the request.
//!
//! The cost is work (reading, waiting, slowing others), distance, the price of bytes, connections and cold engines, and
//! risk. What makes an engine worse is a price and not an exclusion, so an engine is still used where there is no
//! better one.

/// The price of a new connection, in milliseconds, besides its round trip: engines bear few and pay for each.
/// A larger value saves connections in fleets with many pairs of gateway and engine, and sends turns to
/// more loaded engines.
const CONNECTION_MS: f64 = 8.0;
/// The price of a cold engine, in milliseconds: its permit takes a round trip, and other gateways may need it more.
/// With 150 ms warm engines were overloaded while cold ones had free slots: two zones back together into three times
/// the traffic, worth 0.878 with 150 ms, 0.945 with 20 ms and the other changes of the same step (one play each).
const COLD_MS: f64 = 20.0;
/// The price of each reason to pass over an engine, in milliseconds: more than work and distance differ by, so the
/// engine is taken only when there is no other.
const PENALTY_MS: f64 = 1_000.0;
/// What a failed request costs, in milliseconds: the caller's pause, another request, and a third of the program, since
/// its third failed request ends a program. The value is chosen; weighing failures at all lowered failed programs from
/// 0.016 to 0.007 of all, 0.018 to 0.013 and 0.018 to 0.012 on three days with failing engines (one seed each).
const FAILURE_MS: f64 = 1_000.0;

/// Prices of a request at the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePrices {
    /// Milliseconds to read a prompt token that a model engine does not hold.
    pub token_ms: f64,
    /// Milliseconds by which each request under way at a model engine slows a turn.
    pub request_ms: f64,
    /// Milliseconds of a whole turn.
    pub turn_ms: f64,
    /// Milliseconds of a whole answer of a plain service.
    pub answer_ms: f64,
}

impl ServicePrices {
    /// What is assumed before anything was seen: measured at one customer's engines. Learned prices earned no more than
    /// these (within 0.01, mean of three days, two seeds), but fit other engines too.
    pub const PRIOR: Self = Self { token_ms: 1.0 / 64.0, request_ms: 1.0, turn_ms: 300.0, answer_ms: 30.0 };
}

impl Default for ServicePrices {
    fn default() -> Self {
        Self::PRIOR
    }
}

/// What an engine has to do for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// A turn of a program at a model engine, which has to read prompt tokens.
    Turn {
        /// The tokens.
        missing_tokens: f64,
    },
    /// An answer of a plain service.
    Answer,
}

/// An engine as the cost sees it.
#[derive(Clone, Copy, Debug)]
pub struct EngineState {
    /// Requests under way there.
    pub under_way: f64,
    /// Requests that it works on at a time; 1 or more.
    pub slots: f64,
    /// Milliseconds to it and back.
    pub round_trip_ms: f64,
    /// The price of the request's traffic, in milliseconds.
    pub traffic_ms: f64,
    /// Whether an idle connection is open.
    pub is_connected: bool,
    /// Whether it is believed cold.
    pub is_cold: bool,
    /// Reasons to pass it over, counted by [`crate::engine_choice`].
    pub penalties: u32,
    /// How probably the request fails there, 0 to 1.
    pub failure_probability: f64,
}

/// The parts of a cost, in milliseconds, for the choice and for its log line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Reading, waiting and working, for the request and for those under way there.
    pub work_ms: f64,
    /// The network path of the request and of the first part of the answer, twice with a connection to be made.
    pub distance_ms: f64,
    /// The price of the traffic, of a new connection and of a cold engine.
    pub price_ms: f64,
    /// What may go wrong, and reasons to pass the engine over.
    pub risk_ms: f64,
}

impl Cost {
    /// What a request costs at an engine.
    pub fn of(work: Work, engine: &EngineState, prices: &ServicePrices) -> Self {
        let work_ms = match work {
            Work::Turn { missing_tokens } => turn_ms(missing_tokens, engine, prices),
            Work::Answer => answer_ms(engine, prices),
        };
        let round_trips = if engine.is_connected { 1.0 } else { 2.0 };
        let connection_ms = if engine.is_connected { 0.0 } else { CONNECTION_MS };
        let cold_ms = if engine.is_cold { COLD_MS } else { 0.0 };
        Self {
            work_ms,
            distance_ms: engine.round_trip_ms * round_trips,
            price_ms: engine.traffic_ms + connection_ms + cold_ms,
            risk_ms: FAILURE_MS * engine.failure_probability + PENALTY_MS * f64::from(engine.penalties),
        }
    }

    /// The whole cost, in milliseconds.
    pub fn total_ms(&self) -> f64 {
        self.work_ms + self.distance_ms + self.price_ms + self.risk_ms
    }
}

/// What a turn costs at a model engine, to itself and to those under way there.
///
/// While the engine reads a prompt all others at it wait too. A request beyond the slots waits until one is free: in
/// the time of one turn as many become free as there are slots.
fn turn_ms(missing_tokens: f64, engine: &EngineState, prices: &ServicePrices) -> f64 {
    let EngineState { under_way, slots, .. } = *engine;
    let reading = missing_tokens * prices.token_ms * (1.0 + under_way.min(slots));
    let waiting = (under_way + 1.0 - slots).max(0.0) * prices.turn_ms / slots;
    reading + prices.request_ms * under_way + waiting
}

/// What an answer of a plain service costs. Free slots make nobody wait: half full an engine costs a quarter of what it
/// costs full.
fn answer_ms(engine: &EngineState, prices: &ServicePrices) -> f64 {
    let filled = engine.under_way / engine.slots;
    prices.answer_ms * filled * filled
}
