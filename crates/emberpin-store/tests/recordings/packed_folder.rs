//! Packs a folder into one text, for fixtures. The text has these lines:
//!
//! - `folder NAME` for each folder;
//! - `file NAME LENGTH` for each file, followed by the lines of the file's ranges;
//! - `part OFFSET DIGITS` for a range with these bytes in hexadecimal;
//! - `copy OFFSET LENGTH SOURCE` for a range that repeats the bytes at the offset `SOURCE` of the same file.
//!
//! Bytes that no line covers are zero.

use std::collections::HashMap;
use std::fmt::Write;
use std::fs::{self, File};
use std::io::Write as _;
use std::path::{Path, PathBuf};

/// Minimum length of a copy, and of a range of zeros that is omitted.
const MIN_RANGE_BYTES: usize = 24;
/// Maximum number of bytes in a `part` line.
const MAX_LINE_BYTES: usize = 48;
/// Maximum number of offsets of one range that are indexed as sources of later copies.
const MAX_INDEXED_STARTS: usize = 1_000;

/// Packs a folder and everything in it into a text.
pub fn pack(root: &Path) -> String {
    let mut text = String::new();
    for path in paths(root) {
        let name = path
            .strip_prefix(root)
            .expect("a path below the root")
            .display();
        if path.is_dir() {
            writeln!(text, "folder {name}").expect("a line");
        } else {
            let bytes = fs::read(&path).expect("a file");
            writeln!(text, "file {name} {}", bytes.len()).expect("a line");
            pack_file(&bytes, &mut text);
        }
    }
    text
}

/// Creates the folders and files of a text below an empty folder.
pub fn unpack(text: &str, root: &Path) {
    let mut files: Vec<(PathBuf, Vec<u8>)> = Vec::new();
    for line in text.lines() {
        let fields: Vec<&str> = line.split(' ').collect();
        match (&fields[..], files.last_mut()) {
            (["folder", name], _) => fs::create_dir_all(root.join(name)).expect("a folder"),
            (["file", name, length], _) => files.push((root.join(name), vec![0; decimal(length)])),
            (["copy", offset, length, source], Some((_, bytes))) => {
                copy_within(bytes, decimal(source), decimal(offset), decimal(length));
            }
            (["part", offset, text], Some((_, bytes))) => {
                let (offset, part) = (decimal(offset), hex_bytes(text));
                bytes[offset..offset + part.len()].copy_from_slice(&part);
            }
            _ => panic!("{line:?} is no line of a packed folder"),
        }
    }
    for (path, bytes) in &files {
        write_sparsely(path, bytes);
    }
}

/// Copies a range byte by byte, as the source can overlap the copy.
fn copy_within(bytes: &mut [u8], source: usize, offset: usize, length: usize) {
    for nth in 0..length {
        bytes[offset + nth] = bytes[source + nth];
    }
}

/// Writes a file without allocating blocks for the zeros at its end, which `fjall` reserves in journals.
fn write_sparsely(path: &Path, bytes: &[u8]) {
    let end = bytes
        .iter()
        .rposition(|byte| *byte != 0)
        .map_or(0, |last| last + 1);
    let mut file = File::create_new(path).expect("a file");
    file.write_all(&bytes[..end]).expect("its bytes");
    file.set_len(bytes.len() as u64).expect("its length");
}

/// Returns the paths of everything below a folder, each after its parent.
fn paths(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder");
    let mut here: Vec<PathBuf> = entries
        .map(|entry| entry.expect("an entry").path())
        .collect();
    here.sort();
    let with_its_contents = |path: PathBuf| {
        let below = if path.is_dir() {
            paths(&path)
        } else {
            Vec::new()
        };
        std::iter::once(path).chain(below)
    };
    here.into_iter().flat_map(with_its_contents).collect()
}

/// Appends the lines for a file's bytes.
fn pack_file(bytes: &[u8], text: &mut String) {
    let mut earlier = HashMap::new();
    // The bytes before `written` are in the text. The bytes from `written` to `offset` belong to no omitted range of
    // zeros and to no copy.
    let (mut offset, mut written) = (0, 0);
    while offset < bytes.len() {
        let zeros = bytes[offset..]
            .iter()
            .take_while(|byte| **byte == 0)
            .count();
        let skips_zeros = zeros >= MIN_RANGE_BYTES;
        let copy = match skips_zeros {
            true => None,
            false => find_copy(bytes, offset, &earlier),
        };
        let skipped = match &copy {
            Some(copy) => copy.length,
            None if skips_zeros => zeros,
            None => 0,
        };
        if skipped > 0 {
            write_digits(&bytes[written..offset], written, text);
            written = offset + skipped;
        }
        if let Some(Copy { length, source }) = copy {
            writeln!(text, "copy {offset} {length} {source}").expect("a line");
        }
        let next = offset + skipped.max(1);
        for start in (offset..next).take(MAX_INDEXED_STARTS) {
            earlier.extend(
                bytes
                    .get(start..start + MIN_RANGE_BYTES)
                    .map(|range| (range, start)),
            );
        }
        offset = next;
    }
    write_digits(&bytes[written..], written, text);
}

/// A range that repeats earlier bytes of the same file.
struct Copy {
    length: usize,
    /// Offset of the earlier bytes.
    source: usize,
}

/// Returns the longest copy at `offset` from the source that `earlier` has for the next bytes. `earlier` maps ranges of
/// [`MIN_RANGE_BYTES`] bytes to their offsets.
fn find_copy(bytes: &[u8], offset: usize, earlier: &HashMap<&[u8], usize>) -> Option<Copy> {
    let source = *earlier.get(bytes.get(offset..offset + MIN_RANGE_BYTES)?)?;
    let equal = bytes[offset..]
        .iter()
        .zip(&bytes[source..])
        .take_while(|(here, there)| here == there);
    Some(Copy {
        length: equal.count(),
        source,
    })
}

/// Appends `part` lines for bytes that begin at `offset`.
fn write_digits(bytes: &[u8], offset: usize, text: &mut String) {
    for (nth, line) in bytes.chunks(MAX_LINE_BYTES).enumerate() {
        let digits: String = line.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(text, "part {} {digits}", offset + nth * MAX_LINE_BYTES).expect("a line");
    }
}

/// Parses a decimal number.
fn decimal(text: &str) -> usize {
    text.parse().expect("a number")
}

/// Parses pairs of hexadecimal digits.
fn hex_bytes(text: &str) -> Vec<u8> {
    let pairs = (0..text.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("two digits"))
        .collect()
}
