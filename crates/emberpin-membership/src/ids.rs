//! Identifiers of processes, queries, messages, sessions and calls. Messages carry them as bare integers.

use serde::{Deserialize, Serialize};

/// Identifies one run of a process, drawn at random when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Identifies a lease query, so that its answer renews the lease from the time at which the query was sent. Unique
/// within one [`crate::lease::Lease`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Nonce(pub u64);

/// Identifies a change that a registry wants acknowledged by its peers. Unique within the sender's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AckId(pub u64);

/// The number of a write to a registry's shutdown log, counted from 1 in each process; 0 stands for no write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteNumber(pub u64);

impl WriteNumber {
    /// The number of the write that follows this one.
    pub const fn next(self) -> WriteNumber {
        WriteNumber(self.0 + 1)
    }
}

/// A digest of the instances that a registry owns. Two registries that compute the same digest agree on the ids and the
/// status of these instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub u64);

/// Identifies a proxy's session with this registry, unique within the process. Assigned by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Identifies a server's call until it is replied to, unique within the process. Assigned by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);
