//! The candidacy of a seed in the bootstrap of the system; `replica/bootstrap.rs` has the protocol.

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A random number that a seed draws at its first start, never 0. A seed that lost its disk draws another one, so that
/// nothing that was sent to its earlier self counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapNonce(pub u64);

/// A seed's claim to be one of the first voters, made at its first start and kept on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapCandidate {
    /// Tells this candidacy from those of other seeds, and from an earlier one of this seed.
    pub nonce: BootstrapNonce,
    /// The addresses of all seeds as configured at that start, sorted.
    pub seeds: Vec<Ipv4Addr>,
}
