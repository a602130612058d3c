//! The frames that were recorded for version 2 of the protocol are read as the messages that they were, and written
//! as the same bytes again. `protocol-2.txt` has one of each message; `protocol-2-values.txt`, of 2 December 2026,
//! the values that these leave out. Neither is made anew as long as builds of version 2 are in service.
//!
//! The second, where it is not there, is recorded by
//! `EMBERPIN_RECORD_VALUES=1 cargo test -p emberpin-registry --test recorded_messages the_values`

mod samples;

use emberpin_consensus::Message;
use emberpin_membership::peers::RegistryMessage;
use emberpin_membership::session::{First, FromLimiter, ToLimiter};
use emberpin_runtime::frames::{self, ConnectionError};
use emberpin_runtime::preamble::{Preamble, PREAMBLE_BYTES};
use emberpin_store::protocol::{DiskState, StoreReply, StoreRequest, ToStore};
use googletest::prelude::*;
use samples::values;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::fs;
use std::path::{Path, PathBuf};

const MESSAGES: &str = "protocol-2.txt";
const VALUES: &str = "protocol-2-values.txt";

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../emberpin-runtime/tests/fixtures")
        .join(name)
}

fn text(name: &str) -> String {
    fs::read_to_string(fixture(name)).expect("a fixture")
}

/// The frames of a group.
fn recorded(name: &str, group: &str) -> Vec<Vec<u8>> {
    let text = text(name);
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines
        .filter(|(of, _)| *of == group)
        .map(|(_, digits)| bytes(digits))
        .collect()
}

fn bytes(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits"))
        .collect()
}

/// What a process reads.
fn read<T: DeserializeOwned>(mut frame: &[u8]) -> std::result::Result<T, ConnectionError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let message = runtime.block_on(frames::read(&mut frame));
    expect_that!(frame, is_empty());
    message
}

/// The frames hold these messages, each in the only way.
fn expect_read_as<T>(frames: &[Vec<u8>], messages: &[T])
where
    T: Debug + DeserializeOwned + PartialEq + Serialize,
{
    expect_that!(frames.len(), eq(messages.len()));
    for (frame, message) in frames.iter().zip(messages) {
        let read: T = read(frame).expect("a message");
        expect_that!(read, eq(message));
        expect_that!(frames::encode(&read).expect("a frame"), eq(frame));
    }
}

/// The first bytes of messages that can be read from zeros behind them: one for each variant, as every field
/// can be zero.
fn variants<T: DeserializeOwned>(before: &[u8]) -> Vec<u8> {
    let is_known = |variant: &u8| {
        let message = [before, &[*variant], &[0; 64]].concat();
        let length = u32::try_from(message.len())
            .expect("a length")
            .to_be_bytes();
        read::<T>(&[&length[..], &message].concat()).is_ok()
    };
    (0..0x80).filter(is_known).collect()
}

/// Each variant that can be read is among those that were recorded, and the other way round.
fn expect_all_recorded<T: DeserializeOwned>(frames: &[Vec<u8>], before: &[u8]) {
    let messages = frames
        .iter()
        .filter_map(|frame| frame[4..].strip_prefix(before));
    let mut recorded: Vec<u8> = messages.map(|message| message[0]).collect();
    recorded.sort_unstable();
    recorded.dedup();
    expect_that!(
        recorded,
        eq(&variants::<T>(before)),
        "{}",
        std::any::type_name::<T>()
    );
}

#[gtest]
fn the_values_that_were_recorded_are_those_of_the_samples() {
    if std::env::var_os("EMBERPIN_RECORD_VALUES").is_some() && !fixture(VALUES).exists() {
        fs::write(fixture(VALUES), values::text()).expect("a fixture");
    }
    let (now, recorded) = (values::text(), text(VALUES));
    expect_that!(now.lines().count(), eq(recorded.lines().count()));
    for (now, recorded) in now.lines().zip(recorded.lines()) {
        expect_that!(now, eq(recorded));
    }
}

#[gtest]
fn recorded_frames_to_a_store_are_read_as_their_messages() {
    expect_read_as(&recorded(MESSAGES, "to-store"), &samples::to_store());
    expect_read_as(&recorded(VALUES, "to-store"), &values::to_store());
}

#[gtest]
fn recorded_frames_from_a_store_are_read_as_their_messages() {
    expect_read_as(&recorded(MESSAGES, "from-store"), &samples::from_store());
    expect_read_as(&recorded(VALUES, "from-store"), &values::from_store());
}

#[gtest]
fn recorded_frames_to_a_registry_are_read_as_their_messages() {
    let frames = recorded(MESSAGES, "to-registry");
    let (first, rest) = frames.split_at(samples::first().len());
    let (from_limiter, between_registries) = rest.split_at(samples::from_limiter().len());
    expect_read_as(first, &samples::first());
    expect_read_as(from_limiter, &samples::from_limiter());
    expect_read_as(between_registries, &samples::between_registries());
    expect_read_as(&recorded(VALUES, "from-limiter"), &values::from_limiter());
    expect_read_as(
        &recorded(VALUES, "between-registries"),
        &values::between_registries(),
    );
}

#[gtest]
fn recorded_frames_from_a_registry_are_read_as_their_messages() {
    let frames = recorded(MESSAGES, "from-registry");
    let (to_limiter, acks) = frames.split_at(samples::to_limiter().len());
    expect_read_as(to_limiter, &samples::to_limiter());
    expect_read_as(acks, &samples::acks());
    expect_read_as(&recorded(VALUES, "to-limiter"), &values::to_limiter());
    expect_read_as(&recorded(VALUES, "ack"), &values::acks());
}

#[gtest]
fn recorded_preambles_are_read_as_what_was_said() {
    let recorded = recorded(VALUES, "preamble");
    expect_that!(recorded.len(), eq(values::preambles().len()));
    for (bytes, preamble) in recorded.iter().zip(values::preambles()) {
        let bytes: [u8; PREAMBLE_BYTES] = bytes[..].try_into().expect("a preamble's length");
        expect_that!(Preamble::decode(&bytes), ok(eq(preamble)));
        expect_that!(preamble.encode(), eq(bytes));
    }
}

#[gtest]
fn every_variant_of_each_message_is_recorded() {
    let to_store = recorded(MESSAGES, "to-store");
    expect_all_recorded::<ToStore>(&to_store, &[]);
    expect_all_recorded::<ToStore>(&to_store, &[0]);
    expect_all_recorded::<ToStore>(&to_store, &[1, 10, 1, 0, 7]);
    expect_all_recorded::<StoreReply>(&recorded(MESSAGES, "from-store"), &[]);
    let to_registry = recorded(MESSAGES, "to-registry");
    let (first, rest) = to_registry.split_at(samples::first().len());
    let (from_limiter, between_registries) = rest.split_at(samples::from_limiter().len());
    expect_all_recorded::<First>(first, &[]);
    expect_all_recorded::<FromLimiter>(from_limiter, &[]);
    expect_all_recorded::<RegistryMessage>(between_registries, &[]);
    let from_registry = recorded(MESSAGES, "from-registry");
    expect_all_recorded::<ToLimiter>(&from_registry[..samples::to_limiter().len()], &[]);
}

#[gtest]
fn the_messages_have_as_many_variants_as_those_of_version_2() {
    expect_that!(variants::<StoreRequest>(&[]).len(), eq(5));
    expect_that!(variants::<Message>(&[]).len(), eq(17));
    expect_that!(variants::<StoreReply>(&[]).len(), eq(4));
    expect_that!(variants::<DiskState>(&[]).len(), eq(4));
    expect_that!(variants::<FromLimiter>(&[]).len(), eq(3));
    expect_that!(variants::<ToLimiter>(&[]).len(), eq(4));
    expect_that!(variants::<RegistryMessage>(&[]).len(), eq(7));
}
