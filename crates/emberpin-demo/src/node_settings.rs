//! Generates the settings file of a process, in the format that the platform writes.

use crate::deployment::{Bounds, Deployment, Machine, ZONES};
use crate::role::Role;
use crate::server::HEARTBEAT_INTERVAL;
use std::fmt::Write;
use std::path::Path;

const REGION: &str = "deployment";

/// Whether a process starts for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// First start: the machines create the deployment together.
    Bootstrap,
    /// The machine joins an existing deployment.
    Restart,
}

/// The inputs of a process's settings file.
#[derive(Clone, Copy, Debug)]
pub struct NodeSettings<'a> {
    /// The addresses of all machines.
    pub deployment: &'a Deployment,
    /// The time bounds, which are the same for all processes.
    pub bounds: Bounds,
    /// The program that the process runs.
    pub role: Role,
    /// The machine that the process runs on.
    pub machine: Machine,
    /// Whether the machine creates the deployment or joins it.
    pub start_mode: StartMode,
}

impl NodeSettings<'_> {
    /// The text of the settings file. `disk` is the folder that serves as the machine's disk.
    pub fn to_toml(&self, disk: &Path) -> String {
        let mut text = self.self_section(disk);
        text += "[self.limits]\ncpu_quota = 1.0\nncpu = 1\nmem_mb = 260\nnofile = 1000\nlink_mbps = 1000.0\n";
        text += &self.network_sections();
        text += &bounds_sections(self.bounds);
        text
    }

    fn self_section(&self, disk: &Path) -> String {
        let (ip, zone) = (self.machine.ip, self.machine.zone);
        let (class, serves) = match self.role {
            Role::Store => ("core", ""),
            Role::Registry => ("core", "\"ctl\""),
            Role::Proxy => ("edge", "\"edge\""),
        };
        let is_core = class == "core";
        let bootstrap = self.start_mode == StartMode::Bootstrap;
        let mut text = format!(
            "[self]\nnodename = \"{class}-{zone}-{ip}\"\nrole = \"{}\"\nmclass = \"{class}\"\nserves = [{serves}]\n\
             ip = \"{ip}\"\naz = \"{zone}\"\nrgn = \"{REGION}\"\nvoting = {is_core}\nbootstrap = {bootstrap}\n",
            self.role.name()
        );
        // Both processes of a core machine get the path of the disk, and write to folders of their own.
        if is_core {
            _ = writeln!(text, "datadir = \"{}\"", disk.display());
        }
        text
    }

    fn network_sections(&self) -> String {
        let (deployment, machine) = (self.deployment, self.machine);
        let ports = deployment.peer_ports();
        let seeds: Vec<String> = deployment
            .ctl_addresses()
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let listen = match self.role {
            Role::Store => String::new(),
            Role::Registry => format!("ctl = \"{}\"\n", deployment.ctl_address(machine)),
            Role::Proxy => format!(
                "http = \"{}\"\nreadyz = \"{}\"\n",
                deployment.http_address(machine),
                deployment.readyz_address(machine)
            ),
        };
        let zones = ZONES.map(|zone| format!("{zone} = \"{REGION}\"\n"));
        format!(
            "[network]\nport_range = [{},{}]\nseeds = [{}]\n[network.listen]\n{listen}[network.zones]\n{}",
            ports.start(),
            ports.end(),
            seeds.join(","),
            zones.concat(),
        )
    }
}

fn bounds_sections(bounds: Bounds) -> String {
    format!(
        "[infra]\nhb = \"{}ms\"\n[defs]\ninvariants = [\"coord\"]\n[defs.tolerance]\nnodes = 1\nzones = 1\n[defs.bounds]\n\
         seed_lag = \"3s\"\nreuse = \"2s\"\ncontact = \"3000ms\"\nack = \"5000ms\"\nsync_time = \"4s\"\n\
         drain = \"{}ms\"\ngrace = \"6s\"\nlost = \"200ms\"\napply = \"2500ms\"\nrevert = \"250ms\"\n\
         skew = \"8000ms\"\nretry_ratio = 0.2\nretry_win = \"10s\"\nretry_extra = 60\nwarm_excess = 1.5\n\
         warm_extra = 5\nevac = \"{}ms\"\nrecover = \"15s\"\n",
        HEARTBEAT_INTERVAL.as_millis(),
        bounds.drain.as_millis(),
        bounds.evacuation.as_millis(),
    )
}
