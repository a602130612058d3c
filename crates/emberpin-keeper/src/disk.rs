//! What a store keeps on its disk: a `fjall` keyspace, read at the start and only written from then on.

use emberpin_chart::{Item, Key};
use emberpin_muster::{Kept, Pending, Write};
use fjall::{Config, Keyspace, PartitionCreateOptions, PartitionHandle, PersistMode};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom};
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

/// Where the keyspace is, in the folder that the settings name.
const STORE: &str = "store";
/// Where it is made; it gets its name once it is whole.
const FORMING: &str = "forming";
/// What this folder is; the number rises when an older program can't read it.
const FORMAT: &[u8] = b"emberpin-keeper 1";

/// So much is written before `fjall` makes tables of it, and another journal: seldom, as each takes the disk for a
/// while.
const MEMTABLE: u32 = 8 << 20;

/// A disk that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Unusable {
    /// A file or folder.
    #[error("{0}: {1}")]
    Folder(PathBuf, io::Error),
    /// The keyspace.
    #[error("{0}: {1}")]
    Keyspace(PathBuf, fjall::Error),
    /// What is kept is no store's, or another store's, or of a later format.
    #[error("{0}: {1}")]
    Foreign(PathBuf, String),
}

/// The open disk.
pub struct Disk {
    keyspace: Keyspace,
    items: PartitionHandle,
    meta: PartitionHandle,
    folder: PathBuf,
}

impl Disk {
    /// Opens what is kept in a folder, and reads it; `None`, if nothing was ever kept there.
    ///
    /// # Errors
    ///
    /// [`Unusable`]: nothing is begun anew in place of what is there.
    pub fn open(folder: &Path, me: Ipv4Addr) -> Result<(Disk, Option<Kept>), Unusable> {
        let store = folder.join(STORE);
        if !at(&store, store.try_exists())? {
            form(folder, me)?;
        }
        let disk = match Disk::at(&store) {
            // The last write before a loss of power may be there with gaps.
            Err(Unusable::Keyspace(_, fjall::Error::JournalRecovery(_))) => {
                at(&store, cut_last_write(&store))?;
                Disk::at(&store)?
            }
            opened => opened?,
        };
        disk.belongs(me)?;
        let kept = disk.read()?;
        Ok((disk, kept))
    }

    fn at(store: &Path) -> Result<Disk, Unusable> {
        let wrong = |error| Unusable::Keyspace(store.into(), error);
        let keyspace = Config::new(store)
            .flush_workers(1)
            .compaction_workers(1)
            .cache_size(256 << 10)
            .max_journaling_size(24 << 20)
            .max_write_buffer_size(16 << 20)
            .fsync_ms(None)
            .open()
            .map_err(wrong)?;
        let options = || PartitionCreateOptions::default().max_memtable_size(MEMTABLE);
        let items = keyspace.open_partition("items", options()).map_err(wrong)?;
        let meta = keyspace.open_partition("meta", options()).map_err(wrong)?;
        Ok(Disk { keyspace, items, meta, folder: store.into() })
    }

    fn wrong(&self, error: fjall::Error) -> Unusable {
        Unusable::Keyspace(self.folder.clone(), error)
    }

    fn foreign(&self, what: impl Into<String>) -> Unusable {
        Unusable::Foreign(self.folder.clone(), what.into())
    }

    fn meta(&self, name: &str) -> Result<Option<fjall::Slice>, Unusable> {
        self.meta.get(name).map_err(|error| self.wrong(error))
    }

    fn belongs(&self, me: Ipv4Addr) -> Result<(), Unusable> {
        match self.meta("format")? {
            Some(format) if *format == *FORMAT => {}
            Some(_) => return Err(self.foreign("is of a format that is not known here")),
            None => return Err(self.foreign("is not the folder of a store")),
        }
        match self.meta("node")? {
            Some(node) if *node == me.octets() => Ok(()),
            _ => Err(self.foreign(format!("belongs to another machine than {me}"))),
        }
    }

    fn read(&self) -> Result<Option<Kept>, Unusable> {
        fn decoded<T: serde::de::DeserializeOwned>(disk: &Disk, bytes: &[u8]) -> Result<T, Unusable> {
            postcard::from_bytes(bytes)
                .map_err(|error| disk.foreign(format!("holds what is unreadable: {error}")))
        }
        let Some(promised) = self.meta("promised")? else { return Ok(None) };
        let (promised, voting) = decoded(self, &promised)?;
        let pending = match self.meta("pending")? {
            Some(pending) => decoded(self, &pending)?,
            None => Pending::default(),
        };
        let mut chosen = Vec::new();
        for entry in self.items.iter() {
            let (_, item) = entry.map_err(|error| self.wrong(error))?;
            chosen.push(decoded::<Item>(self, &item)?);
        }
        Ok(Some(Kept { chosen, promised, pending, voting }))
    }

    /// Takes a write; it lasts through a loss of power once a later [`Disk::sync`] is over.
    ///
    /// # Errors
    ///
    /// [`Unusable`]: the process must end, as what the disk holds is not known.
    pub fn write(&self, write: &Write) -> Result<(), Unusable> {
        let mut batch = self.keyspace.batch();
        for item in &write.chosen {
            batch.insert(&self.items, named(&item.key), self.encoded(item)?);
        }
        if let Some(pending) = &write.pending {
            batch.insert(&self.meta, "pending", self.encoded(pending)?);
        }
        batch.insert(&self.meta, "promised", self.encoded(&(write.promised, write.voting))?);
        batch.commit().map_err(|error| self.wrong(error))
    }

    fn encoded<T: serde::Serialize>(&self, value: &T) -> Result<Vec<u8>, Unusable> {
        postcard::to_extend(value, Vec::new()).map_err(|error| self.foreign(error.to_string()))
    }

    /// Waits until all writes are on the disk.
    ///
    /// # Errors
    ///
    /// [`Unusable`], as for [`Disk::write`].
    pub fn sync(&self) -> Result<(), Unusable> {
        self.keyspace.persist(PersistMode::SyncAll).map_err(|error| self.wrong(error))
    }
}

fn at<T>(place: &Path, result: io::Result<T>) -> Result<T, Unusable> {
    result.map_err(|error| Unusable::Folder(place.into(), error))
}

fn named(key: &Key) -> Vec<u8> {
    [&[key.kind as u8], key.name.as_bytes()].concat()
}

/// Makes an empty keyspace that belongs to this store, and names it once it is whole.
fn form(folder: &Path, me: Ipv4Addr) -> Result<(), Unusable> {
    let (forming, store) = (folder.join(FORMING), folder.join(STORE));
    at(folder, fs::create_dir_all(folder))?;
    if at(&forming, forming.try_exists())? {
        at(&forming, fs::remove_dir_all(&forming))?;
    }
    {
        let disk = Disk::at(&forming)?;
        let mut batch = disk.keyspace.batch();
        batch.insert(&disk.meta, "format", FORMAT);
        batch.insert(&disk.meta, "node", me.octets());
        batch.commit().map_err(|error| disk.wrong(error))?;
        disk.sync()?;
    }
    at(&store, fs::rename(&forming, &store))?;
    at(folder, File::open(folder).and_then(|folder| folder.sync_all()))?;
    let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) else { return Ok(()) };
    // The folder itself is the platform's; where its parent can't be opened, there is nothing to be done for
    // it.
    _ = File::open(parent).and_then(|parent| parent.sync_all());
    Ok(())
}

/// Takes the end off the newest journal, so that its last write counts as begun and not ended.
///
/// Each write is synced before something is said that builds on it, so only the last ones can have gaps, and
/// nobody was told of them. `fjall` drops a last write that lacks its end, and refuses one that has its end
/// and not what is before.
fn cut_last_write(store: &Path) -> io::Result<()> {
    let mut newest: Option<(u64, PathBuf)> = None;
    for entry in fs::read_dir(store.join("journals"))? {
        let path = entry?.path();
        let number = path.file_name().and_then(|name| name.to_str()).and_then(|name| name.parse().ok());
        newest = newest.max(number.map(|number| (number, path)));
    }
    let Some((_, journal)) = newest else { return Ok(()) };
    let mut file = OpenOptions::new().read(true).write(true).open(journal)?;
    let mut end = file.metadata()?.len();
    let mut block = [0; 4096];
    // It may have been made longer than what is written.
    while end > 0 {
        let from = end.saturating_sub(block.len() as u64);
        let part = &mut block[..(end - from) as usize];
        file.seek(SeekFrom::Start(from))?;
        file.read_exact(part)?;
        if let Some(last) = part.iter().rposition(|byte| *byte != 0) {
            end = from + last as u64;
            break;
        }
        end = from;
    }
    file.set_len(end)?;
    file.sync_all()
}
