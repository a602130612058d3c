//! The last endpoint list as a file: one header line, then the servers in the host's encoding.
//!
//! ```text
//! emberpin-list-1 TAB owner TAB written, Unix ms TAB revision TAB bytes of entries TAB crc32, hex NEWLINE entries
//! ```
//!
//! The checksum covers the header up to it and the entries. A file that is incomplete, from another instance or too old
//! is rejected with the reason; the limiter then starts without a snapshot.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The first field of the header; its number is incremented with every change of the format.
const MAGIC: &str = "emberpin-list-1";
/// The maximum number of bytes that a host reads from a file: bounds the memory that a wrong file can use.
pub const MAX_BYTES: usize = 16 << 20;

/// Describes the list in a snapshot: its owner, time of writing and revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotHeader {
    /// `site/instance`. Another instance may reach the servers at other addresses, so its snapshot cannot be used here.
    pub owner: String,
    /// When it was written, to the millisecond.
    pub written_at: SystemTime,
    /// The discovery service's revision of the list.
    pub revision: u64,
}

/// Why a snapshot is not used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file does not start with the header of this format.
    #[error("it is not an endpoint list snapshot of this format version")]
    UnknownFormat,
    /// Bytes are missing, or differ from those that were written.
    #[error("it is truncated or corrupt")]
    Corrupt,
    /// The snapshot belongs to another site or instance.
    #[error("it belongs to {owner:?}")]
    WrongOwner {
        /// The owner that its header names.
        owner: String,
    },
    /// The snapshot is too old, or its time of writing is as far in the future.
    #[error("it is {} s old", age.as_secs())]
    TooOld {
        /// The time between the writing of the snapshot and now, in either direction.
        age: Duration,
    },
}

/// The bytes of a snapshot. Tabs and line ends in the owner's name become spaces.
pub fn encode(header: &SnapshotHeader, entries: &[u8]) -> Vec<u8> {
    let owner = header.owner.replace(['\n', '\t'], " ");
    let line = format!(
        "{MAGIC}\t{owner}\t{}\t{}\t{}",
        unix_millis(header.written_at),
        header.revision,
        entries.len()
    );
    let checksum = checksum(&line, entries);
    let mut bytes = format!("{line}\t{checksum}\n").into_bytes();
    bytes.extend_from_slice(entries);
    bytes
}

/// The header and the entries of `owner`'s snapshot, if it is complete and no older than `max_age` at `now`.
///
/// # Errors
///
/// [`SnapshotError`], with the reason why it cannot be used.
pub fn decode<'a>(
    bytes: &'a [u8],
    owner: &str,
    now: SystemTime,
    max_age: Duration,
) -> Result<(SnapshotHeader, &'a [u8]), SnapshotError> {
    let line_end = bytes.iter().position(|byte| *byte == b'\n');
    let (line, rest) = bytes.split_at(line_end.ok_or(SnapshotError::UnknownFormat)?);
    let entries = rest.get(1..).unwrap_or_default();
    let line = std::str::from_utf8(line).map_err(|_| SnapshotError::UnknownFormat)?;
    let fields: Vec<&str> = line.split('\t').collect();
    let [MAGIC, found_owner, written, revision, length, found_checksum] = fields[..] else {
        return Err(SnapshotError::UnknownFormat);
    };
    let covered = line.rsplit_once('\t').map_or("", |(covered, _)| covered);
    if checksum(covered, entries) != found_checksum || length != entries.len().to_string() {
        return Err(SnapshotError::Corrupt);
    }
    let (Ok(written), Ok(revision)) = (written.parse::<u64>(), revision.parse()) else {
        return Err(SnapshotError::Corrupt);
    };
    if found_owner != owner {
        return Err(SnapshotError::WrongOwner {
            owner: found_owner.into(),
        });
    }
    let age = Duration::from_millis(unix_millis(now).abs_diff(written));
    if age > max_age {
        return Err(SnapshotError::TooOld { age });
    }
    let header = SnapshotHeader {
        owner: found_owner.into(),
        written_at: UNIX_EPOCH + Duration::from_millis(written),
        revision,
    };
    Ok((header, entries))
}

/// CRC-32 of the header's fields before the checksum and the entries, as eight hexadecimal digits.
fn checksum(covered: &str, entries: &[u8]) -> String {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(covered.as_bytes());
    hasher.update(entries);
    format!("{:08x}", hasher.finalize())
}

/// Milliseconds since 1970; 0 for an earlier time.
fn unix_millis(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
