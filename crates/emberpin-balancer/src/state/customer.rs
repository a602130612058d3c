//! The state of one customer at one gateway.

use super::TokenBucket;
use crate::gossip::Entry;
use crate::interface::{GatewayId, GatewaySet, Millis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The last announcement of a peer about a customer.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PeerCount {
    /// Units that the peer admitted since its start.
    pub units: f64,
    /// When the announcement was received.
    pub received_at: Millis,
}

/// Advice of an owner of a customer's quota.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Advice {
    /// Probability with which to admit the customer's requests, from 0 to 1.
    pub probability: f64,
    /// When the advice was received.
    pub received_at: Millis,
}

/// A gateway's state of one customer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CustomerState {
    /// Index of the customer's plan.
    pub plan: usize,
    /// The gateways that its requests come through.
    pub gateways: GatewaySet,
    /// The other gateways that own the customer's quota; this one announces its usage to them.
    pub owners: Vec<GatewayId>,
    /// Whether this gateway itself owns the customer's quota.
    pub is_owner: bool,
    /// The quota's tokens, less the units that this gateway and its peers admitted.
    pub quota: TokenBucket,
    /// Units not refilled while this gateway was isolated, as the other gateways of the set may have admitted them.
    /// Units that they announce afterwards are deducted from here first.
    pub withheld: f64,
    /// This gateway's share of the hard rate limit.
    pub rate_limit: TokenBucket,
    /// Units that this gateway admitted since its start.
    pub admitted: f64,
    /// Units that were requested here since the last announcement.
    pub requested: f64,
    /// When the count was last announced.
    pub announced_at: Millis,
    /// Number of announcements of the count that are still due; more than one, so that one lost message does no
    /// harm.
    pub announcements_due: u32,
    /// The newest count of each peer.
    pub peer_counts: BTreeMap<GatewayId, PeerCount>,
    /// Recently requested units over all gateways, decaying exponentially; maintained by owners.
    pub demand: f64,
    /// When `demand` was last updated.
    pub demand_at: Millis,
    /// Since when demand is observed. Until a whole window has passed, the estimate is scaled up for the unobserved
    /// time.
    pub observed_since: Millis,
    /// Position within the set of the gateway that an owner advises next.
    pub advice_cursor: u32,
    /// Number of gateways of the set that are still to be advised.
    pub advice_due: u32,
    /// When a gateway of the set was last advised.
    pub advised_at: Millis,
    /// Requests in flight at this gateway.
    pub in_flight: u32,
    /// When the customer last sent a request or a peer announced it. An idle customer is dropped.
    pub used_at: Millis,
}

impl CustomerState {
    /// Whether only a few gateways of the customer's set own its quota, as the group is too large for all.
    pub fn has_few_owners(&self) -> bool {
        self.owners.len() + usize::from(self.is_owner) < self.gateways.size as usize
    }

    /// The gossip entry that announces the units admitted by this gateway. `id` is the customer's hash.
    pub fn count_entry(&self, id: u64) -> Entry {
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
