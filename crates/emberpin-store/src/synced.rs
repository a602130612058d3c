//! How much was synced, kept beside the store with a sync of its own, so that a start that finds less says
//! so.

use crate::journal::Mark;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

/// The file, in the folder that the settings name.
const NAME: &str = "synced";
/// Its two places, written in turn: one that is torn leaves the other.
const PLACES: [u64; 2] = [0, 4096];

/// The open record.
pub struct Synced {
    file: File,
    number: Option<u64>,
    place: usize,
}

impl Synced {
    /// Opens it, and makes an empty one where there is none.
    pub fn open(folder: &Path) -> io::Result<Synced> {
        let path = folder.join(NAME);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        let mut newest: Option<(u64, usize)> = None;
        for (place, at) in PLACES.into_iter().enumerate() {
            let mut bytes = [0; 32];
            let whole = file.read_exact_at(&mut bytes, at).is_ok()
                && bytes[24..] == xxh3_64(&bytes[..24]).to_be_bytes();
            let mark = Mark::decode(&bytes[..24]).filter(|_| whole);
            newest = newest.max(mark.map(|mark| (mark.number, place)));
        }
        let place = newest.map_or(0, |(_, place)| 1 - place);
        Ok(Synced {
            file,
            number: newest.map(|(number, _)| number),
            place,
        })
    }

    /// The last write that was synced; `None`, if there is no record.
    pub fn number(&self) -> Option<u64> {
        self.number
    }

    /// Waits until it is recorded that all up to this write is synced.
    pub fn write(&mut self, mark: Mark) -> io::Result<()> {
        let mark_bytes = mark.encode();
        let bytes = [&mark_bytes[..], &xxh3_64(&mark_bytes).to_be_bytes()].concat();
        self.file.write_all_at(&bytes, PLACES[self.place])?;
        self.file.sync_data()?;
        self.place = 1 - self.place;
        self.number = Some(mark.number);
        Ok(())
    }
}
