//! A randomized fault soak: real gateways and replicas as processes on loopback, faults from outside them, and an
//! oracle that judges by what callers and engines see.
//!
//! The plan is drawn from a seed and can be repeated from a file; times on a real machine cannot, so a run is
//! repeated in what is done, not in what happens.

pub(crate) mod callers;
pub(crate) mod cold_starts;
pub(crate) mod configuration;
pub(crate) mod disk_watch;
pub(crate) mod engines;
pub(crate) mod faults;
pub(crate) mod ledger;
pub(crate) mod plan;
pub(crate) mod processes;
pub(crate) mod proxy;
pub(crate) mod recovery;
pub(crate) mod report;
pub(crate) mod run;
pub(crate) mod store;
pub(crate) mod zone_drains;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, also after a panic of another holder: the soak's data are plain counts and lists.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
