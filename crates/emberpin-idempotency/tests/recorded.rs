//! The messages about keys between limiters, and the log records of keys, must be encoded and decoded as earlier builds
//! did: limiters of different builds run side by side, and a new build reads the log of an older one. An answer is a
//! plain string here; the limiter's own answers are covered by the limiter's recorded tests.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;

use emberpin_idempotency::claims::{Claim, Denial, Member, Message};
use emberpin_idempotency::{Customer, Fingerprint, Form, Key, KeyStatus, Record, Secret};
use recording::assert_recorded;
use serde::de::DeserializeOwned;
use serde::Serialize;

const CLAIM: Claim = Claim(300);
const CUSTOMER: Customer = Customer(0x1_b4d6_5521);

fn key() -> Key {
    Key::parse("\"k \\\"7\\\"\"", Form::Quoted).expect("a key")
}

fn fingerprint() -> Fingerprint {
    Fingerprint::compute(&Secret::new([7; 32]), "POST", "/api?a=b", 1, b"body")
}

fn messages() -> Vec<(&'static str, Message<String>)> {
    let denied = |denial| Message::Denied(CLAIM, denial);
    let (customer, key, fingerprint) = (CUSTOMER, key(), fingerprint());
    let request = Message::Request {
        claim: CLAIM,
        customer,
        key: key.clone(),
        fingerprint,
        within: 30_000.0,
    };
    vec![
        ("wants", request),
        ("granted", Message::Granted(CLAIM)),
        (
            "waits",
            Message::Queued(CLAIM, (Member(2), Claim(u64::MAX))),
        ),
        ("told-replay", denied(Denial::Replay("signed".into()))),
        ("told-not-kept", denied(Denial::NotKept)),
        ("told-mismatch", denied(Denial::Mismatch)),
        ("told-unknown", denied(Denial::Unknown)),
        ("told-in-flight", denied(Denial::InFlight)),
        ("told-quiet", denied(Denial::Quiet)),
        ("told-full", denied(Denial::Full(250.5))),
        ("told-not-written", denied(Denial::NotWritten)),
        ("released", Message::Released(CLAIM)),
        ("lost", Message::Lost(CLAIM)),
        (
            "served",
            Message::Served {
                claim: CLAIM,
                customer,
                key,
                fingerprint,
                answer: "signed".into(),
            },
        ),
    ]
}

fn records() -> Vec<(&'static str, Record<String>)> {
    let record = |status| Record {
        customer: CUSTOMER,
        key: key(),
        fingerprint: fingerprint(),
        at: 12_345.5,
        status,
    };
    vec![
        ("claimed", record(KeyStatus::Claimed)),
        ("served", record(KeyStatus::Served(Some("signed".into())))),
        ("served-without-answer", record(KeyStatus::Served(None))),
        ("unknown", record(KeyStatus::Unknown)),
        ("gone", record(KeyStatus::Removed)),
    ]
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("encoded")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    postcard::from_bytes(bytes).expect("a value")
}

#[test]
fn recorded_messages_decode_and_encode_to_the_same_bytes() {
    assert_recorded("claims.txt", &messages(), encode, decode);
}

#[test]
fn recorded_log_records_decode_and_encode_to_the_same_bytes() {
    assert_recorded("records.txt", &records(), encode, decode);
}

/// Limiters of two builds must compute the same fingerprint for a request.
#[test]
fn fingerprints_match_the_recorded_ones() {
    assert_recorded(
        "fingerprints.txt",
        &[("post", fingerprint())],
        encode,
        decode,
    );
}

/// Limiters of two builds must compute the same owner for a customer's keys.
#[test]
fn owners_match_the_recorded_ones() {
    let owners: Vec<u32> = (0..64)
        .map(|customer| emberpin_idempotency::owner(Customer(customer), 1, 3, 5).expect("an owner"))
        .collect();
    assert_recorded(
        "owners.txt",
        &[("64-customers-of-3-in-5", owners)],
        encode,
        decode,
    );
}
