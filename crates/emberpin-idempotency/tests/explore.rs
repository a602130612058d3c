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
    Arrives(u32),
    Served,
    Refused,
    Failed,
    /// A limiter is killed and starts anew; what it had out may run yet.
    Killed(u32),
    Passes(Millis),
    /// A limiter's clock steps back.
    StepsBack(u32),
}

#[derive(Clone)]
struct World {
    limits: Limits,
    time: Millis,
    tables: Vec<Table<Nothing>>,
    /// Each limiter's clock is so far from the true time.
    skew: Vec<Millis>,
    arrivals: u64,
    /// The first that is out, and where.
    out: Option<(u32, Ticket)>,
    /// The key's work may have run; the latest time at which that was so.
    ran: Option<Millis>,
    /// The key was let on although it may have run within its retention.
    twice: bool,
    let_on: u32,
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
        let skew = vec![0.0, 5000.0, -5000.0];
        let tables = skew
            .iter()
            .map(|skew| Table::new(limits.clone(), skew - 10.0 * RETENTION))
            .collect();
        let (time, arrivals, out, ran) = (0.0, 0, None, None);
        World {
            limits,
            time,
            tables,
            skew,
            arrivals,
            out,
            ran,
            twice: false,
            let_on: 0,
        }
    }

    fn tell(&mut self, limiter: u32, event: Event<Nothing>) -> Vec<Action<Nothing>> {
        let mut actions = Vec::new();
        let now = self.time + self.skew[limiter as usize];
        self.tables[limiter as usize].handle(now, event, &mut actions);
        actions
    }

    /// Whether the step can come now; it has then.
    fn take(&mut self, step: Step) -> bool {
        match step {
            Step::Arrives(limiter) => {
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
                if self.tell(limiter, arrived) == [Action::Pass(ticket)] {
                    self.twice |= self.out.is_some();
                    self.twice |= self.ran.is_some_and(|at| self.time < at + RETENTION);
                    self.let_on += 1;
                    self.out = Some((limiter, ticket));
                }
                true
            }
            Step::Served | Step::Refused | Step::Failed => {
                let Some((limiter, ticket)) = self.out.take() else {
                    return false;
                };
                let answer = Nothing;
                let event = match step {
                    Step::Served => Event::Served { ticket, answer },
                    Step::Refused => Event::Refused { ticket, answer },
                    _ => Event::Failed { ticket, answer },
                };
                if !matches!(step, Step::Refused) {
                    self.ran = Some(self.time);
                }
                self.tell(limiter, event);
                true
            }
            Step::Killed(limiter) => {
                if self.out.take_if(|(at, _)| *at == limiter).is_some() {
                    self.ran = Some(self.time);
                }
                let now = self.time + self.skew[limiter as usize];
                self.tables[limiter as usize] = Table::new(self.limits.clone(), now);
                true
            }
            Step::Passes(time) => {
                self.time += time;
                true
            }
            Step::StepsBack(limiter) => {
                self.skew[limiter as usize] -= RETENTION / 2.0;
                true
            }
        }
    }
}

/// What came of all ways to a depth.
#[derive(Default)]
struct Explored {
    ways: u64,
    /// The first way that let the work on twice.
    twice: Option<Vec<Step>>,
    /// Ways on which it was let on again rightly.
    again: u64,
}

fn explore(
    world: &World,
    steps: &[Step],
    depth: usize,
    way: &mut Vec<Step>,
    explored: &mut Explored,
) {
    explored.ways += 1;
    explored.again += u64::from(world.let_on > 1);
    if world.twice && explored.twice.is_none() {
        explored.twice = Some(way.clone());
    }
    if depth == 0 || explored.twice.is_some() {
        return;
    }
    for step in steps {
        let mut next = world.clone();
        if next.take(*step) {
            way.push(*step);
            explore(&next, steps, depth - 1, way, explored);
            way.pop();
        }
    }
}

fn all(quiet: Millis, limiters: &[u32], depth: usize) -> Explored {
    let mut steps = vec![Step::Served, Step::Refused, Step::Failed];
    steps.extend([Step::Passes(RETENTION / 2.0), Step::Passes(RETENTION)]);
    for limiter in limiters {
        steps.extend([
            Step::Arrives(*limiter),
            Step::Killed(*limiter),
            Step::StepsBack(*limiter),
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
fn no_way_signs_twice_within_the_retention() {
    // All three limiters, then deeper with the owner alone: only what comes to it can change anything.
    let own = owner(CUSTOMER, 0, GROUP, GROUP).expect("an owner");
    for (limiters, depth) in [(vec![0, 1, 2], 5), (vec![own], 7)] {
        let explored = all(RETENTION, &limiters, depth);
        assert!(explored.twice.is_none(), "{:?}", explored.twice);
        assert!(
            explored.ways > 100_000 && explored.again > 1000,
            "{} {}",
            explored.ways,
            explored.again
        );
    }
}

/// What the other test shows means nothing unless a table that forgets too soon is found out.
#[test]
fn a_quiet_time_shorter_than_the_retention_is_found_out() {
    let own = owner(CUSTOMER, 0, GROUP, GROUP).expect("an owner");
    for quiet in [0.0, RETENTION / 2.0] {
        assert!(all(quiet, &[own], 5).twice.is_some(), "{quiet}");
    }
}
