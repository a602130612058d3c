//! The id of a system.

use std::fmt;
use std::num::NonZeroU64;

/// The id of a system: of all processes that share one configuration. Processes of different systems reject each other,
/// so that a wrong address in the settings does not mix two systems. Written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SystemId(NonZeroU64);

impl SystemId {
    /// The id with this number. `None` for 0, which on the wire stands for an unknown system.
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
