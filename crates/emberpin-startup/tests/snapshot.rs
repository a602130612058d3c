//! Tests which snapshots are accepted, and the reasons for which others are rejected.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::unix_time;
use emberpin_startup::snapshot::{decode, encode, SnapshotError, SnapshotHeader};
use proptest::prelude::*;
use std::time::{Duration, SystemTime};

const DAY: Duration = Duration::from_secs(86_400);
const OWNER: &str = "norr/n-3";
const ENTRIES: &[u8] = b"[1,2]\n[3]";

fn header() -> SnapshotHeader {
    SnapshotHeader {
        owner: OWNER.into(),
        written_at: unix_time(1_000),
        revision: 41,
    }
}

fn a_minute_later() -> SystemTime {
    unix_time(1_060)
}

#[test]
fn a_snapshot_is_decoded_as_it_was_encoded() {
    let bytes = encode(&header(), ENTRIES);
    assert_eq!(
        decode(&bytes, OWNER, a_minute_later(), DAY),
        Ok((header(), ENTRIES))
    );
}

#[test]
fn a_snapshot_of_another_owner_is_rejected() {
    let bytes = encode(&header(), ENTRIES);
    let wrong_owner = SnapshotError::WrongOwner {
        owner: OWNER.into(),
    };
    assert_eq!(
        decode(&bytes, "norr/n-4", a_minute_later(), DAY),
        Err(wrong_owner)
    );
}

#[test]
fn a_snapshot_that_is_too_old_is_rejected() {
    let bytes = encode(&header(), ENTRIES);
    let too_old = SnapshotError::TooOld {
        age: Duration::from_secs(60),
    };
    assert_eq!(
        decode(&bytes, OWNER, a_minute_later(), Duration::from_secs(59)),
        Err(too_old)
    );
}

#[test]
fn a_file_of_another_format_is_rejected() {
    for bytes in [&b""[..], b"{}\n"] {
        assert_eq!(
            decode(bytes, OWNER, a_minute_later(), DAY),
            Err(SnapshotError::UnknownFormat)
        );
    }
}

#[test]
fn a_snapshot_that_is_truncated_or_altered_anywhere_is_rejected() {
    let bytes = encode(&header(), ENTRIES);
    for position in 1..bytes.len() {
        assert!(
            decode(&bytes[..position], OWNER, a_minute_later(), DAY).is_err(),
            "truncated at {position}"
        );
        let mut altered = bytes.clone();
        altered[position] ^= 1;
        assert!(
            decode(&altered, OWNER, a_minute_later(), DAY).is_err(),
            "altered at {position}"
        );
    }
}

proptest! {
    #[test]
    fn random_bytes_are_never_decoded_as_a_snapshot(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        prop_assert!(decode(&bytes, "a/b", unix_time(0), DAY).is_err());
    }
}
