//! Tests the diameter, the symmetry and the degree of the overlay at all sizes of a group.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_startup::topology::neighbours;
use std::collections::{BTreeMap, BTreeSet};

fn overlay(size: u32) -> BTreeMap<u32, BTreeSet<u32>> {
    let members: BTreeSet<u32> = (0..size).map(|number| number * 3).collect();
    members
        .iter()
        .map(|number| (*number, neighbours(*number, &members)))
        .collect()
}

#[test]
fn every_member_is_reached_within_nine_hops_at_any_size() {
    for size in 1..400 {
        let overlay = overlay(size);
        let mut reached = BTreeSet::from([0]);
        let mut hops = 0;
        while reached.len() < overlay.len() {
            let next: BTreeSet<u32> = reached
                .iter()
                .flat_map(|number| &overlay[number])
                .copied()
                .collect();
            reached.extend(next);
            hops += 1;
            assert!(hops <= 9, "{size}: {} reached", reached.len());
        }
    }
}

#[test]
fn neighbours_are_mutual_and_ten_at_most_at_any_size() {
    for size in 1..400 {
        let overlay = overlay(size);
        for (member, neighbours_of_member) in &overlay {
            assert!(neighbours_of_member.len() <= 10, "{size}");
            assert!(
                neighbours_of_member
                    .iter()
                    .all(|other| overlay[other].contains(member) && other != member),
                "{size}"
            );
        }
    }
}
