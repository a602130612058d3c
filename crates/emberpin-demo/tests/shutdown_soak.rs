//! Drains and leaves of servers, each followed at once by a fault of the core. No request may reach a server later than
//! `drain` after its drain or leave was acknowledged, once the machines are in touch again.
//!
//! By default, one seed runs. `EMBERPIN_SOAK_SEEDS=FIRST-LAST` selects other seeds.
#![allow(missing_docs, reason = "a test has no public interface")]

mod deployed_system;
mod soak_seeds;

use deployed_system::leaving_server::{Announcement, LeavingServer};
use deployed_system::traffic::Traffic;
use deployed_system::{first_patch, route_patch, DeployedSystem, CORES, EDGE};
use emberpin_demo::node_settings::StartMode;
use googletest::prelude::*;
use nix::sys::signal::Signal;
use oorandom::Rand32;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The route that requests are sent to.
const ROUTE: &str = "x";
/// `drain` of the settings: how long requests may arrive after an acknowledgement.
const DRAIN: Duration = Duration::from_millis(2_500);
/// `contact` of the settings: how long after the last fault all machines are in touch again.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Requests that were sent just before a bound may arrive this much after it.
const TRANSIT: Duration = Duration::from_millis(200);
/// How long requests are counted after the machines are in touch again. Longer than a server without heartbeats that is
/// listed as up stays listed.
const OBSERVATION: Duration = Duration::from_millis(4_000);
/// A core that was killed as a whole is back within a second.
const DOWN_TIME: Duration = Duration::from_millis(600);
/// A test fails if the servers get no request within this time.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the announcements are waited for: each of three registries may take a second to answer.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(4);
/// The registries have ended the sessions of an edge that has been frozen for this long.
const SESSION_END: Duration = Duration::from_millis(3_000);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The fewest requests that must be served while they are counted.
const MIN_SERVED: u64 = 50;
/// From the first acknowledgement to the fault, in milliseconds.
const FAULT_DELAYS_MS: [u64; 7] = [0, 1, 3, 5, 8, 20, 100];

/// What happens to the core after an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CoreFault {
    /// All processes are killed, and are back within a second.
    Killed,
    /// The same twice, the second time while the first restart is in progress.
    KilledTwice,
    /// All processes are killed, and one machine comes back without its disk.
    KilledWithLostDisk,
}

/// What happens to the edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EdgeFault {
    None,
    /// It is frozen for so long before the announcements that its sessions end, and continues with its old state once the
    /// core is back.
    Frozen,
    /// It is killed together with the core, and is back at the same time.
    Killed,
}

/// One round of a seed.
#[derive(Clone, Copy, Debug)]
struct Plan {
    core_fault: CoreFault,
    edge_fault: EdgeFault,
    delay: Duration,
    /// From the first restart to the second kill.
    second_kill_after: Duration,
    wiped: usize,
}

impl Plan {
    fn draw(random: &mut Rand32) -> Plan {
        let core_faults = [
            CoreFault::Killed,
            CoreFault::Killed,
            CoreFault::KilledTwice,
            CoreFault::KilledWithLostDisk,
        ];
        let edge_faults = [
            EdgeFault::None,
            EdgeFault::None,
            EdgeFault::Frozen,
            EdgeFault::Killed,
        ];
        Plan {
            core_fault: pick(random, &core_faults),
            edge_fault: pick(random, &edge_faults),
            delay: Duration::from_millis(pick(random, &FAULT_DELAYS_MS)),
            second_kill_after: Duration::from_millis(u64::from(random.rand_range(0..1_500))),
            wiped: random.rand_range(0..CORES as u32) as usize,
        }
    }
}

fn pick<T: Copy>(random: &mut Rand32, choices: &[T]) -> T {
    choices[random.rand_range(0..choices.len() as u32) as usize]
}

/// A system under traffic.
struct Soak {
    system: DeployedSystem,
    traffic: Traffic,
    /// The number of servers that were started, which makes their ids unique.
    servers: usize,
}

impl Soak {
    fn start(net: u8) -> Soak {
        let system = DeployedSystem::start(net);
        assert_eq!(system.patch(0, &first_patch()), 200);
        assert_eq!(system.patch(0, &route_patch(ROUTE, 1, 1_500)), 200);
        let registries = [0, 1, 2].map(|core| system.ctl(core));
        let traffic = Traffic::start(system.http(), &registries, ROUTE);
        Soak {
            system,
            traffic,
            servers: 0,
        }
    }

    /// Starts one server for each announcement, and waits until all of them get requests.
    fn start_servers(&mut self) -> Vec<LeavingServer> {
        let registries = [0, 1, 2].map(|core| self.system.ctl(core));
        let started_at = Instant::now();
        let mut servers = Vec::new();
        for announcement in [Announcement::Leave, Announcement::Drain] {
            self.servers += 1;
            let id = format!("leaving-{}", self.servers);
            servers.push(LeavingServer::start(id, announcement, &registries));
        }
        while servers
            .iter()
            .any(|server| server.arrivals_after(started_at) == 0)
        {
            assert!(
                started_at.elapsed() < FIRST_REQUEST_TIMEOUT,
                "no requests to a server"
            );
            sleep(POLL_INTERVAL);
        }
        servers
    }

    fn kill_core(&mut self) {
        for core in 0..CORES {
            self.system.send_signal(core, Signal::SIGKILL);
        }
        for core in 0..CORES {
            self.system.kill_machine(core);
        }
    }

    fn start_core(&mut self) {
        for core in 0..CORES {
            self.system.start_machine(core, StartMode::Restart);
        }
    }

    /// Carries out the faults of a plan. Returns when the last machine was back.
    fn inject(&mut self, plan: Plan) -> Instant {
        sleep(plan.delay);
        self.kill_core();
        if plan.edge_fault == EdgeFault::Killed {
            self.system.kill_machine(EDGE);
        }
        if plan.core_fault == CoreFault::KilledWithLostDisk {
            self.system.wipe_machine(plan.wiped);
        }
        sleep(DOWN_TIME);
        self.start_core();
        if plan.core_fault == CoreFault::KilledTwice {
            sleep(plan.second_kill_after);
            self.kill_core();
            sleep(DOWN_TIME);
            self.start_core();
        }
        match plan.edge_fault {
            EdgeFault::None => {}
            EdgeFault::Frozen => self.system.send_signal(EDGE, Signal::SIGCONT),
            EdgeFault::Killed => self.system.start_machine(EDGE, StartMode::Restart),
        }
        Instant::now()
    }

    /// Has servers announce that they drain and leave, injects a fault after the first acknowledgement, and counts the
    /// requests that arrive too late. Returns the violations.
    fn run_round(&mut self, plan: Plan) -> Vec<String> {
        let mut servers = self.start_servers();
        sleep(CONTACT);
        if plan.edge_fault == EdgeFault::Frozen {
            self.system.send_signal(EDGE, Signal::SIGSTOP);
            sleep(SESSION_END);
        }
        servers.iter_mut().for_each(LeavingServer::announce);
        let first = servers[0].wait_for_outcome(ANNOUNCEMENT_TIMEOUT);
        let back_at = self.inject(plan);
        let second = servers[1].wait_for_outcome(ANNOUNCEMENT_TIMEOUT);
        let in_touch_at = back_at + CONTACT;
        sleep((in_touch_at + TRANSIT).saturating_duration_since(Instant::now()));
        self.traffic.take_statuses();
        sleep(OBSERVATION);
        let served = self.traffic.take_statuses().get(&200).copied();
        let mut violations = Vec::new();
        for (server, acknowledged_at) in servers.iter().zip([first, second]) {
            let Some(acknowledged_at) = acknowledged_at else {
                continue;
            };
            let judged_from = (acknowledged_at + DRAIN).max(in_touch_at) + TRANSIT;
            let late = server.arrivals_after(judged_from);
            if late > 0 {
                let announcement = server.announcement;
                violations.push(format!(
                    "{late} requests after an acknowledged {announcement:?}"
                ));
            }
        }
        if served.unwrap_or_default() < MIN_SERVED {
            violations.push(format!("only {served:?} requests were served"));
        }
        let acknowledged = [first, second].map(|at| at.is_some());
        println!("{plan:?}: acknowledged {acknowledged:?}, served {served:?}, {violations:?}");
        violations
    }
}

/// Guards against an acknowledged leave that is lost with the memory of the core's processes, so that edges which were
/// not told of it bring the server back.
#[gtest]
fn an_acknowledged_leave_binds_after_all_core_processes_were_killed() -> googletest::Result<()> {
    let plan = Plan {
        core_fault: CoreFault::Killed,
        edge_fault: EdgeFault::Frozen,
        delay: Duration::ZERO,
        second_kill_after: Duration::ZERO,
        wiped: 0,
    };
    let violations = Soak::start(210).run_round(plan);
    verify_that!(violations, is_empty())
}

#[gtest]
fn acknowledged_drains_and_leaves_bind_under_series_of_faults() -> googletest::Result<()> {
    const ROUNDS: usize = 2;
    let mut failures = Vec::new();
    for seed in soak_seeds::seeds() {
        let mut random = Rand32::new(seed);
        let mut soak = Soak::start(211 + (seed % 40) as u8);
        for round in 0..ROUNDS {
            let plan = Plan::draw(&mut random);
            let violations = soak.run_round(plan);
            failures.extend(
                violations
                    .iter()
                    .map(|text| format!("seed {seed}, round {round}: {text}")),
            );
        }
    }
    verify_that!(failures, is_empty())
}
