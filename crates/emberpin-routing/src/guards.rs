//! Safety checks that a test can switch off, to show that it detects their absence.

/// The safety checks in a proxy's choice of servers. Outside of tests, all are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// The status of an instance only advances, in whatever order reports arrive.
    pub monotonic_status: bool,
    /// The servers of a zone whose evacuation has ended count as warming up.
    pub warmup_after_evacuation: bool,
    /// A proxy process sends nothing to warming servers for some time after its start, as the previous process of the
    /// proxy may have sent requests just before its end.
    pub quiet_period: bool,
    /// The highest proxy count reported so far is used, not the latest.
    pub highest_proxy_count: bool,
    /// If only some proxies may send requests to a warming server, they are selected by a hash.
    pub hashed_admission: bool,
    /// A request in flight must still be allowed by the newest routes.
    pub newest_routes: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            monotonic_status: true,
            warmup_after_evacuation: true,
            quiet_period: true,
            highest_proxy_count: true,
            hashed_admission: true,
            newest_routes: true,
        }
    }
}
