//! Shares the load of engines between gateways: to which gateways a load report goes, and how many requests of all
//! gateways are in flight at an engine by the reports that have arrived.
//!
//! What a gateway sends and receives must not grow with the fleet. So the gateways of a large fleet form groups that share
//! the engines out among themselves: a gateway prefers the engines of its group, and the gateways of a group hear each
//! other often. The rest of the fleet is estimated from few reports.
//!
//! A gateway that was not heard is not a gateway without load, and reports are sent whether or not there is load, so that
//! the gateways that were heard are a fair sample.

pub mod estimate;
pub mod peers;
pub mod recipients;
