//! The engines that this gateway knows: their list, load, health, warmth, reachability and cached prompts, and the
//! requests that it sends to them.

pub mod answer_body;
pub mod answer_limit;
pub mod attempt;
pub mod connection;
pub mod engine;
pub mod learned_costs;
pub mod load_exchange;
pub mod part_cache;
pub mod peer_loads;
pub mod reachability;
pub mod reachability_checks;
pub mod round_trips;
pub mod selector;
pub mod table;
pub mod warmth;
