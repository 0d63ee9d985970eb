//! The forms of protocol version 7 that later versions changed.
//!
//! A fleet is upgraded machine by machine, so nodes of this version read them and, towards a node of version 7, write
//! them; replicas read them from disks. What version 7 cannot say is an error here and not left out.

mod turns;

pub use turns::{NotInVersion7, TurnEntry7};
