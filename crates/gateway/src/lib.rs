//! The gateway, which accepts callers' requests and sends them to engines, and the replica, which stores turns and
//! budgets on disk.
//!
//! The adapter in `platform/` implements the traits in [`ports`]: it translates the documents and headers of the
//! surrounding platform, whose names do not appear in this crate. Decisions about turns are in `foxnotch-turns`, those
//! about tenants, limits and engines in `foxnotch-scheduler`. This crate has the sockets, files and connections, and
//! collects the facts for the choice of engines.
//!
//! [`edge`] serves callers, [`engines`] has the state of the engines and the connections to them, [`peers`] exchanges
//! messages with other nodes, [`replica`] is the process on machines with a disk. [`store_watch`] and
//! [`store_followers`] copy the contents of the platform's store into this node's view.

pub mod buffer_budget;
pub mod clock;
pub mod edge;
pub mod engines;
pub mod inspect;
pub mod locks;
pub mod logging;
pub mod metrics;
pub mod network;
pub mod peers;
pub mod policy;
pub mod ports;
pub mod replica;
pub mod runtime;
pub mod settings;
pub mod signals;
pub mod store_followers;
pub mod store_watch;
