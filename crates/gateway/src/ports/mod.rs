//! What the product asks of the platform around it, in the product's own terms.

pub mod configuration;
pub mod dialect;
pub mod store;
