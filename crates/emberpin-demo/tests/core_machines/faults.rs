//! Signals, restarts, lost disks and changed settings, in series that overlap.

use super::{CoreMachines, ROLES};
use emberpin_demo::node_settings::StartMode;
use emberpin_demo::role::Role;
use nix::sys::signal::Signal;
use oorandom::Rand32;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// How long all machines have to be well before a disk may be taken away: `sync_time` of the settings.
const SYNC_TIME: Duration = Duration::from_secs(6);
/// A process that was asked to end has ended by then.
const REPAIR_TIME: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What is done to a process later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Continue,
    Start,
    /// Starts it once it has ended.
    StartAfterEnd,
}

struct Planned {
    at: Instant,
    machine: usize,
    role: Role,
    step: Step,
}

/// Draws faults from a seed, and says what it did.
pub struct Faults {
    random: Rand32,
    started_at: Instant,
    /// The machine that most faults of the present series hit.
    victim: usize,
    /// How many faults of ten hit any machine.
    spread: u32,
    planned: Vec<Planned>,
    /// When some process was last down or frozen.
    last_trouble: Instant,
    pub log: Vec<String>,
}

impl Faults {
    pub fn new(seed: u64) -> Faults {
        let mut random = Rand32::new(seed);
        let spread = [0, 3, 10][random.rand_range(0..3) as usize];
        Faults {
            random,
            started_at: Instant::now(),
            victim: 0,
            spread,
            planned: Vec::new(),
            last_trouble: Instant::now(),
            log: Vec::new(),
        }
    }

    /// Troubles the machines for this long. Afterwards all processes run.
    pub async fn trouble(&mut self, machines: &mut CoreMachines, duration: Duration) {
        let end = Instant::now() + duration;
        let mut next_fault = Instant::now() + self.draw_time(200, 1_500);
        let mut left_in_series = 0;
        while Instant::now() < end {
            self.carry_out_due(machines);
            if Instant::now() >= next_fault {
                if left_in_series == 0 {
                    left_in_series = 1 + self.random.rand_range(0..6);
                    self.victim = self.draw_machine(machines);
                }
                self.begin_fault(machines);
                left_in_series -= 1;
                next_fault = Instant::now()
                    + match left_in_series {
                        0 => self.draw_time(500, 3_000),
                        _ => self.draw_time(0, 400),
                    };
            }
            sleep_until(Instant::now() + POLL_INTERVAL).await;
        }
        self.repair(machines).await;
    }

    /// Takes the disk of one machine away, once all have been well for long enough.
    pub async fn lose_disk(&mut self, machines: &mut CoreMachines) {
        self.repair(machines).await;
        sleep_until(self.last_trouble + SYNC_TIME).await;
        let machine = self.draw_machine(machines);
        self.note(format!("machine {machine} loses its disk"));
        machines.kill_machine(machine);
        machines.remove_disk(machine);
        let at = Instant::now() + self.draw_time(0, 1_500);
        for role in ROLES {
            self.plan(at, machine, role, Step::Start);
        }
    }

    /// Ends all troubles.
    async fn repair(&mut self, machines: &mut CoreMachines) {
        let until = Instant::now() + REPAIR_TIME;
        while !self.planned.is_empty() {
            self.carry_out_due(machines);
            sleep_until(Instant::now() + POLL_INTERVAL).await;
            let still_planned = self.planned.first().map(|planned| planned.step);
            assert!(
                Instant::now() < until,
                "{still_planned:?} is not done:\n{}",
                self.log.join("\n")
            );
        }
        machines.restart_all();
        self.note("all processes run".into());
    }

    fn begin_fault(&mut self, machines: &mut CoreMachines) {
        let machine = match self.random.rand_range(0..10) {
            drawn if drawn < self.spread => self.draw_machine(machines),
            _ => self.victim,
        };
        let roles: &[Role] = match self.random.rand_range(0..4) {
            0 => &ROLES[..1],
            1 => &ROLES[1..],
            _ => &ROLES,
        };
        match self.random.rand_range(0..20) {
            0..=7 => {
                let frozen = self.draw_time(100, 4_000);
                self.note(format!(
                    "machine {machine} freezes for {frozen:?}: {roles:?}"
                ));
                for role in roles {
                    machines.signal(machine, *role, Signal::SIGSTOP);
                    self.plan(Instant::now() + frozen, machine, *role, Step::Continue);
                }
            }
            8..=12 => {
                let down = self.draw_time(0, 2_500);
                self.note(format!(
                    "machine {machine} is killed for {down:?}: {roles:?}"
                ));
                for role in roles {
                    self.expect_no_end(machine, *role);
                    machines.kill(machine, *role);
                    self.plan(Instant::now() + down, machine, *role, Step::Start);
                }
            }
            13..=15 => {
                self.note(format!("machine {machine} is asked to end: {roles:?}"));
                for role in roles {
                    if !machines.is_running(machine, *role) {
                        continue;
                    }
                    machines.signal(machine, *role, Signal::SIGTERM);
                    self.expect_no_end(machine, *role);
                    let at = Instant::now() + self.draw_time(0, 1_000);
                    self.plan(at, machine, *role, Step::StartAfterEnd);
                }
            }
            16..=18 => {
                let first_seed = self.random.rand_range(0..3) as usize;
                self.note(format!("machine {machine} gets new settings: {roles:?}"));
                for role in roles {
                    machines.write_settings(machine, *role, StartMode::Restart, first_seed);
                    machines.signal(machine, *role, Signal::SIGHUP);
                }
            }
            _ => {
                self.note("all processes are killed".into());
                self.planned.clear();
                machines.kill_all();
                let at = Instant::now() + self.draw_time(0, 500);
                for machine in 0..machines.count() {
                    for role in ROLES {
                        self.plan(at, machine, role, Step::Start);
                    }
                }
            }
        }
        self.last_trouble = Instant::now();
    }

    fn carry_out_due(&mut self, machines: &mut CoreMachines) {
        let now = Instant::now();
        let due: Vec<Planned> = self.planned.extract_if(.., |step| now >= step.at).collect();
        for planned in due {
            let Planned {
                machine,
                role,
                step,
                ..
            } = planned;
            self.last_trouble = now;
            match step {
                Step::Continue => machines.signal(machine, role, Signal::SIGCONT),
                Step::StartAfterEnd if !machines.has_ended(machine, role) => {
                    self.planned.push(planned);
                }
                Step::Start | Step::StartAfterEnd if !machines.is_running(machine, role) => {
                    self.note(format!("machine {machine} starts its {}", role.name()));
                    machines.start_process(machine, role, StartMode::Restart);
                }
                Step::Start | Step::StartAfterEnd => {}
            }
        }
    }

    fn plan(&mut self, at: Instant, machine: usize, role: Role, step: Step) {
        self.planned.push(Planned {
            at,
            machine,
            role,
            step,
        });
    }

    /// Drops the plan to start a process once it has ended.
    fn expect_no_end(&mut self, machine: usize, role: Role) {
        self.planned.retain(|planned| {
            planned.step != Step::StartAfterEnd
                || (planned.machine, planned.role) != (machine, role)
        });
    }

    fn draw_machine(&mut self, machines: &CoreMachines) -> usize {
        self.random.rand_range(0..machines.count() as u32) as usize
    }

    fn draw_time(&mut self, from_ms: u32, to_ms: u32) -> Duration {
        Duration::from_millis(self.random.rand_range(from_ms..to_ms).into())
    }

    fn note(&mut self, what: String) {
        self.log
            .push(format!("{:?} {what}", self.started_at.elapsed()));
    }
}
