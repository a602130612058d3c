//! What people on call set, see and say: configuration, command line, door, figures.

pub(crate) mod clock;
pub mod command;
pub mod config;
pub(crate) mod die;
pub(crate) mod door;
pub mod entry;
pub(crate) mod figures;
pub(crate) mod lies;
pub mod operator;
pub mod start;
pub mod takeover;
