//! Mutexes that stay usable after a panic: one request that panics must not stop the service for all others.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if it is poisoned. Code that holds one of these locks leaves the value consistent also when the
/// code panics.
pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
