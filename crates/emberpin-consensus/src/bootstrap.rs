//! The candidacy of a seed in the bootstrap of the system; `replica/bootstrap.rs` has the protocol.

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A random number that a seed draws at its first start, never 0. A seed that lost its disk draws another one, so that
/// messages sent to it before the loss do not count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapNonce(pub u64);

/// A seed's candidacy for being one of the first voters, recorded on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapCandidate {
    /// Distinguishes this candidacy from those of other seeds, and from an earlier one of this seed.
    pub nonce: BootstrapNonce,
    /// The addresses of all seeds as configured when the candidacy began, sorted.
    pub seeds: Vec<Ipv4Addr>,
}
