//! The state of one server at one gateway.

use super::TokenBucket;
use crate::interface::{Millis, RequestId, Server};
use std::collections::BTreeMap;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// When it was sent.
    pub sent_at: Millis,
    /// The mean latency of requests like it, in milliseconds, as it was known then.
    pub expected: Millis,
}

/// A server as this gateway sees it.
#[derive(Debug)]
pub struct ServerState {
    /// Its entry of the endpoint list.
    pub info: Server,
    /// The attempts in flight, by request and attempt number.
    pub in_flight: BTreeMap<(RequestId, u32), InFlightAttempt>,
    /// Its latency as a multiple of the mean over all servers.
    pub latency_ratio: f64,
    /// When an attempt at it last ended.
    pub last_result_at: Millis,
    /// The queue length that it reported last.
    pub queue_length: f64,
    /// Weighted count of its failures, halved at every success.
    pub strikes: f64,
    /// Share of its newest attempts that failed, from 0 to 1.
    pub failure_rate: f64,
    /// It is ejected as an outlier until then.
    pub ejected_until: Millis,
    /// Length of its last ejection in milliseconds; the next one is twice as long. 0 once it has recovered.
    pub ejection_time: Millis,
    /// This gateway's budget for it while it warms up, in requests of mean work.
    pub slow_start_budget: TokenBucket,
    /// How many gateways come before this one in the hashed order for the server's incarnation. The first few of that
    /// order may send to it while it warms up.
    pub gateway_rank: u32,
    /// Its position among all servers, from 0 to 1: it sets when its turn comes where gateways take turns.
    pub turn: f64,
}

impl ServerState {
    /// A server of which nothing is known but its entry of the endpoint list.
    pub fn new(info: Server, now: Millis) -> ServerState {
        ServerState {
            info,
            in_flight: BTreeMap::new(),
            latency_ratio: 1.0,
            last_result_at: now,
            queue_length: 0.0,
            strikes: 0.0,
            failure_rate: 0.0,
            ejected_until: now,
            ejection_time: 0.0,
            slow_start_budget: TokenBucket {
                tokens: 0.0,
                updated_at: now,
            },
            gateway_rank: 0,
            turn: 0.0,
        }
    }
}
