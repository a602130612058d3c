//! Reads `fjall`'s newest journal back: whether a write is in the file, and how far the file is whole.
//!
//! A batch in it: a start (1, the number of items, a sequence number, two bytes), the items (2, a kind, and
//! with their lengths a partition, a key and a value), and an end (3, a checksum over the items, `FJL` and
//! 2).

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, ErrorKind, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::Xxh3;

/// Ends each batch.
const TRAILER: &[u8] = b"FJL\x02";

/// What each write says of all that is written up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mark {
    /// Which write it is.
    pub number: u64,
    /// How many chosen items there are with it.
    pub items: u64,
    /// Of their names and versions, whatever their order.
    pub sum: u64,
}

impl Mark {
    /// As bytes.
    pub fn encode(self) -> [u8; 24] {
        let mut bytes = [0; 24];
        for (part, number) in bytes
            .chunks_exact_mut(8)
            .zip([self.number, self.items, self.sum])
        {
            part.copy_from_slice(&number.to_be_bytes());
        }
        bytes
    }

    /// From bytes.
    pub fn decode(bytes: &[u8]) -> Option<Mark> {
        let bytes: &[u8; 24] = bytes.try_into().ok()?;
        let mut numbers = bytes
            .chunks_exact(8)
            .filter_map(|part| part.try_into().ok().map(u64::from_be_bytes));
        Some(Mark {
            number: numbers.next()?,
            items: numbers.next()?,
            sum: numbers.next()?,
        })
    }
}

fn path(store: &Path, number: u64) -> PathBuf {
    store.join("journals").join(number.to_string())
}

/// The numbers of a store's journals, rising.
fn numbers(store: &Path) -> io::Result<Vec<u64>> {
    let entries = match fs::read_dir(store.join("journals")) {
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

/// The number of a store's newest journal.
pub fn newest(store: &Path) -> io::Result<Option<u64>> {
    Ok(numbers(store)?.pop())
}

/// How far a journal is whole.
pub struct Whole {
    path: PathBuf,
    length: u64,
    /// Of the last whole batch that has one; `None`, if that is in an earlier journal or in the tables.
    pub mark: Option<Mark>,
}

impl Whole {
    /// Cuts off what is not.
    pub fn cut(&self) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(&self.path)?;
        if file.metadata()?.len() > self.length {
            file.set_len(self.length)?;
            file.sync_all()?;
        }
        Ok(())
    }
}

/// Follows what is written to the newest journal.
pub struct Journal {
    store: PathBuf,
    number: u64,
    file: File,
    at: u64,
}

impl Journal {
    /// How far the newest one is whole, if there is one.
    pub fn whole(store: &Path) -> io::Result<Option<Whole>> {
        let Some(number) = newest(store)? else {
            return Ok(None);
        };
        let path = path(store, number);
        let file = File::open(&path)?;
        let mut batches = Batches::new(&file, 0)?;
        let (mut length, mut mark) = (0, None);
        while let Some(found) = batches.next()? {
            length = batches.at;
            mark = found.or(mark);
        }
        // Before the first journal there was nothing.
        let mark = mark.or((number == 0).then(Mark::default));
        Ok(Some(Whole { path, length, mark }))
    }

    /// Where a store that was just opened writes on; `before` was its newest journal. One that is new is
    /// written from its beginning, though it is long.
    pub fn after(store: &Path, before: Option<u64>) -> io::Result<Journal> {
        let number = newest(store)?.ok_or(ErrorKind::NotFound)?;
        let file = File::open(path(store, number))?;
        let at = if before == Some(number) {
            file.metadata()?.len()
        } else {
            0
        };
        Ok(Journal {
            store: store.into(),
            number,
            file,
            at,
        })
    }

    /// Whether the write with this mark is in the file, whole.
    pub fn follow(&mut self, mark: Mark) -> io::Result<bool> {
        if self.found(mark)? {
            return Ok(true);
        }
        // Another journal may have been begun since the last write, and one more after this one.
        for number in numbers(&self.store)?
            .into_iter()
            .filter(|number| *number > self.number)
        {
            let file = match File::open(path(&self.store, number)) {
                Err(error) if error.kind() == ErrorKind::NotFound => continue,
                file => file?,
            };
            let mut next = Journal {
                store: self.store.clone(),
                number,
                file,
                at: 0,
            };
            if next.found(mark)? {
                *self = next;
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn found(&mut self, mark: Mark) -> io::Result<bool> {
        let mut batches = Batches::new(&self.file, self.at)?;
        let found = batches.next()? == Some(Some(mark));
        self.at = batches.at;
        Ok(found)
    }
}

/// The whole batches of a journal, from somewhere on.
struct Batches<'a> {
    from: BufReader<&'a File>,
    length: u64,
    /// After the last whole one.
    at: u64,
}

impl Batches<'_> {
    fn new(mut file: &File, at: u64) -> io::Result<Batches<'_>> {
        file.seek(SeekFrom::Start(at))?;
        Ok(Batches {
            from: BufReader::new(file),
            length: file.metadata()?.len(),
            at,
        })
    }

    /// The mark of the next one, if that has one; `None`, if it isn't whole.
    fn next(&mut self) -> io::Result<Option<Option<Mark>>> {
        match self.batch() {
            Ok(Some((length, mark))) => {
                self.at += length;
                Ok(Some(mark))
            }
            Ok(None) => Ok(None),
            Err(error) if error.kind() == ErrorKind::UnexpectedEof => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn batch(&mut self) -> io::Result<Option<(u64, Option<Mark>)>> {
        let mut start = [0; 15];
        self.from.read_exact(&mut start)?;
        if start[0] != 1 || start[13..] != [0, 0] {
            return Ok(None);
        }
        let items = u32::from_be_bytes([start[1], start[2], start[3], start[4]]);
        let (mut length, mut mark, mut sum) = (start.len() as u64, None, Xxh3::new());
        let mut item = Vec::new();
        for _ in 0..items {
            item.clear();
            if !self.more(&mut item, 3)? || item[0] != 2 {
                return Ok(None);
            }
            let partition = item.len();
            let size = usize::from(item[2]);
            if !self.more(&mut item, size + 2)? {
                return Ok(None);
            }
            let key = item.len();
            let size = usize::from(u16::from_be_bytes([item[key - 2], item[key - 1]]));
            if !self.more(&mut item, size + 4)? {
                return Ok(None);
            }
            let value = item.len();
            let size = [
                item[value - 4],
                item[value - 3],
                item[value - 2],
                item[value - 1],
            ];
            if !self.more(&mut item, u32::from_be_bytes(size) as usize)? {
                return Ok(None);
            }
            if (&item[partition..key - 2], &item[key..value - 4]) == (b"meta", b"mark") {
                mark = Mark::decode(&item[value..]);
            }
            sum.update(&item);
            length += item.len() as u64;
        }
        let mut end = [0; 13];
        self.from.read_exact(&mut end)?;
        let whole = end[0] == 3 && end[1..9] == sum.digest().to_be_bytes() && end[9..] == *TRAILER;
        Ok(whole.then_some((length + end.len() as u64, mark)))
    }

    /// Reads so much more; `false`, if there can't be as much.
    fn more(&mut self, into: &mut Vec<u8>, size: usize) -> io::Result<bool> {
        if size as u64 > self.length.saturating_sub(self.at) {
            return Ok(false);
        }
        let from = into.len();
        into.resize(from + size, 0);
        self.from.read_exact(&mut into[from..])?;
        Ok(true)
    }
}
