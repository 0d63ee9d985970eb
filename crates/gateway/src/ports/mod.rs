//! What the product asks of the platform around it, in the product's own terms.

pub mod configuration;
pub mod counted_store;
pub mod dialect;
pub mod store;
