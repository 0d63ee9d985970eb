//! The JSON messages exchanged with callers, engines and the platform. The test servers of `foxnotch-lab` use the same
//! types.

pub mod callers;
pub mod engines;
pub mod objects;
