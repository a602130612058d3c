//! The store of configuration: keeps items on disk and in custody of a majority of the voters.
#![forbid(unsafe_code)]

pub mod talk;
