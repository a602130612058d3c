//! The decisions of a gateway that enforces customers' quotas and balances load in front of a shared back end.
//!
//! The library is a state machine without I/O: pass each event to [`Gateway::handle`] and carry out the [`Action`]s
//! that it appends. The types of both are in [`interface`], all decisions are in [`decisions`], the encoding of
//! messages between gateways is in [`gossip`], and the JSON configuration of hosts is in [`host_config`].
#![forbid(unsafe_code)]

pub mod decisions;
pub mod gossip;
pub mod handover;
pub mod host_config;
mod host_queries;
pub mod interface;
mod state;

pub use decisions::Gateway;
pub use handover::Handover;
pub use interface::*;

/// The README's embedding example, compiled with the tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;
