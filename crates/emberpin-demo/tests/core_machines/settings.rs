//! Generates the settings file of a process on a core machine.

use emberpin_demo::node_settings::StartMode;
use emberpin_demo::role::Role;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::Path;

const ZONES: [&str; 3] = ["north-quay", "east-quay", "south-quay"];

/// Whether the settings enable the calls for locks, numbers and cells (`coord` among the `invariants`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoordinationApi {
    Served,
    NotServed,
}

/// The inputs of a process's settings file.
pub struct MachineSettings<'a> {
    pub ip: Ipv4Addr,
    pub machine_index: usize,
    pub role: Role,
    pub start_mode: StartMode,
    pub disk: &'a Path,
    pub seeds: &'a [SocketAddr],
    pub ctl: SocketAddr,
    pub peer_ports: RangeInclusive<u16>,
    pub coordination_api: CoordinationApi,
}

impl MachineSettings<'_> {
    /// The text of the settings file.
    pub fn to_toml(&self) -> String {
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let zones = ZONES.map(|zone| format!("{zone} = \"deployment\"\n"));
        let (serves, listen) = match self.role {
            Role::Registry => ("\"ctl\"", format!("ctl = \"{}\"\n", self.ctl)),
            Role::Store | Role::Proxy => ("", String::new()),
        };
        let invariants = match self.coordination_api {
            CoordinationApi::Served => "\"base\",\"config\",\"coord\"",
            CoordinationApi::NotServed => "\"base\",\"config\"",
        };
        format!(
            "[self]\nnodename = \"core-{ip}\"\nrole = \"{role}\"\nmclass = \"core\"\nserves = [{serves}]\n\
             ip = \"{ip}\"\naz = \"{zone}\"\nrgn = \"deployment\"\nvoting = true\nbootstrap = {bootstrap}\n\
             datadir = \"{disk}\"\n\
             [self.limits]\ncpu_quota = 1.0\nncpu = 1\nmem_mb = 256\nnofile = 4096\nlink_mbps = 1000.0\n\
             [network]\nport_range = [{first_port},{last_port}]\nseeds = [{seeds}]\n[network.listen]\n{listen}\
             [network.zones]\n{zones}[infra]\nhb = \"1300ms\"\n[defs]\ninvariants = [{invariants}]\n\
             [defs.tolerance]\nnodes = 1\nzones = 1\n\
             [defs.bounds]\nseed_lag = \"3s\"\nreuse = \"2s\"\ncontact = \"5000ms\"\nack = \"6000ms\"\n\
             sync_time = \"6s\"\ndrain = \"3000ms\"\ngrace = \"6s\"\nlost = \"200ms\"\napply = \"3000ms\"\n\
             revert = \"250ms\"\nskew = \"10000ms\"\nretry_ratio = 0.2\nretry_win = \"10s\"\nretry_extra = 176\n\
             warm_excess = 1.5\nwarm_extra = 8\nevac = \"5000ms\"\nrecover = \"15s\"\nhistory = \"20s\"\n\
             release = \"1500ms\"\n",
            ip = self.ip,
            role = self.role.name(),
            zone = ZONES[self.machine_index % ZONES.len()],
            bootstrap = self.start_mode == StartMode::Bootstrap,
            disk = self.disk.display(),
            first_port = self.peer_ports.start(),
            last_port = self.peer_ports.end(),
            seeds = seeds.join(","),
            zones = zones.concat(),
        )
    }
}
