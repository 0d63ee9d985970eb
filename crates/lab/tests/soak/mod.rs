//! A randomized fault soak: real gateways and replicas as processes on loopback, injected faults, and an oracle that
//! checks what callers and engines observe.
//!
//! The plan of a run is generated from a seed or read from a file. A repeated run injects the same faults at the same
//! times, but the processes' timing differs, so its outcome may differ too.

pub(crate) mod callers;
pub(crate) mod cold_starts;
pub(crate) mod configuration;
pub(crate) mod disk_watch;
pub(crate) mod engines;
pub(crate) mod fatal_requests;
pub(crate) mod faults;
pub(crate) mod ledger;
pub(crate) mod plan;
pub(crate) mod processes;
pub(crate) mod proxy;
pub(crate) mod recovery;
pub(crate) mod report;
pub(crate) mod run;
pub(crate) mod store;
pub(crate) mod streams;
pub(crate) mod zone_drains;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after another thread panicked while it held the lock: the data are counters and lists, which
/// stay consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
