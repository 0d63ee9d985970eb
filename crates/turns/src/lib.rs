//! Rules for turn records, token budgets and the replica set: pure decisions without I/O, clock or threads.
//!
//! - A gateway writes each turn to all replicas and counts their replies ([`quorum`], [`record_quorum`]). [`budget`]
//!   decides whether a token reservation fits the program's budget. [`chain`] assembles the earlier turns that a turn
//!   continues.
//! - [`reserve_ahead`] decides how many tokens to reserve for a program's next turn. [`ticket_book`] holds the tickets
//!   of such reservations on one replica. [`ahead_entry`] encodes and decodes the identifiers of the reservations'
//!   entries. [`resumed_stream`] decides what an attempt that resumes a stream takes from the budget.
//! - A replica stores the entries that it receives in a [`ledger`] and writes them to disk in checksummed frames
//!   ([`segment`]).
//! - [`replica_set`] defines which replicas are members of the set, and when the set may change.
//! - [`stored_view_file`] is the file format of the stored configuration, engines and drained zones. [`stored_view`]
//!   selects the newest copy of each of them when a deployment starts while the platform's store is unavailable.
//! - [`zone_regions`] decides in which zones text that is restricted to regions may be stored. [`identity`] derives
//!   identifiers from names. [`stream_origin`] is the entry that tells at which software version a stream began.
//! - [`engine_losses`] are the records of a request's sends, and [`witness_choice`] ranks the gateways that hold them.

pub mod ahead_entry;
pub mod budget;
pub mod chain;
pub mod engine_losses;
pub mod identity;
pub mod ledger;
pub mod quorum;
pub mod record_quorum;
pub mod replica_set;
pub mod reserve_ahead;
pub mod resumed_stream;
pub mod segment;
pub mod stored_view;
pub mod stored_view_file;
pub mod stream_origin;
pub mod ticket_book;
pub mod witness_choice;
pub mod zone_regions;
