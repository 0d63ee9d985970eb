//! Decisions without I/O, clock or threads: facts and the time go in, a choice with its reason comes out.
//!
//! [`tenants`] tells whose a request is by the key that it carries; [`quota`] holds tenants to their limits over all
//! gateways together, [`quota::asks`] tells whom a gateway asks for leave; [`admission`] tells whether a program may begin while
//! the engines have little room; [`outliers`] tells engines that fail from the others.

pub mod admission;
pub mod outliers;
pub mod quota;
pub mod tenants;
