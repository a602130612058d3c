//! The delay between attempts to connect.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_registry::backoff::Backoff;
use googletest::prelude::*;
use std::time::Duration;

const SHORT: Duration = Duration::from_secs(1);
const LONG: Duration = Duration::from_millis(1_001);

fn next_delay_ms(backoff: &mut Backoff, connected_for: Duration) -> u128 {
    backoff.next_delay(connected_for).as_millis()
}

#[gtest]
fn the_delay_doubles_after_short_connections_up_to_a_second() {
    let mut backoff = Backoff::default();
    let delays: Vec<u128> = (0..6).map(|_| next_delay_ms(&mut backoff, SHORT)).collect();
    expect_that!(delays, eq(&vec![200, 400, 800, 1_000, 1_000, 1_000]));
}

#[gtest]
fn the_delay_starts_again_after_a_connection_of_more_than_a_second() {
    let mut backoff = Backoff::default();
    next_delay_ms(&mut backoff, SHORT);
    expect_that!(next_delay_ms(&mut backoff, LONG), eq(100));
    expect_that!(next_delay_ms(&mut backoff, SHORT), eq(200));
}
