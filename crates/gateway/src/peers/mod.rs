//! Communication with other nodes: requests and answers over TCP, membership over UDP, and the view of the platform
//! that the nodes share.
//!
//! - [`members`] is the entry point for membership; its module documentation lists its parts.
//! - [`rpc_client`] and [`rpc_server`] exchange requests and answers as [`frame`]s; [`replica_client`] calls replicas,
//!   through another gateway where [`direct_paths`] considers the direct path silent.
//! - [`view`] owns this node's copy of the platform's state; [`view_exchange`], [`view_codec`] and [`engine_list`]
//!   transfer it between nodes.
//! - `peer_versions` records which protocol version each node reads. A node of an older build is only sent messages of
//!   the version that it reads.
//! - [`watcher_role`] decides whether this node watches the platform's store itself.

pub mod addresses;
pub mod direct_paths;
pub mod engine_list;
pub mod frame;
mod member_discovery;
mod member_table;
pub mod members;
mod peer_versions;
pub mod replica_client;
pub mod rpc_client;
pub mod rpc_server;
mod store_updates;
pub mod unreadable;
pub mod view;
pub mod view_codec;
pub mod view_exchange;
mod view_pulls;
pub mod watcher_role;
