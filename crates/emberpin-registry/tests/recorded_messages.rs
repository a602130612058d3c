//! Guards the compatibility with earlier builds: recorded frames must decode to the messages that they were recorded
//! from, and these must encode to the same bytes again.
//!
//! For version 2 of the protocol, `protocol-2.txt` has one of each message, and `protocol-2-values.txt` has values that
//! these leave out. Neither may be recorded again while builds of version 2 are in service.
//!
//! If `protocol-2-values.txt` does not exist, this command records it:
//! `EMBERPIN_RECORD_VALUES=1 cargo test -p emberpin-registry --test recorded_messages sample_values`

mod samples;

use emberpin_consensus::Message;
use emberpin_coordination::{Operation, Outcome};
use emberpin_membership::peers::RegistryMessage;
use emberpin_membership::session::{ConnectionRole, FromProxy, ToProxy};
use emberpin_runtime::frames::{self, ConnectionError};
use emberpin_runtime::preamble::{Preamble, PREAMBLE_BYTES};
use emberpin_store::protocol::{DiskState, StoreReply, StoreRequest, ToStore};
use googletest::prelude::*;
use samples::{recorded, values};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::fs;

/// One of each message of version 2.
const MESSAGES: &str = "protocol-2.txt";
/// Messages of version 2 with values that [`MESSAGES`] leaves out.
const VALUES: &str = "protocol-2-values.txt";
/// One of each message of version 3, which added some to those of version 2.
const MESSAGES_OF_VERSION_3: &str = "protocol-3.txt";
/// One of each message of version 4, which added some to those of version 3.
const MESSAGES_OF_VERSION_4: &str = "protocol-4.txt";

/// Decodes the message of a frame, as a process reads it from a connection.
fn decode<T: DeserializeOwned>(mut frame: &[u8]) -> std::result::Result<T, ConnectionError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let message = runtime.block_on(frames::read(&mut frame));
    expect_that!(frame, is_empty());
    message
}

/// Expects that each frame decodes to its message, and that the message encodes to the same bytes.
fn expect_decoded_as<T>(frames: &[Vec<u8>], messages: &[T])
where
    T: Debug + DeserializeOwned + PartialEq + Serialize,
{
    expect_that!(frames.len(), eq(messages.len()));
    for (frame, message) in frames.iter().zip(messages) {
        let decoded: T = decode(frame).expect("a message");
        expect_that!(decoded, eq(message));
        expect_that!(frames::encode(&decoded).expect("a frame"), eq(frame));
    }
}

/// The numbers of the variants of the enum that follows `prefix` in a message of the type `T`: each byte with which the
/// message can be decoded if `prefix` precedes it and zeros follow. This finds every variant, as every field can be
/// zero.
fn variants<T: DeserializeOwned>(prefix: &[u8]) -> Vec<u8> {
    let is_known = |variant: &u8| {
        let message = [prefix, &[*variant], &[0; 64]].concat();
        let length = u32::try_from(message.len())
            .expect("a length")
            .to_be_bytes();
        decode::<T>(&[&length[..], &message].concat()).is_ok()
    };
    (0..0x80).filter(is_known).collect()
}

/// Expects that the recorded frames have, after `prefix`, every variant that can be decoded there in a `T`.
fn expect_all_recorded<T: DeserializeOwned>(frames: &[Vec<u8>], prefix: &[u8]) {
    let messages = frames
        .iter()
        .filter_map(|frame| frame[4..].strip_prefix(prefix));
    let mut recorded: Vec<u8> = messages.map(|message| message[0]).collect();
    recorded.sort_unstable();
    recorded.dedup();
    expect_that!(
        recorded,
        eq(&variants::<T>(prefix)),
        "{}",
        std::any::type_name::<T>()
    );
}

/// As [`expect_all_recorded`], for messages between stores, whose variants are recorded after one of several prefixes.
fn expect_all_recorded_between_stores(frames: &[Vec<u8>], prefixes: &[&[u8]]) {
    let without_prefix = |frame: &Vec<u8>| {
        let mut messages = prefixes
            .iter()
            .filter_map(|prefix| frame[4..].strip_prefix(*prefix));
        messages.next().map(|message| message[0])
    };
    let mut recorded: Vec<u8> = frames.iter().filter_map(without_prefix).collect();
    recorded.sort_unstable();
    recorded.dedup();
    expect_that!(recorded, eq(&variants::<Message>(&[])));
}

#[gtest]
fn sample_values_encode_to_the_recorded_bytes() {
    let path = recorded::path(VALUES);
    if std::env::var_os("EMBERPIN_RECORD_VALUES").is_some() && !path.exists() {
        fs::write(path, values::text()).expect("a recording");
    }
    let (now, recorded) = (values::text(), recorded::text(VALUES));
    expect_that!(now.lines().count(), eq(recorded.lines().count()));
    for (now, recorded) in now.lines().zip(recorded.lines()) {
        expect_that!(now, eq(recorded));
    }
}

#[gtest]
fn recorded_frames_to_a_store_decode_to_their_messages() {
    expect_decoded_as(
        &recorded::frames(MESSAGES, "to-store"),
        &samples::to_store(),
    );
    expect_decoded_as(&recorded::frames(VALUES, "to-store"), &values::to_store());
    expect_decoded_as(
        &recorded::frames(MESSAGES_OF_VERSION_3, "to-store"),
        &[samples::to_store(), samples::to_store_new_in_version_3()].concat(),
    );
    expect_decoded_as(
        &recorded::frames(MESSAGES_OF_VERSION_4, "to-store"),
        &[
            samples::to_store(),
            samples::to_store_new_in_version_3(),
            samples::to_store_new_in_version_4(),
        ]
        .concat(),
    );
}

#[gtest]
fn recorded_frames_from_a_store_decode_to_their_messages() {
    expect_decoded_as(
        &recorded::frames(MESSAGES, "from-store"),
        &samples::from_store(),
    );
    expect_decoded_as(
        &recorded::frames(VALUES, "from-store"),
        &values::from_store(),
    );
    expect_decoded_as(
        &recorded::frames(MESSAGES_OF_VERSION_4, "from-store"),
        &[
            samples::from_store(),
            samples::from_store_new_in_version_4(),
        ]
        .concat(),
    );
}

#[gtest]
fn recorded_frames_to_a_registry_decode_to_their_messages() {
    let frames = recorded::frames(MESSAGES, "to-registry");
    let (roles, rest) = frames.split_at(samples::connection_roles().len());
    let (from_proxy, between_registries) = rest.split_at(samples::from_proxy().len());
    expect_decoded_as(roles, &samples::connection_roles());
    expect_decoded_as(from_proxy, &samples::from_proxy());
    expect_decoded_as(between_registries, &samples::between_registries());
    expect_decoded_as(
        &recorded::frames(VALUES, "from-limiter"),
        &values::from_proxy(),
    );
    expect_decoded_as(
        &recorded::frames(VALUES, "between-registries"),
        &values::between_registries(),
    );
}

#[gtest]
fn recorded_frames_from_a_registry_decode_to_their_messages() {
    let frames = recorded::frames(MESSAGES, "from-registry");
    let (to_proxy, acks) = frames.split_at(samples::to_proxy().len());
    expect_decoded_as(to_proxy, &samples::to_proxy());
    expect_decoded_as(acks, &samples::acks());
    expect_decoded_as(&recorded::frames(VALUES, "to-limiter"), &values::to_proxy());
    expect_decoded_as(&recorded::frames(VALUES, "ack"), &values::acks());
}

#[gtest]
fn recorded_preambles_decode_to_their_values() {
    let recorded = recorded::frames(VALUES, "preamble");
    expect_that!(recorded.len(), eq(values::preambles().len()));
    for (bytes, preamble) in recorded.iter().zip(values::preambles()) {
        let bytes: [u8; PREAMBLE_BYTES] = bytes[..].try_into().expect("a preamble's length");
        expect_that!(Preamble::decode(&bytes), ok(eq(preamble)));
        expect_that!(preamble.encode(), eq(bytes));
    }
}

#[gtest]
fn every_variant_of_each_message_is_recorded() {
    let to_store = recorded::frames(MESSAGES_OF_VERSION_4, "to-store");
    expect_all_recorded::<ToStore>(&to_store, &[]);
    expect_all_recorded::<ToStore>(&to_store, &[0]);
    expect_all_recorded::<ToStore>(&to_store, &[0, 6, 4]);
    expect_all_recorded_between_stores(
        &to_store,
        &[[1, 10, 1, 0, 7].as_slice(), [2, 10, 1, 0, 7].as_slice()],
    );
    let from_store = recorded::frames(MESSAGES_OF_VERSION_4, "from-store");
    expect_all_recorded::<StoreReply>(&from_store, &[]);
    expect_all_recorded::<StoreReply>(&from_store, &[4, 4]);
    expect_all_recorded::<StoreReply>(&from_store, &[4, 4, 0]);
    let to_registry = recorded::frames(MESSAGES, "to-registry");
    let (roles, rest) = to_registry.split_at(samples::connection_roles().len());
    let (from_proxy, between_registries) = rest.split_at(samples::from_proxy().len());
    expect_all_recorded::<ConnectionRole>(roles, &[]);
    expect_all_recorded::<FromProxy>(from_proxy, &[]);
    expect_all_recorded::<RegistryMessage>(between_registries, &[]);
    let from_registry = recorded::frames(MESSAGES, "from-registry");
    expect_all_recorded::<ToProxy>(&from_registry[..samples::to_proxy().len()], &[]);
}

#[gtest]
fn every_message_has_as_many_variants_as_in_version_4() {
    // Version 2 has five, version 3 six.
    expect_that!(variants::<StoreRequest>(&[]).len(), eq(7));
    // Version 2 has 17, version 3 has 19.
    expect_that!(variants::<Message>(&[]).len(), eq(22));
    // Versions 2 and 3 have four.
    expect_that!(variants::<StoreReply>(&[]).len(), eq(5));
    expect_that!(variants::<Operation>(&[]).len(), eq(8));
    expect_that!(variants::<Outcome>(&[]).len(), eq(13));
    expect_that!(variants::<DiskState>(&[]).len(), eq(4));
    expect_that!(variants::<FromProxy>(&[]).len(), eq(3));
    expect_that!(variants::<ToProxy>(&[]).len(), eq(4));
    expect_that!(variants::<RegistryMessage>(&[]).len(), eq(7));
}
