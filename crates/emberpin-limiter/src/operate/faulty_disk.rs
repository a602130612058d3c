//! Disk faults for tests of the log: `EMBERPIN_DISK=KIND:N` injects a fault into the log's disk from its Nth append on,
//! and the file `EMBERPIN_DISK_SAID=FILE` is created when the fault first occurs. Only in builds with debug assertions;
//! a release build uses the disk unchanged.
//!
//! | kind | from the Nth append on |
//! | --- | --- |
//! | `forgets` | writes and syncs report success, and nothing is stored |
//! | `tears` | half of the Nth append is written, and nothing after it; all report success |
//! | `flips` | one bit of the Nth append is inverted; later appends are sound |
//! | `fills` | appends fail because the disk is full |
//! | `stalls` | the next sync takes 5 s |

#[cfg(debug_assertions)]
pub use injected::with_faults;
#[cfg(not(debug_assertions))]
pub use unchanged::with_faults;

#[cfg(not(debug_assertions))]
mod unchanged {
    /// Returns the disk unchanged.
    pub fn with_faults<S>(disk: S) -> S {
        disk
    }
}

#[cfg(debug_assertions)]
mod injected {
    use emberpin_wal::{FileIdentity, Storage};
    use std::io;
    use std::time::Duration;

    const STALL: Duration = Duration::from_secs(5);

    #[derive(Clone, Copy, PartialEq)]
    enum Kind {
        Forgets,
        Tears,
        Flips,
        Fills,
        Stalls,
    }

    /// A disk with the fault that the environment names, if any.
    pub struct FaultyDisk<S> {
        disk: S,
        /// The kind of fault, and the number of the append from which on it occurs.
        fault: Option<(Kind, u64)>,
        appends: u64,
        stalled: bool,
    }

    /// Wraps the disk to inject the fault that the environment names.
    pub fn with_faults<S>(disk: S) -> FaultyDisk<S> {
        let fault = std::env::var("EMBERPIN_DISK").ok().and_then(|text| {
            let (kind, from) = text.split_once(':')?;
            let kind = match kind {
                "forgets" => Kind::Forgets,
                "tears" => Kind::Tears,
                "flips" => Kind::Flips,
                "fills" => Kind::Fills,
                "stalls" => Kind::Stalls,
                _ => return None,
            };
            Some((kind, from.parse().ok()?))
        });
        FaultyDisk {
            disk,
            fault,
            appends: 0,
            stalled: false,
        }
    }

    impl<S> FaultyDisk<S> {
        /// Returns the fault that is active now; creates the file of `EMBERPIN_DISK_SAID` at its first append.
        fn active_fault(&self) -> Option<Kind> {
            let (kind, from) = self.fault.filter(|(_, from)| self.appends >= *from)?;
            if self.appends == from {
                if let Some(marker) = std::env::var_os("EMBERPIN_DISK_SAID") {
                    _ = std::fs::write(marker, "");
                }
            }
            Some(kind)
        }

        /// Whether writes are dropped now.
        fn drops_writes(&self) -> bool {
            matches!(self.active_fault(), Some(Kind::Forgets | Kind::Tears))
        }
    }

    impl<S: Storage> Storage for FaultyDisk<S> {
        fn names(&mut self) -> io::Result<Vec<String>> {
            self.disk.names()
        }
        fn create(&mut self, name: &str) -> io::Result<()> {
            self.disk.create(name)
        }
        fn identity(&mut self, name: &str) -> io::Result<FileIdentity> {
            self.disk.identity(name)
        }
        fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
            self.appends += 1;
            let first = self.fault.is_some_and(|(_, from)| self.appends == from);
            match self.active_fault() {
                Some(Kind::Forgets) => Ok(()),
                Some(Kind::Tears) if first => self.disk.append(name, &bytes[..bytes.len() / 2]),
                Some(Kind::Tears) => Ok(()),
                Some(Kind::Flips) if first => {
                    let mut flipped = bytes.to_vec();
                    if let Some(byte) = flipped.get_mut(bytes.len() / 2) {
                        *byte ^= 0x10;
                    }
                    self.disk.append(name, &flipped)
                }
                Some(Kind::Fills) => Err(io::ErrorKind::StorageFull.into()),
                Some(Kind::Flips | Kind::Stalls) | None => self.disk.append(name, bytes),
            }
        }
        fn overwrite(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
            match self.drops_writes() {
                true => Ok(()),
                false => self.disk.overwrite(name, at, bytes),
            }
        }
        fn read(&mut self, name: &str, at: u64, into: &mut [u8]) -> io::Result<usize> {
            self.disk.read(name, at, into)
        }
        fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
            self.disk.truncate(name, length)
        }
        fn sync(&mut self, name: &str) -> io::Result<()> {
            if self.active_fault() == Some(Kind::Stalls)
                && !std::mem::replace(&mut self.stalled, true)
            {
                std::thread::sleep(STALL);
            }
            match self.drops_writes() {
                true => Ok(()),
                false => self.disk.sync(name),
            }
        }
        fn sync_folder(&mut self) -> io::Result<()> {
            self.disk.sync_folder()
        }
        fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
            self.disk.rename(from, to)
        }
        fn remove(&mut self, name: &str) -> io::Result<()> {
            self.disk.remove(name)
        }
    }
}
