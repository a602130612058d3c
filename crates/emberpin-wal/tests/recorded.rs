//! Tests that a log's folder as recorded from an earlier build is recovered: two segments with records, a watermark,
//! and an incomplete record that a kill left at the end.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;

use common::*;
use emberpin_wal::{FileIdentity, Header, Log, Recovery, Scanned, VERSION};
use recording::{hex, recorded_lines, Recorded};

const FIRST: &str = "0000000001.log";
const SECOND: &str = "0000000002.log";
const THIRD: &str = "0000000003.log";
const WATERMARK_FILE: &str = "mark";
/// The length in bytes of the incomplete record that the kill left.
const TORN_BYTES: usize = 9;

fn payloads() -> Vec<Vec<u8>> {
    vec![
        b"first".to_vec(),
        Vec::new(),
        (0..=255).collect(),
        b"after the turn".to_vec(),
    ]
}

/// A log that was created by an operator and opened by one process, which wrote three records, rotated the log, and
/// wrote one more durable record and one that is not durable.
fn write_log() -> Memory {
    let mut memory = created_log();
    let (mut log, recovery, _) = open(&mut memory).expect("open");
    assert_eq!(recovery.lost, None);
    log.write(&payloads()[..3], true).expect("written");
    log.rotate().expect("rotated");
    log.write(&payloads()[3..], true).expect("written");
    log.write(&[b"cut off"], false).expect("written");
    memory
}

/// The log of [`write_log`] after a kill during the last write.
fn write_torn_log() -> Memory {
    let mut memory = write_log();
    let last = memory.files.get_mut(THIRD).expect("there");
    let frame_bytes = 16 + b"cut off".len() + 4;
    last.bytes
        .truncate(last.bytes.len() - frame_bytes + TORN_BYTES);
    memory
}

fn files(memory: &Memory) -> Vec<Recorded> {
    memory
        .files
        .iter()
        .map(|(name, file)| (name.clone(), file.bytes.clone()))
        .collect()
}

fn recorded_files() -> Vec<Recorded> {
    recorded_lines("log.txt", || files(&write_torn_log()))
}

/// The recorded folder. Its files have the inodes that their headers contain.
fn recorded_log() -> Memory {
    let mut memory = Memory::default();
    for (name, bytes) in recorded_files() {
        let inode = Header::decode(&bytes).map_or(0, |(header, _)| header.file.inode);
        memory.files.insert(
            name,
            File {
                synced: bytes.clone(),
                bytes,
                inode,
            },
        );
    }
    memory
}

fn recorded_file(name: &str) -> Vec<u8> {
    let (_, bytes) = recorded_files()
        .into_iter()
        .find(|(found, _)| found == name)
        .expect("recorded");
    bytes
}

#[test]
fn the_recorded_folder_has_its_segments_and_its_watermark() {
    let names: Vec<String> = recorded_files().into_iter().map(|(name, _)| name).collect();
    assert_eq!(names, [FIRST, SECOND, THIRD, WATERMARK_FILE]);
    assert_eq!(VERSION, 1);
}

#[test]
fn a_recorded_log_is_recovered_except_for_the_incomplete_record() {
    let bytes: usize = [FIRST, SECOND, THIRD]
        .map(|name| recorded_file(name).len())
        .iter()
        .sum();
    let (_, recovery, records) = open(recorded_log()).expect("open");
    assert_eq!(records, payloads());
    assert_eq!(
        recovery,
        Recovery {
            records: 4,
            bytes: bytes as u64,
            torn: TORN_BYTES as u64,
            lost: None
        }
    );
}

#[test]
fn records_of_a_recorded_log_have_their_sequence_numbers_and_their_boot() {
    let mut read = Vec::new();
    Log::open(recorded_log(), &identity(), |record| {
        read.push((record.seq, record.same_boot));
    })
    .expect("open");
    assert_eq!(read, [(1, true), (2, true), (3, true), (4, true)]);
}

/// The watermark holds the last durable sequence number, so the loss of the last durable record is detected.
#[test]
fn a_missing_durable_record_is_detected_by_the_recorded_watermark() {
    let mut log = recorded_log();
    let last = log.files.get_mut(THIRD).expect("there");
    last.bytes.truncate(last.bytes.len() - TORN_BYTES - 1);
    let (_, recovery, _) = open(log).expect("open");
    assert_eq!(
        recovery.lost,
        Some(emberpin_wal::DataLoss::Rewound {
            counted: 4,
            found: 3
        })
    );
}

#[test]
fn the_header_of_each_recorded_segment_is_read_and_written_as_it_was_recorded() {
    for (name, segment, first, inode) in [(FIRST, 1, 1, 1), (SECOND, 2, 1, 3), (THIRD, 3, 4, 4)] {
        let bytes = recorded_file(name);
        let (header, scanner) = Header::decode(&bytes).expect("a header");
        let expected = Header {
            instance: "n0".into(),
            log: [9; 16],
            segment,
            first,
            file: FileIdentity {
                inode,
                born_ns: None,
            },
            boot: [1; 16],
            after_loss: false,
        };
        assert_eq!(header, expected, "{name}");
        assert_eq!(
            hex(&header.encode()),
            hex(&bytes[..scanner.at() as usize]),
            "{name}"
        );
    }
}

#[test]
fn a_recorded_segment_is_scanned_record_by_record_up_to_the_torn_one() {
    let bytes = recorded_file(SECOND);
    let (_, mut scanner) = Header::decode(&bytes).expect("a header");
    scanner.feed(&bytes[scanner.at() as usize..]);
    for (seq, payload) in (1..).zip(&payloads()[..3]) {
        assert_eq!(
            scanner.scan(),
            Some(Scanned::Record {
                seq,
                payload: payload.clone()
            })
        );
    }
    assert_eq!((scanner.scan(), scanner.torn()), (None, 0));
}

#[test]
fn the_same_writes_make_the_recorded_files() {
    let written = files(&write_torn_log());
    for ((name, bytes), (_, recorded)) in written.iter().zip(recorded_files()) {
        assert_eq!(hex(bytes), hex(&recorded), "{name} is written otherwise");
    }
}
