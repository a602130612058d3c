//! Simulated callers of locks, counters and cells in a cluster, each behind a registry of its own that follows leaders
//! as `emberpin-registry` does.
//!
//! Callers hold locks and let them expire, sleep beyond their leases, and crash and restart under the same owner name.
//! Their requests and the replies may be late or lost.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod invariants;
mod registry;

use crate::cluster::Cluster;
use emberpin_coordination::{cell_group, FencingToken, Operation, Outcome, Revision};
use invariants::InvariantChecker;
use registry::{LateRequests, Registry};
use std::collections::BTreeMap;
use std::time::Duration;

const LOCKS: [&str; 2] = ["l", "m"];
const COUNTER: &str = "n";
const CELLS: [&str; 3] = ["g.a", "g.b", "g.c"];
const GROUP: &str = "g.";
/// The number of callers, including watchers.
const CALLERS: usize = 10;
const WATCHERS: usize = 2;
/// The longest lease, in milliseconds.
const MAX_LEASE: u64 = 1_500;
/// How often a put with an unknown result is sent again.
const PUT_RESENDS: u32 = 4;
/// Maximum number of attempts of an operation at the end; each attempt takes up to 900 ms.
const FINAL_ATTEMPTS: u32 = 20;

/// The result of an operation that a registry reports to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationResult {
    Done(Outcome),
    /// The operation was not carried out, and will not be.
    Unavailable,
    /// The operation may have been carried out, or may still be.
    Unknown,
}

/// A caller's operation that is not answered yet.
#[derive(Clone, Debug)]
struct SentOperation {
    operation: Operation,
    at: u64,
    /// The lower bounds of the answer; see [`InvariantChecker::lower_bounds`].
    lower_bounds: invariants::LowerBounds,
}

/// A lock of which a caller considers itself the holder.
#[derive(Clone, Debug)]
struct HeldLock {
    lock: String,
    fence: FencingToken,
    until: u64,
}

struct Caller {
    owner: String,
    registry: Registry,
    sent: Option<SentOperation>,
    /// The result of the operation, until the caller is awake to handle it.
    result: Option<OperationResult>,
    held_lock: Option<HeldLock>,
    /// Until when it sleeps, or is down after a crash.
    absent_until: u64,
    /// Whether it only watches the group of cells.
    watches: bool,
    /// The last revision of the group that it received.
    watched_up_to: Revision,
    /// A put with an unknown result, and how often it is still sent again.
    unresolved_put: Option<(Operation, u32)>,
    /// The highest revision of each cell that it was given.
    known: BTreeMap<String, Revision>,
    /// By how many thousandths its clock is slower than the clocks of the replicas.
    clock_lag: u64,
}

/// All callers, and the checker of their results.
pub struct RegisterCallers {
    callers: Vec<Caller>,
    late: LateRequests,
    checker: InvariantChecker,
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
            held_lock: None,
            absent_until: 0,
            watches: number < WATCHERS,
            watched_up_to: Revision::NONE,
            unresolved_put: None,
            known: BTreeMap::new(),
            clock_lag: number as u64 % 5,
        });
        RegisterCallers {
            callers: callers.collect(),
            late: LateRequests::default(),
            checker: InvariantChecker::new(),
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
            if let Some(violation) = self.checker.take_violation() {
                cluster.fail(violation);
            }
        }
    }

    pub fn note_fault(&mut self, now: u64, fault: &str) {
        self.checker.note(now, || fault.to_owned());
    }

    /// The callers' last operations and results; empty unless `EMBERPIN_TRACE` is set.
    pub fn trace(&self) -> String {
        self.checker.trace()
    }

    /// The numbers of completed operations and their results.
    pub fn summary(&self) -> String {
        self.checker.summary()
    }

    /// How many operations were done.
    pub fn done_count(&self) -> u64 {
        self.checker.done_count()
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
            self.step_awake(cluster, index);
        }
    }

    fn send(&mut self, cluster: &mut Cluster, index: usize, operation: Operation) {
        let caller = &mut self.callers[index];
        let lower_bounds = self.checker.lower_bounds(&operation, &caller.owner);
        self.checker.on_sent(&operation, &lower_bounds);
        let owner = &caller.owner;
        self.checker
            .note(cluster.now, || format!("{owner} sends {operation:?}"));
        caller.registry.begin(cluster, operation.clone());
        caller.sent = Some(SentOperation {
            operation,
            at: cluster.now,
            lower_bounds,
        });
    }

    /// Performs a caller's next step: usually an operation, sometimes a long sleep or a crash.
    fn step_awake(&mut self, cluster: &mut Cluster, index: usize) {
        let now = cluster.now;
        let caller = &mut self.callers[index];
        caller.held_lock.take_if(|held_lock| now >= held_lock.until);
        caller.absent_until = now + cluster.below(self.max_pause);
        match cluster.below(400) {
            // The caller sleeps, sometimes beyond its lease.
            0..4 => caller.absent_until = now + cluster.below(2 * MAX_LEASE),
            4 => return self.crash(cluster, index),
            _ => {}
        }
        let operation = self.next_operation(cluster, index);
        if let Operation::ReleaseLock { lock, .. } = &operation {
            let caller = &mut self.callers[index];
            caller.held_lock = None;
            self.checker.on_release_sent(lock, &caller.owner);
        }
        self.send(cluster, index, operation);
        match cluster.below(200) {
            // The caller sleeps, or crashes, while the operation is in flight.
            0 => self.callers[index].absent_until = now + cluster.below(2 * MAX_LEASE),
            1 => self.crash(cluster, index),
            _ => {}
        }
    }

    /// A caller crashes, and restarts later under the same name without its leases and pending operations.
    fn crash(&mut self, cluster: &mut Cluster, index: usize) {
        let caller = &mut self.callers[index];
        let owner = &caller.owner;
        self.checker
            .note(cluster.now, || format!("{owner} crashes"));
        self.checker.on_crash(owner);
        if let Some(sent) = caller.sent.take() {
            caller.registry.abandon(&mut self.late);
            self.checker.on_result(
                &sent.operation,
                &sent.lower_bounds,
                &OperationResult::Unknown,
            );
        }
        caller.held_lock = None;
        caller.unresolved_put = None;
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
        if let Some((put, resends)) = caller.unresolved_put.take() {
            if resends > 0 {
                caller.unresolved_put = Some((put.clone(), resends - 1));
                return put;
            }
        }
        let owner = caller.owner.clone();
        let lease = Duration::from_millis(20 + cluster.below(MAX_LEASE - 20));
        match cluster.below(20) {
            0..11 => match caller.held_lock.clone() {
                None => Operation::AcquireLock {
                    lock: cluster.choose(&LOCKS).into(),
                    owner,
                    lease,
                },
                Some(HeldLock { lock, fence, .. }) => match cluster.below(6) {
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

    /// A caller receives the result of its operation.
    fn on_result(&mut self, cluster: &mut Cluster, index: usize, result: OperationResult) {
        let now = cluster.now;
        let caller = &mut self.callers[index];
        let Some(sent) = caller.sent.take() else {
            return;
        };
        let SentOperation {
            operation,
            at,
            lower_bounds,
        } = sent;
        let owner = &caller.owner;
        self.checker.note(now, || {
            format!("{owner} gets {result:?} for {operation:?} of {at} ms")
        });
        self.checker.on_result(&operation, &lower_bounds, &result);
        if let Operation::PutCell { .. } = operation {
            match result {
                OperationResult::Unknown if caller.unresolved_put.is_none() => {
                    caller.unresolved_put = Some((operation.clone(), PUT_RESENDS));
                }
                OperationResult::Done(_) => caller.unresolved_put = None,
                _ => {}
            }
        }
        let OperationResult::Done(outcome) = result else {
            return;
        };
        caller.note_revisions(&operation, &outcome);
        caller.record_lease(now, at, &operation, &outcome, &mut self.checker);
    }

    /// Checks after the end of all faults that everything acknowledged is still there.
    pub fn check_at_end(&mut self, cluster: &mut Cluster) {
        self.drop_calls();
        let watched: Vec<Revision> = self.callers[..WATCHERS]
            .iter()
            .map(|caller| caller.watched_up_to)
            .collect();
        // After this time all leases have expired.
        self.pass_time(cluster, 2 * MAX_LEASE);
        for lock in LOCKS {
            let acquire = Operation::AcquireLock {
                lock: lock.into(),
                owner: self.callers[0].owner.clone(),
                lease: Duration::from_millis(MAX_LEASE),
            };
            self.operate_at_end(cluster, acquire);
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
        self.checker.check_all();
        if let Some(violation) = self.checker.take_violation() {
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
        for _ in 0..FINAL_ATTEMPTS {
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
            let lower_bounds = self.callers[0].sent.take()?.lower_bounds;
            self.checker.on_result(&operation, &lower_bounds, &result);
            if let Some(violation) = self.checker.take_violation() {
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

    /// A caller considers itself the holder from the answer on until the end of its lease, which it counts from when it
    /// sent the operation.
    fn record_lease(
        &mut self,
        now: u64,
        sent_at: u64,
        operation: &Operation,
        outcome: &Outcome,
        checker: &mut InvariantChecker,
    ) {
        let (Operation::AcquireLock { lock, lease, .. } | Operation::RenewLock { lock, lease, .. }) =
            operation
        else {
            return;
        };
        let lease = lease.as_millis() as u64;
        let until = sent_at + lease + lease * self.clock_lag / 1_000;
        let previous = self
            .held_lock
            .take_if(|held_lock| held_lock.lock == *lock && now < held_lock.until);
        let fence = match (outcome, previous) {
            (Outcome::LockGranted { fence }, _) => *fence,
            (Outcome::LockRenewed, Some(previous)) => previous.fence,
            // Denied, or renewed too late: the caller no longer considers itself the holder.
            _ => return checker.on_lease_abandoned(lock, &self.owner),
        };
        self.held_lock = Some(HeldLock {
            lock: lock.clone(),
            fence,
            until,
        });
        checker.on_lease(lock, &self.owner, now, until);
    }
}

fn group(cell: &str) -> String {
    cell_group(cell).into()
}
