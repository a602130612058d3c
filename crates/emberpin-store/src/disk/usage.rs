//! Measures the disk usage of a folder.

use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Bytes in a block of `st_blocks`, which is independent of the file system's own block size.
const BLOCK_BYTES: u64 = 512;

/// Returns the bytes that all files below a folder occupy. `fjall` reserves a journal's length ahead of its contents, so
/// a file counts with the size of its allocated blocks if that is less than its length.
///
/// # Errors
///
/// A folder or file could not be read. A file that `fjall` removed in the meantime is no error.
pub fn used_bytes(folder: &Path) -> io::Result<u64> {
    let mut sum = 0;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        sum += match entry.metadata() {
            Ok(metadata) if metadata.is_dir() => used_bytes(&entry.path())?,
            Ok(metadata) => metadata.len().min(metadata.blocks() * BLOCK_BYTES),
            Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
            Err(error) => return Err(error),
        };
    }
    Ok(sum)
}
