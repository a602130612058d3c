//! The candidacy of a seed in the bootstrap of the system; `replica/bootstrap.rs` has the protocol.

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A seed's claim to be one of the first voters, made at its first start and kept on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapCandidate {
    /// Drawn at the first start, never 0. A seed that lost its disk draws another one, so that nothing said to its
    /// earlier self counts.
    pub nonce: u64,
    /// The addresses of all seeds as configured at that start, sorted.
    pub seeds: Vec<Ipv4Addr>,
}
