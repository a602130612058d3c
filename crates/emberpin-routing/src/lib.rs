//! Where a request goes: routes, splits, tries, budgets, cold servers, zones.
//!
//! No I/O, no clock, no randomness: times are milliseconds of one steady clock, draws lie in [0, 1).
#![forbid(unsafe_code)]

pub mod budget;
pub mod cold;
pub mod fleet;
#[doc(hidden)]
pub mod guards;
pub mod matcher;
pub mod pick;
pub mod split;
pub mod verdict;

pub use budget::Budget;
pub use cold::{Cold, Coldness};
pub use emberpin_config::{Route, RouteKind};
pub use fleet::{Change, Fleet, Warmth, Work};
pub use matcher::Matcher;
pub use pick::{ColdRule, Router};
pub use verdict::{Next, Verdict};
