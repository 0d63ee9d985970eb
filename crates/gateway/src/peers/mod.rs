//! Other nodes: requests and answers by stream, membership by datagram, and the view of the platform they share.
//!
//! - [`members`] is the entry point for membership; its own head lists the modules that it is made of.
//! - [`rpc_client`] and [`rpc_server`] exchange requests and answers over [`frame`]; [`replica_client`] calls replicas,
//!   through another gateway where [`direct_paths`] considers the direct path silent.
//! - [`view`] owns what this node knows of the platform; [`view_exchange`], [`view_codec`] and [`engine_list`] bring it
//!   from node to node.
//! - `peer_versions` knows which nodes run an older build, which are told only what they can read.
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
