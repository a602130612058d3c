//! Routes as they are read here, until the configuration's own types are there.

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// May run more than once.
    Readonly,
    /// May run once.
    Mutating,
    /// Large answers; may run more than once.
    Pull,
}

/// A route in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its host.
    pub hostname: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services and their weights.
    pub targets: Vec<(String, u32)>,
    /// Rises with each change.
    pub ver: u64,
}
