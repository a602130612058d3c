//! The settings file that the platform gives a process: TOML, read by hand, field by field. What is not known
//! is passed over; what is needed and cannot be used is told with its field and file.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::{Table, Value};

/// The environment variable that names the file.
pub const FILE: &str = "EMBERPIN_NODE_FILE";

/// A settings file that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {field}: {what}")]
pub struct Wrong {
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
    pub nodename: String,
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
    pub datadir: Option<PathBuf>,
    /// Most descriptors.
    pub nofile: usize,
    /// Most memory, in MiB.
    pub mem_mb: u64,
    /// The size of the disk, in MiB; 0, where there is none or it isn't told.
    pub disk_mb: u64,
    /// Where clients come in.
    pub http: Option<SocketAddr>,
    /// Where readiness is asked for.
    pub readyz: Option<SocketAddr>,
    /// Where servers and the operator come in.
    pub ctl: Option<SocketAddr>,
    /// The first and last port for what processes say to each other.
    pub ports: (u16, u16),
    /// `ctl` addresses of some machines.
    pub seeds: Vec<SocketAddr>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// How often servers beat.
    pub beat: Duration,
    /// How many voting machines may be lost at once.
    pub tolerated_nodes: usize,
    /// The figures of the rules.
    pub bounds: Bounds,
}

/// The figures of the rules that are used.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// From an acknowledged drain on, nothing new reaches the server after this time.
    pub drain: Duration,
    /// How long a process has from SIGTERM on.
    pub grace: Duration,
    /// A version is in force everywhere this long after its acknowledgement.
    pub apply: Duration,
    /// An evacuated zone gets nothing this long after its acknowledgement.
    pub evac: Duration,
    /// How soon a call must be acknowledged.
    pub ack: Duration,
    /// A machine is in touch after so long without trouble.
    pub contact: Duration,
    /// Further arrivals at a service, as a share of its requests, over `retry_win`, and so many beside.
    pub retry_ratio: f64,
    /// The window of the budget.
    pub retry_win: Duration,
    /// See `retry_ratio`.
    pub retry_extra: f64,
    /// A cold server gets at most `warmup_per_s` times this, and `warm_extra` more, in any second.
    pub warm_excess: f64,
    /// See `warm_excess`.
    pub warm_extra: f64,
}

impl Settings {
    /// Where the store of configuration on a machine hears other processes.
    pub fn store_port(&self) -> u16 {
        self.ports.0
    }

    /// Where the registry on a machine hears other processes.
    pub fn registry_port(&self) -> u16 {
        self.ports.0 + 1
    }

    /// Reads the file that the environment names.
    ///
    /// # Errors
    ///
    /// [`Wrong`], also if the environment names none or it cannot be read.
    pub fn from_env() -> Result<Settings, Wrong> {
        let file = std::env::var(FILE).map_err(|_| Wrong {
            file: FILE.into(),
            field: "environment".into(),
            what: "names no file".into(),
        })?;
        Settings::from_file(Path::new(&file))
    }

    /// Reads this file.
    ///
    /// # Errors
    ///
    /// [`Wrong`].
    pub fn from_file(file: &Path) -> Result<Settings, Wrong> {
        let name = file.display().to_string();
        let wrong = |field: &str, what: String| Wrong {
            file: name.clone(),
            field: field.into(),
            what,
        };
        let text = std::fs::read_to_string(file).map_err(|e| wrong("file", e.to_string()))?;
        Settings::read(&text, &name)
    }

    /// Reads the text of a file of this name.
    ///
    /// # Errors
    ///
    /// [`Wrong`].
    pub fn read(text: &str, file: &str) -> Result<Settings, Wrong> {
        let table: Table = text.parse().map_err(|e: toml::de::Error| Wrong {
            file: file.into(),
            field: "TOML".into(),
            what: e.to_string().trim().replace('\n', " "),
        })?;
        let at = At {
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
            nodename: at.text("self.nodename")?,
            ip: at
                .parsed("self.ip")?
                .ok_or_else(|| at.wrong("self.ip", "is missing"))?,
            zone: at.text("self.az")?,
            region: at.text("self.rgn")?,
            voting: at.flag("self.voting")?,
            bootstrap: at.flag("self.bootstrap")?,
            datadir: at
                .find("self.datadir")
                .map(|_| at.text("self.datadir"))
                .transpose()?
                .map(PathBuf::from),
            nofile: at.count("self.limits.nofile")?,
            mem_mb: at.count("self.limits.mem_mb")? as u64,
            disk_mb: match at.find("self.limits.disk_mb") {
                Some(_) => at.count("self.limits.disk_mb")? as u64,
                None => 0,
            },
            http: at.parsed("network.listen.http")?,
            readyz: at.parsed("network.listen.readyz")?,
            ctl: at.parsed("network.listen.ctl")?,
            ports: ports
                .ok_or_else(|| at.wrong("network.port_range", "expected two rising ports"))?,
            seeds: seeds
                .collect::<Option<_>>()
                .ok_or_else(|| at.wrong("network.seeds", "expected addresses with ports"))?,
            zones,
            beat: at.time("infra.hb")?,
            tolerated_nodes: at.count("defs.tolerance.nodes")?,
            bounds: Bounds {
                drain: at.time("defs.bounds.drain")?,
                grace: at.time("defs.bounds.grace")?,
                apply: at.time("defs.bounds.apply")?,
                evac: at.time("defs.bounds.evac")?,
                ack: at.time("defs.bounds.ack")?,
                contact: at.time("defs.bounds.contact")?,
                retry_ratio: at.number("defs.bounds.retry_ratio")?,
                retry_win: at.time("defs.bounds.retry_win")?,
                retry_extra: at.number("defs.bounds.retry_extra")?,
                warm_excess: at.number("defs.bounds.warm_excess")?,
                warm_extra: at.number("defs.bounds.warm_extra")?,
            },
        })
    }
}

/// A time as the pages write it: a number and its unit, `ms` or `s`.
pub fn time(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.trim().parse().ok()?;
    Duration::try_from_secs_f64(number * unit).ok()
}

/// A file's table, and what is looked up in it.
struct At<'a> {
    file: &'a str,
    table: &'a Table,
}

impl At<'_> {
    fn wrong(&self, field: &str, what: impl fmt::Display) -> Wrong {
        Wrong {
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

    fn need(&self, path: &str) -> Result<&Value, Wrong> {
        self.find(path)
            .ok_or_else(|| self.wrong(path, "is missing"))
    }

    fn text(&self, path: &str) -> Result<String, Wrong> {
        let text = self
            .need(path)?
            .as_str()
            .ok_or_else(|| self.wrong(path, "expected a text"))?;
        Ok(text.to_string())
    }

    fn parsed<T: std::str::FromStr>(&self, path: &str) -> Result<Option<T>, Wrong> {
        if self.find(path).is_none() {
            return Ok(None);
        }
        let text = self.text(path)?;
        text.parse()
            .map(Some)
            .map_err(|_| self.wrong(path, format!("expected an address, found \"{text}\"")))
    }

    fn flag(&self, path: &str) -> Result<bool, Wrong> {
        match self.find(path) {
            None => Ok(false),
            Some(value) => value
                .as_bool()
                .ok_or_else(|| self.wrong(path, "expected true or false")),
        }
    }

    fn list(&self, path: &str) -> Result<Vec<Value>, Wrong> {
        Ok(self
            .need(path)?
            .as_array()
            .ok_or_else(|| self.wrong(path, "expected a list"))?
            .clone())
    }

    fn count(&self, path: &str) -> Result<usize, Wrong> {
        let number = self
            .need(path)?
            .as_integer()
            .and_then(|number| usize::try_from(number).ok());
        number.ok_or_else(|| self.wrong(path, "expected a whole number"))
    }

    fn number(&self, path: &str) -> Result<f64, Wrong> {
        let value = self.need(path)?;
        let number = value
            .as_float()
            .or_else(|| value.as_integer().map(|number| number as f64));
        number
            .filter(|number| number.is_finite() && *number >= 0.0)
            .ok_or_else(|| self.wrong(path, "expected a number, not below 0"))
    }

    fn time(&self, path: &str) -> Result<Duration, Wrong> {
        let text = self.text(path)?;
        time(&text).ok_or_else(|| {
            self.wrong(
                path,
                format!("expected a time such as 1500ms or 2.5s, found \"{text}\""),
            )
        })
    }
}
