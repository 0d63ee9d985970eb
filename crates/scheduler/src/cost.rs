//! Computes the cost of running a request at an engine, in milliseconds. The engine with the lowest cost gets the
//! request.
//!
//! The cost is the sum of work (reading the prompt, waiting, slowing other requests), distance, prices (of traffic, a
//! new connection and a cold engine) and risk. Each disadvantage adds to the cost and none excludes an engine, so a
//! poor engine is still used when there is no better one.

/// Cost of a new connection in addition to its round trip, in milliseconds: an engine can hold few connections, and
/// each connection takes some of the engine's capacity. A larger value saves connections where many gateways share many
/// engines, but sends turns to more loaded engines.
const CONNECTION_COST_MS: f64 = 8.0;
/// Cost of a cold engine, in milliseconds: obtaining a permit takes a round trip, and another gateway may need that
/// permit more. With 150 ms, warm engines were overloaded while cold ones had free slots.
const COLD_ENGINE_COST_MS: f64 = 20.0;
/// Cost of an engine of another group for a turn, in milliseconds: the gateways there use it and this one hears little of its
/// load, so it is for turns that find no room in this gateway's group.
const OTHER_GROUP_COST_MS: f64 = 10.0;
/// Cost of each penalty of an engine (a reason to avoid it), in milliseconds: larger than typical differences in work
/// and distance, so the engine is used only when there is no other engine.
const PENALTY_COST_MS: f64 = 1_000.0;
/// Cost of a failed request, in milliseconds: the caller's pause before the next try, another request, and a third of
/// the program's work, because a program ends with its third failed request.
const FAILED_REQUEST_COST_MS: f64 = 1_000.0;

/// Prices from which the cost of work at the engines of one service is computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePrices {
    /// Milliseconds to read one prompt token that a model engine does not have cached.
    pub token_ms: f64,
    /// Milliseconds by which each request in flight at a model engine prolongs a turn there.
    pub request_ms: f64,
    /// Duration of a whole turn, in milliseconds.
    pub turn_ms: f64,
    /// Duration of a whole response of a plain service, in milliseconds.
    pub answer_ms: f64,
}

impl ServicePrices {
    /// Prices assumed before any are learned, which fit one customer's engines. Learned prices adapt to other engines.
    pub const PRIOR: Self = Self { token_ms: 1.0 / 64.0, request_ms: 1.0, turn_ms: 300.0, answer_ms: 30.0 };
}

impl Default for ServicePrices {
    fn default() -> Self {
        Self::PRIOR
    }
}

/// The kind of work that a request is for an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// A turn of a program at a model engine, which has to read prompt tokens.
    Turn {
        /// Prompt tokens that the engine does not have cached and has to read.
        missing_tokens: f64,
    },
    /// A response of a plain service.
    Answer,
}

/// The state of an engine from which the cost is computed.
#[derive(Clone, Copy, Debug)]
pub struct EngineState {
    /// Number of requests in flight at the engine, from all gateways.
    pub in_flight: f64,
    /// Number of requests that the engine can work on at the same time; 1 or more.
    pub slots: f64,
    /// Estimated round trip to the engine, in milliseconds; computed by [`crate::distance`].
    pub round_trip_ms: f64,
    /// The price of the request's traffic, expressed in milliseconds ([`crate::distance::TrafficPrices`]).
    pub traffic_ms: f64,
    /// Whether this gateway has an idle connection to the engine.
    pub is_connected: bool,
    /// Whether the engine is considered cold.
    pub is_cold: bool,
    /// Whether the engine belongs to another group of gateways ([`crate::load_sharing`]).
    pub is_of_other_group: bool,
    /// Number of reasons to avoid the engine, counted by [`crate::engine_choice`].
    pub penalties: u32,
    /// Probability that the request fails at the engine, 0 to 1.
    pub failure_probability: f64,
}

/// The components of a cost, in milliseconds, for the choice and its log line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// For a turn: the time to read the prompt, including the delay of other requests meanwhile, the slowdown by
    /// requests in flight, and the wait for a slot. For a plain service: a value that grows with the engine's load.
    pub work_ms: f64,
    /// The round trip of the request and the first part of the response; twice that when a connection has to be opened.
    pub distance_ms: f64,
    /// The price of the traffic, of a new connection, of a cold engine and of one of another group.
    pub price_ms: f64,
    /// The expected cost of a failure, plus the cost of all penalties.
    pub risk_ms: f64,
}

impl Cost {
    /// Computes the cost of a request at an engine.
    pub fn of(work: Work, engine: &EngineState, prices: &ServicePrices) -> Self {
        let work_ms = match work {
            Work::Turn { missing_tokens } => turn_cost_ms(missing_tokens, engine, prices),
            Work::Answer => plain_request_cost_ms(engine, prices),
        };
        let round_trips = if engine.is_connected { 1.0 } else { 2.0 };
        let connection_ms = if engine.is_connected { 0.0 } else { CONNECTION_COST_MS };
        let cold_ms = if engine.is_cold { COLD_ENGINE_COST_MS } else { 0.0 };
        let is_turn = matches!(work, Work::Turn { .. });
        let other_group_ms = if is_turn && engine.is_of_other_group { OTHER_GROUP_COST_MS } else { 0.0 };
        Self {
            work_ms,
            distance_ms: engine.round_trip_ms * round_trips,
            price_ms: engine.traffic_ms + connection_ms + cold_ms + other_group_ms,
            risk_ms: FAILED_REQUEST_COST_MS * engine.failure_probability
                + PENALTY_COST_MS * f64::from(engine.penalties),
        }
    }

    /// The sum of all components, in milliseconds.
    pub fn total_ms(&self) -> f64 {
        self.work_ms + self.distance_ms + self.price_ms + self.risk_ms
    }
}

/// The cost of a turn at a model engine, for the turn itself and for the requests in flight there.
///
/// While the engine reads a prompt, all other requests in its slots wait. A request that finds all slots occupied waits
/// for a free one: in the duration of one turn, as many slots become free as the engine has.
fn turn_cost_ms(missing_tokens: f64, engine: &EngineState, prices: &ServicePrices) -> f64 {
    let EngineState { in_flight, slots, .. } = *engine;
    let reading = missing_tokens * prices.token_ms * (1.0 + in_flight.min(slots));
    let waiting = (in_flight + 1.0 - slots).max(0.0) * prices.turn_ms / slots;
    reading + prices.request_ms * in_flight + waiting
}

/// The cost of a response of a plain service. Requests do not wait while slots are free, so the cost grows with the
/// square of the load: a half-full engine costs a quarter of a full one.
fn plain_request_cost_ms(engine: &EngineState, prices: &ServicePrices) -> f64 {
    let load = engine.in_flight / engine.slots;
    prices.answer_ms * load * load
}
