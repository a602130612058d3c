//! The watermark that each write contains. It is checked when the disk is opened, so that missing writes are detected.

use std::fmt;

/// Length in bytes of an encoded watermark.
pub const ENCODED_LENGTH: usize = 24;

/// Sequence number of a write on a disk: 1 for the first write, 0 before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

impl WriteNumber {
    /// The number before the first write.
    pub const NONE: WriteNumber = WriteNumber(0);

    /// The number of the next write.
    #[must_use]
    pub fn next(self) -> WriteNumber {
        WriteNumber(self.0 + 1)
    }
}

impl fmt::Display for WriteNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identifies a write, and summarizes the chosen items that the disk has after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watermark {
    /// The write that contains this watermark.
    pub write_number: WriteNumber,
    /// Number of items chosen by consensus that the disk has after the write.
    pub item_count: u64,
    /// Digest of the keys and versions of these items, independent of their order.
    pub versions_digest: u64,
}

impl Watermark {
    /// Encodes the three numbers as big-endian integers, in the order of the fields.
    pub fn encode(self) -> [u8; ENCODED_LENGTH] {
        let mut bytes = [0; ENCODED_LENGTH];
        let numbers = [self.write_number.0, self.item_count, self.versions_digest];
        for (field, number) in bytes.chunks_exact_mut(8).zip(numbers) {
            field.copy_from_slice(&number.to_be_bytes());
        }
        bytes
    }

    /// Decodes a watermark from [`Watermark::encode`]; `None` if the length is not [`ENCODED_LENGTH`].
    pub fn decode(bytes: &[u8]) -> Option<Watermark> {
        let bytes: &[u8; ENCODED_LENGTH] = bytes.try_into().ok()?;
        let mut numbers = bytes
            .chunks_exact(8)
            .filter_map(|field| field.try_into().ok().map(u64::from_be_bytes));
        Some(Watermark {
            write_number: WriteNumber(numbers.next()?),
            item_count: numbers.next()?,
            versions_digest: numbers.next()?,
        })
    }
}
