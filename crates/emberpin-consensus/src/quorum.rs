//! Quorums: how many voters of a roster it takes to promise, to choose, and to make a majority impossible.

use std::net::Ipv4Addr;

/// How many voters are more than half.
pub(crate) fn majority(voters: &[Ipv4Addr]) -> usize {
    voters.len() / 2 + 1
}

/// How many of the voters have to accept a proposal: a majority, and more than may be lost at once.
pub(crate) fn accept_quorum(voters: &[Ipv4Addr], tolerated_failures: usize) -> usize {
    majority(voters).max((tolerated_failures + 1).min(voters.len()))
}

/// How many of the voters have to promise to a proposer that catches up after it lost its disk. The proposer itself has
/// no vote: what is chosen is on a majority, of which only its own copy is lost.
pub(crate) fn recovery_quorum(voters: &[Ipv4Addr], proposer: Ipv4Addr) -> usize {
    let others = voters.iter().filter(|voter| **voter != proposer).count();
    majority(voters).min(others)
}
