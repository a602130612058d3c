//! Invariants that one gateway holds by itself, under arbitrary legal sequences of events. Outcomes are drawn, not
//! modelled: this is no simulator.
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

/// A gateway's share of a rate limit, counted independently: what it alone may admit.
struct ShareBucket {
    tokens: f64,
    updated_at: Millis,
    rate: f64,
    burst: f64,
}

impl ShareBucket {
    fn draw(&mut self, now: f64, units: f64) -> f64 {
        let refilled = self.tokens + (now - self.updated_at) * self.rate / 1000.0;
        self.tokens = refilled.min(self.burst) - units;
        self.updated_at = now;
        self.tokens
    }
}

struct Model {
    harness: Harness,
    settings: Settings,
    requests: BTreeMap<RequestId, ExpectedRequest>,
    statuses: BTreeMap<ServerId, ServerStatus>,
    shares: BTreeMap<(u64, u32), ShareBucket>,
    started_at: BTreeMap<ServerId, f64>,
    /// Answers since this incarnation began: before the first, nothing is known of what servers carry.
    answered: u32,
    /// When servers that warm up were sent requests before any answer.
    cold_sends: BTreeMap<ServerId, Vec<f64>>,
}

impl Model {
    fn check(&mut self, actions: &[Action]) -> Result<(), TestCaseError> {
        let now = self.harness.now;
        for action in actions {
            match action {
                Action::Send {
                    request,
                    server,
                    timeout,
                } => {
                    let seen = self
                        .requests
                        .get_mut(request)
                        .expect("a request it was given");
                    prop_assert!(!seen.closed, "sent after the answer");
                    prop_assert!(seen.in_flight.is_none(), "two attempts in flight");
                    prop_assert!(
                        now + timeout <= seen.deadline + 0.001,
                        "longer than the client waits"
                    );
                    prop_assert!(seen.attempts < self.settings.max_attempts.max(1));
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
                    let cold = now - started_at < self.settings.slow_start.duration;
                    if cold && self.answered == 0 {
                        // Nothing supports more than one mean request after the other (125 ms), twice over.
                        let sends = self.cold_sends.entry(*server).or_default();
                        sends.retain(|at| now - at < self.settings.slow_start.overload_time);
                        sends.push(now);
                        prop_assert!(
                            sends.len() <= 9,
                            "a cold server was sent more than anything supports"
                        );
                    }
                    if let Some((at, first)) = seen.first_run {
                        match self.settings.classes[seen.class].idempotency {
                            Idempotency::Safe => {}
                            Idempotency::Unsafe => prop_assert!(false, "unsafe again"),
                            Idempotency::Keyed { scope, window } => {
                                prop_assert!(now - at < window, "past the window");
                                let distance = match scope {
                                    DedupScope::All => 0,
                                    DedupScope::Zone => (first.0 % 3).abs_diff(server.0 % 3),
                                    DedupScope::Cell => (first.0 % 2).abs_diff(server.0 % 2),
                                };
                                prop_assert_eq!(distance, 0, "outside its scope");
                            }
                        }
                    }
                    seen.in_flight = Some(*server);
                    seen.sent_at = now;
                    seen.attempts += 1;
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let seen = self
                        .requests
                        .get_mut(request)
                        .expect("a request it was given");
                    prop_assert!(!seen.closed, "answered twice");
                    prop_assert!(
                        seen.in_flight.is_none(),
                        "answered with an attempt in flight"
                    );
                    seen.closed = true;
                    if matches!(action, Action::Reject { .. }) && seen.first_run.is_some() {
                        let harmless = matches!(
                            self.settings.classes[seen.class].idempotency,
                            Idempotency::Safe
                                | Idempotency::Keyed {
                                    scope: DedupScope::All,
                                    ..
                                }
                        );
                        prop_assert!(harmless, "rejected what may have run");
                    }
                }
                Action::SendToPeer { bytes, .. } => prop_assert!(bytes.len() <= gossip::MAX_BYTES),
                _ => {}
            }
        }
        Ok(())
    }

    fn play(&mut self, step: Step) -> Result<(), TestCaseError> {
        let in_flight: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, w)| w.in_flight.is_some())
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
                    let tokens = share.draw(now, units);
                    prop_assert!(
                        tokens > -0.001,
                        "over its share of the rate limit: {}",
                        tokens
                    );
                }
                self.check(&actions)?;
                let seen = &self.requests[&id];
                prop_assert!(
                    seen.closed || seen.in_flight.is_some(),
                    "neither sent nor answered"
                );
            }
            Step::End { pick, outcome } => {
                let Some(id) = in_flight.get(pick % in_flight.len().max(1)).copied() else {
                    return Ok(());
                };
                let outcome = OUTCOMES[outcome];
                let seen = self
                    .requests
                    .get_mut(&id)
                    .expect("a request with an attempt in flight");
                let server = seen.in_flight.take().expect("an attempt in flight");
                if !outcome.never_ran() {
                    seen.first_run.get_or_insert((seen.sent_at, server));
                }
                let ended = outcome == Outcome::Ok;
                let attempt = seen.attempts - 1;
                self.answered += u32::from(ended);
                let was_closed = seen.closed;
                seen.closed |= ended;
                let actions =
                    self.harness
                        .end_attempt_as(id, attempt, server, outcome, ended || was_closed);
                self.check(&actions)?;
                let seen = &self.requests[&id];
                prop_assert!(
                    seen.closed || seen.in_flight.is_some(),
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
                // No attempt outlives its time-out by more than the batch that reports its end.
                let actions = self.harness.advance(time);
                self.check(&actions)?;
                let late: Vec<RequestId> = self
                    .requests
                    .iter()
                    .filter(|(_, w)| w.in_flight.is_some() && self.harness.now >= w.deadline)
                    .map(|(id, _)| *id)
                    .collect();
                for id in late {
                    let seen = self
                        .requests
                        .get_mut(&id)
                        .expect("a request with an attempt in flight");
                    let server = seen.in_flight.take().expect("an attempt in flight");
                    seen.first_run.get_or_insert((seen.sent_at, server));
                    let (attempt, closed) = (seen.attempts - 1, seen.closed);
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
                self.cold_sends.clear();
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
            harness: Harness::fresh(settings.clone(), 6),
            settings,
            requests: BTreeMap::new(),
            statuses: (0..6)
                .map(|id| (ServerId(id), ServerStatus::InService))
                .collect(),
            shares: BTreeMap::new(),
            started_at: BTreeMap::new(),
            answered: 0,
            cold_sends: BTreeMap::new(),
        };
        steps.into_iter().try_for_each(|step| model.play(step))
    });
    if let Err(problem) = result {
        panic!("{problem}");
    }
}
