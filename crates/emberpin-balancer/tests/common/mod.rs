//! A harness for one gateway: a clock that the test sets, no modelled servers, and helpers to send requests and end
//! attempts.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

use emberpin_balancer::*;

pub mod fleet;

/// Indices of the classes in [`settings`].
pub const SAFE: usize = 0;
pub const UNSAFE: usize = 1;
pub const KEYED_ALL: usize = 2;
pub const KEYED_ZONE: usize = 3;

/// One gateway, the time on its clock in milliseconds, and the id of its next request.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Millis,
    next_id: u32,
}

pub fn class(idempotency_kind: Idempotency) -> Class {
    Class {
        latency_target: 500.0,
        deadline: 2000.0,
        value: 1.0,
        late_value: 0.0,
        idempotency: idempotency_kind,
    }
}

pub fn settings() -> Settings {
    let keyed = |dedup_scope| {
        class(Idempotency::Keyed {
            scope: dedup_scope,
            window: 1500.0,
        })
    };
    let plan = |rate_limit, rate_limit_burst| Plan {
        quota_rate: 10.0,
        quota_burst: 20.0,
        max_in_flight: 0.0,
        limit_rate: rate_limit,
        limit_burst: rate_limit_burst,
        price: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 0.5,
    };
    Settings {
        gateway_id: GatewayId(0),
        group_size: 3,
        zone: 0,
        classes: vec![
            class(Idempotency::Safe),
            class(Idempotency::Unsafe),
            keyed(DedupScope::All),
            keyed(DedupScope::Zone),
            keyed(DedupScope::Cell),
        ],
        plans: vec![plan(0.0, 0.0), plan(20.0, 40.0)],
        slow_start: SlowStart {
            initial_capacity: 0.25,
            duration: 10_000.0,
            overload_multiple: 2.0,
            overload_time: 1000.0,
        },
        max_attempts: 4,
        hedging: false,
        max_retry_after: 1000.0,
        peer_messages_per_second: 50.0,
        subscribe_servers: false,
        can_cancel: true,
        can_probe: false,
        units_are_estimates: false,
        meter_period: 0.0,
        shared_counter: false,
        cross_zone_slowdown: 1.0,
        cross_zone_price: 0.0,
        peer_message_price: 0.0,
    }
}

pub fn server(id: u32) -> Server {
    Server {
        id: ServerId(id),
        zone: id as usize % 3,
        kind: 0,
        cell: id % 2,
        capacity: 1.0,
        started_at: None,
        status: ServerStatus::InService,
    }
}

impl Harness {
    /// A gateway that has run without requests for a minute, with `servers` warm servers.
    pub fn new(settings: Settings, servers: u32) -> Harness {
        let mut harness = Harness::just_started(settings, servers);
        harness.advance(60_000.0);
        harness
    }

    /// A gateway that has just started, with `servers` warm servers.
    pub fn just_started(settings: Settings, servers: u32) -> Harness {
        let mut harness = Harness {
            gateway: Gateway::new(settings, 7, 1_000_000.0),
            now: 1_000_000.0,
            next_id: 0,
        };
        harness.update_membership(MembershipUpdate::Full((0..servers).map(server).collect()));
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    pub fn update_membership(&mut self, update: MembershipUpdate) -> Vec<Action> {
        self.handle(Event::Membership(update))
    }

    /// Advances the clock in steps of one tick (100 ms); returns the actions of the ticks.
    pub fn advance(&mut self, time: Millis) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 100.0).min(end);
            actions.extend(self.handle(Event::Timer { token: 0 }));
        }
        actions
    }

    /// Sends a request of one unit whose customer uses a set of three gateways.
    pub fn arrive(&mut self, class: usize, plan: usize, customer: u64) -> (RequestId, Vec<Action>) {
        self.arrive_with(class, plan, customer, 1.0, 3)
    }

    pub fn arrive_with(
        &mut self,
        class: usize,
        plan: usize,
        customer: u64,
        units: f64,
        set_size: u32,
    ) -> (RequestId, Vec<Action>) {
        self.arrive_for(class, plan, customer, units, set_size, 2000.0)
    }

    pub fn arrive_for(
        &mut self,
        class: usize,
        plan: usize,
        customer: u64,
        units: f64,
        set_size: u32,
        remaining: Millis,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let request = Request {
            id,
            class: ClassId(class),
            plan: PlanId(plan),
            customer: CustomerId(customer),
            remaining,
            units,
            gateways: GatewaySet {
                first: GatewayId(0),
                size: set_size,
            },
            prior_attempt: None,
        };
        (id, self.handle(Event::Request(request)))
    }

    /// Ends an attempt after 20 ms; only [`Outcome::Ok`] answers the client.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        at: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_as(id, attempt, at, outcome, outcome == Outcome::Ok)
    }

    /// Ends an attempt with an answer that carries a load report.
    pub fn answer_with_load(
        &mut self,
        id: RequestId,
        attempt: u32,
        at: ServerId,
        load: LoadReport,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptResult {
            request: id,
            attempt,
            server: at,
            outcome: Outcome::Ok,
            elapsed: 20.0,
            answered: true,
            replayable: true,
            load,
            units: None,
            metered: None,
        }))
    }

    /// A new harness whose gateway was killed and has just restarted.
    pub fn restarted(&self, settings: Settings, servers: u32) -> Harness {
        let mut harness = Harness {
            gateway: Gateway::new(settings, 8, self.now),
            now: self.now,
            next_id: self.next_id,
        };
        harness.update_membership(MembershipUpdate::Full((0..servers).map(server).collect()));
        harness
    }

    pub fn end_attempt_as(
        &mut self,
        id: RequestId,
        attempt: u32,
        at: ServerId,
        outcome: Outcome,
        answered: bool,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptResult {
            request: id,
            attempt,
            server: at,
            outcome,
            elapsed: 20.0,
            answered,
            replayable: true,
            load: LoadReport::default(),
            units: None,
            metered: None,
        }))
    }

    /// Sends one request of a new customer and answers it at once; returns whether it was admitted.
    pub fn serve(&mut self) -> bool {
        let customer = 1_000_000 + u64::from(self.next_id);
        let (id, actions) = self.arrive(0, 0, customer);
        match sent_to(&actions) {
            Some(server) => {
                self.end_attempt(id, 0, server, Outcome::Ok);
                true
            }
            None => false,
        }
    }

    /// Serves `rate` requests per second for `time` milliseconds.
    pub fn serve_for(&mut self, rate: f64, time: Millis) {
        let end = self.now + time;
        let mut tick = self.now;
        while self.now < end {
            self.now += 1000.0 / rate;
            self.serve();
            if self.now - tick >= 100.0 {
                tick = self.now;
                self.handle(Event::Timer { token: 0 });
            }
        }
    }
}

pub fn pool_size(listed: usize, avoided: usize) -> PoolSize {
    PoolSize { listed, avoided }
}

pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn rejected(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}

pub fn messages_to(actions: &[Action], to: u32) -> Vec<Vec<u8>> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::SendToPeer { to: peer, bytes } if peer.is_none_or(|p| p == GatewayId(to)) => {
                Some(bytes.clone())
            }
            _ => None,
        })
        .collect()
}

/// A count entry of a customer of the first plan whose set is the whole group of three.
pub fn count(customer: u64, units: f64) -> gossip::Entry {
    gossip::Entry::Count {
        customer,
        plan: 0,
        first: 0,
        size: 3,
        units,
        requested: units,
    }
}

/// A peer's message with one count: its incarnation and a customer's cumulative units.
pub fn count_message(incarnation: u32, customer: u64, units: f64) -> Vec<u8> {
    let mut writer = gossip::MessageBuilder::new(incarnation, 0.0, 0.0);
    assert!(writer.push(count(customer, units)));
    writer.finish()
}

pub fn receive(harness: &mut Harness, from: u32, bytes: Vec<u8>) {
    harness.handle(Event::PeerMessage {
        from: GatewayId(from),
        bytes,
    });
}

/// Sends `requests` requests of one customer and answers each admitted one at once; returns the number admitted.
pub fn admit(harness: &mut Harness, plan: usize, customer: u64, requests: usize) -> usize {
    (0..requests)
        .filter(|_| {
            let (id, actions) = harness.arrive(SAFE, plan, customer);
            match sent_to(&actions) {
                Some(server) => {
                    harness.end_attempt(id, 0, server, Outcome::Ok);
                    true
                }
                None => false,
            }
        })
        .count()
}

/// Sends `count` requests, which stay in flight, to a gateway whose throughput is unknown.
pub fn fill_in_flight(harness: &mut Harness, count: usize) -> Vec<(RequestId, ServerId)> {
    (0..count)
        .map(|k| {
            let (id, actions) = harness.arrive(SAFE, 0, 100 + k as u64);
            (id, sent_to(&actions).expect("not congested yet"))
        })
        .collect()
}

/// Sends `requests` requests of different customers; returns the number rejected.
pub fn count_rejections(harness: &mut Harness, requests: usize) -> usize {
    let mut count = 0;
    for k in 0..requests {
        let (id, actions) = harness.arrive(SAFE, 0, 50_000 + k as u64);
        match sent_to(&actions) {
            // Abandoning it leaves the number in flight as it was before this request.
            Some(_) => drop(harness.handle(Event::Abandoned { request: id })),
            None => count += 1,
        }
    }
    count
}

/// Sends a request of a new customer and answers it after `elapsed` milliseconds; returns its server.
pub fn answer_new_request(harness: &mut Harness, units: f64, elapsed: Millis) -> ServerId {
    let customer = 80_000 + harness.now as u64;
    harness.now += 1.0;
    let (id, actions) = harness.arrive_with(SAFE, 0, customer, units, 3);
    let to = sent_to(&actions).expect("sent");
    answer(harness, id, to, elapsed);
    to
}

pub fn answer(harness: &mut Harness, id: RequestId, server: ServerId, elapsed: Millis) {
    harness.handle(Event::AttemptEnded(AttemptResult {
        request: id,
        attempt: 0,
        server,
        outcome: Outcome::Ok,
        elapsed,
        answered: true,
        replayable: true,
        load: LoadReport::default(),
        units: None,
        metered: None,
    }));
}

/// Makes a gateway learn that requests of one unit take 20 ms and requests of four units 300 ms, in one class.
pub fn learn_latencies_by_units(harness: &mut Harness) {
    for _ in 0..60 {
        answer_new_request(harness, 1.0, 20.0);
        answer_new_request(harness, 1.0, 20.0);
        answer_new_request(harness, 4.0, 300.0);
    }
}

pub fn harness_with_latencies_by_units(servers: u32) -> Harness {
    let mut harness = Harness::new(settings(), servers);
    learn_latencies_by_units(&mut harness);
    harness
}

pub fn timeout_of(actions: &[Action]) -> Millis {
    let timeout = actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    timeout.expect("sent")
}
