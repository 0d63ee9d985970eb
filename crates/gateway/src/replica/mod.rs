//! The replica: keeps turns, reservations and what the fleet goes by on disk, is refilled when its disk is lost, and changes
//! the replica set.

pub mod cold_leave;
pub mod core;
pub mod disk;
pub mod kept_files;
pub mod kept_view;
pub mod process;
pub mod quotas;
pub mod steward;
pub mod sync;
pub mod tickets;
