//! The id of the system that a store belongs to: a digest of the system's first roster.
//!
//! Founders compute the id once a majority of them agrees on the roster; all other stores learn it from the seeds in
//! their settings. The id is saved in a file of the data folder. A process that does not know the id yet accepts all
//! peers, and is accepted by all.
//!
//! The id distinguishes systems with different founders, but not two systems that the same addresses founded one after
//! the other.

use emberpin_config::Version;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::system_id::SystemId;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Name of the file in the data folder.
const FILE_NAME: &str = "system";
/// Name of the file until it is complete. Then it is renamed to [`FILE_NAME`].
const INCOMPLETE_FILE_NAME: &str = "system.forming";
/// The version of the first roster, which the founders create.
const FIRST_ROSTER_VERSION: Version = Version(1);

/// Returns the id of the system that these voters founded; `None` if the roster with this version is not the first one.
pub fn founded_by(roster_version: Version, voters: &[Ipv4Addr]) -> Option<SystemId> {
    if roster_version != FIRST_ROSTER_VERSION {
        return None;
    }
    let bytes: Vec<u8> = voters.iter().flat_map(Ipv4Addr::octets).collect();
    SystemId::new(xxh3_64(&bytes))
}

/// Keeps the id that the process knows saved in the data folder.
pub struct SystemRecord {
    folder: PathBuf,
    identity: Arc<ProcessIdentity>,
    /// Whether the id is in the file, or the task that saves it was started.
    is_saved: bool,
}

impl SystemRecord {
    /// Reads the id from a data folder, if the file exists, and makes the process adopt it.
    pub fn load(folder: PathBuf, identity: Arc<ProcessIdentity>) -> SystemRecord {
        let system = read_system_id(&folder);
        if let Some(system) = system {
            identity.set_system_if_unknown(system);
        }
        SystemRecord {
            folder,
            identity,
            is_saved: system.is_some(),
        }
    }

    /// Saves the id once the process knows it. If the process learned no id from a peer, it adopts the one that
    /// `founded_system` returns, if any.
    pub fn update(&mut self, founded_system: impl FnOnce() -> Option<SystemId>) {
        if self.is_saved {
            return;
        }
        if self.identity.system().is_none() {
            if let Some(system) = founded_system() {
                self.identity.set_system_if_unknown(system);
            }
        }
        if let Some(system) = self.identity.system() {
            self.is_saved = true;
            let folder = self.folder.clone();
            tokio::task::spawn_blocking(move || {
                if let Err(error) = save_system_id(&folder, system) {
                    log::warn!("id of the system cannot be saved: system={system} error={error}");
                }
            });
        }
    }
}

/// Reads the id from its file; `None` if the file is missing or malformed.
fn read_system_id(folder: &Path) -> Option<SystemId> {
    let path = folder.join(FILE_NAME);
    let text = fs::read_to_string(&path).ok()?;
    let system = u64::from_str_radix(text.trim(), 16)
        .ok()
        .and_then(SystemId::new);
    if system.is_none() {
        log::warn!(
            "malformed id of the system ignored: file={}",
            path.display()
        );
    }
    system
}

/// Writes the id to its file so that after a crash the file is either complete or absent.
fn save_system_id(folder: &Path, system: SystemId) -> io::Result<()> {
    let incomplete = folder.join(INCOMPLETE_FILE_NAME);
    let mut file = File::create(&incomplete)?;
    writeln!(file, "{system}")?;
    file.sync_all()?;
    fs::rename(&incomplete, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}
