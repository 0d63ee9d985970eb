//! Interfaces to the platform: the metadata store, the headers of requests and answers, and the types that both use.
//! The adapter in `platform/` implements the traits. Nothing here depends on the platform's names and formats.

pub mod configuration;
pub(crate) mod counted_store;
pub mod dialect;
pub mod store;
