//! Helpers shared by the tests of this package.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A generator of pseudo-random numbers in [0, 1), determined by the seed alone.
pub fn random_numbers(seed: u64) -> impl FnMut() -> f64 {
    let mut state = seed;
    move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as f64 / (1u64 << 31) as f64
    }
}

pub fn unix_time(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(seconds)
}
