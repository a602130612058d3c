//! Outgoing gossip: counts of what this gateway admitted for customers, and advice on customers whose quota
//! it owns.

use super::{
    gossip, quotas, Action, BTreeMap, CustomerState, Entry, Gateway, GatewayId, Millis,
    GOSSIP_SHARE, MAX_GOSSIP_PERIOD, TICK_PERIOD,
};

/// Shortest time between two announcements of a customer's count in a large group.
const ANNOUNCE_INTERVAL: Millis = 300.0;
/// The same while the customer's owners advise to reject some of its requests.
const LIMITED_ANNOUNCE_INTERVAL: Millis = 1_000.0;
/// Messages that a gateway may send for each message that it can receive.
const SEND_RATIO: f64 = 2.0;

/// The messages of one tick, at most one for each peer.
struct Outbox {
    /// A message without entries; each message starts as a copy of it.
    header: gossip::MessageBuilder,
    messages: BTreeMap<GatewayId, gossip::MessageBuilder>,
    /// Number of further messages that may be started.
    budget: f64,
}

impl Outbox {
    /// Number of new messages that are needed to reach these peers.
    fn new_messages(&self, peers: &[GatewayId]) -> f64 {
        let has_no_message = |peer: &&GatewayId| !self.messages.contains_key(peer);
        peers.iter().filter(has_no_message).count() as f64
    }

    /// Appends an entry to the message for a peer; `false` if it does not fit.
    fn push(&mut self, peer: GatewayId, entry: Entry) -> bool {
        let message = self.messages.entry(peer);
        message.or_insert_with(|| self.header.clone()).push(entry)
    }
}

impl Gateway {
    /// Time between gossip messages: [`TICK_PERIOD`], or longer in a small group whose gateways can receive
    /// fewer messages.
    pub(super) fn gossip_period(&self) -> Millis {
        let peers = self.group_size() - 1.0;
        let received = self.settings.peer_messages_per_second * GOSSIP_SHARE;
        let period = (1000.0 * peers / received.max(0.001)).min(MAX_GOSSIP_PERIOD);
        TICK_PERIOD.max(period * f64::from(u8::from(self.gossips_to_all())))
    }

    /// Whether the group is small enough for every peer to be sent every announcement, or cannot exchange
    /// messages at all.
    pub(super) fn gossips_to_all(&self) -> bool {
        let peers = self.group_size() - 1.0;
        let rate = self.settings.peer_messages_per_second;
        rate <= 0.0 || peers * 1000.0 <= rate * GOSSIP_SHARE * MAX_GOSSIP_PERIOD
    }

    /// Announces customers' counts to the owners of their quotas, the most urgent first: those with the
    /// most unannounced units relative to their burst. In a small group the whole set of a customer owns
    /// its quota; counts are cumulative and announced twice, so that the next message makes up for a lost
    /// one. In a large group the owners advise the gateways of the set, one after the other, with what
    /// probability to admit a customer while that is below 1. All messages stay within the rate that peers
    /// can receive.
    pub(super) fn send_gossip(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.settings.peer_messages_per_second <= 0.0 {
            return;
        }
        let mut outbox = self.open_outbox(now);
        for (_, id) in self.due_announcements(now) {
            self.announce(now, id, &mut outbox);
        }
        self.advise_gateways(now, &mut outbox);
        self.message_budget.tokens = outbox.budget;
        for (peer, message) in outbox.messages {
            actions.push(Action::SendToPeer {
                to: Some(peer),
                bytes: message.finish(),
            });
        }
    }

    /// Creates the outbox of a tick. In a small group it starts with one message for each peer, which also
    /// serves as a heartbeat.
    fn open_outbox(&mut self, now: Millis) -> Outbox {
        let gossips_to_all = self.gossips_to_all();
        // A gateway of a large group sends only when it has something to announce, hence when it has more
        // attempts in flight than usual. The current count would show its peers several times its mean, so
        // the smoothed count is sent.
        let in_flight = if gossips_to_all {
            self.counted_in_flight(now)
        } else {
            self.load.in_flight
        };
        let incarnation = self.incarnation as u32;
        let header = gossip::MessageBuilder::new(incarnation, in_flight, self.load.throughput);
        let mut messages = BTreeMap::new();
        if gossips_to_all {
            let peers = (0..self.settings.group_size)
                .map(GatewayId)
                .filter(|peer| *peer != self.settings.gateway_id);
            messages.extend(peers.map(|peer| (peer, header.clone())));
        }
        let rate = self.settings.peer_messages_per_second * SEND_RATIO * GOSSIP_SHARE;
        let burst = rate * ANNOUNCE_INTERVAL / 1000.0;
        Outbox {
            header,
            messages,
            budget: self.message_budget.refill(now, rate, burst),
        }
    }

    /// The customers whose counts are due, as pairs of urgency and customer hash, the most urgent first.
    fn due_announcements(&self, now: Millis) -> Vec<(f64, u64)> {
        let gossips_to_all = self.gossips_to_all();
        let mut due: Vec<(f64, u64)> = Vec::new();
        for id in &self.unannounced {
            let customer = &self.customers[id];
            let limited = self
                .advice
                .get(id)
                .is_some_and(|advice| advice.probability < 1.0);
            let interval = if limited {
                LIMITED_ANNOUNCE_INTERVAL
            } else {
                ANNOUNCE_INTERVAL
            };
            if gossips_to_all || now - customer.announced_at >= interval {
                let burst = self.settings.plans[customer.plan].quota_burst.max(1.0);
                due.push((customer.requested / burst, *id));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        due
    }

    /// Announces one customer's count to all owners of its quota, or to none where that would exceed the
    /// message budget.
    fn announce(&mut self, now: Millis, id: u64, outbox: &mut Outbox) {
        let Some(customer) = self.customers.get_mut(&id) else {
            return;
        };
        let new_messages = outbox.new_messages(&customer.owners);
        if new_messages > outbox.budget {
            return;
        }
        outbox.budget -= new_messages;
        let entry = customer.count_entry(id);
        let mut all_fit = true;
        for peer in &customer.owners {
            all_fit &= outbox.push(*peer, entry);
        }
        let few_owners = customer.has_few_owners();
        if few_owners {
            customer.announcements_due = 1;
        }
        if all_fit || few_owners {
            customer.announced_at = now;
            customer.requested = 0.0;
            customer.announcements_due -= 1;
            if customer.announcements_due == 0 {
                self.unannounced.remove(&id);
            }
        }
    }

    /// Sends advice on the customers whose quota this gateway owns, to one gateway of their set after the
    /// other.
    fn advise_gateways(&mut self, now: Millis, outbox: &mut Outbox) {
        let own = self.settings.gateway_id;
        let rate = self.settings.peer_messages_per_second * quotas::ADVICE_SHARE;
        let interval = 1000.0 / rate;
        for id in &self.owned {
            let Some(customer) = self.customers.get_mut(id) else {
                continue;
            };
            let probability =
                customer.admission_probability(now, &self.settings.plans[customer.plan]);
            if probability < 1.0 {
                // Once the probability is back at 1, each gateway of the set is advised one last time.
                customer.advice_due = customer.gateways.size;
            }
            customer.advised_at = customer.advised_at.max(now - ANNOUNCE_INTERVAL);
            while customer.advice_due > 0
                && now - customer.advised_at >= interval
                && outbox.budget >= 1.0
            {
                let peer = customer.next_to_advise(self.settings.group_size);
                if peer != own {
                    customer.advised_at += interval;
                    outbox.budget -= outbox.new_messages(&[peer]);
                    let customer = *id;
                    outbox.push(
                        peer,
                        Entry::Advice {
                            customer,
                            probability,
                        },
                    );
                }
            }
        }
    }
}

impl CustomerState {
    /// Returns the gateway of the set that is advised next and advances the cursor.
    fn next_to_advise(&mut self, group_size: u32) -> GatewayId {
        let peer = GatewayId((self.gateways.first.0 + self.advice_cursor) % group_size);
        self.advice_cursor = (self.advice_cursor + 1) % self.gateways.size;
        self.advice_due -= 1;
        peer
    }
}
