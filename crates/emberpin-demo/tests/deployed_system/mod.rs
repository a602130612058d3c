//! Machines on loopback whose processes are those that `deploy/system.toml` names.

use emberpin_demo::http;
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

/// An order or a read that has no answer after so long fails its test.
pub const LONG: Duration = Duration::from_secs(30);
/// `sync_time` and `ack` of the settings.
pub const SYNC_TIME: Duration = Duration::from_secs(4);
pub const ACK: Duration = Duration::from_secs(5);
/// One second of silence, and the operator asks the next machine.
const SILENCE: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(50);
const ZONES: [&str; 3] = ["north-quay", "east-quay", "south-quay"];
/// Each zone has one core machine, and the first has an edge.
const CORES: usize = 3;
/// From the first port on: those that processes talk over, then `ctl`, `http` and `readyz`.
const PEER_PORTS: u16 = 4;
const PORTS: u16 = PEER_PORTS + 3;
/// Below the ports that the system gives out by itself; apart from those of other tests.
const FIRST_PORTS: (u16, u16) = (7_000, 12_000);

/// One role of the deploy file.
struct DeployedRole {
    role: Role,
    class: String,
    share: f64,
    serves: Vec<String>,
}

/// Reads the roles of the deploy file; a `run` line names a program whose code this executable has, too.
fn roles() -> Vec<DeployedRole> {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/system.toml");
    let text = std::fs::read_to_string(file).expect("the deploy file");
    let deploy: toml::Table = text.parse().expect("TOML");
    let role = |role: &toml::Value| {
        let text = |name: &str| role[name].as_str().expect("a text").to_owned();
        let run = text("run");
        let program = run
            .rsplit('/')
            .next()
            .and_then(|name| name.strip_prefix("emberpin-"));
        let serves = role["serves"].as_array().expect("a list");
        DeployedRole {
            role: program
                .and_then(Role::from_name)
                .expect("a program of the gateway"),
            class: text("on"),
            share: role["share"].as_float().expect("a share"),
            serves: serves
                .iter()
                .filter_map(|what| what.as_str().map(str::to_owned))
                .collect(),
        }
    };
    deploy["roles"]
        .as_table()
        .expect("roles")
        .values()
        .map(role)
        .collect()
}

/// A machine.
#[derive(Clone)]
struct Machine {
    ip: Ipv4Addr,
    class: &'static str,
    zone: &'static str,
}

/// Three core machines and an edge.
pub struct DeployedSystem {
    roles: Vec<DeployedRole>,
    machines: Vec<Machine>,
    port: u16,
    folder: TempDir,
    runtime: Runtime,
    /// By the machine's place in `machines` and the role's in `roles`.
    processes: BTreeMap<(usize, usize), Child>,
}

impl DeployedSystem {
    /// Starts the whole system for the first time, on addresses `127.0.net.*`; no two tests have the same.
    pub fn start(net: u8) -> DeployedSystem {
        let machine = |class, number: usize, last: u8| Machine {
            ip: Ipv4Addr::new(127, 0, net, last + number as u8),
            class,
            zone: ZONES[number % ZONES.len()],
        };
        let mut machines: Vec<Machine> = (0..CORES)
            .map(|number| machine("core", number, 11))
            .collect();
        machines.push(machine("edge", 0, 21));
        let port = free_ports(&machines);
        let mut site = DeployedSystem {
            roles: roles(),
            machines,
            port,
            folder: TempDir::new().expect("a folder"),
            runtime: Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime"),
            processes: BTreeMap::new(),
        };
        (0..site.machines.len()).for_each(|machine| site.start_machine(machine, true));
        site
    }

    /// Starts the processes of a machine that the deploy file gives it.
    pub fn start_machine(&mut self, machine: usize, bootstrap: bool) {
        for index in 0..self.roles.len() {
            let role = &self.roles[index];
            // One machine of a class in each zone: whatever the share, it has the role.
            if role.class == self.machines[machine].class && role.share > 0.0 {
                let child = self.spawn(machine, index, bootstrap);
                self.processes.insert((machine, index), child);
            }
        }
    }

    fn spawn(&self, machine: usize, index: usize, bootstrap: bool) -> Child {
        let (place, role) = (&self.machines[machine], &self.roles[index]);
        let name = format!("{}-{}", role.role.name(), place.ip);
        let settings = self.folder.path().join(format!("{name}.toml"));
        let log = self.folder.path().join(format!("{name}.log"));
        std::fs::create_dir_all(self.disk(machine)).expect("a folder");
        std::fs::write(&settings, self.settings(machine, index, bootstrap))
            .expect("a settings file");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        Command::new(env!("CARGO_BIN_EXE_emberpin-demo"))
            .arg(role.role.name())
            .arg(std::process::id().to_string())
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

    fn settings(&self, machine: usize, index: usize, bootstrap: bool) -> String {
        let (place, role) = (&self.machines[machine], &self.roles[index]);
        let (ip, zone, class) = (place.ip, place.zone, place.class);
        let is_core = class == "core";
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
            .map(|what| match what.as_str() {
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
             [network]\nport_range = [{first},{last}]\nseeds = [{seeds}]\n[network.listen]\n{listen}\
             [network.zones]\n{zones}[infra]\nhb = \"1300ms\"\n[defs]\n[defs.tolerance]\nnodes = 1\nzones = 1\n\
             [defs.bounds]\nseed_lag = \"3s\"\nreuse = \"2s\"\ncontact = \"3000ms\"\nack = \"5000ms\"\n\
             sync_time = \"4s\"\ndrain = \"2500ms\"\ngrace = \"6s\"\nlost = \"200ms\"\napply = \"2500ms\"\n\
             revert = \"250ms\"\nskew = \"8000ms\"\nretry_ratio = 0.2\nretry_win = \"10s\"\nretry_extra = 60\n\
             warm_excess = 1.5\nwarm_extra = 5\nevac = \"5000ms\"\nrecover = \"15s\"\n",
            word = role.role.name(),
            serves = role.serves,
            first = self.port,
            last = self.port + PEER_PORTS - 1,
            seeds = seeds.join(","),
        )
    }

    /// Where the operator calls a core machine.
    pub fn ctl(&self, core: usize) -> SocketAddr {
        (self.machines[core].ip, self.port + PEER_PORTS).into()
    }

    // ---- faults

    /// Kills the processes of a machine.
    pub fn kill_machine(&mut self, machine: usize) {
        for (place, child) in &mut self.processes {
            if place.0 == machine {
                _ = child.kill();
                _ = child.wait();
            }
        }
        self.processes.retain(|place, _| place.0 != machine);
    }

    /// Kills the processes of a machine and takes away its disk.
    pub fn wipe_machine(&mut self, machine: usize) {
        self.kill_machine(machine);
        std::fs::remove_dir_all(self.disk(machine)).expect("a disk");
    }

    /// Sends a signal to the processes of a machine.
    pub fn signal(&self, machine: usize, signal: Signal) {
        for (place, child) in &self.processes {
            if place.0 == machine {
                kill(Pid::from_raw(child.id() as i32), signal).expect("a signal");
            }
        }
    }

    // ---- the operator

    /// One try of a call at a core machine: its status and body, if it was answered within a second.
    pub fn once(
        &self,
        core: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let call = http::call(self.ctl(core), method, path, body.to_owned(), SILENCE);
        let answer = self.runtime.block_on(call)?;
        Some((
            answer.status,
            String::from_utf8_lossy(&answer.body).into_owned(),
        ))
    }

    /// Calls one machine after the other, beginning with this one, until one has a clear answer.
    pub fn ask(&self, first: usize, method: Method, path: &str, body: &str) -> (u16, String) {
        let began = Instant::now();
        for core in (0..CORES).cycle().skip(first) {
            match self.once(core, method.clone(), path, body) {
                Some((status, body)) if status < 500 && ![408, 429].contains(&status) => {
                    return (status, body)
                }
                _ => std::thread::sleep(PAUSE),
            }
            assert!(
                began.elapsed() < LONG,
                "no clear answer within {LONG:?} to {path} {body}"
            );
        }
        unreachable!("there are core machines")
    }

    /// The clear answer to a configuration.
    pub fn patch(&self, first: usize, body: &str) -> u16 {
        self.ask(first, Method::POST, "/config/patch", body).0
    }

    /// All items, as they are read back.
    pub fn get(&self, first: usize) -> String {
        self.ask(first, Method::GET, "/config/get", "").1
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

/// The first of some ports in a row that are free on all machines, from a place on that differs from process to process.
fn free_ports(machines: &[Machine]) -> u16 {
    let rows = u32::from((FIRST_PORTS.1 - FIRST_PORTS.0) / PORTS);
    let row = |turn: u32| std::process::id().wrapping_mul(97).wrapping_add(turn * 131) % rows;
    let is_free = |first: &u16| {
        machines.iter().all(|machine| {
            (*first..first + PORTS).all(|port| TcpListener::bind((machine.ip, port)).is_ok())
        })
    };
    let mut ports = (0..rows).map(|turn| FIRST_PORTS.0 + row(turn) as u16 * PORTS);
    ports.find(is_free).expect("free ports")
}

/// A service and a route to it, whose time-out tells contents apart.
pub fn set(route: &str, ver: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"upsert\":{{\"svcs\":[],\"vhosts\":[{}]}}}}",
        vhost(route, ver, timeout_ms)
    )
}

/// A route in its host.
pub fn vhost(route: &str, ver: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"hostname\":\"{route}.example\",\"locs\":[{{\"name\":\"{route}\",\"pfx\":\"/p/\",\"type\":\"readonly\",\
         \"timeout\":\"{timeout_ms}ms\",\"target_time\":\"250ms\",\"prio\":1,\"svc\":\"chartroom\",\"tries\":2,\
         \"ver\":{ver}}}]}}"
    )
}

/// The service of all routes.
pub fn service(name: &str, ver: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hcheck\":\"/healthz\",\"maxconn\":120,\"proto\":\"h1\",\"tls\":false,\
         \"warmup\":\"1s\",\"warmup_per_s\":20.0,\"ver\":{ver}}}"
    )
}

/// The first configuration: the service alone.
pub fn first() -> String {
    format!("{{\"upsert\":{{\"svcs\":[{}]}}}}", service("chartroom", 1))
}

/// Drops a route.
pub fn drop_route(route: &str, ver: u64) -> String {
    format!("{{\"remove\":{{\"rtab\":[{{\"name\":\"{route}\",\"ver\":{ver}}}]}}}}")
}

/// The version and time-out of a route in what was read back.
pub fn shown(body: &str, route: &str) -> Option<(u64, String)> {
    let all = jzon::parse(body).expect("JSON");
    let routes = all["vhosts"]
        .members()
        .flat_map(|vhost| vhost["locs"].members());
    let mut found = routes.filter(|item| item["name"].as_str() == Some(route));
    let route = found.next()?;
    Some((
        route["ver"].as_u64()?,
        route["timeout"].as_str()?.to_owned(),
    ))
}
