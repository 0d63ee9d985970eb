//! Membership of `foxnotch gateway`, `foxnotch replica` and `foxnotch node` processes, and [`Millis`], the time type of
//! the state machines of these processes.
//!
//! The crate performs no I/O and reads no clock: the caller passes in the time and sends the [`Datagram`]s that
//! [`Membership`] returns. The messages are defined in `foxnotch-wire`.

mod membership;
mod time;

pub use membership::{Datagram, Member, Membership};
pub use time::Millis;
