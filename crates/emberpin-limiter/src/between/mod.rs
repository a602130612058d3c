//! Communication between limiters, and between the two processes of one limiter during an upgrade.

pub(crate) mod handover;
pub(crate) mod link;
pub(crate) mod peers;
pub(crate) mod tls;
