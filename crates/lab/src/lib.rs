//! Test tools for `foxnotch node` that need no real platform.
//!
//! - [`sim`]: a simulator in virtual time that fuzzes the state machines of `foxnotch-core`, with an oracle that checks
//!   invariants.
//! - [`stand_in`]: stand-ins for the platform's services, as processes on loopback, for the demo and the process tests.
//! - [`model`]: models of these services, shared by the stand-ins and the simulator.
//! - [`load`]: the load tool for the demo and the process tests. It compares each answer with the expected one.
//!
//! The fault soak (`tests/soak`) tests gateways and replicas; it has its own stand-ins.

pub mod cli;
pub mod load;
pub mod model;
pub mod ports;
pub mod sim;
pub mod stand_in;
