//! Parts that can be left out, to show that a test sees it.

/// What keeps a limiter's choice of servers right.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// What was told of an instance only rises, in whatever order it comes.
    pub rises: bool,
    /// The servers of a zone that comes back are cold.
    pub returned: bool,
    /// A new instance asks no cold server before the sends of its last instance are over.
    pub quiet: bool,
    /// The greatest number of limiters that was told stays in force.
    pub greatest: bool,
    /// Where not all limiters may ask a cold server, only some do.
    pub admission: bool,
    /// A request that goes on is held against the newest routes.
    pub newest: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            rises: true,
            returned: true,
            quiet: true,
            greatest: true,
            admission: true,
            newest: true,
        }
    }
}
