//! Gossip that is sent: what this gateway admitted for customers, and its advice on those whose quota it
//! owns.

use super::{
    gossip, quotas, Action, BTreeMap, CustomerState, Entry, Gateway, GatewayId, Millis,
    GOSSIP_SHARE, MAX_GOSSIP_PERIOD, TICK_PERIOD,
};

/// Counts are gathered for this time before they are announced.
const ANNOUNCE_INTERVAL: Millis = 300.0;
/// And for this time while the customer's owners advise to reject.
const LIMITED_ANNOUNCE_INTERVAL: Millis = 1_000.0;
/// Messages that a gateway may send to its peers for each one that it can receive.
const SEND_RATIO: f64 = 2.0;

/// The messages of one tick, at most one for each peer.
struct Outbox {
    /// A message without entries, to start each with.
    header: gossip::Writer,
    messages: BTreeMap<GatewayId, gossip::Writer>,
    /// How many further messages may be begun.
    budget: f64,
}

impl Outbox {
    /// How many new messages it takes to reach these peers.
    fn new_messages(&self, peers: &[GatewayId]) -> f64 {
        let unreached = |peer: &&GatewayId| !self.messages.contains_key(peer);
        peers.iter().filter(unreached).count() as f64
    }

    /// Adds an entry to the message to a peer; `false` where it does not fit.
    fn push(&mut self, peer: GatewayId, entry: Entry) -> bool {
        let message = self.messages.entry(peer);
        message.or_insert_with(|| self.header.clone()).push(entry)
    }
}

impl Gateway {
    /// Time between gossip messages: the tick's, or longer where the few peers can receive less.
    pub(super) fn gossip_period(&self) -> Millis {
        let peers = self.group_size() - 1.0;
        let received = self.settings.peer_messages_per_second * GOSSIP_SHARE;
        let period = (1000.0 * peers / received.max(0.001)).min(MAX_GOSSIP_PERIOD);
        TICK_PERIOD.max(period * f64::from(u8::from(self.gossips_to_all())))
    }

    /// Whether peers are few enough for each to be sent every announcement, or cannot be sent any.
    pub(super) fn gossips_to_all(&self) -> bool {
        let peers = self.group_size() - 1.0;
        let rate = self.settings.peer_messages_per_second;
        rate <= 0.0 || peers * 1000.0 <= rate * GOSSIP_SHARE * MAX_GOSSIP_PERIOD
    }

    /// Announces customers' counts to the owners of their quotas, those first whose unannounced units are
    /// the most for their plan. Where peers are few, all of a customer's set own its quota; counts are
    /// cumulative and announced twice, so that the next message makes up for a lost one. Among many, the
    /// owners advise the set, one gateway after the other, with what chance to admit a customer while that
    /// is below one. All within what peers can receive.
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

    /// An outbox with a message for each peer, where peers are few; they are a heartbeat too.
    fn open_outbox(&mut self, now: Millis) -> Outbox {
        let all = self.gossips_to_all();
        // One of many gateways sends just when it has something to announce, hence with more in flight than
        // at other times: the moment's count would show its peers several times its mean.
        let in_flight = if all {
            self.counted_in_flight(now)
        } else {
            self.load.in_flight
        };
        let incarnation = self.incarnation as u32;
        let header = gossip::Writer::new(incarnation, in_flight, self.load.throughput);
        let mut messages = BTreeMap::new();
        if all {
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

    /// The customers whose counts are due, with their urgency, the most urgent first.
    fn due_announcements(&self, now: Millis) -> Vec<(f64, u64)> {
        let all = self.gossips_to_all();
        let mut due: Vec<(f64, u64)> = Vec::new();
        for id in &self.unannounced {
            let customer = &self.customers[id];
            let limited = self
                .advice
                .get(id)
                .is_some_and(|advice| advice.chance < 1.0);
            let interval = if limited {
                LIMITED_ANNOUNCE_INTERVAL
            } else {
                ANNOUNCE_INTERVAL
            };
            if all || now - customer.announced_at >= interval {
                let burst = self.settings.plans[customer.plan].quota_burst.max(1.0);
                due.push((customer.requested / burst, *id));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        due
    }

    /// Announces one customer's count to all owners of its quota, or to none where that would take too many
    /// messages.
    fn announce(&mut self, now: Millis, id: u64, outbox: &mut Outbox) {
        let Some(customer) = self.customers.get_mut(&id) else {
            return;
        };
        let new_messages = outbox.new_messages(&customer.owners);
        if new_messages > outbox.budget {
            return;
        }
        outbox.budget -= new_messages;
        let entry = customer.count(id);
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

    /// Advises the gateways of customers whose quota this gateway owns, each in its turn.
    fn advise_gateways(&mut self, now: Millis, outbox: &mut Outbox) {
        let own = self.settings.gateway_id;
        let rate = self.settings.peer_messages_per_second * quotas::ADVICE_SHARE;
        let interval = 1000.0 / rate;
        for id in &self.owned {
            let Some(customer) = self.customers.get_mut(id) else {
                continue;
            };
            let chance = customer.admission_chance(now, &self.settings.plans[customer.plan]);
            if chance < 1.0 {
                // When the pressure ends, each gateway of the set is advised once more.
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
                    outbox.push(peer, Entry::Advice { customer, chance });
                }
            }
        }
    }
}

impl CustomerState {
    /// The gateway of the set whose turn it is to be advised.
    fn next_to_advise(&mut self, group_size: u32) -> GatewayId {
        let peer = GatewayId((self.gateways.first.0 + self.advice_cursor) % group_size);
        self.advice_cursor = (self.advice_cursor + 1) % self.gateways.size;
        self.advice_due -= 1;
        peer
    }
}
