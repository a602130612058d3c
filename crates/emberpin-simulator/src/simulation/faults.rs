//! Faults of machines, and the end of faults.

use super::connections::BreakNotice;
use super::Simulation;
use crate::machine::{CoreId, Machine};
use crate::scenario::UnsyncedWrites;
use crate::state::core_node::CoreNode;
use crate::state::process::Process;
use crate::state::DEFAULT_SYNC_TIME;
use std::time::Duration;

impl Simulation {
    /// Records that a fault affects these machines now.
    pub(super) fn mark_disturbed(&mut self, machines: impl IntoIterator<Item = Machine>) {
        let now = self.now;
        for machine in machines {
            if let Some(process) = self.process_mut(machine) {
                process.disturbed_at = process.disturbed_at.max(now);
            }
        }
    }

    pub(super) fn start(&mut self, machine: Machine) {
        match machine {
            Machine::Core(core) => self.start_core(core, false),
            Machine::Proxy(proxy) => self.start_proxy(proxy),
        }
    }

    /// Starts a core machine with the settings of the system's first start.
    pub(super) fn bootstrap(&mut self, machine: Machine) {
        if let Machine::Core(core) = machine {
            self.start_core(core, true);
        }
    }

    pub(super) fn stall_disk(&mut self, machine: Machine, until: Duration) {
        let core = machine.as_core();
        if let Some(node) = core.and_then(|core| self.cores.get_mut(&core)) {
            node.disk.stalled_until = until;
            node.process.disturbed_at = until;
        }
    }

    /// Stops the process of a machine, and breaks its connections.
    pub(super) fn stop(&mut self, machine: Machine, notice: BreakNotice) {
        match machine {
            Machine::Core(core) => {
                let Some(node) = self.cores.get_mut(&core) else {
                    return;
                };
                let was_running = node.running.take().is_some();
                self.counters.fault_effects.stopped_processes += u64::from(was_running);
                node.process.end();
            }
            Machine::Proxy(proxy) => {
                let Some(node) = self.proxies.get_mut(&proxy) else {
                    return;
                };
                node.running = None;
                node.process.end();
            }
        }
        self.break_connections_of(machine, notice);
    }

    pub(super) fn cut_power(&mut self, machine: Machine, unsynced: UnsyncedWrites) {
        let draw = self.random.rand_u64();
        let core = machine.as_core();
        if let Some(node) = core.and_then(|core| self.cores.get_mut(&core)) {
            let lost = node.disk.lose_power(match unsynced {
                UnsyncedWrites::KeepSome => Some(draw),
                UnsyncedWrites::DropAll => None,
            });
            self.counters.fault_effects.lost_writes += lost;
        }
        self.stop(machine, BreakNotice::NotSent);
    }

    pub(super) fn wipe_disk(&mut self, machine: Machine) {
        let core = machine.as_core();
        if let Some(node) = core.and_then(|core| self.cores.get_mut(&core)) {
            let was_used = node.disk.write_count() > 0;
            node.disk.wipe();
            self.counters.fault_effects.wiped_disks += u64::from(was_used);
        }
        self.stop(machine, BreakNotice::NotSent);
    }

    /// Removes a core machine permanently, and starts a new one in its zone.
    pub(super) fn replace(&mut self, old: CoreId, new: CoreId) {
        let Some(node) = self.cores.get(&old) else {
            return;
        };
        let process = Process::new(&node.process.zone);
        self.wipe_disk(Machine::Core(old));
        if let Some(node) = self.cores.get_mut(&old) {
            node.process.is_removed = true;
        }
        self.cores.insert(new, CoreNode::new(process));
        self.start_core(new, false);
        self.mark_disturbed([Machine::Core(old), Machine::Core(new)]);
    }

    pub(super) fn freeze(&mut self, machine: Machine) {
        if !self.is_running(machine) {
            return;
        }
        if let Some(process) = self.process_mut(machine) {
            process.is_frozen = true;
        }
    }

    pub(super) fn thaw(&mut self, machine: Machine) {
        let process = self.process_mut(machine);
        let Some(process) = process.filter(|process| process.is_frozen) else {
            return;
        };
        process.is_frozen = false;
        let deferred = std::mem::take(&mut process.deferred);
        let now = self.now;
        for event in deferred {
            self.schedule(now, event);
        }
    }

    /// Ends all faults, and starts all machines that are not running.
    pub(super) fn end_faults(&mut self) {
        self.heal(&[]);
        self.network.end_losses();
        self.network.reset_delivery();
        self.sync_time = DEFAULT_SYNC_TIME;
        self.response_loss_percent = 0;
        let cores = self.cores.keys().copied().map(Machine::Core);
        let proxies = self.proxies.keys().copied().map(Machine::Proxy);
        let machines: Vec<Machine> = cores.chain(proxies).collect();
        for machine in machines {
            self.thaw(machine);
            self.start(machine);
        }
        self.skips_time_limits = false;
    }
}
