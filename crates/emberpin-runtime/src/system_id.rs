//! The id of a system, by which processes reject connections from other systems.

use std::fmt;
use std::num::NonZeroU64;

/// The id of a system, which is the set of all processes that share one configuration. Processes of different systems
/// reject each other's connections, so that a wrong address in the settings does not mix two systems. Displayed as 16
/// hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SystemId(NonZeroU64);

impl SystemId {
    /// Creates the id with this number; `None` for 0, which means an unknown system on the wire.
    pub const fn new(number: u64) -> Option<SystemId> {
        match NonZeroU64::new(number) {
            Some(number) => Some(SystemId(number)),
            None => None,
        }
    }

    /// The number of the id.
    pub const fn get(self) -> u64 {
        self.0.get()
    }
}

impl fmt::Display for SystemId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
