//! Incoming gossip: the load of peers, the units they admitted, and advice from the owners of quotas.

use super::{
    gossip, housekeeping, Advice, CustomerId, Entry, Gateway, GatewayId, GatewaySet, Millis,
    PeerCount, PlanId, ISOLATION_TIMEOUT,
};

/// Number of messages over which the peers' means are averaged; the group size where that is smaller.
const MEAN_MESSAGES: f64 = 20.0;
/// Largest difference between the starts of incarnations that count as one common start.
const COMMON_START_WINDOW: Millis = 2_000.0;
/// Number of peers whose messages must have arrived before a common start is certain; all peers in a
/// smaller group.
const COMMON_START_PEERS: usize = 8;

impl Gateway {
    /// Whether no peer message was received for [`ISOLATION_TIMEOUT`]. An isolated gateway relies on its
    /// own measurements.
    pub(super) fn is_isolated(&self, now: Millis) -> bool {
        now - self.last_peer_message_at > ISOLATION_TIMEOUT
    }

    /// Handles a message from a peer. A message is ignored if it is garbled, comes from outside the group
    /// or belongs to an older incarnation of the peer.
    pub(super) fn on_peer_message(&mut self, now: Millis, from: GatewayId, bytes: &[u8]) {
        let Some(message) = gossip::decode(bytes) else {
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
                Entry::Advice {
                    customer,
                    probability,
                } => {
                    let advice = Advice {
                        probability,
                        received_at: now,
                    };
                    self.advice.insert(customer, advice);
                }
            }
        }
    }

    /// Records a peer's incarnation, of which `low` holds the low 32 bits; returns `false` for a message of
    /// an older one. The counts of a new incarnation start at zero; units that an earlier one used stay
    /// charged.
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
        let samples = MEAN_MESSAGES.min(f64::from(self.settings.group_size));
        let gain = if isolated { 1.0 } else { 1.0 / samples };
        let load = &mut self.load;
        load.peers_in_flight += (message.in_flight - load.peers_in_flight) * gain;
        load.peers_throughput += (message.throughput - load.peers_throughput) * gain;
        if isolated {
            self.rejoined_at = now;
        }
        self.last_peer_message_at = now;
    }

    /// Detects a common start: messages arrived from enough peers, and none is much older than this
    /// incarnation. Then no quota was used before, and bursts need not be withheld.
    fn detect_common_start(&mut self) {
        let peers = self.settings.group_size.max(1) as usize - 1;
        let required = COMMON_START_PEERS.min(peers);
        if self.common_start
            || self.peer_incarnations.len() < required
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

    /// Whether an incarnation began before this gateway's own by more than [`COMMON_START_WINDOW`].
    fn is_older(&self, incarnation: u64) -> bool {
        incarnation as f64 + COMMON_START_WINDOW < self.incarnation as f64
    }

    /// Handles a peer's count of a customer. In a large group, an owner may receive counts of a customer
    /// whose requests never came through it.
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

    /// Takes the units that a peer admitted from the quota. Counts are cumulative: a later one makes up for
    /// a lost one, and an earlier one that arrives late changes nothing.
    fn apply_count(&mut self, now: Millis, from: GatewayId, id: u64, units: f64, requested: f64) {
        let older = self.is_older(self.peer_incarnations[&from]);
        let Some(customer) = self.customers.get_mut(&id) else {
            return;
        };
        if customer.has_few_owners() && !customer.is_owner {
            return;
        }
        let plan = &self.settings.plans[customer.plan];
        // The first count from an incarnation older than this one includes use from before this one
        // started; only the increase after it is charged.
        let initial = PeerCount {
            units: if older { units } else { 0.0 },
            received_at: now,
        };
        let known = customer.peer_counts.get(&from).copied().unwrap_or(initial);
        let new_units = if units >= known.units {
            units - known.units
        } else if now - known.received_at < housekeeping::IDLE_TIMEOUT / 2.0 {
            return;
        } else {
            // The peer dropped the idle customer in the meantime, so its count restarted at zero.
            units
        };
        let count = PeerCount {
            units,
            received_at: now,
        };
        customer.peer_counts.insert(from, count);
        // Units that peers admitted during an isolation arrive in one sum; part of them was already
        // withheld here.
        let withheld_part = new_units.min(customer.withheld);
        customer.withheld -= withheld_part;
        customer
            .quota
            .refill(now, plan.quota_rate, plan.quota_burst);
        customer
            .quota
            .withdraw(new_units - withheld_part, -plan.quota_burst);
        customer.add_demand(now, requested);
    }
}
