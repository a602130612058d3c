//! What a gateway's next process takes over from the one before it, so that an upgrade forgets nothing that the rules
//! rest on: stores and ceilings, what cold servers got, ejections, bans, congestion, what peers told. No decision is
//! taken here.
//!
//! Requests are not handed over: the process that took them answers them, and tells what it still spends as
//! [`Spent`].

use crate::decisions::Gateway;
use crate::interface::*;
use crate::state::{Backend, Bucket, Customer, Latencies, Load};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What one process knows of a server beside what the list says.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Seen {
    started: Option<Millis>,
    ratio: f64,
    queue: f64,
    strikes: f64,
    faults: f64,
    ejected_until: Millis,
    ejection: Millis,
    cold: Bucket,
}

/// The deployment that figures are for; another one's mean nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Shape {
    me: GatewayId,
    group: u32,
    classes: usize,
    plans: Vec<(f64, f64, f64, f64)>,
}

impl Shape {
    fn of(settings: &Settings) -> Shape {
        let plan = |plan: &Plan| {
            (
                plan.quota_rate,
                plan.quota_burst,
                plan.limit_rate,
                plan.limit_burst,
            )
        };
        Shape {
            me: settings.gateway_id,
            group: settings.group_size,
            classes: settings.classes.len(),
            plans: settings.plans.iter().map(plan).collect(),
        }
    }
}

/// All that is handed over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handover {
    shape: Shape,
    banned: BTreeSet<ServerId>,
    returned: BTreeMap<ServerId, Millis>,
    born: Millis,
    life: u64,
    servers: BTreeMap<ServerId, Seen>,
    customers: BTreeMap<u64, Customer>,
    peers: BTreeMap<u32, u64>,
    first: bool,
    news: BTreeSet<u64>,
    kept: BTreeSet<u64>,
    advice: BTreeMap<u64, (f64, Millis)>,
    mail: Bucket,
    latency: Vec<Latencies>,
    load: Load,
    aim: Millis,
    heard: Millis,
    joined: Millis,
    retries: f64,
}

impl Handover {
    /// Whether its figures can be gone on with: none of them is no number, and every plan is there.
    fn is_sound(&self) -> bool {
        let sound = |c: &Customer| {
            let figures = [
                c.quota.level,
                c.ceiling.level,
                c.own,
                c.asked,
                c.withheld,
                c.demand,
            ];
            c.plan < self.shape.plans.len()
                && c.gateways.size >= 1
                && figures.iter().all(|figure| figure.is_finite())
        };
        let load = [
            self.load.rate,
            self.load.peak,
            self.load.carry,
            self.load.out,
            self.aim,
            self.retries,
        ];
        let cold = [
            self.load.cold_waits,
            self.load.cold_told,
            self.load.cold_times,
        ];
        self.customers.values().all(sound)
            && load.iter().chain(&cold).all(|figure| figure.is_finite())
            && self.latency.len() == self.shape.classes
            && self.load.level < crate::decisions::LEVELS
    }
}

impl Gateway {
    /// What the next process is to know; this one goes on as before.
    pub fn to_handover(&self) -> Handover {
        let seen = |server: &Backend| Seen {
            started: server.info.started_at,
            ratio: server.ratio,
            queue: server.queue,
            strikes: server.strikes,
            faults: server.faults,
            ejected_until: server.ejected_until,
            ejection: server.ejection,
            cold: server.cold,
        };
        Handover {
            shape: Shape::of(&self.settings),
            banned: self.banned.clone(),
            returned: self.returned.clone(),
            born: self.born,
            life: self.life,
            servers: self
                .servers
                .iter()
                .map(|(id, server)| (*id, seen(server)))
                .collect(),
            customers: self.customers.clone(),
            peers: self.peers.clone(),
            first: self.first,
            news: self.news.clone(),
            kept: self.kept.clone(),
            advice: self.advice.clone(),
            mail: self.mail,
            latency: self.latency.clone(),
            load: self.load.clone(),
            aim: self.aim,
            heard: self.heard,
            joined: self.joined,
            retries: self.retries,
        }
    }

    /// A gateway that goes on where another process left off: on the same clock, with this list of servers. What was
    /// known under other settings than these is left, but for what is out of service by hand; the second value
    /// says whether it was.
    pub fn from_handover(
        settings: Settings,
        seed: u64,
        now: Millis,
        given: Handover,
        listed: Vec<Server>,
    ) -> (Gateway, bool) {
        let mut gateway = Gateway::new(settings, seed, now);
        gateway.banned = given.banned.clone();
        gateway.returned = given.returned.clone();
        let fits = given.shape == Shape::of(&gateway.settings) && given.is_sound();
        if fits {
            gateway.born = given.born;
            gateway.life = given.life;
            gateway.peers = given.peers;
            gateway.first = given.first;
            gateway.news = given.news;
            gateway.kept = given.kept;
            gateway.advice = given.advice;
            gateway.mail = given.mail;
            gateway.latency = given.latency;
            gateway.load = given.load;
            gateway.aim = given.aim;
            (gateway.heard, gateway.joined) = (given.heard, given.joined);
            gateway.retries = given.retries;
            gateway.customers = given.customers;
            // Their attempts are the other process's.
            gateway
                .customers
                .values_mut()
                .for_each(|customer| customer.open = 0);
            gateway.news.retain(|id| gateway.customers.contains_key(id));
            gateway.kept.retain(|id| gateway.customers.contains_key(id));
        }
        gateway.handle(
            now,
            Event::Membership(MembershipUpdate::Full(listed)),
            &mut Vec::new(),
        );
        // The first event asks for the timer; the next one is to ask again, when its actions are carried out.
        gateway.seen = None;
        if fits {
            for (id, server) in &mut gateway.servers {
                let Some(seen) = given
                    .servers
                    .get(id)
                    .filter(|s| s.started == server.info.started_at)
                else {
                    continue;
                };
                server.ratio = seen.ratio;
                server.queue = seen.queue;
                server.strikes = seen.strikes;
                server.faults = seen.faults;
                server.ejected_until = seen.ejected_until;
                server.ejection = seen.ejection;
                server.cold = seen.cold;
            }
        }
        (gateway, fits)
    }
}
