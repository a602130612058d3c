//! Invariants of one gateway under arbitrary legal sequences of events. The outcomes of attempts are drawn at
//! random; no servers are modelled.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;
use common::*;
use emberpin_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        class: usize,
        plan: usize,
        customer: u64,
        units: f64,
        set: u32,
        remaining: f64,
    },
    End {
        pick: usize,
        outcome: usize,
    },
    Abandon {
        pick: usize,
    },
    Wait {
        time: f64,
    },
    PeerCount {
        from: u32,
        incarnation: u32,
        customer: u64,
        units: f64,
    },
    UpdateServer {
        server: u32,
        status: usize,
        restarted: bool,
        full: bool,
    },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        10 => (0..5usize, 0..2usize, 0..4u64, 1..4u32, 20.0..2000.0f64).prop_map(
            |(class, plan, customer, units, remaining)| Step::Arrive {
                class,
                plan,
                customer: customer + 10 * plan as u64,
                units: f64::from(units),
                set: 1 + customer as u32 % 3,
                remaining,
            }
        ),
        10 => (0..1000usize, 0..8usize).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => (0..1000usize).prop_map(|pick| Step::Abandon { pick }),
        5 => (0.0..700.0f64).prop_map(|time| Step::Wait { time }),
        2 => (0..4u32, 0..3u32, 0..4u64, 0.0..100.0f64)
            .prop_map(|(from, incarnation, customer, units)| Step::PeerCount { from, incarnation, customer, units }),
        2 => (0..6u32, 0..3usize, any::<bool>(), any::<bool>())
            .prop_map(|(server, status, restarted, full)| Step::UpdateServer { server, status, restarted, full }),
        1 => Just(Step::Restart),
    ]
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

#[derive(Default)]
struct ExpectedRequest {
    class: usize,
    deadline: Millis,
    closed: bool,
    in_flight: Option<ServerId>,
    attempts: u32,
    sent_at: Millis,
    first_run: Option<(Millis, ServerId)>,
}

/// An independent count of one gateway's share of a rate limit: what it may admit on its own.
struct ShareBucket {
    tokens: f64,
    updated_at: Millis,
    rate: f64,
    burst: f64,
}

impl ShareBucket {
    fn withdraw(&mut self, now: f64, units: f64) -> f64 {
        let refilled = self.tokens + (now - self.updated_at) * self.rate / 1000.0;
        self.tokens = refilled.min(self.burst) - units;
        self.updated_at = now;
        self.tokens
    }
}

/// The gateway under test, and the expected state of its requests and servers.
struct Model {
    harness: Harness,
    settings: Settings,
    requests: BTreeMap<RequestId, ExpectedRequest>,
    statuses: BTreeMap<ServerId, ServerStatus>,
    shares: BTreeMap<(u64, u32), ShareBucket>,
    started_at: BTreeMap<ServerId, f64>,
    /// Answers in this incarnation. Before the first, the throughput of servers is unknown.
    answered: u32,
    /// When servers that are warming up were sent requests before any answer.
    sends_to_cold_servers: BTreeMap<ServerId, Vec<f64>>,
}

impl Model {
    /// Checks the actions against the expected state, and updates it.
    fn check(&mut self, actions: &[Action]) -> Result<(), TestCaseError> {
        let now = self.harness.now;
        for action in actions {
            match action {
                Action::Send {
                    request,
                    server,
                    timeout,
                } => {
                    let expected = self.requests.get_mut(request).expect("a known request");
                    prop_assert!(!expected.closed, "sent after the final answer");
                    prop_assert!(expected.in_flight.is_none(), "two attempts in flight");
                    prop_assert!(
                        now + timeout <= expected.deadline + 0.001,
                        "times out after the deadline of the client"
                    );
                    prop_assert!(expected.attempts < self.settings.max_attempts.max(1));
                    let status = self
                        .statuses
                        .get(server)
                        .copied()
                        .unwrap_or(ServerStatus::Removed);
                    prop_assert_eq!(status, ServerStatus::InService);
                    let started_at = self
                        .started_at
                        .get(server)
                        .copied()
                        .unwrap_or(f64::NEG_INFINITY);
                    let is_warming_up = now - started_at < self.settings.slow_start.duration;
                    if is_warming_up && self.answered == 0 {
                        // Without any answer, the estimate is one request at a time, in 125 ms on average; twice that
                        // rate overloads a server.
                        let sends = self.sends_to_cold_servers.entry(*server).or_default();
                        sends.retain(|at| now - at < self.settings.slow_start.overload_time);
                        sends.push(now);
                        prop_assert!(
                            sends.len() <= 9,
                            "a cold server was sent more than the initial estimate allows"
                        );
                    }
                    if let Some((at, first)) = expected.first_run {
                        match self.settings.classes[expected.class].idempotency {
                            Idempotency::Safe => {}
                            Idempotency::Unsafe => prop_assert!(false, "unsafe request resent"),
                            Idempotency::Keyed { scope, window } => {
                                prop_assert!(now - at < window, "past the window");
                                let distance = match scope {
                                    DedupScope::All => 0,
                                    DedupScope::Zone => (first.0 % 3).abs_diff(server.0 % 3),
                                    DedupScope::Cell => (first.0 % 2).abs_diff(server.0 % 2),
                                };
                                prop_assert_eq!(distance, 0, "outside its deduplication scope");
                            }
                        }
                    }
                    expected.in_flight = Some(*server);
                    expected.sent_at = now;
                    expected.attempts += 1;
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let expected = self.requests.get_mut(request).expect("a known request");
                    prop_assert!(!expected.closed, "answered twice");
                    prop_assert!(
                        expected.in_flight.is_none(),
                        "answered with an attempt in flight"
                    );
                    expected.closed = true;
                    if matches!(action, Action::Reject { .. }) && expected.first_run.is_some() {
                        let harmless = matches!(
                            self.settings.classes[expected.class].idempotency,
                            Idempotency::Safe
                                | Idempotency::Keyed {
                                    scope: DedupScope::All,
                                    ..
                                }
                        );
                        prop_assert!(harmless, "rejected although it may have run");
                    }
                }
                Action::SendToPeer { bytes, .. } => prop_assert!(bytes.len() <= gossip::MAX_BYTES),
                _ => {}
            }
        }
        Ok(())
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        let in_flight: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.in_flight.is_some())
            .map(|(id, _)| *id)
            .collect();
        match step {
            Step::Arrive {
                class,
                plan,
                customer,
                units,
                set,
                remaining,
            } => {
                let (id, actions) = self
                    .harness
                    .arrive_for(class, plan, customer, units, set, remaining);
                let deadline = self.harness.now + remaining;
                self.requests.insert(
                    id,
                    ExpectedRequest {
                        class,
                        deadline,
                        ..ExpectedRequest::default()
                    },
                );
                if plan == 1 && sent_to(&actions).is_some() {
                    let now = self.harness.now;
                    let (rate, burst) = (20.0 / f64::from(set), 40.0 / f64::from(set));
                    let key = (customer, set);
                    let share = self.shares.entry(key).or_insert(ShareBucket {
                        tokens: burst,
                        updated_at: now,
                        rate,
                        burst,
                    });
                    let tokens = share.withdraw(now, units);
                    prop_assert!(
                        tokens > -0.001,
                        "beyond its share of the rate limit: {}",
                        tokens
                    );
                }
                self.check(&actions)?;
                let expected = &self.requests[&id];
                prop_assert!(
                    expected.closed || expected.in_flight.is_some(),
                    "neither sent nor answered"
                );
            }
            Step::End { pick, outcome } => {
                let Some(id) = in_flight.get(pick % in_flight.len().max(1)).copied() else {
                    return Ok(());
                };
                let outcome = OUTCOMES[outcome];
                let expected = self
                    .requests
                    .get_mut(&id)
                    .expect("a request with an attempt in flight");
                let server = expected.in_flight.take().expect("an attempt in flight");
                if !outcome.never_ran() {
                    expected.first_run.get_or_insert((expected.sent_at, server));
                }
                let ended = outcome == Outcome::Ok;
                let attempt = expected.attempts - 1;
                self.answered += u32::from(ended);
                let was_closed = expected.closed;
                expected.closed |= ended;
                let actions =
                    self.harness
                        .end_attempt_as(id, attempt, server, outcome, ended || was_closed);
                self.check(&actions)?;
                let expected = &self.requests[&id];
                prop_assert!(
                    expected.closed || expected.in_flight.is_some(),
                    "left without an answer"
                );
            }
            Step::Abandon { pick } => {
                let Some(id) = in_flight.get(pick % in_flight.len().max(1)).copied() else {
                    return Ok(());
                };
                self.requests
                    .get_mut(&id)
                    .expect("a request with an attempt in flight")
                    .closed = true;
                let actions = self.harness.handle(Event::Abandoned { request: id });
                self.check(&actions)?;
            }
            Step::Wait { time } => {
                // An attempt that times out is reported with the next batch of events.
                let actions = self.harness.advance(time);
                self.check(&actions)?;
                let overdue: Vec<RequestId> = self
                    .requests
                    .iter()
                    .filter(|(_, request)| {
                        request.in_flight.is_some() && self.harness.now >= request.deadline
                    })
                    .map(|(id, _)| *id)
                    .collect();
                for id in overdue {
                    let expected = self
                        .requests
                        .get_mut(&id)
                        .expect("a request with an attempt in flight");
                    let server = expected.in_flight.take().expect("an attempt in flight");
                    expected.first_run.get_or_insert((expected.sent_at, server));
                    let (attempt, closed) = (expected.attempts - 1, expected.closed);
                    let actions =
                        self.harness
                            .end_attempt_as(id, attempt, server, Outcome::Timeout, closed);
                    self.check(&actions)?;
                    prop_assert!(self.requests[&id].closed, "no answer at the deadline");
                }
            }
            Step::PeerCount {
                from,
                incarnation,
                customer,
                units,
            } => {
                let actions = self.harness.handle(Event::PeerMessage {
                    from: GatewayId(from),
                    bytes: count_message(1_000_000 + incarnation * 40_000, customer, units),
                });
                self.check(&actions)?;
            }
            Step::UpdateServer {
                server: id,
                status,
                restarted,
                full,
            } => {
                let mut entry = server(id);
                entry.status = [
                    ServerStatus::InService,
                    ServerStatus::Draining,
                    ServerStatus::Removed,
                ][status];
                entry.started_at = restarted.then_some(self.harness.now);
                if full {
                    self.statuses.clear();
                    self.started_at.clear();
                }
                self.started_at
                    .insert(ServerId(id), entry.started_at.unwrap_or(f64::NEG_INFINITY));
                self.statuses.insert(ServerId(id), entry.status);
                let update = if full {
                    MembershipUpdate::Full(vec![entry])
                } else {
                    MembershipUpdate::Changes(vec![entry])
                };
                let actions = self.harness.update_membership(update);
                self.check(&actions)?;
            }
            Step::Restart => {
                let next = self.harness.restarted(self.settings.clone(), 6);
                self.harness = next;
                self.requests.clear();
                self.started_at.clear();
                self.answered = 0;
                self.sends_to_cold_servers.clear();
                self.statuses = (0..6)
                    .map(|id| (ServerId(id), ServerStatus::InService))
                    .collect();
            }
        }
        Ok(())
    }
}

#[test]
fn any_sequence_of_events_keeps_the_invariants_of_one_gateway() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..300);
    let result = runner.run(&steps, |steps| {
        let settings = settings();
        let mut model = Model {
            harness: Harness::just_started(settings.clone(), 6),
            settings,
            requests: BTreeMap::new(),
            statuses: (0..6)
                .map(|id| (ServerId(id), ServerStatus::InService))
                .collect(),
            shares: BTreeMap::new(),
            started_at: BTreeMap::new(),
            answered: 0,
            sends_to_cold_servers: BTreeMap::new(),
        };
        steps.into_iter().try_for_each(|step| model.apply(step))
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
}
