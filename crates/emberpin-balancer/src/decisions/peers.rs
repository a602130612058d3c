//! Gossip that is received: the load of peers, what they admitted, and what the owners of quotas advise.

use super::{
    gossip, housekeeping, Advice, CustomerId, Entry, Gateway, GatewayId, GatewaySet, Millis,
    PeerCount, PlanId, ISOLATION_TIMEOUT,
};

/// Messages that a mean over the peers is taken over, where there are that many peers.
const MEAN_MESSAGES: f64 = 20.0;
/// Incarnations that began within this time of each other are one common start.
const COMMON_START_WINDOW: Millis = 2_000.0;
/// Peers, or all of them, that must have been heard for a common start to be certain.
const COMMON_START_PEERS: usize = 8;

impl Gateway {
    /// Whether no peer was heard for [`ISOLATION_TIMEOUT`]: this gateway then goes by its own figures.
    pub(super) fn is_isolated(&self, now: Millis) -> bool {
        now - self.last_peer_message_at > ISOLATION_TIMEOUT
    }

    /// A message of a peer came. One that is garbled, of a gateway outside the group or of an older
    /// incarnation is ignored.
    pub(super) fn on_peer_message(&mut self, now: Millis, from: GatewayId, bytes: &[u8]) {
        let Some(message) = gossip::read(bytes) else {
            return;
        };
        if from == self.settings.gateway_id || from.0 >= self.settings.group_size {
            return;
        }
        if !self.accept_incarnation(now, from, message.incarnation) {
            return;
        }
        self.learn_peer_load(now, &message);
        self.detect_common_start();
        for entry in message.entries {
            match entry {
                Entry::Count { .. } => self.on_count(now, from, entry),
                Entry::Advice { customer, chance } => {
                    let advice = Advice {
                        chance,
                        received_at: now,
                    };
                    self.advice.insert(customer, advice);
                }
            }
        }
    }

    /// Notes a peer's incarnation; `false` for a message of an older one. A new incarnation counts from
    /// nothing, so that a restart refunds nothing that was used before.
    fn accept_incarnation(&mut self, now: Millis, from: GatewayId, low: u32) -> bool {
        let incarnation = gossip::full_incarnation(low, now);
        let known = self.peer_incarnations.entry(from);
        let known = *known.or_insert(incarnation);
        if incarnation < known {
            return false;
        }
        if incarnation > known && low != known as u32 {
            self.peer_incarnations.insert(from, incarnation);
            for customer in self.customers.values_mut() {
                customer.peer_counts.remove(&from);
            }
        }
        true
    }

    fn learn_peer_load(&mut self, now: Millis, message: &gossip::Message) {
        let isolated = self.is_isolated(now);
        let messages = MEAN_MESSAGES.min(f64::from(self.settings.group_size));
        let gain = if isolated { 1.0 } else { 1.0 / messages };
        let load = &mut self.load;
        load.peers_in_flight += (message.in_flight - load.peers_in_flight) * gain;
        load.peers_throughput += (message.throughput - load.peers_throughput) * gain;
        if isolated {
            self.rejoined_at = now;
        }
        self.last_peer_message_at = now;
    }

    /// Detects a common start: enough peers were heard, and none is much older than this incarnation. Then
    /// nobody used any quota before, and bursts need not be held back.
    fn detect_common_start(&mut self) {
        let peers = self.settings.group_size.max(1) as usize - 1;
        let enough = COMMON_START_PEERS.min(peers);
        if self.common_start
            || self.peer_incarnations.len() < enough
            || self
                .peer_incarnations
                .values()
                .any(|peer| self.is_older(*peer))
        {
            return;
        }
        self.common_start = true;
        for customer in self.customers.values_mut() {
            let plan = &self.settings.plans[customer.plan];
            let set = f64::from(customer.gateways.size);
            customer.quota.tokens += plan.quota_burst * (1.0 - 1.0 / set);
            customer.rate_limit.tokens += plan.limit_burst / set;
        }
    }

    /// Whether an incarnation began well before this gateway's own.
    fn is_older(&self, incarnation: u64) -> bool {
        incarnation as f64 + COMMON_START_WINDOW < self.incarnation as f64
    }

    /// A peer announced a customer's count. Among many gateways, an owner may hear of a customer that never
    /// came through it.
    fn on_count(&mut self, now: Millis, from: GatewayId, entry: Entry) {
        let Entry::Count {
            customer,
            plan,
            first,
            size,
            units,
            requested,
        } = entry
        else {
            return;
        };
        if !self.gossips_to_all() && plan < self.settings.plans.len() {
            let gateways = GatewaySet {
                first: GatewayId(first),
                size,
            };
            self.ensure_customer(now, CustomerId(customer), PlanId(plan), gateways);
        }
        self.apply_count(now, from, customer, units, requested);
    }

    /// Takes what a peer admitted from the quota here. Counts are cumulative: a later one makes up for one
    /// that was lost, and an earlier one that comes late changes nothing.
    fn apply_count(&mut self, now: Millis, from: GatewayId, id: u64, units: f64, requested: f64) {
        let older = self.is_older(self.peer_incarnations[&from]);
        let Some(customer) = self.customers.get_mut(&id) else {
            return;
        };
        if customer.has_few_owners() && !customer.is_owner {
            return;
        }
        let plan = &self.settings.plans[customer.plan];
        // The first count of an incarnation older than this one holds use from before this one's start:
        // only what comes on top of it counts.
        let unknown = PeerCount {
            units: if older { units } else { 0.0 },
            received_at: now,
        };
        let known = customer.peer_counts.get(&from).copied().unwrap_or(unknown);
        let fresh = if units >= known.units {
            units - known.units
        } else if now - known.received_at < housekeeping::IDLE_TIMEOUT / 2.0 {
            return;
        } else {
            // The peer forgot the idle customer meanwhile and counts from nothing.
            units
        };
        let count = PeerCount {
            units,
            received_at: now,
        };
        customer.peer_counts.insert(from, count);
        // What peers admitted during an isolation comes in one sum, a part of which was withheld here.
        let covered = fresh.min(customer.withheld);
        customer.withheld -= covered;
        customer
            .quota
            .refill(now, plan.quota_rate, plan.quota_burst);
        customer.quota.take(fresh - covered, -plan.quota_burst);
        customer.add_demand(now, requested);
    }
}
