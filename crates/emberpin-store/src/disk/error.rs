//! Why the disk of a store cannot be used.

use super::watermark::WriteNumber;
use std::fmt;
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

/// A failed operation on the disk, or contents that this store must not use.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// A file or folder could not be accessed.
    #[error("{path}: cannot {operation}: {source}")]
    File {
        /// What was attempted.
        operation: FileOperation,
        /// The file or folder.
        path: PathBuf,
        /// What the operating system reported.
        source: io::Error,
    },
    /// The `fjall` keyspace reported an error.
    #[error("{path}: cannot {operation}: {source}")]
    Keyspace {
        /// What was attempted.
        operation: KeyspaceOperation,
        /// The folder of the keyspace.
        path: PathBuf,
        /// What `fjall` reported.
        source: fjall::Error,
    },
    /// The folder is intact, and not one that this store may use.
    #[error("{path}: {mismatch}")]
    Mismatch {
        /// The folder of the keyspace.
        path: PathBuf,
        /// What does not match.
        mismatch: FolderMismatch,
    },
    /// A record exists that cannot be decoded: a fault of this build or of the disk.
    #[error("{path}: cannot decode the record {record:?}: {source}; treat the disk as wiped")]
    Undecodable {
        /// The folder of the keyspace.
        path: PathBuf,
        /// The key of the record.
        record: &'static str,
        /// What the decoder reported.
        source: postcard::Error,
    },
    /// The watermark exists with another length than this build writes.
    #[error("{path}: the record of the last write has {length} bytes; treat the disk as wiped")]
    WatermarkLength {
        /// The folder of the keyspace.
        path: PathBuf,
        /// The length found.
        length: usize,
    },
    /// A value could not be encoded, so that the write was not attempted.
    #[error("{path}: cannot encode the record {record:?}: {source}")]
    Unencodable {
        /// The folder of the keyspace.
        path: PathBuf,
        /// The key of the record.
        record: &'static str,
        /// What the encoder reported.
        source: postcard::Error,
    },
    /// Less is on the disk than was synced to it.
    #[error("{path}: holds less than was synced to it: {loss}; treat the disk as wiped")]
    DataLoss {
        /// The folder of the keyspace.
        path: PathBuf,
        /// What is missing.
        loss: DataLoss,
    },
    /// `fjall` reported success, and the write is not in its journal.
    #[error("{path}: a write did not reach the journal; make room if the disk is full")]
    WriteNotInJournal {
        /// The folder of the keyspace.
        path: PathBuf,
    },
}

impl DiskError {
    /// Whether the contents are wrong, so that neither room on the disk nor another attempt helps.
    pub fn is_damage(&self) -> bool {
        match self {
            DiskError::Mismatch { .. }
            | DiskError::Undecodable { .. }
            | DiskError::WatermarkLength { .. }
            | DiskError::Unencodable { .. }
            | DiskError::DataLoss { .. } => true,
            DiskError::File { .. } | DiskError::WriteNotInJournal { .. } => false,
            DiskError::Keyspace { source, .. } => !matches!(
                source,
                fjall::Error::Io(_)
                    | fjall::Error::Poisoned
                    | fjall::Error::Storage(fjall::LsmError::Io(_))
            ),
        }
    }
}

/// An operation on a file or folder of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOperation {
    /// Create the data folder.
    CreateFolder,
    /// Find out whether a folder exists.
    Probe,
    /// Open the record of what was synced.
    OpenSyncRecord,
    /// Write and sync the record of what was synced.
    WriteSyncRecord,
    /// Read the newest journal.
    ReadJournal,
    /// Cut off an incomplete batch at the journal's end.
    TruncateJournal,
    /// Remove a keyspace whose creation was interrupted.
    RemoveIncomplete,
    /// Give a new keyspace its final name.
    RenameNew,
    /// Sync the data folder.
    SyncFolder,
}

impl FileOperation {
    /// Turns an error of this operation into a [`DiskError`], for `map_err`.
    pub(super) fn failed_at(self, path: &Path) -> impl FnOnce(io::Error) -> DiskError + '_ {
        move |source| DiskError::File {
            operation: self,
            path: path.into(),
            source,
        }
    }
}

impl fmt::Display for FileOperation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FileOperation::CreateFolder => "create the folder",
            FileOperation::Probe => "check whether it exists",
            FileOperation::OpenSyncRecord => "open the sync record",
            FileOperation::WriteSyncRecord => "write the sync record",
            FileOperation::ReadJournal => "read the journal",
            FileOperation::TruncateJournal => "truncate the journal",
            FileOperation::RemoveIncomplete => "remove an incomplete keyspace",
            FileOperation::RenameNew => "rename the new keyspace",
            FileOperation::SyncFolder => "sync the folder",
        })
    }
}

/// An operation of the `fjall` keyspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyspaceOperation {
    /// Make a new keyspace.
    Create,
    /// Open an existing keyspace.
    Open,
    /// Read a record.
    Read,
    /// Write a batch.
    Write,
    /// Sync all batches.
    Sync,
}

impl KeyspaceOperation {
    /// Turns an error of this operation into a [`DiskError`], for `map_err`.
    pub(super) fn failed_at(self, path: &Path) -> impl FnOnce(fjall::Error) -> DiskError + '_ {
        move |source| DiskError::Keyspace {
            operation: self,
            path: path.into(),
            source,
        }
    }
}

impl fmt::Display for KeyspaceOperation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            KeyspaceOperation::Create => "create the keyspace",
            KeyspaceOperation::Open => "open the keyspace",
            KeyspaceOperation::Read => "read from the keyspace",
            KeyspaceOperation::Write => "write to the keyspace",
            KeyspaceOperation::Sync => "sync the keyspace",
        })
    }
}

/// Why a folder is not one that this store may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FolderMismatch {
    /// It is a keyspace of some other program.
    #[error("is not the folder of a store")]
    NotAStore,
    /// It was written by a build that this one does not know.
    #[error("has a format that this build does not know; start the build that wrote it")]
    UnknownFormat,
    /// It was written by the store of another machine.
    #[error("belongs to another machine than {own_ip}; give the store an empty folder")]
    OtherMachine {
        /// The address of this store.
        own_ip: Ipv4Addr,
    },
}

/// How it shows that the disk lost data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DataLoss {
    /// The last write found is older than the last one that was synced.
    #[error("{synced} writes were synced, {found} are present")]
    Writes {
        /// Number of the last write that was synced.
        synced: WriteNumber,
        /// Number of the last write that is present.
        found: WriteNumber,
    },
    /// There are writes, and no record of which were synced.
    #[error("{found} writes are present, and the record of what was synced is not")]
    SyncRecord {
        /// Number of the last write that is present.
        found: WriteNumber,
    },
    /// The items are not those that the last write left.
    #[error(
        "{written_count} items were written, {found_count} are present, or have other versions"
    )]
    Items {
        /// How many items there were after the last write.
        written_count: u64,
        /// How many items are present.
        found_count: u64,
    },
}
