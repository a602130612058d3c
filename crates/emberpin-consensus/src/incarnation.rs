//! Incarnations of voters. They identify the promises that a voter made before it lost its disk, which no longer count.

use crate::ballot::Ballot;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Entry limit of [`LatestIncarnations`]. Beyond it, the entry with the lowest ballot is dropped. Only a round that
/// still counts a promise which that voter made before it caught up could miss the entry, and this many disks would
/// have to be lost during that round.
const MAX_ENTRIES: usize = 64;

/// Identifies the span between two losses of a voter's disk: the ballot of the round by which the voter caught up,
/// or the lowest ballot for a voter that never lost its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub Ballot);

/// The latest known incarnation of each voter that asked to catch up, including those still catching up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatestIncarnations(BTreeMap<Ipv4Addr, Incarnation>);

impl LatestIncarnations {
    /// Records the incarnation of a voter that is catching up, or has caught up, by the round of that ballot. Older
    /// incarnations of the same voter are ignored.
    pub fn record(&mut self, voter: Ipv4Addr, incarnation: Incarnation) {
        let latest = self.0.entry(voter).or_default();
        *latest = incarnation.max(*latest);
        while self.0.len() > MAX_ENTRIES {
            self.remove_oldest();
        }
    }

    /// Records all incarnations that another replica knows.
    pub fn merge(&mut self, other: &LatestIncarnations) {
        for (voter, incarnation) in &other.0 {
            self.record(*voter, *incarnation);
        }
    }

    /// Whether a promise that the voter made in this incarnation is void, because the voter has since caught up by a
    /// later round or is doing so.
    pub fn is_superseded(&self, voter: Ipv4Addr, incarnation: Incarnation) -> bool {
        self.0
            .get(&voter)
            .is_some_and(|latest| *latest > incarnation)
    }

    fn remove_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, incarnation)| **incarnation);
        if let Some(voter) = oldest.map(|(voter, _)| *voter) {
            self.0.remove(&voter);
        }
    }
}
