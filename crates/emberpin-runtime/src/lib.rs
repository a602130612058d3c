//! What the programs of the gateway share beneath their own concerns: the settings file, frames between processes, logs.
#![forbid(unsafe_code)]

pub mod frames;
pub mod identity;
pub mod logs;
pub mod preamble;
pub mod settings;
