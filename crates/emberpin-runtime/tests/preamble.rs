//! The handshake must accept peers with a common protocol version and the same system, and reject all others.

use emberpin_runtime::frames::ConnectionError;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_runtime::preamble::{HandshakeError, Preamble, PREAMBLE_BYTES};
use emberpin_runtime::protocol_version::{ProtocolVersion, VersionRange};
use emberpin_runtime::system_id::SystemId;
use googletest::prelude::*;

fn system_id(number: u64) -> Option<SystemId> {
    SystemId::new(number)
}

/// A process of the system with this number; 0 for one that does not know its system.
fn process(system_number: u64) -> ProcessIdentity {
    let process = ProcessIdentity::new(1);
    system_id(system_number)
        .into_iter()
        .for_each(|system| _ = process.set_system_if_unknown(system));
    process
}

/// Has a process receive the preamble of a peer that sends these bytes. Returns the preamble, or the reason for which
/// the peer is rejected, which is `None` if the connection failed instead.
fn receive(
    process: &ProcessIdentity,
    bytes: &[u8],
) -> std::result::Result<Preamble, Option<HandshakeError>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let mut reader = bytes;
    runtime
        .block_on(process.receive_preamble(&mut reader))
        .map_err(|error| match error {
            ConnectionError::Handshake(error) => Some(error),
            _ => None,
        })
}

#[gtest]
fn a_peer_of_the_same_version_is_accepted_unless_its_system_is_known_to_be_another() {
    for (ours, theirs, expected) in [
        (0, 0, true),
        (0, 7, true),
        (7, 0, true),
        (7, 7, true),
        (7, 8, false),
    ] {
        let preamble = Preamble {
            versions: VersionRange::SUPPORTED,
            system: system_id(theirs),
            incarnation: 9,
        };
        let process = process(ours);
        let received = receive(&process, &preamble.encode());
        expect_that!(
            received.is_ok(),
            eq(expected),
            "{theirs} connects to {ours}"
        );
        expect_that!(process.rejected_peers(), eq(u64::from(!expected)));
        if let Ok(received) = received {
            expect_that!(received, eq(preamble));
        }
    }
}

#[gtest]
fn a_newer_version_is_rejected_before_the_rest_of_its_preamble_is_read() {
    let mut bytes = Preamble {
        versions: VersionRange::SUPPORTED,
        system: None,
        incarnation: 9,
    }
    .encode();
    let too_new = ProtocolVersion(VersionRange::SUPPORTED.newest.0 + 1);
    bytes[4..6].copy_from_slice(&too_new.0.to_be_bytes());
    let rejected = receive(&process(0), &bytes[..6]);
    expect_that!(
        rejected,
        err(some(eq(HandshakeError::VersionsTooNew {
            theirs: too_new,
            ours: VersionRange::SUPPORTED,
        })))
    );
}

/// A process that speaks these versions.
fn process_with(oldest: u16, newest: u16) -> ProcessIdentity {
    ProcessIdentity::new(1).with_versions(VersionRange {
        oldest: ProtocolVersion(oldest),
        newest: ProtocolVersion(newest),
    })
}

#[gtest]
fn two_processes_use_the_newest_version_that_both_speak() {
    for (ours, theirs, expected) in [
        ((2, 3), (2, 2), Some(2)),
        ((2, 2), (2, 3), Some(2)),
        ((2, 3), (2, 3), Some(3)),
        ((2, 3), (3, 4), Some(3)),
        ((3, 4), (2, 3), Some(3)),
        ((3, 4), (2, 2), None),
        ((2, 2), (3, 4), None),
    ] {
        let ours = process_with(ours.0, ours.1);
        let theirs = process_with(theirs.0, theirs.1).preamble();
        let spoken = receive(&ours, &theirs.encode())
            .ok()
            .map(|preamble| ours.common_version(&preamble).0);
        expect_that!(spoken, eq(expected), "{theirs:?} connects to {ours:?}");
    }
}

#[gtest]
fn a_build_of_version_2_accepts_this_one() {
    // A build of version 2 compares bytes 4 and 5 with its own version, and ignores bytes 6 and 7.
    let bytes = ProcessIdentity::new(1).preamble().encode();
    expect_that!(bytes[4..6], eq(&2_u16.to_be_bytes()[..]));
    // In its own preamble, bytes 6 and 7 are 0.
    let preamble = process_with(2, 2).preamble();
    expect_that!(preamble.encode()[6..8], eq(&[0, 0][..]));
    expect_that!(Preamble::decode(&preamble.encode()), ok(eq(preamble)));
}

#[gtest]
fn other_bytes_are_rejected_and_a_truncated_preamble_is_a_connection_error() {
    expect_that!(
        receive(&process(0), &[0; PREAMBLE_BYTES]),
        err(some(eq(HandshakeError::MissingPreamble)))
    );
    let bytes = Preamble {
        versions: VersionRange::SUPPORTED,
        system: None,
        incarnation: 9,
    }
    .encode();
    expect_that!(
        receive(&process(0), &bytes[..PREAMBLE_BYTES - 1]),
        err(none())
    );
}

#[gtest]
fn a_build_without_preambles_reads_one_as_a_frame_that_is_too_long() {
    let bytes = Preamble {
        versions: VersionRange::SUPPORTED,
        system: None,
        incarnation: 9,
    }
    .encode();
    let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
    expect_that!(
        length as usize,
        gt(emberpin_runtime::frames::MAX_MESSAGE_BYTES)
    );
}

#[gtest]
fn a_known_system_is_not_replaced() {
    let process = process(7);
    expect_that!(
        process.set_system_if_unknown(SystemId::new(u64::MAX).expect("not 0")),
        eq(false)
    );
    expect_that!(process.preamble().system, eq(system_id(7)));
}

#[gtest]
fn every_rejection_is_counted_and_few_are_logged() {
    let process = process(0);
    let logged: Vec<bool> = (0..5)
        .map(|_| process.record_rejection(HandshakeError::MissingPreamble))
        .collect();
    expect_that!(logged, eq(&vec![true, false, false, false, false]));
    expect_that!(process.rejected_peers(), eq(5));
}
