//! The deterministic simulator: nodes running `foxnotch-core`, model engines, an object API and callers in virtual
//! time. A seed determines the whole run.

pub mod action;
pub mod caller;
pub mod disk;
pub mod network;
pub mod oracle;
pub mod platform;
pub mod runner;
pub mod world;

mod world_engines;
mod world_nodes;
mod world_sessions;
