//! Every way in which a few events can come, explored to a depth: one key of one customer, three limiters, a first
//! and two repeats, outcomes, kills with the attempt out, time, and clocks that step back. No way may let the
//! key's work on twice within its retention unless it is known never to have run.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_idempotency::*;

const GROUP: u32 = 3;
const CUSTOMER: Customer = Customer(42);
const RETENTION: Millis = 1000.0;
const ARRIVALS: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Nothing;

impl Weight for Nothing {
    fn weight(&self) -> usize {
        0
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The request, or a repeat of it, comes to a limiter.
    Arrive(u32),
    Served,
    Rejected,
    Failed,
    /// A limiter is killed and starts anew; what it had out may run yet.
    Kill(u32),
    Elapse(Millis),
    /// A limiter's clock steps back.
    StepClockBack(u32),
}

#[derive(Clone)]
struct World {
    limits: Limits,
    time: Millis,
    tables: Vec<Table<Nothing>>,
    /// Each limiter's clock is so far from the true time.
    clock_offset: Vec<Millis>,
    arrivals: u64,
    /// The first that is out, and where.
    in_flight: Option<(u32, Ticket)>,
    /// The key's work may have run; the latest time at which that was so.
    last_ran_at: Option<Millis>,
    /// The key was let on although it may have run within its retention.
    forwarded_twice: bool,
    forwarded: u32,
}

impl World {
    fn new(quiet: Millis) -> World {
        let limits = Limits {
            entries: 4,
            answer_bytes: 0,
            waiters_per_key: 4,
            waiters_per_customer: 4,
            customer_share: 1.0,
            retention: RETENTION,
            quiet,
            wait: true,
            recorded: false,
        };
        // The clocks of two limiters are five seconds apart; all have long been up.
        let clock_offset = vec![0.0, 5000.0, -5000.0];
        let tables = clock_offset
            .iter()
            .map(|clock_offset| Table::new(limits.clone(), clock_offset - 10.0 * RETENTION))
            .collect();
        let (time, arrivals, in_flight, last_ran_at) = (0.0, 0, None, None);
        World {
            limits,
            time,
            tables,
            clock_offset,
            arrivals,
            in_flight,
            last_ran_at,
            forwarded_twice: false,
            forwarded: 0,
        }
    }

    fn handle_at(&mut self, limiter: u32, event: Event<Nothing>) -> Vec<Action<Nothing>> {
        let mut actions = Vec::new();
        let now = self.time + self.clock_offset[limiter as usize];
        self.tables[limiter as usize].handle(now, event, &mut actions);
        actions
    }

    /// Whether the step can come now; it has then.
    fn perform(&mut self, step: Step) -> bool {
        match step {
            Step::Arrive(limiter) => {
                if self.arrivals == ARRIVALS {
                    return false;
                }
                let ticket = Ticket(self.arrivals);
                self.arrivals += 1;
                // As the host does it: another limiter's keys are sent away.
                if owner(CUSTOMER, 0, GROUP, GROUP) != Some(limiter) {
                    return true;
                }
                let key = Key::parse("k", Form::QuotedOrBare).expect("a key");
                let fingerprint = Fingerprint::of(&Secret::new([0; 32]), "POST", "/api", 1, b"");
                let arrived = Event::Arrived {
                    ticket,
                    customer: CUSTOMER,
                    key,
                    fingerprint,
                };
                if self.handle_at(limiter, arrived) == [Action::Forward(ticket)] {
                    self.forwarded_twice |= self.in_flight.is_some();
                    self.forwarded_twice |= self
                        .last_ran_at
                        .is_some_and(|at| self.time < at + RETENTION);
                    self.forwarded += 1;
                    self.in_flight = Some((limiter, ticket));
                }
                true
            }
            Step::Served | Step::Rejected | Step::Failed => {
                let Some((limiter, ticket)) = self.in_flight.take() else {
                    return false;
                };
                let answer = Nothing;
                let event = match step {
                    Step::Served => Event::Served { ticket, answer },
                    Step::Rejected => Event::Rejected { ticket, answer },
                    _ => Event::Failed { ticket, answer },
                };
                if !matches!(step, Step::Rejected) {
                    self.last_ran_at = Some(self.time);
                }
                self.handle_at(limiter, event);
                true
            }
            Step::Kill(limiter) => {
                if self.in_flight.take_if(|(at, _)| *at == limiter).is_some() {
                    self.last_ran_at = Some(self.time);
                }
                let now = self.time + self.clock_offset[limiter as usize];
                self.tables[limiter as usize] = Table::new(self.limits.clone(), now);
                true
            }
            Step::Elapse(time) => {
                self.time += time;
                true
            }
            Step::StepClockBack(limiter) => {
                self.clock_offset[limiter as usize] -= RETENTION / 2.0;
                true
            }
        }
    }
}

/// What came of all ways to a depth.
#[derive(Default)]
struct Explored {
    sequences: u64,
    /// The first way that let the work on twice.
    forwarded_twice: Option<Vec<Step>>,
    /// Ways on which it was let on again rightly.
    forwarded_again: u64,
}

fn explore(
    world: &World,
    steps: &[Step],
    depth: usize,
    sequence: &mut Vec<Step>,
    explored: &mut Explored,
) {
    explored.sequences += 1;
    explored.forwarded_again += u64::from(world.forwarded > 1);
    if world.forwarded_twice && explored.forwarded_twice.is_none() {
        explored.forwarded_twice = Some(sequence.clone());
    }
    if depth == 0 || explored.forwarded_twice.is_some() {
        return;
    }
    for step in steps {
        let mut next = world.clone();
        if next.perform(*step) {
            sequence.push(*step);
            explore(&next, steps, depth - 1, sequence, explored);
            sequence.pop();
        }
    }
}

fn explore_all(quiet: Millis, limiters: &[u32], depth: usize) -> Explored {
    let mut steps = vec![Step::Served, Step::Rejected, Step::Failed];
    steps.extend([Step::Elapse(RETENTION / 2.0), Step::Elapse(RETENTION)]);
    for limiter in limiters {
        steps.extend([
            Step::Arrive(*limiter),
            Step::Kill(*limiter),
            Step::StepClockBack(*limiter),
        ]);
    }
    let mut explored = Explored::default();
    explore(
        &World::new(quiet),
        &steps,
        depth,
        &mut Vec::new(),
        &mut explored,
    );
    explored
}

#[test]
fn no_sequence_of_events_forwards_a_request_twice_within_the_retention() {
    // All three limiters, then deeper with the owner alone: only what comes to it can change anything.
    let owner_number = owner(CUSTOMER, 0, GROUP, GROUP).expect("an owner");
    for (limiters, depth) in [(vec![0, 1, 2], 5), (vec![owner_number], 7)] {
        let explored = explore_all(RETENTION, &limiters, depth);
        assert!(
            explored.forwarded_twice.is_none(),
            "{:?}",
            explored.forwarded_twice
        );
        assert!(
            explored.sequences > 100_000 && explored.forwarded_again > 1000,
            "{} {}",
            explored.sequences,
            explored.forwarded_again
        );
    }
}

/// What the other test shows means nothing unless a table that forgets too soon is found out.
#[test]
fn a_quiet_period_shorter_than_the_retention_forwards_a_request_twice() {
    let owner_number = owner(CUSTOMER, 0, GROUP, GROUP).expect("an owner");
    for quiet in [0.0, RETENTION / 2.0] {
        assert!(
            explore_all(quiet, &[owner_number], 5)
                .forwarded_twice
                .is_some(),
            "{quiet}"
        );
    }
}
