//! The decisions of a gateway that holds customers to their quotas before a shared back end.
//!
//! The library is a state machine without I/O: feed [`Gateway::handle`] what happened and carry out
//! the [`Action`]s it appends. Types are in [`interface`], every decision is in [`decisions`], the byte
//! layout of messages between gateways is in [`gossip`], and the hosts' JSON in [`host_config`].
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
