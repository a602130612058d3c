//! The intervals and the sums of delays. `src/timing.rs` asserts at compile time that the sums stay within the bounds.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_membership::timing;
use emberpin_membership::timing::{session_recovery_time, Backoff};
use googletest::prelude::*;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The values that `docs/design/parts/contact.md` states.
#[gtest]
fn recovery_from_a_partition_takes_as_long_as_the_design_states() {
    expect_that!(
        (0..3).map(session_recovery_time).collect::<Vec<_>>(),
        elements_are![eq(&ms(2_600)), eq(&ms(3_600)), eq(&ms(4_900))]
    );
    expect_that!(timing::REDELIVERY_DELAY, eq(ms(705)));
    expect_that!(timing::MAX_REGISTRY_AGE, eq(ms(1_100)));
    expect_that!(timing::MAX_PROXY_AGE, eq(ms(1_950)));
}

#[gtest]
fn every_interval_keeps_its_value() {
    expect_that!(timing::STORE_COMPARISON_INTERVAL, eq(ms(500)));
    expect_that!(timing::STORE_QUERY_INTERVAL, eq(ms(250)));
    expect_that!(timing::PEER_HEARTBEAT_INTERVAL, eq(ms(500)));
    expect_that!(timing::KEEP_ALIVE_INTERVAL, eq(ms(500)));
    expect_that!(timing::ROUND_TRIP, eq(ms(100)));
    expect_that!(timing::REGISTRY_LEASE_DURATION, eq(ms(1_200)));
    expect_that!(timing::PROXY_LEASE_DURATION, eq(ms(2_000)));
    expect_that!(timing::FIRST_CONFIRMATION_TIMEOUT, eq(ms(700)));
    expect_that!(timing::CONNECT_TIMEOUT, eq(ms(500)));
    expect_that!(timing::LEASE_CHECK_INTERVAL, eq(ms(50)));
    expect_that!(timing::CHANGE_BATCH_DELAY, eq(ms(5)));
    expect_that!(timing::AVOIDANCE_PERIOD, eq(ms(5_000)));
    expect_that!(timing::CATCH_UP_TIME, eq(ms(400)));
}

#[gtest]
fn the_reconnect_backoff_doubles_up_to_its_maximum() {
    let backoff = timing::RECONNECT_BACKOFF;
    let mut pause = backoff.initial;
    let mut pauses = vec![pause];
    for _ in 0..4 {
        pause = backoff.next(pause);
        pauses.push(pause);
    }
    expect_that!(
        pauses,
        elements_are![
            eq(&ms(100)),
            eq(&ms(200)),
            eq(&ms(400)),
            eq(&ms(800)),
            eq(&ms(800))
        ]
    );
    expect_that!(Backoff::longest(backoff.initial), eq(ms(150)));
}
