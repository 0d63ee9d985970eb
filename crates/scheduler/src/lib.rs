//! Decisions about tenants, without I/O, clock or threads: facts and the time go in, a choice with its reason comes out.
//!
//! [`tenants`] tells whose a request is by the key that it carries; [`quota`] holds tenants to their limits over all
//! gateways together, [`quota_asks`] tells whom a gateway asks for leave.

pub mod outliers;
pub mod quota;
pub mod quota_asks;
pub mod tenants;
