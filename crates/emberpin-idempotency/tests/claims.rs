//! Claims of three and five limiters over a network that loses, cuts and holds, with kills, logs and hops, drawn from seeds:
//! no key is let on twice within its retention, every request has one answer, and once all is well keys are served.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_idempotency::claims::*;
use emberpin_idempotency::{
    Customer, Fingerprint, Form, Key, Limits, Millis, Record, Secret, Telling, Ticket, Weight,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug, PartialEq)]
enum Answer {
    Signed(u64),
    Refused,
    Failed,
}

impl Weight for Answer {
    fn weight(&self) -> usize {
        8
    }
}

const RETENTION: Millis = 20_000.0;
const PATIENCE: Millis = 500.0;
const KEYS: u64 = 3;

/// xorshift64*: a seed gives the same run on every machine.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) % bound.max(1)
    }
}

fn limits(recorded: bool, quiet: Millis) -> Limits {
    Limits {
        entries: 1000,
        answer_bytes: 8000,
        waiters_per_key: 50,
        waiters_per_customer: 80,
        customer_share: 1.0,
        retention: RETENTION,
        quiet,
        wait: true,
        recorded,
    }
}

fn rules(me: u32, of: u32, copies: usize) -> Rules {
    Rules {
        me: Member(me),
        members: (0..of).map(Member).collect(),
        copies,
        ask_within: 200.0,
        slack: 300.0,
        waiters_per_key: 50,
        owed: 100,
        takes_over: false,
        first_claim: 0,
    }
}

fn key(n: u64) -> Key {
    Key::parse(&format!("k{n}"), Form::QuotedOrBare).expect("a key")
}

struct Node {
    claims: Option<Claims<Answer>>,
    /// On the disk.
    log: Vec<Record<Answer>>,
    /// On the way there.
    writing: VecDeque<(Record<Answer>, Option<Ticket>)>,
    /// Requests that were let on here and have no outcome yet.
    out: Vec<(Ticket, u64)>,
}

struct World {
    copies: usize,
    logs: bool,
    now: Millis,
    draw: Draw,
    nodes: Vec<Node>,
    wires: BTreeMap<(usize, usize), VecDeque<Said<Answer>>>,
    cut: BTreeSet<(usize, usize)>,
    next: u64,
    /// Requests without an answer: at which limiter, for which key, until when.
    open: BTreeMap<(usize, Ticket), (u64, Millis)>,
    /// The same of all that ever came.
    asked: BTreeMap<(usize, Ticket), (u64, Millis)>,
    /// When a key's work may last have run.
    ran: BTreeMap<u64, Millis>,
    twice: Option<u64>,
    signed: u64,
    told: BTreeMap<&'static str, u64>,
    messages: u64,
}

impl World {
    fn new(seed: u64, of: u32, copies: usize, logs: bool) -> World {
        let mut world = World {
            copies,
            logs,
            now: 0.0,
            draw: Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            nodes: Vec::new(),
            wires: BTreeMap::new(),
            cut: BTreeSet::new(),
            next: 0,
            open: BTreeMap::new(),
            asked: BTreeMap::new(),
            ran: BTreeMap::new(),
            twice: None,
            signed: 0,
            told: BTreeMap::new(),
            messages: 0,
        };
        for n in 0..of {
            let claims = Claims::new(rules(n, of, copies), limits(logs, 0.0), 0.0);
            world.nodes.push(Node {
                claims: Some(claims),
                log: Vec::new(),
                writing: VecDeque::new(),
                out: Vec::new(),
            });
        }
        world.meet();
        world
    }

    /// Whoever has a connection hears of it, on both sides.
    fn meet(&mut self) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if a != b {
                    let reaches = self.nodes[b].claims.is_some()
                        && !self.cut.contains(&(a, b))
                        && !self.cut.contains(&(b, a));
                    if !reaches {
                        self.wires.remove(&(a, b));
                    }
                    self.feed(
                        a,
                        Event::Reaches {
                            member: Member(b as u32),
                            reaches,
                        },
                    );
                }
            }
        }
    }

    fn feed(&mut self, at: usize, event: Event<Answer>) {
        let Some(claims) = self.nodes[at].claims.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        claims.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Pass(ticket) => self.pass(at, ticket),
                Action::Hold(_) | Action::Drop(_) => {}
                Action::Tell(ticket, told) => {
                    assert!(
                        self.open.remove(&(at, ticket)).is_some(),
                        "a second answer to {ticket:?} at {at}"
                    );
                    let word = match told {
                        Told::NoMajority => "no majority",
                        Told::Telling(Telling::Own(_)) => "own",
                        Told::Telling(Telling::Replay(_)) => "replay",
                        Told::Telling(Telling::Unknown) => "unknown",
                        Told::Telling(_) => "other",
                    };
                    *self.told.entry(word).or_default() += 1;
                }
                Action::Record(record, ticket) => {
                    self.nodes[at].writing.push_back((record, ticket));
                }
                Action::Say(to, said) => {
                    self.messages += 1;
                    self.wires
                        .entry((at, to.0 as usize))
                        .or_default()
                        .push_back(said);
                }
            }
        }
    }

    fn pass(&mut self, at: usize, ticket: Ticket) {
        // Its client may have left, where a repeat waits for it.
        let (key, until) = self.asked[&(at, ticket)];
        self.run(at, ticket, key, until);
    }

    fn run(&mut self, at: usize, ticket: Ticket, key: u64, until: Millis) {
        if self.now >= until {
            // The driver begins nothing for a client that has given up.
            return self.feed(
                at,
                Event::Refused {
                    ticket,
                    answer: Answer::Refused,
                },
            );
        }
        if self
            .ran
            .get(&key)
            .is_some_and(|ran| self.now < ran + RETENTION)
        {
            self.twice = Some(key);
        }
        self.ran.insert(key, self.now);
        self.nodes[at].out.push((ticket, key));
    }

    fn arrive(&mut self, at: usize, number: u64) {
        if self.nodes[at].claims.is_none() {
            return;
        }
        self.next += 1;
        let ticket = Ticket(self.next);
        let until = self.now + PATIENCE;
        self.open.insert((at, ticket), (number, until));
        self.asked.insert((at, ticket), (number, until));
        let fingerprint =
            Fingerprint::of(&Secret::new([1; 32]), "POST", "/", 1, &number.to_le_bytes());
        let (customer, key) = (Customer(number % 2), key(number));
        self.feed(
            at,
            Event::Arrived {
                ticket,
                customer,
                key,
                fingerprint,
                within: PATIENCE,
            },
        );
    }

    /// The oldest message on a drawn wire arrives.
    fn deliver(&mut self) {
        let full: Vec<(usize, usize)> = self
            .wires
            .iter()
            .filter(|(wire, said)| !said.is_empty() && !self.cut.contains(wire))
            .map(|(wire, _)| *wire)
            .collect();
        if full.is_empty() {
            return;
        }
        let (from, to) = full[self.draw.below(full.len() as u64) as usize];
        let said = self
            .wires
            .get_mut(&(from, to))
            .and_then(VecDeque::pop_front)
            .expect("one");
        self.feed(
            to,
            Event::Heard {
                from: Member(from as u32),
                said,
            },
        );
    }

    fn write(&mut self, at: usize) {
        if let Some((record, ticket)) = self.nodes[at].writing.pop_front() {
            self.nodes[at].log.push(record);
            if let Some(ticket) = ticket {
                self.feed(at, Event::Written { ticket });
            }
        }
    }

    fn finish(&mut self, at: usize) {
        if self.nodes[at].out.is_empty() {
            return;
        }
        let which = self.draw.below(self.nodes[at].out.len() as u64) as usize;
        let (ticket, key) = self.nodes[at].out.remove(which);
        let event = match self.draw.below(6) {
            0 => {
                // Known never to have run.
                self.ran.remove(&key);
                Event::Refused {
                    ticket,
                    answer: Answer::Refused,
                }
            }
            1 => {
                self.ran.insert(key, self.now);
                Event::Failed {
                    ticket,
                    answer: Answer::Failed,
                }
            }
            _ => {
                self.signed += 1;
                self.ran.insert(key, self.now);
                Event::Served {
                    ticket,
                    answer: Answer::Signed(key),
                }
            }
        };
        self.feed(at, event);
    }

    fn kill(&mut self, at: usize) {
        if self.nodes[at].claims.take().is_none() {
            return;
        }
        // Of what was on its way to the disk, any part came there.
        let kept = self.draw.below(self.nodes[at].writing.len() as u64 + 1);
        for _ in 0..kept {
            if let Some((record, _)) = self.nodes[at].writing.pop_front() {
                self.nodes[at].log.push(record);
            }
        }
        self.nodes[at].writing.clear();
        // What was out may run until now.
        for (_, key) in std::mem::take(&mut self.nodes[at].out) {
            self.ran.insert(key, self.now);
        }
        self.open.retain(|(node, _), _| *node != at);
        self.wires.retain(|(a, b), _| *a != at && *b != at);
        self.meet();
    }

    fn start(&mut self, at: usize) {
        if self.nodes[at].claims.is_some() {
            return;
        }
        let of = self.nodes.len() as u32;
        let quiet = if self.logs { 0.0 } else { RETENTION };
        let mut claims = Claims::new(
            rules(at as u32, of, self.copies),
            limits(self.logs, quiet),
            self.now,
        );
        if self.logs {
            for record in &self.nodes[at].log {
                claims.table_mut().restore(record.clone(), true);
            }
        }
        claims.table_mut().restored();
        self.nodes[at].claims = Some(claims);
        for other in (0..self.nodes.len()).filter(|other| *other != at) {
            self.feed(
                other,
                Event::NewLife {
                    member: Member(at as u32),
                },
            );
        }
        self.meet();
    }

    fn pass_time(&mut self, time: Millis) {
        self.now += time;
        let late: Vec<(usize, Ticket)> = self
            .open
            .iter()
            .filter(|(_, (_, until))| *until <= self.now)
            .map(|(name, _)| *name)
            .collect();
        for (at, ticket) in late {
            self.open.remove(&(at, ticket));
            self.feed(at, Event::Left { ticket });
        }
        for at in 0..self.nodes.len() {
            self.feed(at, Event::Tick);
        }
    }

    fn step(&mut self) {
        let nodes = self.nodes.len() as u64;
        let (a, b) = (
            self.draw.below(nodes) as usize,
            self.draw.below(nodes) as usize,
        );
        match self.draw.below(100) {
            0..=14 => {
                let number = self.draw.below(KEYS);
                self.arrive(a, number);
            }
            15..=54 => self.deliver(),
            55..=69 => self.write(a),
            70..=79 => self.finish(a),
            80..=89 => {
                let time = self.draw.below(120) as f64;
                self.pass_time(time);
            }
            90..=92 => self.kill(a),
            93..=95 => self.start(a),
            96 | 97 if a != b => {
                self.cut.insert((a, b));
                self.meet();
            }
            _ => {
                self.cut.clear();
                self.meet();
            }
        }
    }

    /// All is well from now on, and everything that is on its way arrives.
    fn settle(&mut self) {
        self.cut.clear();
        for at in 0..self.nodes.len() {
            self.start(at);
        }
        self.meet();
        // Longer than any claim that was out can stand in a holder's way.
        for _ in 0..90 {
            for _ in 0..100 {
                self.deliver();
            }
            for at in 0..self.nodes.len() {
                while !self.nodes[at].writing.is_empty() {
                    self.write(at);
                }
                while let Some((ticket, key)) = self.nodes[at].out.pop() {
                    self.signed += 1;
                    self.ran.insert(key, self.now);
                    self.feed(
                        at,
                        Event::Served {
                            ticket,
                            answer: Answer::Signed(key),
                        },
                    );
                }
            }
            self.pass_time(10.0);
        }
    }
}

fn seeds() -> u64 {
    std::env::var("CLAIMS_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(120)
}

fn explore(of: u32, copies: usize, logs: bool) -> BTreeMap<&'static str, u64> {
    let mut all = BTreeMap::new();
    for seed in 0..seeds() {
        let mut world = World::new(seed, of, copies, logs);
        for _ in 0..300 {
            world.step();
            assert_eq!(world.twice, None, "seed {seed}: a key was let on twice");
        }
        world.settle();
        assert_eq!(world.twice, None, "seed {seed}: a key was let on twice");
        assert!(
            world.open.is_empty(),
            "seed {seed}: {:?} without an answer",
            world.open
        );
        if logs {
            // Whatever came before: a new key is served wherever it comes, with one attempt.
            for at in 0..of as usize {
                let (number, signed) = (100 + at as u64, world.signed);
                world.arrive(at, number);
                world.arrive(at, number);
                world.arrive((at + 1) % of as usize, number);
                world.settle();
                assert_eq!(world.signed, signed + 1, "seed {seed}: a new key at {at}");
                assert!(world.open.is_empty(), "seed {seed}");
            }
        }
        for (word, count) in world.told {
            *all.entry(word).or_default() += count;
        }
    }
    all
}

#[test]
fn three_limiters_with_logs_let_no_key_on_twice_and_serve_once_all_is_well() {
    let told = explore(3, 3, true);
    // Refusing all would pass the rest: most are served, or told what came of the first.
    let of = |word| told.get(word).copied().unwrap_or(0);
    assert!(
        of("own") > 2 * seeds() && of("replay") > 4 * seeds(),
        "{told:?}"
    );
}

#[test]
fn five_limiters_with_three_holders_and_one_limiter_alone_do_so_too() {
    explore(5, 3, true);
    explore(1, 1, true);
}

#[test]
fn without_logs_a_limiter_that_starts_grants_nothing_for_a_retention_and_no_key_is_let_on_twice() {
    explore(3, 3, false);
}

/// Two limiters of three with the third away, each granted the key by itself: the lower claim wins, and both are served.
#[test]
fn a_vote_that_is_split_is_decided() {
    let mut world = World::new(1, 3, 3, true);
    world.kill(2);
    world.arrive(0, 1);
    world.arrive(1, 1);
    for at in [0, 1] {
        while !world.nodes[at].writing.is_empty() {
            world.write(at);
        }
    }
    for _ in 0..100 {
        world.deliver();
        for at in [0, 1] {
            world.write(at);
        }
    }
    assert_eq!(
        world.nodes.iter().map(|node| node.out.len()).sum::<usize>(),
        1
    );
    world.settle();
    assert_eq!(
        (
            world.signed,
            world.told.get("own"),
            world.told.get("replay")
        ),
        (1, Some(&1), Some(&1))
    );
}

/// Who gave way asks again once whom it gave way to is gone.
#[test]
fn a_grant_that_was_given_back_is_asked_for_again() {
    let mut world = World::new(1, 3, 3, true);
    world.kill(2);
    world.arrive(0, 1);
    world.arrive(1, 1);
    for at in [0, 1] {
        while !world.nodes[at].writing.is_empty() {
            world.write(at);
        }
    }
    // Each hears that the other holds its own place; 1 gives way, and what it gave back is on its way to 0.
    for wire in [(1, 0), (0, 1), (0, 1)] {
        if let Some(said) = world.wires.get_mut(&wire).and_then(VecDeque::pop_front) {
            world.feed(
                wire.1,
                Event::Heard {
                    from: Member(wire.0 as u32),
                    said,
                },
            );
        }
    }
    let lead = *world
        .open
        .keys()
        .find(|(at, _)| *at == 0)
        .expect("the lead at 0");
    world.open.remove(&lead);
    world.feed(0, Event::Left { ticket: lead.1 });
    world.settle();
    assert_eq!((world.signed, world.told.get("own")), (1, Some(&1)));
}

/// One request let on at 0, granted by 0 and 1.
fn let_on(world: &mut World) {
    world.arrive(0, 1);
    for _ in 0..20 {
        world.deliver();
        (0..world.nodes.len()).for_each(|at| world.write(at));
    }
    assert_eq!(world.nodes[0].out.len(), 1);
}

#[test]
fn what_a_claimant_never_reports_may_have_run_once_its_time_is_over() {
    let mut world = World::new(1, 3, 3, true);
    let_on(&mut world);
    world.cut = [(0, 1), (1, 0), (0, 2), (2, 0)].into();
    world.meet();
    world.pass_time(PATIENCE + 400.0);
    world.arrive(1, 1);
    for _ in 0..20 {
        world.deliver();
        (1..3).for_each(|at| world.write(at));
    }
    assert_eq!(world.told.get("unknown"), Some(&1), "{:?}", world.told);
}

#[test]
fn an_outcome_that_could_not_be_told_is_told_once_the_holder_is_there_again() {
    let mut world = World::new(1, 3, 3, true);
    world.kill(2);
    let_on(&mut world);
    world.cut = [(0, 1), (1, 0)].into();
    world.meet();
    let (ticket, key) = world.nodes[0].out.remove(0);
    world.feed(
        0,
        Event::Served {
            ticket,
            answer: Answer::Signed(key),
        },
    );
    world.cut.clear();
    world.meet();
    for _ in 0..20 {
        world.deliver();
    }
    world.kill(0);
    world.start(2);
    world.arrive(1, 1);
    for _ in 0..20 {
        world.deliver();
        (1..3).for_each(|at| world.write(at));
    }
    assert_eq!(
        (world.told.get("replay"), world.twice),
        (Some(&1), None),
        "{:?}",
        world.told
    );
}

#[test]
fn one_limiter_that_is_gone_refuses_nobody_and_two_refuse_with_nothing_sent() {
    let mut world = World::new(1, 3, 3, true);
    world.kill(2);
    world.arrive(0, 1);
    for _ in 0..20 {
        world.deliver();
        (0..2).for_each(|at| world.write(at));
    }
    assert_eq!(world.nodes[0].out.len(), 1, "two of three are enough");
    world.kill(1);
    world.arrive(0, 2);
    world.pass_time(300.0);
    assert_eq!(
        (world.told.get("no majority"), world.nodes[0].out.len()),
        (Some(&1), 1)
    );
    // What was promised to it is given back, so that the key is free once they are there again.
    world.start(1);
    world.start(2);
    world.arrive(1, 2);
    world.settle();
    assert_eq!(world.signed, 2);
}

#[test]
fn a_thousand_repeats_through_three_limiters_ask_a_few_times_and_run_once() {
    let mut world = World::new(1, 3, 3, true);
    for n in 0..1000 {
        world.arrive(n % 3, 1);
    }
    world.settle();
    assert_eq!(world.signed, 1);
    // Each limiter asks once while its first is out; what is over its bound is told that the first is in flight.
    assert!(world.messages < 60, "{}", world.messages);
    let served = world.told.get("own").copied().unwrap_or(0)
        + world.told.get("replay").copied().unwrap_or(0);
    assert!(served >= 150, "{:?}", world.told);
}

#[test]
fn holders_are_the_same_whoever_asks_and_every_limiter_has_its_part() {
    let of = |me| Claims::<Answer>::new(rules(me, 5, 3), limits(true, 0.0), 0.0);
    let mut counts = [0; 5];
    for customer in 0..1000 {
        let holders = of(0).holders(Customer(customer));
        assert_eq!(holders, of(4).holders(Customer(customer)));
        assert_eq!(holders.iter().collect::<BTreeSet<_>>().len(), 3);
        holders
            .iter()
            .for_each(|holder| counts[holder.0 as usize] += 1);
    }
    assert!(
        counts.iter().all(|count| (500..700).contains(count)),
        "{counts:?}"
    );
}
