//! The foxnotch node: settings, command line, interfaces, clients, disk. It drives `foxnotch-core`.

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
