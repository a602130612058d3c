//! A folder as one text, for fixtures: a line for each folder, for each file with its length, and for each part of
//! a file, as hexadecimal digits or as a copy of bytes before it in the same file. What no line tells of is zero.

use std::collections::HashMap;
use std::fmt::Write;
use std::fs::{self, File};
use std::io::Write as _;
use std::path::{Path, PathBuf};

/// The shortest copy, and the fewest zeros that are left out.
const SHORTEST: usize = 24;
/// The most bytes that a line spells out.
const LINE: usize = 48;

/// All that is in a folder.
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
            pack_parts(&bytes, &mut text);
        }
    }
    text
}

/// Makes the folders and files of a text, below an empty folder.
pub fn unpack(text: &str, root: &Path) {
    let mut files: Vec<(PathBuf, Vec<u8>)> = Vec::new();
    for line in text.lines() {
        let fields: Vec<&str> = line.split(' ').collect();
        match (&fields[..], files.last_mut()) {
            (["folder", name], _) => fs::create_dir_all(root.join(name)).expect("a folder"),
            (["file", name, length], _) => files.push((root.join(name), vec![0; number(length)])),
            (["copy", at, length, from], Some((_, bytes))) => {
                // One after the other, as the copy may go on into itself.
                (0..number(length))
                    .for_each(|nth| bytes[number(at) + nth] = bytes[number(from) + nth]);
            }
            (["part", at, spelled], Some((_, bytes))) => {
                let spelled = digits(spelled);
                bytes[number(at)..number(at) + spelled.len()].copy_from_slice(&spelled);
            }
            _ => panic!("{line:?} is no line of a packed folder"),
        }
    }
    files
        .iter()
        .for_each(|(path, bytes)| write_sparsely(path, bytes));
}

/// Takes no room for the zeros at the end, which `fjall` reserves.
fn write_sparsely(path: &Path, bytes: &[u8]) {
    let end = bytes
        .iter()
        .rposition(|byte| *byte != 0)
        .map_or(0, |last| last + 1);
    let mut file = File::create_new(path).expect("a file");
    file.write_all(&bytes[..end]).expect("its bytes");
    file.set_len(bytes.len() as u64).expect("its length");
}

/// The paths below a folder, each after its parent.
fn paths(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder");
    let mut here: Vec<PathBuf> = entries
        .map(|entry| entry.expect("an entry").path())
        .collect();
    here.sort();
    let with_its_own = |path: PathBuf| {
        let below = if path.is_dir() {
            paths(&path)
        } else {
            Vec::new()
        };
        std::iter::once(path).chain(below)
    };
    here.into_iter().flat_map(with_its_own).collect()
}

fn pack_parts(bytes: &[u8], text: &mut String) {
    let mut seen = HashMap::new();
    let (mut at, mut untold) = (0, 0);
    while at < bytes.len() {
        let zeros = bytes[at..].iter().take_while(|byte| **byte == 0).count();
        let copied = if zeros < SHORTEST {
            copy_at(bytes, at, &seen)
        } else {
            None
        };
        let told = copied.map_or(if zeros < SHORTEST { 0 } else { zeros }, |(length, _)| {
            length
        });
        if told > 0 {
            pack_digits(&bytes[untold..at], untold, text);
            untold = at + told;
        }
        if let Some((length, from)) = copied {
            writeln!(text, "copy {at} {length} {from}").expect("a line");
        }
        let next = at + told.max(1);
        for start in (at..next).take(1_000) {
            seen.extend(
                bytes
                    .get(start..start + SHORTEST)
                    .map(|start_bytes| (start_bytes, start)),
            );
        }
        at = next;
    }
    pack_digits(&bytes[untold..], untold, text);
}

/// How many of the bytes from here on were there before, and where.
fn copy_at(bytes: &[u8], at: usize, seen: &HashMap<&[u8], usize>) -> Option<(usize, usize)> {
    let from = *seen.get(bytes.get(at..at + SHORTEST)?)?;
    let same = bytes[at..]
        .iter()
        .zip(&bytes[from..])
        .take_while(|(here, there)| here == there);
    Some((same.count(), from))
}

fn pack_digits(bytes: &[u8], from: usize, text: &mut String) {
    for (nth, line) in bytes.chunks(LINE).enumerate() {
        let digits: String = line.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(text, "part {} {digits}", from + nth * LINE).expect("a line");
    }
}

fn number(text: &str) -> usize {
    text.parse().expect("a number")
}

fn digits(text: &str) -> Vec<u8> {
    let pairs = (0..text.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("two digits"))
        .collect()
}
