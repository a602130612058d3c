//! The whole gateway at work on loopback, for whoever meets it first.
//!
//! Core machines and edges are processes of their own; servers, an operator and clients are stand-ins in this process
//! and record what they observe. Meanwhile a core machine is killed and a server crashes; at the end the invariant
//! checker goes through the record.
#![forbid(unsafe_code)]

pub mod clients;
pub mod http;
pub mod invariants;
pub mod machines;
pub mod operator;
pub mod record;
pub mod report;
pub mod scenario;
pub mod servers;
