//! A folder as storage, locked by one process.

use crate::storage::{FileIdentity, Storage};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::{DirBuilderExt, FileExt, MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

/// The file whose lock (flock(2)) marks the folder as in use by a process.
const LOCK: &str = "lock";

/// A folder of files, locked by one process.
#[derive(Debug)]
pub struct Files {
    folder: PathBuf,
    open: BTreeMap<String, File>,
    /// The lock is held until this is dropped.
    _lock: Option<File>,
}

impl Files {
    /// Locks a folder for this process, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if another process has locked it; otherwise the error of the file system.
    pub fn lock(folder: &Path) -> io::Result<Files> {
        std::fs::DirBuilder::new()
            .recursive(true)
            .mode(0o700)
            .create(folder)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .mode(0o600)
            .open(folder.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(Files {
                folder: folder.into(),
                open: BTreeMap::new(),
                _lock: Some(lock),
            }),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// Opens a folder for reading only, without locking it.
    pub fn look(folder: &Path) -> Files {
        Files {
            folder: folder.into(),
            open: BTreeMap::new(),
            _lock: None,
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&File> {
        if !self.open.contains_key(name) {
            let writable = self._lock.is_some();
            let file = OpenOptions::new()
                .read(true)
                .write(writable)
                .open(self.folder.join(name))?;
            self.open.insert(name.into(), file);
        }
        self.open
            .get(name)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Storage for Files {
    fn names(&mut self) -> io::Result<Vec<String>> {
        std::fs::read_dir(&self.folder)?
            .map(|entry| entry.map(|entry| entry.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.folder.join(name);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .mode(0o600)
            .open(path)?;
        self.open.insert(name.into(), file);
        Ok(())
    }

    fn identity(&mut self, name: &str) -> io::Result<FileIdentity> {
        let metadata = self.file(name)?.metadata()?;
        let born = metadata
            .created()
            .ok()
            .and_then(|born| born.duration_since(UNIX_EPOCH).ok());
        Ok(FileIdentity {
            inode: metadata.ino(),
            born_ns: born.and_then(|born| u64::try_from(born.as_nanos()).ok()),
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        let end = file.metadata()?.len();
        file.write_all_at(bytes, end)
    }

    fn overwrite(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all_at(bytes, at)
    }

    fn read(&mut self, name: &str, at: u64, into: &mut [u8]) -> io::Result<usize> {
        self.file(name)?.read_at(into, at)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        std::fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        std::fs::remove_file(self.folder.join(name))
    }
}

/// The kernel's random id of the machine's current boot (random(4)); zeros if it is not available, and then no two
/// starts count as the same boot.
pub fn boot_id() -> [u8; 16] {
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let digits: Vec<u8> = text
        .chars()
        .filter_map(|c| c.to_digit(16))
        .map(|digit| digit as u8)
        .collect();
    let mut id = [0; 16];
    if digits.len() == 32 {
        for (byte, pair) in id.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = pair[0] << 4 | pair[1];
        }
    }
    id
}
