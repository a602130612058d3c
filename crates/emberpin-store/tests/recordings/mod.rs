//! Disks that were recorded as fixtures, and the code that recorded them.

pub mod packed_folder;
pub mod recorder;

use emberpin_config::Item;
use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// The address of the machine that the recorded disks belong to.
pub const OWNER: Ipv4Addr = Ipv4Addr::new(127, 9, 40, 1);
/// The addresses of the other two seeds.
pub const PEERS: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 9, 40, 2), Ipv4Addr::new(127, 9, 40, 3)];
/// The names of the recorded disks.
pub const DISKS: [&str; 4] = ["voter", "candidate", "empty", "former"];

/// Returns the path of a fixture.
pub fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// Returns the text of a fixture.
pub fn fixture_text(name: &str) -> String {
    fs::read_to_string(fixture(name)).expect("a fixture")
}

/// Returns the file name of a recorded disk.
pub fn disk_file(disk: &str) -> String {
    format!("{disk}.disk.txt")
}

/// Unpacks a recorded disk into a temporary data folder.
pub fn unpack(disk: &str) -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    packed_folder::unpack(&fixture_text(&disk_file(disk)), folder.path());
    folder
}

/// Returns one line per item: the number of its kind, its version, its name and its body (`dropped` for a tombstone).
pub fn item_lines(items: &[Item]) -> String {
    let line = |item: &Item| {
        let body_text = item
            .body
            .as_ref()
            .map_or("dropped".into(), |body| format!("{body:?}"));
        format!(
            "{} {} {:?} {body_text}\n",
            item.key.kind as u8, item.version, item.key.name
        )
    };
    items.iter().map(line).collect()
}
