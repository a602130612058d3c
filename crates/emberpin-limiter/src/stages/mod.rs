//! The optional stages between admission and the decision module, which may delay a request or answer it themselves.
//! Each is off unless the operator enables it.

pub(crate) mod idempotency;
pub(crate) mod key_log;
pub(crate) mod takeover;
