//! The classes, plans and rules of the stand-in site: what the users' letter says of theirs.

use crate::trace::{Micros, SECOND};

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// No harm.
    Safe,
    /// No harm within one hall and window.
    Keyed,
    /// Never allowed.
    Unsafe,
}

/// A class of requests.
pub struct Class {
    /// `Req-Kind`.
    pub name: &'static str,
    /// What a repeat does.
    pub repeat: Repeat,
    /// Core milliseconds at yardstick speed, on the mean.
    pub work: f64,
    /// An answer by then has its full worth.
    pub aim: Micros,
    /// The client's whole patience.
    pub deadline: Micros,
    /// Worth of one request.
    pub worth: f64,
    /// Units that one counts.
    pub units: f64,
}

/// The classes, by index.
pub const CLASSES: [Class; 3] = [
    Class {
        name: "job-status",
        repeat: Repeat::Safe,
        work: 36.0,
        aim: 400_000,
        deadline: 2 * SECOND,
        worth: 3.0,
        units: 1.0,
    },
    Class {
        name: "job-submit",
        repeat: Repeat::Keyed,
        work: 79.0,
        aim: SECOND,
        deadline: 5 * SECOND / 2,
        worth: 9.0,
        units: 3.0,
    },
    Class {
        name: "job-release",
        repeat: Repeat::Unsafe,
        work: 60.0,
        aim: SECOND,
        deadline: 5 * SECOND / 2,
        worth: 9.0,
        units: 2.0,
    },
];

/// How long a hall remembers a key.
pub const DEDUP_WINDOW: Micros = 3 * SECOND / 2;
/// Nothing new goes to a drained server later than this after the limiter was told.
pub const DRAIN_GRACE: Micros = SECOND / 2;
/// A cold server that is sent more than this multiple of what it can do ...
pub const OVERLOAD_MULTIPLE: f64 = 2.0;
/// ... for this long falls over.
pub const OVERLOAD_WINDOW: Micros = SECOND;
/// Each time limit is so much longer on sockets.
pub const TIMING_TOLERANCE: Micros = 50_000;
/// Longest wait that a client is told.
pub const MAX_RETRY_AFTER: Micros = SECOND;
/// The meter adds up use over this period.
pub const METER_PERIOD: Micros = SECOND;

/// A tariff; its figures hold for each customer over all limiters.
pub struct Plan {
    /// `X-Tier`.
    pub name: &'static str,
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// The hard ceiling: units a second and at once.
    pub ceiling: Option<(f64, f64)>,
    /// Multiplier on worth.
    pub price: f64,
    /// Part of all use inside quotas.
    pub share: f64,
}

/// The plans, by index.
pub const PLANS: [Plan; 3] = [
    Plan {
        name: "bas",
        rate: 1.7,
        burst: 8.0,
        ceiling: None,
        price: 0.72,
        share: 0.29,
    },
    Plan {
        name: "mellan",
        rate: 8.0,
        burst: 17.0,
        ceiling: Some((17.6, 37.4)),
        price: 1.2,
        share: 0.31,
    },
    Plan {
        name: "stor",
        rate: 34.0,
        burst: 70.0,
        ceiling: None,
        price: 1.4,
        share: 0.40,
    },
];

/// The name of a hall by its number.
pub fn hall_name(zone: usize) -> String {
    format!("hall-{}", (b'a' + (zone % 26) as u8) as char)
}
