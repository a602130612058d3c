//! Identifiers and the unit of time.

use serde::{Deserialize, Serialize};

/// Milliseconds on the host's clock, as an instant or as a duration. Only differences of instants have a meaning.
pub type Millis = f64;

/// A server of the endpoint list; its number is the same at every gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId(pub u32);

/// One request of a client, unique while it is pending. A client's own retry is a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u32);

/// A stable hash of the customer's name, the same at every gateway; only the low 32 bits are used
/// ([`gossip::ID_MASK`](crate::gossip::ID_MASK)).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CustomerId(pub u64);

/// A gateway's number within its group, from 0 to [`Settings::group_size`](crate::Settings::group_size) - 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct GatewayId(pub u32);

/// Index of a class in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index of a plan in [`Settings::plans`](crate::Settings::plans).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanId(pub usize);

/// The gateways that a customer's requests come through: consecutive numbers from `first`, modulo the group's size.
/// A customer's rate limit is split evenly over them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewaySet {
    /// The first gateway.
    pub first: GatewayId,
    /// Number of gateways in the set.
    pub size: u32,
}
