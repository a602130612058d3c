//! Disks that lie, for tests of what a log on one is worth: `EMBERPIN_DISK=KIND:N` makes the log's disk lie from its Nth
//! append on, and `EMBERPIN_DISK_SAID=FILE` is made when it first does. Only in builds with debug assertions; in a release
//! build a disk is what it is.
//!
//! | kind | from the Nth append on |
//! | --- | --- |
//! | `forgets` | says that all was written and synced, and keeps nothing of it |
//! | `tears` | half of that one is written, and nothing after it, and all is said to be |
//! | `flips` | a bit of that one is another; what follows is sound |
//! | `fills` | there is no room |
//! | `stalls` | the next sync takes 5 s |

#[cfg(not(debug_assertions))]
pub use sound::of;
#[cfg(debug_assertions)]
pub use test::of;

#[cfg(not(debug_assertions))]
mod sound {
    /// The disk as it is.
    pub fn of<S>(disk: S) -> S {
        disk
    }
}

#[cfg(debug_assertions)]
mod test {
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

    /// A disk that lies, if the environment says so.
    pub struct Disk<S> {
        disk: S,
        lie: Option<(Kind, u64)>,
        appends: u64,
        stalled: bool,
    }

    /// This disk, lying as the environment says.
    pub fn of<S>(disk: S) -> Disk<S> {
        let lie = std::env::var("EMBERPIN_DISK").ok().and_then(|text| {
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
        Disk {
            disk,
            lie,
            appends: 0,
            stalled: false,
        }
    }

    impl<S> Disk<S> {
        /// The lie that is on; the first time it is, that is said.
        fn lies(&self) -> Option<Kind> {
            let (kind, from) = self.lie.filter(|(_, from)| self.appends >= *from)?;
            if self.appends == from {
                if let Some(said) = std::env::var_os("EMBERPIN_DISK_SAID") {
                    _ = std::fs::write(said, "");
                }
            }
            Some(kind)
        }

        fn keeps_nothing(&self) -> bool {
            matches!(self.lies(), Some(Kind::Forgets | Kind::Tears))
        }
    }

    impl<S: Storage> Storage for Disk<S> {
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
            let first = self.lie.is_some_and(|(_, from)| self.appends == from);
            match self.lies() {
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
            match self.keeps_nothing() {
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
            if self.lies() == Some(Kind::Stalls) && !std::mem::replace(&mut self.stalled, true) {
                std::thread::sleep(STALL);
            }
            match self.keeps_nothing() {
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
