//! Which limiter a customer's keys belong to, with no message: rendezvous hashing (Thaler and Ravishankar, 1998).
//! Every limiter weighs the members of the customer's set by a hash of both, and the heaviest owns its keys. All come
//! to the same owner, and when a set changes, only what belonged to the limiter that left moves.

use crate::record::Customer;

/// The number of the owner among the limiters of a customer's set: `size` of them in a row from `first`, counted
/// round in a group of `group`. `None` for a set of nobody.
pub fn owner(customer: Customer, first: u32, size: u32, group: u32) -> Option<u32> {
    let members = (0..size.min(group)).map(|offset| (first % group + offset) % group);
    members.max_by_key(|member| (weight(customer, *member), *member))
}

/// BLAKE3 of customer and limiter. Nobody gains by an owner of choice, so it needs no secret, and a limiter with
/// another secret still comes to the same.
pub(crate) fn weight(customer: Customer, member: u32) -> u64 {
    let mut input = [0; 12];
    input[..8].copy_from_slice(&customer.0.to_le_bytes());
    input[8..].copy_from_slice(&member.to_le_bytes());
    let hash = blake3::hash(&input);
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    /// Exhaustive over small groups: exactly one owner, of the set, the same whoever asks.
    #[test]
    fn every_set_has_one_owner_that_is_a_member() {
        for group in 1..6u32 {
            for first in 0..group {
                for size in 1..=group {
                    let members: BTreeSet<u32> =
                        (0..size).map(|offset| (first + offset) % group).collect();
                    for customer in 0..50 {
                        let owner_number =
                            owner(Customer(customer), first, size, group).expect("an owner");
                        assert!(members.contains(&owner_number));
                    }
                }
            }
        }
        assert_eq!(owner(Customer(1), 0, 0, 3), None);
        assert_eq!(owner(Customer(1), 0, 3, 0), None);
    }

    #[test]
    fn owners_are_spread_evenly_and_only_keys_of_a_removed_limiter_move() {
        let mut counts = [0u32; 3];
        for customer in 0..3000 {
            let before = owner(Customer(customer), 0, 3, 3).expect("an owner");
            counts[before as usize] += 1;
            // Limiter 2 leaves the set.
            let after = owner(Customer(customer), 0, 2, 3).expect("an owner");
            assert!(before == 2 || before == after);
        }
        assert!(
            counts.iter().all(|count| (900..1100).contains(count)),
            "{counts:?}"
        );
    }
}
