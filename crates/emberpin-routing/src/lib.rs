//! Decides where a proxy may send a request: route matching, traffic splits, retries and their budget, slow start of
//! servers that are warming up, and zone evacuation.
//!
//! The state of one proxy is in a [`Router`]: the configured routes, the instances of servers that the registries have
//! reported, and the rate limits for servers that are warming up. An instance is one run of a server process, with an
//! id of its own.
//!
//! This crate has no I/O, no clock and no randomness: the caller passes times of one monotonic clock, measured from any
//! fixed moment, and random draws in [0, 1).
#![forbid(unsafe_code)]

pub mod attempt;
pub mod endpoints;
#[doc(hidden)]
pub mod guards;
pub mod retry;
pub mod retry_budget;
pub mod route_matcher;
pub mod router;
pub mod slow_start;
pub mod traffic_split;
pub mod warmup;

pub use attempt::AttemptVerdict;
pub use emberpin_config::{Route, RouteKind};
pub use endpoints::{Availability, EndpointChange, EndpointTable, SnapshotScope};
pub use retry::RetryDecision;
pub use retry_budget::RetryBudget;
pub use route_matcher::RouteMatcher;
pub use router::Router;
pub use slow_start::SlowStart;
pub use traffic_split::DrawSequence;
pub use warmup::{WarmupLimit, WarmupProfile, WarmupTolerance};
