//! How much a server that is warming up can process.

use std::time::Duration;

/// What a service's configuration says about its servers while they warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupProfile {
    /// How long a server warms up after its start: the service's `warmup`.
    pub duration: Duration,
    /// Requests per second that a server can process meanwhile: the service's `warmup_per_s`. Infinite if it has none.
    pub requests_per_second: f64,
}

/// How far the requests to a warming server may exceed the rate of its profile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupTolerance {
    /// The rate is multiplied by this: the setting `warm_excess`.
    pub excess_factor: f64,
    /// Requests per second on top of that: the setting `warm_extra`.
    pub extra_requests: f64,
}

/// The limit on requests to one warming server, for all proxies together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupLimit {
    /// Requests per second that the server can process while it warms up.
    pub requests_per_second: f64,
    /// How far the requests may exceed that rate.
    pub tolerance: WarmupTolerance,
}

impl WarmupLimit {
    /// The most requests in any second. 0 if the configured figures have no sum that is a number.
    pub fn max_requests_per_second(&self) -> u32 {
        let WarmupTolerance {
            excess_factor,
            extra_requests,
        } = self.tolerance;
        let limit = (self.requests_per_second * excess_factor + extra_requests).floor();
        if limit.is_nan() {
            0
        } else {
            // The cast saturates, so an infinite rate becomes the greatest number.
            limit as u32
        }
    }
}
