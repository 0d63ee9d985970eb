//! The `foxnotch` executable.
//!
//! [`cli`] has the command line of all subcommands, and [`explain`] reads the logs of gateways and replicas. Gateway
//! and replica are implemented in `foxnotch-gateway`. All other modules implement `foxnotch node`: they run the state
//! machine of `foxnotch-core` and provide settings, HTTP interfaces, clients and storage.

pub mod api;
pub mod backend;
pub mod cli;
pub mod declarations;
pub mod driver;
pub mod explain;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod operator;
pub mod process;
pub mod protocol;
pub mod settings;
pub mod storage;
pub mod transport;
