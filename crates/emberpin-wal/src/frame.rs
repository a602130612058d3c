//! The encoding of a segment: a header, then frames of one record each.
//!
//! ```text
//! header  "EMBERLOG" | version u16 | length u16 | body (postcard) | crc32 of all before it
//! frame   length u32 | seq u64 | crc32 of salt, length, seq | payload | crc32 of salt, seq, payload
//! ```
//!
//! Integers are little-endian. The salt is the header's own checksum, so that a frame that another file left in the
//! disk's blocks is not accepted as a frame of this file. The head of a frame has a checksum of its own, so that an
//! altered length is detected as damage and not as an incomplete record at the end.

use crate::storage::FileIdentity;
use crc32fast::Hasher;
use serde::{Deserialize, Serialize};

/// The version of the format that this build writes, and the only one that it reads.
pub const VERSION: u16 = 1;
/// Bound of the payload of one record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Bound of an encoded header, in bytes.
pub const MAX_HEADER_BYTES: usize = 1024;
const MAGIC: [u8; 8] = *b"EMBERLOG";
/// The length in bytes of a header's fixed part: magic, version, length of the body.
const HEADER_FIXED_BYTES: usize = 12;
/// The length in bytes of a frame's head: length of the payload, sequence number, checksum.
const FRAME_HEAD_BYTES: usize = 16;
/// The length of a checksum in bytes.
const CRC_BYTES: usize = 4;

/// The header of a segment. The order of its fields is the encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Name of the instance that the log belongs to.
    pub instance: String,
    /// Random id of the log, the same in all of its segments.
    pub log: [u8; 16],
    /// Number of the segment; segments are numbered without gaps.
    pub segment: u64,
    /// Sequence number of the segment's first record.
    pub first: u64,
    /// Identity of the file that the header was written to; a copy of the file has another one.
    pub file: FileIdentity,
    /// Id of the machine's boot during which the segment was written. Boot-time clocks compare only within one boot.
    pub boot: [u8; 16],
    /// Whether the opening that created the segment found records lost.
    pub after_loss: bool,
}

/// Why bytes are not a valid header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// The file ends within the header.
    Short,
    /// The file is not a segment.
    NotALog,
    /// The format version is not [`VERSION`].
    Version(u16),
    /// The checksum or the fields are invalid.
    Damaged,
}

impl Header {
    /// The encoded header, with its checksum.
    pub fn encode(&self) -> Vec<u8> {
        // A body of this type always encodes: it is held in memory and has no maps or floats.
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEADER_FIXED_BYTES + body.len() + CRC_BYTES);
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&(body.len() as u16).to_le_bytes());
        bytes.extend_from_slice(&body);
        let crc = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&crc.to_le_bytes());
        bytes
    }

    /// Decodes a header from the first [`MAX_HEADER_BYTES`] of a file, or all of them if it is shorter; also returns
    /// the scanner of the frames that follow.
    ///
    /// # Errors
    ///
    /// If the bytes are not a complete, valid header of this version.
    pub fn decode(bytes: &[u8]) -> Result<(Header, Scanner), HeaderError> {
        let known = bytes.len().min(MAGIC.len());
        if bytes[..known] != MAGIC[..known] {
            return Err(HeaderError::NotALog);
        }
        let Some(fixed) = bytes.get(..HEADER_FIXED_BYTES) else {
            return Err(HeaderError::Short);
        };
        let u16_at = |at: usize| u16::from_le_bytes([fixed[at], fixed[at + 1]]);
        // The version is checked before the checksum, as another version may have another kind of checksum.
        if u16_at(8) != VERSION {
            return Err(HeaderError::Version(u16_at(8)));
        }
        let end = HEADER_FIXED_BYTES + usize::from(u16_at(10));
        if end + CRC_BYTES > MAX_HEADER_BYTES {
            return Err(HeaderError::Damaged);
        }
        let Some(crc) = bytes.get(end..end + CRC_BYTES) else {
            return Err(HeaderError::Short);
        };
        let hashed = crc32fast::hash(&bytes[..end]);
        if hashed.to_le_bytes() != crc {
            return Err(HeaderError::Damaged);
        }
        let header: Header = postcard::from_bytes(&bytes[HEADER_FIXED_BYTES..end])
            .map_err(|_| HeaderError::Damaged)?;
        let scanner = Scanner {
            salt: hashed,
            next_seq: header.first,
            buffer: Vec::new(),
            used: 0,
            at: (end + CRC_BYTES) as u64,
            is_unreadable: false,
        };
        Ok((header, scanner))
    }
}

fn head_crc(salt: u32, length: u32, seq: u64) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(&seq.to_le_bytes());
    hasher.finalize()
}

fn payload_crc(salt: u32, seq: u64, payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(&seq.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Appends the frame of one record of at most [`MAX_RECORD_BYTES`] bytes.
pub(crate) fn encode(salt: u32, seq: u64, payload: &[u8], into: &mut Vec<u8>) {
    let length = payload.len() as u32;
    into.extend_from_slice(&length.to_le_bytes());
    into.extend_from_slice(&seq.to_le_bytes());
    into.extend_from_slice(&head_crc(salt, length, seq).to_le_bytes());
    into.extend_from_slice(payload);
    into.extend_from_slice(&payload_crc(salt, seq, payload).to_le_bytes());
}

/// A part of a segment that does not match its checksums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Damage {
    /// Offset in the file, in bytes.
    pub at: u64,
    /// Whether the rest of the file is unreadable, as the next frame cannot be found.
    pub rest_unreadable: bool,
}

/// The next element of a segment.
#[derive(Clone, Debug, PartialEq)]
pub enum Scanned {
    /// A valid record.
    Record {
        /// Its sequence number.
        seq: u64,
        /// The bytes that were written.
        payload: Vec<u8>,
    },
    /// A damaged part.
    Damaged(Damage),
}

/// Decodes the frames of a segment incrementally, buffering at most one frame in addition to the bytes fed last.
#[derive(Clone, Debug)]
pub struct Scanner {
    salt: u32,
    /// The sequence number that the next record must have.
    next_seq: u64,
    buffer: Vec<u8>,
    /// The number of bytes of the buffer that have been scanned.
    used: usize,
    /// Offset in the file of the unread part of the buffer.
    at: u64,
    /// Whether damage has made the rest of the file unreadable.
    is_unreadable: bool,
}

impl Scanner {
    /// Offset in the file of the next frame.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// The sequence number that the next record must have.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    pub(crate) fn salt(&self) -> u32 {
        self.salt
    }

    /// Appends the next bytes of the file.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.used);
        self.used = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next element; `None` while it has not been fed completely, and after damage that makes the rest unreadable.
    pub fn scan(&mut self) -> Option<Scanned> {
        let unread = self.buffer.get(self.used..)?;
        if self.is_unreadable || unread.len() < FRAME_HEAD_BYTES {
            return None;
        }
        let u32_at = |at: usize| {
            u32::from_le_bytes([unread[at], unread[at + 1], unread[at + 2], unread[at + 3]])
        };
        let (length, crc) = (u32_at(0), u32_at(12));
        let seq = u64::from(u32_at(4)) | u64::from(u32_at(8)) << 32;
        let is_valid = crc == head_crc(self.salt, length, seq)
            && length as usize <= MAX_RECORD_BYTES
            && seq == self.next_seq;
        if !is_valid {
            self.is_unreadable = true;
            return Some(Scanned::Damaged(Damage {
                at: self.at,
                rest_unreadable: true,
            }));
        }
        let end = FRAME_HEAD_BYTES + length as usize;
        let crc = unread.get(end..end + CRC_BYTES)?;
        let payload = &unread[FRAME_HEAD_BYTES..end];
        let scanned = match crc == payload_crc(self.salt, seq, payload).to_le_bytes() {
            true => Scanned::Record {
                seq,
                payload: payload.to_vec(),
            },
            // The head of the frame is valid, so the frames that follow can still be read.
            false => Scanned::Damaged(Damage {
                at: self.at,
                rest_unreadable: false,
            }),
        };
        self.next_seq = seq + 1;
        self.used += end + CRC_BYTES;
        self.at += (end + CRC_BYTES) as u64;
        Some(scanned)
    }

    /// Length of an incomplete record at the end, in bytes, once the file is fed and scanned completely.
    pub fn torn(&self) -> usize {
        if self.is_unreadable {
            return 0;
        }
        self.buffer.len().saturating_sub(self.used)
    }
}
