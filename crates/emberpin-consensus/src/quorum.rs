//! Quorum sizes: how many voters of a roster have to promise a ballot or accept a proposal.

use std::net::Ipv4Addr;

/// The smallest number of voters that is more than half of them.
pub(crate) fn majority(voters: &[Ipv4Addr]) -> usize {
    voters.len() / 2 + 1
}

/// The number of voters that have to accept a proposal for it to be chosen: a majority, and more than the number of
/// disks that may be lost at once.
pub(crate) fn accept_quorum(voters: &[Ipv4Addr], tolerated_failures: usize) -> usize {
    majority(voters).max((tolerated_failures + 1).min(voters.len()))
}

/// The number of voters that have to promise a round by which the proposer catches up after it lost its disk. The
/// proposer itself has no vote: chosen items are on a majority, of which only the proposer's own copy is lost.
pub(crate) fn recovery_quorum(voters: &[Ipv4Addr], proposer: Ipv4Addr) -> usize {
    let others = voters.iter().filter(|voter| **voter != proposer).count();
    majority(voters).min(others)
}
