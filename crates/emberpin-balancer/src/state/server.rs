//! The state of one server at one gateway.

use super::TokenBucket;
use crate::interface::{Millis, RequestId, Server};
use std::collections::BTreeMap;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// When it was sent.
    pub sent_at: Millis,
    /// The expected latency in milliseconds when it was sent.
    pub expected: Millis,
}

/// This gateway's view of a server.
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
    /// Until when it is ejected as an outlier.
    pub ejected_until: Millis,
    /// Duration of its last ejection in milliseconds; the next one takes twice as long. 0 once it has recovered.
    pub ejection_time: Millis,
    /// This gateway's budget for it while it warms up, in requests of mean work.
    pub slow_start_budget: TokenBucket,
    /// Number of gateways that precede this one in the hashed order for the server's incarnation. The first few of
    /// that order may send to it while it is warming up.
    pub gateway_rank: u32,
    /// Its position among all servers, from 0 to 1. It staggers the turns of servers where gateways take turns.
    pub turn_offset: f64,
}

impl ServerState {
    /// A server without any learned state.
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
            turn_offset: 0.0,
        }
    }
}
