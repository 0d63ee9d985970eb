//! Decisions about tenants, without I/O, clock or threads: facts and the time go in, a choice with its reason comes out.
//!
//! [`tenants`] tells whose a request is by the key that it carries.

pub mod tenants;
