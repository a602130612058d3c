//! What a log needs of a file system, so that tests can break each of its promises.

use std::io;

/// Tells a file from a copy of it: a copy has another number, or another time of birth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FileIdentity {
    /// Inode number.
    pub inode: u64,
    /// Time of creation in nanoseconds since 1970, if the file system records it.
    pub born_ns: Option<u64>,
}

/// One folder of files. Names are plain file names.
///
/// Errors are the operating system's; after one, what a write has done is unknown until it is truncated.
pub trait Storage {
    /// All names in the folder, in any order.
    ///
    /// # Errors
    ///
    /// The folder cannot be read.
    fn names(&mut self) -> io::Result<Vec<String>>;
    /// Makes an empty file; one that is there already is an error.
    ///
    /// # Errors
    ///
    /// The file exists already, or cannot be made.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// What tells this file from its copies.
    ///
    /// # Errors
    ///
    /// The file is not there, or cannot be read.
    fn identity(&mut self, name: &str) -> io::Result<FileIdentity>;
    /// Writes at the end of a file, which may be written in part when this fails.
    ///
    /// # Errors
    ///
    /// The bytes were not written, or only in part.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Writes over a file's bytes from `at` on, lengthening it if need be.
    ///
    /// # Errors
    ///
    /// The bytes were not written, or only in part.
    fn overwrite(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()>;
    /// Reads from `at` on; 0 at the end.
    ///
    /// # Errors
    ///
    /// The file is not there, or cannot be read.
    fn read(&mut self, name: &str, at: u64, into: &mut [u8]) -> io::Result<usize>;
    /// Cuts a file to `length` bytes.
    ///
    /// # Errors
    ///
    /// The file keeps its length.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Returns once a file's bytes outlast a loss of power (fdatasync(2)).
    ///
    /// # Errors
    ///
    /// Nothing written since the last success may be taken to outlast a loss of power.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// The same for the folder: names made and removed.
    ///
    /// # Errors
    ///
    /// No name made, changed or removed since the last success may be taken to outlast one.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Gives a file another name, in place of any that has it.
    ///
    /// # Errors
    ///
    /// The file keeps its name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The file stays.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A storage that outlives the log over it.
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
