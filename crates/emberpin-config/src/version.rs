//! The version of one item.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// The version of one item, which orders the changes of that item and of no other.
///
/// Operators choose the versions of routes, services and limits, with any step between two versions. The stores assign
/// the versions of all other items in increasing order. Of two versions of one item the higher one wins wherever items
/// are merged, and only one content of a version is ever acknowledged.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version of an item that was never set, for items whose versions the stores assign. Assigned versions are
    /// higher.
    pub const NEVER_SET: Version = Version(0);

    /// The version that the stores assign to the next change of an item of this version.
    #[must_use]
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for Version {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Version, ParseIntError> {
        text.parse().map(Version)
    }
}
