//! Recognises repeats of keyed requests at the edge: which request is the first of its key and goes on, which
//! waits for it, and which is told what came of it.
//!
//! It decides nothing about servers: whether a first request gets one, and whether again, is `emberpin-balancer`'s. It has no
//! I/O, no clock and no randomness: [`Table::handle`] takes what happened and appends what is to be done.
//!
//! Sources: draft-ietf-httpapi-idempotency-key-header-07 (sections 2.1 on the field, 2.2 on uniqueness, 2.4 on
//! the fingerprint, 2.6 and 2.7 on enforcement and errors) and RFC 9110 (section 9.2.2 on idempotent methods, 15.5
//! on client errors).
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
pub use table::{Action, Event, Limits, SweepCursor, Table, Telling, Ticket, Weight};
