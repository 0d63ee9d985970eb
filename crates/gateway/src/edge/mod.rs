//! The gateway: takes callers' requests, keeps turns and budgets, and passes requests on to engines.

pub mod abandoned;
pub mod accept;
pub mod body;
pub mod call;
pub mod chain_reader;
pub mod events;
pub mod handler;
pub mod planned_stop;
pub mod process;
pub mod quotas;
pub mod refusal;
pub mod residency;
pub mod room;
pub mod routes;
mod send_log;
pub mod send_record;
pub mod slow_start;
pub mod stream_call;
pub mod tickets;
mod turn_account;
pub mod turn_cache;
pub mod turn_pace;
pub mod turns;
pub mod whole_call;
pub mod zone_drains;
