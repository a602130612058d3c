//! Bytes that an earlier build wrote, kept in the `tests/fixtures/` of the package whose test includes this file.
//!
//! A recording is written only if its file does not exist and `EMBERPIN_RECORD` is set, and never again after that. A
//! test that cannot read one has found an incompatible change of a message or of stored data.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

use std::fmt::Debug;
use std::path::PathBuf;

/// A name and the bytes recorded under it.
pub type Recorded = (String, Vec<u8>);

/// Asserts that the recorded bytes of each value decode to it, and that it encodes to the same bytes.
pub fn assert_recorded<T: Debug + PartialEq>(
    fixture: &str,
    values: &[(&str, T)],
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let write = || {
        values
            .iter()
            .map(|(name, value)| (name.to_string(), encode(value)))
            .collect()
    };
    let recorded = recorded_lines(fixture, write);
    let names = |names: Vec<&str>| names.join(" ");
    assert_eq!(
        names(recorded.iter().map(|(name, _)| name.as_str()).collect()),
        names(values.iter().map(|(name, _)| *name).collect()),
        "{fixture} and the test must name the same values"
    );
    for ((name, bytes), (_, value)) in recorded.iter().zip(values) {
        let decoded = decode(bytes);
        assert_eq!(
            &decoded, value,
            "{fixture}: {name} is decoded as another value"
        );
        assert_eq!(
            hex(&encode(&decoded)),
            hex(bytes),
            "{fixture}: {name} is encoded as other bytes"
        );
    }
}

/// The names and bytes in a fixture, which has a line `name hex` for each; `write` returns them when the fixture is
/// recorded.
pub fn recorded_lines(fixture: &str, write: impl FnOnce() -> Vec<Recorded>) -> Vec<Recorded> {
    let text = recorded_bytes(fixture, || {
        let lines = write()
            .into_iter()
            .map(|(name, bytes)| format!("{name} {}\n", hex(&bytes)));
        lines.collect::<String>().into_bytes()
    });
    let text = String::from_utf8(text).expect("text");
    text.lines().map(parse_line).collect()
}

/// The bytes of a fixture; `write` returns them when the fixture is recorded.
pub fn recorded_bytes(fixture: &str, write: impl FnOnce() -> Vec<u8>) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(fixture);
    if !path.exists() {
        assert!(
            std::env::var_os("EMBERPIN_RECORD").is_some(),
            "{fixture} is missing; a recording must never be removed"
        );
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("made");
        std::fs::write(&path, write()).expect("recorded");
    }
    std::fs::read(&path).expect("read")
}

fn parse_line(line: &str) -> Recorded {
    let (name, digits) = line.split_once(' ').expect("a name and its bytes");
    (name.into(), unhex(digits))
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(digits: &str) -> Vec<u8> {
    let byte = |start: usize| {
        u8::from_str_radix(&digits[start..start + 2], 16).expect("hexadecimal digits")
    };
    (0..digits.len()).step_by(2).map(byte).collect()
}
