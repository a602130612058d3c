//! Machines on loopback addresses: their places, settings files and processes.

use nix::sys::{prctl, signal::Signal};
use nix::unistd::getppid;
use std::ffi::OsString;
use std::fmt::Write;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::Duration;

/// The zones, and the region that they are in.
pub const ZONES: [&str; 3] = ["north-quay", "east-quay", "south-quay"];
const REGION: &str = "deployment";
/// How often servers beat.
pub const BEAT: Duration = Duration::from_millis(500);
/// Core machines.
pub const CORE: usize = 3;
/// From the first port on: those that processes talk over, then `ctl`, `http` and `readyz`.
const PEER_PORTS: u16 = 4;
const PORTS: u16 = PEER_PORTS + 3;
/// Below the ports that the system gives out by itself.
const FIRST_PORTS: (u16, u16) = (12_000, 30_000);
const TRIES: u32 = 64;

/// Why the deployment could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// No ports that are free on all machines.
    #[error("no {PORTS} ports in a row are free on every machine's address; the last try: {0}")]
    NoPorts(io::Error),
    /// A file or folder.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A process that did not start.
    #[error("{0}: cannot start: {1}")]
    Start(String, io::Error),
    /// Something that the system refused.
    #[error("{0}: {1}")]
    System(&'static str, io::Error),
    /// Something that should have been there by now.
    #[error("{0} within {1:?}")]
    Late(String, Duration),
    /// A process that ended before its time.
    #[error("{0}")]
    ProcessExited(String),
    /// Somebody wants it to end.
    #[error("interrupted")]
    Interrupted,
}

/// The gateway's programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The store of configuration.
    Store,
    /// The registry.
    Registry,
    /// The proxy.
    Proxy,
}

impl Role {
    const ALL: [Role; 3] = [Role::Store, Role::Registry, Role::Proxy];

    /// The word by which this executable runs itself again.
    pub fn name(self) -> &'static str {
        match self {
            Role::Store => "store",
            Role::Registry => "registry",
            Role::Proxy => "proxy",
        }
    }

    /// The program of this word.
    pub fn from_name(word: &str) -> Option<Role> {
        Role::ALL.into_iter().find(|role| role.name() == word)
    }

    /// Runs the program in this process; the first argument is the id of the process that started it.
    pub fn run(self, mut arguments: impl Iterator<Item = OsString>) -> ExitCode {
        // Whatever ends the newcomer's command, even SIGKILL, ends its machines.
        _ = prctl::set_pdeathsig(Signal::SIGKILL);
        let parent = arguments.next().and_then(|id| id.to_str()?.parse().ok());
        if parent != Some(getppid().as_raw()) {
            // It was gone before that was said.
            return ExitCode::FAILURE;
        }
        match self {
            Role::Store => emberpin_store::program::main(arguments),
            Role::Registry => emberpin_registry::program::main(arguments),
            Role::Proxy => emberpin_proxy::program::main(arguments),
        }
    }
}

/// Where a machine is.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: &'static str,
}

/// All machines' places; the ports are the same on each.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Core machines.
    pub core: Vec<Machine>,
    /// Edges.
    pub edges: Vec<Machine>,
    port: u16,
}

/// The bounds that a run is played with; the usual ones, where it is long enough for them.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// From an acknowledged drain on.
    pub drain: Duration,
    /// From an acknowledged evacuation on.
    pub evac: Duration,
}

impl Deployment {
    /// Looks for ports that are free on all machines, from a place on that differs from process to process.
    ///
    /// # Errors
    ///
    /// [`DemoError::NoPorts`].
    pub fn find(edges: usize) -> Result<Deployment, DemoError> {
        let rows = u32::from((FIRST_PORTS.1 - FIRST_PORTS.0) / PORTS);
        // Runs side by side begin far from each other.
        let row = |turn: u32| std::process::id().wrapping_mul(97).wrapping_add(turn * 131) % rows;
        Deployment::among(
            edges,
            (0..TRIES).map(|turn| FIRST_PORTS.0 + row(turn) as u16 * PORTS),
        )
    }

    /// Takes the first of these ports that is free on all machines, with those after it.
    ///
    /// # Errors
    ///
    /// [`DemoError::NoPorts`].
    pub fn among(
        edges: usize,
        first_ports: impl Iterator<Item = u16>,
    ) -> Result<Deployment, DemoError> {
        let place = |first: u8, number: usize| Machine {
            ip: Ipv4Addr::new(127, 0, 0, first + number as u8),
            zone: ZONES[number % ZONES.len()],
        };
        let core: Vec<Machine> = (0..CORE).map(|number| place(11, number)).collect();
        let edges: Vec<Machine> = (0..edges).map(|number| place(21, number)).collect();
        let mut last = io::Error::other("none was tried");
        for port in first_ports {
            match core
                .iter()
                .chain(&edges)
                .try_for_each(|place| are_free(place.ip, port))
            {
                Ok(()) => return Ok(Deployment { core, edges, port }),
                Err(problem) => last = problem,
            }
        }
        Err(DemoError::NoPorts(last))
    }

    /// Where servers and the operator call.
    pub fn ctl(&self) -> Vec<SocketAddr> {
        self.core
            .iter()
            .map(|place| (place.ip, self.port + PEER_PORTS).into())
            .collect()
    }

    /// Where clients connect, edge by edge.
    pub fn http(&self) -> Vec<SocketAddr> {
        self.edges
            .iter()
            .map(|place| (place.ip, self.port + PEER_PORTS + 1).into())
            .collect()
    }

    /// Where edges are asked whether they are ready.
    pub fn readyz(&self) -> Vec<SocketAddr> {
        self.edges
            .iter()
            .map(|place| (place.ip, self.port + PEER_PORTS + 2).into())
            .collect()
    }

    /// The settings file of a process, in the form of the platform.
    fn settings(
        &self,
        role: Role,
        place: Machine,
        disk: &Path,
        bootstrap: bool,
        bounds: Bounds,
    ) -> String {
        let (ip, zone) = (place.ip, place.zone);
        let (mclass, serves) = match role {
            Role::Store => ("core", ""),
            Role::Registry => ("core", "\"ctl\""),
            Role::Proxy => ("edge", "\"edge\""),
        };
        let is_core = mclass == "core";
        // Of the two on a core machine, only the store writes there.
        let mut text = format!(
            "[self]\nnodename = \"{mclass}-{zone}-{ip}\"\nrole = \"{}\"\nmclass = \"{mclass}\"\nserves = [{serves}]\n\
             ip = \"{ip}\"\naz = \"{zone}\"\nrgn = \"{REGION}\"\nvoting = {is_core}\nbootstrap = {bootstrap}\n",
            role.name()
        );
        if is_core {
            _ = writeln!(text, "datadir = \"{}\"", disk.display());
        }
        let seeds: Vec<String> = self
            .ctl()
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let listen = match role {
            Role::Store => String::new(),
            Role::Registry => format!("ctl = \"{ip}:{}\"\n", self.port + PEER_PORTS),
            Role::Proxy => format!(
                "http = \"{ip}:{}\"\nreadyz = \"{ip}:{}\"\n",
                self.port + PEER_PORTS + 1,
                self.port + PEER_PORTS + 2
            ),
        };
        let zones: String = ZONES
            .iter()
            .map(|zone| format!("{zone} = \"{REGION}\"\n"))
            .collect();
        _ = write!(
            text,
            "[self.limits]\ncpu_quota = 1.0\nncpu = 1\nmem_mb = 260\nnofile = 1000\nlink_mbps = 1000.0\n\
             [network]\nport_range = [{},{}]\nseeds = [{}]\n[network.listen]\n{listen}[network.zones]\n{zones}\
             [infra]\nhb = \"{}ms\"\n[defs]\n[defs.tolerance]\nnodes = 1\nzones = 1\n[defs.bounds]\n\
             seed_lag = \"3s\"\nreuse = \"2s\"\ncontact = \"3000ms\"\nack = \"5000ms\"\nsync_time = \"4s\"\n\
             drain = \"{}ms\"\ngrace = \"6s\"\nlost = \"200ms\"\napply = \"2500ms\"\nrevert = \"250ms\"\n\
             skew = \"8000ms\"\nretry_ratio = 0.2\nretry_win = \"10s\"\nretry_extra = 60\nwarm_excess = 1.5\n\
             warm_extra = 5\nevac = \"{}ms\"\nrecover = \"15s\"\n",
            self.port,
            self.port + PEER_PORTS - 1,
            seeds.join(","),
            BEAT.as_millis(),
            bounds.drain.as_millis(),
            bounds.evac.as_millis(),
        );
        text
    }
}

fn are_free(ip: Ipv4Addr, first: u16) -> io::Result<()> {
    (first..first + PORTS).try_for_each(|port| match TcpListener::bind((ip, port)) {
        Ok(_) => Ok(()),
        Err(e) => Err(io::Error::new(e.kind(), format!("{ip}:{port}: {e}"))),
    })
}

/// A process of the gateway. It is killed when this goes, by its id, whatever the reason.
pub struct Process {
    name: String,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts this executable again in a role; its files are in `folder`.
    ///
    /// # Errors
    ///
    /// [`DemoError`].
    pub fn start(
        deployment: &Deployment,
        role: Role,
        place: Machine,
        folder: &Path,
        bootstrap: bool,
        bounds: Bounds,
    ) -> Result<Process, DemoError> {
        let name = format!("{} on {}", role.name(), place.ip);
        let file = |end: &str| folder.join(format!("{}-{}.{end}", role.name(), place.ip));
        let (settings, log) = (file("toml"), file("log"));
        let disk = folder.join(format!("disk-{}", place.ip));
        let text = deployment.settings(role, place, &disk, bootstrap, bounds);
        if role == Role::Store {
            std::fs::create_dir_all(&disk).map_err(|e| DemoError::File(disk.clone(), e))?;
        }
        std::fs::write(&settings, text).map_err(|e| DemoError::File(settings.clone(), e))?;
        let out = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&log);
        let out = out.map_err(|e| DemoError::File(log.clone(), e))?;
        let child = std::env::current_exe().and_then(|program| {
            let mut command = Command::new(program);
            command.arg(role.name()).arg(std::process::id().to_string());
            command.env("EMBERPIN_NODE_FILE", &settings);
            command
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(out)
                .spawn()
        });
        Ok(Process {
            child: child.map_err(|e| DemoError::Start(name.clone(), e))?,
            name,
            log,
        })
    }

    /// What it said last, if it has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        let said = std::fs::read_to_string(&self.log).unwrap_or_default();
        let last = said.lines().last().unwrap_or("nothing");
        Some(format!(
            "{} ended by itself ({status}); it said: {last}",
            self.name
        ))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}
