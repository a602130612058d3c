//! Ends the process at a chosen point, for tests of what a kill there leaves: `EMBERPIN_DIE_AT=POINT:N` ends it when that
//! point is met the Nth time, and `EMBERPIN_STOP_AT` lets it stand still there, until it is woken or killed. Only in builds
//! with debug assertions; in a release build nothing of it is there.

use emberpin_wal::{FileIdentity, Storage as Disk};
use std::io;

/// Meets a point by name.
#[cfg(debug_assertions)]
pub fn here(point: &str) {
    use std::sync::OnceLock;
    static END: OnceLock<Option<Place>> = OnceLock::new();
    static STOP: OnceLock<Option<Place>> = OnceLock::new();
    if END
        .get_or_init(|| Place::read("EMBERPIN_DIE_AT"))
        .as_ref()
        .is_some_and(|place| place.is_met(point))
    {
        // As kill -9: nothing is flushed, dropped or said.
        std::process::abort();
    }
    if STOP
        .get_or_init(|| Place::read("EMBERPIN_STOP_AT"))
        .as_ref()
        .is_some_and(|place| place.is_met(point))
    {
        // As SIGSTOP from outside: no thread goes on.
        _ = nix::sys::signal::raise(nix::sys::signal::Signal::SIGSTOP);
    }
}

/// A point, and the time that it is met.
#[cfg(debug_assertions)]
struct Place {
    point: String,
    count: u32,
    met: std::sync::atomic::AtomicU32,
}

#[cfg(debug_assertions)]
impl Place {
    fn read(variable: &str) -> Option<Place> {
        let text = std::env::var(variable).ok()?;
        let (point, count) = text.split_once(':')?;
        Some(Place {
            point: point.into(),
            count: count.parse().ok()?,
            met: Default::default(),
        })
    }

    fn is_met(&self, point: &str) -> bool {
        use std::sync::atomic::Ordering;
        self.point == point && self.met.fetch_add(1, Ordering::SeqCst) + 1 == self.count
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
