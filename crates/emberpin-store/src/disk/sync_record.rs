//! The sync record: a small file with the watermark of the last synced write, which is synced separately from the
//! journal. Opening a disk with fewer writes than the record states detects that the disk lost some.

use super::watermark::{Watermark, WriteNumber, ENCODED_LENGTH};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

/// Name of the file in the data folder.
const FILE_NAME: &str = "synced";
/// Offsets of the two slots, which are written alternately: if a crash interrupts the write of one slot, the other is
/// still valid.
const SLOT_OFFSETS: [u64; 2] = [0, 4096];
/// Length in bytes of a slot: a watermark and its 8-byte checksum.
const SLOT_LENGTH: usize = ENCODED_LENGTH + 8;

/// The open sync record.
pub struct SyncRecord {
    file: File,
    write_number: Option<WriteNumber>,
    /// Index of the slot that the next update overwrites.
    next_slot: usize,
}

impl SyncRecord {
    /// Opens the record in a data folder, or creates an empty one if there is none.
    ///
    /// # Errors
    ///
    /// The file could not be opened. A slot that cannot be read or has a wrong checksum counts as empty.
    pub fn open(folder: &Path) -> io::Result<SyncRecord> {
        let path = folder.join(FILE_NAME);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        let mut newest: Option<(WriteNumber, usize)> = None;
        for (slot, offset) in SLOT_OFFSETS.into_iter().enumerate() {
            let watermark = read_slot(&file, offset);
            newest = newest.max(watermark.map(|watermark| (watermark.write_number, slot)));
        }
        Ok(SyncRecord {
            file,
            write_number: newest.map(|(number, _)| number),
            next_slot: newest.map_or(0, |(_, slot)| 1 - slot),
        })
    }

    /// Returns the number of the last synced write; `None` if no sync was recorded.
    pub fn write_number(&self) -> Option<WriteNumber> {
        self.write_number
    }

    /// Records that all writes up to and including this one are synced, and syncs the record.
    ///
    /// # Errors
    ///
    /// The file could not be written or synced; the slot of the previous update is still valid.
    pub fn update(&mut self, watermark: Watermark) -> io::Result<()> {
        let encoded = watermark.encode();
        let slot = [&encoded[..], &xxh3_64(&encoded).to_be_bytes()].concat();
        self.file
            .write_all_at(&slot, SLOT_OFFSETS[self.next_slot])?;
        self.file.sync_data()?;
        self.next_slot = 1 - self.next_slot;
        self.write_number = Some(watermark.write_number);
        Ok(())
    }
}

/// Reads a slot; `None` if it is missing or has a wrong checksum.
fn read_slot(file: &File, offset: u64) -> Option<Watermark> {
    let mut slot = [0; SLOT_LENGTH];
    file.read_exact_at(&mut slot, offset).ok()?;
    let (encoded, checksum) = slot.split_at(ENCODED_LENGTH);
    if checksum != xxh3_64(encoded).to_be_bytes() {
        return None;
    }
    Watermark::decode(encoded)
}
