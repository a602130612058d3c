//! A whole fleet in virtual time: gateways, servers with a queue and a slow start, endpoint lists that come late, and
//! messages that are lost. One seed gives one run, and a failure names its seed.

use emberpin_balancer::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// How large a fleet is, and how much load it gets.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: u32,
    pub servers: u32,
    /// Requests a second that a warm server carries.
    pub server_rate: f64,
    /// Requests a second, as a share of what all servers carry when warm.
    pub load: f64,
    pub seed: u64,
}

enum Event {
    Arrival,
    Feed {
        to: usize,
        incarnation: u32,
        event: emberpin_balancer::Event,
    },
    Ended {
        to: usize,
        incarnation: u32,
        attempt: AttemptResult,
    },
}

struct SimulatedServer {
    info: Server,
    /// When it has completed the requests it has.
    idle_at: Millis,
    in_flight: u32,
    /// What it was sent while cold: when, and what that is of a second of its capacity then.
    sent_while_cold: Vec<(Millis, f64)>,
}

/// What became of the requests that came in a span of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub requested: u32,
    pub in_time: u32,
    pub late: u32,
    pub rejected: u32,
}

pub struct Fleet {
    pub now: Millis,
    pub settings: Settings,
    size: Size,
    random: oorandom::Rand64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending_events: BTreeMap<u64, Event>,
    gateways: Vec<(Gateway, u32)>,
    servers: BTreeMap<ServerId, SimulatedServer>,
    requests: BTreeMap<RequestId, (usize, Millis, u32)>,
    message_budgets: Vec<(Millis, f64)>,
    next: u32,
    scheduled: u64,
    outcomes: Outcomes,
}

impl Fleet {
    /// A fleet that starts now, all of it together.
    pub fn new(settings: Settings, size: Size) -> Fleet {
        let now = 1_000_000.0;
        let mut fleet = Fleet {
            now,
            size,
            random: oorandom::Rand64::new(u128::from(size.seed)),
            events: BinaryHeap::new(),
            pending_events: BTreeMap::new(),
            gateways: Vec::new(),
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            message_budgets: vec![(now, 1.0); size.gateways as usize],
            next: 0,
            scheduled: 0,
            outcomes: Outcomes::default(),
            settings: Settings {
                group_size: size.gateways,
                ..settings
            },
        };
        for id in 0..size.servers {
            fleet.boot(id, None);
        }
        for me in 0..size.gateways {
            let gateway = fleet.gateway(me);
            fleet.gateways.push((gateway, 0));
            let entries = fleet
                .servers
                .values()
                .map(|server_model| server_model.info.clone())
                .collect();
            fleet.feed(
                me as usize,
                emberpin_balancer::Event::Membership(MembershipUpdate::Full(entries)),
            );
        }
        fleet.at(now, Event::Arrival);
        fleet
    }

    fn gateway(&mut self, me: u32) -> Gateway {
        let settings = Settings {
            gateway_id: GatewayId(me),
            ..self.settings.clone()
        };
        Gateway::new(settings, self.random.rand_u64(), self.now)
    }

    fn boot(&mut self, id: u32, started: Option<Millis>) -> ServerId {
        let info = Server {
            started_at: started,
            ..super::server(id)
        };
        let id = info.id;
        self.servers.insert(
            id,
            SimulatedServer {
                info,
                idle_at: self.now,
                in_flight: 0,
                sent_while_cold: Vec::new(),
            },
        );
        id
    }

    fn at(&mut self, when: Millis, event: Event) {
        self.scheduled += 1;
        self.pending_events.insert(self.scheduled, event);
        self.events.push(Reverse((
            (when.max(self.now) * 1000.0) as u64,
            self.scheduled,
        )));
    }

    fn uniform(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.random.rand_float()
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.rand_float()).ln()
    }

    /// Replaces the first `count` servers by cold ones under new names; each gateway hears of it within `late`.
    pub fn replace(&mut self, count: u32, late: Millis) {
        let mut entries = Vec::new();
        for id in 0..count {
            let mut old = super::server(id);
            old.status = ServerStatus::Draining;
            entries.push(old);
            let id = self.boot(10_000 + id, Some(self.now));
            entries.push(self.servers[&id].info.clone());
        }
        for to in 0..self.gateways.len() {
            let when = self.now + self.uniform(0.0, late);
            let event =
                emberpin_balancer::Event::Membership(MembershipUpdate::Changes(entries.clone()));
            let incarnation = self.gateways[to].1;
            self.at(
                when,
                Event::Feed {
                    to,
                    incarnation,
                    event,
                },
            );
        }
    }

    /// Kills the first `count` gateways at this instant; each is back at once, with nothing but the list.
    pub fn restart(&mut self, count: u32) {
        for me in 0..count {
            let incarnation = self.gateways[me as usize].1 + 1;
            self.gateways[me as usize] = (self.gateway(me), incarnation);
            let entries = self
                .servers
                .values()
                .map(|server_model| server_model.info.clone())
                .collect();
            self.feed(
                me as usize,
                emberpin_balancer::Event::Membership(MembershipUpdate::Full(entries)),
            );
        }
    }

    /// Plays on for `time`, and returns what became of the requests that ended in it.
    pub fn play(&mut self, time: Millis) -> Outcomes {
        let end = self.now + time;
        self.outcomes = Outcomes::default();
        while let Some(Reverse((when, number))) = self.events.peek().copied() {
            if when as f64 / 1000.0 > end {
                break;
            }
            self.events.pop();
            self.now = when as f64 / 1000.0;
            match self.pending_events.remove(&number) {
                Some(Event::Arrival) => self.arrive(),
                Some(Event::Feed {
                    to,
                    incarnation,
                    event,
                }) if self.gateways[to].1 == incarnation => {
                    self.feed(to, event);
                }
                Some(Event::Ended {
                    to,
                    incarnation,
                    attempt,
                }) => self.ended(to, incarnation, attempt),
                _ => {}
            }
        }
        self.now = end;
        self.outcomes
    }

    fn arrive(&mut self) {
        let rate = self.size.load * self.size.server_rate * f64::from(self.size.servers);
        let pause = self.exponential(1000.0 / rate);
        self.at(self.now + pause, Event::Arrival);
        let to = self.random.rand_range(0..self.gateways.len() as u64) as usize;
        let (id, group) = (RequestId(self.next), self.size.gateways);
        self.next += 1;
        self.requests.insert(id, (to, self.now, 0));
        self.outcomes.requested += 1;
        self.feed(
            to,
            emberpin_balancer::Event::Request(Request {
                id,
                class: ClassId(0),
                plan: PlanId(0),
                customer: CustomerId(u64::from(self.next)),
                remaining: self.settings.classes[0].deadline,
                units: 1.0,
                gateways: GatewaySet {
                    first: GatewayId(to as u32),
                    size: 3.min(group),
                },
                prior_attempt: None,
            }),
        );
    }

    fn feed(&mut self, to: usize, event: emberpin_balancer::Event) {
        let mut actions = Vec::new();
        self.gateways[to].0.handle(self.now, event, &mut actions);
        let incarnation = self.gateways[to].1;
        for action in actions {
            match action {
                Action::Send {
                    request,
                    server,
                    timeout,
                } => self.send(to, request, server, timeout),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.outcomes.rejected += 1;
                    self.requests.remove(&request);
                }
                Action::SetTimer { delay, token } => {
                    let event = emberpin_balancer::Event::Timer { token };
                    self.at(
                        self.now + delay,
                        Event::Feed {
                            to,
                            incarnation,
                            event,
                        },
                    );
                }
                Action::SendToPeer {
                    to: Some(GatewayId(peer)),
                    bytes,
                } => self.deliver(to, peer as usize, bytes),
                _ => {}
            }
        }
    }

    /// Delivers a message. One in twenty is lost, and whatever is over what a gateway can receive.
    fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let (at, level) = self.message_budgets[to];
        let budget =
            (level + (self.now - at) / 1000.0 * self.settings.peer_messages_per_second).min(5.0);
        let taken = budget >= 1.0 && self.random.rand_float() > 0.05;
        self.message_budgets[to] = (self.now, if taken { budget - 1.0 } else { budget });
        if taken {
            let (when, incarnation) = (self.now + self.uniform(1.0, 36.0), self.gateways[to].1);
            let event = emberpin_balancer::Event::PeerMessage {
                from: GatewayId(from as u32),
                bytes,
            };
            self.at(
                when,
                Event::Feed {
                    to,
                    incarnation,
                    event,
                },
            );
        }
    }

    fn warm_up_share(&self, info: &Server) -> f64 {
        let slow_start = &self.settings.slow_start;
        let part = info
            .started_at
            .map_or(1.0, |at| ((self.now - at) / slow_start.duration).min(1.0));
        slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * part
    }

    fn send(&mut self, to: usize, request: RequestId, server: ServerId, timeout: Millis) {
        let work = self.exponential(1000.0 / self.size.server_rate);
        let warm_up_share = self.warm_up_share(&self.servers[&server].info);
        let Some((_, _, attempts)) = self.requests.get_mut(&request) else {
            return;
        };
        let (now, attempt) = (self.now, *attempts);
        *attempts += 1;
        let server_model = self
            .servers
            .get_mut(&server)
            .expect("only what was listed is sent to");
        server_model.idle_at = server_model.idle_at.max(now) + work / warm_up_share;
        server_model.in_flight += 1;
        if warm_up_share < 1.0 {
            // In requests of mean work, as gateways know no more; the limit's own slack is for chance.
            server_model
                .sent_while_cold
                .push((now, 1.0 / (self.size.server_rate * warm_up_share)));
        }
        let took = server_model.idle_at - now;
        let outcome = if took <= timeout {
            Outcome::Ok
        } else {
            Outcome::Timeout
        };
        let elapsed = took.min(timeout);
        let incarnation = self.gateways[to].1;
        let attempt = AttemptResult {
            request,
            attempt,
            server,
            outcome,
            elapsed,
            answered: outcome == Outcome::Ok,
            replayable: true,
            load: LoadReport::default(),
            units: None,
            metered: None,
        };
        self.at(
            now + elapsed,
            Event::Ended {
                to,
                incarnation,
                attempt,
            },
        );
    }

    fn ended(&mut self, to: usize, incarnation: u32, mut attempt: AttemptResult) {
        let server_model = self
            .servers
            .get_mut(&attempt.server)
            .expect("it was sent to");
        server_model.in_flight -= 1;
        attempt.load.queue_length = Some(f64::from(server_model.in_flight.saturating_sub(1)));
        if attempt.outcome == Outcome::Ok {
            if let Some((_, requested, _)) = self.requests.remove(&attempt.request) {
                let in_time = self.now - requested <= self.settings.classes[0].latency_target;
                *(if in_time {
                    &mut self.outcomes.in_time
                } else {
                    &mut self.outcomes.late
                }) += 1;
            }
        }
        if self.gateways[to].1 == incarnation {
            self.feed(to, emberpin_balancer::Event::AttemptEnded(attempt));
        }
    }

    /// The most that any cold server was sent within the overload time, as a share of what overloads it.
    pub fn nearest_to_overload(&self) -> f64 {
        let slow_start = &self.settings.slow_start;
        let most = |server_model: &SimulatedServer| {
            let windows = server_model.sent_while_cold.iter().map(|(from, _)| {
                let within = server_model
                    .sent_while_cold
                    .iter()
                    .filter(|(at, _)| (*from..*from + slow_start.overload_time).contains(at));
                within.map(|(_, seconds)| seconds).sum::<f64>()
            });
            windows.fold(0.0, f64::max)
                / (slow_start.overload_multiple * slow_start.overload_time / 1000.0)
        };
        self.servers.values().map(most).fold(0.0, f64::max)
    }
}
