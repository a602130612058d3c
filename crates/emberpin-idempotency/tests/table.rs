//! The key table of one limiter: its rules and edge cases one by one, and random events checked against a small model.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_idempotency::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
struct Answer(Vec<u8>);

impl SizeInBytes for Answer {
    fn size_bytes(&self) -> usize {
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

fn fingerprint_of(variant: u8) -> Fingerprint {
    Fingerprint::compute(&Secret::new([1; 32]), "POST", "/api", 1, &[variant])
}

fn answer(text: &str) -> Answer {
    Answer(text.as_bytes().to_vec())
}

fn key_of(text: &str) -> Key {
    Key::parse(text, Form::QuotedOrBare).expect("a key")
}

/// A table with a clock and a counter of tickets, driven by the tests.
struct Fixture {
    table: Table<Answer>,
    now: Millis,
    next: u64,
}

impl Fixture {
    fn new(limits: Limits) -> Fixture {
        Fixture {
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

    fn arrive_with(&mut self, customer: u64, key: &str, variant: u8) -> (Ticket, Action<Answer>) {
        let ticket = Ticket(self.next);
        self.next += 1;
        let key = key_of(key);
        let arrived = Event::Arrived {
            ticket,
            customer: Customer(customer),
            key,
            fingerprint: fingerprint_of(variant),
        };
        let mut actions = self.handle(arrived);
        assert_eq!(actions.len(), 1, "an arrival leads to exactly one action");
        (ticket, actions.remove(0))
    }

    fn arrive(&mut self, customer: u64, key: &str) -> (Ticket, Action<Answer>) {
        self.arrive_with(customer, key, 0)
    }

    /// Sends a first request, which must be forwarded, and returns its ticket.
    fn forward(&mut self, customer: u64, key: &str) -> Ticket {
        let (ticket, action) = self.arrive(customer, key);
        assert_eq!(action, Action::Forward(ticket), "{key}");
        ticket
    }

    /// Sends a first request and serves it with this answer.
    fn serve(&mut self, customer: u64, key: &str, text: &str) {
        let ticket = self.forward(customer, key);
        let replies = self.handle(Event::Served {
            ticket,
            answer: answer(text),
        });
        assert_eq!(
            replies,
            [Action::Reply(ticket, TableReply::Own(answer(text)))]
        );
    }

    fn reply_to(&mut self, customer: u64, key: &str) -> TableReply<Answer> {
        match self.arrive(customer, key) {
            (_, Action::Reply(_, table_reply)) => table_reply,
            (_, other) => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_repeat_in_flight_waits_and_gets_the_same_outcome() {
    let mut fixture = Fixture::new(limits());
    let first = fixture.forward(1, "k");
    let (second, held) = fixture.arrive(1, "k");
    assert_eq!(held, Action::Hold(second));
    let replies = fixture.handle(Event::Served {
        ticket: first,
        answer: answer("signed"),
    });
    assert_eq!(
        replies,
        [
            Action::Reply(first, TableReply::Own(answer("signed"))),
            Action::Reply(second, TableReply::Replay(answer("signed")))
        ]
    );
    assert_eq!(
        fixture.reply_to(1, "k"),
        TableReply::Replay(answer("signed"))
    );
}

#[test]
fn another_customers_key_of_the_same_name_is_another_key() {
    let mut fixture = Fixture::new(limits());
    fixture.serve(1, "k", "one");
    fixture.serve(2, "k", "two");
    assert_eq!(fixture.reply_to(1, "k"), TableReply::Replay(answer("one")));
}

#[test]
fn a_body_that_differs_by_one_byte_is_a_mismatch_in_every_state() {
    let mut fixture = Fixture::new(limits());
    let first = fixture.forward(1, "k");
    let (ticket, action) = fixture.arrive_with(1, "k", 1);
    assert_eq!(action, Action::Reply(ticket, TableReply::Mismatch));
    fixture.handle(Event::Served {
        ticket: first,
        answer: answer("a"),
    });
    let (ticket, action) = fixture.arrive_with(1, "k", 1);
    assert_eq!(action, Action::Reply(ticket, TableReply::Mismatch));
    let failing = fixture.forward(1, "u");
    fixture.handle(Event::Failed {
        ticket: failing,
        answer: answer("502"),
    });
    let (ticket, action) = fixture.arrive_with(1, "u", 1);
    assert_eq!(action, Action::Reply(ticket, TableReply::Mismatch));
}

#[test]
fn a_rejected_request_never_ran_and_its_repeat_is_new_work() {
    let mut fixture = Fixture::new(limits());
    let first = fixture.forward(1, "k");
    let (waiter, _) = fixture.arrive(1, "k");
    let replies = fixture.handle(Event::Rejected {
        ticket: first,
        answer: answer("429"),
    });
    assert_eq!(
        replies[1],
        Action::Reply(waiter, TableReply::Replay(answer("429")))
    );
    assert_eq!(fixture.table.entries(), 0);
    fixture.forward(1, "k");
}

#[test]
fn a_failed_request_is_reported_as_unknown_until_its_retention_ends() {
    let mut fixture = Fixture::new(limits());
    let first = fixture.forward(1, "k");
    fixture.handle(Event::Failed {
        ticket: first,
        answer: answer("502"),
    });
    fixture.now = RETENTION - 1.0;
    assert_eq!(fixture.reply_to(1, "k"), TableReply::Unknown);
    fixture.now = RETENTION;
    fixture.forward(1, "k");
}

#[test]
fn a_first_request_continues_after_its_client_disconnects() {
    let mut fixture = Fixture::new(limits());
    let first = fixture.forward(1, "k");
    let (waiter, _) = fixture.arrive(1, "k");
    assert_eq!(fixture.handle(Event::ClientLeft { ticket: first }), []);
    let replies = fixture.handle(Event::Served {
        ticket: first,
        answer: answer("a"),
    });
    assert_eq!(
        replies,
        [Action::Reply(waiter, TableReply::Replay(answer("a")))],
        "the first client has left, so only the waiter gets a reply"
    );
}

#[test]
fn a_waiter_that_disconnects_gets_no_reply_and_the_first_request_continues() {
    let mut fixture = Fixture::new(limits());
    let first = fixture.forward(1, "k");
    let (waiter, _) = fixture.arrive(1, "k");
    fixture.handle(Event::ClientLeft { ticket: waiter });
    let replies = fixture.handle(Event::Served {
        ticket: first,
        answer: answer("a"),
    });
    assert_eq!(
        replies,
        [Action::Reply(first, TableReply::Own(answer("a")))]
    );
}

#[test]
fn a_thousand_repeats_of_one_key_are_limited_and_one_request_is_forwarded() {
    let mut fixture = Fixture::new(limits());
    let first = fixture.forward(1, "k");
    let (mut held, mut in_flight) = (0, 0);
    for _ in 0..1000 {
        match fixture.arrive(1, "k").1 {
            Action::Hold(_) => held += 1,
            Action::Reply(_, TableReply::InFlight) => in_flight += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((held, in_flight), (50, 950));
    let replies = fixture.handle(Event::Served {
        ticket: first,
        answer: answer("a"),
    });
    assert_eq!(replies.len(), 51);
}

#[test]
fn the_waiters_of_a_customer_are_limited_over_all_its_keys() {
    let mut fixture = Fixture::new(limits());
    for key in ["a", "b"] {
        fixture.forward(1, key);
        (0..50).for_each(|_| drop(fixture.arrive(1, key)));
    }
    assert!(matches!(
        fixture.arrive(1, "b").1,
        Action::Reply(_, TableReply::InFlight)
    ));
    fixture.forward(2, "b");
    assert!(
        matches!(fixture.arrive(2, "b").1, Action::Hold(_)),
        "the limit is per customer"
    );
}

#[test]
fn without_waiting_a_repeat_is_told_that_the_first_request_is_in_flight() {
    let mut fixture = Fixture::new(Limits {
        wait: false,
        ..limits()
    });
    fixture.forward(1, "k");
    assert_eq!(fixture.reply_to(1, "k"), TableReply::InFlight);
}

#[test]
fn a_customer_with_many_keys_fills_only_its_own_share() {
    let mut fixture = Fixture::new(limits());
    for number in 0..50 {
        fixture.serve(1, &format!("k{number}"), "");
    }
    fixture.now = 1000.0;
    for number in 50..10_000 {
        let TableReply::Full { retry_after } = fixture.reply_to(1, &format!("k{number}")) else {
            panic!("not rejected as full")
        };
        assert_eq!(
            retry_after,
            RETENTION - 1000.0,
            "the time until the customer's oldest entry expires"
        );
    }
    assert_eq!(
        fixture.reply_to(1, "k0"),
        TableReply::Replay(answer("")),
        "no entry of served work was removed"
    );
    fixture.serve(2, "k", "");
    // A client that retries at the stated time is served.
    fixture.now = RETENTION;
    fixture.forward(1, "k50");
}

#[test]
fn a_full_table_rejects_a_new_key_with_the_time_until_an_entry_expires() {
    let mut fixture = Fixture::new(limits());
    for customer in 0..4 {
        for number in 0..25 {
            fixture.serve(customer, &format!("k{number}"), "");
        }
        fixture.now += 100.0;
    }
    let TableReply::Full { retry_after } = fixture.reply_to(9, "k") else {
        panic!("not rejected as full")
    };
    fixture.now += retry_after;
    fixture.forward(9, "k");
}

#[test]
fn answers_are_evicted_before_entries_and_the_oldest_of_the_same_customer_first() {
    let mut fixture = Fixture::new(limits());
    let text = "a".repeat(200);
    ["a", "b", "c"]
        .iter()
        .for_each(|key| fixture.serve(1, key, &text));
    assert_eq!(fixture.table.answer_bytes(), 400, "its share is 500");
    assert_eq!(fixture.reply_to(1, "a"), TableReply::NotKept);
    assert_eq!(fixture.reply_to(1, "b"), TableReply::Replay(answer(&text)));
    // Other customers fill the table: answers of the customer that uses most bytes are evicted.
    fixture.serve(2, "a", &text);
    fixture.serve(3, "a", &text);
    fixture.serve(4, "a", &text);
    assert_eq!(fixture.table.answer_bytes(), 1000);
    fixture.serve(5, "a", &text);
    assert_eq!(fixture.reply_to(1, "b"), TableReply::NotKept);
    assert_eq!(fixture.reply_to(2, "a"), TableReply::Replay(answer(&text)));
}

#[test]
fn an_answer_larger_than_a_share_is_not_kept_and_evicts_nothing() {
    let mut fixture = Fixture::new(limits());
    fixture.serve(1, "a", "small");
    fixture.serve(1, "b", &"b".repeat(501));
    assert_eq!(fixture.reply_to(1, "b"), TableReply::NotKept);
    assert_eq!(
        fixture.reply_to(1, "a"),
        TableReply::Replay(answer("small"))
    );
}

/// A request that arrives in the quiet period may have run before. It must be forwarded neither then nor on a retry:
/// either might run it a second time.
#[test]
fn a_key_that_arrives_in_the_quiet_period_is_never_forwarded() {
    let mut fixture = Fixture::new(Limits {
        quiet: RETENTION,
        ..limits()
    });
    fixture.now = 1000.0;
    assert_eq!(fixture.reply_to(1, "k"), TableReply::Quiet);
    fixture.now = RETENTION;
    assert_eq!(fixture.reply_to(1, "k"), TableReply::Unknown);
    fixture.forward(1, "new");
    fixture.now = RETENTION + 1000.0;
    fixture.forward(1, "k");
}

#[test]
fn a_full_share_extends_the_quiet_period_for_that_customer_alone() {
    let mut fixture = Fixture::new(Limits {
        quiet: RETENTION,
        ..limits()
    });
    for number in 0..60 {
        assert_eq!(
            fixture.reply_to(1, &format!("k{number}")),
            TableReply::Quiet
        );
        fixture.now += 10.0;
    }
    assert_eq!(fixture.table.entries(), 50, "its share");
    fixture.now = RETENTION + 300.0;
    fixture.forward(2, "k");
    assert_eq!(
        fixture.reply_to(1, "k59"),
        TableReply::Quiet,
        "a key that could not be recorded in the quiet period"
    );
    fixture.now = 3.0 * RETENTION;
    fixture.forward(1, "k59");
}

#[test]
fn a_clock_that_steps_back_extends_no_retention() {
    let mut fixture = Fixture::new(limits());
    fixture.now = 5000.0;
    fixture.serve(1, "k", "a");
    fixture.now = 0.0;
    assert_eq!(fixture.reply_to(1, "k"), TableReply::Replay(answer("a")));
    fixture.now = 5000.0 + RETENTION - 1.0;
    assert_eq!(fixture.reply_to(1, "k"), TableReply::Replay(answer("a")));
    fixture.now = 5000.0 + RETENTION;
    fixture.forward(1, "k");
}

/// One step of the random test. `which` selects one of the requests that the step applies to.
#[derive(Clone, Debug)]
enum Step {
    Arrive { customer: u64, key: u8, variant: u8 },
    Served { which: usize, bytes: usize },
    Rejected { which: usize },
    Failed { which: usize },
    Leave { which: usize },
    Elapse { time: u16 },
    ClockSetBack { time: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..4u64, 0..6u8, 0..20u8)
            .prop_map(|(customer, key, variant)| Step::Arrive { customer, key, variant: variant / 19 }),
        3 => (any::<usize>(), 0..300usize).prop_map(|(which, bytes)| Step::Served { which, bytes }),
        1 => any::<usize>().prop_map(|which| Step::Rejected { which }),
        1 => any::<usize>().prop_map(|which| Step::Failed { which }),
        2 => any::<usize>().prop_map(|which| Step::Leave { which }),
        2 => (0..4000u16).prop_map(|time| Step::Elapse { time }),
        1 => (0..4000u16).prop_map(|time| Step::ClockSetBack { time }),
    ]
}

/// The state of a key in the model.
#[derive(Clone, Debug)]
enum ModelState {
    InFlight,
    Served(Answer, Millis),
    MayHaveRun(Millis),
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// For all events: a key's request is forwarded once within its retention period, unless it is known never to have
    /// run; each request gets exactly one reply; a replay equals the first outcome; and all limits hold.
    #[test]
    fn random_events_match_the_model(
        steps in prop::collection::vec(step(), 1..200),
        entries in 2..12usize,
        wait in any::<bool>(),
    ) {
        let limits = Limits { entries, answer_bytes: 600, waiters_per_key: 3, waiters_per_customer: 4, wait, ..limits() };
        let mut fixture = Fixture::new(limits.clone());
        let mut latest_now: Millis = 0.0;
        let mut known: BTreeMap<(u64, u8), (u8, ModelState)> = BTreeMap::new();
        let mut in_flight: Vec<(Ticket, (u64, u8))> = Vec::new();
        let mut waiting: BTreeMap<Ticket, (u64, u8)> = BTreeMap::new();
        let mut left: BTreeSet<Ticket> = BTreeSet::new();
        for step in steps {
            match step {
                Step::Elapse { time } => {
                    fixture.now += f64::from(time);
                    latest_now = latest_now.max(fixture.now);
                    fixture.handle(Event::Tick);
                }
                Step::ClockSetBack { time } => fixture.now = (fixture.now - f64::from(time)).max(0.0),
                Step::Arrive { customer, key, variant } => {
                    latest_now = latest_now.max(fixture.now);
                    known.retain(|_, (_, known)| match known {
                        ModelState::InFlight => true,
                        ModelState::Served(_, until) | ModelState::MayHaveRun(until) => *until > latest_now,
                    });
                    let (ticket, action) = fixture.arrive_with(customer, &format!("k{key}"), variant);
                    let customer_key = (customer, key);
                    match (known.get(&customer_key), action) {
                        (None, Action::Forward(_)) => {
                            known.insert(customer_key, (variant, ModelState::InFlight));
                            in_flight.push((ticket, customer_key));
                        }
                        (None, Action::Reply(_, TableReply::Full { retry_after })) => {
                            let own = known.keys().filter(|(owner, _)| *owner == customer).count();
                            let share = ((entries as f64 * 0.5) as usize).max(1);
                            prop_assert!(known.len() >= entries || own >= share);
                            prop_assert!(retry_after > 0.0 && retry_after <= RETENTION);
                        }
                        (Some((first_variant, _)), Action::Reply(_, TableReply::Mismatch)) => {
                            prop_assert!(*first_variant != variant);
                        }
                        (Some((first_variant, ModelState::InFlight)), Action::Hold(_)) => {
                            prop_assert!(*first_variant == variant && wait);
                            waiting.insert(ticket, customer_key);
                        }
                        (Some((first_variant, ModelState::InFlight)), Action::Reply(_, TableReply::InFlight)) => {
                            let same = waiting.values().filter(|other| **other == customer_key).count();
                            let own = waiting.values().filter(|(owner, _)| *owner == customer).count();
                            prop_assert!(*first_variant == variant && (!wait || same >= 3 || own >= 4));
                        }
                        (Some((first_variant, ModelState::Served(kept, _))), Action::Reply(_, table_reply)) => {
                            prop_assert!(*first_variant == variant);
                            prop_assert!(table_reply == TableReply::Replay(kept.clone()) || table_reply == TableReply::NotKept);
                        }
                        (Some((first_variant, ModelState::MayHaveRun(_))), Action::Reply(_, TableReply::Unknown)) => {
                            prop_assert!(*first_variant == variant);
                        }
                        (known, action) => prop_assert!(false, "{known:?}: {action:?}"),
                    }
                }
                Step::Leave { which } => {
                    let all: Vec<Ticket> =
                        in_flight.iter().map(|(ticket, _)| *ticket).chain(waiting.keys().copied()).collect();
                    if let Some(ticket) = all.get(which % all.len().max(1)).copied() {
                        // No client gets a reply. A waiting request is dropped, a first one continues.
                        let done = fixture.handle(Event::ClientLeft { ticket });
                        match waiting.remove(&ticket) {
                            Some(_) => prop_assert_eq!(done, vec![Action::Drop(ticket)]),
                            None => prop_assert_eq!(done, vec![]),
                        }
                        left.insert(ticket);
                    }
                }
                Step::Served { which, .. } | Step::Rejected { which } | Step::Failed { which } => {
                    if in_flight.is_empty() {
                        continue;
                    }
                    let (ticket, customer_key) = in_flight.swap_remove(which % in_flight.len());
                    latest_now = latest_now.max(fixture.now);
                    let bytes = if let Step::Served { bytes, .. } = step { bytes } else { 3 };
                    let given = Answer(vec![customer_key.1; bytes]);
                    let answer = given.clone();
                    let (event, outcome) = match step {
                        Step::Served { .. } => (
                            Event::Served { ticket, answer },
                            Some(ModelState::Served(given.clone(), latest_now + RETENTION)),
                        ),
                        Step::Rejected { .. } => (Event::Rejected { ticket, answer }, None),
                        _ => (Event::Failed { ticket, answer }, Some(ModelState::MayHaveRun(latest_now + RETENTION))),
                    };
                    let mut replies: BTreeSet<Ticket> = BTreeSet::new();
                    for action in fixture.handle(event) {
                        let Action::Reply(receiver, table_reply) = action else { panic!("{action:?}") };
                        prop_assert!(replies.insert(receiver) && !left.contains(&receiver));
                        let expected = if receiver == ticket { TableReply::Own(given.clone()) } else { TableReply::Replay(given.clone()) };
                        prop_assert_eq!(table_reply, expected);
                    }
                    let mut expected_tickets: BTreeSet<Ticket> =
                        waiting.iter().filter(|(_, other)| **other == customer_key).map(|(waiter, _)| *waiter).collect();
                    if !left.contains(&ticket) {
                        expected_tickets.insert(ticket);
                    }
                    prop_assert_eq!(&replies, &expected_tickets);
                    waiting.retain(|_, other| *other != customer_key);
                    match outcome {
                        Some(outcome) => {
                            if let Some((_, known)) = known.get_mut(&customer_key) {
                                *known = outcome;
                            }
                        }
                        None => drop(known.remove(&customer_key)),
                    }
                    // A second outcome of the same request has no effect.
                    let second = fixture.handle(Event::Failed { ticket, answer: Answer(vec![]) });
                    prop_assert_eq!(second, vec![]);
                }
            }
            prop_assert!(fixture.table.entries() <= entries);
            prop_assert!(fixture.table.answer_bytes() <= 600);
        }
    }
}

fn recorded_limits() -> Limits {
    Limits {
        recorded: true,
        ..limits()
    }
}

/// The records that these actions append to the log.
fn records(actions: &[Action<Answer>]) -> Vec<Record<Answer>> {
    let record = |action: &Action<Answer>| match action {
        Action::Record(record, _) => Some(record.clone()),
        _ => None,
    };
    actions.iter().filter_map(record).collect()
}

/// A table restored from these records at its start.
fn restored_table(
    limits: Limits,
    now: Millis,
    log: &[Record<Answer>],
    same_clock: bool,
) -> Fixture {
    let mut table = Table::new(limits, now);
    log.iter()
        .for_each(|record| table.restore(record.clone(), same_clock));
    table.finish_restore();
    Fixture {
        table,
        now,
        next: 1000,
    }
}

#[test]
fn a_first_request_is_forwarded_only_once_its_record_is_durable() {
    let mut fixture = Fixture::new(recorded_limits());
    let (customer, key, fingerprint) = (Customer(1), key_of("k"), fingerprint_of(1));
    let ticket = Ticket(0);
    let actions = fixture.handle(Event::Arrived {
        ticket,
        customer,
        key,
        fingerprint,
    });
    assert!(
        matches!(&actions[..], [Action::Record(record, Some(Ticket(0))), Action::Hold(Ticket(0))]
        if record.status == KeyStatus::Claimed)
    );
    // A repeat waits without a record of its own.
    let repeat = Event::Arrived {
        ticket: Ticket(7),
        customer,
        key: key_of("k"),
        fingerprint,
    };
    assert_eq!(fixture.handle(repeat), [Action::Hold(Ticket(7))]);
    assert_eq!(
        fixture.handle(Event::Written { ticket }),
        [Action::Forward(ticket)]
    );
    assert_eq!(fixture.handle(Event::Written { ticket }), []);
}

#[test]
fn a_failed_write_is_reported_to_all_waiters_and_frees_the_key() {
    let mut fixture = Fixture::new(recorded_limits());
    let (customer, key, fingerprint) = (Customer(1), key_of("k"), fingerprint_of(1));
    let (ticket, waiter) = (Ticket(0), Ticket(7));
    fixture.handle(Event::Arrived {
        ticket,
        customer,
        key: key.clone(),
        fingerprint,
    });
    fixture.handle(Event::Arrived {
        ticket: waiter,
        customer,
        key: key.clone(),
        fingerprint,
    });
    let actions = fixture.handle(Event::Unwritten { ticket });
    let not_written = |ticket| Action::Reply(ticket, TableReply::NotWritten);
    assert_eq!(
        actions,
        [
            Action::Drop(ticket),
            not_written(ticket),
            not_written(waiter)
        ]
    );
    assert_eq!(fixture.table.entries(), 0);
    let ticket = Ticket(8);
    assert_eq!(
        fixture
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
fn a_first_request_whose_client_left_before_the_write_is_dropped_unless_a_repeat_waits() {
    for has_waiter in [false, true] {
        let mut fixture = Fixture::new(recorded_limits());
        let (customer, key, fingerprint) = (Customer(1), key_of("k"), fingerprint_of(1));
        let ticket = Ticket(0);
        fixture.handle(Event::Arrived {
            ticket,
            customer,
            key: key.clone(),
            fingerprint,
        });
        if has_waiter {
            fixture.handle(Event::Arrived {
                ticket: Ticket(7),
                customer,
                key,
                fingerprint,
            });
        }
        fixture.handle(Event::ClientLeft { ticket });
        let actions = fixture.handle(Event::Written { ticket });
        match has_waiter {
            true => assert_eq!(actions, [Action::Forward(ticket)]),
            false => {
                assert_eq!(records(&actions)[0].status, KeyStatus::Removed);
                assert_eq!(actions[1], Action::Drop(ticket));
                assert_eq!(fixture.table.entries(), 0);
            }
        }
    }
}

/// The log of an incarnation with one key for each outcome, and one still in flight at its end.
fn log_of_one_incarnation() -> Vec<Record<Answer>> {
    let mut fixture = Fixture::new(recorded_limits());
    let mut log = Vec::new();
    for (ticket, key) in ["served", "refused", "failed", "out"].iter().enumerate() {
        let ticket = Ticket(ticket as u64);
        let arrived = Event::Arrived {
            ticket,
            customer: Customer(1),
            key: key_of(key),
            fingerprint: fingerprint_of(1),
        };
        log.extend(records(&fixture.handle(arrived)));
        fixture.handle(Event::Written { ticket });
        let answer = answer(key);
        log.extend(match *key {
            "served" => records(&fixture.handle(Event::Served { ticket, answer })),
            "refused" => records(&fixture.handle(Event::Rejected { ticket, answer })),
            "failed" => records(&fixture.handle(Event::Failed { ticket, answer })),
            _ => Vec::new(),
        });
    }
    log
}

#[test]
fn the_next_incarnation_restores_each_key_from_the_log() {
    let log = log_of_one_incarnation();
    let mut fixture = restored_table(recorded_limits(), 5_000.0, &log, true);
    assert!(
        matches!(fixture.arrive_with(1, "served", 1).1, Action::Reply(_, TableReply::Replay(a)) if a == answer("served"))
    );
    assert!(matches!(
        fixture.arrive_with(1, "served", 2).1,
        Action::Reply(_, TableReply::Mismatch)
    ));
    assert!(matches!(
        fixture.arrive_with(1, "failed", 1).1,
        Action::Reply(_, TableReply::Unknown)
    ));
    // It was in flight when the incarnation ended, so it may have run.
    assert!(matches!(
        fixture.arrive_with(1, "out", 1).1,
        Action::Reply(_, TableReply::Unknown)
    ));
    // It never ran, so it is new work; so is any unknown key, without a quiet period.
    let (customer, fingerprint) = (Customer(1), fingerprint_of(1));
    for (ticket, key) in [(50, "refused"), (51, "another")] {
        let arrived = Event::Arrived {
            ticket: Ticket(ticket),
            customer,
            key: key_of(key),
            fingerprint,
        };
        assert_eq!(
            records(&fixture.handle(arrived))[0].status,
            KeyStatus::Claimed
        );
    }
}

#[test]
fn a_restored_key_keeps_its_expiry_or_gets_a_whole_retention_if_clocks_differ() {
    let log = log_of_one_incarnation();
    // The served and the failed key have outcomes at 0, and are kept until 10 s if the clock is the same. The key in
    // flight is kept for a whole retention period after the start.
    let mut fixture = restored_table(recorded_limits(), RETENTION - 1.0, &log, true);
    assert_eq!(fixture.table.entries(), 3);
    fixture.now = RETENTION + 1.0;
    fixture.handle(Event::Tick);
    assert_eq!(fixture.table.entries(), 1);
    fixture.now = 2.0 * RETENTION;
    fixture.handle(Event::Tick);
    assert_eq!(fixture.table.entries(), 0);
    let other_boot = restored_table(recorded_limits(), RETENTION * 1000.0, &log, false);
    assert_eq!(other_boot.table.entries(), 3);
    assert_eq!(other_boot.table.answer_bytes(), "served".len());
    let same_boot = restored_table(recorded_limits(), RETENTION * 1000.0, &log, true);
    assert_eq!(
        same_boot.table.entries(),
        1,
        "only the key in flight is kept"
    );
}

proptest! {
    /// The records of a sweep, in steps of any size with changes in between, restore the same table as the swept one.
    #[test]
    fn a_sweep_in_steps_replaces_the_whole_log(
        outcomes in proptest::collection::vec((0..3u8, 0..4u64), 1..40),
        later in proptest::collection::vec((0..3u8, 0..4u64), 0..10),
        step in 1..7usize,
    ) {
        let mut fixture = Fixture::new(recorded_limits());
        let mut ticket = 0;
        let mut run = |fixture: &mut Fixture, (outcome, customer): (u8, u64)| {
            ticket += 1;
            fixture.now += 1.0;
            let (ticket, key) = (Ticket(ticket), key_of(&format!("k{ticket}")));
            let arrived = Event::Arrived { ticket, customer: Customer(customer), key, fingerprint: fingerprint_of(1) };
            let mut log = records(&fixture.handle(arrived));
            fixture.handle(Event::Written { ticket });
            let answer = answer("a");
            log.extend(records(&fixture.handle(match outcome {
                0 => Event::Served { ticket, answer },
                1 => Event::Rejected { ticket, answer },
                _ => Event::Failed { ticket, answer },
            })));
            log
        };
        for outcome in outcomes {
            run(&mut fixture, outcome);
        }
        let (mut log, mut later) = (Vec::new(), later.into_iter());
        let mut cursor = Some(SweepCursor::default());
        while let Some(from) = cursor {
            let (records, next) = fixture.table.sweep(from, step);
            log.extend(records);
            cursor = next;
            if let Some(outcome) = later.next() {
                log.extend(run(&mut fixture, outcome));
            }
        }
        for outcome in later {
            log.extend(run(&mut fixture, outcome));
        }
        let rebuilt = restored_table(recorded_limits(), fixture.now, &log, true);
        prop_assert_eq!(rebuilt.table.entries(), fixture.table.entries());
        prop_assert_eq!(rebuilt.table.answer_bytes(), fixture.table.answer_bytes());
        prop_assert_eq!(rebuilt.table.sweep(SweepCursor::default(), 1000).0.len(), fixture.table.entries());
    }
}
