//! Identifiers of connections, of runs of a peer, and of versions of the membership.

use serde::{Deserialize, Serialize};

/// Identifies a connection for the host and the state machine. The host assigns it, and never uses it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// One run of a peer's process. A restart begins a new incarnation, which supersedes those with a lower number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Increases with each start.
    pub number: u64,
    /// Random number drawn at the start. Distinguishes two runs with the same number.
    pub nonce: u64,
}

/// Version of the membership; each change of the set of peers has a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MembershipEpoch(pub u64);
