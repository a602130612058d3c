//! The frames that were recorded: a line for each, its group and its bytes in hexadecimal digits.

use std::fs;
use std::path::{Path, PathBuf};

/// Where the recording of this name is.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../emberpin-runtime/tests/fixtures")
        .join(name)
}

/// The recording of this name as text.
pub fn text(name: &str) -> String {
    fs::read_to_string(path(name)).expect("a recording")
}

/// The frames of one group of a recording.
pub fn frames(name: &str, group: &str) -> Vec<Vec<u8>> {
    let text = text(name);
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines
        .filter(|(line_group, _)| *line_group == group)
        .map(|(_, digits)| bytes(digits))
        .collect()
}

fn bytes(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits"))
        .collect()
}
