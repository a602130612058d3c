//! The settings file that the platform provides for each process. It is TOML, read field by field.
//!
//! Fields that this build does not know are ignored. If a required field is missing, or a field has an invalid value,
//! the program does not start, and its error names the file and the field.

mod duration;
mod error;
mod table;

pub use duration::parse_duration;
pub use error::{FieldProblem, SettingsError};

use crate::protocol_version::{ProtocolVersion, VersionRange};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;
use table::SettingsTable;
use toml::{Table, Value};

/// The environment variable that names the settings file.
pub const SETTINGS_FILE_VARIABLE: &str = "EMBERPIN_NODE_FILE";

/// The settings of one process: its machine, the other machines, and the bounds that apply to all. The documentation of
/// each field names its key in the file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the machine (`self.nodename`).
    pub node_name: String,
    /// The address of the machine (`self.ip`), at which other processes reach this one. The data on a store's disk
    /// belongs to this address.
    pub ip: Ipv4Addr,
    /// The zone of the machine (`self.az`). Servers in it are preferred, and evacuations name it.
    pub zone: String,
    /// The region of the zone (`self.rgn`). Not used, but required.
    pub region: String,
    /// Whether the loss of the machine counts against `tolerated_node_losses` (`self.voting`; default: false). Not
    /// used.
    pub voting: bool,
    /// Whether this is the first start of the whole system (`self.bootstrap`; default: false). If it is, a store with
    /// an empty disk may bootstrap a new system, even where most machines of an old system were wiped.
    pub bootstrap: bool,
    /// The folder for the files of a store or registry (`self.datadir`; default: none). No store starts without it.
    pub data_dir: Option<PathBuf>,
    /// The maximum number of open file descriptors of the process (`self.limits.nofile`). A proxy derives from it
    /// how many connections it accepts from clients and opens to servers.
    pub max_open_files: usize,
    /// The memory limit of the process, in MiB (`self.limits.mem_mb`). A proxy derives from it how many long bodies it
    /// forwards at once.
    pub memory_mib: u64,
    /// The size of the disk, in MiB (`self.limits.disk_mb`; default: 0, which means unknown). A store rejects changes
    /// when most of the disk is used; if the size is unknown, it never does.
    pub disk_mib: u64,
    /// The address at which a proxy accepts clients (`network.listen.http`; default: none). No proxy starts without it.
    pub http_address: Option<SocketAddr>,
    /// The address at which a proxy answers readiness probes (`network.listen.readyz`; default: none). No proxy starts
    /// without it.
    pub readiness_address: Option<SocketAddr>,
    /// The address of a registry's HTTP API, for servers and the operator (`network.listen.ctl`; default: none). No
    /// registry starts without it.
    pub control_address: Option<SocketAddr>,
    /// The ports for connections between processes (`network.port_range`). They must be the same on all machines.
    pub port_range: PortRange,
    /// The versions of the protocol between processes that this one speaks: those of this build, up to
    /// `network.max_protocol_version` (default: its newest). While an operator lowers it during an upgrade,
    /// processes of the new build use the same protocol version as those of the old build.
    pub protocol_versions: VersionRange,
    /// The `ctl` addresses of some machines that run a registry (`network.seeds`), by which a process finds all others.
    /// Only their IP addresses are used.
    pub seeds: Vec<SocketAddr>,
    /// The region of each zone (`network.zones`; default: none). Only zones listed here can be evacuated.
    pub zone_regions: BTreeMap<String, String>,
    /// How often servers send heartbeats (`infra.hb`). An instance without one for several intervals is evicted.
    pub heartbeat_interval: Duration,
    /// How many voting machines may be lost at once (`defs.tolerance.nodes`). A change is acknowledged once it is on
    /// more disks than this.
    pub tolerated_node_losses: usize,
    /// Whether applications may call for locks, counters and cells (`defs.invariants` names `coord`; default: false).
    /// Without it, stores keep no registers and registries answer such calls with 404.
    pub has_coordination: bool,
    /// The bounds that the platform sets (`defs.bounds`).
    pub bounds: Bounds,
}

/// The range of ports for connections between processes. The first port is the store's, the second the registry's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port; above 0.
    pub first: u16,
    /// The last port; above the first.
    pub last: u16,
}

/// The bounds that the platform sets (`defs.bounds`). All are required. The timing of the processes is chosen for the
/// bounds of the known deployments, not derived from these. A registry logs at its start which bounds are below the
/// sum of the delays that they limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How long after an acknowledged drain a server may still get new requests (`drain`). Checked at a registry's
    /// start.
    pub drain_deadline: Duration,
    /// How long a process has from SIGTERM until it is killed (`grace`). A proxy ends its connections within it.
    pub shutdown_grace: Duration,
    /// How long after the acknowledgement of a change all proxies must have applied it (`apply`). Checked at a
    /// registry's start.
    pub propagation_deadline: Duration,
    /// How long after the acknowledgement of an evacuation the zone may still get requests (`evac`). Checked
    /// at a registry's start.
    pub evacuation_deadline: Duration,
    /// The time within which a call must be acknowledged (`ack`). Checked at a registry's start.
    pub ack_deadline: Duration,
    /// How long a machine must have been without faults before it counts as in contact (`contact`). Checked at a
    /// registry's start.
    pub contact_period: Duration,
    /// The retry budget of a service, over all proxies, as a fraction of its requests in `retry_window`
    /// (`retry_ratio`). Retries beyond this and `retry_allowance` are not sent.
    pub retry_ratio: f64,
    /// The window of the retry budget (`retry_win`).
    pub retry_window: Duration,
    /// The number of retries that the budget allows in a window in addition to `retry_ratio` (`retry_extra`).
    pub retry_allowance: f64,
    /// The maximum request rate to an instance in slow start, as a multiple of its service's `warmup_per_s`, before
    /// `slow_start_allowance` is added (`warm_excess`).
    pub slow_start_factor: f64,
    /// The requests per second that an instance in slow start may receive beyond that multiple (`warm_extra`).
    pub slow_start_allowance: f64,
}

impl Settings {
    /// The port at which the store of a machine accepts other processes.
    pub fn store_port(&self) -> u16 {
        self.port_range.first
    }

    /// The port at which the registry of a machine accepts other processes.
    pub fn registry_port(&self) -> u16 {
        self.port_range.first + 1
    }

    /// Reads the file that [`SETTINGS_FILE_VARIABLE`] names.
    ///
    /// # Errors
    ///
    /// [`SettingsError::NoFileNamed`], or those of [`Settings::from_file`].
    pub fn from_env() -> Result<Settings, SettingsError> {
        let file = std::env::var(SETTINGS_FILE_VARIABLE).map_err(|_| SettingsError::NoFileNamed)?;
        Settings::from_file(Path::new(&file))
    }

    /// Reads and parses this file.
    ///
    /// # Errors
    ///
    /// [`SettingsError::UnreadableFile`], or those of [`Settings::parse`].
    pub fn from_file(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Settings::parse(&text, &file),
            Err(source) => Err(SettingsError::UnreadableFile { file, source }),
        }
    }

    /// Parses the text of a settings file. `file` is its path, which errors name.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Syntax`] or [`SettingsError::Field`].
    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        let table: Table = text.parse().map_err(|source| SettingsError::Syntax {
            file: file.into(),
            source: Box::new(source),
        })?;
        Settings::from_table(&SettingsTable {
            file,
            table: &table,
        })
    }

    fn from_table(table: &SettingsTable) -> Result<Settings, SettingsError> {
        let zone_regions = read_zone_regions(table)?;
        let ports = table.list("network.port_range")?;
        let seeds = table.list("network.seeds")?;
        Ok(Settings {
            node_name: table.string("self.nodename")?,
            ip: table
                .address("self.ip")?
                .ok_or_else(|| table.error("self.ip", FieldProblem::Missing))?,
            zone: table.string("self.az")?,
            region: table.string("self.rgn")?,
            voting: table.boolean("self.voting")?,
            bootstrap: table.boolean("self.bootstrap")?,
            data_dir: read_data_dir(table)?,
            max_open_files: table.integer("self.limits.nofile")?,
            memory_mib: table.integer("self.limits.mem_mb")? as u64,
            disk_mib: read_disk_mib(table)?,
            http_address: table.address("network.listen.http")?,
            readiness_address: table.address("network.listen.readyz")?,
            control_address: table.address("network.listen.ctl")?,
            port_range: PortRange::from_values(&ports)
                .ok_or_else(|| table.error("network.port_range", FieldProblem::NotAPortRange))?,
            protocol_versions: read_protocol_versions(table)?,
            seeds: socket_addresses(&seeds)
                .ok_or_else(|| table.error("network.seeds", FieldProblem::NotSocketAddresses))?,
            zone_regions,
            heartbeat_interval: table.duration("infra.hb")?,
            tolerated_node_losses: table.integer("defs.tolerance.nodes")?,
            has_coordination: read_has_coordination(table)?,
            bounds: Bounds::from_table(table)?,
        })
    }
}

impl Bounds {
    fn from_table(table: &SettingsTable) -> Result<Bounds, SettingsError> {
        Ok(Bounds {
            drain_deadline: table.duration("defs.bounds.drain")?,
            shutdown_grace: table.duration("defs.bounds.grace")?,
            propagation_deadline: table.duration("defs.bounds.apply")?,
            evacuation_deadline: table.duration("defs.bounds.evac")?,
            ack_deadline: table.duration("defs.bounds.ack")?,
            contact_period: table.duration("defs.bounds.contact")?,
            retry_ratio: table.number("defs.bounds.retry_ratio")?,
            retry_window: table.duration("defs.bounds.retry_win")?,
            retry_allowance: table.number("defs.bounds.retry_extra")?,
            slow_start_factor: table.number("defs.bounds.warm_excess")?,
            slow_start_allowance: table.number("defs.bounds.warm_extra")?,
        })
    }
}

impl PortRange {
    /// Parses two ports; `None` unless both are above 0 and the second is above the first.
    fn from_values(values: &[Value]) -> Option<PortRange> {
        let port = |value: &Value| u16::try_from(value.as_integer()?).ok();
        let [first, last] = values else {
            return None;
        };
        let (first, last) = (port(first)?, port(last)?);
        (first > 0 && last > first).then_some(PortRange { first, last })
    }
}

fn read_zone_regions(table: &SettingsTable) -> Result<BTreeMap<String, String>, SettingsError> {
    let zones = match table.get("network.zones") {
        None => return Ok(BTreeMap::new()),
        Some(Value::Table(zones)) => zones,
        Some(_) => return Err(table.error("network.zones", FieldProblem::NotATable)),
    };
    zones
        .iter()
        .map(|(zone, region)| match region.as_str() {
            Some(region) => Ok((zone.clone(), region.to_string())),
            None => {
                let path = format!("network.zones.{zone}");
                Err(table.error(&path, FieldProblem::NotARegion))
            }
        })
        .collect()
}

/// Whether the list of invariants that apply to the deployment names `coord`.
fn read_has_coordination(table: &SettingsTable) -> Result<bool, SettingsError> {
    const FIELD: &str = "defs.invariants";
    if table.get(FIELD).is_none() {
        return Ok(false);
    }
    let invariants = table.list(FIELD)?;
    Ok(invariants
        .iter()
        .any(|invariant| invariant.as_str() == Some("coord")))
}

fn read_data_dir(table: &SettingsTable) -> Result<Option<PathBuf>, SettingsError> {
    match table.get("self.datadir") {
        Some(_) => Ok(Some(PathBuf::from(table.string("self.datadir")?))),
        None => Ok(None),
    }
}

fn read_disk_mib(table: &SettingsTable) -> Result<u64, SettingsError> {
    match table.get("self.limits.disk_mb") {
        Some(_) => Ok(table.integer("self.limits.disk_mb")? as u64),
        None => Ok(0),
    }
}

fn read_protocol_versions(table: &SettingsTable) -> Result<VersionRange, SettingsError> {
    const FIELD: &str = "network.max_protocol_version";
    if table.get(FIELD).is_none() {
        return Ok(VersionRange::SUPPORTED);
    }
    u16::try_from(table.integer(FIELD)?)
        .ok()
        .and_then(|newest| VersionRange::supported_up_to(ProtocolVersion(newest)))
        .ok_or_else(|| table.error(FIELD, FieldProblem::UnsupportedProtocolVersion))
}

fn socket_addresses(values: &[Value]) -> Option<Vec<SocketAddr>> {
    values
        .iter()
        .map(|value| value.as_str()?.parse().ok())
        .collect()
}
