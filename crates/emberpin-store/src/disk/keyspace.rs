//! The `fjall` keyspace of a replica: its location, configuration and creation.

use super::error::{DiskError, FileOperation, KeyspaceOperation};
use fjall::{Config, Keyspace, PartitionCreateOptions, PartitionHandle, PersistMode};
use std::fs::{self, File};
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

/// Name of the keyspace's folder in the data folder.
const KEYSPACE_FOLDER: &str = "store";
/// Name of the folder of a keyspace that is being created. It is renamed to [`KEYSPACE_FOLDER`] once it is complete.
const INCOMPLETE_FOLDER: &str = "forming";

/// Value of the record `format`. Its number is increased whenever older builds cannot read the new format.
pub const FORMAT: &[u8] = b"emberpin-store 2";
/// The previous format, without histories and checkpoints. This build reads it, and the next write updates it to
/// [`FORMAT`].
pub const PREVIOUS_FORMAT: &[u8] = b"emberpin-store 1";

/// Keys in the partition `meta`.
pub mod meta_key {
    /// The format of the keyspace.
    pub const FORMAT: &str = "format";
    /// Address of the machine that the keyspace belongs to.
    pub const NODE: &str = "node";
    /// The promised ballot, and whether the replica votes.
    pub const PROMISED: &str = "promised";
    /// The proposal that was accepted and is not known to be chosen.
    pub const PENDING: &str = "pending";
    /// The replica's incarnation, the latest known incarnations of its peers, and its candidacy as a founder.
    pub const INCARNATIONS: &str = "incarnations";
    /// The [`Watermark`](crate::disk::watermark::Watermark) of the last write.
    pub const WATERMARK: &str = "mark";
}

/// Size in bytes at which `fjall` flushes a memtable to tables and begins another journal. A flush keeps the disk busy,
/// so it should be rare.
const MEMTABLE_BYTES: u32 = 8 << 20;
/// Size in bytes of the cache for tables, which are read only when the disk is opened.
const CACHE_BYTES: u64 = 256 << 10;
/// Limits in bytes on all journals, and on the write buffers of all partitions.
const JOURNAL_BYTES: u64 = 24 << 20;
const WRITE_BUFFER_BYTES: u64 = 16 << 20;

/// An open keyspace with its two partitions.
pub struct StoreKeyspace {
    pub keyspace: Keyspace,
    /// Chosen items by kind and name.
    pub items: PartitionHandle,
    /// The records of [`meta_key`].
    pub meta: PartitionHandle,
}

impl StoreKeyspace {
    /// Opens the keyspace in a folder, or creates an empty one if there is none.
    ///
    /// # Errors
    ///
    /// `fjall` could not open the keyspace, possibly because its files are damaged.
    pub fn open(folder: &Path) -> fjall::Result<StoreKeyspace> {
        let keyspace = Config::new(folder)
            .flush_workers(1)
            .compaction_workers(1)
            .cache_size(CACHE_BYTES)
            .max_journaling_size(JOURNAL_BYTES)
            .max_write_buffer_size(WRITE_BUFFER_BYTES)
            .fsync_ms(None)
            .open()?;
        let options = || PartitionCreateOptions::default().max_memtable_size(MEMTABLE_BYTES);
        let items = keyspace.open_partition("items", options())?;
        let meta = keyspace.open_partition("meta", options())?;
        Ok(StoreKeyspace {
            keyspace,
            items,
            meta,
        })
    }
}

/// Returns the keyspace's folder in a data folder.
pub fn keyspace_path(data_folder: &Path) -> PathBuf {
    data_folder.join(KEYSPACE_FOLDER)
}

/// Creates an empty keyspace that belongs to this machine. The folder receives its final name only once it is complete
/// and synced; the next start repeats an interrupted creation.
///
/// # Errors
///
/// A file operation or `fjall` failed.
pub fn create(data_folder: &Path, own_ip: Ipv4Addr) -> Result<(), DiskError> {
    let incomplete = data_folder.join(INCOMPLETE_FOLDER);
    let exists = incomplete.try_exists();
    if exists.map_err(FileOperation::Probe.failed_at(&incomplete))? {
        fs::remove_dir_all(&incomplete)
            .map_err(FileOperation::RemoveIncomplete.failed_at(&incomplete))?;
    }
    write_identity(&incomplete, own_ip)
        .map_err(KeyspaceOperation::Create.failed_at(&incomplete))?;
    let keyspace = keyspace_path(data_folder);
    fs::rename(&incomplete, &keyspace).map_err(FileOperation::RenameNew.failed_at(&keyspace))?;
    sync_folder(data_folder)?;
    sync_parent(data_folder);
    Ok(())
}

/// Creates a keyspace with the records of its format and its machine, and syncs it.
fn write_identity(folder: &Path, own_ip: Ipv4Addr) -> fjall::Result<()> {
    let StoreKeyspace { keyspace, meta, .. } = StoreKeyspace::open(folder)?;
    let mut batch = keyspace.batch();
    batch.insert(&meta, meta_key::FORMAT, FORMAT);
    batch.insert(&meta, meta_key::NODE, own_ip.octets());
    batch.commit()?;
    keyspace.persist(PersistMode::SyncAll)
}

/// Syncs a folder, so that the names in it survive a power failure.
///
/// # Errors
///
/// The folder could not be opened or synced.
pub fn sync_folder(folder: &Path) -> Result<(), DiskError> {
    open_and_sync(folder).map_err(FileOperation::SyncFolder.failed_at(folder))
}

/// Syncs the parent of the data folder, so that the data folder's own name survives a power failure. Ignores errors: the
/// platform creates the data folder, and the store possibly has no access to the parent.
fn sync_parent(folder: &Path) {
    let parent = folder
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty());
    if let Some(parent) = parent {
        _ = open_and_sync(parent);
    }
}

fn open_and_sync(folder: &Path) -> io::Result<()> {
    File::open(folder).and_then(|folder| folder.sync_all())
}
