//! The load tool of the demo and the process tests: it runs open-loop workloads from a seed against real nodes of
//! `foxnotch node`. It compares each answer with the expected one. From the engines' counters it finds calls that must
//! run at most once but ran more often.

pub mod client;
pub mod report;
pub mod run;
pub mod workload;
