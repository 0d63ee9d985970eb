//! Models of the platform's services without I/O or clock. The stand-in processes and the simulator share them.

pub mod answer;
pub mod cache;
pub mod engine;
pub mod objects;
