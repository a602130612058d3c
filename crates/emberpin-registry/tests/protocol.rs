//! Guards against unintended changes of the protocol between processes: every message must encode to the bytes recorded
//! for this version of the protocol, and peers of other versions must be rejected.
//!
//! If a message changes on purpose, increase the newest version of `VersionRange::SUPPORTED` if builds with the old one
//! are in service, document for each version what is sent to its peers, and record the bytes again:
//! `EMBERPIN_RECORD=1 cargo test -p emberpin-registry --test protocol`
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
mod samples;

use common::{call, connect, loopback, ProxySession, RegistryProcess, REGISTRY_PORT, TEST_TIMEOUT};
use emberpin_runtime::preamble::Preamble;
use emberpin_runtime::protocol_version::VersionRange;
use googletest::prelude::*;
use samples::recorded;
use std::net::Ipv4Addr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The frames recorded for version 1 of the protocol, which had no preamble.
const VERSION_1: &str = "protocol-1.txt";

fn recording_of_this_version() -> String {
    format!("protocol-{}.txt", VersionRange::SUPPORTED.newest)
}

#[gtest]
fn every_message_encodes_to_the_bytes_recorded_for_this_version() {
    let text = samples::text();
    if std::env::var_os("EMBERPIN_RECORD").is_some() {
        let path = recorded::path(&recording_of_this_version());
        std::fs::write(path, &text).expect("a recording");
    }
    let recorded = recorded::text(&recording_of_this_version());
    // Compared line by line, as the difference of the complete texts would be too long to read.
    expect_that!(text.lines().count(), eq(recorded.lines().count()));
    for (now, recorded) in text.lines().zip(recorded.lines()) {
        expect_that!(
            now,
            eq(recorded),
            "a message changed: see the head of this file"
        );
    }
}

/// Expects that a registry closes a connection that begins with these bytes, without sending anything.
async fn expect_rejected(bytes: &[u8], ip: Ipv4Addr) {
    let mut stream = connect(ip, REGISTRY_PORT).await;
    stream.write_all(bytes).await.expect("sent");
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut rest)).await;
    expect_that!(ended.is_ok(), eq(true));
    expect_that!(rest, is_empty());
}

#[gtest]
#[tokio::test]
async fn a_registry_rejects_peers_of_an_earlier_and_of_a_later_version() {
    let local = loopback(14, 1);
    let _registry = RegistryProcess::start(local, &[local]);
    let mut proxy = ProxySession::open(local).await;
    let frames = recorded::frames(VERSION_1, "to-registry");
    expect_that!(frames.len(), eq(10));
    for frame in &frames {
        expect_rejected(frame, local).await;
    }
    let mut later = Preamble {
        versions: VersionRange::SUPPORTED,
        system: None,
        incarnation: 1,
    }
    .encode();
    later[4..6].copy_from_slice(&(VersionRange::SUPPORTED.newest.0 + 1).to_be_bytes());
    expect_rejected(&later, local).await;
    let (_, status) = call(local, "GET", "/status", "").await;
    expect_that!(status, contains_substring("\"refused\":11,"));
    expect_that!(status, contains_substring("\"unreadable\":0,"));
    // Peers of its own version are still served.
    proxy.wait_for_message().await;
}
