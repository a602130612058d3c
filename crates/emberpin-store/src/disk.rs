//! What a store keeps on its disk: a `fjall` keyspace, read at the start and only written from then on.

use crate::journal::{newest, Journal, Mark};
use crate::synced::Synced;
use emberpin_config::{Item, Key};
use emberpin_consensus::{Kept, Pending, Write};
use fjall::{Config, Keyspace, PartitionCreateOptions, PartitionHandle, PersistMode};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::net::Ipv4Addr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

/// Where the keyspace is, in the folder that the settings name.
const STORE: &str = "store";
/// Where it is made; it gets its name once it is whole.
const FORMING: &str = "forming";
/// What this folder is; the number rises when an older program can't read it.
const FORMAT: &[u8] = b"emberpin-store 2";
/// The one before, which held neither histories nor checkpoints; it is read, and becomes the new one with the
/// next write.
const FORMER_FORMAT: &[u8] = b"emberpin-store 1";

/// So much is written before `fjall` makes tables of it, and another journal: seldom, as each takes the disk
/// for a while.
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
    /// Less is found than was synced.
    #[error("{0}: holds less than was synced to it: {1}")]
    Lost(PathBuf, String),
    /// What was written is not in the file.
    #[error("{0}: a write did not reach the file; the disk may be full")]
    Unwritten(PathBuf),
}

impl Unusable {
    /// Whether what is kept is not what was synced, which no room on the disk mends.
    pub fn is_damage(&self) -> bool {
        match self {
            Unusable::Foreign(..) | Unusable::Lost(..) => true,
            Unusable::Folder(..) | Unusable::Unwritten(..) => false,
            Unusable::Keyspace(_, error) => !matches!(
                error,
                fjall::Error::Io(_)
                    | fjall::Error::Poisoned
                    | fjall::Error::Storage(fjall::LsmError::Io(_))
            ),
        }
    }
}

/// The open disk.
pub struct Disk {
    keyspace: Keyspace,
    items: PartitionHandle,
    meta: PartitionHandle,
    folder: PathBuf,
    journal: Journal,
    synced: Synced,
    /// The version of each item that is written, and what the last write says of all of them.
    versions: BTreeMap<Vec<u8>, u64>,
    mark: Mark,
    /// What is kept is of the former format.
    is_former: bool,
}

impl Disk {
    /// Opens what is kept in a folder, and reads it; `None`, if nothing was ever kept there.
    ///
    /// # Errors
    ///
    /// [`Unusable`]: nothing is begun anew in place of what is there.
    pub fn open(folder: &Path, me: Ipv4Addr) -> Result<(Disk, Option<Kept>), Unusable> {
        let store = folder.join(STORE);
        at(folder, fs::create_dir_all(folder))?;
        let synced = at(folder, Synced::open(folder))?;
        let floor = synced.number();
        if !at(&store, store.try_exists())? {
            if floor.is_some_and(|floor| floor > 0) {
                return Err(lost(&store, 0, floor));
            }
            form(folder, me)?;
        }
        // Before `fjall` does, which would cut off all that follows damage, and go on.
        if let Some(whole) = at(&store, Journal::whole(&store))? {
            match whole.mark {
                Some(mark) if floor.map_or(mark.number > 0, |floor| mark.number < floor) => {
                    return Err(lost(&store, mark.number, floor));
                }
                // What follows was never synced, and nobody was told of it.
                _ => at(&store, whole.cut())?,
            }
        }
        let mut disk = Disk::at(&store, synced)?;
        disk.belongs(me)?;
        let kept = disk.read()?;
        disk.is_all(floor)?;
        if floor.is_none() {
            at(folder, disk.synced.write(disk.mark))?;
            at(
                folder,
                File::open(folder).and_then(|folder| folder.sync_all()),
            )?;
        }
        Ok((disk, kept))
    }

    /// Whether what was read is what the last write spoke of, and that is no older than what was synced.
    fn is_all(&mut self, floor: Option<u64>) -> Result<(), Unusable> {
        let read = Mark {
            number: 0,
            ..self.mark
        };
        match self.meta("mark")?.map(|mark| Mark::decode(&mark)) {
            // Of a time before there were marks.
            None if floor.unwrap_or_default() == 0 => return Ok(()),
            None => return Err(lost(&self.folder, 0, floor)),
            Some(None) => return Err(self.foreign("holds what is unreadable: mark")),
            Some(Some(mark)) => self.mark = mark,
        }
        if floor.is_none_or(|floor| self.mark.number < floor) {
            return Err(lost(&self.folder, self.mark.number, floor));
        }
        if (Mark {
            number: 0,
            ..self.mark
        }) != read
        {
            let what = format!(
                "{} items were written, {} are here, or of other versions",
                self.mark.items, read.items
            );
            return Err(Unusable::Lost(self.folder.clone(), what));
        }
        Ok(())
    }

    fn at(store: &Path, synced: Synced) -> Result<Disk, Unusable> {
        let before = at(store, newest(store))?;
        let (keyspace, items, meta) =
            keyspace(store).map_err(|error| Unusable::Keyspace(store.into(), error))?;
        let journal = at(store, Journal::after(store, before))?;
        let (versions, mark) = (BTreeMap::new(), Mark::default());
        Ok(Disk {
            keyspace,
            items,
            meta,
            folder: store.into(),
            journal,
            synced,
            versions,
            mark,
            is_former: false,
        })
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

    fn belongs(&mut self, me: Ipv4Addr) -> Result<(), Unusable> {
        match self.meta("format")? {
            Some(format) if *format == *FORMAT => {}
            Some(format) if *format == *FORMER_FORMAT => self.is_former = true,
            Some(_) => return Err(self.foreign("is of a format that is not known here")),
            None => return Err(self.foreign("is not the folder of a store")),
        }
        match self.meta("node")? {
            Some(node) if *node == me.octets() => Ok(()),
            _ => Err(self.foreign(format!("belongs to another machine than {me}"))),
        }
    }

    /// Counts an item that is written or read.
    fn count(&mut self, key: Vec<u8>, ver: u64) {
        let old = self
            .versions
            .get(&key)
            .map(|old| version_digest(&key, *old));
        self.mark.items += u64::from(old.is_none());
        self.mark.sum = self
            .mark
            .sum
            .wrapping_sub(old.unwrap_or_default())
            .wrapping_add(version_digest(&key, ver));
        self.versions.insert(key, ver);
    }

    /// Counts that an item is removed.
    fn discount(&mut self, key: &[u8]) {
        if let Some(ver) = self.versions.remove(key) {
            self.mark.items -= 1;
            self.mark.sum = self.mark.sum.wrapping_sub(version_digest(key, ver));
        }
    }

    fn read(&mut self) -> Result<Option<Kept>, Unusable> {
        fn decoded<T: serde::de::DeserializeOwned>(
            disk: &Disk,
            bytes: &[u8],
        ) -> Result<T, Unusable> {
            postcard::from_bytes(bytes)
                .map_err(|error| disk.foreign(format!("holds what is unreadable: {error}")))
        }
        let Some(promised) = self.meta("promised")? else {
            return Ok(None);
        };
        let (promised, voting) = decoded(self, &promised)?;
        // A disk of a time before there were incarnations has none.
        let (incarnation, renewals, candidacy) = match self.meta("incarnations")? {
            Some(incarnations) => decoded(self, &incarnations)?,
            None => Default::default(),
        };
        let pending = match self.meta("pending")? {
            Some(pending) => decoded(self, &pending)?,
            None => Pending::default(),
        };
        let mut chosen = Vec::new();
        for entry in self.items.iter() {
            let (_, item) = entry.map_err(|error| self.wrong(error))?;
            chosen.push(decoded::<Item>(self, &item)?);
        }
        chosen
            .iter()
            .for_each(|item| self.count(named(&item.key), item.ver));
        Ok(Some(Kept {
            chosen,
            promised,
            pending,
            voting,
            incarnation,
            renewals,
            candidacy,
        }))
    }

    /// Takes a write; it lasts through a loss of power once a later [`Disk::sync`] is over.
    ///
    /// # Errors
    ///
    /// [`Unusable`]: what the disk holds is not known before it is opened again.
    pub fn write(&mut self, write: &Write) -> Result<(), Unusable> {
        let mut batch = self.keyspace.batch();
        for item in &write.chosen {
            self.count(named(&item.key), item.ver);
            batch.insert(&self.items, named(&item.key), self.encoded(item)?);
        }
        for key in &write.removed {
            self.discount(&named(key));
            batch.remove(&self.items, named(key));
        }
        if std::mem::take(&mut self.is_former) {
            batch.insert(&self.meta, "format", FORMAT);
        }
        if let Some(pending) = &write.pending {
            batch.insert(&self.meta, "pending", self.encoded(pending)?);
        }
        let incarnations = (write.incarnation, &write.renewals, &write.candidacy);
        batch.insert(&self.meta, "incarnations", self.encoded(&incarnations)?);
        batch.insert(
            &self.meta,
            "promised",
            self.encoded(&(write.promised, write.voting))?,
        );
        self.mark.number += 1;
        batch.insert(&self.meta, "mark", self.mark.encode());
        batch.commit().map_err(|error| self.wrong(error))?;
        // `commit` passes over errors of the journal.
        self.keyspace
            .persist(PersistMode::Buffer)
            .map_err(|error| self.wrong(error))?;
        match at(&self.folder, self.journal.follow(self.mark))? {
            true => Ok(()),
            false => Err(Unusable::Unwritten(self.folder.clone())),
        }
    }

    fn encoded<T: serde::Serialize>(&self, value: &T) -> Result<Vec<u8>, Unusable> {
        postcard::to_extend(value, Vec::new()).map_err(|error| self.foreign(error.to_string()))
    }

    /// Waits until all writes are on the disk.
    ///
    /// # Errors
    ///
    /// [`Unusable`], as for [`Disk::write`].
    pub fn sync(&mut self) -> Result<(), Unusable> {
        self.keyspace
            .persist(PersistMode::SyncAll)
            .map_err(|error| self.wrong(error))?;
        if self.synced.number() == Some(self.mark.number) {
            return Ok(());
        }
        at(&self.folder, self.synced.write(self.mark))
    }
}

fn keyspace(store: &Path) -> fjall::Result<(Keyspace, PartitionHandle, PartitionHandle)> {
    let keyspace = Config::new(store)
        .flush_workers(1)
        .compaction_workers(1)
        .cache_size(256 << 10)
        .max_journaling_size(24 << 20)
        .max_write_buffer_size(16 << 20)
        .fsync_ms(None)
        .open()?;
    let options = || PartitionCreateOptions::default().max_memtable_size(MEMTABLE);
    let items = keyspace.open_partition("items", options())?;
    let meta = keyspace.open_partition("meta", options())?;
    Ok((keyspace, items, meta))
}

fn at<T>(place: &Path, result: io::Result<T>) -> Result<T, Unusable> {
    result.map_err(|error| Unusable::Folder(place.into(), error))
}

fn lost(store: &Path, found: u64, synced: Option<u64>) -> Unusable {
    let what = match synced {
        Some(synced) => format!("{synced} writes were, {found} are here"),
        None => format!("{found} writes are here, and the record of what was synced is not"),
    };
    Unusable::Lost(store.into(), what)
}

/// How many bytes the files in a folder take. A journal is made longer than what is in it, so its length alone says too much.
pub(crate) fn used(folder: &Path) -> io::Result<u64> {
    let mut sum = 0;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        sum += match entry.metadata() {
            Ok(about) if about.is_dir() => used(&entry.path())?,
            Ok(about) => about.len().min(about.blocks() * 512),
            // Made and removed by `fjall` in the meantime.
            Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
            Err(error) => return Err(error),
        };
    }
    Ok(sum)
}

fn version_digest(key: &[u8], ver: u64) -> u64 {
    xxh3_64(&[key, &ver.to_be_bytes()].concat())
}

fn named(key: &Key) -> Vec<u8> {
    [&[key.kind as u8], key.name.as_bytes()].concat()
}

/// Makes an empty keyspace that belongs to this store, and names it once it is whole.
fn form(folder: &Path, me: Ipv4Addr) -> Result<(), Unusable> {
    let (forming, store) = (folder.join(FORMING), folder.join(STORE));
    if at(&forming, forming.try_exists())? {
        at(&forming, fs::remove_dir_all(&forming))?;
    }
    let formed = keyspace(&forming).and_then(|(keyspace, _, meta)| {
        let mut batch = keyspace.batch();
        batch.insert(&meta, "format", FORMAT);
        batch.insert(&meta, "node", me.octets());
        batch.commit()?;
        keyspace.persist(PersistMode::SyncAll)
    });
    formed.map_err(|error| Unusable::Keyspace(forming.clone(), error))?;
    at(&store, fs::rename(&forming, &store))?;
    at(
        folder,
        File::open(folder).and_then(|folder| folder.sync_all()),
    )?;
    let Some(parent) = folder
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
    else {
        return Ok(());
    };
    // The folder itself is the platform's; where its parent can't be opened, there is nothing to be done for
    // it.
    _ = File::open(parent).and_then(|parent| parent.sync_all());
    Ok(())
}
