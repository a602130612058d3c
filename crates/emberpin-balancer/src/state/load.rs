//! The load that a gateway measures, here and at its peers.

use crate::interface::Millis;
use serde::{Deserialize, Serialize};

/// What a gateway knows of the load.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadState {
    /// Attempts that may be in flight by the servers' own reports, this gateway's share; 0 where there are none.
    pub reported_capacity: f64,
    /// The congestion level, from 0 for none.
    pub congestion_level: usize,
    /// Answers since the last tick.
    pub answered: f64,
    /// This gateway's answers a second, averaged.
    pub throughput: f64,
    /// The highest mean throughput of the gateways lately, in answers a second; it decays.
    pub peak_throughput: f64,
    /// This gateway's attempts in flight, smoothed.
    pub in_flight: f64,
    /// How many answers the mean latency target is taken over.
    pub target_samples: f64,
    /// When an answer last came well within its latency target.
    pub last_on_target: Millis,
    /// Mean latency of the answers over all classes, in milliseconds; 0 before the first.
    pub mean_latency: Millis,
    /// Attempts in flight of a mean peer.
    pub peers_in_flight: f64,
    /// Answers a second of a mean peer.
    pub peers_throughput: f64,
    /// What a warm server of capacity 1 was seen to carry, in answers a second over all gateways; 0 before any was
    /// seen.
    pub warm_capacity: f64,
    /// Share of this gateway's answers that came from warm servers.
    pub warm_share: f64,
    /// Queue length of the servers that warm up, averaged over their newest reports.
    #[serde(default)]
    pub cold_queue: f64,
    /// When a server that warms up last reported its queue.
    #[serde(default)]
    pub cold_reported_at: Millis,
    /// How many times the first guess servers are held to carry where all of them warm up.
    #[serde(default)]
    pub cold_multiple: f64,
}
