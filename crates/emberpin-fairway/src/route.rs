//! Routes as they are read here, until the configuration's own types are there.

use std::time::Duration;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Readonly,
    /// May run once.
    Mutating,
    /// Large answers; may run more than once.
    Pull,
}

/// A route in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its host.
    pub hostname: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// Within which an answer earns its full worth.
    pub target_time: Duration,
    /// 0 is the highest.
    pub prio: u32,
    /// Services and their weights.
    pub targets: Vec<(String, u32)>,
    /// The most servers to which one request may be sent.
    pub tries: u32,
    /// Rises with each change.
    pub ver: u64,
}
