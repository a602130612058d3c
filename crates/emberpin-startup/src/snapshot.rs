//! The last list, as bytes for a disk that outlasts the process: a line that says what it is, and the servers' entries
//! as the list service words them. Anything but a whole snapshot of this instance that is young enough is refused, with
//! the reason; a limiter starts without one.

use std::fmt;
use std::time::Duration;

const MAGIC: &str = "emberpin-list-1";
/// Most bytes of a snapshot that is read.
pub const MAX_BYTES: usize = 16 << 20;

/// Whose list it is and which.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Label {
    /// The site, then the instance: another one reaches servers at other addresses.
    pub owner: String,
    /// When it was written, in milliseconds of Unix time.
    pub written_ms: u64,
    /// The list's version.
    pub rev: u64,
}

/// Why a snapshot is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// It is no snapshot, or one of another version of this program.
    Foreign,
    /// Its bytes are not all there, or not as written.
    Torn,
    /// It is another site's or instance's.
    Elsewhere {
        /// Whose.
        owner: String,
    },
    /// It is too old, or from the future by as much.
    Old {
        /// How old.
        age: Duration,
    },
}

impl fmt::Display for Unusable {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unusable::Foreign => {
                write!(to, "it is no snapshot of a list, or one of another version")
            }
            Unusable::Torn => write!(to, "it is torn: not what was written"),
            Unusable::Elsewhere { owner } => write!(to, "it belongs to {owner:?}"),
            Unusable::Old { age } => write!(to, "it is {} s old", age.as_secs()),
        }
    }
}

/// The bytes of a snapshot with this label and these entries.
pub fn encode(label: &Label, entries: &[u8]) -> Vec<u8> {
    let owner = label.owner.replace(['\n', '\t'], " ");
    let head = format!(
        "{MAGIC}\t{owner}\t{}\t{}\t{}",
        label.written_ms,
        label.rev,
        entries.len()
    );
    let mut sum = crc32fast::Hasher::new();
    sum.update(head.as_bytes());
    sum.update(entries);
    let mut bytes = format!("{head}\t{:08x}\n", sum.finalize()).into_bytes();
    bytes.extend_from_slice(entries);
    bytes
}

/// Label and entries of a snapshot of this owner that is no older than `most`, at `now_ms` of Unix time.
///
/// # Errors
///
/// Why it is not used.
pub fn decode<'a>(
    bytes: &'a [u8],
    owner: &str,
    now_ms: u64,
    most: Duration,
) -> Result<(Label, &'a [u8]), Unusable> {
    let end = bytes.iter().position(|byte| *byte == b'\n');
    let (head, entries) = bytes.split_at(end.ok_or(Unusable::Foreign)?);
    let head = std::str::from_utf8(head).map_err(|_| Unusable::Foreign)?;
    let parts: Vec<&str> = head.split('\t').collect();
    let [MAGIC, of, written, rev, length, sum] = parts[..] else {
        return Err(Unusable::Foreign);
    };
    let entries = entries.get(1..).unwrap_or_default();
    let mut own = crc32fast::Hasher::new();
    own.update(
        head.rsplit_once('\t')
            .map_or("", |(before, _)| before)
            .as_bytes(),
    );
    own.update(entries);
    if format!("{:08x}", own.finalize()) != sum || length != entries.len().to_string() {
        return Err(Unusable::Torn);
    }
    let (Ok(written_ms), Ok(rev)) = (written.parse(), rev.parse()) else {
        return Err(Unusable::Torn);
    };
    if of != owner {
        return Err(Unusable::Elsewhere { owner: of.into() });
    }
    let age = Duration::from_millis(now_ms.abs_diff(written_ms));
    if age > most {
        return Err(Unusable::Old { age });
    }
    Ok((
        Label {
            owner: of.into(),
            written_ms,
            rev,
        },
        entries,
    ))
}
