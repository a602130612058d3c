//! The fingerprint of a request (section 2.4 of the draft): a keyed hash, so that nobody without the secret can make
//! two requests with the same fingerprint. It is BLAKE3 in its keyed mode, truncated to 128 bits.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The secret key of the hash, shared by the limiters of a site. Its `Debug` output does not show it.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Creates a secret from 32 bytes of the host's random source.
    pub fn new(bytes: [u8; 32]) -> Secret {
        Secret(bytes)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(not shown)")
    }
}

/// Identifies the content of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// The fingerprint of a request's method, path with query, class and body. The length of each part is hashed before
    /// it, so that moving a byte from one part to the next changes the fingerprint.
    pub fn compute(
        secret: &Secret,
        method: &str,
        path: &str,
        class: usize,
        body: &[u8],
    ) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&secret.0);
        for part in [
            method.as_bytes(),
            path.as_bytes(),
            &(class as u64).to_le_bytes(),
            body,
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Fingerprint(truncated)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_part_changes_the_fingerprint_and_parts_do_not_run_together() {
        let secret = Secret::new([7; 32]);
        let fingerprint_of = |method, path, class, body: &[u8]| {
            Fingerprint::compute(&secret, method, path, class, body)
        };
        let reference = fingerprint_of("POST", "/api", 1, b"image");
        assert_eq!(reference, fingerprint_of("POST", "/api", 1, b"image"));
        for changed in [
            fingerprint_of("PUT", "/api", 1, b"image"),
            fingerprint_of("POST", "/apj", 1, b"image"),
            fingerprint_of("POST", "/api", 2, b"image"),
            fingerprint_of("POST", "/api", 1, b"imagf"),
            fingerprint_of("POST", "/api", 1, b"image\0"),
            fingerprint_of("POST/", "api", 1, b"image"),
            Fingerprint::compute(&Secret::new([8; 32]), "POST", "/api", 1, b"image"),
        ] {
            assert_ne!(reference, changed);
        }
    }

    #[test]
    fn a_secret_is_not_shown() {
        assert_eq!(format!("{:?}", Secret::new([7; 32])), "Secret(not shown)");
    }
}
