//! Ends the process at a chosen point, for tests of what a kill there leaves: `EMBERPIN_DIE_AT=POINT:N` ends it when that
//! point is met the Nth time. Only in builds with debug assertions; in a release build nothing of it is there.

use emberpin_log::{FileIdentity, Storage as Disk};
use std::io;

/// Meets a point by name.
#[cfg(debug_assertions)]
pub fn here(point: &str) {
    use std::sync::atomic::{AtomicU32, Ordering};
    use std::sync::OnceLock;
    static WHERE: OnceLock<Option<(String, u32)>> = OnceLock::new();
    static MET: AtomicU32 = AtomicU32::new(0);
    let chosen = WHERE.get_or_init(|| {
        let text = std::env::var("EMBERPIN_DIE_AT").ok()?;
        let (point, count) = text.split_once(':')?;
        Some((point.to_string(), count.parse().ok()?))
    });
    if let Some((_, count)) = chosen.as_ref().filter(|(name, _)| name == point) {
        if MET.fetch_add(1, Ordering::SeqCst) + 1 == *count {
            // As kill -9: nothing is flushed, dropped or said.
            std::process::abort();
        }
    }
}

/// Nothing, in a release build.
#[cfg(not(debug_assertions))]
pub fn here(_point: &str) {}

/// A storage that meets a point before it writes, before an fsync and after it.
pub struct Storage<S>(pub S);

impl<S: Disk> Disk for Storage<S> {
    fn names(&mut self) -> io::Result<Vec<String>> {
        self.0.names()
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.0.create(name)
    }
    fn identity(&mut self, name: &str) -> io::Result<FileIdentity> {
        self.0.identity(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        here("write");
        self.0.append(name, bytes)
    }
    fn overwrite(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.overwrite(name, at, bytes)
    }
    fn read(&mut self, name: &str, at: u64, into: &mut [u8]) -> io::Result<usize> {
        self.0.read(name, at, into)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.0.truncate(name, length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        here("fsync");
        self.0.sync(name)?;
        here("synced");
        Ok(())
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.0.sync_folder()
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
}
