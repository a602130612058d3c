//! The intervals and age limits along the path from store to registry to proxy, and the sums of delays that result.
//!
//! The age of the state is limited at the registry ([`REGISTRY_LEASE_DURATION`]) and at the proxy
//! ([`PROXY_LEASE_DURATION`]). Messages carry the age along the whole path, so delays on the way do not add to the
//! limits: a proxy routes by state that is no older than [`PROXY_LEASE_DURATION`], or its session has ended.

use std::time::Duration;

/// How often a store compares its state with the other stores; `COMPARISON_INTERVAL` of `emberpin-consensus`.
pub const STORE_COMPARISON_INTERVAL: Duration = Duration::from_millis(500);
/// How often a registry queries its store for the age of the store's state.
pub const STORE_QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// How often a registry sends a heartbeat to its peers, which is also its lease query.
pub const PEER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How often a proxy sends a keep-alive in a session, which is also its lease query.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// The time that a query and its answer are assumed to take on any link of the path without a fault.
pub const ROUND_TRIP: Duration = Duration::from_millis(100);

/// The greatest age at which a registry confirms its state. When the state is older, the registry answers keep-alives
/// without an age, evicts no instances, and redirects calls of the operator.
pub const REGISTRY_LEASE_DURATION: Duration = Duration::from_millis(1_200);
/// The age of the received state beyond which a proxy ends its session with a registry.
pub const PROXY_LEASE_DURATION: Duration = Duration::from_millis(2_000);
/// How long a proxy waits for the first confirmation, counted from the start of the session or the last snapshot part.
pub const FIRST_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a proxy waits for a connection to a registry.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The backoff of a proxy between two sessions.
pub const RECONNECT_BACKOFF: Backoff = Backoff {
    initial: Duration::from_millis(100),
    max: Duration::from_millis(800),
};
/// How often a proxy checks whether the lease of a session has expired.
pub const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a call of the operator may take at a registry. Shorter than [`OPERATOR_SILENCE_TIMEOUT`], after which the
/// operator skips a registry.
pub const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_millis(950);
/// How long an operator waits for a registry that sends nothing before skipping it.
pub const OPERATOR_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a registry collects changes before it sends them to its sessions in one message.
pub const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(5);
/// How long a proxy avoids a registry, which means that it tries the registry only after all others, once it could not
/// connect to it or has ended an unconfirmed session with it.
pub const AVOIDANCE_PERIOD: Duration = Duration::from_millis(5_000);
/// The time that the connection, the snapshot and the first confirmation of a new session are assumed to take without a
/// fault.
pub const CATCH_UP_TIME: Duration = Duration::from_millis(400);

/// The greatest age of a registry's state if one comparison of the stores fails and there is no other fault.
pub const MAX_REGISTRY_AGE: Duration = sum(&[
    STORE_COMPARISON_INTERVAL,
    STORE_COMPARISON_INTERVAL,
    ROUND_TRIP,
]);
/// The greatest age of a proxy's state if one keep-alive fails and there is no other fault.
pub const MAX_PROXY_AGE: Duration = sum(&[
    STORE_COMPARISON_INTERVAL,
    STORE_QUERY_INTERVAL,
    KEEP_ALIVE_INTERVAL,
    KEEP_ALIVE_INTERVAL,
    ROUND_TRIP,
    ROUND_TRIP,
]);
/// The time until a change is delivered if its first message was lost: until the next comparison of the stores, two
/// round trips, and the delay of a batch.
pub const REDELIVERY_DELAY: Duration = sum(&[
    STORE_COMPARISON_INTERVAL,
    ROUND_TRIP,
    ROUND_TRIP,
    CHANGE_BATCH_DELAY,
]);

/// An exponential backoff: the pause doubles from attempt to attempt up to a maximum. The pause that is actually waited
/// is drawn at random between half and one and a half times this value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The first pause, before randomization.
    pub initial: Duration,
    /// The maximum of later pauses, before randomization.
    pub max: Duration,
}

impl Backoff {
    /// The pause that follows `pause`, both before randomization.
    pub const fn next(self, pause: Duration) -> Duration {
        let doubled = pause.saturating_mul(2);
        if is_shorter(doubled, self.max) {
            doubled
        } else {
            self.max
        }
    }

    /// The longest pause that randomization can make of `pause`.
    pub const fn longest(pause: Duration) -> Duration {
        Duration::from_millis(pause.as_millis() as u64 * 3 / 2)
    }
}

/// The time from a network partition that cuts off all sessions of a proxy until a registry in contact with a majority
/// confirms the proxy's state, if the proxy first tries `failed_attempts` registries without that contact. It is the
/// sum of the lease duration, the interval at which the proxy checks its leases, the backoff, the failed attempts and
/// the catch-up of the new session.
pub const fn session_recovery_time(failed_attempts: u64) -> Duration {
    let mut total = sum(&[
        PROXY_LEASE_DURATION,
        LEASE_CHECK_INTERVAL,
        Backoff::longest(RECONNECT_BACKOFF.initial),
        CATCH_UP_TIME,
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

/// The deployment bounds for which the intervals above are chosen, as the settings files of small and of large sites
/// state them.
///
/// A partition matters to a proxy only if it cuts off the registries of both of its sessions. The proxy then avoids
/// these two, and each further registry that could confirm nothing. So a partition that cuts off `n` registries costs
/// at most `n - 2` failed attempts.
pub mod bounds {
    use std::time::Duration;

    /// `apply` and `drain` of a small site; those of a large site are longer.
    pub const APPLY: Duration = Duration::from_millis(2_500);
    /// `contact` of a small site: at most five machines run a store and a registry; two of them may be cut off.
    pub const CONTACT: Duration = Duration::from_millis(3_000);
    /// `contact` of a large site: at most nine machines run a store and a registry; four of them may be cut off.
    pub const LARGE_SITE_CONTACT: Duration = Duration::from_millis(5_000);
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

const fn is_shorter(duration: Duration, than: Duration) -> bool {
    duration.as_nanos() < than.as_nanos()
}

const fn longer(one: Duration, other: Duration) -> Duration {
    if is_shorter(other, one) {
        one
    } else {
        other
    }
}

const fn is_within(duration: Duration, bound: Duration) -> bool {
    !is_shorter(bound, duration)
}

const _: () = assert!(
    is_within(session_recovery_time(0), bounds::CONTACT),
    "a proxy does not recover within `contact` on a small site"
);
const _: () = assert!(
    is_within(session_recovery_time(2), bounds::LARGE_SITE_CONTACT),
    "a proxy does not recover within `contact` on a large site"
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
