//! The state of one customer at one gateway.

use super::TokenBucket;
use crate::gossip::Entry;
use crate::interface::{GatewayId, GatewaySet, Millis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a peer last announced that it had admitted of a customer.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PeerCount {
    /// Units that it admitted since its start.
    pub units: f64,
    /// When the announcement came.
    pub received_at: Millis,
}

/// What an owner of a customer's quota advises.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Advice {
    /// With what chance to admit the customer's requests.
    pub chance: f64,
    /// When the advice came.
    pub received_at: Millis,
}

/// What a gateway knows of one customer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CustomerState {
    /// Index of the customer's plan.
    pub plan: usize,
    /// The gateways that its requests come through.
    pub gateways: GatewaySet,
    /// The other gateways that keep the customer's quota; this one announces its use to them.
    pub owners: Vec<GatewayId>,
    /// Whether this gateway keeps the customer's quota itself.
    pub is_owner: bool,
    /// The quota, less what this gateway and its peers admitted.
    pub quota: TokenBucket,
    /// Units not refilled while this gateway was isolated, as the other gateways of the set may have admitted them.
    /// What they announce afterwards is taken from here first.
    pub withheld: f64,
    /// This gateway's share of the hard rate limit.
    pub rate_limit: TokenBucket,
    /// Units that this gateway admitted since its start.
    pub admitted: f64,
    /// Units that were requested here since the last announcement.
    pub requested: f64,
    /// When the count was last announced.
    pub announced_at: Millis,
    /// How many more times the count is to be announced, so that one lost message does no harm.
    pub announcements_due: u32,
    /// The newest count of each peer.
    pub peer_counts: BTreeMap<GatewayId, PeerCount>,
    /// Units requested of all gateways lately, fading exponentially; kept by owners.
    pub demand: f64,
    /// When `demand` was last updated.
    pub demand_at: Millis,
    /// Since when demand is observed. Until a whole window has passed, the estimate allows for what was not seen.
    pub observed_since: Millis,
    /// The next gateway of the set that an owner advises, counted from the set's first.
    pub advice_cursor: u32,
    /// How many gateways of the set are still to be advised.
    pub advice_due: u32,
    /// When a gateway of the set was last advised.
    pub advised_at: Millis,
    /// Requests in flight at this gateway.
    pub in_flight: u32,
    /// When the customer was last seen. An idle customer is forgotten.
    pub used_at: Millis,
}

impl CustomerState {
    /// Whether its set of gateways is so large that only a few of them own its quota.
    pub fn has_few_owners(&self) -> bool {
        self.owners.len() + usize::from(self.is_owner) < self.gateways.size as usize
    }

    /// The announcement of what this gateway admitted.
    pub fn count(&self, id: u64) -> Entry {
        Entry::Count {
            customer: id,
            plan: self.plan,
            first: self.gateways.first.0,
            size: self.gateways.size,
            units: self.admitted,
            requested: self.requested,
        }
    }
}
