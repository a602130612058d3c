//! How much room the files of a folder take.

use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Bytes in a block of `st_blocks`, whatever the file system's own block size.
const BLOCK_BYTES: u64 = 512;

/// Sums the bytes that all files below a folder occupy. `fjall` reserves a journal's length ahead of its contents, so
/// a file counts with its blocks if these are fewer.
///
/// # Errors
///
/// A folder or file could not be read. One that `fjall` removed in the meantime is no error.
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
