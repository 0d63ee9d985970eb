//! The runtime on which a gateway or a replica runs.

use std::io;
use tokio::runtime::{Builder, Runtime};

/// Number of times that tasks run before the runtime looks for new input and expired timers. While some tasks always have
/// work, all others wait this long for their input.
pub const TASK_RUNS_PER_EVENT_CHECK: u32 = 8;

/// Creates a runtime with one thread, because a process gets only a part of a core.
///
/// # Errors
/// When the operating system refuses the runtime's resources.
pub fn create_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().event_interval(TASK_RUNS_PER_EVENT_CHECK).enable_all().build()
}
