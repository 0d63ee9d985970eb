//! The decision logic of `foxnotch node` only, as state machines without I/O, clock or threads. The decision logic of
//! gateways and replicas is in `foxnotch-turns` and `foxnotch-scheduler`; they share the membership protocol
//! (`foxnotch-membership`) with this crate.
//!
//! The input is an [`effect::Event`] with a timestamp; the output is a list of [`effect::Effect`]s that the driver
//! carries out. `foxnotch node` and the simulator of `foxnotch-lab` drive the same code.
//!
//! Data flow of a call: [`node`] finds the program's owner by [`ownership`]; [`owner`] checks the call against the
//! program state ([`program`]) computed from its history; [`router`] chooses an engine; [`proposer`] writes the intent
//! (the record that the call is about to be sent) to a majority of [`replica`]s; the engine runs the call; the answer
//! is written to the history and then sent to the caller.

pub mod configuration;
pub mod declaration;
pub mod effect;
pub mod guard;
pub mod node;
pub mod owner;
pub mod ownership;
pub mod prefix;
pub mod program;
pub mod proposer;
pub mod replica;
pub mod request;
pub mod retry;
pub mod router;
pub mod session;
