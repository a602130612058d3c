//! What goes on between limiters, and between two processes of one.

pub(crate) mod handover;
pub(crate) mod link;
pub(crate) mod peers;
pub(crate) mod tls;
