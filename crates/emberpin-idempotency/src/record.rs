//! What a log keeps of a key, so that the next life knows it.

use crate::fingerprint::Fingerprint;
use crate::key::Key;
use serde::{Deserialize, Serialize};

/// Milliseconds of the host's steady clock; only differences have a meaning.
pub type Millis = f64;

/// A customer, equal at every limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Customer(pub u64);

/// All that is known of one key; a later record of a key stands in place of an earlier one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record<A> {
    /// Whose key it is.
    pub customer: Customer,
    /// The key.
    pub key: Key,
    /// What its request looks like.
    pub fingerprint: Fingerprint,
    /// When this came to be known, by the writer's clock.
    pub at: Millis,
    /// What is known.
    pub status: KeyStatus<A>,
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyStatus<A> {
    /// Its first request is let on, if nothing else is heard: it may have run.
    Claimed,
    /// Served, with this answer unless it gave way.
    Served(Option<A>),
    /// It may have run.
    Unknown,
    /// It never ran, or its time is over.
    Removed,
}
