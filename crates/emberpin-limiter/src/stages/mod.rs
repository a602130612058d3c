//! What may hold a request or answer it between the door and the decisions; each off unless set.

pub(crate) mod idempotency;
pub(crate) mod key_log;
pub(crate) mod takeover;
