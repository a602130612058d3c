//! Deduplicates requests that carry an `Idempotency-Key`. For each request it decides whether it is the first of its
//! key and is forwarded, whether it waits for the first one, or which reply it gets.
//!
//! [`Table`] holds the keys of one limiter. [`claims::Claims`] coordinates several limiters: a request is forwarded
//! only once a majority of the limiters that hold its customer's keys has granted it the key. [`Deduplicator`] puts
//! both behind one interface.
//!
//! The crate does not choose servers: whether a first request gets one, and whether it is retried, is decided by
//! `emberpin-balancer`. It has no I/O, no clock and no randomness: [`Table::handle`] takes an event with the time and
//! appends the actions that the host is to carry out.
//!
//! Sources: draft-ietf-httpapi-idempotency-key-header-07 (sections 2.1 on the field, 2.2 on uniqueness, 2.4 on the
//! fingerprint, 2.6 and 2.7 on enforcement and errors) and RFC 9110 (section 9.2.2 on idempotent methods, 15.5 on
//! client errors).
#![forbid(unsafe_code)]

pub mod claims;
mod deduplicator;
mod fingerprint;
mod key;
mod owner;
mod record;
mod table;

pub use deduplicator::Deduplicator;
pub use fingerprint::{Fingerprint, Secret};
pub use key::{Form, InvalidKey, Key, MAX_KEY_LENGTH};
pub use owner::owner;
pub use record::{Customer, KeyStatus, Millis, Record};
pub use table::{Action, Event, Limits, SizeInBytes, SweepCursor, Table, TableReply, Ticket};
