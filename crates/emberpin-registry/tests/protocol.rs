//! The bytes of all messages between processes, as they were recorded; and what becomes of those of the build
//! before preambles.
//!
//! Where a message changes on purpose, raise `emberpin_runtime::preamble::PROTOCOL_VERSION` if builds with the
//! old one are in service, and record the bytes anew:
//! `EMBERPIN_RECORD=1 cargo test -p emberpin-registry --test protocol`
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
mod samples;

use common::{call, connect, Limiter, RegistryProcess, KEEPER, SOON};
use emberpin_runtime::preamble::{Preamble, PROTOCOL_VERSION};
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The version that had no preamble.
const BEFORE: u16 = 1;

fn fixture(version: u16) -> PathBuf {
    let folder = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../emberpin-runtime/tests/fixtures"
    );
    PathBuf::from(folder).join(format!("protocol-{version}.txt"))
}

/// The frames of a group.
fn recorded(version: u16, group: &str) -> Vec<Vec<u8>> {
    let text = std::fs::read_to_string(fixture(version)).expect("a fixture");
    let bytes = |hex: &str| -> Vec<u8> {
        let digits = (0..hex.len()).step_by(2);
        digits
            .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits"))
            .collect()
    };
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines
        .filter(|(name, _)| *name == group)
        .map(|(_, hex)| bytes(hex))
        .collect()
}

#[gtest]
fn the_bytes_of_all_messages_are_those_that_were_recorded_for_this_version() {
    let text = samples::text();
    if std::env::var_os("EMBERPIN_RECORD").is_some() {
        std::fs::write(fixture(PROTOCOL_VERSION), &text).expect("a fixture");
    }
    let recorded = std::fs::read_to_string(fixture(PROTOCOL_VERSION)).unwrap_or_default();
    // Line by line, as the whole is too long to be read.
    expect_that!(text.lines().count(), eq(recorded.lines().count()));
    for (now, recorded) in text.lines().zip(recorded.lines()) {
        expect_that!(
            now,
            eq(recorded),
            "a message changed: see the head of this file"
        );
    }
}

async fn is_refused(bytes: &[u8], ip: Ipv4Addr) {
    let mut stream = connect(ip, KEEPER + 1).await;
    stream.write_all(bytes).await.expect("sent");
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(SOON, stream.read_to_end(&mut rest)).await;
    expect_that!(ended.is_ok(), eq(true));
    expect_that!(rest, is_empty());
}

#[gtest]
#[tokio::test]
async fn a_registry_refuses_frames_of_the_build_before_and_of_a_later_one() {
    let me = Ipv4Addr::new(127, 77, 14, 1);
    let _registry = RegistryProcess::start(me, &[me]);
    let mut limiter = Limiter::connect(me).await;
    let frames = recorded(BEFORE, "to-registry");
    expect_that!(frames.len(), eq(10));
    for frame in &frames {
        is_refused(frame, me).await;
    }
    let mut later = Preamble {
        system: None,
        incarnation: 1,
    }
    .encode();
    later[4..6].copy_from_slice(&(PROTOCOL_VERSION + 1).to_be_bytes());
    is_refused(&later, me).await;
    let (_, status) = call(me, "GET", "/status", "").await;
    expect_that!(status, contains_substring("\"refused\":11,"));
    expect_that!(status, contains_substring("\"unreadable\":0,"));
    // Its own are served on.
    limiter.until(|_| Some(())).await;
}
