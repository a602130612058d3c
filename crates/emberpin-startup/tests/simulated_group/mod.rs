//! A group of limiters in virtual time that spread the list of one discovery service, with faults: killed or
//! stalled processes, partitions in one direction or both, and an outage of the discovery service.
#![allow(dead_code, reason = "each test file uses a part of it")]

use emberpin_startup::call_schedule::{CallSchedule, GroupPosition};
use emberpin_startup::list_dissemination::{Action, DisseminationConfig, ListDissemination};
use emberpin_startup::list_messages::{Incarnation, ListMessage, ListVersion};
use emberpin_startup::topology::neighbours;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

/// How many watchers the group is to have.
pub const WATCHERS: usize = 3;
pub const CONFIG: DisseminationConfig = DisseminationConfig {
    watchers: WATCHERS,
    heartbeat_interval: Duration::from_millis(1000),
    watcher_timeout: Duration::from_millis(3500),
};
/// The steps of virtual time, in milliseconds, like all times here.
pub const STEP: u64 = 10;
const TICK_INTERVAL: u64 = 200;
/// The time from a call until the discovery service answers it.
const ANSWER_TIME: u64 = 50;
/// The entries of every simulated list.
const ENTRIES: [u8; 3] = [7; 3];

pub fn version(revision: u64) -> ListVersion {
    ListVersion { epoch: 0, revision }
}

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    /// Messages from the group's limiters to the others are lost.
    Outbound,
    /// Messages from the others to the group's limiters are lost.
    Inbound,
    Both,
}

/// A fault of some limiters, given by their member numbers, or of the discovery service, during a range
/// of time.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The processes are killed, and new ones start at the end of the range.
    Kill(Vec<u32>, Range<u64>),
    /// The processes do nothing, and then continue with the messages that arrived in the meantime.
    Stall(Vec<u32>, Range<u64>),
    Partition(Vec<u32>, CutDirection, Range<u64>),
    ServiceOutage(Range<u64>),
}

struct Node {
    dissemination: ListDissemination,
    started_at: u64,
    slot: Duration,
    /// When the discovery service answers the call that is pending.
    answer_at: Option<u64>,
    watching: bool,
    /// The earliest time of the next call, after one that failed.
    retry_at: u64,
    /// The time until which the process is stalled or down.
    absent_until: u64,
}

pub struct SimulatedGroup {
    /// The revision of the discovery service's list.
    pub revision: u64,
    pub faults: Vec<Fault>,
    /// When each call was made, and by which limiter.
    pub calls: Vec<(u64, u32)>,
    members: BTreeSet<u32>,
    nodes: BTreeMap<u32, Node>,
    /// Sender, receiver and message, by arrival time and message number.
    in_transit: BTreeMap<(u64, u64), (u32, u32, ListMessage)>,
    messages_sent: u64,
    now: u64,
    last_incarnation: Incarnation,
    random_state: u64,
}

impl SimulatedGroup {
    pub fn new(size: u32, seed: u64, faults: Vec<Fault>) -> SimulatedGroup {
        let mut group = SimulatedGroup {
            revision: 1,
            faults,
            calls: Vec::new(),
            members: (0..size).collect(),
            nodes: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            messages_sent: 0,
            now: 0,
            last_incarnation: Incarnation(0),
            random_state: seed,
        };
        for number in 0..size {
            group.start_node(number);
        }
        group
    }

    pub fn run_until(&mut self, time: u64) {
        while self.now < time {
            self.step();
        }
    }

    pub fn calls_since(&self, time: u64) -> usize {
        self.calls.iter().filter(|(at, _)| *at >= time).count()
    }

    pub fn watchers(&self) -> Vec<u32> {
        let watching = self.nodes.iter().filter(|(_, node)| node.watching);
        watching.map(|(number, _)| *number).collect()
    }

    /// How many limiters have the list of this revision.
    pub fn nodes_with(&self, revision: u64) -> usize {
        let current = Some(version(revision));
        let nodes = self.nodes.values();
        nodes
            .filter(|node| node.dissemination.version() == current)
            .count()
    }

    /// Asserts that every limiter has the newest list, and that as many limiters watch as are configured.
    pub fn assert_settled(&self) {
        if let Err(problem) = self.check_settled() {
            panic!("group of {}: {problem}", self.nodes.len());
        }
    }

    /// Like [`SimulatedGroup::assert_settled`], but returns the failure, for use in a property test.
    pub fn check_settled(&self) -> Result<(), String> {
        let newest = Some(version(self.revision));
        let outdated: Vec<&u32> = self
            .nodes
            .iter()
            .filter(|(_, node)| node.dissemination.version() != newest)
            .map(|(number, _)| number)
            .collect();
        let watchers = self.watchers().len();
        if outdated.is_empty() && watchers == WATCHERS.min(self.nodes.len()) {
            return Ok(());
        }
        Err(format!(
            "{outdated:?} lack revision {}, {watchers} watch",
            self.revision
        ))
    }

    fn start_node(&mut self, number: u32) {
        self.last_incarnation.0 += 1;
        let size = self.members.len() as u32;
        let slot =
            CallSchedule::staggered(GroupPosition { number, size }, None, 0.5).first_call_at();
        let mut dissemination =
            ListDissemination::new(number, self.last_incarnation, &self.members, CONFIG, None);
        for other in neighbours(number, &self.members) {
            dissemination.on_neighbour_reachable(Duration::ZERO, other, &mut Vec::new());
        }
        let node = Node {
            dissemination,
            started_at: self.now,
            slot,
            answer_at: None,
            watching: false,
            retry_at: 0,
            absent_until: 0,
        };
        self.nodes.insert(number, node);
    }

    fn random(&mut self) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random_state >> 33
    }

    fn is_cut(&self, from: u32, to: u32) -> bool {
        self.faults.iter().any(|fault| match fault {
            Fault::Partition(group, direction, during) if during.contains(&self.now) => {
                let (sender_in, receiver_in) = (group.contains(&from), group.contains(&to));
                let outbound = sender_in && !receiver_in && *direction != CutDirection::Inbound;
                let inbound = receiver_in && !sender_in && *direction != CutDirection::Outbound;
                outbound || inbound
            }
            _ => false,
        })
    }

    fn is_service_down(&self) -> bool {
        self.faults.iter().any(
            |fault| matches!(fault, Fault::ServiceOutage(during) if during.contains(&self.now)),
        )
    }

    /// Passes an event to a limiter, and carries out its actions. Asserts that the version of its list never decreases.
    fn dispatch(
        &mut self,
        number: u32,
        event: impl FnOnce(&mut ListDissemination, Duration, &mut Vec<Action>),
    ) {
        let Some(node) = self.nodes.get_mut(&number) else {
            return;
        };
        let mut actions = Vec::new();
        let before = node.dissemination.version();
        let now = millis(self.now - node.started_at);
        event(&mut node.dissemination, now, &mut actions);
        assert!(
            node.dissemination.version() >= before,
            "the version at limiter {number} decreased from {before:?}"
        );
        for action in actions {
            self.carry_out(number, action);
        }
    }

    fn carry_out(&mut self, number: u32, action: Action) {
        match action {
            Action::Send { to, message } => self.send(number, to, message),
            Action::SendList { to } => {
                let version = self.nodes[&number]
                    .dissemination
                    .version()
                    .expect("a limiter sends only a list that it has");
                let entries = ENTRIES.to_vec();
                self.send(number, to, ListMessage::List { version, entries });
            }
            Action::EvaluateList {
                version, entries, ..
            } => {
                assert_eq!(entries, ENTRIES);
                self.dispatch(number, |dissemination, now, actions| {
                    dissemination.on_list_accepted(now, version, actions);
                });
            }
        }
    }

    fn send(&mut self, from: u32, to: u32, message: ListMessage) {
        if self.is_cut(from, to) {
            return;
        }
        self.messages_sent += 1;
        let arrival = self.now + STEP + self.random() % 30;
        self.in_transit
            .insert((arrival, self.messages_sent), (from, to, message));
    }

    fn step(&mut self) {
        self.now += STEP;
        self.begin_faults();
        self.deliver_messages();
        let numbers: Vec<u32> = self.nodes.keys().copied().collect();
        for number in numbers {
            if self.nodes[&number].absent_until <= self.now {
                self.step_node(number);
            }
        }
    }

    fn begin_faults(&mut self) {
        let begins = |during: &Range<u64>| (during.start..during.start + STEP).contains(&self.now);
        let mut absences = Vec::new();
        for fault in &self.faults {
            match fault {
                Fault::Kill(group, during) if begins(during) => {
                    absences.push((true, group.clone(), during.end));
                }
                Fault::Stall(group, during) if begins(during) => {
                    absences.push((false, group.clone(), during.end));
                }
                _ => {}
            }
        }
        for (killed, group, until) in absences {
            for number in group {
                if killed {
                    self.start_node(number);
                }
                let node = self.nodes.get_mut(&number).expect("a member");
                node.absent_until = until;
            }
        }
    }

    /// Delivers the messages that are due. Messages to a stalled limiter arrive when it resumes; messages to a killed
    /// one arrive when its new process starts, although they were sent to the earlier incarnation.
    fn deliver_messages(&mut self) {
        while let Some((&(arrival, id), _)) = self
            .in_transit
            .first_key_value()
            .filter(|((arrival, _), _)| *arrival <= self.now)
        {
            let Some((from, to, message)) = self.in_transit.remove(&(arrival, id)) else {
                return;
            };
            let absent_until = self.nodes[&to].absent_until;
            if absent_until > self.now {
                self.in_transit
                    .insert((absent_until, id), (from, to, message));
            } else {
                self.dispatch(to, |dissemination, now, actions| {
                    dissemination.on_message(now, from, message, actions);
                });
            }
        }
    }

    fn step_node(&mut self, number: u32) {
        let node = &self.nodes[&number];
        let since_start = millis(self.now - node.started_at);
        let is_surplus = node.dissemination.is_surplus_watcher(since_start);
        if node.watching && (self.is_service_down() || is_surplus) {
            self.end_watch(number);
        }
        let newest = version(self.revision);
        let node = &self.nodes[&number];
        if node.watching && node.dissemination.version() < Some(newest) {
            self.dispatch(number, |dissemination, now, actions| {
                dissemination.on_list_accepted(now, newest, actions);
            });
        }
        self.call_service(number);
        if self.now.is_multiple_of(TICK_INTERVAL) {
            self.dispatch(number, ListDissemination::on_tick);
        }
    }

    fn end_watch(&mut self, number: u32) {
        self.nodes.get_mut(&number).expect("a member").watching = false;
        self.dispatch(number, |dissemination, now, _| {
            dissemination.on_watch_ended(now);
        });
    }

    fn call_service(&mut self, number: u32) {
        let retry_delay = 500 + self.random() % 1500;
        let (now, is_down, newest) = (self.now, self.is_service_down(), version(self.revision));
        let node = self.nodes.get_mut(&number).expect("a member");
        match node.answer_at {
            Some(at) if at > now => {}
            Some(_) => {
                node.answer_at = None;
                node.watching = true;
                self.dispatch(number, |dissemination, now, actions| {
                    dissemination.on_watch_started(now, actions);
                    dissemination.on_list_accepted(now, newest, actions);
                });
            }
            None => {
                let is_due = node
                    .dissemination
                    .call_due_at(node.slot)
                    .is_some_and(|due| millis(now - node.started_at) >= due);
                if node.watching || !is_due || node.retry_at > now {
                    return;
                }
                self.calls.push((now, number));
                if is_down {
                    node.retry_at = now + retry_delay;
                } else {
                    node.answer_at = Some(now + ANSWER_TIME);
                }
            }
        }
    }
}
