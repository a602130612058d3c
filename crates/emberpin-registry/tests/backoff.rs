//! The delay between attempts to connect: it must grow after short connections and be reset after a long one.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_registry::backoff::ReconnectDelay;
use googletest::prelude::*;
use std::time::Duration;

/// The longest connection that does not reset the delay.
const SHORT: Duration = Duration::from_secs(1);
/// The shortest connection, in whole milliseconds, that resets the delay.
const LONG: Duration = Duration::from_millis(1_001);

fn next_delay_ms(delay: &mut ReconnectDelay, connected_for: Duration) -> u128 {
    delay.next(connected_for).as_millis()
}

#[gtest]
fn the_delay_doubles_after_short_connections_up_to_a_second() {
    let mut delay = ReconnectDelay::default();
    let delays: Vec<u128> = (0..6).map(|_| next_delay_ms(&mut delay, SHORT)).collect();
    expect_that!(delays, eq(&vec![200, 400, 800, 1_000, 1_000, 1_000]));
}

#[gtest]
fn the_delay_is_reset_after_a_connection_of_more_than_a_second() {
    let mut delay = ReconnectDelay::default();
    next_delay_ms(&mut delay, SHORT);
    expect_that!(next_delay_ms(&mut delay, LONG), eq(100));
    expect_that!(next_delay_ms(&mut delay, SHORT), eq(200));
}
