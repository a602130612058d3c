//! The operators' side: configuration, command line, HTTP interface, metrics, and the test hooks of debug builds.

pub(crate) mod clock;
pub mod command;
pub mod config;
pub(crate) mod crash_points;
pub(crate) mod faulty_disk;
pub(crate) mod figures;
pub mod operator;
pub(crate) mod operator_api;
pub mod request_path;
pub mod start;
pub mod takeover;
