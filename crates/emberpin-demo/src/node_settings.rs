//! The settings file of a process, in the form in which the platform writes it.

use crate::deployment::{Bounds, Deployment, Machine, ZONES};
use crate::role::Role;
use crate::server::HEARTBEAT_INTERVAL;
use std::fmt::Write;
use std::path::Path;

const REGION: &str = "deployment";

/// Whether a process starts for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// The machines found the deployment together.
    Bootstrap,
    /// The machine joins a deployment that exists.
    Restart,
}

/// The text of the settings file of one process.
pub fn settings_file(
    deployment: &Deployment,
    role: Role,
    machine: Machine,
    disk: &Path,
    start_mode: StartMode,
    bounds: Bounds,
) -> String {
    let mut text = self_section(role, machine, disk, start_mode);
    text += "[self.limits]\ncpu_quota = 1.0\nncpu = 1\nmem_mb = 260\nnofile = 1000\nlink_mbps = 1000.0\n";
    text += &network_sections(deployment, role, machine);
    text += &bounds_sections(bounds);
    text
}

fn self_section(role: Role, machine: Machine, disk: &Path, start_mode: StartMode) -> String {
    let (ip, zone) = (machine.ip, machine.zone);
    let (class, serves) = match role {
        Role::Store => ("core", ""),
        Role::Registry => ("core", "\"ctl\""),
        Role::Proxy => ("edge", "\"edge\""),
    };
    let is_core = class == "core";
    let bootstrap = start_mode == StartMode::Bootstrap;
    let mut text = format!(
        "[self]\nnodename = \"{class}-{zone}-{ip}\"\nrole = \"{}\"\nmclass = \"{class}\"\nserves = [{serves}]\n\
         ip = \"{ip}\"\naz = \"{zone}\"\nrgn = \"{REGION}\"\nvoting = {is_core}\nbootstrap = {bootstrap}\n",
        role.name()
    );
    // Both processes of a core machine are given the disk; only the store writes to it.
    if is_core {
        _ = writeln!(text, "datadir = \"{}\"", disk.display());
    }
    text
}

fn network_sections(deployment: &Deployment, role: Role, machine: Machine) -> String {
    let ports = deployment.peer_ports();
    let seeds: Vec<String> = deployment
        .ctl_addresses()
        .iter()
        .map(|seed| format!("\"{seed}\""))
        .collect();
    let listen = match role {
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

fn bounds_sections(bounds: Bounds) -> String {
    format!(
        "[infra]\nhb = \"{}ms\"\n[defs]\n[defs.tolerance]\nnodes = 1\nzones = 1\n[defs.bounds]\n\
         seed_lag = \"3s\"\nreuse = \"2s\"\ncontact = \"3000ms\"\nack = \"5000ms\"\nsync_time = \"4s\"\n\
         drain = \"{}ms\"\ngrace = \"6s\"\nlost = \"200ms\"\napply = \"2500ms\"\nrevert = \"250ms\"\n\
         skew = \"8000ms\"\nretry_ratio = 0.2\nretry_win = \"10s\"\nretry_extra = 60\nwarm_excess = 1.5\n\
         warm_extra = 5\nevac = \"{}ms\"\nrecover = \"15s\"\n",
        HEARTBEAT_INTERVAL.as_millis(),
        bounds.drain.as_millis(),
        bounds.evacuation.as_millis(),
    )
}
