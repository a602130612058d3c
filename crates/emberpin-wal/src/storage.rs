//! The operations of a file system that a log uses, as a trait, so that tests can inject faults into each of them.

use std::io;

/// Distinguishes a file from a copy of it: a copy has another inode number, or another time of creation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FileIdentity {
    /// Inode number.
    pub inode: u64,
    /// Time of creation in nanoseconds since 1970, if the file system records it.
    pub born_ns: Option<u64>,
}

/// One folder of files. Names are plain file names.
///
/// Errors are those of the operating system. After an error of a write, the content of the file is unknown until the
/// file is truncated.
pub trait Storage {
    /// All names in the folder, in any order.
    ///
    /// # Errors
    ///
    /// The folder cannot be read.
    fn names(&mut self) -> io::Result<Vec<String>>;
    /// Creates an empty file.
    ///
    /// # Errors
    ///
    /// The file exists already, or cannot be created.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// The identity that distinguishes this file from its copies.
    ///
    /// # Errors
    ///
    /// The file is not there, or cannot be read.
    fn identity(&mut self, name: &str) -> io::Result<FileIdentity>;
    /// Appends bytes to a file. After an error, part of them may have been written.
    ///
    /// # Errors
    ///
    /// The bytes were not written, or only in part.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Overwrites a file's bytes from offset `at` on, and extends the file if necessary.
    ///
    /// # Errors
    ///
    /// The bytes were not written, or only in part.
    fn overwrite(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()>;
    /// Reads bytes from offset `at` on, and returns how many; 0 at the end of the file.
    ///
    /// # Errors
    ///
    /// The file is not there, or cannot be read.
    fn read(&mut self, name: &str, at: u64, into: &mut [u8]) -> io::Result<usize>;
    /// Truncates a file to `length` bytes.
    ///
    /// # Errors
    ///
    /// The file keeps its length.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Returns once a file's bytes would survive a loss of power (fdatasync(2)).
    ///
    /// # Errors
    ///
    /// The bytes written since the last successful sync may not survive a loss of power.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Returns once the names in the folder, created, changed or removed, would survive a loss of power.
    ///
    /// # Errors
    ///
    /// The names created, changed or removed since the last successful sync may not survive a loss of power.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Renames a file, and replaces any file that has the new name.
    ///
    /// # Errors
    ///
    /// The file keeps its name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The file is not removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Lets a log borrow its storage, which can then be used after the log is dropped.
impl<S: Storage> Storage for &mut S {
    fn names(&mut self) -> io::Result<Vec<String>> {
        (**self).names()
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        (**self).create(name)
    }
    fn identity(&mut self, name: &str) -> io::Result<FileIdentity> {
        (**self).identity(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        (**self).append(name, bytes)
    }
    fn overwrite(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        (**self).overwrite(name, at, bytes)
    }
    fn read(&mut self, name: &str, at: u64, into: &mut [u8]) -> io::Result<usize> {
        (**self).read(name, at, into)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        (**self).truncate(name, length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        (**self).sync(name)
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        (**self).sync_folder()
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        (**self).rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        (**self).remove(name)
    }
}
