//! Callers of locks, counters and cells in a simulated cluster, each behind a registry of its own that follows leaders as
//! `emberpin-registry` does.
//!
//! Callers hold locks and let them lapse, sleep beyond their time, and die and come back under the same owner name. Their
//! requests may be late or lost, and so may the replies.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod invariants;
mod registry;

use crate::cluster::Cluster;
use emberpin_coordination::{group_of, FencingToken, Operation, Outcome, Revision};
use invariants::Facts;
use registry::{LateRequests, Registry};
use std::collections::BTreeMap;
use std::time::Duration;

const LOCKS: [&str; 2] = ["l", "m"];
const COUNTER: &str = "n";
const CELLS: [&str; 3] = ["g.a", "g.b", "g.c"];
const GROUP: &str = "g.";
/// How many callers there are, watchers included.
const CALLERS: usize = 10;
const WATCHERS: usize = 2;
/// The longest lease, in milliseconds.
const MAX_LEASE: u64 = 1_500;
/// How often a put without a clear answer is sent again.
const PUT_RESENDS: u32 = 4;
/// How often an operation is tried at the end; each attempt takes up to 900 ms.
const FINAL_TRIES: u32 = 20;

/// What a registry makes of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationResult {
    Done(Outcome),
    /// It was not carried out, and will not be.
    Unavailable,
    /// It may have been carried out, or may still be.
    Unknown,
}

/// A call of an application that is not answered yet.
#[derive(Clone, Debug)]
struct Sent {
    operation: Operation,
    at: u64,
    /// What an answer must be above or at least; see [`Facts::floors`].
    floors: invariants::Floors,
}

/// A lock that a caller counts itself holder of.
#[derive(Clone, Debug)]
struct Holding {
    lock: String,
    fence: FencingToken,
    until: u64,
}

struct Caller {
    owner: String,
    registry: Registry,
    sent: Option<Sent>,
    /// The result of the call, until the caller is awake.
    result: Option<OperationResult>,
    holding: Option<Holding>,
    /// It sleeps, or is dead, until then.
    absent_until: u64,
    watches: bool,
    watched_up_to: Revision,
    /// A put without a clear answer, and how often it is sent again.
    unclear_put: Option<(Operation, u32)>,
    /// The last revisions that it was told of.
    known: BTreeMap<String, Revision>,
    /// By how many thousandths its clock is slower than those of the replicas.
    clock_lag: u64,
}

/// All callers, and what they were told.
pub struct RegisterCallers {
    callers: Vec<Caller>,
    late: LateRequests,
    facts: Facts,
    last_value: u64,
    /// The longest pause between two calls of a caller, in milliseconds.
    pub max_pause: u64,
}

impl RegisterCallers {
    pub fn new(cluster: &mut Cluster) -> RegisterCallers {
        let is_in_order = cluster.below(3) > 0;
        let callers = (0..CALLERS).map(|number| Caller {
            owner: format!("caller-{number}"),
            registry: Registry::new(is_in_order),
            sent: None,
            result: None,
            holding: None,
            absent_until: 0,
            watches: number < WATCHERS,
            watched_up_to: Revision::NONE,
            unclear_put: None,
            known: BTreeMap::new(),
            clock_lag: number as u64 % 5,
        });
        RegisterCallers {
            callers: callers.collect(),
            late: LateRequests::default(),
            facts: Facts::new(),
            last_value: 0,
            max_pause: 60,
        }
    }

    /// Lets time pass for the cluster and the callers.
    pub fn run(&mut self, cluster: &mut Cluster, span: u64) {
        let until = cluster.now + span;
        while cluster.now < until && cluster.violation.is_none() {
            cluster.run(1);
            self.late.deliver(cluster);
            for index in 0..self.callers.len() {
                self.step(cluster, index);
            }
            if let Some(violation) = self.facts.take_violation() {
                cluster.fail(violation);
            }
        }
    }

    pub fn note_fault(&mut self, now: u64, fault: &str) {
        self.facts.note(now, || fault.to_owned());
    }

    /// What callers sent and were told, the last events; empty unless `EMBERPIN_TRACE` is set.
    pub fn trace(&self) -> String {
        self.facts.trace()
    }

    /// What was done, in numbers.
    pub fn summary(&self) -> String {
        self.facts.summary()
    }

    /// How many operations were done.
    pub fn done_count(&self) -> u64 {
        self.facts.done_count()
    }

    fn step(&mut self, cluster: &mut Cluster, index: usize) {
        let caller = &mut self.callers[index];
        if let Some(result) = caller.registry.step(cluster, &mut self.late) {
            caller.result = Some(result);
        }
        if cluster.now < caller.absent_until {
            return;
        }
        if let Some(result) = caller.result.take() {
            self.on_result(cluster, index, result);
        } else if self.callers[index].sent.is_none() {
            self.act(cluster, index);
        }
    }

    fn send(&mut self, cluster: &mut Cluster, index: usize, operation: Operation) {
        let caller = &mut self.callers[index];
        let floors = self.facts.floors(&operation, &caller.owner);
        self.facts.on_sent(&operation, &floors);
        let owner = &caller.owner;
        self.facts
            .note(cluster.now, || format!("{owner} sends {operation:?}"));
        caller.registry.begin(cluster, operation.clone());
        caller.sent = Some(Sent {
            operation,
            at: cluster.now,
            floors,
        });
    }

    /// Does something next: mostly a call, at times nothing for long.
    fn act(&mut self, cluster: &mut Cluster, index: usize) {
        let now = cluster.now;
        let caller = &mut self.callers[index];
        caller.holding.take_if(|holding| now >= holding.until);
        caller.absent_until = now + cluster.below(self.max_pause);
        match cluster.below(400) {
            // It sleeps, at times beyond its lease.
            0..4 => caller.absent_until = now + cluster.below(2 * MAX_LEASE),
            4 => return self.die(cluster, index),
            _ => {}
        }
        let operation = self.next_operation(cluster, index);
        if let Operation::ReleaseLock { lock, .. } = &operation {
            let caller = &mut self.callers[index];
            caller.holding = None;
            self.facts.on_finish_sent(lock, &caller.owner);
        }
        self.send(cluster, index, operation);
        match cluster.below(200) {
            // It sleeps, or dies, while the call is under way.
            0 => self.callers[index].absent_until = now + cluster.below(2 * MAX_LEASE),
            1 => self.die(cluster, index),
            _ => {}
        }
    }

    /// A caller dies, and comes back under the same name. It knows nothing of its leases and calls.
    fn die(&mut self, cluster: &mut Cluster, index: usize) {
        let caller = &mut self.callers[index];
        let owner = &caller.owner;
        self.facts.note(cluster.now, || format!("{owner} dies"));
        self.facts.on_death(owner);
        if let Some(sent) = caller.sent.take() {
            caller.registry.abandon(&mut self.late);
            self.facts
                .on_result(&sent.operation, &sent.floors, &OperationResult::Unknown);
        }
        caller.holding = None;
        caller.unclear_put = None;
        caller.absent_until = cluster.now + cluster.below(MAX_LEASE);
    }

    fn next_operation(&mut self, cluster: &mut Cluster, index: usize) -> Operation {
        let caller = &mut self.callers[index];
        if caller.watches {
            return Operation::WatchGroup {
                group: GROUP.into(),
                after: caller.watched_up_to,
                wait: Duration::from_millis(cluster.below(400)),
            };
        }
        if let Some((put, resends)) = caller.unclear_put.take() {
            if resends > 0 {
                caller.unclear_put = Some((put.clone(), resends - 1));
                return put;
            }
        }
        let owner = caller.owner.clone();
        let lease = Duration::from_millis(20 + cluster.below(MAX_LEASE - 20));
        match cluster.below(20) {
            0..11 => match caller.holding.clone() {
                None => Operation::AcquireLock {
                    lock: cluster.choose(&LOCKS).into(),
                    owner,
                    lease,
                },
                Some(Holding { lock, fence, .. }) => match cluster.below(6) {
                    0..3 => Operation::RenewLock {
                        lock,
                        owner,
                        fence,
                        lease,
                    },
                    3 => Operation::AcquireLock { lock, owner, lease },
                    _ => Operation::ReleaseLock { lock, owner, fence },
                },
            },
            11..13 => Operation::NextNumber {
                counter: COUNTER.into(),
            },
            13..17 => self.next_put(cluster, index),
            _ => Operation::GetCell {
                cell: cluster.choose(&CELLS).into(),
            },
        }
    }

    fn next_put(&mut self, cluster: &mut Cluster, index: usize) -> Operation {
        let cell = cluster.choose(&CELLS);
        let known = self.callers[index].known.get(cell).copied();
        let expected = match cluster.below(6) {
            0 => None,
            1 => Some(Revision::NONE),
            _ => Some(known.unwrap_or(Revision::NONE)),
        };
        self.last_value += 1;
        Operation::PutCell {
            cell: cell.into(),
            value: format!("v{}", self.last_value),
            expected,
        }
    }

    /// A caller is told the result of its call.
    fn on_result(&mut self, cluster: &mut Cluster, index: usize, result: OperationResult) {
        let now = cluster.now;
        let caller = &mut self.callers[index];
        let Some(sent) = caller.sent.take() else {
            return;
        };
        let Sent {
            operation,
            at,
            floors,
        } = sent;
        let owner = &caller.owner;
        self.facts.note(now, || {
            format!("{owner} gets {result:?} for {operation:?} of {at} ms")
        });
        self.facts.on_result(&operation, &floors, &result);
        if let Operation::PutCell { .. } = operation {
            match result {
                OperationResult::Unknown if caller.unclear_put.is_none() => {
                    caller.unclear_put = Some((operation.clone(), PUT_RESENDS));
                }
                OperationResult::Done(_) => caller.unclear_put = None,
                _ => {}
            }
        }
        let OperationResult::Done(outcome) = result else {
            return;
        };
        caller.note_revisions(&operation, &outcome);
        caller.record_lease(now, at, &operation, &outcome, &mut self.facts);
    }

    /// After all faults ended: what was acknowledged is still there.
    pub fn check_at_end(&mut self, cluster: &mut Cluster) {
        self.drop_calls();
        let watched: Vec<Revision> = self.callers[..WATCHERS]
            .iter()
            .map(|caller| caller.watched_up_to)
            .collect();
        // All leases are over then.
        self.pass_time(cluster, 2 * MAX_LEASE);
        for lock in LOCKS {
            let begin = Operation::AcquireLock {
                lock: lock.into(),
                owner: self.callers[0].owner.clone(),
                lease: Duration::from_millis(MAX_LEASE),
            };
            self.operate_at_end(cluster, begin);
        }
        let counter = COUNTER.into();
        self.operate_at_end(cluster, Operation::NextNumber { counter });
        for cell in CELLS {
            let cell = cell.into();
            self.operate_at_end(cluster, Operation::GetCell { cell });
        }
        let after = Revision::NONE;
        let present = self.watch_at_end(cluster, after).unwrap_or_default();
        for after in watched.into_iter().chain([Revision(1)]) {
            let mut after = after;
            while after < present && cluster.violation.is_none() {
                match self.watch_at_end(cluster, after) {
                    Some(revision) if revision > after => after = revision,
                    _ => cluster.fail(format!("LOST: no events after {after:?} of {present:?}")),
                }
            }
        }
        self.facts.check_all();
        if let Some(violation) = self.facts.take_violation() {
            cluster.fail(violation);
        }
    }

    fn drop_calls(&mut self) {
        for caller in &mut self.callers {
            caller.registry.abandon(&mut self.late);
            caller.sent = None;
            caller.result = None;
            caller.absent_until = u64::MAX;
        }
    }

    fn pass_time(&mut self, cluster: &mut Cluster, span: u64) {
        let until = cluster.now + span;
        while cluster.now < until && cluster.violation.is_none() {
            cluster.run(1);
            self.late.deliver(cluster);
        }
    }

    fn watch_at_end(&mut self, cluster: &mut Cluster, after: Revision) -> Option<Revision> {
        let watch = Operation::WatchGroup {
            group: GROUP.into(),
            after,
            wait: Duration::from_millis(50),
        };
        match self.operate_at_end(cluster, watch) {
            Some(Outcome::Events { revision, .. }) => Some(revision),
            _ => None,
        }
    }

    fn operate_at_end(&mut self, cluster: &mut Cluster, operation: Operation) -> Option<Outcome> {
        for _ in 0..FINAL_TRIES {
            self.send(cluster, 0, operation.clone());
            let result = loop {
                if cluster.violation.is_some() {
                    return None;
                }
                self.pass_time(cluster, 1);
                let registry = &mut self.callers[0].registry;
                if let Some(result) = registry.step(cluster, &mut self.late) {
                    break result;
                }
            };
            self.callers[0].result = None;
            let floors = self.callers[0].sent.take()?.floors;
            self.facts.on_result(&operation, &floors, &result);
            if let Some(violation) = self.facts.take_violation() {
                cluster.fail(violation);
                return None;
            }
            if let OperationResult::Done(outcome) = result {
                let is_denied = outcome == Outcome::LockDenied;
                if !is_denied {
                    return Some(outcome);
                }
                self.pass_time(cluster, MAX_LEASE);
            }
        }
        cluster.fail(format!("LOST: no answer at the end to {operation:?}"));
        None
    }
}

impl Caller {
    fn note_revisions(&mut self, operation: &Operation, outcome: &Outcome) {
        let (Operation::PutCell { cell, .. } | Operation::GetCell { cell }) = operation else {
            if let Outcome::Events { revision, .. } = outcome {
                self.watched_up_to = *revision;
            }
            return;
        };
        if let Outcome::CellWritten { revision }
        | Outcome::CellChanged { revision }
        | Outcome::Cell { revision, .. } = outcome
        {
            let known = self.known.entry(cell.clone()).or_default();
            *known = revision.max(known).to_owned();
        }
    }

    /// A caller counts itself holder from the answer on until the lease is over that began when it sent the call.
    fn record_lease(
        &mut self,
        now: u64,
        sent_at: u64,
        operation: &Operation,
        outcome: &Outcome,
        facts: &mut Facts,
    ) {
        let (Operation::AcquireLock { lock, lease, .. } | Operation::RenewLock { lock, lease, .. }) =
            operation
        else {
            return;
        };
        let lease = lease.as_millis() as u64;
        let until = sent_at + lease + lease * self.clock_lag / 1_000;
        let held = self
            .holding
            .take_if(|holding| holding.lock == *lock && now < holding.until);
        let fence = match (outcome, held) {
            (Outcome::LockGranted { fence }, _) => *fence,
            (Outcome::LockRenewed, Some(held)) => held.fence,
            // Denied, or a renewal that came too late: it gives the lock up.
            _ => return facts.on_given_up(lock, &self.owner),
        };
        self.holding = Some(Holding {
            lock: lock.clone(),
            fence,
            until,
        });
        facts.on_lease(lock, &self.owner, now, until);
    }
}

fn group(cell: &str) -> String {
    group_of(cell).into()
}
