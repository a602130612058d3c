//! Reads the newest journal of `fjall`, to confirm that a write is in the file and to find the end of the last intact
//! batch.
//!
//! `fjall` encodes a batch as
//!
//! - a start: the tag 1, the number of entries (4 bytes), a sequence number (8 bytes), and two zero bytes;
//! - the entries: each is the tag 2, a kind (1 byte), the partition's name (preceded by its length in 1 byte), the key
//!   (preceded by its length in 2 bytes) and the value (preceded by its length in 4 bytes);
//! - an end: the tag 3, a checksum over the entries (8 bytes), and `FJL` with the byte 2.
//!
//! Integers are big-endian.

use super::keyspace::meta_key;
use super::watermark::Watermark;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, ErrorKind, Read, Seek, SeekFrom};
use std::ops::Range;
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::Xxh3;

/// Name of the journals' folder in the keyspace's folder.
const JOURNALS_FOLDER: &str = "journals";
/// Name of the partition with the watermark.
const META_PARTITION: &[u8] = b"meta";

const START_TAG: u8 = 1;
const ENTRY_TAG: u8 = 2;
const END_TAG: u8 = 3;
/// Lengths in bytes of a batch's start and end.
const START_LENGTH: usize = 15;
const END_LENGTH: usize = 13;
/// The last bytes of each batch.
const TRAILER: &[u8] = b"FJL\x02";

/// Returns the path of a journal. `keyspace` is the keyspace's folder, as in all functions of this module.
fn journal_path(keyspace: &Path, number: u64) -> PathBuf {
    keyspace.join(JOURNALS_FOLDER).join(number.to_string())
}

/// Returns the numbers of a keyspace's journals, in ascending order.
fn journal_numbers(keyspace: &Path) -> io::Result<Vec<u64>> {
    let entries = match fs::read_dir(keyspace.join(JOURNALS_FOLDER)) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
        entries => entries?,
    };
    let mut numbers = Vec::new();
    for entry in entries {
        numbers.extend(
            entry?
                .file_name()
                .to_str()
                .and_then(|name| name.parse::<u64>().ok()),
        );
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Returns the number of a keyspace's newest journal; `None` if there is none.
pub fn newest_number(keyspace: &Path) -> io::Result<Option<u64>> {
    Ok(journal_numbers(keyspace)?.pop())
}

/// The part of a journal before its first incomplete or damaged batch.
pub struct IntactPrefix {
    path: PathBuf,
    /// Length of the prefix in bytes.
    length: u64,
    /// The watermark of the last intact batch that has one; `None` if the last write is in an earlier journal or in
    /// the tables.
    pub watermark: Option<Watermark>,
}

impl IntactPrefix {
    /// Finds the intact prefix of the newest journal; `None` if there is no journal.
    ///
    /// # Errors
    ///
    /// The journal could not be read. A damaged batch is no error: it ends the prefix.
    pub fn find_in_newest_journal(keyspace: &Path) -> io::Result<Option<IntactPrefix>> {
        let Some(number) = newest_number(keyspace)? else {
            return Ok(None);
        };
        let path = journal_path(keyspace, number);
        let file = File::open(&path)?;
        let mut batches = BatchReader::new(&file, 0)?;
        let (mut length, mut last_watermark) = (0, None);
        while let Some(batch) = batches.next()? {
            length = batches.offset;
            last_watermark = batch.watermark.or(last_watermark);
        }
        // Nothing was written before the first journal, so without a watermark in it there is no write at all.
        let watermark = last_watermark.or((number == 0).then(Watermark::default));
        Ok(Some(IntactPrefix {
            path,
            length,
            watermark,
        }))
    }

    /// Truncates the journal at the end of the prefix.
    ///
    /// # Errors
    ///
    /// The journal could not be truncated or synced.
    pub fn truncate_journal(&self) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(&self.path)?;
        if file.metadata()?.len() > self.length {
            file.set_len(self.length)?;
            file.sync_all()?;
        }
        Ok(())
    }
}

/// Reads each write back from the newest journal once the write has returned.
pub struct JournalReader {
    keyspace: PathBuf,
    number: u64,
    file: File,
    /// Where the next batch begins.
    offset: u64,
}

impl JournalReader {
    /// Creates a reader that is positioned at the next write of a keyspace that was just opened. `journal_before_open`
    /// is the number of the newest journal before the keyspace was opened. A newer journal has no batch yet and is read
    /// from its beginning: its file is preallocated, so the file's length does not tell where the next batch begins.
    ///
    /// # Errors
    ///
    /// There is no journal, or it could not be opened.
    pub fn at_end(keyspace: &Path, journal_before_open: Option<u64>) -> io::Result<JournalReader> {
        let number = newest_number(keyspace)?.ok_or(ErrorKind::NotFound)?;
        let file = File::open(journal_path(keyspace, number))?;
        let offset = if journal_before_open == Some(number) {
            file.metadata()?.len()
        } else {
            0
        };
        Ok(JournalReader {
            keyspace: keyspace.into(),
            number,
            file,
            offset,
        })
    }

    /// Whether the next batch is intact and has this watermark.
    ///
    /// # Errors
    ///
    /// A journal could not be read.
    pub fn confirm(&mut self, written: Watermark) -> io::Result<bool> {
        if self.next_batch_has(written)? {
            return Ok(true);
        }
        // `fjall` can have begun another journal since the last write, and one more after this write.
        for number in journal_numbers(&self.keyspace)?
            .into_iter()
            .filter(|number| *number > self.number)
        {
            let file = match File::open(journal_path(&self.keyspace, number)) {
                Err(error) if error.kind() == ErrorKind::NotFound => continue,
                file => file?,
            };
            let mut next = JournalReader {
                keyspace: self.keyspace.clone(),
                number,
                file,
                offset: 0,
            };
            if next.next_batch_has(written)? {
                *self = next;
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Reads the next batch of this journal, and returns whether it is intact and has this watermark.
    fn next_batch_has(&mut self, written: Watermark) -> io::Result<bool> {
        let mut batches = BatchReader::new(&self.file, self.offset)?;
        let batch = batches.next()?;
        self.offset = batches.offset;
        Ok(batch.is_some_and(|batch| batch.watermark == Some(written)))
    }
}

/// An intact batch.
struct Batch {
    /// Length in bytes, from its start to its end.
    length: u64,
    /// The watermark that the batch writes; `None` if it writes none.
    watermark: Option<Watermark>,
}

/// An entry of a batch. `bytes` includes its tag and lengths, as the checksum covers them; the ranges are offsets in
/// `bytes`.
struct Entry {
    bytes: Vec<u8>,
    partition: Range<usize>,
    key: Range<usize>,
    value: Range<usize>,
}

impl Entry {
    fn is_watermark(&self) -> bool {
        self.bytes[self.partition.clone()] == *META_PARTITION
            && self.bytes[self.key.clone()] == *meta_key::WATERMARK.as_bytes()
    }

    fn value(&self) -> &[u8] {
        &self.bytes[self.value.clone()]
    }
}

/// Reads the intact batches of a journal, starting at an offset.
struct BatchReader<'a> {
    input: BufReader<&'a File>,
    /// Length of the journal in bytes.
    file_bytes: u64,
    /// The end of the last intact batch, where the next one begins.
    offset: u64,
}

impl BatchReader<'_> {
    fn new(mut file: &File, offset: u64) -> io::Result<BatchReader<'_>> {
        file.seek(SeekFrom::Start(offset))?;
        Ok(BatchReader {
            input: BufReader::new(file),
            file_bytes: file.metadata()?.len(),
            offset,
        })
    }

    /// Reads the next batch; `None` if it is incomplete or damaged.
    fn next(&mut self) -> io::Result<Option<Batch>> {
        match self.read_batch() {
            Ok(Some(batch)) => {
                self.offset += batch.length;
                Ok(Some(batch))
            }
            Ok(None) => Ok(None),
            Err(error) if error.kind() == ErrorKind::UnexpectedEof => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads a batch; `None` if it is damaged. Fails with [`ErrorKind::UnexpectedEof`] if it is incomplete.
    fn read_batch(&mut self) -> io::Result<Option<Batch>> {
        let Some(entry_count) = self.read_start()? else {
            return Ok(None);
        };
        let (mut length, mut watermark) = (START_LENGTH as u64, None);
        let (mut checksum, mut buffer) = (Xxh3::new(), Vec::new());
        for _ in 0..entry_count {
            let Some(entry) = self.read_entry(buffer)? else {
                return Ok(None);
            };
            if entry.is_watermark() {
                watermark = Watermark::decode(entry.value());
            }
            checksum.update(&entry.bytes);
            length += entry.bytes.len() as u64;
            buffer = entry.bytes;
        }
        let is_intact = self.read_end(checksum.digest())?;
        length += END_LENGTH as u64;
        Ok(is_intact.then_some(Batch { length, watermark }))
    }

    /// Reads a batch's start, and returns the number of entries; `None` if the bytes are no valid start.
    fn read_start(&mut self) -> io::Result<Option<u32>> {
        let mut start = [0; START_LENGTH];
        self.input.read_exact(&mut start)?;
        if start[0] != START_TAG || start[13..] != [0, 0] {
            return Ok(None);
        }
        Ok(Some(u32::from_be_bytes([
            start[1], start[2], start[3], start[4],
        ])))
    }

    /// Reads an entry. `bytes` is a buffer for reuse, whose contents are discarded. Returns `None` if the bytes are no
    /// valid entry, or the entry exceeds the file.
    fn read_entry(&mut self, mut bytes: Vec<u8>) -> io::Result<Option<Entry>> {
        bytes.clear();
        if !self.append(&mut bytes, 3)? || bytes[0] != ENTRY_TAG {
            return Ok(None);
        }
        let partition_length = usize::from(bytes[2]);
        let partition = bytes.len()..bytes.len() + partition_length;
        if !self.append(&mut bytes, partition_length + 2)? {
            return Ok(None);
        }
        let key_length = usize::from(u16::from_be_bytes(last_bytes(&bytes)));
        let key = bytes.len()..bytes.len() + key_length;
        if !self.append(&mut bytes, key_length + 4)? {
            return Ok(None);
        }
        let value_length = u32::from_be_bytes(last_bytes(&bytes)) as usize;
        let value = bytes.len()..bytes.len() + value_length;
        if !self.append(&mut bytes, value_length)? {
            return Ok(None);
        }
        Ok(Some(Entry {
            bytes,
            partition,
            key,
            value,
        }))
    }

    /// Reads a batch's end, and returns whether it is valid and has this checksum.
    fn read_end(&mut self, checksum: u64) -> io::Result<bool> {
        let mut end = [0; END_LENGTH];
        self.input.read_exact(&mut end)?;
        Ok(end[0] == END_TAG && end[1..9] == checksum.to_be_bytes() && end[9..] == *TRAILER)
    }

    /// Appends the next `length` bytes of the file; `false` if the file is too short. The length is checked before the
    /// buffer grows, so that a damaged length allocates no more than the file's size.
    fn append(&mut self, bytes: &mut Vec<u8>, length: usize) -> io::Result<bool> {
        if length as u64 > self.file_bytes.saturating_sub(self.offset) {
            return Ok(false);
        }
        let start = bytes.len();
        bytes.resize(start + length, 0);
        self.input.read_exact(&mut bytes[start..])?;
        Ok(true)
    }
}

/// Returns the last `N` bytes of a buffer to which at least `N` bytes were appended.
fn last_bytes<const N: usize>(bytes: &[u8]) -> [u8; N] {
    bytes
        .last_chunk()
        .copied()
        .expect("at least N bytes were appended to the buffer")
}
