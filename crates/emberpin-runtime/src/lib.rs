//! Code shared by all programs of the gateway: the settings file, the frames and the handshake of connections between
//! processes, logs and metrics.
#![forbid(unsafe_code)]

pub mod frames;
pub mod identity;
pub mod logs;
pub mod metrics;
pub mod preamble;
pub mod protocol_version;
pub mod settings;
pub mod system_id;
