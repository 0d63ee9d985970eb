//! Shares the load of engines between gateways: which gateways a load report goes to and when, and how many requests of
//! all gateways are in flight at an engine by the reports that have arrived.
//!
//! A gateway sends few reports at a time, however many gateways there are, so each has recent reports of some of the
//! others only. The rest is estimated.

pub mod estimate;
pub mod peers;
pub mod recipients;
