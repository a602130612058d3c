//! Parts that can be left out, to show that a test sees it.

/// What keeps a registry right.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// What a server said is acknowledged once a majority has it.
    pub majority: bool,
    /// What a server said only rises, in whatever order it comes.
    pub rises: bool,
    /// A server is taken away for its silence only where silence can be trusted.
    pub silence: bool,
    /// What limiters knew is learned from them.
    pub repair: bool,
    /// A new instance takes its address from the instances that had it.
    pub displace: bool,
    /// A place that is not known means a snapshot.
    pub place: bool,
    /// An answer renews a lease from the time of its question, not from its arrival.
    pub lease: bool,
    /// Calls of the operator that cannot be confirmed here are sent on at once.
    pub sends_on: bool,
    /// The servers of a zone that was taken back are cold.
    pub returned: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            majority: true,
            rises: true,
            silence: true,
            repair: true,
            displace: true,
            place: true,
            lease: true,
            sends_on: true,
            returned: true,
        }
    }
}
