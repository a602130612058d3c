//! What limiters tell each other about lists, and the list that one keeps on its disk, as an earlier build wrote them.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;

use emberpin_startup::list_messages::{ListMessage, ListVersion, WatcherHeartbeat};
use emberpin_startup::snapshot::{decode, encode, SnapshotHeader};
use recording::{assert_recorded, file};
use std::time::{Duration, UNIX_EPOCH};

const VERSION: ListVersion = ListVersion {
    epoch: 2,
    revision: 70_000,
};
const WRITTEN_MS: u64 = 1_700_000_000_123;
const ENTRIES: &[u8] = br#"[{"uid":"s-1","endpoint":"127.0.0.1:8080","az":"a","model":"std","pod_group":1,"state":"ready","capacity_hint":1.0,"boot_ms":0.0}]"#;

/// Each with the list service that it is of, as the limiter sends it.
fn messages() -> Vec<(&'static str, (String, ListMessage))> {
    let of = |said| ("10.0.0.1:7000".to_string(), said);
    let pulse = WatcherHeartbeat {
        watcher: 3,
        incarnation: WRITTEN_MS,
        sequence: 129,
        version: VERSION,
    };
    vec![
        ("pulse", of(ListMessage::Heartbeat(pulse))),
        ("want", of(ListMessage::Request { version: VERSION })),
        (
            "list",
            of(ListMessage::List {
                version: VERSION,
                entries: ENTRIES.to_vec(),
            }),
        ),
        (
            "list-empty",
            of(ListMessage::List {
                version: ListVersion {
                    epoch: 0,
                    revision: 0,
                },
                entries: b"[]".to_vec(),
            }),
        ),
    ]
}

fn label() -> SnapshotHeader {
    SnapshotHeader {
        owner: "norr/n-3".into(),
        written_at: UNIX_EPOCH + Duration::from_millis(WRITTEN_MS),
        revision: 41,
    }
}

#[test]
fn every_message_about_a_list_is_read_and_written_as_it_was_recorded() {
    let encode = |said: &(String, ListMessage)| postcard::to_allocvec(said).expect("encoded");
    let decode = |bytes: &[u8]| postcard::from_bytes(bytes).expect("a message");
    assert_recorded("lists.txt", &messages(), encode, decode);
}

#[test]
fn a_kept_list_is_read_and_written_as_it_was_recorded() {
    let recorded = file("kept-list", || encode(&label(), ENTRIES));
    let soon_after = label().written_at + Duration::from_secs(1);
    let (read, entries) =
        decode(&recorded, "norr/n-3", soon_after, Duration::from_secs(60)).expect("a kept list");
    assert_eq!((&read, entries), (&label(), ENTRIES));
    assert_eq!(encode(&read, entries), recorded);
}
