//! The load that a gateway measures, here and at its peers.

use crate::interface::Millis;
use serde::{Deserialize, Serialize};

/// The measured load.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadState {
    /// This gateway's share of the concurrent requests that servers report to accept; 0 without reports.
    pub reported_capacity: f64,
    /// The congestion level, from 0 for none.
    pub congestion_level: usize,
    /// Answers since the last tick.
    pub answered: f64,
    /// This gateway's answers per second, averaged.
    pub throughput: f64,
    /// Recent peak of the gateways' mean throughput, in answers per second; it decays.
    pub peak_throughput: f64,
    /// This gateway's attempts in flight, smoothed.
    pub in_flight: f64,
    /// Number of answers that the mean latency target is averaged over.
    pub target_samples: f64,
    /// When an answer last arrived within the share of the latency target that one attempt may take.
    pub last_on_target: Millis,
    /// Mean latency of the answers over all classes, in milliseconds; 0 before the first.
    pub mean_latency: Millis,
    /// Mean number of attempts in flight of a peer.
    pub peers_in_flight: f64,
    /// Mean number of answers per second of a peer.
    pub peers_throughput: f64,
    /// Learned throughput of a warm server of capacity 1, in answers per second over all gateways; 0 before any was
    /// observed.
    pub warm_throughput: f64,
    /// Share of this gateway's answers that came from warm servers.
    pub warm_share: f64,
    /// Average of the newest queue lengths reported by servers that are warming up.
    #[serde(default)]
    pub warming_queue_length: f64,
    /// When a server that is warming up last reported its queue length.
    #[serde(default)]
    pub warming_reported_at: Millis,
    /// While all servers are warming up: their estimated throughput as a multiple of the initial estimate.
    #[serde(default)]
    pub rate_multiple: f64,
}
