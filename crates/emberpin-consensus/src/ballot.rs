//! Ballots, which number the rounds, and the proposal that a voter accepted at a ballot.

use emberpin_config::Item;
use serde::{Deserialize, Serialize};

/// The number of a round. Ballots are totally ordered, and two rounds never share one.
///
/// The order of the fields is the order of comparison and the encoding on the wire and on disks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// One above the highest counter that the proposer has seen.
    pub counter: u64,
    /// The proposer's IPv4 address as a number; orders the rounds of two proposers with equal counters.
    pub proposer: u32,
    /// A random number that the proposer draws at each start. Without it, a replica that lost its disk, and with it
    /// its counter, could use a ballot for two different proposals.
    pub start_nonce: u32,
}

/// The proposal that a voter accepted last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedProposal {
    /// The ballot at which it was accepted. It is kept when the items are cleared: proposers conclude from it that
    /// items which other voters accepted at lower ballots will never be chosen, unless they already are.
    pub ballot: Ballot,
    /// All items of the proposal; empty once the voter knows all of them to be chosen.
    pub items: Vec<Item>,
}
