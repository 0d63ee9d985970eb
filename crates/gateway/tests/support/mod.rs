//! Shared helpers for tests of the gateway and the replica. Gateways and replicas are real and communicate over
//! loopback addresses; the platform's store, the engines and the callers are stubs.
//!
//! All test binaries use the same loopback addresses, so two of them must not run at the same time on one machine.
//! Within a binary each test has its own net, the third byte of the addresses.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

pub mod cluster;
pub mod ended_engines;
pub mod endless;
pub mod engine;
pub mod fixtures;
pub mod gateway;
pub mod older_node;
pub mod recording_proxy;
pub mod replica_samples;
pub mod store;
pub mod throttled_proxy;
pub mod view_samples;
