//! The request rate that a server can process while it is warming up.

use std::time::Duration;

/// The warm-up settings of a service, which hold for each of its servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupProfile {
    /// How long a server warms up after its start: the service's `warmup`.
    pub duration: Duration,
    /// The requests per second that a server can process while it warms up: the service's `warmup_per_s`. Infinite if
    /// that is not set.
    pub requests_per_second: f64,
}

/// How far the requests to a warming server may exceed the rate of its profile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupTolerance {
    /// The factor by which the rate is multiplied: the setting `warm_excess`.
    pub excess_factor: f64,
    /// The requests per second that are added to that product: the setting `warm_extra`.
    pub extra_requests: f64,
}

/// The limit on requests to one warming server, summed over all proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupLimit {
    /// The requests per second that the server can process while it warms up.
    pub requests_per_second: f64,
    /// How far the requests may exceed that rate.
    pub tolerance: WarmupTolerance,
}

impl WarmupLimit {
    /// The maximum number of requests in any second. 0 if the configured values result in NaN.
    pub fn max_requests_per_second(&self) -> u32 {
        let WarmupTolerance {
            excess_factor,
            extra_requests,
        } = self.tolerance;
        let limit = (self.requests_per_second * excess_factor + extra_requests).floor();
        if limit.is_nan() {
            0
        } else {
            // The cast saturates, so an infinite rate becomes `u32::MAX`.
            limit as u32
        }
    }
}
