//! Random faults of one machine at a time, as the setting `tolerance` allows. No acknowledged drain or exit may be
//! lost, and afterwards all registries must agree on the servers that exist.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{Cluster, ProxyView, EVICTION_TIMEOUT_MS};
use emberpin_membership::ids::CallId;
use emberpin_membership::instance::Status;
use emberpin_membership::registry::{Event, ServerReply};
use googletest::prelude::*;
use std::collections::BTreeMap;

const SIZE: u8 = 5;
/// The time from the end of a fault until all machines must know every acknowledged shutdown, in milliseconds.
const RECOVERY_MS: u64 = 2_500;
/// The time from an acknowledgement until every machine without a fault must know the shutdown, in milliseconds.
const REPLICATION_MS: u64 = 100;

#[derive(Clone, Copy, PartialEq)]
enum FaultKind {
    Killed,
    Paused,
    /// Partitioned from the first `count` machines of `others`.
    Partitioned {
        others: [u8; 2],
        count: usize,
    },
}

struct Fault {
    machine: u8,
    kind: FaultKind,
    until: u64,
}

/// A drain or exit that a server has reported and that has not been replied to yet.
struct PendingShutdown {
    machine: u8,
    instance_id: String,
    status: Status,
}

struct Explorer {
    cluster: Cluster,
    random: oorandom::Rand32,
    fault: Option<Fault>,
    /// When the last fault ended.
    healthy_since: u64,
    server_count: u32,
    pending: BTreeMap<CallId, PendingShutdown>,
    /// The status that was acknowledged to each server, by the id of its instance, with the time of the
    /// acknowledgement.
    acknowledged: BTreeMap<String, (Status, u64)>,
}

impl Explorer {
    fn new(seed: u64) -> Explorer {
        let cluster = Cluster::confirmed(SIZE);
        Explorer {
            healthy_since: cluster.now,
            cluster,
            random: oorandom::Rand32::new(seed),
            fault: None,
            server_count: 0,
            pending: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
        }
    }

    fn draw(&mut self, below: u32) -> u32 {
        self.random.rand_range(0..below)
    }

    fn is_healthy(&self, machine: u8) -> bool {
        self.fault
            .as_ref()
            .is_none_or(|fault| fault.machine != machine)
    }

    fn draw_healthy_machine(&mut self) -> u8 {
        loop {
            let machine = 1 + self.draw(SIZE.into()) as u8;
            if self.is_healthy(machine) {
                return machine;
            }
        }
    }

    fn begin_fault(&mut self) {
        let machine = 1 + self.draw(SIZE.into()) as u8;
        let others = [1 + machine % SIZE, 1 + (machine + 1) % SIZE];
        let (kind, duration) = match self.draw(3) {
            0 => (FaultKind::Killed, 300 + u64::from(self.draw(3_000))),
            1 => (FaultKind::Paused, 300 + u64::from(self.draw(9_000))),
            _ => {
                let count = 1 + self.draw(2) as usize;
                let kind = FaultKind::Partitioned { others, count };
                (kind, 300 + u64::from(self.draw(9_000)))
            }
        };
        match kind {
            FaultKind::Killed => self.cluster.kill(machine),
            FaultKind::Paused => self.cluster.pause(machine),
            FaultKind::Partitioned { others, count } => {
                self.cluster.partition(machine, &others[..count]);
            }
        }
        self.fault = Some(Fault {
            machine,
            kind,
            until: self.cluster.now + duration,
        });
        let healthy = self.draw_healthy_machine();
        if !matches!(kind, FaultKind::Partitioned { .. }) {
            self.move_servers(machine, healthy);
        }
    }

    /// Moves all servers of one registry to another: servers retry there when theirs does not answer.
    fn move_servers(&mut self, from: u8, to: u8) {
        for server in &mut self.cluster.servers {
            if server.target == from {
                server.target = to;
            }
        }
    }

    fn end_fault(&mut self) {
        let Some(fault) = self.fault.take() else {
            return;
        };
        match fault.kind {
            FaultKind::Killed => self.cluster.start(fault.machine),
            FaultKind::Paused => self.cluster.resume(fault.machine),
            FaultKind::Partitioned { others, count } => {
                self.cluster.heal(fault.machine, &others[..count]);
            }
        }
        self.healthy_since = self.cluster.now;
    }

    fn step_fault(&mut self) {
        let begins = self.draw(4) == 0;
        let now = self.cluster.now;
        match &self.fault {
            Some(fault) if now >= fault.until => self.end_fault(),
            None if now >= self.healthy_since + RECOVERY_MS && begins => self.begin_fault(),
            _ => {}
        }
    }

    fn step_server(&mut self) {
        let count = self.cluster.servers.len() as u32;
        if count < 4 || self.draw(4) == 0 {
            self.server_count += 1;
            let id = format!("s-{}", self.server_count);
            let machine = self.draw_healthy_machine();
            self.cluster.add_server(machine, &id);
            return;
        }
        let index = self.draw(count) as usize;
        let (step, healthy) = (self.draw(4), self.draw_healthy_machine());
        match step {
            // The server fails without a report.
            0 => _ = self.cluster.servers.swap_remove(index),
            1 => self.cluster.servers[index].target = healthy,
            2 => self.drain(index),
            _ => self.leave(index),
        }
    }

    fn drain(&mut self, index: usize) {
        let server = &mut self.cluster.servers[index];
        server.instance.seq += 1;
        server.instance.status = Status::Draining;
        let (machine, instance) = (server.target, server.instance.clone());
        let instance_id = instance.id.clone();
        let call = self.cluster.send_heartbeat(machine, instance);
        let pending = PendingShutdown {
            machine,
            instance_id,
            status: Status::Draining,
        };
        self.pending.insert(call, pending);
    }

    fn leave(&mut self, index: usize) {
        let server = self.cluster.servers.swap_remove(index);
        let call = self.cluster.send_leave(server.target, &server.instance.id);
        let pending = PendingShutdown {
            machine: server.target,
            instance_id: server.instance.id,
            status: Status::Removed,
        };
        self.pending.insert(call, pending);
    }

    /// Records new acknowledgements, and checks that each machine knows the acknowledged shutdowns that it must know by
    /// now.
    fn check(&mut self, seed: u64) -> googletest::Result<()> {
        self.record_replies();
        let now = self.cluster.now;
        for (id, (status, acknowledged_at)) in &self.acknowledged {
            for machine in (1..=SIZE).filter(|machine| self.is_healthy(*machine)) {
                let must_know = now >= acknowledged_at + REPLICATION_MS
                    && now >= self.healthy_since + RECOVERY_MS;
                if must_know {
                    let known = self.cluster.status(machine, id);
                    verify_that!(
                        (seed, machine, id, known >= Some(*status)),
                        eq((seed, machine, id, true))
                    )?;
                }
            }
        }
        Ok(())
    }

    fn record_replies(&mut self) {
        let mut replied = Vec::new();
        for (call, pending) in &self.pending {
            let Some((replied_at, reply)) = self.cluster.reply(pending.machine, *call) else {
                continue;
            };
            replied.push(*call);
            if matches!(reply, ServerReply::Acknowledged { .. }) {
                let acknowledged = self
                    .acknowledged
                    .entry(pending.instance_id.clone())
                    .or_insert((pending.status, replied_at));
                *acknowledged = (*acknowledged).max((pending.status, replied_at));
            }
        }
        for call in replied {
            self.pending.remove(&call);
        }
    }
}

#[gtest]
fn acknowledged_shutdowns_survive_the_failure_of_any_one_machine() -> googletest::Result<()> {
    let mut acknowledged_count = 0;
    for seed in 0..60 {
        let mut explorer = Explorer::new(seed);
        for _ in 0..200 {
            explorer.step_fault();
            if explorer.draw(2) == 0 {
                explorer.step_server();
            }
            let pause = 20 + u64::from(explorer.draw(400));
            explorer.cluster.run(pause);
            explorer.check(seed)?;
        }
        acknowledged_count += explorer.acknowledged.len();
        explorer.end_fault();
        explorer.cluster.run(3 * EVICTION_TIMEOUT_MS);
        explorer.check(seed)?;
        let servers: BTreeMap<String, Status> = explorer
            .cluster
            .servers
            .iter()
            .map(|server| (server.instance.id.clone(), server.instance.status))
            .collect();
        for machine in 1..=SIZE {
            let known = ProxyView::live_instances(explorer.cluster.registry(machine));
            verify_that!((seed, machine, &known), eq((seed, machine, &servers)))?;
        }
    }
    // Enough shutdowns were acknowledged for the test to be meaningful.
    verify_that!(acknowledged_count, gt(500))
}

#[gtest]
fn without_a_fault_every_shutdown_is_acknowledged() -> googletest::Result<()> {
    let mut explorer = Explorer::new(7);
    for _ in 0..300 {
        explorer.step_server();
        explorer.cluster.run(100);
        explorer.check(7)?;
    }
    explorer.cluster.handle_event(1, Event::Tick);
    verify_that!(explorer.pending.len(), le(3))?;
    verify_that!(explorer.cluster.unacknowledged_call_count(), eq(0))
}
