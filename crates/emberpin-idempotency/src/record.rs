//! The log records of keys, from which the next incarnation of a limiter restores its table. They are encoded by
//! position (postcard), so the order of fields and variants is part of the format.

use crate::fingerprint::Fingerprint;
use crate::key::Key;
use serde::{Deserialize, Serialize};

/// Milliseconds of the host's monotonic clock. Only differences are meaningful.
pub type Millis = f64;

/// Identifies a customer, with the same number at every limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Customer(pub u64);

/// The state of one key. A later record of a key replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record<A> {
    /// The customer that the key belongs to.
    pub customer: Customer,
    /// The key.
    pub key: Key,
    /// The fingerprint of the key's request.
    pub fingerprint: Fingerprint,
    /// When the key got this status, by the writer's clock.
    pub at: Millis,
    /// The status of the key.
    pub status: KeyStatus<A>,
}

/// The recorded status of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyStatus<A> {
    /// Its first request is about to be forwarded. Without a later record it may have run.
    Claimed,
    /// Its request was served. The answer is `None` if it was evicted.
    Served(Option<A>),
    /// Its request may have run.
    Unknown,
    /// Its request never ran, or its retention period is over: the key is free.
    Removed,
}
