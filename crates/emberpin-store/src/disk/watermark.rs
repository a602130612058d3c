//! The watermark that each write carries, from which a start tells whether any write is missing.

/// Bytes of an encoded watermark.
pub const ENCODED_LENGTH: usize = 24;

/// Identifies a write, and summarizes all items that are present after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watermark {
    /// How many writes there were up to and including this one.
    pub write_number: u64,
    /// How many chosen items are present.
    pub item_count: u64,
    /// Digest of the keys and versions of these items, independent of their order.
    pub versions_digest: u64,
}

impl Watermark {
    /// Encodes the three numbers as big-endian integers, in the order of the fields.
    pub fn encode(self) -> [u8; ENCODED_LENGTH] {
        let mut bytes = [0; ENCODED_LENGTH];
        let numbers = [self.write_number, self.item_count, self.versions_digest];
        for (field, number) in bytes.chunks_exact_mut(8).zip(numbers) {
            field.copy_from_slice(&number.to_be_bytes());
        }
        bytes
    }

    /// Decodes what [`Watermark::encode`] returned; `None` if the length is not [`ENCODED_LENGTH`].
    pub fn decode(bytes: &[u8]) -> Option<Watermark> {
        let bytes: &[u8; ENCODED_LENGTH] = bytes.try_into().ok()?;
        let mut numbers = bytes
            .chunks_exact(8)
            .filter_map(|field| field.try_into().ok().map(u64::from_be_bytes));
        Some(Watermark {
            write_number: numbers.next()?,
            item_count: numbers.next()?,
            versions_digest: numbers.next()?,
        })
    }
}
