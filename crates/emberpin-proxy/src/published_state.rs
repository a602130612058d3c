//! What the controller publishes for the request handlers.

use std::cell::Cell;

/// What the request handler reads without asking.
pub struct View {
    pub(crate) ready: Cell<bool>,
    pub(crate) leaving: Cell<bool>,
    pub(crate) body_max: Cell<u64>,
    pub(crate) head_max: Cell<u64>,
}

impl View {
    /// Whether new connections are wanted.
    pub fn is_ready(&self) -> bool {
        self.ready.get() && !self.leaving.get()
    }

    /// No new connections are wanted any more.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// The longest body that a client may send.
    pub fn body_max(&self) -> u64 {
        self.body_max.get()
    }

    /// The longest head that a client may send, in bytes.
    pub fn head_max(&self) -> u64 {
        self.head_max.get()
    }
}
