//! Safety checks that a test can switch off, to show that it would notice their absence.

/// The safety checks of a proxy's choice of servers. All are on outside tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// The reported status of an instance only advances, in whatever order reports arrive.
    pub monotonic_status: bool,
    /// The servers of a zone whose evacuation has ended count as warming up.
    pub warmup_after_evacuation: bool,
    /// A new instance sends nothing to warming servers before the requests of its last instance are over.
    pub quiet_period: bool,
    /// The highest proxy count that was reported stays in force.
    pub highest_proxy_count: bool,
    /// Where not all proxies may send requests to a warming server, only those with a low hash do.
    pub hashed_admission: bool,
    /// A request in flight follows the newest routes.
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
