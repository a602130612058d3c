//! Core machines on loopback, each with a store and a registry as separate processes that tests can kill, signal and
//! restart one by one, and applications that call them.
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
use settings::{CoordinationApi, MachineSettings};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

/// A call without a clear answer in this time fails its test.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// An application calls another machine if there is no answer within this time.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before the next attempt of a call.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Each machine uses the same consecutive ports: first those for connections between processes, then one for the HTTP
/// API (`ctl`) and one for the store's metrics.
const PEER_PORTS: u16 = 4;
const PORTS_PER_MACHINE: u16 = PEER_PORTS + 2;
/// Below the range from which the system assigns ephemeral ports, and distinct from the ports of other tests.
const LOWEST_PORT: u16 = 2_000;
const HIGHEST_PORT: u16 = 7_000;
/// The roles of a machine's processes, in the order in which they are started.
pub const ROLES: [Role; 2] = [Role::Store, Role::Registry];

/// The response to a call: its status and its body.
pub type Response = (u16, String);

/// Running core machines. Dropping this kills their processes.
pub struct CoreMachines {
    addresses: Vec<Ipv4Addr>,
    port: u16,
    coordination_api: CoordinationApi,
    folder: TempDir,
    /// The running processes, by the index of the machine and the name of the role.
    processes: BTreeMap<(usize, &'static str), Child>,
}

impl CoreMachines {
    /// Starts this many machines as a new deployment on addresses `127.0.net.*`. Each test must use another `net`.
    pub fn start(net: u8, count: usize, coordination_api: CoordinationApi) -> CoreMachines {
        let address = |index: usize| Ipv4Addr::new(127, 0, net, 11 + index as u8);
        let addresses: Vec<Ipv4Addr> = (0..count).map(address).collect();
        let mut machines = CoreMachines {
            port: find_free_ports(&addresses),
            addresses,
            coordination_api,
            folder: new_folder(),
            processes: BTreeMap::new(),
        };
        for machine in 0..count {
            machines.start_machine(machine, StartMode::Bootstrap);
        }
        machines
    }

    /// Starts three machines that serve the calls for locks, numbers and cells.
    pub fn start_three(net: u8) -> CoreMachines {
        CoreMachines::start(net, 3, CoordinationApi::Served)
    }

    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// The address at which applications call a machine.
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

    /// Writes the settings file of a process. `first_seed` is the index of the machine that is listed first among the
    /// seeds.
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
            machine_index: machine,
            role,
            start_mode,
            disk: &self.disk(machine),
            seeds: &seeds,
            ctl: self.ctl(machine),
            peer_ports: self.port..=self.port + PEER_PORTS - 1,
            coordination_api: self.coordination_api,
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

    /// Whether this process was started and has neither been killed nor found to have exited since.
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

    /// Starts all processes that are not running, on the existing disks.
    pub fn restart_all(&mut self) {
        for machine in 0..self.count() {
            for role in ROLES {
                if !self.is_running(machine, role) {
                    self.start_process(machine, role, StartMode::Restart);
                }
            }
        }
    }

    /// Removes the disk of a machine whose processes are not running.
    pub fn remove_disk(&self, machine: usize) {
        std::fs::remove_dir_all(self.disk(machine)).expect("a disk");
    }

    /// Sends a signal to a process, if it runs.
    pub fn send_signal(&self, machine: usize, role: Role, signal: Signal) {
        if let Some(child) = self.processes.get(&(machine, role.name())) {
            kill(Pid::from_raw(child.id() as i32), signal).expect("a signal");
        }
    }

    /// Whether the process has exited. A process that has exited is removed from the running ones.
    pub fn has_exited(&mut self, machine: usize, role: Role) -> bool {
        let Some(child) = self.processes.get_mut(&(machine, role.name())) else {
            return true;
        };
        let exited = child.try_wait().expect("a process").is_some();
        if exited {
            self.processes.remove(&(machine, role.name()));
        }
        exited
    }

    /// Calls a machine once; `None` if it does not respond within this time limit.
    pub async fn call_within(
        &self,
        time_limit: Duration,
        machine: usize,
        (method, path): (Method, &str),
        body: &str,
    ) -> Option<Response> {
        let call = http::call(self.ctl(machine), method, path, body.to_owned(), time_limit);
        let response = call.await?;
        let body = String::from_utf8_lossy(&response.body).into_owned();
        Some((response.status, body))
    }

    /// Posts to a machine, and retries until its response has a status below 500. Panics after `ANSWER_TIMEOUT`.
    pub async fn post(&self, machine: usize, path: &str, body: &str) -> Response {
        self.call_served(machine, (Method::POST, path), body).await
    }

    /// Like [`CoreMachines::post`], for reads.
    pub async fn get(&self, machine: usize, path: &str) -> Response {
        self.call_served(machine, (Method::GET, path), "").await
    }

    async fn call_served(&self, machine: usize, call: (Method, &str), body: &str) -> Response {
        let (method, path) = call;
        let served = async {
            loop {
                let time_limit = ANSWER_TIMEOUT;
                let call = (method.clone(), path);
                match self.call_within(time_limit, machine, call, body).await {
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

    /// The index of the machine whose store currently leads: the one whose count of operations increases most.
    pub async fn leader(&self) -> usize {
        let before = self.completed_operations().await;
        for machine in 0..self.count() {
            self.post(machine, "/numbers/of-leader", "{}").await;
        }
        let after = self.completed_operations().await;
        let gain = |machine: &usize| after[*machine].saturating_sub(before[*machine]);
        (0..self.count()).max_by_key(gain).expect("a machine")
    }

    /// The number of operations that each store has completed successfully.
    async fn completed_operations(&self) -> Vec<u64> {
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

    /// The metrics of a machine's store; empty if there is no response.
    pub async fn metrics(&self, machine: usize) -> String {
        let to = (self.addresses[machine], self.metrics_port()).into();
        let call = http::call(to, Method::GET, "/metrics", String::new(), CALL_TIMEOUT);
        let metrics = call.await.map(|response| response.body).unwrap_or_default();
        String::from_utf8_lossy(&metrics).into_owned()
    }

    /// Waits until each machine serves a read.
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

/// A number field of a JSON response body; 0 if it is missing.
pub fn u64_field(body: &str, field: &str) -> u64 {
    let body = jzon::parse(body).unwrap_or(JsonValue::Null);
    body[field].as_u64().unwrap_or_default()
}

/// The request body that acquires a lock.
pub fn begin_body(owner: &str, lease_ms: u64) -> String {
    format!("{{\"owner\":\"{owner}\",\"hold\":\"{lease_ms}ms\"}}")
}

/// The request body that renews a lock.
pub fn heartbeat_body(owner: &str, fencing_token: u64, lease_ms: u64) -> String {
    format!("{{\"owner\":\"{owner}\",\"fence\":{fencing_token},\"hold\":\"{lease_ms}ms\"}}")
}

/// The request body that releases a lock.
pub fn finish_body(owner: &str, fencing_token: u64) -> String {
    format!("{{\"owner\":\"{owner}\",\"fence\":{fencing_token}}}")
}

/// The request body that writes a cell if it has the revision `when`.
pub fn put_body(value: &str, when: u64) -> String {
    format!("{{\"val\":\"{value}\",\"when\":{when}}}")
}

/// Creates a temporary folder, in memory if possible: syncing a disk that other programs write to can take seconds, and
/// no test here depends on a disk.
fn new_folder() -> TempDir {
    TempDir::new_in("/dev/shm")
        .or_else(|_| TempDir::new())
        .expect("a folder")
}

/// Finds a range of consecutive ports that is free on all machines, and returns its first port. The search begins at a
/// port that depends on the process id, so that concurrent tests probe different ranges.
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
