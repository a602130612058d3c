//! The intervals and limits along the path store, registry, proxy, and the sum of delays that they add up to.
//!
//! There is one limit at the registry ([`REGISTRY_LEASE_DURATION`]) and one at the proxy ([`PROXY_LEASE_DURATION`]). An
//! age is carried along the whole path, so delays on the way do not add to the limits: the state that a proxy routes by
//! is no older than [`PROXY_LEASE_DURATION`], or its session has ended.

use std::time::Duration;

/// How often a store compares its state with the other stores; `COMPARISON_INTERVAL` of `emberpin-consensus`.
pub const STORE_COMPARISON_INTERVAL: Duration = Duration::from_millis(500);
/// How often a registry asks its store for the age of its state.
pub const STORE_QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// How often a registry sends a heartbeat to its peers, which is also its lease query.
pub const PEER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How often a proxy sends a keep-alive in a session, which is also its lease query.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// The time that a query and its answer are assumed to take on any of these links without a fault.
pub const ROUND_TRIP: Duration = Duration::from_millis(100);

/// The age up to which a registry confirms its state. Beyond it, the registry answers keep-alives without an age, evicts
/// no instances, and redirects calls of the operator.
pub const REGISTRY_LEASE_DURATION: Duration = Duration::from_millis(1_200);
/// The age of the received state beyond which a proxy ends its session with a registry.
pub const PROXY_LEASE_DURATION: Duration = Duration::from_millis(2_000);
/// How long a proxy waits for the first confirmation, counted from the start of the session or the last snapshot part.
pub const FIRST_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a proxy waits for a connection to a registry.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The pauses of a proxy between two sessions.
pub const RECONNECT_BACKOFF: Backoff = Backoff {
    initial: Duration::from_millis(100),
    max: Duration::from_millis(800),
};
/// How often a proxy checks whether the lease of a session has expired.
pub const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a call of the operator may take at a registry: an operator passes one over after
/// [`OPERATOR_SILENCE_TIMEOUT`].
pub const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_millis(950);
/// How long an operator waits for a registry that sends nothing.
pub const OPERATOR_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a registry collects changes before it sends them to its sessions in one message.
pub const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(5);
/// How long a proxy tries a registry last after it could not connect to it or left it unconfirmed.
pub const AVOIDANCE_PERIOD: Duration = Duration::from_millis(5_000);
/// The time that the connection, the snapshot and the first answer of a new session are assumed to take without a
/// fault.
pub const CATCH_UP: Duration = Duration::from_millis(400);

/// The greatest age of a registry's state without a fault but one failed comparison of stores.
pub const MAX_REGISTRY_AGE: Duration = sum(&[
    STORE_COMPARISON_INTERVAL,
    STORE_COMPARISON_INTERVAL,
    ROUND_TRIP,
]);
/// The greatest age of a proxy's state without a fault but one failed keep-alive.
pub const MAX_PROXY_AGE: Duration = sum(&[
    STORE_COMPARISON_INTERVAL,
    STORE_QUERY_INTERVAL,
    KEEP_ALIVE_INTERVAL,
    KEEP_ALIVE_INTERVAL,
    ROUND_TRIP,
    ROUND_TRIP,
]);
/// The time until a change is delivered if its first message was lost: the stores compare, and both hops batch.
pub const REDELIVERY_DELAY: Duration = sum(&[
    STORE_COMPARISON_INTERVAL,
    ROUND_TRIP,
    ROUND_TRIP,
    CHANGE_BATCH_DELAY,
]);

/// A pause that doubles from attempt to attempt. Each pause is drawn between half of its value and one and a half of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The value of the first pause.
    pub initial: Duration,
    /// The value that later pauses grow to.
    pub max: Duration,
}

impl Backoff {
    /// The value of the pause after one of this value.
    pub const fn next(self, pause: Duration) -> Duration {
        let doubled = pause.saturating_mul(2);
        if is_less(doubled, self.max) {
            doubled
        } else {
            self.max
        }
    }

    /// The longest pause that may be drawn for this value.
    pub const fn longest(pause: Duration) -> Duration {
        Duration::from_millis(pause.as_millis() as u64 * 3 / 2)
    }
}

/// The time from a network partition until a proxy whose sessions are all cut off is confirmed by a registry in contact
/// with a majority, if it first tries `failed_attempts` registries that are not: its leases expire, it notices, pauses,
/// tries those, and catches up.
pub const fn recovery_time(failed_attempts: u64) -> Duration {
    let mut total = sum(&[
        PROXY_LEASE_DURATION,
        LEASE_CHECK_INTERVAL,
        Backoff::longest(RECONNECT_BACKOFF.initial),
        CATCH_UP,
    ]);
    let mut attempts = 0;
    let mut pause = RECONNECT_BACKOFF.initial;
    while attempts < failed_attempts {
        pause = RECONNECT_BACKOFF.next(pause);
        let attempt = longer(CONNECT_TIMEOUT, FIRST_CONFIRMATION_TIMEOUT);
        total = sum(&[total, attempt, Backoff::longest(pause)]);
        attempts += 1;
    }
    total
}

/// The bounds that the intervals above are chosen for, as settings files of small and of grown sites state them. A
/// registry that could confirm nothing is not tried again, so a partition that takes `n` registries costs `n - 2` failed
/// attempts.
pub mod bounds {
    use std::time::Duration;

    /// `apply` and `drain` of a small site; those of a grown one are longer.
    pub const APPLY: Duration = Duration::from_millis(2_500);
    /// `contact` of a small site: at most five core machines, of which two may be cut off.
    pub const CONTACT: Duration = Duration::from_millis(3_000);
    /// `contact` of a grown site: at most nine core machines, of which four may be cut off.
    pub const GROWN_CONTACT: Duration = Duration::from_millis(5_000);
}

const fn sum(durations: &[Duration]) -> Duration {
    let mut total = Duration::ZERO;
    let mut index = 0;
    while index < durations.len() {
        total = total.saturating_add(durations[index]);
        index += 1;
    }
    total
}

const fn is_less(one: Duration, other: Duration) -> bool {
    one.as_nanos() < other.as_nanos()
}

const fn longer(one: Duration, other: Duration) -> Duration {
    if is_less(other, one) {
        one
    } else {
        other
    }
}

const fn is_within(duration: Duration, bound: Duration) -> bool {
    !is_less(bound, duration)
}

const _: () = assert!(
    is_within(recovery_time(0), bounds::CONTACT),
    "a proxy does not recover within `contact` on a small site"
);
const _: () = assert!(
    is_within(recovery_time(2), bounds::GROWN_CONTACT),
    "a proxy does not recover within `contact` on a grown site"
);
const _: () = assert!(
    is_within(PROXY_LEASE_DURATION, bounds::APPLY),
    "a proxy may route by state that is older than `apply`"
);
const _: () = assert!(
    is_within(REDELIVERY_DELAY, bounds::APPLY),
    "a change whose first message was lost is not in force within `apply`"
);
const _: () = assert!(
    is_within(MAX_REGISTRY_AGE, REGISTRY_LEASE_DURATION),
    "a registry's lease expires without a fault"
);
const _: () = assert!(
    is_within(MAX_PROXY_AGE, PROXY_LEASE_DURATION),
    "a proxy's lease expires without a fault"
);
