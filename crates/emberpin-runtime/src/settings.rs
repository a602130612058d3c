//! The settings file that the platform gives a process: TOML, read by hand, field by field. What is not known
//! is passed over; what is needed and cannot be used is told with its field and file.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::{Table, Value};

/// The environment variable that names the file.
pub const SETTINGS_FILE_VARIABLE: &str = "EMBERPIN_NODE_FILE";

/// A settings file that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {field}: {what}")]
pub struct SettingsError {
    /// Which file.
    pub file: String,
    /// Where in it.
    pub field: String,
    /// What is the matter, and what was expected.
    pub what: String,
}

/// What this process is told of itself, of others and of the rules.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The machine's name.
    pub node_name: String,
    /// The machine's address.
    pub ip: std::net::Ipv4Addr,
    /// The machine's zone.
    pub zone: String,
    /// The zone's region.
    pub region: String,
    /// Whether its loss is counted.
    pub voting: bool,
    /// The first start of the whole system, with empty disks.
    pub bootstrap: bool,
    /// Where files may be kept, on machines with a disk.
    pub data_dir: Option<PathBuf>,
    /// Most descriptors.
    pub max_open_files: usize,
    /// Most memory, in MiB.
    pub memory_mib: u64,
    /// The size of the disk, in MiB; 0, where there is none or it isn't told.
    pub disk_mib: u64,
    /// Where clients come in.
    pub http_address: Option<SocketAddr>,
    /// Where readiness is asked for.
    pub readiness_address: Option<SocketAddr>,
    /// Where servers and the operator come in.
    pub control_address: Option<SocketAddr>,
    /// The first and last port for what processes say to each other.
    pub port_range: (u16, u16),
    /// `ctl` addresses of some machines.
    pub seeds: Vec<SocketAddr>,
    /// The region of each zone.
    pub zone_regions: BTreeMap<String, String>,
    /// How often servers beat.
    pub heartbeat_interval: Duration,
    /// How many voting machines may be lost at once.
    pub tolerated_node_losses: usize,
    /// The figures of the rules.
    pub bounds: Bounds,
}

/// The figures of the rules that are used.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// From an acknowledged drain on, nothing new reaches the server after this time.
    pub drain_deadline: Duration,
    /// How long a process has from SIGTERM on.
    pub shutdown_grace: Duration,
    /// A version is in force everywhere this long after its acknowledgement.
    pub propagation_deadline: Duration,
    /// An evacuated zone gets nothing this long after its acknowledgement.
    pub evacuation_deadline: Duration,
    /// How soon a call must be acknowledged.
    pub ack_deadline: Duration,
    /// A machine is in touch after so long without trouble.
    pub contact_period: Duration,
    /// Further arrivals at a service, as a share of its requests, over `retry_win`, and so many beside.
    pub retry_ratio: f64,
    /// The window of the budget.
    pub retry_window: Duration,
    /// See `retry_ratio`.
    pub retry_allowance: f64,
    /// A cold server gets at most `warmup_per_s` times this, and `warm_extra` more, in any second.
    pub slow_start_factor: f64,
    /// See `warm_excess`.
    pub slow_start_allowance: f64,
}

impl Settings {
    /// Where the store of configuration on a machine hears other processes.
    pub fn store_port(&self) -> u16 {
        self.port_range.0
    }

    /// Where the registry on a machine hears other processes.
    pub fn registry_port(&self) -> u16 {
        self.port_range.0 + 1
    }

    /// Reads the file that the environment names.
    ///
    /// # Errors
    ///
    /// [`SettingsError`], also if the environment names none or it cannot be read.
    pub fn from_env() -> Result<Settings, SettingsError> {
        let file = std::env::var(SETTINGS_FILE_VARIABLE).map_err(|_| SettingsError {
            file: SETTINGS_FILE_VARIABLE.into(),
            field: "environment".into(),
            what: "names no file".into(),
        })?;
        Settings::from_file(Path::new(&file))
    }

    /// Reads this file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`].
    pub fn from_file(file: &Path) -> Result<Settings, SettingsError> {
        let name = file.display().to_string();
        let wrong = |field: &str, what: String| SettingsError {
            file: name.clone(),
            field: field.into(),
            what,
        };
        let text = std::fs::read_to_string(file).map_err(|e| wrong("file", e.to_string()))?;
        Settings::parse(&text, &name)
    }

    /// Reads the text of a file of this name.
    ///
    /// # Errors
    ///
    /// [`SettingsError`].
    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        let table: Table = text.parse().map_err(|e: toml::de::Error| SettingsError {
            file: file.into(),
            field: "TOML".into(),
            what: e.to_string().trim().replace('\n', " "),
        })?;
        let at = SettingsTable {
            file,
            table: &table,
        };
        let zones = match at.find("network.zones") {
            None => BTreeMap::new(),
            Some(Value::Table(zones)) => zones
                .iter()
                .map(|(zone, region)| match region.as_str() {
                    Some(region) => Ok((zone.clone(), region.to_string())),
                    None => {
                        Err(at.wrong(&format!("network.zones.{zone}"), "expected a region's name"))
                    }
                })
                .collect::<Result<_, _>>()?,
            Some(_) => return Err(at.wrong("network.zones", "expected a table")),
        };
        let ports = at.list("network.port_range")?;
        let port = |value: &Value| value.as_integer().and_then(|port| u16::try_from(port).ok());
        let ports = match ports.as_slice() {
            [first, last] => port(first)
                .zip(port(last))
                .filter(|(first, last)| *first > 0 && last > first),
            _ => None,
        };
        let seeds = at
            .list("network.seeds")?
            .into_iter()
            .map(|seed| seed.as_str().and_then(|seed| seed.parse().ok()));
        Ok(Settings {
            node_name: at.text("self.nodename")?,
            ip: at
                .parsed("self.ip")?
                .ok_or_else(|| at.wrong("self.ip", "is missing"))?,
            zone: at.text("self.az")?,
            region: at.text("self.rgn")?,
            voting: at.flag("self.voting")?,
            bootstrap: at.flag("self.bootstrap")?,
            data_dir: at
                .find("self.datadir")
                .map(|_| at.text("self.datadir"))
                .transpose()?
                .map(PathBuf::from),
            max_open_files: at.count("self.limits.nofile")?,
            memory_mib: at.count("self.limits.mem_mb")? as u64,
            disk_mib: match at.find("self.limits.disk_mb") {
                Some(_) => at.count("self.limits.disk_mb")? as u64,
                None => 0,
            },
            http_address: at.parsed("network.listen.http")?,
            readiness_address: at.parsed("network.listen.readyz")?,
            control_address: at.parsed("network.listen.ctl")?,
            port_range: ports
                .ok_or_else(|| at.wrong("network.port_range", "expected two rising ports"))?,
            seeds: seeds
                .collect::<Option<_>>()
                .ok_or_else(|| at.wrong("network.seeds", "expected addresses with ports"))?,
            zone_regions: zones,
            heartbeat_interval: at.time("infra.hb")?,
            tolerated_node_losses: at.count("defs.tolerance.nodes")?,
            bounds: Bounds {
                drain_deadline: at.time("defs.bounds.drain")?,
                shutdown_grace: at.time("defs.bounds.grace")?,
                propagation_deadline: at.time("defs.bounds.apply")?,
                evacuation_deadline: at.time("defs.bounds.evac")?,
                ack_deadline: at.time("defs.bounds.ack")?,
                contact_period: at.time("defs.bounds.contact")?,
                retry_ratio: at.number("defs.bounds.retry_ratio")?,
                retry_window: at.time("defs.bounds.retry_win")?,
                retry_allowance: at.number("defs.bounds.retry_extra")?,
                slow_start_factor: at.number("defs.bounds.warm_excess")?,
                slow_start_allowance: at.number("defs.bounds.warm_extra")?,
            },
        })
    }
}

/// A time as the pages write it: a number and its unit, `ms` or `s`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.trim().parse().ok()?;
    Duration::try_from_secs_f64(number * unit).ok()
}

/// A file's table, and what is looked up in it.
struct SettingsTable<'a> {
    file: &'a str,
    table: &'a Table,
}

impl SettingsTable<'_> {
    fn wrong(&self, field: &str, what: impl fmt::Display) -> SettingsError {
        SettingsError {
            file: self.file.into(),
            field: field.into(),
            what: what.to_string(),
        }
    }

    fn find(&self, path: &str) -> Option<&Value> {
        let mut names = path.split('.');
        let first = self.table.get(names.next()?)?;
        names.try_fold(first, |value, name| value.as_table()?.get(name))
    }

    fn need(&self, path: &str) -> Result<&Value, SettingsError> {
        self.find(path)
            .ok_or_else(|| self.wrong(path, "is missing"))
    }

    fn text(&self, path: &str) -> Result<String, SettingsError> {
        let text = self
            .need(path)?
            .as_str()
            .ok_or_else(|| self.wrong(path, "expected a text"))?;
        Ok(text.to_string())
    }

    fn parsed<T: std::str::FromStr>(&self, path: &str) -> Result<Option<T>, SettingsError> {
        if self.find(path).is_none() {
            return Ok(None);
        }
        let text = self.text(path)?;
        text.parse()
            .map(Some)
            .map_err(|_| self.wrong(path, format!("expected an address, found \"{text}\"")))
    }

    fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        match self.find(path) {
            None => Ok(false),
            Some(value) => value
                .as_bool()
                .ok_or_else(|| self.wrong(path, "expected true or false")),
        }
    }

    fn list(&self, path: &str) -> Result<Vec<Value>, SettingsError> {
        Ok(self
            .need(path)?
            .as_array()
            .ok_or_else(|| self.wrong(path, "expected a list"))?
            .clone())
    }

    fn count(&self, path: &str) -> Result<usize, SettingsError> {
        let number = self
            .need(path)?
            .as_integer()
            .and_then(|number| usize::try_from(number).ok());
        number.ok_or_else(|| self.wrong(path, "expected a whole number"))
    }

    fn number(&self, path: &str) -> Result<f64, SettingsError> {
        let value = self.need(path)?;
        let number = value
            .as_float()
            .or_else(|| value.as_integer().map(|number| number as f64));
        number
            .filter(|number| number.is_finite() && *number >= 0.0)
            .ok_or_else(|| self.wrong(path, "expected a number, not below 0"))
    }

    fn time(&self, path: &str) -> Result<Duration, SettingsError> {
        let text = self.text(path)?;
        parse_duration(&text).ok_or_else(|| {
            self.wrong(
                path,
                format!("expected a time such as 1500ms or 2.5s, found \"{text}\""),
            )
        })
    }
}
