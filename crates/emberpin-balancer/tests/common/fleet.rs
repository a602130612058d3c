//! A simulated fleet in virtual time: gateways, servers with a queue and a slow start, membership updates that
//! arrive late, and messages that are lost. Equal seeds give equal runs; a failing test names its seed.

use emberpin_balancer::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The size of a fleet and its load.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: u32,
    pub servers: u32,
    /// Requests per second that a warm server can serve.
    pub server_rate: f64,
    /// Requests per second, as a share of what all servers can serve when warm.
    pub load: f64,
    pub seed: u64,
}

/// A scheduled event. An event for an older incarnation of its gateway is dropped.
enum Event {
    /// The next request arrives.
    Arrival,
    /// A gateway receives an event.
    Deliver {
        to: usize,
        incarnation: u32,
        event: emberpin_balancer::Event,
    },
    /// An attempt ends.
    AttemptEnded {
        to: usize,
        incarnation: u32,
        attempt: AttemptResult,
    },
}

struct SimulatedServer {
    info: Server,
    /// When it will have completed its queued requests.
    idle_at: Millis,
    in_flight: u32,
    /// The attempts that it was sent while warming up: when, and how many seconds their work would take it at its
    /// capacity of that time.
    sent_while_warming: Vec<(Millis, f64)>,
}

/// Numbers of requests in a span of time, by their outcome.
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
    /// The queue of scheduled events: their time in microseconds and their number.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending_events: BTreeMap<u64, Event>,
    /// Each gateway with its incarnation, counted from 0.
    gateways: Vec<(Gateway, u32)>,
    servers: BTreeMap<ServerId, SimulatedServer>,
    /// Pending requests: their gateway, when they arrived, and the number of their attempts.
    requests: BTreeMap<RequestId, (usize, Millis, u32)>,
    /// For each gateway, when its budget was last updated, and how many messages it could receive then.
    message_budgets: Vec<(Millis, f64)>,
    next_request: u32,
    /// The number of events scheduled so far, which is also the number of the last one.
    scheduled_count: u64,
    outcomes: Outcomes,
}

impl Fleet {
    /// Creates a fleet whose gateways all start now, with warm servers.
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
            next_request: 0,
            scheduled_count: 0,
            outcomes: Outcomes::default(),
            settings: Settings {
                group_size: size.gateways,
                ..settings
            },
        };
        for id in 0..size.servers {
            fleet.add_server(id, None);
        }
        for gateway_number in 0..size.gateways {
            let gateway = fleet.gateway(gateway_number);
            fleet.gateways.push((gateway, 0));
            let entries = fleet
                .servers
                .values()
                .map(|server_model| server_model.info.clone())
                .collect();
            fleet.handle_event(
                gateway_number as usize,
                emberpin_balancer::Event::Membership(MembershipUpdate::Full(entries)),
            );
        }
        fleet.schedule(now, Event::Arrival);
        fleet
    }

    fn gateway(&mut self, gateway_number: u32) -> Gateway {
        let settings = Settings {
            gateway_id: GatewayId(gateway_number),
            ..self.settings.clone()
        };
        Gateway::new(settings, self.random.rand_u64(), self.now)
    }

    fn add_server(&mut self, id: u32, started: Option<Millis>) -> ServerId {
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
                sent_while_warming: Vec::new(),
            },
        );
        id
    }

    fn schedule(&mut self, when: Millis, event: Event) {
        self.scheduled_count += 1;
        self.pending_events.insert(self.scheduled_count, event);
        self.events.push(Reverse((
            (when.max(self.now) * 1000.0) as u64,
            self.scheduled_count,
        )));
    }

    fn uniform(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.random.rand_float()
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.rand_float()).ln()
    }

    /// Replaces the first `count` servers by cold ones with new numbers; each gateway receives the update within
    /// `max_delay` milliseconds.
    pub fn replace(&mut self, count: u32, max_delay: Millis) {
        let mut entries = Vec::new();
        for id in 0..count {
            let mut old = super::server(id);
            old.status = ServerStatus::Draining;
            entries.push(old);
            let id = self.add_server(10_000 + id, Some(self.now));
            entries.push(self.servers[&id].info.clone());
        }
        for to in 0..self.gateways.len() {
            let when = self.now + self.uniform(0.0, max_delay);
            let event =
                emberpin_balancer::Event::Membership(MembershipUpdate::Changes(entries.clone()));
            let incarnation = self.gateways[to].1;
            self.schedule(
                when,
                Event::Deliver {
                    to,
                    incarnation,
                    event,
                },
            );
        }
    }

    /// Kills the first `count` gateways now; each restarts at once, with the endpoint list as its only state.
    pub fn restart(&mut self, count: u32) {
        for gateway_number in 0..count {
            let incarnation = self.gateways[gateway_number as usize].1 + 1;
            self.gateways[gateway_number as usize] = (self.gateway(gateway_number), incarnation);
            let entries = self
                .servers
                .values()
                .map(|server_model| server_model.info.clone())
                .collect();
            self.handle_event(
                gateway_number as usize,
                emberpin_balancer::Event::Membership(MembershipUpdate::Full(entries)),
            );
        }
    }

    /// Runs the fleet for `time` milliseconds, and returns the outcomes of the requests in that span.
    pub fn run(&mut self, time: Millis) -> Outcomes {
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
                Some(Event::Deliver {
                    to,
                    incarnation,
                    event,
                }) if self.gateways[to].1 == incarnation => {
                    self.handle_event(to, event);
                }
                Some(Event::AttemptEnded {
                    to,
                    incarnation,
                    attempt,
                }) => self.on_attempt_ended(to, incarnation, attempt),
                _ => {}
            }
        }
        self.now = end;
        self.outcomes
    }

    fn arrive(&mut self) {
        let rate = self.size.load * self.size.server_rate * f64::from(self.size.servers);
        let interval = self.exponential(1000.0 / rate);
        self.schedule(self.now + interval, Event::Arrival);
        let to = self.random.rand_range(0..self.gateways.len() as u64) as usize;
        let (id, group) = (RequestId(self.next_request), self.size.gateways);
        self.next_request += 1;
        self.requests.insert(id, (to, self.now, 0));
        self.outcomes.requested += 1;
        self.handle_event(
            to,
            emberpin_balancer::Event::Request(Request {
                id,
                class: ClassId(0),
                plan: PlanId(0),
                customer: CustomerId(u64::from(self.next_request)),
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

    fn handle_event(&mut self, to: usize, event: emberpin_balancer::Event) {
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
                    self.schedule(
                        self.now + delay,
                        Event::Deliver {
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

    /// Delivers a message. One in twenty is lost, and so is any message beyond the rate that the gateway can
    /// receive.
    fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let (at, level) = self.message_budgets[to];
        let budget =
            (level + (self.now - at) / 1000.0 * self.settings.peer_messages_per_second).min(5.0);
        let is_delivered = budget >= 1.0 && self.random.rand_float() > 0.05;
        self.message_budgets[to] = (self.now, if is_delivered { budget - 1.0 } else { budget });
        if is_delivered {
            let (when, incarnation) = (self.now + self.uniform(1.0, 36.0), self.gateways[to].1);
            let event = emberpin_balancer::Event::PeerMessage {
                from: GatewayId(from as u32),
                bytes,
            };
            self.schedule(
                when,
                Event::Deliver {
                    to,
                    incarnation,
                    event,
                },
            );
        }
    }

    fn warm_up_share(&self, info: &Server) -> f64 {
        let slow_start = &self.settings.slow_start;
        let elapsed_share = info
            .started_at
            .map_or(1.0, |at| ((self.now - at) / slow_start.duration).min(1.0));
        slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * elapsed_share
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
            .expect("attempts are sent to listed servers only");
        server_model.idle_at = server_model.idle_at.max(now) + work / warm_up_share;
        server_model.in_flight += 1;
        if warm_up_share < 1.0 {
            // Counted in requests of mean work, as gateways know no more; the margin of the limit allows for the
            // variation.
            server_model
                .sent_while_warming
                .push((now, 1.0 / (self.size.server_rate * warm_up_share)));
        }
        let total_time = server_model.idle_at - now;
        let outcome = if total_time <= timeout {
            Outcome::Ok
        } else {
            Outcome::Timeout
        };
        let elapsed = total_time.min(timeout);
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
        self.schedule(
            now + elapsed,
            Event::AttemptEnded {
                to,
                incarnation,
                attempt,
            },
        );
    }

    fn on_attempt_ended(&mut self, to: usize, incarnation: u32, mut attempt: AttemptResult) {
        let server_model = self
            .servers
            .get_mut(&attempt.server)
            .expect("attempts are sent to known servers only");
        server_model.in_flight -= 1;
        attempt.load.queue_length = Some(f64::from(server_model.in_flight.saturating_sub(1)));
        if attempt.outcome == Outcome::Ok {
            if let Some((_, arrived_at, _)) = self.requests.remove(&attempt.request) {
                let in_time = self.now - arrived_at <= self.settings.classes[0].latency_target;
                *(if in_time {
                    &mut self.outcomes.in_time
                } else {
                    &mut self.outcomes.late
                }) += 1;
            }
        }
        if self.gateways[to].1 == incarnation {
            self.handle_event(to, emberpin_balancer::Event::AttemptEnded(attempt));
        }
    }

    /// The largest load that any cold server was sent within the overload time, as a share of the load that
    /// overloads it.
    pub fn nearest_to_overload(&self) -> f64 {
        let slow_start = &self.settings.slow_start;
        let peak_load = |server_model: &SimulatedServer| {
            let windows = server_model.sent_while_warming.iter().map(|(from, _)| {
                let within = server_model
                    .sent_while_warming
                    .iter()
                    .filter(|(at, _)| (*from..*from + slow_start.overload_time).contains(at));
                within.map(|(_, seconds)| seconds).sum::<f64>()
            });
            windows.fold(0.0, f64::max)
                / (slow_start.overload_multiple * slow_start.overload_time / 1000.0)
        };
        self.servers.values().map(peak_load).fold(0.0, f64::max)
    }
}
