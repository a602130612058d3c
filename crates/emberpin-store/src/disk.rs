//! The persistent state of a replica, in a `fjall` keyspace that is read once when it is opened and only written
//! afterwards.
//!
//! Each write contains a watermark. The watermark of the last synced write is recorded in a separate file, the sync
//! record. Opening the disk compares the two, and so detects that the disk lost synced writes.

mod error;
mod item_versions;
mod journal;
mod keyspace;
pub(crate) mod queue;
mod sync_record;
mod usage;
mod watermark;
pub(crate) mod worker;

pub use error::{DataLoss, DiskError, FileOperation, FolderMismatch, KeyspaceOperation};

use emberpin_config::Item;
use emberpin_consensus::{AcceptedProposal, PersistedState, WriteBatch};
use fjall::PersistMode;
use item_versions::{encode_key, ItemVersions};
use journal::{IntactPrefix, JournalReader};
use keyspace::{meta_key, StoreKeyspace, FORMAT, PREVIOUS_FORMAT};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use sync_record::SyncRecord;
use watermark::Watermark;

pub use watermark::WriteNumber;

/// The open disk of a replica.
pub struct Disk {
    keyspace: StoreKeyspace,
    /// The keyspace's folder.
    path: PathBuf,
    journal: JournalReader,
    sync_record: SyncRecord,
    versions: ItemVersions,
    /// The number of the last write.
    write_number: WriteNumber,
    /// Whether the keyspace still has the previous format, which the next write updates.
    has_previous_format: bool,
}

impl Disk {
    /// Opens the disk in a data folder, and reads its state; the state is `None` if nothing was ever written there. A
    /// missing or empty folder becomes the disk of this machine.
    ///
    /// # Errors
    ///
    /// [`DiskError`]: the folder cannot be used, belongs to another machine, or lacks synced writes. Synced data is left
    /// unchanged.
    pub fn open(
        folder: &Path,
        own_ip: Ipv4Addr,
    ) -> Result<(Disk, Option<PersistedState>), DiskError> {
        let path = keyspace::keyspace_path(folder);
        fs::create_dir_all(folder).map_err(FileOperation::CreateFolder.failed_at(folder))?;
        let sync_record =
            SyncRecord::open(folder).map_err(FileOperation::OpenSyncRecord.failed_at(folder))?;
        let synced = sync_record.write_number();
        if !path
            .try_exists()
            .map_err(FileOperation::Probe.failed_at(&path))?
        {
            if synced.is_some_and(|synced| synced > WriteNumber::NONE) {
                return Err(missing_writes(&path, WriteNumber::NONE, synced));
            }
            keyspace::create(folder, own_ip)?;
        }
        discard_incomplete_writes(&path, synced)?;
        let mut disk = Disk::open_keyspace(&path, sync_record)?;
        disk.check_identity(own_ip)?;
        let state = disk.read_state()?;
        disk.check_completeness(synced)?;
        if synced.is_none() {
            let watermark = disk.watermark();
            disk.sync_record
                .update(watermark)
                .map_err(FileOperation::WriteSyncRecord.failed_at(folder))?;
            keyspace::sync_folder(folder)?;
        }
        Ok((disk, state))
    }

    /// Opens the keyspace, and positions the journal reader at the next write.
    fn open_keyspace(path: &Path, sync_record: SyncRecord) -> Result<Disk, DiskError> {
        let journal_before_open =
            journal::newest_number(path).map_err(FileOperation::ReadJournal.failed_at(path))?;
        let keyspace =
            StoreKeyspace::open(path).map_err(KeyspaceOperation::Open.failed_at(path))?;
        let journal = JournalReader::at_end(path, journal_before_open)
            .map_err(FileOperation::ReadJournal.failed_at(path))?;
        Ok(Disk {
            keyspace,
            path: path.into(),
            journal,
            sync_record,
            versions: ItemVersions::default(),
            write_number: WriteNumber::NONE,
            has_previous_format: false,
        })
    }

    /// Checks that the keyspace has a known format and belongs to this machine.
    fn check_identity(&mut self, own_ip: Ipv4Addr) -> Result<(), DiskError> {
        let mismatch = |mismatch| DiskError::Mismatch {
            path: self.path.clone(),
            mismatch,
        };
        let format = self
            .meta(meta_key::FORMAT)?
            .ok_or_else(|| mismatch(FolderMismatch::NotAStore))?;
        let has_previous_format = *format == *PREVIOUS_FORMAT;
        if !has_previous_format && *format != *FORMAT {
            return Err(mismatch(FolderMismatch::UnknownFormat));
        }
        match self.meta(meta_key::NODE)? {
            Some(node) if *node == own_ip.octets() => {}
            _ => return Err(mismatch(FolderMismatch::OtherMachine { own_ip })),
        }
        self.has_previous_format = has_previous_format;
        Ok(())
    }

    /// Reads the persisted state; `None` if there is no write yet. Collects the versions of the items for watermarks.
    fn read_state(&mut self) -> Result<Option<PersistedState>, DiskError> {
        let Some((promised, voting)) = self.decode_meta(meta_key::PROMISED)? else {
            return Ok(None);
        };
        // Either record can be missing: builds without incarnations did not write `incarnations`, and `pending` is first
        // written with the first accepted proposal.
        let (incarnation, latest_incarnations, bootstrap_candidate) = self
            .decode_meta(meta_key::INCARNATIONS)?
            .unwrap_or_default();
        let accepted: AcceptedProposal = self.decode_meta(meta_key::PENDING)?.unwrap_or_default();
        let chosen = self.read_items()?;
        for item in &chosen {
            self.versions.insert(encode_key(&item.key), item.version);
        }
        Ok(Some(PersistedState {
            chosen,
            promised,
            accepted,
            voting,
            incarnation,
            latest_incarnations,
            bootstrap_candidate,
        }))
    }

    fn read_items(&self) -> Result<Vec<Item>, DiskError> {
        let mut items = Vec::new();
        for entry in self.keyspace.items.iter() {
            let (_, item) = entry.map_err(KeyspaceOperation::Read.failed_at(&self.path))?;
            items.push(self.decode("item", &item)?);
        }
        Ok(items)
    }

    /// Checks that the items read match the watermark of the last write, and that no synced write is missing.
    fn check_completeness(&mut self, synced: Option<WriteNumber>) -> Result<(), DiskError> {
        let Some(bytes) = self.meta(meta_key::WATERMARK)? else {
            // Builds without watermarks did not write sync records either.
            return match synced {
                None | Some(WriteNumber::NONE) => Ok(()),
                Some(_) => Err(missing_writes(&self.path, WriteNumber::NONE, synced)),
            };
        };
        let last_write = Watermark::decode(&bytes).ok_or_else(|| DiskError::WatermarkLength {
            path: self.path.clone(),
            length: bytes.len(),
        })?;
        self.write_number = last_write.write_number;
        if synced.is_none_or(|synced| last_write.write_number < synced) {
            return Err(missing_writes(&self.path, last_write.write_number, synced));
        }
        let read = self.versions.watermark(last_write.write_number);
        if read != last_write {
            return Err(DiskError::DataLoss {
                path: self.path.clone(),
                loss: DataLoss::Items {
                    written_count: last_write.item_count,
                    found_count: read.item_count,
                },
            });
        }
        Ok(())
    }

    /// Appends a write to the journal. The write survives a power failure once a later [`Disk::sync`] has returned.
    ///
    /// # Errors
    ///
    /// [`DiskError`]: the contents of the disk are unknown until it is opened again.
    pub fn write(&mut self, write: &WriteBatch) -> Result<(), DiskError> {
        let mut batch = self.keyspace.keyspace.batch();
        for item in &write.chosen {
            let key = encode_key(&item.key);
            batch.insert(
                &self.keyspace.items,
                key.clone(),
                self.encode("item", item)?,
            );
            self.versions.insert(key, item.version);
        }
        for key in &write.removed {
            let key = encode_key(key);
            self.versions.remove(&key);
            batch.remove(&self.keyspace.items, key);
        }
        let meta = &self.keyspace.meta;
        if std::mem::take(&mut self.has_previous_format) {
            batch.insert(meta, meta_key::FORMAT, FORMAT);
        }
        if let Some(accepted) = &write.accepted {
            let accepted = self.encode(meta_key::PENDING, accepted)?;
            batch.insert(meta, meta_key::PENDING, accepted);
        }
        let incarnations = (
            write.incarnation,
            &write.latest_incarnations,
            &write.bootstrap_candidate,
        );
        let incarnations = self.encode(meta_key::INCARNATIONS, &incarnations)?;
        batch.insert(meta, meta_key::INCARNATIONS, incarnations);
        let promised = self.encode(meta_key::PROMISED, &(write.promised, write.voting))?;
        batch.insert(meta, meta_key::PROMISED, promised);
        self.write_number = self.write_number.next();
        let watermark = self.watermark();
        batch.insert(meta, meta_key::WATERMARK, watermark.encode());
        self.commit(batch, watermark)
    }

    /// Commits a batch, and checks that it is in the journal file.
    fn commit(&mut self, batch: fjall::Batch, watermark: Watermark) -> Result<(), DiskError> {
        batch
            .commit()
            .map_err(KeyspaceOperation::Write.failed_at(&self.path))?;
        // `fjall`'s `commit` ignores errors when it writes the journal.
        self.keyspace
            .keyspace
            .persist(PersistMode::Buffer)
            .map_err(KeyspaceOperation::Write.failed_at(&self.path))?;
        let is_in_journal = self
            .journal
            .confirm(watermark)
            .map_err(FileOperation::ReadJournal.failed_at(&self.path))?;
        if !is_in_journal {
            return Err(DiskError::WriteNotInJournal {
                path: self.path.clone(),
            });
        }
        Ok(())
    }

    /// Syncs all writes, and records that in the sync record.
    ///
    /// # Errors
    ///
    /// [`DiskError`], as for [`Disk::write`].
    pub fn sync(&mut self) -> Result<(), DiskError> {
        self.sync_journal()?;
        self.record_sync()
    }

    /// Syncs all writes, without an update of the sync record.
    ///
    /// # Errors
    ///
    /// [`DiskError`], as for [`Disk::write`].
    pub fn sync_journal(&mut self) -> Result<(), DiskError> {
        self.keyspace
            .keyspace
            .persist(PersistMode::SyncAll)
            .map_err(KeyspaceOperation::Sync.failed_at(&self.path))
    }

    /// Records in the sync record that all writes are synced. To be called after [`Disk::sync_journal`].
    ///
    /// # Errors
    ///
    /// [`DiskError`], as for [`Disk::write`].
    pub fn record_sync(&mut self) -> Result<(), DiskError> {
        if self.sync_record.write_number() == Some(self.write_number) {
            return Ok(());
        }
        let watermark = self.watermark();
        self.sync_record
            .update(watermark)
            .map_err(FileOperation::WriteSyncRecord.failed_at(&self.path))
    }

    /// Returns the watermark of the last write.
    fn watermark(&self) -> Watermark {
        self.versions.watermark(self.write_number)
    }

    fn meta(&self, key: &str) -> Result<Option<fjall::Slice>, DiskError> {
        self.keyspace
            .meta
            .get(key)
            .map_err(KeyspaceOperation::Read.failed_at(&self.path))
    }

    fn decode_meta<T: DeserializeOwned>(&self, key: &'static str) -> Result<Option<T>, DiskError> {
        match self.meta(key)? {
            Some(bytes) => self.decode(key, &bytes).map(Some),
            None => Ok(None),
        }
    }

    fn decode<T: DeserializeOwned>(
        &self,
        record: &'static str,
        bytes: &[u8],
    ) -> Result<T, DiskError> {
        postcard::from_bytes(bytes).map_err(|source| DiskError::Undecodable {
            path: self.path.clone(),
            record,
            source,
        })
    }

    fn encode<T: Serialize>(&self, record: &'static str, value: &T) -> Result<Vec<u8>, DiskError> {
        postcard::to_extend(value, Vec::new()).map_err(|source| DiskError::Unencodable {
            path: self.path.clone(),
            record,
            source,
        })
    }
}

/// Truncates the newest journal after its last intact batch, or fails if synced writes are missing. Only unsynced
/// writes are lost, which is safe: a message is sent only after the writes that it depends on are synced. `fjall` would
/// truncate everything behind damage, synced or not, so this runs before `fjall` opens the keyspace.
fn discard_incomplete_writes(path: &Path, synced: Option<WriteNumber>) -> Result<(), DiskError> {
    let prefix = IntactPrefix::find_in_newest_journal(path)
        .map_err(FileOperation::ReadJournal.failed_at(path))?;
    let Some(prefix) = prefix else {
        return Ok(());
    };
    if let Some(last_intact) = prefix.watermark {
        let found = last_intact.write_number;
        if synced.map_or(found > WriteNumber::NONE, |synced| found < synced) {
            return Err(missing_writes(path, found, synced));
        }
    }
    prefix
        .truncate_journal()
        .map_err(FileOperation::TruncateJournal.failed_at(path))
}

/// The error for a keyspace whose last write is `found`, less than `synced` from the sync record, if that exists.
fn missing_writes(path: &Path, found: WriteNumber, synced: Option<WriteNumber>) -> DiskError {
    let loss = match synced {
        Some(synced) => DataLoss::Writes { synced, found },
        None => DataLoss::SyncRecord { found },
    };
    DiskError::DataLoss {
        path: path.into(),
        loss,
    }
}
