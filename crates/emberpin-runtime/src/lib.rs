//! What all programs of the gateway share: the settings file, frames between processes with the handshake before them,
//! logs and metrics.
#![forbid(unsafe_code)]

pub mod frames;
pub mod identity;
pub mod logs;
pub mod metrics;
pub mod preamble;
pub mod protocol_version;
pub mod settings;
pub mod system_id;
