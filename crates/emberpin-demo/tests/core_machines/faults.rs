//! Injects faults at random: series of freezes, kills, graceful shutdowns, restarts and changed settings that may
//! overlap, and lost disks.

use super::{CoreMachines, ROLES};
use emberpin_demo::node_settings::StartMode;
use emberpin_demo::role::Role;
use nix::sys::signal::Signal;
use oorandom::Rand32;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// How long all processes must have run without a fault before a disk may be removed: `sync_time` of the settings.
const SYNC_TIME: Duration = Duration::from_secs(6);
/// The maximum time until all planned steps are done, including the exits of processes that received SIGTERM.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A planned step that ends a fault of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Resumes the frozen process.
    Continue,
    /// Starts the process.
    Start,
    /// Starts the process once it has exited.
    StartAfterExit,
}

/// A step, the process that it applies to, and its time.
struct PlannedStep {
    at: Instant,
    machine: usize,
    role: Role,
    step: Step,
}

/// Injects faults that are drawn from a seed, and logs them.
pub struct Faults {
    random: Rand32,
    started_at: Instant,
    /// The machine that most faults of the current series hit.
    victim: usize,
    /// How many faults out of ten hit any machine instead of the victim.
    any_machine_of_ten: u32,
    /// The steps that end the current faults.
    planned: Vec<PlannedStep>,
    /// When a fault last began or a planned step was last due.
    last_fault_at: Instant,
    /// A line for each fault and each restart, with the time since the start.
    pub log: Vec<String>,
}

impl Faults {
    pub fn new(seed: u64) -> Faults {
        let mut random = Rand32::new(seed);
        let any_machine_of_ten = [0, 3, 10][random.rand_range(0..3) as usize];
        Faults {
            random,
            started_at: Instant::now(),
            victim: 0,
            any_machine_of_ten,
            planned: Vec::new(),
            last_fault_at: Instant::now(),
            log: Vec::new(),
        }
    }

    /// Injects faults for this long. Afterwards all processes are running.
    pub async fn inject_for(&mut self, machines: &mut CoreMachines, duration: Duration) {
        let end = Instant::now() + duration;
        let mut next_fault = Instant::now() + self.draw_time(200, 1_500);
        let mut left_in_series = 0;
        while Instant::now() < end {
            self.run_due_steps(machines);
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

    /// Removes the disk of one machine, once all processes have run without a fault for `SYNC_TIME`.
    pub async fn lose_disk(&mut self, machines: &mut CoreMachines) {
        self.repair(machines).await;
        sleep_until(self.last_fault_at + SYNC_TIME).await;
        let machine = self.draw_machine(machines);
        self.log_event(format!("machine {machine} loses its disk"));
        machines.kill_machine(machine);
        machines.remove_disk(machine);
        let at = Instant::now() + self.draw_time(0, 1_500);
        for role in ROLES {
            self.plan(at, machine, role, Step::Start);
        }
    }

    /// Ends all faults: waits for the planned steps, and starts all processes that are not running.
    async fn repair(&mut self, machines: &mut CoreMachines) {
        let until = Instant::now() + REPAIR_TIMEOUT;
        while !self.planned.is_empty() {
            self.run_due_steps(machines);
            sleep_until(Instant::now() + POLL_INTERVAL).await;
            let still_planned = self.planned.first().map(|planned| planned.step);
            assert!(
                Instant::now() < until,
                "the planned step {still_planned:?} was not completed:\n{}",
                self.log.join("\n")
            );
        }
        machines.restart_all();
        self.log_event("all processes are running".into());
    }

    fn begin_fault(&mut self, machines: &mut CoreMachines) {
        let machine = match self.random.rand_range(0..10) {
            drawn if drawn < self.any_machine_of_ten => self.draw_machine(machines),
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
                self.log_event(format!(
                    "machine {machine} freezes for {frozen:?}: {roles:?}"
                ));
                for role in roles {
                    machines.send_signal(machine, *role, Signal::SIGSTOP);
                    self.plan(Instant::now() + frozen, machine, *role, Step::Continue);
                }
            }
            8..=12 => {
                let down = self.draw_time(0, 2_500);
                self.log_event(format!(
                    "machine {machine} is killed for {down:?}: {roles:?}"
                ));
                for role in roles {
                    self.cancel_start_after_exit(machine, *role);
                    machines.kill(machine, *role);
                    self.plan(Instant::now() + down, machine, *role, Step::Start);
                }
            }
            13..=15 => {
                self.log_event(format!("machine {machine} receives SIGTERM: {roles:?}"));
                for role in roles {
                    if !machines.is_running(machine, *role) {
                        continue;
                    }
                    machines.send_signal(machine, *role, Signal::SIGTERM);
                    self.cancel_start_after_exit(machine, *role);
                    let at = Instant::now() + self.draw_time(0, 1_000);
                    self.plan(at, machine, *role, Step::StartAfterExit);
                }
            }
            16..=18 => {
                let first_seed = self.random.rand_range(0..3) as usize;
                self.log_event(format!("machine {machine} gets new settings: {roles:?}"));
                for role in roles {
                    machines.write_settings(machine, *role, StartMode::Restart, first_seed);
                    machines.send_signal(machine, *role, Signal::SIGHUP);
                }
            }
            _ => {
                self.log_event("all processes are killed".into());
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
        self.last_fault_at = Instant::now();
    }

    fn run_due_steps(&mut self, machines: &mut CoreMachines) {
        let now = Instant::now();
        let due: Vec<PlannedStep> = self.planned.extract_if(.., |step| now >= step.at).collect();
        for planned in due {
            let PlannedStep {
                machine,
                role,
                step,
                ..
            } = planned;
            self.last_fault_at = now;
            match step {
                Step::Continue => machines.send_signal(machine, role, Signal::SIGCONT),
                Step::StartAfterExit if !machines.has_exited(machine, role) => {
                    self.planned.push(planned);
                }
                Step::Start | Step::StartAfterExit if !machines.is_running(machine, role) => {
                    self.log_event(format!("machine {machine} starts its {}", role.name()));
                    machines.start_process(machine, role, StartMode::Restart);
                }
                Step::Start | Step::StartAfterExit => {}
            }
        }
    }

    fn plan(&mut self, at: Instant, machine: usize, role: Role, step: Step) {
        self.planned.push(PlannedStep {
            at,
            machine,
            role,
            step,
        });
    }

    /// Cancels the plan to start a process once it has exited.
    fn cancel_start_after_exit(&mut self, machine: usize, role: Role) {
        self.planned.retain(|planned| {
            planned.step != Step::StartAfterExit
                || (planned.machine, planned.role) != (machine, role)
        });
    }

    fn draw_machine(&mut self, machines: &CoreMachines) -> usize {
        self.random.rand_range(0..machines.count() as u32) as usize
    }

    fn draw_time(&mut self, from_ms: u32, to_ms: u32) -> Duration {
        Duration::from_millis(self.random.rand_range(from_ms..to_ms).into())
    }

    fn log_event(&mut self, event: String) {
        self.log
            .push(format!("{:?} {event}", self.started_at.elapsed()));
    }
}
