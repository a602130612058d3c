//! Compares the bounds that a deployment's settings state with the delays of the control plane (stores and registries).
//!
//! The intervals in [`crate::timing`] are fixed, and chosen for the bounds of the known deployments. If another
//! deployment states a shorter bound, the control plane cannot guarantee it, and the operator must learn that when the
//! process starts.

use crate::timing::{
    session_recovery_time, OPERATOR_CALL_TIMEOUT, OPERATOR_SILENCE_TIMEOUT, PROXY_LEASE_DURATION,
    REDELIVERY_DELAY,
};
use std::fmt;
use std::time::Duration;

/// The bounds of a deployment that depend on delays of the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentBounds {
    /// How long an operator's call may take until it is acknowledged.
    pub ack: Duration,
    /// How long after the acknowledgement of a change a proxy may still route by the state before it.
    pub apply: Duration,
    /// How long after the acknowledgement of a drain the server may still get new requests.
    pub drain: Duration,
    /// How long after the acknowledgement of an evacuation its zone may still get requests.
    pub evac: Duration,
    /// How long after the last fault a machine may be out of contact with a majority of the stores and registries.
    /// Compared with [`session_recovery_time`] without failed attempts: the time until a proxy whose sessions are cut
    /// off has a confirmed session with another registry.
    pub contact: Duration,
}

/// One of the [`DeploymentBounds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// See [`DeploymentBounds::ack`].
    Ack,
    /// See [`DeploymentBounds::apply`].
    Apply,
    /// See [`DeploymentBounds::drain`].
    Drain,
    /// See [`DeploymentBounds::evac`].
    Evac,
    /// See [`DeploymentBounds::contact`].
    Contact,
}

impl Bound {
    /// The name of the bound in the settings file, below `defs.bounds`.
    pub fn name(self) -> &'static str {
        match self {
            Bound::Ack => "ack",
            Bound::Apply => "apply",
            Bound::Drain => "drain",
            Bound::Evac => "evac",
            Bound::Contact => "contact",
        }
    }
}

/// A bound that is shorter than the sum of delays that it must cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExceededBound {
    /// The bound that is too short.
    pub bound: Bound,
    /// The value that the deployment states.
    pub limit: Duration,
    /// The sum of the delays after a single fault: a silent registry, a lost message or a network partition.
    pub sum: Duration,
}

impl fmt::Display for ExceededBound {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "defs.bounds.{} is {} ms, but the delays of the control plane may add up to {} ms",
            self.bound.name(),
            self.limit.as_millis(),
            self.sum.as_millis()
        )
    }
}

impl DeploymentBounds {
    /// The bounds that the control plane cannot guarantee.
    pub fn exceeded(&self) -> Vec<ExceededBound> {
        let sums = [
            (Bound::Ack, self.ack, ACKNOWLEDGEMENT_TIME),
            (Bound::Apply, self.apply, DELIVERY_TIME),
            (Bound::Drain, self.drain, DELIVERY_TIME),
            (Bound::Evac, self.evac, DELIVERY_TIME),
            (Bound::Contact, self.contact, session_recovery_time(0)),
        ];
        let is_exceeded = |exceeded: &ExceededBound| exceeded.sum > exceeded.limit;
        sums.into_iter()
            .map(|(bound, limit, sum)| ExceededBound { bound, limit, sum })
            .filter(is_exceeded)
            .collect()
    }
}

/// The time until an operator's call is acknowledged if the first registry is silent and the second one uses its whole
/// time limit.
const ACKNOWLEDGEMENT_TIME: Duration =
    OPERATOR_SILENCE_TIMEOUT.saturating_add(OPERATOR_CALL_TIMEOUT);

/// The time until a proxy that has missed a change applies it or stops routing by the old state: either the change is
/// sent again, or the proxy's lease expires and it opens a session with another registry.
const DELIVERY_TIME: Duration = if PROXY_LEASE_DURATION.as_nanos() > REDELIVERY_DELAY.as_nanos() {
    PROXY_LEASE_DURATION
} else {
    REDELIVERY_DELAY
};
