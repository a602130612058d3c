//! The sums of delays, held against the bounds that a deployment states.
//!
//! The intervals in [`crate::timing`] are fixed, and chosen for the bounds of the known deployments. Where another one
//! states less, control cannot keep its bounds whatever it does, and its operator is to know that from the start.

use crate::timing::{
    recovery_time, OPERATOR_CALL_TIMEOUT, OPERATOR_SILENCE_TIMEOUT, PROXY_LEASE_DURATION,
    REDELIVERY_DELAY,
};
use std::fmt;
use std::time::Duration;

/// The bounds of a deployment that depend on delays of control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentBounds {
    /// How soon an operator's call is acknowledged.
    pub ack: Duration,
    /// How long after the acknowledgement of a change all proxies follow it.
    pub apply: Duration,
    /// How long after the acknowledgement of a drain the server may still get new requests.
    pub drain: Duration,
    /// How long after the acknowledgement of an evacuation its zone may still get requests.
    pub evac: Duration,
    /// How long after the last fault a machine is in contact again.
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
    /// Its name in the settings file.
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

/// A bound that is below the delays that add up to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExceededBound {
    /// Which bound.
    pub bound: Bound,
    /// What the deployment states.
    pub limit: Duration,
    /// What the delays add up to, without a fault but the one that the bound is for.
    pub sum: Duration,
}

impl fmt::Display for ExceededBound {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "defs.bounds.{} is {} ms, and control may need {} ms",
            self.bound.name(),
            self.limit.as_millis(),
            self.sum.as_millis()
        )
    }
}

impl DeploymentBounds {
    /// The bounds that control cannot be sure to keep.
    pub fn exceeded(&self) -> Vec<ExceededBound> {
        let sums = [
            (Bound::Ack, self.ack, ACKNOWLEDGEMENT_TIME),
            (Bound::Apply, self.apply, DELIVERY_TIME),
            (Bound::Drain, self.drain, DELIVERY_TIME),
            (Bound::Evac, self.evac, DELIVERY_TIME),
            (Bound::Contact, self.contact, recovery_time(0)),
        ];
        let is_exceeded = |exceeded: &ExceededBound| exceeded.sum > exceeded.limit;
        sums.into_iter()
            .map(|(bound, limit, sum)| ExceededBound { bound, limit, sum })
            .filter(is_exceeded)
            .collect()
    }
}

/// An operator's call at a registry that is silent, and then at one that needs all of its time.
const ACKNOWLEDGEMENT_TIME: Duration =
    OPERATOR_SILENCE_TIMEOUT.saturating_add(OPERATOR_CALL_TIMEOUT);

/// A proxy that misses a change is told it again, or its lease expires and it goes to another registry.
const DELIVERY_TIME: Duration = if PROXY_LEASE_DURATION.as_nanos() > REDELIVERY_DELAY.as_nanos() {
    PROXY_LEASE_DURATION
} else {
    REDELIVERY_DELAY
};
