//! Core machines on loopback, each with a store and a registry, whose processes are signalled one by one; and
//! applications that call them.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod applications;
pub mod faults;
pub mod history;
pub mod settings;

use emberpin_demo::http;
use emberpin_demo::node_settings::StartMode;
use emberpin_demo::role::Role;
use hyper::Method;
use jzon::JsonValue;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use settings::{Applications, MachineSettings};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

/// A call without a clear answer in this time fails its test.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// An application calls another machine after this time of silence.
pub const SILENCE: Duration = Duration::from_secs(1);
/// Pause before the next attempt of a call.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Each machine has the same consecutive ports: those that processes connect to each other over, that of the calls, and
/// that of the store's metrics.
const PEER_PORTS: u16 = 4;
const PORTS_PER_MACHINE: u16 = PEER_PORTS + 2;
/// Below the ports that the system assigns by itself; apart from those of other tests.
const LOWEST_PORT: u16 = 2_000;
const HIGHEST_PORT: u16 = 7_000;
/// Processes of a machine, in the order in which they are started.
pub const ROLES: [Role; 2] = [Role::Store, Role::Registry];

/// The response to a call: its status and its body.
pub type Response = (u16, String);

/// Core machines. Their processes are killed when this is dropped.
pub struct CoreMachines {
    addresses: Vec<Ipv4Addr>,
    port: u16,
    applications: Applications,
    folder: TempDir,
    /// By the machine's number and the role's name.
    processes: BTreeMap<(usize, &'static str), Child>,
}

impl CoreMachines {
    /// Starts this many machines for the first time on addresses `127.0.net.*`; no two tests have the same.
    pub fn start(net: u8, count: usize, applications: Applications) -> CoreMachines {
        let address = |number: usize| Ipv4Addr::new(127, 0, net, 11 + number as u8);
        let addresses: Vec<Ipv4Addr> = (0..count).map(address).collect();
        let mut machines = CoreMachines {
            port: find_free_ports(&addresses),
            addresses,
            applications,
            folder: new_folder(),
            processes: BTreeMap::new(),
        };
        for machine in 0..count {
            machines.start_machine(machine, StartMode::Bootstrap);
        }
        machines
    }

    /// Three machines that serve applications.
    pub fn start_three(net: u8) -> CoreMachines {
        CoreMachines::start(net, 3, Applications::Served)
    }

    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Where applications call a machine.
    pub fn ctl(&self, machine: usize) -> SocketAddr {
        (self.addresses[machine], self.port + PEER_PORTS).into()
    }

    fn metrics_port(&self) -> u16 {
        self.port + PEER_PORTS + 1
    }

    pub fn ctl_addresses(&self) -> Vec<SocketAddr> {
        (0..self.count()).map(|machine| self.ctl(machine)).collect()
    }

    pub fn start_machine(&mut self, machine: usize, start_mode: StartMode) {
        for role in ROLES {
            self.start_process(machine, role, start_mode);
        }
    }

    pub fn start_process(&mut self, machine: usize, role: Role, start_mode: StartMode) {
        let name = format!("{}-{machine}", role.name());
        let settings_file = self.folder.path().join(format!("{name}.toml"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.log_file(machine, role))
            .expect("a log");
        std::fs::create_dir_all(self.disk(machine)).expect("a folder");
        self.write_settings(machine, role, start_mode, 0);
        let mut command = Command::new(env!("CARGO_BIN_EXE_emberpin-demo"));
        command.arg(role.name()).arg(std::process::id().to_string());
        if role == Role::Store {
            command.args(["--metrics", &format!("{}/metrics", self.metrics_port())]);
        }
        let child = command
            .env("EMBERPIN_NODE_FILE", settings_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a process");
        self.processes.insert((machine, role.name()), child);
    }

    /// Writes the settings file of a process. `first_seed` is the machine that is named first among the seeds.
    pub fn write_settings(
        &self,
        machine: usize,
        role: Role,
        start_mode: StartMode,
        first_seed: usize,
    ) {
        let mut seeds = self.ctl_addresses();
        seeds.truncate(3);
        let named_first = first_seed % seeds.len();
        seeds.rotate_left(named_first);
        let settings = MachineSettings {
            ip: self.addresses[machine],
            number: machine,
            role,
            start_mode,
            disk: &self.disk(machine),
            seeds: &seeds,
            ctl: self.ctl(machine),
            peer_ports: self.port..=self.port + PEER_PORTS - 1,
            applications: self.applications,
        };
        let file = format!("{}-{machine}.toml", role.name());
        std::fs::write(self.folder.path().join(file), settings.to_toml()).expect("a file");
    }

    fn disk(&self, machine: usize) -> PathBuf {
        self.folder.path().join(format!("disk-{machine}"))
    }

    fn log_file(&self, machine: usize, role: Role) -> PathBuf {
        self.folder
            .path()
            .join(format!("{}-{machine}.log", role.name()))
    }

    /// The log lines of all processes.
    pub fn logs(&self) -> String {
        let mut logs = String::new();
        for machine in 0..self.count() {
            for role in ROLES {
                let text = std::fs::read_to_string(self.log_file(machine, role));
                logs += &format!(
                    "---- {} of machine {machine}\n{}\n",
                    role.name(),
                    text.unwrap_or_default()
                );
            }
        }
        logs
    }

    /// Whether this process was started and not ended since.
    pub fn is_running(&self, machine: usize, role: Role) -> bool {
        self.processes.contains_key(&(machine, role.name()))
    }

    /// Kills a process, if it runs.
    pub fn kill(&mut self, machine: usize, role: Role) {
        if let Some(mut child) = self.processes.remove(&(machine, role.name())) {
            _ = child.kill();
            _ = child.wait();
        }
    }

    pub fn kill_machine(&mut self, machine: usize) {
        for role in ROLES {
            self.kill(machine, role);
        }
    }

    /// Kills all processes at once.
    pub fn kill_all(&mut self) {
        for child in self.processes.values_mut() {
            _ = child.kill();
        }
        for child in self.processes.values_mut() {
            _ = child.wait();
        }
        self.processes.clear();
    }

    /// Starts all processes that do not run on the disks that are there.
    pub fn restart_all(&mut self) {
        for machine in 0..self.count() {
            for role in ROLES {
                if !self.is_running(machine, role) {
                    self.start_process(machine, role, StartMode::Restart);
                }
            }
        }
    }

    /// Takes away the disk of a machine whose processes do not run.
    pub fn remove_disk(&self, machine: usize) {
        std::fs::remove_dir_all(self.disk(machine)).expect("a disk");
    }

    /// Sends a signal to a process, if it runs.
    pub fn signal(&self, machine: usize, role: Role, signal: Signal) {
        if let Some(child) = self.processes.get(&(machine, role.name())) {
            kill(Pid::from_raw(child.id() as i32), signal).expect("a signal");
        }
    }

    /// Whether the process has ended; it is then no longer among those that run.
    pub fn has_ended(&mut self, machine: usize, role: Role) -> bool {
        let Some(child) = self.processes.get_mut(&(machine, role.name())) else {
            return true;
        };
        let has_ended = child.try_wait().expect("a process").is_some();
        if has_ended {
            self.processes.remove(&(machine, role.name()));
        }
        has_ended
    }

    /// Calls a machine once; `None` if it does not respond within this time.
    pub async fn call_within(
        &self,
        limit: Duration,
        machine: usize,
        (method, path): (Method, &str),
        body: &str,
    ) -> Option<Response> {
        let call = http::call(self.ctl(machine), method, path, body.to_owned(), limit);
        let response = call.await?;
        let body = String::from_utf8_lossy(&response.body).into_owned();
        Some((response.status, body))
    }

    /// Posts to a machine once, as soon as it serves: beside 503 and silence any answer is one.
    pub async fn post(&self, machine: usize, path: &str, body: &str) -> Response {
        self.call_served(machine, (Method::POST, path), body).await
    }

    /// As [`CoreMachines::post`], for reads.
    pub async fn get(&self, machine: usize, path: &str) -> Response {
        self.call_served(machine, (Method::GET, path), "").await
    }

    async fn call_served(&self, machine: usize, call: (Method, &str), body: &str) -> Response {
        let (method, path) = call;
        let served = async {
            loop {
                let limit = ANSWER_TIMEOUT;
                let call = (method.clone(), path);
                match self.call_within(limit, machine, call, body).await {
                    Some((status, body)) if status < 500 => return (status, body),
                    _ => sleep(RETRY_BACKOFF).await,
                }
            }
        };
        match timeout(ANSWER_TIMEOUT, served).await {
            Ok(response) => response,
            Err(_) => panic!("no clear answer within {ANSWER_TIMEOUT:?} to {path} {body}"),
        }
    }

    /// The machine whose store carries operations out at present.
    pub async fn leader(&self) -> usize {
        let before = self.operations_done().await;
        for machine in 0..self.count() {
            self.post(machine, "/numbers/of-leader", "{}").await;
        }
        let after = self.operations_done().await;
        let gain = |machine: &usize| after[*machine].saturating_sub(before[*machine]);
        (0..self.count()).max_by_key(gain).expect("a machine")
    }

    /// How many operations each store has carried out.
    async fn operations_done(&self) -> Vec<u64> {
        let mut counts = Vec::new();
        for machine in 0..self.count() {
            let metrics = self.metrics(machine).await;
            let done = metrics.lines().filter(|line| {
                let failed = ["not_leader", "rejected", "undecided"];
                line.starts_with("emberpin_store_register_operations_total")
                    && !failed.iter().any(|result| line.contains(result))
            });
            let count = |line: &str| line.rsplit(' ').next()?.parse::<u64>().ok();
            counts.push(done.filter_map(count).sum());
        }
        counts
    }

    /// The metrics of a machine's store; empty if there is no answer.
    pub async fn metrics(&self, machine: usize) -> String {
        let to = (self.addresses[machine], self.metrics_port()).into();
        let call = http::call(to, Method::GET, "/metrics", String::new(), SILENCE);
        let metrics = call.await.map(|response| response.body).unwrap_or_default();
        String::from_utf8_lossy(&metrics).into_owned()
    }

    /// Waits until each machine answers a read.
    pub async fn wait_until_served(&self) {
        for machine in 0..self.count() {
            self.get(machine, "/cells/unused/get").await;
        }
    }
}

impl Drop for CoreMachines {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// A number in the body of a response.
pub fn number(body: &str, field: &str) -> u64 {
    let body = jzon::parse(body).unwrap_or(JsonValue::Null);
    body[field].as_u64().unwrap_or_default()
}

/// The body with which an application begins a lock.
pub fn begin_body(owner: &str, hold_ms: u64) -> String {
    format!("{{\"owner\":\"{owner}\",\"hold\":\"{hold_ms}ms\"}}")
}

/// The body with which an application renews a lock.
pub fn heartbeat_body(owner: &str, fence: u64, hold_ms: u64) -> String {
    format!("{{\"owner\":\"{owner}\",\"fence\":{fence},\"hold\":\"{hold_ms}ms\"}}")
}

/// The body with which an application gives a lock back.
pub fn finish_body(owner: &str, fence: u64) -> String {
    format!("{{\"owner\":\"{owner}\",\"fence\":{fence}}}")
}

/// The body with which an application writes a cell that has this revision.
pub fn put_body(value: &str, when: u64) -> String {
    format!("{{\"val\":\"{value}\",\"when\":{when}}}")
}

/// A folder in memory where there is one: a sync of a disk that other programs write to may take seconds, and no test
/// here is about disks.
fn new_folder() -> TempDir {
    TempDir::new_in("/dev/shm")
        .or_else(|_| TempDir::new())
        .expect("a folder")
}

/// The first of some ports in a row that are free on all machines, beginning at one that differs from process to
/// process.
fn find_free_ports(addresses: &[Ipv4Addr]) -> u16 {
    let ranges = u32::from((HIGHEST_PORT - LOWEST_PORT) / PORTS_PER_MACHINE);
    let range = |probe: u32| {
        std::process::id()
            .wrapping_mul(97)
            .wrapping_add(probe * 131)
            % ranges
    };
    let is_free = |first: &u16| {
        let ports = *first..first + PORTS_PER_MACHINE;
        let mut all = addresses
            .iter()
            .flat_map(|address| ports.clone().map(|port| (*address, port)));
        all.all(|address| TcpListener::bind(address).is_ok())
    };
    let mut ports = (0..ranges).map(|probe| LOWEST_PORT + range(probe) as u16 * PORTS_PER_MACHINE);
    ports.find(is_free).expect("free ports")
}
