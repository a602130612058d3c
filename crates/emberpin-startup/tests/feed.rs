//! Lists told by peers, in virtual time: limiters die, stand still, are cut off both ways or one, and lose the service.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_startup::call_schedule::{CallSchedule, GroupPosition};
use emberpin_startup::list_dissemination::{Action, DisseminationConfig, ListDissemination};
use emberpin_startup::list_messages::{ListMessage, ListVersion, WatcherHeartbeat};
use emberpin_startup::topology::neighbours;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const K: usize = 3;
const CONFIG: DisseminationConfig = DisseminationConfig {
    watchers: K,
    heartbeat_interval: Duration::from_millis(1000),
    watcher_timeout: Duration::from_millis(3500),
};
/// Steps of the played time.
const STEP: u64 = 10;

fn of(revision: u64) -> ListVersion {
    ListVersion { epoch: 0, revision }
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

struct Node {
    feed: ListDissemination,
    began: u64,
    slot: Duration,
    /// The answer to its call comes then.
    asked: Option<u64>,
    watching: bool,
    /// It does not call again before.
    rests: u64,
    /// Until then it stands still, or is dead.
    away: u64,
}

/// What goes wrong: to these limiters, from, to.
#[derive(Clone, Debug)]
enum Trouble {
    Killed(Vec<u32>, u64, u64),
    Paused(Vec<u32>, u64, u64),
    /// They cannot tell the others (0), not hear them (1), or neither (2).
    Cut(Vec<u32>, u8, u64, u64),
    ServiceDead(u64, u64),
}

struct Fleet {
    members: BTreeSet<u32>,
    nodes: BTreeMap<u32, Node>,
    /// On the way: when it comes, from, to.
    mail: BTreeMap<(u64, u64), (u32, u32, ListMessage)>,
    sent: u64,
    now: u64,
    rev: u64,
    lives: u64,
    seed: u64,
    calls: Vec<(u64, u32)>,
    troubles: Vec<Trouble>,
}

impl Fleet {
    fn new(size: u32, seed: u64, troubles: Vec<Trouble>) -> Fleet {
        let members: BTreeSet<u32> = (0..size).collect();
        let (nodes, mail, calls) = Default::default();
        let mut fleet = Fleet {
            members,
            nodes,
            mail,
            sent: 0,
            now: 0,
            rev: 1,
            lives: 0,
            seed,
            calls,
            troubles,
        };
        for number in 0..size {
            fleet.start(number);
        }
        fleet
    }

    fn start(&mut self, number: u32) {
        self.lives += 1;
        let size = self.members.len() as u32;
        let slot =
            CallSchedule::staggered(GroupPosition { number, size }, None, 0.5).first_call_at();
        let mut feed = ListDissemination::new(number, self.lives, &self.members, CONFIG, None);
        for other in neighbours(number, &self.members) {
            feed.on_neighbour_reachable(Duration::ZERO, other, &mut Vec::new());
        }
        let node = Node {
            feed,
            began: self.now,
            slot,
            asked: None,
            watching: false,
            rests: 0,
            away: 0,
        };
        self.nodes.insert(number, node);
    }

    fn draw(&mut self) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.seed >> 33
    }

    fn holds_back(&self, from: u32, to: u32) -> bool {
        self.troubles.iter().any(|trouble| match trouble {
            Trouble::Cut(group, way, since, until) if (*since..*until).contains(&self.now) => {
                let (out, into) = (group.contains(&from), group.contains(&to));
                (out && !into && *way != 1) || (into && !out && *way != 0)
            }
            _ => false,
        })
    }

    fn service_is_dead(&self) -> bool {
        let dead = |trouble: &Trouble| matches!(trouble, Trouble::ServiceDead(since, until) if (*since..*until).contains(&self.now));
        self.troubles.iter().any(dead)
    }

    fn with(
        &mut self,
        number: u32,
        event: &mut dyn FnMut(&mut ListDissemination, Duration, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        let Some(node) = self.nodes.get_mut(&number) else {
            return;
        };
        let now = ms(self.now - node.began);
        let before = node.feed.version();
        event(&mut node.feed, now, &mut actions);
        assert!(
            node.feed.version() >= before,
            "{number} went back from {before:?} by what peers told"
        );
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(number, to, message),
                Action::SendList { to } => {
                    let version = self.nodes[&number]
                        .feed
                        .version()
                        .expect("it holds what it tells");
                    self.send(
                        number,
                        to,
                        ListMessage::List {
                            version,
                            entries: vec![7; 3],
                        },
                    );
                }
                Action::EvaluateList {
                    version, entries, ..
                } => {
                    assert_eq!(entries, vec![7; 3]);
                    self.with(number, &mut |feed, now, actions| {
                        feed.on_list_accepted(now, version, actions);
                    });
                }
            }
        }
    }

    fn stop_watching(&mut self, number: u32) {
        if let Some(node) = self.nodes.get_mut(&number) {
            if std::mem::take(&mut node.watching) {
                self.with(number, &mut |feed, now, _| {
                    feed.on_watch_ended(now);
                });
            }
        }
    }

    fn send(&mut self, from: u32, to: u32, said: ListMessage) {
        if self.holds_back(from, to) {
            return;
        }
        self.sent += 1;
        let at = self.now + STEP + self.draw() % 30;
        self.mail.insert((at, self.sent), (from, to, said));
    }

    fn step(&mut self) {
        self.now += STEP;
        for trouble in self.troubles.clone() {
            match trouble {
                Trouble::Killed(group, since, until)
                    if (since..since + STEP).contains(&self.now) =>
                {
                    for number in group {
                        self.start(number);
                        self.nodes.get_mut(&number).expect("there").away = until;
                    }
                }
                Trouble::Paused(group, since, until)
                    if (since..since + STEP).contains(&self.now) =>
                {
                    for number in group {
                        self.nodes.get_mut(&number).expect("there").away = until;
                    }
                }
                _ => {}
            }
        }
        while let Some((&(at, sent), _)) = self
            .mail
            .first_key_value()
            .filter(|((at, _), _)| *at <= self.now)
        {
            let Some((from, to, said)) = self.mail.remove(&(at, sent)) else {
                break;
            };
            let away = self.nodes[&to].away;
            match away > self.now {
                // To one that stands still it comes when it goes on; to one that is dead, too: an old life's.
                true => _ = self.mail.insert((away, sent), (from, to, said)),
                false => self.with(to, &mut |feed, now, actions| {
                    feed.on_message(now, from, said.clone(), actions);
                }),
            }
        }
        let numbers: Vec<u32> = self.nodes.keys().copied().collect();
        for number in numbers {
            let (dead, rev) = (self.service_is_dead(), self.rev);
            let node = &self.nodes[&number];
            if node.away > self.now {
                continue;
            }
            if node.watching && (dead || node.feed.is_surplus_watcher(ms(self.now - node.began))) {
                self.stop_watching(number);
            }
            if self.nodes[&number].watching && self.nodes[&number].feed.version() < Some(of(rev)) {
                self.with(number, &mut |feed, now, actions| {
                    feed.on_list_accepted(now, of(rev), actions);
                });
            }
            self.call(number, dead);
            if self.now.is_multiple_of(200) {
                self.with(number, &mut |feed, now, actions| feed.on_tick(now, actions));
            }
        }
    }

    fn call(&mut self, number: u32, dead: bool) {
        let pause = 500 + self.draw() % 1500;
        let (now, rev) = (self.now, self.rev);
        let Some(node) = self.nodes.get_mut(&number) else {
            return;
        };
        match node.asked {
            Some(at) if at > now => {}
            Some(_) => {
                node.asked = None;
                node.watching = true;
                self.with(number, &mut |feed, now, actions| {
                    feed.on_watch_started(now, actions);
                    feed.on_list_accepted(now, of(rev), actions);
                });
            }
            None => {
                let due = node
                    .feed
                    .call_due_at(node.slot)
                    .is_some_and(|due| ms(now - node.began) >= due);
                if !node.watching && due && node.rests <= now {
                    self.calls.push((now, number));
                    match dead {
                        true => node.rests = now + pause,
                        false => node.asked = Some(now + 50),
                    }
                }
            }
        }
    }

    fn play(&mut self, until: u64) {
        while self.now < until {
            self.step();
        }
    }

    fn calls_since(&self, time: u64) -> usize {
        self.calls.iter().filter(|(at, _)| *at >= time).count()
    }

    /// Everyone holds the newest list, and as many watch as are to.
    fn is_settled(&self) -> Result<(), String> {
        let behind: Vec<&u32> = self
            .nodes
            .iter()
            .filter(|(_, n)| n.feed.version() != Some(of(self.rev)))
            .map(|(n, _)| n)
            .collect();
        let watching = self.nodes.values().filter(|node| node.watching).count();
        match behind.is_empty() && watching == K.min(self.nodes.len()) {
            true => Ok(()),
            false => Err(format!(
                "{behind:?} are behind {}, {watching} watch",
                self.rev
            )),
        }
    }
}

#[test]
fn of_any_number_few_call_and_all_hold_the_list() {
    for size in [1, 2, 3, 10, 100, 1000] {
        let mut fleet = Fleet::new(size, 1, vec![]);
        fleet.play(10_000);
        fleet.is_settled().unwrap_or_else(|e| panic!("{size}: {e}"));
        let most = K.max(size as usize / 5).min(size as usize);
        assert!(
            fleet.calls.len() <= most,
            "{size}: {} calls",
            fleet.calls.len()
        );
        // A change reaches all from those that watch.
        fleet.rev += 1;
        fleet.play(10_500);
        fleet
            .is_settled()
            .unwrap_or_else(|e| panic!("{size}, changed: {e}"));
    }
}

#[test]
fn callers_killed_together_are_replaced_by_few() {
    let mut fleet = Fleet::new(100, 2, vec![]);
    fleet.play(10_000);
    let callers: Vec<u32> = fleet
        .nodes
        .iter()
        .filter(|(_, n)| n.watching)
        .map(|(n, _)| *n)
        .collect();
    fleet
        .troubles
        .push(Trouble::Killed(callers, 10_010, 60_000));
    fleet.rev += 1;
    fleet.play(16_000);
    assert!(
        (K..=10).contains(&fleet.calls_since(10_000)),
        "{} calls",
        fleet.calls_since(10_000)
    );
    let held = fleet
        .nodes
        .values()
        .filter(|node| node.feed.version() == Some(of(2)))
        .count();
    assert_eq!(held, 100 - K, "all that live");
}

#[test]
fn after_an_outage_of_the_service_those_that_called_too_many_give_up_their_watch() {
    let mut fleet = Fleet::new(60, 3, vec![Trouble::ServiceDead(0, 8_000)]);
    fleet.play(8_000);
    assert!(
        fleet.calls.len() >= 60,
        "everyone tried: {}",
        fleet.calls.len()
    );
    fleet.play(30_000);
    fleet.is_settled().unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn an_older_list_is_followed_under_a_further_word_alone() {
    let (mut actions, now) = (Vec::new(), ms(1));
    let mut feed = ListDissemination::new(0, 1, &BTreeSet::from([0, 1, 2]), CONFIG, Some(9));
    let pulse = |seq, version| {
        ListMessage::Heartbeat(WatcherHeartbeat {
            watcher: 1,
            incarnation: 1,
            sequence: seq,
            version,
        })
    };
    feed.on_message(now, 1, pulse(1, of(8)), &mut actions);
    assert_eq!(
        (feed.watcher_count(now), actions.len()),
        (0, 0),
        "an older one is not wanted and no ground to wait"
    );
    feed.on_list_accepted(now, of(8), &mut actions);
    assert_eq!(feed.version(), Some(of(9)));
    let believed = ListVersion {
        epoch: 1,
        revision: 4,
    };
    feed.on_message(now, 1, pulse(2, believed), &mut actions);
    assert_eq!(
        actions,
        vec![Action::Send {
            to: 1,
            message: ListMessage::Request { version: believed }
        }]
    );
    feed.on_message(
        now,
        1,
        ListMessage::List {
            version: believed,
            entries: vec![],
        },
        &mut actions,
    );
    assert_eq!(
        actions[1],
        Action::EvaluateList {
            version: believed,
            confirmed: true,
            entries: vec![]
        }
    );
    feed.on_list_accepted(now, believed, &mut actions);
    actions.clear();
    feed.on_message(now, 1, pulse(3, of(10)), &mut actions);
    feed.on_message(
        now,
        1,
        ListMessage::List {
            version: of(10),
            entries: vec![],
        },
        &mut actions,
    );
    assert!(
        actions.is_empty() && feed.version() == Some(believed),
        "not back again: {actions:?}"
    );
}

#[test]
fn neighbours_hear_each_other_and_cut_nobody_off() {
    for size in 1..400u32 {
        let members: BTreeSet<u32> = (0..size).map(|number| number * 3).collect();
        let near: BTreeMap<u32, BTreeSet<u32>> = members
            .iter()
            .map(|number| (*number, neighbours(*number, &members)))
            .collect();
        let mut reached = BTreeSet::from([0]);
        let mut hops = 0;
        while reached.len() < members.len() {
            let next: BTreeSet<u32> = reached
                .iter()
                .flat_map(|number| &near[number])
                .copied()
                .collect();
            reached.extend(next);
            hops += 1;
            assert!(hops <= 9, "{size}: {} reached", reached.len());
        }
        assert!(near
            .iter()
            .all(|(a, to)| to.iter().all(|b| near[b].contains(a) && a != b)));
        assert!(near.values().all(|to| to.len() <= 10));
    }
}

fn group() -> impl Strategy<Value = Vec<u32>> {
    proptest::collection::vec(0..24u32, 1..20)
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let times =
        || (0..20_000u64, 100..9_000u64).prop_map(|(at, length)| (at / STEP * STEP, at + length));
    prop_oneof![
        (group(), times()).prop_map(|(group, (from, to))| Trouble::Killed(group, from, to)),
        (group(), times()).prop_map(|(group, (from, to))| Trouble::Paused(group, from, to)),
        (group(), 0..3u8, times())
            .prop_map(|(group, way, (from, to))| Trouble::Cut(group, way, from, to)),
        times().prop_map(|(from, to)| Trouble::ServiceDead(from, to)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Whatever happened, soon after it is over everyone holds the newest list, few watch, and nobody calls any more.
    #[test]
    fn whatever_fails_all_hold_the_newest_list_soon_after(
        seed in any::<u64>(),
        troubles in proptest::collection::vec(trouble(), 0..6),
        changes in proptest::collection::vec(0..25_000u64, 0..5),
    ) {
        let mut fleet = Fleet::new(24, seed, troubles);
        let mut changes = changes;
        changes.sort_unstable();
        for at in changes {
            fleet.play(at);
            fleet.rev += 1;
        }
        fleet.play(45_000);
        let settled = fleet.is_settled();
        prop_assert!(settled.is_ok(), "{:?}", settled);
        fleet.play(60_000);
        prop_assert_eq!(fleet.calls_since(45_000), 0);
    }
}
