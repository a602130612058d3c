//! Which voters lost their disks and caught up, so that nobody counts a promise that was made before.

use crate::message::Ballot;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// So many voters are kept at most; those that caught up by the lowest ballots give way. A round that still counts on
/// a promise from before those would have to be as old as that many losses.
const MOST: usize = 64;

/// Names one life of a voter's memory: the ballot by which it caught up, the lowest one for a founder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub Ballot);

/// Of voters that asked to catch up, the latest ballot of each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewals(BTreeMap<Ipv4Addr, Incarnation>);

impl Renewals {
    /// A voter asks to catch up by this ballot.
    pub fn note(&mut self, voter: Ipv4Addr, incarnation: Incarnation) {
        let known = self.0.entry(voter).or_default();
        *known = incarnation.max(*known);
        while self.0.len() > MOST {
            let Some(oldest) = self
                .0
                .iter()
                .min_by_key(|(_, known)| **known)
                .map(|(voter, _)| *voter)
            else {
                return;
            };
            self.0.remove(&oldest);
        }
    }

    /// Takes over what another one knows.
    pub fn merge(&mut self, other: &Renewals) {
        other
            .0
            .iter()
            .for_each(|(voter, incarnation)| self.note(*voter, *incarnation));
    }

    /// Whether a promise by this incarnation is void, as its voter has caught up by a later ballot or is about to.
    pub fn outdate(&self, voter: Ipv4Addr, incarnation: Incarnation) -> bool {
        self.0
            .get(&voter)
            .is_some_and(|latest| *latest > incarnation)
    }
}
