//! Which registry a server is to beat at: rendezvous hashing, so that one that goes moves only its own
//! servers.

use std::net::Ipv4Addr;

/// FNV-1a: small keys, and the same on every machine.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    for part in parts {
        for byte in *part {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
        // Parts are kept apart.
        hash = (hash ^ 0xff).wrapping_mul(0x0100_0000_01b3);
    }
    // FNV mixes its last bytes badly into the high bits, by which ranks differ.
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}

/// The one with the highest rank for this id.
pub fn rendezvous(id: &str, among: impl Iterator<Item = Ipv4Addr>) -> Option<Ipv4Addr> {
    among.max_by_key(|registry| (hash(&[&registry.octets(), id.as_bytes()]), *registry))
}
