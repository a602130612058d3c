//! Machines on loopback that run the processes that `deploy/system.toml` names.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod deploy_file;
pub mod leaving_server;
mod patches;
pub mod traffic;

use deploy_file::{read_roles, DeployedRole};
use emberpin_demo::http;
use emberpin_demo::node_settings::StartMode;
use emberpin_demo::role::Role;
use hyper::Method;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::runtime::{Builder, Runtime};

#[allow(unused_imports, reason = "each test file uses a part of it")]
pub use patches::{drop_route_patch, first_patch, route_patch, service, shown_route, vhost};

/// A test fails if a command or a read gets no clear answer within this time.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// `sync_time` of the settings: another disk may be lost this long after a repair.
pub const SYNC_TIME: Duration = Duration::from_secs(4);
/// `ack` of the settings: the maximum time of a call while a machine is down.
pub const ACK: Duration = Duration::from_secs(5);
/// The next machine is called if one does not respond within this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before the next call after one without a clear answer.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
const ZONES: [&str; 3] = ["north-quay", "east-quay", "south-quay"];
/// The number of core machines: one in each zone. The first zone also has an edge.
pub const CORES: usize = 3;
/// The edge's index among the machines.
pub const EDGE: usize = CORES;
/// Each machine uses the same consecutive ports: first those for connections between processes, then `ctl`, `http` and
/// `readyz`.
const PEER_PORTS: u16 = 4;
const PORTS_PER_MACHINE: u16 = PEER_PORTS + 3;
/// Below the range from which the system assigns ephemeral ports, and distinct from the ports of other tests.
const LOWEST_PORT: u16 = 7_000;
const HIGHEST_PORT: u16 = 12_000;

/// A machine.
#[derive(Clone)]
struct Machine {
    ip: Ipv4Addr,
    class: &'static str,
    zone: &'static str,
}

/// The build of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The current build.
    Current,
    /// The previous build: the program that the environment names, or else the current build, limited to the newest
    /// protocol version of the previous one.
    Previous,
}

/// The environment variable with the path of the previous build's `emberpin-demo`, for [`Build::Previous`].
const PREVIOUS_BUILD_VARIABLE: &str = "EMBERPIN_PREVIOUS_DEMO";
/// The newest protocol version of the previous build.
const PREVIOUS_PROTOCOL_VERSION: u16 = 2;

impl Build {
    fn program(self) -> PathBuf {
        match std::env::var_os(PREVIOUS_BUILD_VARIABLE) {
            Some(previous) if self == Build::Previous => previous.into(),
            _ => env!("CARGO_BIN_EXE_emberpin-demo").into(),
        }
    }

    /// The additional lines in section `[network]` of the settings file for this build.
    fn network_fields(self) -> String {
        match self {
            Build::Current => String::new(),
            Build::Previous => format!("max_protocol_version = {PREVIOUS_PROTOCOL_VERSION}\n"),
        }
    }
}

/// Three core machines and an edge.
pub struct DeployedSystem {
    roles: Vec<DeployedRole>,
    machines: Vec<Machine>,
    port: u16,
    folder: TempDir,
    runtime: Runtime,
    /// The running processes, by the index of the machine in `machines` and of the role in `roles`.
    processes: BTreeMap<(usize, usize), Child>,
    /// The build of each process, with the same keys.
    builds: BTreeMap<(usize, usize), Build>,
    /// The `invariants` line of the settings, which selects the rules that are in force; empty for the default.
    invariants: &'static str,
}

impl DeployedSystem {
    /// Starts a new system on addresses `127.0.net.*`. No two tests of one program may use the same `net`.
    pub fn start(net: u8) -> DeployedSystem {
        DeployedSystem::start_with_build(net, Build::Current)
    }

    /// Like [`DeployedSystem::start`], with the calls for locks, numbers and cells enabled.
    pub fn start_with_coordination(net: u8) -> DeployedSystem {
        DeployedSystem::start_system(net, Build::Current, "invariants = [\"coord\"]\n")
    }

    /// Like [`DeployedSystem::start`], with all processes of this build.
    pub fn start_with_build(net: u8, build: Build) -> DeployedSystem {
        DeployedSystem::start_system(net, build, "")
    }

    fn start_system(net: u8, build: Build, invariants: &'static str) -> DeployedSystem {
        let machine = |class, number: usize, last: u8| Machine {
            ip: Ipv4Addr::new(127, 0, net, last + number as u8),
            class,
            zone: ZONES[number % ZONES.len()],
        };
        let mut machines: Vec<Machine> = (0..CORES)
            .map(|number| machine("core", number, 11))
            .collect();
        machines.push(machine("edge", 0, 21));
        let port = find_free_ports(&machines);
        let mut system = DeployedSystem {
            roles: read_roles(),
            machines,
            port,
            folder: TempDir::new().expect("a folder"),
            runtime: Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime"),
            processes: BTreeMap::new(),
            builds: BTreeMap::new(),
            invariants,
        };
        for process in system.all_processes() {
            system.builds.insert(process, build);
        }
        (0..system.machines.len())
            .for_each(|machine| system.start_machine(machine, StartMode::Bootstrap));
        system
    }

    /// Starts the processes that the deploy file assigns to a machine.
    pub fn start_machine(&mut self, machine: usize, start_mode: StartMode) {
        for (host, index) in self.all_processes() {
            if host == machine {
                let child = self.spawn(machine, index, start_mode);
                self.processes.insert((machine, index), child);
            }
        }
    }

    /// All processes that the deploy file assigns to machines, as the indexes of the machine and the role.
    fn all_processes(&self) -> Vec<(usize, usize)> {
        let machines = 0..self.machines.len();
        let has_role = |machine: usize, index: usize| {
            let role = &self.roles[index];
            // There is at most one machine of a class in each zone, so it has the role whatever the share.
            role.class == self.machines[machine].class && role.share > 0.0
        };
        machines
            .flat_map(|machine| (0..self.roles.len()).map(move |index| (machine, index)))
            .filter(|(machine, index)| has_role(*machine, *index))
            .collect()
    }

    /// Stops the process of this role with SIGTERM, and restarts it with this build.
    pub fn replace_process(&mut self, machine: usize, role: Role, build: Build) {
        let has_role = |process: &(usize, usize)| {
            process.0 == machine && self.roles[process.1].role.name() == role.name()
        };
        let process = self
            .all_processes()
            .into_iter()
            .find(has_role)
            .expect("a process of this role");
        let mut child = self.processes.remove(&process).expect("it runs");
        kill(Pid::from_raw(child.id() as i32), Signal::SIGTERM).expect("a signal");
        child.wait().expect("its end");
        self.builds.insert(process, build);
        let child = self.spawn(process.0, process.1, StartMode::Restart);
        self.processes.insert(process, child);
    }

    /// The log lines of all processes of a machine.
    pub fn logs(&self, machine: usize) -> String {
        let ip = self.machines[machine].ip;
        let log = |role: &DeployedRole| {
            let path = self
                .folder
                .path()
                .join(format!("{}-{ip}.log", role.role.name()));
            std::fs::read_to_string(path).unwrap_or_default()
        };
        self.roles.iter().map(log).collect()
    }

    fn spawn(&self, machine: usize, index: usize, start_mode: StartMode) -> Child {
        let (host, role) = (&self.machines[machine], &self.roles[index]);
        let name = format!("{}-{}", role.role.name(), host.ip);
        let settings = self.folder.path().join(format!("{name}.toml"));
        let log = self.folder.path().join(format!("{name}.log"));
        std::fs::create_dir_all(self.disk(machine)).expect("a folder");
        std::fs::write(&settings, self.settings(machine, index, start_mode))
            .expect("a settings file");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let build = self.builds[&(machine, index)];
        // An earlier build may not support these arguments.
        let arguments = role
            .arguments
            .iter()
            .filter(|_| matches!(build, Build::Current));
        Command::new(build.program())
            .arg(role.role.name())
            .arg(std::process::id().to_string())
            .args(arguments)
            .env("EMBERPIN_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a process")
    }

    fn disk(&self, machine: usize) -> PathBuf {
        self.folder
            .path()
            .join(format!("disk-{}", self.machines[machine].ip))
    }

    fn settings(&self, machine: usize, index: usize, start_mode: StartMode) -> String {
        let (host, role) = (&self.machines[machine], &self.roles[index]);
        let (ip, zone, class) = (host.ip, host.zone, host.class);
        let is_core = class == "core";
        let bootstrap = start_mode == StartMode::Bootstrap;
        let datadir = match is_core {
            true => format!("datadir = \"{}\"\n", self.disk(machine).display()),
            false => String::new(),
        };
        let address = |name: &str, port: u16| {
            format!("{name} = \"{ip}:{}\"\n", self.port + PEER_PORTS + port)
        };
        let listen: String = role
            .serves
            .iter()
            .map(|endpoint_name| match endpoint_name.as_str() {
                "ctl" => address("ctl", 0),
                _ => address("http", 1) + &address("readyz", 2),
            })
            .collect();
        let seeds: Vec<String> = (0..CORES)
            .map(|core| format!("\"{}\"", self.ctl(core)))
            .collect();
        let zones: String = ZONES
            .iter()
            .map(|zone| format!("{zone} = \"deployment\"\n"))
            .collect();
        format!(
            "[self]\nnodename = \"{class}-{ip}\"\nrole = \"{word}\"\nmclass = \"{class}\"\nserves = {serves:?}\n\
             ip = \"{ip}\"\naz = \"{zone}\"\nrgn = \"deployment\"\nvoting = {is_core}\nbootstrap = {bootstrap}\n{datadir}\
             [self.limits]\ncpu_quota = 1.0\nncpu = 1\nmem_mb = 260\nnofile = 1000\nlink_mbps = 1000.0\n\
             [network]\n{versions}port_range = [{first},{last}]\nseeds = [{seeds}]\n[network.listen]\n{listen}\
             [network.zones]\n{zones}[infra]\nhb = \"1300ms\"\n[defs]\n{invariants}[defs.tolerance]\nnodes = 1\nzones = 1\n\
             [defs.bounds]\nseed_lag = \"3s\"\nreuse = \"2s\"\ncontact = \"3000ms\"\nack = \"5000ms\"\n\
             sync_time = \"4s\"\ndrain = \"2500ms\"\ngrace = \"6s\"\nlost = \"200ms\"\napply = \"2500ms\"\n\
             revert = \"250ms\"\nskew = \"8000ms\"\nretry_ratio = 0.2\nretry_win = \"10s\"\nretry_extra = 60\n\
             warm_excess = 1.5\nwarm_extra = 5\nevac = \"5000ms\"\nrecover = \"15s\"\n",
            word = role.role.name(),
            invariants = self.invariants,
            versions = self.builds[&(machine, index)].network_fields(),
            serves = role.serves,
            first = self.port,
            last = self.port + PEER_PORTS - 1,
            seeds = seeds.join(","),
        )
    }

    /// The address at which the operator calls a core machine.
    pub fn ctl(&self, core: usize) -> SocketAddr {
        (self.machines[core].ip, self.port + PEER_PORTS).into()
    }

    /// The address at which clients call the edge.
    pub fn http(&self) -> SocketAddr {
        (self.machines[EDGE].ip, self.port + PEER_PORTS + 1).into()
    }

    /// Whether the edge responds that it is ready.
    pub fn is_edge_ready(&self) -> bool {
        let readyz = (self.machines[EDGE].ip, self.port + PEER_PORTS + 2).into();
        let call = http::call(readyz, Method::GET, "/readyz", String::new(), CALL_TIMEOUT);
        let response = self.runtime.block_on(call);
        response.is_some_and(|response| response.status == 200)
    }

    /// Reads the metrics of a machine's process of this role, at the endpoint that its arguments name.
    pub fn metrics(&self, machine: usize, role: Role) -> String {
        let deployed = self
            .roles
            .iter()
            .find(|deployed| deployed.role.name() == role.name());
        let endpoint = deployed.and_then(|deployed| deployed.arguments.get(1));
        let (port, path) = endpoint
            .and_then(|endpoint| endpoint.split_once('/'))
            .expect("--metrics PORT/PATH");
        let address = (self.machines[machine].ip, port.parse().expect("a port")).into();
        let path = format!("/{path}");
        let call = http::call(address, Method::GET, &path, String::new(), CALL_TIMEOUT);
        let response = self.runtime.block_on(call).expect("a response");
        String::from_utf8_lossy(&response.body).into_owned()
    }

    // ---- faults

    /// Kills the processes of a machine.
    pub fn kill_machine(&mut self, machine: usize) {
        for ((index, _), child) in &mut self.processes {
            if *index == machine {
                _ = child.kill();
                _ = child.wait();
            }
        }
        self.processes.retain(|(index, _), _| *index != machine);
    }

    /// Kills the processes of a machine and removes its disk.
    pub fn wipe_machine(&mut self, machine: usize) {
        self.kill_machine(machine);
        std::fs::remove_dir_all(self.disk(machine)).expect("a disk");
    }

    /// Sends a signal to the processes of a machine.
    pub fn send_signal(&self, machine: usize, signal: Signal) {
        for ((index, _), child) in &self.processes {
            if *index == machine {
                kill(Pid::from_raw(child.id() as i32), signal).expect("a signal");
            }
        }
    }

    // ---- the operator

    /// Calls a core machine once; returns status and body, or `None` if it does not respond within `CALL_TIMEOUT`.
    pub fn call_once(
        &self,
        core: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let call = http::call(self.ctl(core), method, path, body.to_owned(), CALL_TIMEOUT);
        let response = self.runtime.block_on(call)?;
        Some((
            response.status,
            String::from_utf8_lossy(&response.body).into_owned(),
        ))
    }

    /// Calls one core machine after the other, beginning with `first`, until one gives a clear answer: a status below
    /// 500 other than 307, 408 and 429. A machine that was just cut off from the majority redirects to another one.
    /// Returns the status and body of the clear answer.
    pub fn call_until_clear(
        &self,
        first: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> (u16, String) {
        let started_at = Instant::now();
        for core in (0..CORES).cycle().skip(first) {
            match self.call_once(core, method.clone(), path, body) {
                Some((status, body)) if status < 500 && ![307, 408, 429].contains(&status) => {
                    return (status, body)
                }
                _ => std::thread::sleep(RETRY_BACKOFF),
            }
            assert!(
                started_at.elapsed() < ANSWER_TIMEOUT,
                "no clear answer within {ANSWER_TIMEOUT:?} to {path} {body}"
            );
        }
        unreachable!("there are core machines")
    }

    /// Sends a configuration change; returns the status of the clear answer.
    pub fn patch(&self, first: usize, body: &str) -> u16 {
        self.call_until_clear(first, Method::POST, "/config/patch", body)
            .0
    }

    /// Reads the configuration back.
    pub fn read_back(&self, first: usize) -> String {
        self.call_until_clear(first, Method::GET, "/config/get", "")
            .1
    }
}

impl Drop for DeployedSystem {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            _ = child.kill();
            _ = child.wait();
        }
    }
}

/// Finds a range of consecutive ports that is free on all machines, and returns its first port. The search begins at a
/// port that depends on the process id, so that concurrent tests probe different ranges.
fn find_free_ports(machines: &[Machine]) -> u16 {
    let ranges = u32::from((HIGHEST_PORT - LOWEST_PORT) / PORTS_PER_MACHINE);
    let range = |probe: u32| {
        std::process::id()
            .wrapping_mul(97)
            .wrapping_add(probe * 131)
            % ranges
    };
    let is_free = |first: &u16| {
        machines.iter().all(|machine| {
            (*first..first + PORTS_PER_MACHINE)
                .all(|port| TcpListener::bind((machine.ip, port)).is_ok())
        })
    };
    let mut ports = (0..ranges).map(|probe| LOWEST_PORT + range(probe) as u16 * PORTS_PER_MACHINE);
    ports.find(is_free).expect("free ports")
}
