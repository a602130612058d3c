//! Identifiers. Those that messages carry are encoded as the number alone.

use serde::{Deserialize, Serialize};

/// Identifies one run of a process, drawn at random when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Identifies a lease query, so that an answer renews the lease from the time at which its query was sent. Unique for
/// one [`crate::lease::Lease`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Nonce(pub u64);

/// Identifies a change that a registry wants acknowledged by its peers. Unique for the sender's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AckId(pub u64);

/// A digest of the instances that a registry owns. Two registries whose digests are equal agree on their ids and
/// status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub u64);

/// Identifies a proxy's session with this registry, unique within the process. Drawn by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Identifies a server's call that waits for its reply, unique within the process. Drawn by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);
