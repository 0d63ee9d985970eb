//! The replica: stores turns, reservations and the newest configuration on disk, and takes part in the replica set.
//!
//! Which module owns which state:
//!
//! - [`disk`]: the segment files. The modules below write their records through it, except the stored view.
//! - [`durable_state`]: the disk's identity, whether the replica is complete (holds everything that it ever
//!   acknowledged), the replica set, and the identities of the other replicas' disks.
//! - [`turn_store`]: the turns and the tokens that each of them charges to its program.
//! - [`quota_service`], [`cold_permit_service`], [`ticket_service`]: this replica's shares of tenants' rate limits and
//!   of the send rates of cold engines, and its tickets. Of these only quota caps are on disk.
//! - [`stored_view`]: configuration, engines and drained zones, in files of their own.
//!
//! [`service`] combines these and answers requests. [`sync`] pulls missing turns and parts of the view from other
//! replicas, [`set_manager`] decides when to pull, and changes the set; [`cold_start`] recovers the configuration while
//! the platform's store does not answer. [`process`] builds and starts all of them. Each module uses only modules named
//! before it.

pub mod cold_permit_service;
pub mod cold_start;
pub mod disk;
pub mod durable_state;
pub mod process;
pub mod quota_service;
mod replica_metrics;
pub mod service;
pub mod set_manager;
pub mod stored_view;
pub mod sync;
pub mod ticket_service;
pub mod turn_store;
