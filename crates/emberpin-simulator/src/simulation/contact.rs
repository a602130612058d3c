//! Determines whether a proxy is in contact with the core machines: time limits apply to it only then.

use super::Simulation;
use crate::machine::{CoreId, Machine, ProxyId};
use crate::state::process::Process;
use emberpin_membership::timing::bounds::CONTACT;
use std::collections::BTreeSet;

impl Simulation {
    /// Whether a proxy has been in contact for at least [`CONTACT`]: it runs, no fault has affected it or the core
    /// machines in this time, and it can reach each core machine that can reach a majority.
    pub(super) fn is_in_contact(&self, proxy: ProxyId) -> bool {
        let node = self.proxies.get(&proxy);
        let Some(node) = node.filter(|node| node.running.is_some()) else {
            return false;
        };
        let is_undisturbed = !node.process.is_frozen && !self.was_disturbed(&node.process);
        if !is_undisturbed || self.now < node.process.clock_set_at + CONTACT {
            return false;
        }
        if !self.is_core_undisturbed() {
            return false;
        }
        let majority = self.cores_with_majority();
        !majority.is_empty()
            && majority
                .iter()
                .all(|core| self.has_healthy_link(Machine::Proxy(proxy), Machine::Core(*core)))
    }

    /// Whether a fault affected a process within the last [`CONTACT`].
    fn was_disturbed(&self, process: &Process) -> bool {
        !process.disturbed_at.is_zero() && self.now < process.disturbed_at + CONTACT
    }

    fn is_core_undisturbed(&self) -> bool {
        let slow_until = self.network.slow_until;
        let was_slow = !slow_until.is_zero() && self.now < slow_until + CONTACT;
        !was_slow
            && !self.skips_time_limits
            && self
                .cores
                .values()
                .all(|node| !self.was_disturbed(&node.process))
    }

    /// The running core machines that can reach a majority of those in use.
    fn cores_with_majority(&self) -> Vec<CoreId> {
        let in_use = self.cores_in_use();
        let running: BTreeSet<CoreId> = in_use
            .iter()
            .copied()
            .filter(|core| self.is_running(Machine::Core(*core)))
            .filter(|core| !self.cores[core].process.is_frozen)
            .collect();
        let reaches_majority = |core: &CoreId| {
            let reached = running.iter().filter(|other| {
                self.has_healthy_link(Machine::Core(*core), Machine::Core(**other))
            });
            reached.count() > in_use.len() / 2
        };
        running.iter().copied().filter(reaches_majority).collect()
    }

    fn has_healthy_link(&self, one: Machine, other: Machine) -> bool {
        !self.network.is_partitioned_either_way(one, other)
            && !self.network.is_slow_either_way(one, other)
    }
}
