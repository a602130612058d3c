//! Tests that messages about lists between limiters and a list snapshot, as recorded from an earlier build, are decoded
//! and encoded to the same bytes.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;

use emberpin_startup::list_messages::{Incarnation, ListMessage, ListVersion, WatcherHeartbeat};
use emberpin_startup::snapshot::{decode, encode, SnapshotHeader};
use recording::{assert_recorded, recorded_bytes};
use std::time::{Duration, UNIX_EPOCH};

const VERSION: ListVersion = ListVersion {
    epoch: 2,
    revision: 70_000,
};
const WRITTEN_MS: u64 = 1_700_000_000_123;
const ENTRIES: &[u8] = br#"[{"uid":"s-1","endpoint":"127.0.0.1:8080","az":"a","model":"std","pod_group":1,"state":"ready","capacity_hint":1.0,"boot_ms":0.0}]"#;

/// The messages by their label in the fixture, each with the address of its discovery service, as the limiter sends it.
fn messages() -> Vec<(&'static str, (String, ListMessage))> {
    let of_service = |message| ("10.0.0.1:7000".to_string(), message);
    let heartbeat = WatcherHeartbeat {
        watcher: 3,
        incarnation: Incarnation(WRITTEN_MS),
        sequence: 129,
        version: VERSION,
    };
    vec![
        ("pulse", of_service(ListMessage::Heartbeat(heartbeat))),
        (
            "want",
            of_service(ListMessage::Request { version: VERSION }),
        ),
        (
            "list",
            of_service(ListMessage::List {
                version: VERSION,
                entries: ENTRIES.to_vec(),
            }),
        ),
        (
            "list-empty",
            of_service(ListMessage::List {
                version: ListVersion {
                    epoch: 0,
                    revision: 0,
                },
                entries: b"[]".to_vec(),
            }),
        ),
    ]
}

fn header() -> SnapshotHeader {
    SnapshotHeader {
        owner: "norr/n-3".into(),
        written_at: UNIX_EPOCH + Duration::from_millis(WRITTEN_MS),
        revision: 41,
    }
}

#[test]
fn every_recorded_message_about_a_list_is_decoded_and_encoded_as_it_was() {
    let encode = |message: &(String, ListMessage)| postcard::to_allocvec(message).expect("encoded");
    let decode = |bytes: &[u8]| postcard::from_bytes(bytes).expect("a message");
    assert_recorded("lists.txt", &messages(), encode, decode);
}

#[test]
fn a_recorded_snapshot_is_decoded_and_encoded_as_it_was() {
    let recorded = recorded_bytes("kept-list", || encode(&header(), ENTRIES));
    let soon_after = header().written_at + Duration::from_secs(1);
    let (read, entries) =
        decode(&recorded, "norr/n-3", soon_after, Duration::from_secs(60)).expect("a snapshot");
    assert_eq!((&read, entries), (&header(), ENTRIES));
    assert_eq!(encode(&read, entries), recorded);
}
