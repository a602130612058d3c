//! A roadstead is where ships lie at anchor: the whole gateway at work on loopback, for whoever meets it first.
//!
//! Core machines and edges are processes of their own; servers, an operator and clients are stand-ins in this one, and
//! keep books. A core machine is killed and a server crashes meanwhile; at the end a referee goes through the books.
#![forbid(unsafe_code)]

pub mod books;
pub mod clients;
pub mod demo;
pub mod machines;
pub mod operator;
pub mod referee;
pub mod report;
pub mod servers;
pub mod wire;
