//! A whole fleet in virtual time: gateways, servers with a queue and a cold start, lists that come late, mail that
//! is lost. One seed gives one run; what went wrong names it.

use emberpin_balancer::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// How large a fleet is, and what is asked of it.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: u32,
    pub servers: u32,
    /// Requests a second that a warm server bears.
    pub bears: f64,
    /// What is asked for, as a share of what all servers bear when warm.
    pub load: f64,
    pub seed: u64,
}

enum Event {
    Arrival,
    Feed {
        to: usize,
        life: u32,
        event: emberpin_balancer::Event,
    },
    Ended {
        to: usize,
        life: u32,
        attempt: AttemptResult,
    },
}

struct Machine {
    info: Server,
    /// When it has done what it holds.
    free: Millis,
    held: u32,
    /// What it was sent while cold: when, and what that is of a second of its capacity then.
    cold: Vec<(Millis, f64)>,
}

/// What became of the requests that came in a span of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

pub struct Fleet {
    pub now: Millis,
    pub settings: Settings,
    size: Size,
    random: oorandom::Rand64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: BTreeMap<u64, Event>,
    gateways: Vec<(Gateway, u32)>,
    machines: BTreeMap<ServerId, Machine>,
    requests: BTreeMap<RequestId, (usize, Millis, u32)>,
    mail: Vec<(Millis, f64)>,
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
            bodies: BTreeMap::new(),
            gateways: Vec::new(),
            machines: BTreeMap::new(),
            requests: BTreeMap::new(),
            mail: vec![(now, 1.0); size.gateways as usize],
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
            let lines = fleet
                .machines
                .values()
                .map(|machine| machine.info.clone())
                .collect();
            fleet.feed(
                me as usize,
                emberpin_balancer::Event::Membership(MembershipUpdate::Full(lines)),
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
        self.machines.insert(
            id,
            Machine {
                info,
                free: self.now,
                held: 0,
                cold: Vec::new(),
            },
        );
        id
    }

    fn at(&mut self, when: Millis, event: Event) {
        self.scheduled += 1;
        self.bodies.insert(self.scheduled, event);
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
        let mut lines = Vec::new();
        for id in 0..count {
            let mut old = super::server(id);
            old.status = ServerStatus::Draining;
            lines.push(old);
            let id = self.boot(10_000 + id, Some(self.now));
            lines.push(self.machines[&id].info.clone());
        }
        for to in 0..self.gateways.len() {
            let when = self.now + self.uniform(0.0, late);
            let event =
                emberpin_balancer::Event::Membership(MembershipUpdate::Changes(lines.clone()));
            let life = self.gateways[to].1;
            self.at(when, Event::Feed { to, life, event });
        }
    }

    /// Kills the first `count` gateways at this instant; each is back at once, with nothing but the list.
    pub fn restart(&mut self, count: u32) {
        for me in 0..count {
            let life = self.gateways[me as usize].1 + 1;
            self.gateways[me as usize] = (self.gateway(me), life);
            let lines = self
                .machines
                .values()
                .map(|machine| machine.info.clone())
                .collect();
            self.feed(
                me as usize,
                emberpin_balancer::Event::Membership(MembershipUpdate::Full(lines)),
            );
        }
    }

    /// Plays on for `time`, and tells what became of the requests that ended in it.
    pub fn play(&mut self, time: Millis) -> Outcomes {
        let end = self.now + time;
        self.outcomes = Outcomes::default();
        while let Some(Reverse((when, number))) = self.events.peek().copied() {
            if when as f64 / 1000.0 > end {
                break;
            }
            self.events.pop();
            self.now = when as f64 / 1000.0;
            match self.bodies.remove(&number) {
                Some(Event::Arrival) => self.arrive(),
                Some(Event::Feed { to, life, event }) if self.gateways[to].1 == life => {
                    self.feed(to, event);
                }
                Some(Event::Ended { to, life, attempt }) => self.ended(to, life, attempt),
                _ => {}
            }
        }
        self.now = end;
        self.outcomes
    }

    fn arrive(&mut self) {
        let rate = self.size.load * self.size.bears * f64::from(self.size.servers);
        let pause = self.exponential(1000.0 / rate);
        self.at(self.now + pause, Event::Arrival);
        let to = self.random.rand_range(0..self.gateways.len() as u64) as usize;
        let (id, group) = (RequestId(self.next), self.size.gateways);
        self.next += 1;
        self.requests.insert(id, (to, self.now, 0));
        self.outcomes.asked += 1;
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
        let life = self.gateways[to].1;
        for action in actions {
            match action {
                Action::Send {
                    request,
                    server,
                    timeout,
                } => self.send(to, request, server, timeout),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.outcomes.refused += 1;
                    self.requests.remove(&request);
                }
                Action::SetTimer { delay, token } => {
                    let event = emberpin_balancer::Event::Timer { token };
                    self.at(self.now + delay, Event::Feed { to, life, event });
                }
                Action::SendToPeer {
                    to: Some(GatewayId(peer)),
                    bytes,
                } => self.tell(to, peer as usize, bytes),
                _ => {}
            }
        }
    }

    /// One message in twenty is lost, and whatever is over the intake.
    fn tell(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let (at, level) = self.mail[to];
        let room =
            (level + (self.now - at) / 1000.0 * self.settings.peer_messages_per_second).min(5.0);
        let taken = room >= 1.0 && self.random.rand_float() > 0.05;
        self.mail[to] = (self.now, if taken { room - 1.0 } else { room });
        if taken {
            let (when, life) = (self.now + self.uniform(1.0, 36.0), self.gateways[to].1);
            let event = emberpin_balancer::Event::PeerMessage {
                from: GatewayId(from as u32),
                bytes,
            };
            self.at(when, Event::Feed { to, life, event });
        }
    }

    fn warmth(&self, info: &Server) -> f64 {
        let rules = &self.settings.slow_start;
        let part = info
            .started_at
            .map_or(1.0, |at| ((self.now - at) / rules.duration).min(1.0));
        rules.initial_capacity + (1.0 - rules.initial_capacity) * part
    }

    fn send(&mut self, to: usize, request: RequestId, server: ServerId, timeout: Millis) {
        let work = self.exponential(1000.0 / self.size.bears);
        let warmth = self.warmth(&self.machines[&server].info);
        let Some((_, _, attempts)) = self.requests.get_mut(&request) else {
            return;
        };
        let (now, attempt) = (self.now, *attempts);
        *attempts += 1;
        let machine = self
            .machines
            .get_mut(&server)
            .expect("only what was listed is sent to");
        machine.free = machine.free.max(now) + work / warmth;
        machine.held += 1;
        if warmth < 1.0 {
            // In requests of usual work, as gateways know no more; the rule's own slack is for chance.
            machine.cold.push((now, 1.0 / (self.size.bears * warmth)));
        }
        let took = machine.free - now;
        let outcome = if took <= timeout {
            Outcome::Ok
        } else {
            Outcome::Timeout
        };
        let elapsed = took.min(timeout);
        let life = self.gateways[to].1;
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
        self.at(now + elapsed, Event::Ended { to, life, attempt });
    }

    fn ended(&mut self, to: usize, life: u32, mut attempt: AttemptResult) {
        let machine = self
            .machines
            .get_mut(&attempt.server)
            .expect("it was sent to");
        machine.held -= 1;
        attempt.load.queue_length = Some(f64::from(machine.held.saturating_sub(1)));
        if attempt.outcome == Outcome::Ok {
            if let Some((_, asked, _)) = self.requests.remove(&attempt.request) {
                let in_time = self.now - asked <= self.settings.classes[0].latency_target;
                *(if in_time {
                    &mut self.outcomes.in_time
                } else {
                    &mut self.outcomes.late
                }) += 1;
            }
        }
        if self.gateways[to].1 == life {
            self.feed(to, emberpin_balancer::Event::AttemptEnded(attempt));
        }
    }

    /// The most that any cold server was sent within the rule's span, as a share of what fells it.
    pub fn nearest_to_falling(&self) -> f64 {
        let rules = &self.settings.slow_start;
        let most = |machine: &Machine| {
            let windows = machine.cold.iter().map(|(from, _)| {
                let within = machine
                    .cold
                    .iter()
                    .filter(|(at, _)| (*from..*from + rules.overload_time).contains(at));
                within.map(|(_, seconds)| seconds).sum::<f64>()
            });
            windows.fold(0.0, f64::max) / (rules.overload_multiple * rules.overload_time / 1000.0)
        };
        self.machines.values().map(most).fold(0.0, f64::max)
    }
}
