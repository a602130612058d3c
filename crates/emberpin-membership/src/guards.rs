//! Switches for the safety checks of a registry. Tests turn a check off to show that its absence would be detected.

/// The safety checks of a registry; `true` turns a check on. All are on in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A server's drain or exit is acknowledged only once a majority of the registries has recorded it.
    pub majority_acknowledgement: bool,
    /// A registry records drains and exits on its disk, and counts as having recorded one only once it is synced.
    pub durable_shutdowns: bool,
    /// The reported status of an instance only advances, in whatever order reports arrive.
    pub monotonic_status: bool,
    /// Instances are evicted only after the registry has been confirmed for a whole eviction timeout.
    pub confirmed_eviction: bool,
    /// A registry restores instances from those that proxies list when they open a session.
    pub repair_from_proxies: bool,
    /// A new instance evicts other instances that have its address.
    pub displacement: bool,
    /// A proxy gets a snapshot if the change log does not reach back to its revision.
    pub revision_check: bool,
    /// An answer renews a lease from the time of its query, not from its arrival.
    pub lease_from_query: bool,
    /// Calls of the operator that the registry's own store cannot confirm are redirected at once.
    pub operator_redirect: bool,
    /// An evacuation is changed only by a caller that has received its version in a redirect and still waits for the
    /// result.
    pub evacuation_redirect: bool,
    /// The servers of a zone count as warming up after the zone's evacuation has ended.
    pub warmup_after_evacuation: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards {
            majority_acknowledgement: true,
            durable_shutdowns: true,
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
