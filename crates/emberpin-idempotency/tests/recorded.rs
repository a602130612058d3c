//! What limiters tell each other about keys, and what their logs keep of a key, as an earlier build wrote it. An answer is
//! a text here; the limiter's own is recorded with the limiter.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;

use emberpin_idempotency::claims::{Claim, Member, Said, Verdict};
use emberpin_idempotency::{Customer, Fingerprint, Form, Key, Known, Record, Secret};
use recording::assert_recorded;
use serde::de::DeserializeOwned;
use serde::Serialize;

const CLAIM: Claim = Claim(300);
const CUSTOMER: Customer = Customer(0x1_b4d6_5521);

fn key() -> Key {
    Key::parse("\"k \\\"7\\\"\"", Form::Quoted).expect("a key")
}

fn fingerprint() -> Fingerprint {
    Fingerprint::of(&Secret::new([7; 32]), "POST", "/api?a=b", 1, b"body")
}

fn messages() -> Vec<(&'static str, Said<String>)> {
    let told = |verdict| Said::Told(CLAIM, verdict);
    let (customer, key, fingerprint) = (CUSTOMER, key(), fingerprint());
    let wants = Said::Wants {
        claim: CLAIM,
        customer,
        key: key.clone(),
        fingerprint,
        within: 30_000.0,
    };
    vec![
        ("wants", wants),
        ("granted", Said::Granted(CLAIM)),
        ("waits", Said::Waits(CLAIM, (Member(2), Claim(u64::MAX)))),
        ("told-replay", told(Verdict::Replay("signed".into()))),
        ("told-not-kept", told(Verdict::NotKept)),
        ("told-mismatch", told(Verdict::Mismatch)),
        ("told-unknown", told(Verdict::Unknown)),
        ("told-in-flight", told(Verdict::InFlight)),
        ("told-quiet", told(Verdict::Quiet)),
        ("told-full", told(Verdict::Full(250.5))),
        ("told-not-written", told(Verdict::NotWritten)),
        ("released", Said::Released(CLAIM)),
        ("lost", Said::Lost(CLAIM)),
        (
            "served",
            Said::Served {
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
    let record = |known| Record {
        customer: CUSTOMER,
        key: key(),
        fingerprint: fingerprint(),
        at: 12_345.5,
        known,
    };
    vec![
        ("claimed", record(Known::Claimed)),
        ("served", record(Known::Served(Some("signed".into())))),
        ("served-without-answer", record(Known::Served(None))),
        ("unknown", record(Known::Unknown)),
        ("gone", record(Known::Gone)),
    ]
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("encoded")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    postcard::from_bytes(bytes).expect("a value")
}

#[test]
fn every_message_about_a_key_is_read_and_written_as_it_was_recorded() {
    assert_recorded("claims.txt", &messages(), encode, decode);
}

#[test]
fn every_record_of_a_key_is_read_and_written_as_it_was_recorded() {
    assert_recorded("records.txt", &records(), encode, decode);
}

/// Limiters of two builds must come to the same fingerprint of one request.
#[test]
fn the_fingerprint_of_a_request_is_the_recorded_one() {
    assert_recorded(
        "fingerprints.txt",
        &[("post", fingerprint())],
        encode,
        decode,
    );
}

/// Limiters of two builds must name the same owner of a customer's keys.
#[test]
fn the_owners_of_customers_are_the_recorded_ones() {
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
