//! Assigns each customer's keys to a limiter without messages, by rendezvous hashing (Thaler and Ravishankar, 1998).
//! Every limiter computes a weight for each member of the customer's set from a hash of both, and the member with the
//! highest weight owns the keys. All limiters compute the same owner, and when a limiter leaves a set, only the keys
//! that it owned move.

use crate::record::Customer;

/// The number of the limiter that owns a customer's keys. The customer's set consists of `size` consecutive limiters
/// starting at `first`, wrapping around in a group of `group` limiters. `None` if the set is empty.
pub fn owner(customer: Customer, first: u32, size: u32, group: u32) -> Option<u32> {
    let members = (0..size.min(group)).map(|offset| (first % group + offset) % group);
    members.max_by_key(|member| (weight(customer, *member), *member))
}

/// The rendezvous weight of a limiter for a customer: the first 64 bits of the BLAKE3 hash of both. Nobody gains from
/// choosing an owner, so the hash needs no secret, and limiters with different secrets compute the same owner.
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

    /// Exhaustive over small groups: each set has exactly one owner, which is a member of the set.
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
