//! Reads recorded frames. A recording has a line for each frame, with the name of its group and its bytes in
//! hexadecimal digits.

use std::fs;
use std::path::{Path, PathBuf};

/// The path of the recording with this file name.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../emberpin-runtime/tests/fixtures")
        .join(name)
}

/// The text of the recording with this file name.
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

/// Decodes hexadecimal digits.
fn bytes(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|offset| u8::from_str_radix(&digits[offset..offset + 2], 16).expect("two digits"))
        .collect()
}
