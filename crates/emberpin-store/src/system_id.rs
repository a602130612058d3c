//! Which system a store belongs to: a digest of the first roster, taken by its founders once a majority of them
//! agrees, learned by all others from the machines that their settings name, and kept beside the disk's files.
//! Whoever doesn't know it yet is let in everywhere, and lets everybody in.
//!
//! It tells systems with other founders apart, not two that the same addresses founded one after the other.

use emberpin_config::Version;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::Ipv4Addr;
use std::num::NonZeroU64;
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

/// The file, in the folder that the settings name, and what it is called until it is whole.
const NAME: &str = "system";
const FORMING: &str = "system.forming";
/// The version of the roster that founders begin with.
const FIRST_ROSTER: Version = Version(1);

/// The system that the voters of this version of the roster found; `None`, if they replaced others.
pub fn founded_by(version: Version, voters: &[Ipv4Addr]) -> Option<NonZeroU64> {
    if version != FIRST_ROSTER {
        return None;
    }
    let bytes: Vec<u8> = voters.iter().flat_map(Ipv4Addr::octets).collect();
    NonZeroU64::new(xxh3_64(&bytes))
}

/// What was kept, if it is whole.
pub fn load(folder: &Path) -> Option<NonZeroU64> {
    let text = fs::read_to_string(folder.join(NAME)).ok()?;
    let id = u64::from_str_radix(text.trim(), 16)
        .ok()
        .and_then(NonZeroU64::new);
    if id.is_none() {
        log::warn!("the file {NAME} is passed over: it holds no number");
    }
    id
}

/// Keeps it.
pub fn save(folder: &Path, id: NonZeroU64) -> io::Result<()> {
    let forming = folder.join(FORMING);
    let mut file = File::create(&forming)?;
    writeln!(file, "{id:016x}")?;
    file.sync_all()?;
    fs::rename(&forming, folder.join(NAME))?;
    File::open(folder)?.sync_all()
}
