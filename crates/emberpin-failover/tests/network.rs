//! Work of one limiter kept by three, over a network in memory that delays, reorders between pairs and loses, with limiters
//! that are killed, start anew and are taken for gone while they are only slow; drawn from seeds.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_failover::{
    Action, Event, Hall, Hands, Member, Millis, Rules, Said, Verdict, Work, WorkId,
};
use emberpin_peering::Life;
use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};

const WINDOW: Millis = 1_500.0;
const ASK: Millis = 100.0;
/// The claimant keeps its own work, and so do the next two; the fourth keeps nothing.
const KEEPERS: [Member; 3] = [Member(0), Member(1), Member(2)];
const HALL: Hall = Hall { zone: 1, cell: 0 };

struct Fleet {
    now: Millis,
    nodes: Vec<Option<Hands>>,
    lives: Vec<Life>,
    wires: BTreeMap<(usize, usize), VecDeque<Said>>,
    /// Attempts that went out: when, and by whom.
    sends: Vec<(Millis, usize)>,
    verdicts: Vec<Verdict>,
    taken: usize,
    closed: usize,
    withheld: usize,
    window: Option<Millis>,
    within: Millis,
    per_s: f64,
}

fn rules(me: usize, life: Life, per_s: f64) -> Rules {
    let (me, keep) = (Member(me as u32), 4_000.0);
    Rules {
        me,
        life,
        ask_within: ASK,
        tell_within: 400.0,
        keep,
        entries: 100,
        bytes: 10_000,
        per_s,
    }
}

impl Fleet {
    fn new(window: Option<Millis>, per_s: f64) -> Fleet {
        let lives: Vec<Life> = (0..4)
            .map(|n| Life {
                number: 1,
                nonce: n,
            })
            .collect();
        let nodes = (0..4)
            .map(|n| Some(Hands::new(rules(n, lives[n], per_s), 0.0)))
            .collect();
        let mut fleet = Fleet {
            now: 0.0,
            nodes,
            lives,
            wires: BTreeMap::new(),
            sends: Vec::new(),
            verdicts: Vec::new(),
            taken: 0,
            closed: 0,
            withheld: 0,
            window,
            within: 2_500.0,
            per_s,
        };
        (0..4).for_each(|at| fleet.meet(at));
        fleet
    }

    fn id(&self) -> WorkId {
        WorkId {
            claimant: Member(0),
            life: Life {
                number: 1,
                nonce: 0,
            },
            claim: 7,
        }
    }

    /// One hears of all others' lives.
    fn meet(&mut self, at: usize) {
        for other in 0..4 {
            let (member, life) = (Member(other as u32), self.lives[other]);
            self.feed(at, Event::Lives { member, life });
        }
    }

    fn work(&self) -> Work {
        Work {
            payload: vec![1; 100],
            window: self.window,
            within: self.within,
        }
    }

    /// The key is granted, and its first attempt asked for.
    fn begin(&mut self) {
        let (id, keepers) = (self.id(), KEEPERS.to_vec());
        for at in 0..3 {
            self.feed(
                at,
                Event::Granted {
                    id,
                    keepers: keepers.clone(),
                },
            );
        }
        self.feed(0, Event::Begun { id, keepers });
        let work = self.work();
        self.feed(
            0,
            Event::Go {
                id,
                attempt: 0,
                to: HALL,
                work,
            },
        );
    }

    fn feed(&mut self, at: usize, event: Event) {
        let Some(hands) = self.nodes[at].as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        hands.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Say(to, said) => {
                    self.wires
                        .entry((at, to.0 as usize))
                        .or_default()
                        .push_back(said);
                }
                Action::Send(..) => self.sends.push((self.now, at)),
                Action::Withhold(id, _) if at != 0 => self.feed(at, Event::Failed(id)),
                Action::Withhold(..) => self.withheld += 1,
                Action::TakeOver { id, work, went } => {
                    self.taken += 1;
                    assert_eq!(went.hall, HALL);
                    self.feed(
                        at,
                        Event::Go {
                            id,
                            attempt: 0,
                            to: went.hall,
                            work,
                        },
                    );
                }
                Action::Closed(_) => self.closed += 1,
                Action::End(_, verdict) => self.verdicts.push(verdict),
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize) -> bool {
        let Some(said) = self
            .wires
            .get_mut(&(from, to))
            .and_then(VecDeque::pop_front)
        else {
            return false;
        };
        self.feed(to, Event::Heard(Member(from as u32), said));
        true
    }

    /// Everything that is under way arrives, and time passes.
    fn settle(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            let pairs: Vec<(usize, usize)> = self.wires.keys().copied().collect();
            let mut any = false;
            for (from, to) in pairs {
                any |= self.deliver(from, to);
            }
            if !any {
                self.now += 10.0;
                (0..4).for_each(|at| self.feed(at, Event::Tick));
            }
        }
    }

    /// kill -9: what it had said may have arrived or not; it starts anew, knowing nothing.
    fn kill(&mut self, at: usize, lost: bool) {
        self.wires
            .retain(|(from, to), _| (!lost || *from != at) && *to != at);
        self.nodes[at] = None;
    }

    fn start(&mut self, at: usize) {
        self.lives[at].number += 1;
        self.nodes[at] = Some(Hands::new(rules(at, self.lives[at], self.per_s), self.now));
        self.meet(at);
        let (member, life) = (Member(at as u32), self.lives[at]);
        (0..4).for_each(|other| self.feed(other, Event::Lives { member, life }));
    }

    /// Others believe that a life of it is gone, whether it is or not.
    fn is_gone_for(&mut self, at: usize, gone: usize, number: u64) {
        let life = Life {
            number,
            nonce: self.lives[gone].nonce,
        };
        self.feed(at, Event::Gone(Member(gone as u32), life));
    }
}

#[test]
fn an_attempt_goes_out_once_a_majority_has_it() {
    let mut fleet = Fleet::new(Some(WINDOW), 10.0);
    fleet.begin();
    assert_eq!(fleet.sends.len(), 0, "its own note is no majority");
    fleet.settle(50.0);
    assert_eq!(fleet.sends.len(), 1);
    fleet.feed(0, Event::Done(fleet.id()));
    assert_eq!(
        fleet.closed, 0,
        "its client is not told before a majority knows"
    );
    fleet.settle(50.0);
    assert_eq!(fleet.closed, 1);
    assert!((0..3).all(|at| fleet.nodes[at]
        .as_ref()
        .is_some_and(|hands| hands.kept() == (1, 0))));
    fleet.settle(10_000.0);
    assert!((0..3).all(|at| fleet.nodes[at]
        .as_ref()
        .is_some_and(|hands| hands.kept() == (0, 0))));
}

#[test]
fn work_that_went_out_is_taken_over_once_within_its_window() {
    let mut fleet = Fleet::new(Some(WINDOW), 10.0);
    fleet.begin();
    fleet.settle(50.0);
    fleet.kill(0, false);
    (1..3).for_each(|at| fleet.is_gone_for(at, 0, 1));
    fleet.settle(1_000.0);
    assert_eq!(
        (fleet.sends.len(), fleet.taken),
        (2, 1),
        "by its claimant, and by one that took over"
    );
}

#[test]
fn what_may_never_run_twice_or_is_past_its_window_is_told_so() {
    for (window, late) in [(None, 0.0), (Some(WINDOW), WINDOW)] {
        let mut fleet = Fleet::new(window, 10.0);
        fleet.begin();
        fleet.settle(50.0 + late);
        fleet.kill(0, false);
        (1..3).for_each(|at| fleet.is_gone_for(at, 0, 1));
        fleet.settle(1_000.0);
        assert_eq!((fleet.sends.len(), fleet.taken), (1, 0));
        assert!(
            !fleet.verdicts.is_empty() && fleet.verdicts.iter().all(|v| *v == Verdict::MayHaveRun)
        );
    }
}

#[test]
fn what_no_majority_knows_of_was_not_sent_and_never_will_be() {
    let mut fleet = Fleet::new(None, 10.0);
    fleet.begin();
    // Slow and not dead: what it asked for has not arrived when others take it for gone.
    let held: Vec<_> = std::mem::take(&mut fleet.wires).into_iter().collect();
    for at in 1..3 {
        fleet.feed(at, Event::Reaches(Member(0), false));
        fleet.is_gone_for(at, 0, 1);
    }
    fleet.settle(90.0);
    assert!(!fleet.verdicts.is_empty() && fleet.verdicts.iter().all(|v| *v == Verdict::NotSent));
    (1..3).for_each(|at| fleet.feed(at, Event::Reaches(Member(0), true)));
    fleet.wires.extend(held);
    fleet.settle(300.0);
    assert_eq!(fleet.sends.len(), 0, "its next step fails");
    assert!(fleet.withheld > 0);
}

#[test]
fn a_keeper_that_has_started_anew_promises_nothing_about_what_was_before() {
    let mut fleet = Fleet::new(None, 10.0);
    fleet.begin();
    fleet.settle(50.0);
    fleet.kill(0, false);
    fleet.kill(1, false);
    fleet.start(1);
    // The other one alone is no majority: without a word nobody ends it, and above all not as not sent.
    (1..3).for_each(|at| fleet.is_gone_for(at, 0, 1));
    fleet.settle(2_000.0);
    assert!(fleet.verdicts.is_empty(), "{:?}", fleet.verdicts);
}

#[test]
fn the_one_that_takes_over_dies_too_and_the_next_goes_on() {
    let mut fleet = Fleet::new(Some(WINDOW), 10.0);
    fleet.begin();
    fleet.settle(50.0);
    fleet.kill(0, false);
    fleet.is_gone_for(1, 0, 1);
    fleet.settle(30.0);
    assert_eq!(fleet.taken, 1);
    fleet.kill(1, false);
    fleet.start(1);
    fleet.is_gone_for(2, 1, 1);
    fleet.settle(500.0);
    assert_eq!(
        fleet.taken, 1,
        "of three keepers one is left that knows: no majority"
    );
    assert_eq!(fleet.sends.len(), 2);
}

#[test]
fn more_than_the_budget_ends_at_once_as_what_may_have_run() {
    let mut fleet = Fleet::new(Some(WINDOW), 0.0);
    fleet.begin();
    fleet.settle(50.0);
    // The one piece that a limiter without a rate may take at all is used up.
    let other = WorkId {
        claim: 8,
        ..fleet.id()
    };
    for at in 1..3 {
        fleet.feed(
            at,
            Event::Granted {
                id: other,
                keepers: KEEPERS.to_vec(),
            },
        );
    }
    let (life, work) = (fleet.lives[1], fleet.work());
    let went = emberpin_failover::Went {
        hall: HALL,
        ago: 0.0,
    };
    let ballot = emberpin_failover::Ballot {
        round: 0,
        of: Member(0),
    };
    fleet.feed(
        1,
        Event::Heard(
            Member(0),
            Said::Going {
                id: other,
                ballot,
                seen: life,
                went,
                work,
            },
        ),
    );
    fleet.kill(0, false);
    fleet.is_gone_for(1, 0, 1);
    fleet.settle(80.0);
    assert_eq!(fleet.taken, 1);
    assert!(fleet.verdicts.contains(&Verdict::MayHaveRun));
}

#[test]
fn a_keeper_that_has_started_anew_notes_no_attempt_of_work_from_before() {
    let mut fleet = Fleet::new(None, 10.0);
    fleet.begin();
    let mut held = std::mem::take(&mut fleet.wires);
    for at in 1..3 {
        fleet.feed(at, Event::Reaches(Member(0), false));
        fleet.is_gone_for(at, 0, 1);
    }
    fleet.settle(90.0);
    assert!(fleet.verdicts.contains(&Verdict::NotSent));
    // The promise is forgotten, and what the claimant asked for arrives only now, where it was promised away.
    fleet.kill(1, false);
    fleet.start(1);
    let said = held
        .get_mut(&(0, 1))
        .and_then(VecDeque::pop_front)
        .expect("it was asked");
    fleet.feed(1, Event::Heard(Member(0), said));
    fleet.settle(90.0);
    assert_eq!(fleet.sends.len(), 0);
}

#[test]
fn work_whose_time_is_over_is_not_gone_on_with() {
    let mut fleet = Fleet {
        within: 100.0,
        ..Fleet::new(Some(WINDOW), 10.0)
    };
    fleet.begin();
    fleet.settle(50.0);
    fleet.kill(0, false);
    fleet.settle(100.0);
    (1..3).for_each(|at| fleet.is_gone_for(at, 0, 1));
    fleet.settle(500.0);
    assert_eq!((fleet.taken, fleet.sends.len()), (0, 1));
    assert!(fleet.verdicts.contains(&Verdict::MayHaveRun));
}

#[test]
fn one_that_learns_late_leaves_the_work_to_the_one_that_goes_on() {
    let mut fleet = Fleet::new(Some(WINDOW), 10.0);
    fleet.begin();
    fleet.settle(50.0);
    fleet.kill(0, false);
    fleet.is_gone_for(1, 0, 1);
    fleet.settle(60.0);
    fleet.is_gone_for(2, 0, 1);
    fleet.settle(800.0);
    assert_eq!((fleet.taken, fleet.sends.len()), (1, 2));
}

#[test]
fn news_of_the_same_end_again_does_not_make_one_take_over_again() {
    let mut fleet = Fleet::new(Some(WINDOW), 10.0);
    fleet.begin();
    fleet.settle(50.0);
    fleet.kill(0, false);
    for _ in 0..2 {
        // First its connection ended, then it is back in another life.
        fleet.is_gone_for(1, 0, 1);
        fleet.settle(100.0);
    }
    assert_eq!((fleet.taken, fleet.sends.len()), (1, 2));
}

#[test]
fn a_client_is_told_after_a_while_where_nobody_answers() {
    let mut fleet = Fleet::new(Some(WINDOW), 10.0);
    fleet.begin();
    fleet.settle(50.0);
    (1..3).for_each(|other| fleet.feed(0, Event::Reaches(Member(other), false)));
    fleet.feed(0, Event::Done(fleet.id()));
    fleet.settle(300.0);
    assert_eq!(fleet.closed, 0);
    fleet.settle(150.0);
    assert_eq!(fleet.closed, 1);
}

/// Two know of the outcome, and one that was cut off does not; it asks when the claimant is gone.
#[test]
fn one_that_has_not_heard_of_the_outcome_is_told_when_it_asks() {
    for ended in [false, true] {
        let mut fleet = Fleet::new(if ended { None } else { Some(WINDOW) }, 10.0);
        fleet.begin();
        fleet.settle(50.0);
        if ended {
            // It may never run twice: the one that asks says so, and its word to the other is lost.
            fleet.kill(0, false);
            fleet.is_gone_for(1, 0, 1);
            (1..3).for_each(|at| fleet.feed(at, Event::Tick));
            _ = (fleet.deliver(1, 2), fleet.deliver(2, 1));
            assert_eq!(fleet.verdicts.len(), 1);
            fleet.wires.clear();
            fleet.feed(1, Event::Reaches(Member(2), false));
        } else {
            (0..2).for_each(|at| fleet.feed(at, Event::Reaches(Member(2), false)));
            fleet.feed(0, Event::Done(fleet.id()));
        }
        fleet.settle(60.0);
        fleet.kill(0, false);
        fleet.feed(1, Event::Reaches(Member(2), true));
        fleet.is_gone_for(2, 0, 1);
        fleet.settle(800.0);
        assert_eq!((fleet.taken, fleet.sends.len()), (0, 1), "ended: {ended}");
        assert!(!fleet.verdicts.contains(&Verdict::NotSent));
    }
}

#[test]
fn words_that_come_late_or_about_another_ballot_let_nothing_out() {
    let mut fleet = Fleet::new(Some(WINDOW), 10.0);
    fleet.begin();
    // No turn for longer than it waits: keepers may have promised the work away meanwhile.
    fleet.now += 2.0 * ASK;
    (1..3).for_each(|to| _ = fleet.deliver(0, to));
    (1..3).for_each(|from| _ = fleet.deliver(from, 0));
    assert_eq!(fleet.sends.len(), 0);
    let mut fleet = Fleet::new(Some(WINDOW), 10.0);
    fleet.begin();
    let (id, ballot) = (
        fleet.id(),
        emberpin_failover::Ballot {
            round: 5,
            of: Member(1),
        },
    );
    fleet.feed(0, Event::Heard(Member(1), Said::Noted { id, ballot }));
    assert_eq!(fleet.sends.len(), 0);
}

#[test]
fn a_later_attempt_counts_from_the_first() {
    let mut fleet = Fleet::new(Some(WINDOW), 10.0);
    fleet.begin();
    fleet.settle(1_000.0);
    let (id, work) = (fleet.id(), fleet.work());
    fleet.feed(
        0,
        Event::Go {
            id,
            attempt: 1,
            to: HALL,
            work,
        },
    );
    fleet.settle(400.0);
    fleet.kill(0, false);
    (1..3).for_each(|at| fleet.is_gone_for(at, 0, 1));
    fleet.settle(500.0);
    assert_eq!(
        fleet.taken, 0,
        "1.4 s after the first one the window is as good as over"
    );
}

#[test]
fn a_keeper_that_has_promised_a_ballot_promises_no_lower_one() {
    let mut hands = Hands::new(
        rules(
            1,
            Life {
                number: 1,
                nonce: 1,
            },
            1.0,
        ),
        0.0,
    );
    let id = WorkId {
        claimant: Member(0),
        life: Life {
            number: 1,
            nonce: 0,
        },
        claim: 1,
    };
    let seen = Life {
        number: 1,
        nonce: 1,
    };
    let mut ask = |round: u32, of: u32| {
        let (ballot, mut actions) = (
            emberpin_failover::Ballot {
                round,
                of: Member(of),
            },
            Vec::new(),
        );
        hands.handle(
            0.0,
            Event::Heard(Member(of), Said::Prepare { id, ballot, seen }),
            &mut actions,
        );
        actions
            .iter()
            .any(|action| matches!(action, Action::Say(_, Said::Promised { .. })))
    };
    assert!(ask(2, 2));
    assert!(
        !ask(1, 3),
        "the lower one would let through what the higher one was told is not let through"
    );
    assert!(ask(2, 3));
}

#[test]
fn a_table_that_is_full_takes_no_new_work() {
    let mut hands = Hands::new(
        Rules {
            entries: 1,
            ..rules(
                1,
                Life {
                    number: 1,
                    nonce: 1,
                },
                1.0,
            )
        },
        0.0,
    );
    let mut say = |claim: u64, payload: usize| {
        let id = WorkId {
            claimant: Member(0),
            life: Life {
                number: 1,
                nonce: 0,
            },
            claim,
        };
        let ballot = emberpin_failover::Ballot {
            round: 0,
            of: Member(0),
        };
        let went = emberpin_failover::Went {
            hall: HALL,
            ago: f64::NAN,
        };
        let work = Work {
            payload: vec![0; payload],
            window: None,
            within: f64::INFINITY,
        };
        let mut actions = Vec::new();
        let seen = Life {
            number: 1,
            nonce: 1,
        };
        hands.handle(
            0.0,
            Event::Heard(
                Member(0),
                Said::Going {
                    id,
                    ballot,
                    seen,
                    went,
                    work,
                },
            ),
            &mut actions,
        );
        actions
            .iter()
            .any(|action| matches!(action, Action::Say(_, Said::Noted { .. })))
    };
    assert!(!say(1, 20_000), "more bytes than it may keep");
    assert!(say(2, 100));
    assert!(!say(3, 100), "more pieces than it may keep");
}

/// One step of a drawn run.
#[derive(Clone, Debug)]
enum Step {
    Deliver(usize, usize),
    Lose(usize, usize),
    Pass(u16),
    Gone { at: usize, of: usize },
    Kill { at: usize, lost: bool },
    Start(usize),
    Repeat(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let (node, other) = (0..4usize, 0..4usize);
    prop_oneof![
        8 => (node.clone(), other.clone()).prop_map(|(a, b)| Step::Deliver(a, b)),
        1 => (node.clone(), other.clone()).prop_map(|(a, b)| Step::Lose(a, b)),
        1 => (node.clone(), other.clone()).prop_map(|(a, b)| Step::Repeat(a, b)),
        3 => (0..200u16).prop_map(Step::Pass),
        3 => (1..3usize, 0..3usize).prop_map(|(at, of)| Step::Gone { at, of }),
        1 => (node.clone(), any::<bool>()).prop_map(|(at, lost)| Step::Kill { at, lost }),
        1 => node.prop_map(Step::Start),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, ..ProptestConfig::default() })]
    #[test]
    fn whatever_fails_nothing_goes_out_that_may_not(
        steps in proptest::collection::vec(step(), 0..80),
        keyed in any::<bool>(),
    ) {
        let mut fleet = Fleet::new(keyed.then_some(WINDOW), 1_000.0);
        fleet.begin();
        let began = fleet.now;
        for step in steps {
            match step {
                Step::Deliver(a, b) => _ = fleet.deliver(a, b),
                Step::Lose(a, b) => _ = fleet.wires.get_mut(&(a, b)).and_then(VecDeque::pop_front),
                Step::Repeat(a, b) => {
                    if let Some(wire) = fleet.wires.get_mut(&(a, b)) {
                        if let Some(said) = wire.front().cloned() {
                            wire.push_back(said);
                        }
                    }
                }
                Step::Pass(time) => {
                    fleet.now += f64::from(time);
                    (0..4).for_each(|at| fleet.feed(at, Event::Tick));
                }
                Step::Gone { at, of } => {
                    let number = fleet.lives[of].number;
                    fleet.is_gone_for(at, of, number);
                    fleet.is_gone_for(at, of, 1);
                }
                Step::Kill { at, lost } => fleet.kill(at, lost),
                Step::Start(at) => {
                    if fleet.nodes[at].is_none() {
                        fleet.start(at);
                    }
                }
            }
            if fleet.verdicts.contains(&Verdict::NotSent) {
                prop_assert!(fleet.sends.is_empty(), "not sent, and sent: {:?}", fleet.sends);
            }
            if keyed {
                let last = fleet.sends.last().map_or(began, |(at, _)| *at);
                prop_assert!(fleet.sends.len() < 2 || last < began + WINDOW, "{:?}", fleet.sends);
            } else {
                prop_assert!(fleet.sends.len() < 2, "what may never run twice went out twice: {:?}", fleet.sends);
            }
        }
    }
}
