//! Crash points for tests of the state that a kill leaves behind: `EMBERPIN_DIE_AT=POINT:N` aborts the process when
//! that point is reached for the Nth time, and `EMBERPIN_STOP_AT=POINT:N` stops it there until it is continued or
//! killed. Only in builds with debug assertions; in a release build the points do nothing.

use emberpin_wal::{FileIdentity, Storage};
use std::io;

/// Marks that execution has reached the point of this name, and crashes or stops the process if the environment asks
/// for it.
#[cfg(debug_assertions)]
pub fn reach(point: &str) {
    use std::sync::OnceLock;
    static CRASH: OnceLock<Option<CrashPoint>> = OnceLock::new();
    static STOP: OnceLock<Option<CrashPoint>> = OnceLock::new();
    if CRASH
        .get_or_init(|| CrashPoint::read("EMBERPIN_DIE_AT"))
        .as_ref()
        .is_some_and(|at| at.is_reached(point))
    {
        // Like kill -9: nothing is flushed, dropped or logged.
        std::process::abort();
    }
    if STOP
        .get_or_init(|| CrashPoint::read("EMBERPIN_STOP_AT"))
        .as_ref()
        .is_some_and(|at| at.is_reached(point))
    {
        // Like SIGSTOP from outside: all threads stop.
        _ = nix::sys::signal::raise(nix::sys::signal::Signal::SIGSTOP);
    }
}

/// A crash point, as an environment variable names it.
#[cfg(debug_assertions)]
struct CrashPoint {
    point: String,
    /// The number of the visit at which it takes effect, counted from 1.
    visit: u32,
    /// Number of visits until now.
    visits: std::sync::atomic::AtomicU32,
}

#[cfg(debug_assertions)]
impl CrashPoint {
    fn read(variable: &str) -> Option<CrashPoint> {
        let text = std::env::var(variable).ok()?;
        let (point, visit) = text.split_once(':')?;
        Some(CrashPoint {
            point: point.into(),
            visit: visit.parse().ok()?,
            visits: Default::default(),
        })
    }

    fn is_reached(&self, point: &str) -> bool {
        use std::sync::atomic::Ordering;
        self.point == point && self.visits.fetch_add(1, Ordering::SeqCst) + 1 == self.visit
    }
}

/// Does nothing in a release build.
#[cfg(not(debug_assertions))]
pub fn reach(_point: &str) {}

/// A storage with crash points before each append, before each fsync and after it.
pub struct CrashPointStorage<S>(pub S);

impl<S: Storage> Storage for CrashPointStorage<S> {
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
        reach("write");
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
        reach("fsync");
        self.0.sync(name)?;
        reach("synced");
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
