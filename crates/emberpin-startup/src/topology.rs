//! The overlay over which endpoint lists spread: a ring of all members with chords of exponentially growing length.

use std::collections::BTreeSet;

/// The ratio between the lengths of consecutive chords. A larger ratio means fewer links and more hops.
const CHORD_RATIO: usize = 4;

/// The members that `member` exchanges list messages with: those 1, 4, 16, … positions away on the ring of all
/// members, in both directions. The relation is symmetric; among 400 members any two are at most nine hops apart.
/// Empty for a number that is not a member.
pub fn neighbours(member: u32, members: &BTreeSet<u32>) -> BTreeSet<u32> {
    let ring: Vec<u32> = members.iter().copied().collect();
    let Some(position) = ring.iter().position(|number| *number == member) else {
        return BTreeSet::new();
    };
    let mut chosen = BTreeSet::new();
    let mut distance = 1;
    while distance < ring.len() {
        chosen.insert(ring[(position + distance) % ring.len()]);
        chosen.insert(ring[(position + ring.len() - distance) % ring.len()]);
        distance *= CHORD_RATIO;
    }
    chosen.remove(&member);
    chosen
}
