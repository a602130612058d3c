//! Safety checks that a test can switch off, to show that it would notice their absence.

/// The safety checks of a registry. All are on outside tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A server's drain or end is acknowledged only once a majority of the registries has it.
    pub majority_acknowledgement: bool,
    /// The reported status of an instance only advances, in whatever order reports arrive.
    pub monotonic_status: bool,
    /// Instances are evicted only after the registry has been confirmed for a whole eviction timeout.
    pub confirmed_eviction: bool,
    /// A registry restores its table from the instances that proxies know.
    pub repair_from_proxies: bool,
    /// A new instance evicts those that had its address before.
    pub displacement: bool,
    /// A revision that the change log does not reach back to is answered with a snapshot.
    pub revision_check: bool,
    /// An answer renews a lease from the time of its query, not from its arrival.
    pub lease_from_query: bool,
    /// Calls of the operator that cannot be confirmed here are redirected at once.
    pub operator_redirect: bool,
    /// An evacuation changes only for a caller that was told its version and still waits.
    pub evacuation_redirect: bool,
    /// The servers of a zone whose evacuation has ended count as warming up.
    pub warmup_after_evacuation: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            majority_acknowledgement: true,
            monotonic_status: true,
            confirmed_eviction: true,
            repair_from_proxies: true,
            displacement: true,
            revision_check: true,
            lease_from_query: true,
            operator_redirect: true,
            evacuation_redirect: true,
            warmup_after_evacuation: true,
        }
    }
}
