//! Faults: processes, disks, power, machines and links.

use super::{ip, Cluster, Start, DISK_FULL, LEAVE_TIMEOUT};
use emberpin_consensus::{Event, Replica};
use std::net::Ipv4Addr;

/// How long the faults of a random run last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultDuration {
    /// Partitions heal often.
    Short,
    /// Partitions usually last, so that machines are evicted from the roster.
    Long,
}

/// The highest number of a machine that a random fault adds.
const MAX_MACHINES: u8 = 14;

impl Cluster {
    /// Kills a process; all its writes stay on the disk.
    pub fn kill(&mut self, ip: Ipv4Addr) {
        self.node(ip).replica = None;
    }

    /// Ends a process by a power loss: of the unsynced writes, a random number of the first ones survive.
    pub fn lose_power(&mut self, ip: Ipv4Addr) {
        let node = self.node(ip);
        let unsynced = (node.disk.len() - node.synced) as u64;
        let kept = self.below(unsynced + 1) as usize;
        let node = self.node(ip);
        node.replica = None;
        node.disk.truncate(node.synced + kept);
        node.synced = node.disk.len();
    }

    /// Ends a process by a power loss: no unsynced write survives.
    pub fn lose_power_and_unsynced_writes(&mut self, ip: Ipv4Addr) {
        let node = self.node(ip);
        node.replica = None;
        node.disk.truncate(node.synced);
    }

    /// Freezes a process: it handles nothing until it wakes, while time goes on.
    pub fn freeze(&mut self, ip: Ipv4Addr) {
        let node = self.node(ip);
        node.is_frozen = node.replica.is_some();
    }

    /// Wakes a frozen process: it handles all events that arrived meanwhile at once.
    pub fn wake(&mut self, ip: Ipv4Addr) {
        let node = self.node(ip);
        node.is_frozen = false;
        for event in std::mem::take(&mut node.frozen_events) {
            self.handle(ip, event);
        }
    }

    /// From now on the disk takes no writes. Writes in flight are lost, which the replica notices at its next write.
    pub fn fill_disk(&mut self, ip: Ipv4Addr) {
        self.node(ip).disk_full = true;
    }

    /// The disk takes writes again, and the replica is notified.
    pub fn free_disk(&mut self, ip: Ipv4Addr) {
        if std::mem::take(&mut self.node(ip).disk_full) {
            self.handle(ip, Event::DiskRestored);
        }
    }

    /// Loses the unsynced writes, and notifies the replica that its disk failed.
    pub(super) fn lose_unsynced_writes(&mut self, ip: Ipv4Addr) {
        let node = self.node(ip);
        node.disk.truncate(node.synced);
        node.disk_failures += 1;
        let reason = DISK_FULL.into();
        self.handle(ip, Event::DiskFailed { reason });
    }

    /// Requests a replica to leave the roster.
    pub fn begin_leaving(&mut self, ip: Ipv4Addr) {
        self.handle(ip, Event::Leave);
    }

    /// Ends a process as SIGTERM does: once its replica has left the roster, or after a timeout.
    pub fn shut_down(&mut self, ip: Ipv4Addr) {
        self.begin_leaving(ip);
        let has_left = |cluster: &Cluster| cluster.replica(ip).is_none_or(Replica::has_left);
        self.run_while(LEAVE_TIMEOUT, |cluster| !has_left(cluster));
        self.kill(ip);
    }

    /// Ends a process and empties its disk.
    pub fn lose_disk(&mut self, ip: Ipv4Addr) {
        let node = self.node(ip);
        node.replica = None;
        node.disk.clear();
        node.synced = 0;
        node.unrecovered_disk_loss = true;
    }

    /// Removes a machine and its disk for good.
    pub fn decommission(&mut self, ip: Ipv4Addr) {
        self.lose_disk(ip);
        self.node(ip).decommissioned = true;
    }

    /// From now on, loses all messages between two machines, in both directions.
    pub fn partition(&mut self, one: Ipv4Addr, other: Ipv4Addr) {
        self.partitions.insert((one, other));
        self.partitions.insert((other, one));
    }

    /// From now on, loses all messages between the machines of two groups.
    pub fn partition_groups(&mut self, group: &[u8], others: &[u8]) {
        for one in group {
            for other in others {
                self.partition(ip(*one), ip(*other));
            }
        }
    }

    /// Ends the processes of all these machines by a power loss.
    pub fn lose_power_of_all(&mut self, ips: &[Ipv4Addr]) {
        for ip in ips {
            self.lose_power(*ip);
        }
    }

    /// Injects one random fault, or heals some. `machine_count` is the number of the newest machine. No more disks are
    /// lost than are tolerated.
    pub fn inject_random_fault(
        &mut self,
        machine_count: &mut u8,
        tolerated: usize,
        duration: FaultDuration,
    ) {
        let all: Vec<Ipv4Addr> = self
            .nodes
            .keys()
            .copied()
            .filter(|ip| !self.nodes[ip].decommissioned)
            .collect();
        let one = self.choose(&all);
        let other = self.choose(&all);
        let tolerated = if self.newest_roster().len() > 2 * tolerated {
            tolerated
        } else {
            1
        };
        match self.below(22) {
            0..3 => self.kill(one),
            3..8 => self.start_all(&all),
            8..10 => self.lose_power(one),
            10 => self.lose_power_of_all(&all),
            11 => {
                for ip in &all {
                    self.kill(*ip);
                }
                self.start_all(&all);
            }
            12..15
                if self.lost_machines() < tolerated || self.nodes[&one].unrecovered_disk_loss =>
            {
                self.lose_disk_and_restart(one, &all);
            }
            15 if self.lost_machines() < tolerated && *machine_count < MAX_MACHINES => {
                self.decommission(one);
                *machine_count += 1;
                self.add_machine(ip(*machine_count));
                self.start(ip(*machine_count), Start::Normal);
            }
            16..18 if one != other => _ = self.partitions.insert((one, other)),
            18 => {
                for ip in all.iter().filter(|ip| **ip != one) {
                    self.partition(one, *ip);
                }
            }
            _ if duration == FaultDuration::Long && self.below(5) > 0 => {}
            _ => self.partitions.clear(),
        }
    }

    fn lose_disk_and_restart(&mut self, ip: Ipv4Addr, all: &[Ipv4Addr]) {
        if self.below(2) == 0 {
            self.lose_power_of_all(all);
        }
        self.lose_disk(ip);
        // In about one of three cases its settings still ask for a bootstrap.
        let start = if self.now.is_multiple_of(3) {
            Start::Bootstrap
        } else {
            Start::Normal
        };
        self.start(ip, start);
    }
}
