//! The replica: keeps turns and reservations on disk, is refilled when its disk is lost, and changes the replica set.

pub mod core;
pub mod disk;
pub mod process;
pub mod quotas;
pub mod steward;
pub mod sync;
