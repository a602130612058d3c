//! The table against a small model, and its hard cases by name.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_idempotency::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
struct Answer(Vec<u8>);

impl Weight for Answer {
    fn weight(&self) -> usize {
        self.0.len()
    }
}

const RETENTION: Millis = 10_000.0;

fn limits() -> Limits {
    Limits {
        entries: 100,
        answer_bytes: 1000,
        waiters_per_key: 50,
        waiters_per_customer: 80,
        customer_share: 0.5,
        retention: RETENTION,
        quiet: 0.0,
        wait: true,
        recorded: false,
    }
}

fn looks(like: u8) -> Fingerprint {
    Fingerprint::of(&Secret::new([1; 32]), "POST", "/api", 1, &[like])
}

fn answer(text: &str) -> Answer {
    Answer(text.as_bytes().to_vec())
}

fn key_of(text: &str) -> Key {
    Key::parse(text, Form::QuotedOrBare).expect("a key")
}

/// A table played by hand.
struct Bench {
    table: Table<Answer>,
    now: Millis,
    next: u64,
}

impl Bench {
    fn new(limits: Limits) -> Bench {
        Bench {
            table: Table::new(limits, 0.0),
            now: 0.0,
            next: 0,
        }
    }

    fn handle(&mut self, event: Event<Answer>) -> Vec<Action<Answer>> {
        let mut actions = Vec::new();
        self.table.handle(self.now, event, &mut actions);
        actions
    }

    fn arrives_as(&mut self, customer: u64, key: &str, like: u8) -> (Ticket, Action<Answer>) {
        let ticket = Ticket(self.next);
        self.next += 1;
        let key = key_of(key);
        let arrived = Event::Arrived {
            ticket,
            customer: Customer(customer),
            key,
            fingerprint: looks(like),
        };
        let mut actions = self.handle(arrived);
        assert_eq!(
            actions.len(),
            1,
            "exactly one thing is done about an arrival"
        );
        (ticket, actions.remove(0))
    }

    fn arrives(&mut self, customer: u64, key: &str) -> (Ticket, Action<Answer>) {
        self.arrives_as(customer, key, 0)
    }

    /// A first request that is let on.
    fn passes(&mut self, customer: u64, key: &str) -> Ticket {
        let (ticket, action) = self.arrives(customer, key);
        assert_eq!(action, Action::Pass(ticket), "{key}");
        ticket
    }

    /// One that is let on and served.
    fn serves(&mut self, customer: u64, key: &str, text: &str) {
        let ticket = self.passes(customer, key);
        let told = self.handle(Event::Served {
            ticket,
            answer: answer(text),
        });
        assert_eq!(told, [Action::Tell(ticket, Telling::Own(answer(text)))]);
    }

    fn told(&mut self, customer: u64, key: &str) -> Telling<Answer> {
        match self.arrives(customer, key) {
            (_, Action::Tell(_, telling)) => telling,
            (_, other) => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_repeat_in_flight_waits_and_gets_the_same_outcome() {
    let mut bench = Bench::new(limits());
    let first = bench.passes(1, "k");
    let (second, held) = bench.arrives(1, "k");
    assert_eq!(held, Action::Hold(second));
    let told = bench.handle(Event::Served {
        ticket: first,
        answer: answer("signed"),
    });
    assert_eq!(
        told,
        [
            Action::Tell(first, Telling::Own(answer("signed"))),
            Action::Tell(second, Telling::Replay(answer("signed")))
        ]
    );
    assert_eq!(bench.told(1, "k"), Telling::Replay(answer("signed")));
}

#[test]
fn another_customers_key_of_the_same_name_is_another_key() {
    let mut bench = Bench::new(limits());
    bench.serves(1, "k", "one");
    bench.serves(2, "k", "two");
    assert_eq!(bench.told(1, "k"), Telling::Replay(answer("one")));
}

#[test]
fn a_body_that_differs_by_one_byte_is_a_mismatch_at_every_stage() {
    let mut bench = Bench::new(limits());
    let first = bench.passes(1, "k");
    let (ticket, action) = bench.arrives_as(1, "k", 1);
    assert_eq!(action, Action::Tell(ticket, Telling::Mismatch));
    bench.handle(Event::Served {
        ticket: first,
        answer: answer("a"),
    });
    let (ticket, action) = bench.arrives_as(1, "k", 1);
    assert_eq!(action, Action::Tell(ticket, Telling::Mismatch));
    let failing = bench.passes(1, "u");
    bench.handle(Event::Failed {
        ticket: failing,
        answer: answer("502"),
    });
    let (ticket, action) = bench.arrives_as(1, "u", 1);
    assert_eq!(action, Action::Tell(ticket, Telling::Mismatch));
}

#[test]
fn what_was_refused_never_ran_and_is_new_work() {
    let mut bench = Bench::new(limits());
    let first = bench.passes(1, "k");
    let (waiter, _) = bench.arrives(1, "k");
    let told = bench.handle(Event::Refused {
        ticket: first,
        answer: answer("429"),
    });
    assert_eq!(
        told[1],
        Action::Tell(waiter, Telling::Replay(answer("429")))
    );
    assert_eq!(bench.table.entries(), 0);
    bench.passes(1, "k");
}

#[test]
fn what_may_have_run_is_told_so_until_its_time_is_over() {
    let mut bench = Bench::new(limits());
    let first = bench.passes(1, "k");
    bench.handle(Event::Failed {
        ticket: first,
        answer: answer("502"),
    });
    bench.now = RETENTION - 1.0;
    assert_eq!(bench.told(1, "k"), Telling::Unknown);
    bench.now = RETENTION;
    bench.passes(1, "k");
}

#[test]
fn a_first_whose_client_leaves_goes_on() {
    let mut bench = Bench::new(limits());
    let first = bench.passes(1, "k");
    let (waiter, _) = bench.arrives(1, "k");
    assert_eq!(bench.handle(Event::Left { ticket: first }), []);
    let told = bench.handle(Event::Served {
        ticket: first,
        answer: answer("a"),
    });
    assert_eq!(
        told,
        [Action::Tell(waiter, Telling::Replay(answer("a")))],
        "nobody else is there"
    );
}

#[test]
fn a_waiter_that_leaves_takes_nothing_with_it() {
    let mut bench = Bench::new(limits());
    let first = bench.passes(1, "k");
    let (waiter, _) = bench.arrives(1, "k");
    bench.handle(Event::Left { ticket: waiter });
    let told = bench.handle(Event::Served {
        ticket: first,
        answer: answer("a"),
    });
    assert_eq!(told, [Action::Tell(first, Telling::Own(answer("a")))]);
}

#[test]
fn a_thousand_repeats_of_one_key_are_bounded_and_one_goes_on() {
    let mut bench = Bench::new(limits());
    let first = bench.passes(1, "k");
    let (mut held, mut in_flight) = (0, 0);
    for _ in 0..1000 {
        match bench.arrives(1, "k").1 {
            Action::Hold(_) => held += 1,
            Action::Tell(_, Telling::InFlight) => in_flight += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((held, in_flight), (50, 950));
    let told = bench.handle(Event::Served {
        ticket: first,
        answer: answer("a"),
    });
    assert_eq!(told.len(), 51);
}

#[test]
fn a_customers_waiters_are_bounded_over_its_keys() {
    let mut bench = Bench::new(limits());
    for key in ["a", "b"] {
        bench.passes(1, key);
        (0..50).for_each(|_| drop(bench.arrives(1, key)));
    }
    assert!(matches!(
        bench.arrives(1, "b").1,
        Action::Tell(_, Telling::InFlight)
    ));
    bench.passes(2, "b");
    assert!(
        matches!(bench.arrives(2, "b").1, Action::Hold(_)),
        "another customer's are its own"
    );
}

#[test]
fn where_the_operator_wants_no_waiting_a_repeat_is_told_of_the_flight() {
    let mut bench = Bench::new(Limits {
        wait: false,
        ..limits()
    });
    bench.passes(1, "k");
    assert_eq!(bench.told(1, "k"), Telling::InFlight);
}

#[test]
fn a_firm_with_millions_of_keys_fills_its_share_and_nobody_elses() {
    let mut bench = Bench::new(limits());
    for number in 0..50 {
        bench.serves(1, &format!("k{number}"), "");
    }
    bench.now = 1000.0;
    for number in 50..10_000 {
        let Telling::Full { retry_after } = bench.told(1, &format!("k{number}")) else {
            panic!("no place")
        };
        assert_eq!(
            retry_after,
            RETENTION - 1000.0,
            "when the oldest of its own goes"
        );
    }
    assert_eq!(
        bench.told(1, "k0"),
        Telling::Replay(answer("")),
        "nothing that ran was forgotten"
    );
    bench.serves(2, "k", "");
    // Who comes back at the stated time is let on.
    bench.now = RETENTION;
    bench.passes(1, "k50");
}

#[test]
fn the_whole_table_full_is_refused_with_an_honest_time() {
    let mut bench = Bench::new(limits());
    for customer in 0..4 {
        for number in 0..25 {
            bench.serves(customer, &format!("k{number}"), "");
        }
        bench.now += 100.0;
    }
    let Telling::Full { retry_after } = bench.told(9, "k") else {
        panic!("no place")
    };
    bench.now += retry_after;
    bench.passes(9, "k");
}

#[test]
fn an_answer_gives_way_before_any_entry_and_the_oldest_of_the_firms_own_first() {
    let mut bench = Bench::new(limits());
    let text = "a".repeat(200);
    ["a", "b", "c"]
        .iter()
        .for_each(|key| bench.serves(1, key, &text));
    assert_eq!(bench.table.answer_bytes(), 400, "its share is 500");
    assert_eq!(bench.told(1, "a"), Telling::NotKept);
    assert_eq!(bench.told(1, "b"), Telling::Replay(answer(&text)));
    // Others fill the whole: whoever holds most gives way.
    bench.serves(2, "a", &text);
    bench.serves(3, "a", &text);
    bench.serves(4, "a", &text);
    assert_eq!(bench.table.answer_bytes(), 1000);
    bench.serves(5, "a", &text);
    assert_eq!(bench.told(1, "b"), Telling::NotKept);
    assert_eq!(bench.told(2, "a"), Telling::Replay(answer(&text)));
}

#[test]
fn an_answer_larger_than_a_share_is_not_kept_and_pushes_nothing_out() {
    let mut bench = Bench::new(limits());
    bench.serves(1, "a", "small");
    bench.serves(1, "b", &"b".repeat(501));
    assert_eq!(bench.told(1, "b"), Telling::NotKept);
    assert_eq!(bench.told(1, "a"), Telling::Replay(answer("small")));
}

/// What comes while it is not known whether it ran before is not let on then, and not later either: who came back
/// as told would be signed twice.
#[test]
fn what_comes_soon_after_a_start_is_never_let_on_under_its_key() {
    let mut bench = Bench::new(Limits {
        quiet: RETENTION,
        ..limits()
    });
    bench.now = 1000.0;
    assert_eq!(bench.told(1, "k"), Telling::Quiet);
    bench.now = RETENTION;
    assert_eq!(bench.told(1, "k"), Telling::Unknown);
    bench.passes(1, "new");
    bench.now = RETENTION + 1000.0;
    bench.passes(1, "k");
}

#[test]
fn where_no_place_is_left_to_remember_the_quiet_lasts_on_for_that_customer_alone() {
    let mut bench = Bench::new(Limits {
        quiet: RETENTION,
        ..limits()
    });
    for number in 0..60 {
        assert_eq!(bench.told(1, &format!("k{number}")), Telling::Quiet);
        bench.now += 10.0;
    }
    assert_eq!(bench.table.entries(), 50, "its share");
    bench.now = RETENTION + 300.0;
    bench.passes(2, "k");
    assert_eq!(
        bench.told(1, "k59"),
        Telling::Quiet,
        "one of those that found no place"
    );
    bench.now = 3.0 * RETENTION;
    bench.passes(1, "k59");
}

#[test]
fn a_clock_that_steps_back_stands_still() {
    let mut bench = Bench::new(limits());
    bench.now = 5000.0;
    bench.serves(1, "k", "a");
    bench.now = 0.0;
    assert_eq!(bench.told(1, "k"), Telling::Replay(answer("a")));
    bench.now = 5000.0 + RETENTION - 1.0;
    assert_eq!(bench.told(1, "k"), Telling::Replay(answer("a")));
    bench.now = 5000.0 + RETENTION;
    bench.passes(1, "k");
}

/// What happens next, to which of what there is.
#[derive(Clone, Debug)]
enum Step {
    Arrives { customer: u64, key: u8, like: u8 },
    Served { which: usize, bytes: usize },
    Refused { which: usize },
    Failed { which: usize },
    Leaves { which: usize },
    Passes { time: u16 },
    Returns { time: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..4u64, 0..6u8, 0..20u8)
            .prop_map(|(customer, key, like)| Step::Arrives { customer, key, like: like / 19 }),
        3 => (any::<usize>(), 0..300usize).prop_map(|(which, bytes)| Step::Served { which, bytes }),
        1 => any::<usize>().prop_map(|which| Step::Refused { which }),
        1 => any::<usize>().prop_map(|which| Step::Failed { which }),
        2 => any::<usize>().prop_map(|which| Step::Leaves { which }),
        2 => (0..4000u16).prop_map(|time| Step::Passes { time }),
        1 => (0..4000u16).prop_map(|time| Step::Returns { time }),
    ]
}

/// What the model knows of a key: only what may never be got wrong.
#[derive(Clone, Debug)]
enum Seen {
    InFlight,
    Served(Answer, Millis),
    MayHaveRun(Millis),
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Whatever happens: a key's work is let on once for its retention unless it is known never to have run;
    /// everybody is told exactly one thing; a replay is what the first had; and every bound holds.
    #[test]
    fn the_table_keeps_its_promises(
        steps in prop::collection::vec(step(), 1..200),
        entries in 2..12usize,
        wait in any::<bool>(),
    ) {
        let limits = Limits { entries, answer_bytes: 600, waiters_per_key: 3, waiters_per_customer: 4, wait, ..limits() };
        let mut bench = Bench::new(limits.clone());
        let mut latest: Millis = 0.0;
        let mut known: BTreeMap<(u64, u8), (u8, Seen)> = BTreeMap::new();
        let mut out: Vec<(Ticket, (u64, u8))> = Vec::new();
        let mut waiting: BTreeMap<Ticket, (u64, u8)> = BTreeMap::new();
        let mut left: BTreeSet<Ticket> = BTreeSet::new();
        for step in steps {
            match step {
                Step::Passes { time } => {
                    bench.now += f64::from(time);
                    latest = latest.max(bench.now);
                    bench.handle(Event::Tick);
                }
                Step::Returns { time } => bench.now = (bench.now - f64::from(time)).max(0.0),
                Step::Arrives { customer, key, like } => {
                    latest = latest.max(bench.now);
                    known.retain(|_, (_, known)| match known {
                        Seen::InFlight => true,
                        Seen::Served(_, until) | Seen::MayHaveRun(until) => *until > latest,
                    });
                    let (ticket, action) = bench.arrives_as(customer, &format!("k{key}"), like);
                    let at = (customer, key);
                    match (known.get(&at), action) {
                        (None, Action::Pass(_)) => {
                            known.insert(at, (like, Seen::InFlight));
                            out.push((ticket, at));
                        }
                        (None, Action::Tell(_, Telling::Full { retry_after })) => {
                            let own = known.keys().filter(|(whose, _)| *whose == customer).count();
                            let share = ((entries as f64 * 0.5) as usize).max(1);
                            prop_assert!(known.len() >= entries || own >= share);
                            prop_assert!(retry_after > 0.0 && retry_after <= RETENTION);
                        }
                        (Some((as_first, _)), Action::Tell(_, Telling::Mismatch)) => {
                            prop_assert!(*as_first != like);
                        }
                        (Some((as_first, Seen::InFlight)), Action::Hold(_)) => {
                            prop_assert!(*as_first == like && wait);
                            waiting.insert(ticket, at);
                        }
                        (Some((as_first, Seen::InFlight)), Action::Tell(_, Telling::InFlight)) => {
                            let same = waiting.values().filter(|other| **other == at).count();
                            let own = waiting.values().filter(|(whose, _)| *whose == customer).count();
                            prop_assert!(*as_first == like && (!wait || same >= 3 || own >= 4));
                        }
                        (Some((as_first, Seen::Served(kept, _))), Action::Tell(_, telling)) => {
                            prop_assert!(*as_first == like);
                            prop_assert!(telling == Telling::Replay(kept.clone()) || telling == Telling::NotKept);
                        }
                        (Some((as_first, Seen::MayHaveRun(_))), Action::Tell(_, Telling::Unknown)) => {
                            prop_assert!(*as_first == like);
                        }
                        (known, action) => prop_assert!(false, "{known:?}: {action:?}"),
                    }
                }
                Step::Leaves { which } => {
                    let all: Vec<Ticket> =
                        out.iter().map(|(ticket, _)| *ticket).chain(waiting.keys().copied()).collect();
                    if let Some(ticket) = all.get(which % all.len().max(1)).copied() {
                        // Nobody is told anything; one that waited is not needed any more, a first goes on.
                        let done = bench.handle(Event::Left { ticket });
                        match waiting.remove(&ticket) {
                            Some(_) => prop_assert_eq!(done, vec![Action::Drop(ticket)]),
                            None => prop_assert_eq!(done, vec![]),
                        }
                        left.insert(ticket);
                    }
                }
                Step::Served { which, .. } | Step::Refused { which } | Step::Failed { which } => {
                    if out.is_empty() {
                        continue;
                    }
                    let (ticket, at) = out.swap_remove(which % out.len());
                    latest = latest.max(bench.now);
                    let bytes = if let Step::Served { bytes, .. } = step { bytes } else { 3 };
                    let given = Answer(vec![at.1; bytes]);
                    let answer = given.clone();
                    let (event, outcome) = match step {
                        Step::Served { .. } => (
                            Event::Served { ticket, answer },
                            Some(Seen::Served(given.clone(), latest + RETENTION)),
                        ),
                        Step::Refused { .. } => (Event::Refused { ticket, answer }, None),
                        _ => (Event::Failed { ticket, answer }, Some(Seen::MayHaveRun(latest + RETENTION))),
                    };
                    let mut told: BTreeSet<Ticket> = BTreeSet::new();
                    for action in bench.handle(event) {
                        let Action::Tell(whom, telling) = action else { panic!("{action:?}") };
                        prop_assert!(told.insert(whom) && !left.contains(&whom));
                        let expected = if whom == ticket { Telling::Own(given.clone()) } else { Telling::Replay(given.clone()) };
                        prop_assert_eq!(telling, expected);
                    }
                    let mut owed: BTreeSet<Ticket> =
                        waiting.iter().filter(|(_, other)| **other == at).map(|(waiter, _)| *waiter).collect();
                    if !left.contains(&ticket) {
                        owed.insert(ticket);
                    }
                    prop_assert_eq!(&told, &owed);
                    waiting.retain(|_, other| *other != at);
                    match outcome {
                        Some(outcome) => {
                            if let Some((_, known)) = known.get_mut(&at) {
                                *known = outcome;
                            }
                        }
                        None => drop(known.remove(&at)),
                    }
                    // An outcome comes once.
                    let again = bench.handle(Event::Failed { ticket, answer: Answer(vec![]) });
                    prop_assert_eq!(again, vec![]);
                }
            }
            prop_assert!(bench.table.entries() <= entries);
            prop_assert!(bench.table.answer_bytes() <= 600);
        }
    }
}

fn recorded() -> Limits {
    Limits {
        recorded: true,
        ..limits()
    }
}

/// What stands in the log after these actions.
fn records(actions: &[Action<Answer>]) -> Vec<Record<Answer>> {
    let record = |action: &Action<Answer>| match action {
        Action::Record(record, _) => Some(record.clone()),
        _ => None,
    };
    actions.iter().filter_map(record).collect()
}

/// A table that read these records at its start.
fn restored(limits: Limits, now: Millis, log: &[Record<Answer>], same_clock: bool) -> Bench {
    let mut table = Table::new(limits, now);
    log.iter()
        .for_each(|record| table.restore(record.clone(), same_clock));
    table.restored();
    Bench {
        table,
        now,
        next: 1000,
    }
}

#[test]
fn a_first_goes_on_only_once_its_record_counts() {
    let mut bench = Bench::new(recorded());
    let (customer, key, fingerprint) = (Customer(1), key_of("k"), looks(1));
    let ticket = Ticket(0);
    let actions = bench.handle(Event::Arrived {
        ticket,
        customer,
        key,
        fingerprint,
    });
    assert!(
        matches!(&actions[..], [Action::Record(record, Some(Ticket(0))), Action::Hold(Ticket(0))]
        if record.known == Known::Claimed)
    );
    // A repeat waits without a record of its own.
    let repeat = Event::Arrived {
        ticket: Ticket(7),
        customer,
        key: key_of("k"),
        fingerprint,
    };
    assert_eq!(bench.handle(repeat), [Action::Hold(Ticket(7))]);
    assert_eq!(
        bench.handle(Event::Written { ticket }),
        [Action::Pass(ticket)]
    );
    assert_eq!(bench.handle(Event::Written { ticket }), []);
}

#[test]
fn a_first_whose_record_cannot_be_written_is_told_so_with_all_that_wait_and_the_key_is_free() {
    let mut bench = Bench::new(recorded());
    let (customer, key, fingerprint) = (Customer(1), key_of("k"), looks(1));
    let (ticket, waits) = (Ticket(0), Ticket(7));
    bench.handle(Event::Arrived {
        ticket,
        customer,
        key: key.clone(),
        fingerprint,
    });
    bench.handle(Event::Arrived {
        ticket: waits,
        customer,
        key: key.clone(),
        fingerprint,
    });
    let actions = bench.handle(Event::Unwritten { ticket });
    let told = |ticket| Action::Tell(ticket, Telling::NotWritten);
    assert_eq!(actions, [Action::Drop(ticket), told(ticket), told(waits)]);
    assert_eq!(bench.table.entries(), 0);
    let ticket = Ticket(8);
    assert_eq!(
        bench
            .handle(Event::Arrived {
                ticket,
                customer,
                key,
                fingerprint
            })
            .len(),
        2
    );
}

#[test]
fn a_first_whose_client_left_before_anything_was_sent_is_dropped_unless_a_repeat_waits() {
    for waits in [false, true] {
        let mut bench = Bench::new(recorded());
        let (customer, key, fingerprint) = (Customer(1), key_of("k"), looks(1));
        let ticket = Ticket(0);
        bench.handle(Event::Arrived {
            ticket,
            customer,
            key: key.clone(),
            fingerprint,
        });
        if waits {
            bench.handle(Event::Arrived {
                ticket: Ticket(7),
                customer,
                key,
                fingerprint,
            });
        }
        bench.handle(Event::Left { ticket });
        let actions = bench.handle(Event::Written { ticket });
        match waits {
            true => assert_eq!(actions, [Action::Pass(ticket)]),
            false => {
                assert_eq!(records(&actions)[0].known, Known::Gone);
                assert_eq!(actions[1], Action::Drop(ticket));
                assert_eq!(bench.table.entries(), 0);
            }
        }
    }
}

/// One key with each outcome, and the log of it.
fn a_life() -> Vec<Record<Answer>> {
    let mut bench = Bench::new(recorded());
    let mut log = Vec::new();
    for (ticket, key) in ["served", "refused", "failed", "out"].iter().enumerate() {
        let ticket = Ticket(ticket as u64);
        let arrived = Event::Arrived {
            ticket,
            customer: Customer(1),
            key: key_of(key),
            fingerprint: looks(1),
        };
        log.extend(records(&bench.handle(arrived)));
        bench.handle(Event::Written { ticket });
        let answer = answer(key);
        log.extend(match *key {
            "served" => records(&bench.handle(Event::Served { ticket, answer })),
            "refused" => records(&bench.handle(Event::Refused { ticket, answer })),
            "failed" => records(&bench.handle(Event::Failed { ticket, answer })),
            _ => Vec::new(),
        });
    }
    log
}

#[test]
fn the_next_life_knows_each_key_from_the_log() {
    let log = a_life();
    let mut bench = restored(recorded(), 5_000.0, &log, true);
    assert!(
        matches!(bench.arrives_as(1, "served", 1).1, Action::Tell(_, Telling::Replay(a)) if a == answer("served"))
    );
    assert!(matches!(
        bench.arrives_as(1, "served", 2).1,
        Action::Tell(_, Telling::Mismatch)
    ));
    assert!(matches!(
        bench.arrives_as(1, "failed", 1).1,
        Action::Tell(_, Telling::Unknown)
    ));
    // It was out when the life ended, so it may have run.
    assert!(matches!(
        bench.arrives_as(1, "out", 1).1,
        Action::Tell(_, Telling::Unknown)
    ));
    // It never ran, and is new work; so is any other key, at once.
    let (customer, fingerprint) = (Customer(1), looks(1));
    for (ticket, key) in [(50, "refused"), (51, "another")] {
        let arrived = Event::Arrived {
            ticket: Ticket(ticket),
            customer,
            key: key_of(key),
            fingerprint,
        };
        assert_eq!(records(&bench.handle(arrived))[0].known, Known::Claimed);
    }
}

#[test]
fn a_restored_key_is_kept_for_its_retention_and_a_whole_one_where_clocks_cannot_be_compared() {
    let log = a_life();
    // Served at 0: kept until 10 s in the same boot. What was out is kept from the start on.
    let mut bench = restored(recorded(), RETENTION - 1.0, &log, true);
    assert_eq!(bench.table.entries(), 3);
    bench.now = RETENTION + 1.0;
    bench.handle(Event::Tick);
    assert_eq!(bench.table.entries(), 1);
    bench.now = 2.0 * RETENTION;
    bench.handle(Event::Tick);
    assert_eq!(bench.table.entries(), 0);
    let other_boot = restored(recorded(), RETENTION * 1000.0, &log, false);
    assert_eq!(other_boot.table.entries(), 3);
    assert_eq!(other_boot.table.answer_bytes(), "served".len());
    let same_boot = restored(recorded(), RETENTION * 1000.0, &log, true);
    assert_eq!(
        same_boot.table.entries(),
        1,
        "only what was out may still run"
    );
}

proptest! {
    /// What a sweep tells, in steps of any size with changes in between, restores the same as the table holds.
    #[test]
    fn a_sweep_in_steps_stands_for_the_whole_log(
        outcomes in proptest::collection::vec((0..3u8, 0..4u64), 1..40),
        later in proptest::collection::vec((0..3u8, 0..4u64), 0..10),
        step in 1..7usize,
    ) {
        let mut bench = Bench::new(recorded());
        let mut ticket = 0;
        let mut play = |bench: &mut Bench, (outcome, customer): (u8, u64)| {
            ticket += 1;
            bench.now += 1.0;
            let (ticket, key) = (Ticket(ticket), key_of(&format!("k{ticket}")));
            let arrived = Event::Arrived { ticket, customer: Customer(customer), key, fingerprint: looks(1) };
            let mut log = records(&bench.handle(arrived));
            bench.handle(Event::Written { ticket });
            let answer = answer("a");
            log.extend(records(&bench.handle(match outcome {
                0 => Event::Served { ticket, answer },
                1 => Event::Refused { ticket, answer },
                _ => Event::Failed { ticket, answer },
            })));
            log
        };
        for outcome in outcomes {
            play(&mut bench, outcome);
        }
        let (mut log, mut later) = (Vec::new(), later.into_iter());
        let mut place = Some(Sweep::default());
        while let Some(from) = place {
            let (records, next) = bench.table.sweep(from, step);
            log.extend(records);
            place = next;
            if let Some(outcome) = later.next() {
                log.extend(play(&mut bench, outcome));
            }
        }
        for outcome in later {
            log.extend(play(&mut bench, outcome));
        }
        let again = restored(recorded(), bench.now, &log, true);
        prop_assert_eq!(again.table.entries(), bench.table.entries());
        prop_assert_eq!(again.table.answer_bytes(), bench.table.answer_bytes());
        prop_assert_eq!(again.table.sweep(Sweep::default(), 1000).0.len(), bench.table.entries());
    }
}
