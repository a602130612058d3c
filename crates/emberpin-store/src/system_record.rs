//! The id of the system that a store belongs to, a digest of the first roster.
//!
//! Founders compute it once a majority of them agrees on the roster; all others learn it from the machines that their
//! settings name. It is saved in a file of the data folder. A process that does not know its id yet accepts all peers,
//! and is accepted by all.
//!
//! The id tells systems with different founders apart, not two that the same addresses founded one after the other.

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
/// Name of the file while it is written. It is renamed once it is complete.
const INCOMPLETE_FILE_NAME: &str = "system.forming";
/// The version of the roster that founders begin with.
const FIRST_ROSTER_VERSION: Version = Version(1);

/// The id of the system that these voters founded; `None` if this version of the roster is a later one.
pub fn founded_by(roster_version: Version, voters: &[Ipv4Addr]) -> Option<SystemId> {
    if roster_version != FIRST_ROSTER_VERSION {
        return None;
    }
    let bytes: Vec<u8> = voters.iter().flat_map(Ipv4Addr::octets).collect();
    SystemId::new(xxh3_64(&bytes))
}

/// The system's id as the process knows it and as the data folder has it.
pub struct SystemRecord {
    folder: PathBuf,
    identity: Arc<ProcessIdentity>,
    /// Whether the id is in the file, or on its way there.
    is_saved: bool,
}

impl SystemRecord {
    /// Reads the id from a data folder, if it is there, and has the process adopt it.
    pub fn load(folder: PathBuf, identity: Arc<ProcessIdentity>) -> SystemRecord {
        let system = read(&folder);
        if let Some(system) = system {
            identity.learn_system(system);
        }
        SystemRecord {
            folder,
            identity,
            is_saved: system.is_some(),
        }
    }

    /// Saves the id once the process knows it. If it was not learned from a peer, it is the id of the system that this
    /// store founded, if there is such a system.
    pub fn update(&mut self, founded_system: impl FnOnce() -> Option<SystemId>) {
        if self.is_saved {
            return;
        }
        if self.identity.system().is_none() {
            if let Some(system) = founded_system() {
                self.identity.learn_system(system);
            }
        }
        if let Some(system) = self.identity.system() {
            self.is_saved = true;
            let folder = self.folder.clone();
            tokio::task::spawn_blocking(move || {
                if let Err(error) = save(&folder, system) {
                    log::warn!("id of the system cannot be saved: system={system} error={error}");
                }
            });
        }
    }
}

/// Reads the id from its file; `None` if there is none or it is malformed.
fn read(folder: &Path) -> Option<SystemId> {
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

/// Writes the id to its file, which is complete or absent after a crash.
fn save(folder: &Path, system: SystemId) -> io::Result<()> {
    let incomplete = folder.join(INCOMPLETE_FILE_NAME);
    let mut file = File::create(&incomplete)?;
    writeln!(file, "{system}")?;
    file.sync_all()?;
    fs::rename(&incomplete, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}
