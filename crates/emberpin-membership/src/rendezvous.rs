//! Rendezvous hashing, which chooses the registry that owns an instance. When a registry fails, only the instances that
//! it owned move to other registries.

use std::net::Ipv4Addr;

/// The offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Mixed in after each part, so that `["ab", "c"]` and `["a", "bc"]` differ.
const PART_SEPARATOR: u64 = 0xff;
/// The odd multiplier of the final mixing step.
const MIX_MULTIPLIER: u64 = 0xd6e8_feb8_6659_fd93;

/// Hashes the parts with FNV-1a and a final mixing step. The value is the same on every machine.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for part in parts {
        for byte in *part {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        hash = (hash ^ PART_SEPARATOR).wrapping_mul(FNV_PRIME);
    }
    // FNV-1a mixes the last bytes poorly into the high bits, and the high bits decide the order of ranks.
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(MIX_MULTIPLIER);
    hash ^ (hash >> 32)
}

/// The registry with the highest rank for the instance of this id; `None` if there are no registries.
pub fn choose(instance_id: &str, registries: impl Iterator<Item = Ipv4Addr>) -> Option<Ipv4Addr> {
    registries.max_by_key(|registry| {
        let rank = hash(&[&registry.octets(), instance_id.as_bytes()]);
        (rank, *registry)
    })
}
