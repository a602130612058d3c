//! A gateway driven by hand: a hand-set clock, no servers modelled.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

use emberpin_balancer::*;

pub mod fleet;

pub struct Bench {
    pub gateway: Gateway,
    pub now: Millis,
    next: u32,
}

pub fn class(effect: Effect) -> Class {
    Class {
        aim: 500.0,
        deadline: 2000.0,
        worth: 1.0,
        late_worth: 0.0,
        effect,
    }
}

pub fn settings() -> Settings {
    let keyed = |group| {
        class(Effect::Keyed {
            group,
            window: 1500.0,
        })
    };
    let plan = |ceiling_rate, ceiling_burst| Plan {
        rate: 10.0,
        burst: 20.0,
        open: 0.0,
        ceiling_rate,
        ceiling_burst,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 0.5,
    };
    Settings {
        me: GatewayId(0),
        group_size: 3,
        zone: 0,
        classes: vec![
            class(Effect::Safe),
            class(Effect::Unsafe),
            keyed(Group::All),
            keyed(Group::Zone),
            keyed(Group::Cell),
        ],
        plans: vec![plan(0.0, 0.0), plan(20.0, 40.0)],
        rules: Rules {
            cold_from: 0.25,
            warm_after: 10_000.0,
            fall_multiple: 2.0,
            fall_time: 1000.0,
        },
        try_limit: 4,
        second_copies: false,
        max_retry_after: 1000.0,
        mail_per_s: 50.0,
        ask_for_servers: false,
        cancel: true,
        probes: false,
        settles: false,
        meter_period: 0.0,
        shared_counter: false,
        away: 1.0,
        price_cross_zone: 0.0,
        price_peer: 0.0,
    }
}

pub fn server(id: u32) -> Server {
    Server {
        id: ServerId(id),
        zone: id as usize % 3,
        kind: 0,
        cell: id % 2,
        size: 1.0,
        started: None,
        condition: Condition::InService,
    }
}

impl Bench {
    /// A gateway that has run for a minute of quiet with `servers` warm servers.
    pub fn new(settings: Settings, servers: u32) -> Bench {
        let mut bench = Bench::fresh(settings, servers);
        bench.pass(60_000.0);
        bench
    }

    /// A gateway that starts at this moment.
    pub fn fresh(settings: Settings, servers: u32) -> Bench {
        let mut bench = Bench {
            gateway: Gateway::new(settings, 7, 1_000_000.0),
            now: 1_000_000.0,
            next: 0,
        };
        bench.list(Membership::Full((0..servers).map(server).collect()));
        bench
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, news: Membership) -> Vec<Action> {
        self.handle(Event::Membership(news))
    }

    /// Lets time pass in housekeeping steps; returns what was done.
    pub fn pass(&mut self, time: Millis) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 100.0).min(end);
            actions.extend(self.handle(Event::Timer { token: 0 }));
        }
        actions
    }

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
        let id = RequestId(self.next);
        self.next += 1;
        let request = Request {
            id,
            class: ClassId(class),
            plan: PlanId(plan),
            customer: CustomerId(customer),
            remaining,
            units,
            set_size,
            set_first: GatewayId(0),
            ran: None,
        };
        (id, self.handle(Event::Request(request)))
    }

    pub fn ends(
        &mut self,
        id: RequestId,
        attempt: u32,
        at: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.ends_as(id, attempt, at, outcome, outcome == Outcome::Ok)
    }

    /// A good answer with a load report.
    pub fn reports(
        &mut self,
        id: RequestId,
        attempt: u32,
        at: ServerId,
        report: Report,
    ) -> Vec<Action> {
        self.handle(Event::Attempt(Attempt {
            request: id,
            attempt,
            server: at,
            outcome: Outcome::Ok,
            elapsed: 20.0,
            ended: true,
            repeatable: true,
            report,
            units: None,
            metered: None,
        }))
    }

    /// The gateway killed and started again at this moment.
    pub fn reborn(&self, settings: Settings, servers: u32) -> Bench {
        let mut bench = Bench {
            gateway: Gateway::new(settings, 8, self.now),
            now: self.now,
            next: self.next,
        };
        bench.list(Membership::Full((0..servers).map(server).collect()));
        bench
    }

    pub fn ends_as(
        &mut self,
        id: RequestId,
        attempt: u32,
        at: ServerId,
        outcome: Outcome,
        ended: bool,
    ) -> Vec<Action> {
        self.handle(Event::Attempt(Attempt {
            request: id,
            attempt,
            server: at,
            outcome,
            elapsed: 20.0,
            ended,
            repeatable: true,
            report: Report::default(),
            units: None,
            metered: None,
        }))
    }

    /// Sends one request of a new customer and answers it at once.
    pub fn serve(&mut self) -> bool {
        let customer = 1_000_000 + u64::from(self.next);
        let (id, actions) = self.arrive(0, 0, customer);
        match sent(&actions) {
            Some(server) => {
                self.ends(id, 0, server, Outcome::Ok);
                true
            }
            None => false,
        }
    }

    /// Serves `rate` requests a second for `time`.
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

pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub fn told(actions: &[Action], to: u32) -> Vec<Vec<u8>> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Tell { to: peer, bytes } if peer.is_none_or(|p| p == GatewayId(to)) => {
                Some(bytes.clone())
            }
            _ => None,
        })
        .collect()
}

/// A count of a customer of the first plan whose set is the whole group of three.
pub fn count(customer: u64, units: f64) -> gossip::Entry {
    gossip::Entry::Count {
        customer,
        plan: 0,
        first: 0,
        size: 3,
        units,
        asked: units,
    }
}

/// A peer's message: its life and one customer's cumulative units.
pub fn counts(life: u32, customer: u64, units: f64) -> Vec<u8> {
    let mut writer = gossip::Writer::new(life, 0.0, 0.0);
    assert!(writer.push(count(customer, units)));
    writer.finish()
}
