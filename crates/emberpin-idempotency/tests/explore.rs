//! Explores all sequences of a few events up to a depth: one key of one customer at three limiters, a first request and
//! two repeats, outcomes, kills with a request in flight, elapsed time, and clocks that step back. No sequence may
//! forward the key's request a second time within its retention period, unless it is known never to have run.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_idempotency::*;

const GROUP: u32 = 3;
const CUSTOMER: Customer = Customer(42);
const RETENTION: Millis = 1000.0;
const ARRIVALS: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Nothing;

impl SizeInBytes for Nothing {
    fn size_bytes(&self) -> usize {
        0
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The request, or a repeat of it, arrives at a limiter.
    Arrive(u32),
    Served,
    Rejected,
    Failed,
    /// A limiter is killed and restarts. The request that it had in flight may still run.
    Kill(u32),
    Elapse(Millis),
    /// A limiter's clock steps back.
    ClockSetBack(u32),
}

#[derive(Clone)]
struct World {
    limits: Limits,
    time: Millis,
    tables: Vec<Table<Nothing>>,
    /// The offset of each limiter's clock from the true time.
    clock_offset: Vec<Millis>,
    arrivals: u64,
    /// The first request in flight, and the limiter that forwarded it.
    in_flight: Option<(u32, Ticket)>,
    /// The latest time at which the request may have run, if it may.
    last_ran_at: Option<Millis>,
    /// Whether the request was forwarded although it may have run within the retention period, or was still in flight.
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
        // The clocks of two limiters differ from the true time by five seconds each way. All limiters started ten
        // retention periods ago.
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

    /// Performs a step. Returns false if it is not possible in this state.
    fn perform(&mut self, step: Step) -> bool {
        match step {
            Step::Arrive(limiter) => {
                if self.arrivals == ARRIVALS {
                    return false;
                }
                let ticket = Ticket(self.arrivals);
                self.arrivals += 1;
                // As in the host, a request for another limiter's key does not reach the table.
                if owner(CUSTOMER, 0, GROUP, GROUP) != Some(limiter) {
                    return true;
                }
                let key = Key::parse("k", Form::QuotedOrBare).expect("a key");
                let fingerprint =
                    Fingerprint::compute(&Secret::new([0; 32]), "POST", "/api", 1, b"");
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
            Step::ClockSetBack(limiter) => {
                self.clock_offset[limiter as usize] -= RETENTION / 2.0;
                true
            }
        }
    }
}

/// The results of all sequences up to a depth.
#[derive(Default)]
struct Explored {
    sequences: u64,
    /// The first sequence that forwarded the request twice.
    forwarded_twice: Option<Vec<Step>>,
    /// The number of sequences that rightly forwarded the request again.
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
            Step::ClockSetBack(*limiter),
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
    // All three limiters, then deeper with the owner alone: only requests at the owner reach a table.
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

/// The exploration must be able to detect a table that forgets a key too early.
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
