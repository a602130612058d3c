//! Four limiters connected by an in-memory network, which delays, loses and duplicates messages and keeps their order
//! only between the same two limiters. The first three limiters are the acceptors of one work, which the first one
//! claims.
#![allow(dead_code, missing_docs, reason = "each test file uses a part of it")]

use emberpin_failover::{
    Action, Ballot, Config, Event, Failover, FirstAttempt, Member, Message, ServerGroup, Timestamp,
    Usage, Verdict, Work, WorkId,
};
use emberpin_peering::Incarnation;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub const DEDUPLICATION_WINDOW_MS: f64 = 1_500.0;
pub const REPLY_TIMEOUT_MS: f64 = 100.0;
pub const MEMBERS: usize = 4;
/// The claimant and the next two members are acceptors of the work; the fourth member is not.
pub const ACCEPTORS: [Member; 3] = [Member(0), Member(1), Member(2)];
pub const GROUP: ServerGroup = ServerGroup { zone: 1, cell: 0 };
pub const CLAIMANT: usize = 0;

/// The ballot under which the claimant runs its work.
pub const CLAIMANT_BALLOT: Ballot = Ballot {
    round: 0,
    proposer: Member(0),
};

pub const FIRST_ATTEMPT: FirstAttempt = FirstAttempt {
    group: GROUP,
    age_ms: 0.0,
};

/// The first incarnation of each member.
pub fn first_incarnation(member: usize) -> Incarnation {
    Incarnation {
        number: 1,
        nonce: member as u64,
    }
}

pub fn member(index: usize) -> Member {
    Member(index as u32)
}

pub fn work_id(claim_number: u64) -> WorkId {
    WorkId {
        claimant: member(CLAIMANT),
        incarnation: first_incarnation(CLAIMANT),
        claim_number,
    }
}

pub fn config(index: usize, incarnation: Incarnation, max_takeovers_per_s: f64) -> Config {
    Config {
        member: member(index),
        incarnation,
        reply_timeout: Duration::from_millis(100),
        completion_timeout: Duration::from_millis(400),
        retention: Duration::from_secs(4),
        max_entries: 100,
        max_bytes: 10_000,
        max_takeovers_per_s,
    }
}

/// An attempt that was sent to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentAttempt {
    pub at_ms: f64,
    pub by: usize,
}

pub struct Cluster {
    pub now_ms: f64,
    pub nodes: Vec<Option<Failover>>,
    pub incarnations: Vec<Incarnation>,
    /// Messages in flight, by sender and receiver.
    pub links: BTreeMap<(usize, usize), VecDeque<Message>>,
    pub sent: Vec<SentAttempt>,
    pub verdicts: Vec<Verdict>,
    pub takeovers: usize,
    pub allowed_responses: usize,
    pub denied: usize,
    pub work: Work,
    max_takeovers_per_s: f64,
}

impl Cluster {
    pub fn new(deduplication_window_ms: Option<f64>, max_takeovers_per_s: f64) -> Cluster {
        let incarnations: Vec<Incarnation> = (0..MEMBERS).map(first_incarnation).collect();
        let start = |index: usize| {
            let config = config(index, incarnations[index], max_takeovers_per_s);
            Some(Failover::new(config, Timestamp::from_millis(0.0)))
        };
        let mut cluster = Cluster {
            now_ms: 0.0,
            nodes: (0..MEMBERS).map(start).collect(),
            incarnations,
            links: BTreeMap::new(),
            sent: Vec::new(),
            verdicts: Vec::new(),
            takeovers: 0,
            allowed_responses: 0,
            denied: 0,
            work: Work {
                payload: vec![1; 100],
                deduplication_window_ms,
                time_left_ms: 2_500.0,
            },
            max_takeovers_per_s,
        };
        (0..MEMBERS).for_each(|index| cluster.observe_all_incarnations(index));
        cluster
    }

    /// A cluster in which the first attempt of the work has been sent.
    pub fn with_sent_attempt(deduplication_window_ms: Option<f64>) -> Cluster {
        let mut cluster = Cluster::new(deduplication_window_ms, 10.0);
        cluster.start_work();
        cluster.run_for(50.0);
        cluster
    }

    pub fn work_id(&self) -> WorkId {
        work_id(7)
    }

    fn observe_all_incarnations(&mut self, index: usize) {
        for other in 0..MEMBERS {
            self.observe_incarnation(index, other);
        }
    }

    fn observe_incarnation(&mut self, index: usize, other: usize) {
        let event = Event::IncarnationObserved {
            member: member(other),
            incarnation: self.incarnations[other],
        };
        self.handle(index, event);
    }

    /// Grants the key at its holders, and requests the first attempt.
    pub fn start_work(&mut self) {
        let work_id = self.work_id();
        for index in 0..ACCEPTORS.len() {
            let acceptors = ACCEPTORS.to_vec();
            self.handle(index, Event::KeyGranted { work_id, acceptors });
        }
        let acceptors = ACCEPTORS.to_vec();
        self.handle(CLAIMANT, Event::WorkStarted { work_id, acceptors });
        self.request_attempt(CLAIMANT, work_id, 0, self.work.clone());
    }

    pub fn request_attempt(&mut self, index: usize, work_id: WorkId, attempt: u32, work: Work) {
        let event = Event::AttemptRequested {
            work_id,
            attempt,
            group: GROUP,
            work,
        };
        self.handle(index, event);
    }

    pub fn receive(&mut self, index: usize, from: usize, message: Message) {
        let from = member(from);
        self.handle(index, Event::MessageReceived { from, message });
    }

    pub fn handle(&mut self, index: usize, event: Event) {
        let Some(node) = self.nodes[index].as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        node.handle(Timestamp::from_millis(self.now_ms), event, &mut actions);
        for action in actions {
            self.apply(index, action);
        }
    }

    fn apply(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message } => {
                let link = self.links.entry((index, to.0 as usize)).or_default();
                link.push_back(message);
            }
            Action::AllowAttempt { .. } => self.sent.push(SentAttempt {
                at_ms: self.now_ms,
                by: index,
            }),
            Action::DenyAttempt { work_id, .. } if index != CLAIMANT => {
                self.handle(index, Event::TakeoverFailed(work_id));
            }
            Action::DenyAttempt { .. } => self.denied += 1,
            Action::TakeOver {
                work_id,
                work,
                first_attempt,
            } => {
                self.takeovers += 1;
                assert_eq!(first_attempt.group, GROUP);
                self.request_attempt(index, work_id, 0, work);
            }
            Action::AllowResponse(_) => self.allowed_responses += 1,
            Action::Abandoned { verdict, .. } => self.verdicts.push(verdict),
        }
    }

    /// Delivers the oldest message of a link. Returns whether there was one.
    pub fn deliver(&mut self, from: usize, to: usize) -> bool {
        let link = self.links.get_mut(&(from, to));
        let Some(message) = link.and_then(VecDeque::pop_front) else {
            return false;
        };
        self.receive(to, from, message);
        true
    }

    pub fn lose(&mut self, from: usize, to: usize) {
        let link = self.links.get_mut(&(from, to));
        _ = link.and_then(VecDeque::pop_front);
    }

    /// Appends a copy of the oldest message of a link to its end.
    pub fn duplicate(&mut self, from: usize, to: usize) {
        let Some(link) = self.links.get_mut(&(from, to)) else {
            return;
        };
        if let Some(message) = link.front().cloned() {
            link.push_back(message);
        }
    }

    /// Delivers all messages, and lets time pass.
    pub fn run_for(&mut self, millis: f64) {
        let end_ms = self.now_ms + millis;
        while self.now_ms < end_ms {
            let pairs: Vec<(usize, usize)> = self.links.keys().copied().collect();
            let mut delivered = false;
            for (from, to) in pairs {
                delivered |= self.deliver(from, to);
            }
            if !delivered {
                self.advance(10.0);
            }
        }
    }

    /// Lets time pass without any delivery.
    pub fn advance(&mut self, millis: f64) {
        self.now_ms += millis;
        (0..MEMBERS).for_each(|index| self.handle(index, Event::Tick));
    }

    /// Kills a process. What it has sent is still delivered, unless `lose_sent`.
    pub fn kill(&mut self, index: usize, lose_sent: bool) {
        self.links
            .retain(|(from, to), _| (!lose_sent || *from != index) && *to != index);
        self.nodes[index] = None;
    }

    /// Starts a process again, without state and in a new incarnation.
    pub fn restart(&mut self, index: usize) {
        self.incarnations[index].number += 1;
        let config = config(index, self.incarnations[index], self.max_takeovers_per_s);
        let now = Timestamp::from_millis(self.now_ms);
        self.nodes[index] = Some(Failover::new(config, now));
        self.observe_all_incarnations(index);
        (0..MEMBERS).for_each(|other| self.observe_incarnation(other, index));
    }

    /// Reports to a member that an incarnation of another one has ended, truly or not.
    pub fn report_ended(&mut self, index: usize, ended: usize, incarnation_number: u64) {
        let incarnation = Incarnation {
            number: incarnation_number,
            nonce: self.incarnations[ended].nonce,
        };
        let member = member(ended);
        let event = Event::IncarnationEnded {
            member,
            incarnation,
        };
        self.handle(index, event);
    }

    /// Reports to both other acceptors that the claimant's first incarnation has ended.
    pub fn report_claimant_ended(&mut self) {
        (1..3).for_each(|index| self.report_ended(index, CLAIMANT, 1));
    }

    pub fn usage(&self, index: usize) -> Option<Usage> {
        self.nodes[index].as_ref().map(Failover::usage)
    }
}
