//! Arbitrary legal event sequences against the rules that one gateway alone can hold. Outcomes are
//! drawn, not modelled: this is no simulator.
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
    Peer {
        from: u32,
        life: u32,
        customer: u64,
        units: f64,
    },
    List {
        server: u32,
        condition: usize,
        started: bool,
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
            .prop_map(|(from, life, customer, units)| Step::Peer { from, life, customer, units }),
        2 => (0..6u32, 0..3usize, any::<bool>(), any::<bool>())
            .prop_map(|(server, condition, started, full)| Step::List { server, condition, started, full }),
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
struct Watched {
    class: usize,
    deadline: f64,
    closed: bool,
    out: Option<ServerId>,
    attempts: u32,
    sent: f64,
    ran: Option<(f64, ServerId)>,
}

/// A store as the rule counts it: what one gateway alone may draw.
struct Share {
    level: f64,
    at: f64,
    rate: f64,
    burst: f64,
}

impl Share {
    fn draw(&mut self, now: f64, units: f64) -> f64 {
        self.level = (self.level + (now - self.at) * self.rate / 1000.0).min(self.burst) - units;
        self.at = now;
        self.level
    }
}

struct World {
    harness: Harness,
    settings: Settings,
    watched: BTreeMap<RequestId, Watched>,
    draining: BTreeMap<ServerId, ServerStatus>,
    shares: BTreeMap<(u64, u32), Share>,
    started: BTreeMap<ServerId, f64>,
    /// Answers since this life began: before the first, nothing is known of what servers carry.
    served: u32,
    /// When cold servers got work before any answer.
    unproven: BTreeMap<ServerId, Vec<f64>>,
}

impl World {
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
                        .watched
                        .get_mut(request)
                        .expect("a request it was given");
                    prop_assert!(!seen.closed, "sent after the answer");
                    prop_assert!(seen.out.is_none(), "two attempts out");
                    prop_assert!(
                        now + timeout <= seen.deadline + 0.001,
                        "longer than the client waits"
                    );
                    prop_assert!(seen.attempts < self.settings.max_attempts.max(1));
                    let standing = self
                        .draining
                        .get(server)
                        .copied()
                        .unwrap_or(ServerStatus::Removed);
                    prop_assert_eq!(standing, ServerStatus::InService);
                    let started = self
                        .started
                        .get(server)
                        .copied()
                        .unwrap_or(f64::NEG_INFINITY);
                    let cold = now - started < self.settings.slow_start.duration;
                    if cold && self.served == 0 {
                        // Nothing vouches for more than one usual request after the other (125 ms), twice over.
                        let sends = self.unproven.entry(*server).or_default();
                        sends.retain(|at| now - at < self.settings.slow_start.overload_time);
                        sends.push(now);
                        prop_assert!(
                            sends.len() <= 9,
                            "a cold server got work that nothing vouches for"
                        );
                    }
                    if let Some((at, first)) = seen.ran {
                        match self.settings.classes[seen.class].idempotency {
                            Idempotency::Safe => {}
                            Idempotency::Unsafe => prop_assert!(false, "unsafe again"),
                            Idempotency::Keyed {
                                scope: group,
                                window,
                            } => {
                                prop_assert!(now - at < window, "past the window");
                                let apart = match group {
                                    DedupScope::All => 0,
                                    DedupScope::Zone => (first.0 % 3).abs_diff(server.0 % 3),
                                    DedupScope::Cell => (first.0 % 2).abs_diff(server.0 % 2),
                                };
                                prop_assert_eq!(apart, 0, "outside its group");
                            }
                        }
                    }
                    seen.out = Some(*server);
                    seen.sent = now;
                    seen.attempts += 1;
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let seen = self
                        .watched
                        .get_mut(request)
                        .expect("a request it was given");
                    prop_assert!(!seen.closed, "answered twice");
                    prop_assert!(seen.out.is_none(), "answered with an attempt out");
                    seen.closed = true;
                    if matches!(action, Action::Reject { .. }) && seen.ran.is_some() {
                        let harmless = matches!(
                            self.settings.classes[seen.class].idempotency,
                            Idempotency::Safe
                                | Idempotency::Keyed {
                                    scope: DedupScope::All,
                                    ..
                                }
                        );
                        prop_assert!(harmless, "refused what may have run");
                    }
                }
                Action::SendToPeer { bytes, .. } => prop_assert!(bytes.len() <= gossip::MAX_BYTES),
                _ => {}
            }
        }
        Ok(())
    }

    fn play(&mut self, step: Step) -> Result<(), TestCaseError> {
        let open: Vec<RequestId> = self
            .watched
            .iter()
            .filter(|(_, w)| w.out.is_some())
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
                self.watched.insert(
                    id,
                    Watched {
                        class,
                        deadline,
                        ..Watched::default()
                    },
                );
                if plan == 1 && sent_to(&actions).is_some() {
                    let now = self.harness.now;
                    let (rate, burst) = (20.0 / f64::from(set), 40.0 / f64::from(set));
                    let key = (customer, set);
                    let share = self.shares.entry(key).or_insert(Share {
                        level: burst,
                        at: now,
                        rate,
                        burst,
                    });
                    let level = share.draw(now, units);
                    prop_assert!(level > -0.001, "over its share of the ceiling: {}", level);
                }
                self.check(&actions)?;
                let seen = &self.watched[&id];
                prop_assert!(
                    seen.closed || seen.out.is_some(),
                    "neither sent nor answered"
                );
            }
            Step::End { pick, outcome } => {
                let Some(id) = open.get(pick % open.len().max(1)).copied() else {
                    return Ok(());
                };
                let outcome = OUTCOMES[outcome];
                let seen = self.watched.get_mut(&id).expect("open");
                let server = seen.out.take().expect("out");
                if !outcome.never_ran() {
                    seen.ran.get_or_insert((seen.sent, server));
                }
                let ended = outcome == Outcome::Ok;
                let attempt = seen.attempts - 1;
                self.served += u32::from(ended);
                let was_closed = seen.closed;
                seen.closed |= ended;
                let actions =
                    self.harness
                        .end_attempt_as(id, attempt, server, outcome, ended || was_closed);
                self.check(&actions)?;
                let seen = &self.watched[&id];
                prop_assert!(seen.closed || seen.out.is_some(), "left without an answer");
            }
            Step::Abandon { pick } => {
                let Some(id) = open.get(pick % open.len().max(1)).copied() else {
                    return Ok(());
                };
                self.watched.get_mut(&id).expect("open").closed = true;
                let actions = self.harness.handle(Event::Abandoned { request: id });
                self.check(&actions)?;
            }
            Step::Wait { time } => {
                // No attempt outlives its time-out by more than the batch that tells of it.
                let actions = self.harness.advance(time);
                self.check(&actions)?;
                let late: Vec<RequestId> = self
                    .watched
                    .iter()
                    .filter(|(_, w)| w.out.is_some() && self.harness.now >= w.deadline)
                    .map(|(id, _)| *id)
                    .collect();
                for id in late {
                    let seen = self.watched.get_mut(&id).expect("open");
                    let server = seen.out.take().expect("out");
                    seen.ran.get_or_insert((seen.sent, server));
                    let (attempt, closed) = (seen.attempts - 1, seen.closed);
                    let actions =
                        self.harness
                            .end_attempt_as(id, attempt, server, Outcome::Timeout, closed);
                    self.check(&actions)?;
                    prop_assert!(self.watched[&id].closed, "no answer at the deadline");
                }
            }
            Step::Peer {
                from,
                life,
                customer,
                units,
            } => {
                let actions = self.harness.handle(Event::PeerMessage {
                    from: GatewayId(from),
                    bytes: count_message(1_000_000 + life * 40_000, customer, units),
                });
                self.check(&actions)?;
            }
            Step::List {
                server: id,
                condition,
                started,
                full,
            } => {
                let mut line = server(id);
                line.status = [
                    ServerStatus::InService,
                    ServerStatus::Draining,
                    ServerStatus::Removed,
                ][condition];
                line.started_at = started.then_some(self.harness.now);
                if full {
                    self.draining.clear();
                    self.started.clear();
                }
                self.started
                    .insert(ServerId(id), line.started_at.unwrap_or(f64::NEG_INFINITY));
                self.draining.insert(ServerId(id), line.status);
                let news = if full {
                    MembershipUpdate::Full(vec![line])
                } else {
                    MembershipUpdate::Changes(vec![line])
                };
                let actions = self.harness.update_membership(news);
                self.check(&actions)?;
            }
            Step::Restart => {
                let next = self.harness.restarted(self.settings.clone(), 6);
                self.harness = next;
                self.watched.clear();
                self.started.clear();
                self.served = 0;
                self.unproven.clear();
                self.draining = (0..6)
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
        let mut world = World {
            harness: Harness::fresh(settings.clone(), 6),
            settings,
            watched: BTreeMap::new(),
            draining: (0..6)
                .map(|id| (ServerId(id), ServerStatus::InService))
                .collect(),
            shares: BTreeMap::new(),
            started: BTreeMap::new(),
            served: 0,
            unproven: BTreeMap::new(),
        };
        steps.into_iter().try_for_each(|step| world.play(step))
    });
    if let Err(problem) = result {
        panic!("{problem}");
    }
}
