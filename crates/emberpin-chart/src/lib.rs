//! The configuration of the gateway: named items, each with a version of its own.
//!
//! No I/O, no clock, no randomness. Copies merge item by item: of two versions of a name the higher one stands, set or
//! dropped. What is read from a call, what is valid as a whole and how it is written out are decided here and nowhere
//! else.
#![forbid(unsafe_code)]

pub mod item;

pub use item::{Item, Key, Kind};
