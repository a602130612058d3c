//! Scenarios describe the site, the load and the faults of a run. They are read from TOML, where unknown keys are an
//! error; every error is one line that names file, line, column, what was found and what was expected.

mod bounds;
mod error;
mod fault_table;
mod fault_text;

pub use error::{Problem, ScenarioError};

use crate::trace::{Micros, SECOND};
use bounds::{count, number, range};
use serde::Deserialize;
use std::path::Path;
use toml::Spanned;

/// A validated scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The scenario's name.
    pub name: String,
    /// One sentence on what the scenario shows.
    pub about: String,
    /// The seed of all random choices of the run.
    pub seed: u64,
    /// How long the load lasts.
    pub length: Micros,
    /// Limiters, servers and discovery.
    pub site: Site,
    /// The load of the clients.
    pub load: Load,
    /// The faults, in order of their start.
    pub faults: Vec<TimedFault>,
    /// Whether a repeated effect of a key is a violation even if it comes from different client requests.
    pub check_repeated_effects_per_key: bool,
}

/// Limiters, zones, servers and discovery: the table `[site]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Site {
    /// Number of limiters.
    pub limiters: usize,
    /// Number of zones; servers and limiters are assigned to them round robin.
    #[serde(rename = "halls")]
    pub zones: usize,
    /// Number of servers.
    pub servers: usize,
    /// Cores of each server.
    pub cores: usize,
    /// Minimum and maximum speed of a core; 1 is the reference speed.
    pub speed: [f64; 2],
    /// Maximum number of requests queued at a server.
    pub queue: usize,
    /// Maximum number of connections of a server.
    pub connections: usize,
    /// Time after which a server closes an idle connection, in seconds.
    pub idle_s: f64,
    /// Share of its capacity that a cold server has when it starts.
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    /// Time until a cold server is warm, in seconds.
    pub warm_s: f64,
    /// Whether all servers start cold when the load begins.
    pub cold: bool,
    /// Whether all limiters start at the instant at which the load begins, rather than before it.
    #[serde(rename = "together")]
    pub start_together: bool,
    /// Whether limiters get their last known endpoint list in their configuration when they start.
    #[serde(rename = "known")]
    pub preload_lists: bool,
    /// Whether all limiters reach a server at one address. This is required where limiters exchange endpoint lists;
    /// links to zones cannot be cut then.
    pub one_address: bool,
    /// Number of limiters that the limiters' settings state; 0 for the actual number.
    #[serde(rename = "told_limiters")]
    pub configured_limiters: usize,
    /// Capacity of the discovery service in calls a second, shared by all pending calls; 0 for unlimited.
    #[serde(rename = "list_power")]
    pub discovery_rate: f64,
    /// Time-out of a pending discovery call, in seconds; the capacity that was given to a timed-out call is lost.
    #[serde(rename = "list_patience_s")]
    pub discovery_timeout_s: f64,
    /// Whether endpoint lists are sent as indented JSON over several lines.
    #[serde(rename = "list_indented")]
    pub discovery_indented: bool,
    /// Warm-up time of the discovery service in seconds, during which its capacity rises from a quarter to all.
    #[serde(rename = "list_warm_s")]
    pub discovery_warmup_s: f64,
    /// Minimum and maximum delay until a change of the endpoint list reaches a limiter, in milliseconds.
    pub notice_ms: [f64; 2],
    /// Interval at which load reports are refreshed, in milliseconds.
    pub report_ms: f64,
    /// Connect time-out of the limiters, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Share of requests that a server answers with an error.
    pub error_rate: f64,
}

impl Default for Site {
    fn default() -> Site {
        Site {
            limiters: 3,
            zones: 3,
            servers: 9,
            cores: 2,
            speed: [0.85, 1.1],
            queue: 40,
            connections: 1000,
            idle_s: 15.0,
            initial_capacity_share: 0.35,
            warm_s: 8.0,
            cold: false,
            start_together: false,
            preload_lists: true,
            one_address: false,
            configured_limiters: 0,
            discovery_rate: 0.0,
            discovery_timeout_s: 2.0,
            discovery_indented: false,
            discovery_warmup_s: 0.0,
            notice_ms: [300.0, 1500.0],
            report_ms: 250.0,
            connect_timeout_ms: 250.0,
            error_rate: 0.0002,
        }
    }
}

/// The load of the clients: the table `[load]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Arrivals (first requests) a second.
    pub rate: f64,
    /// Share of `job-submit`.
    pub submit: f64,
    /// Share of `job-release`, which must never be repeated.
    pub release: f64,
    /// Mean share of their quotas that customers use.
    pub usage: f64,
    /// Maximum number of retries of a client.
    pub retries: u32,
    /// Share of clients that honour `Retry-After`.
    #[serde(rename = "honour")]
    pub honor_share: f64,
    /// Mean backoff of a client before its first retry, in milliseconds; doubled with each retry.
    pub backoff_ms: f64,
    /// Minimum and maximum time limit of a client's request, as a share of the deadline of its class.
    #[serde(rename = "patience")]
    pub time_limit: [f64; 2],
    /// Share of clients that cancel their first request before its time limit.
    #[serde(rename = "impatient")]
    pub cancel_share: f64,
    /// Interval at which each customer's requests shift to another main limiter, in seconds.
    pub shift_s: f64,
    /// How long clients keep using a limiter that is down before they notice, in seconds.
    pub front_notice_s: f64,
    /// Share of keyed requests that are repeated with the same key and a new id.
    pub repeat_keys: f64,
    /// Minimum and maximum delay of such a repeat after the original, in milliseconds.
    pub repeat_after_ms: [f64; 2],
    /// Size of a request body in bytes.
    pub body: usize,
    /// Factor on the work of all requests: below 1 it makes a run cheap, above 1 it makes the servers slow.
    pub work: f64,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            rate: 150.0,
            submit: 0.36,
            release: 0.0,
            usage: 0.6,
            retries: 2,
            honor_share: 0.9,
            backoff_ms: 80.0,
            time_limit: [0.5, 1.0],
            cancel_share: 0.002,
            shift_s: 10.0,
            front_notice_s: 1.5,
            repeat_keys: 0.0,
            repeat_after_ms: [0.0, 1000.0],
            body: 256,
            work: 1.0,
        }
    }
}

/// A fault and its start time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// Start time.
    pub at: Micros,
    /// The fault.
    pub fault: Fault,
}

/// The direction in which a link is cut, seen from the limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkDirection {
    /// Nothing passes.
    Both,
    /// Requests do not reach the servers; responses to earlier ones still arrive.
    Out,
    /// Requests arrive and run; their responses do not arrive.
    Back,
}

/// How a faulty server responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResponseFault {
    /// Responds with status 500.
    Error,
    /// Declines every request.
    Decline,
    /// Stops in the middle of a response and leaves the connection open.
    Stall,
    /// Sends half of the body, then closes the connection.
    Half,
    /// Resets the connection after the request's last byte; the work runs.
    Reset,
    /// Sends bytes that are not HTTP.
    Garbled,
    /// Sends the response byte by byte, slower than any client's time limit.
    Trickle,
    /// Runs the work and never responds.
    Mute,
}

/// How the discovery service falsifies the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointListFault {
    /// Lists no server.
    Empty,
    /// Lists every other server.
    Half,
    /// Lists the servers of an earlier version.
    Older,
}

/// A fault that the testbed injects.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills a limiter with SIGKILL and restarts it.
    LimiterKilled {
        /// The limiter's number, from 0.
        limiter: usize,
        /// The time from the fault to the next start.
        restart_after: Micros,
    },
    /// Sends SIGTERM to a limiter and restarts it as soon as it has exited.
    LimiterRestarted {
        /// The limiter's number, from 0.
        limiter: usize,
    },
    /// Kills a server's process; the same server restarts cold.
    ServerKilled {
        /// The server's number, from 0.
        server: usize,
        /// The time from the fault to the next start.
        restart_after: Micros,
    },
    /// Drains a server; a successor with a new id starts cold at the same address.
    ServerReplaced {
        /// The server's number, from 0.
        server: usize,
    },
    /// Drains a server for a while; then it accepts requests again.
    ServerDrained {
        /// The server's number, from 0.
        server: usize,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Stalls a server: it accepts connections and answers nothing.
    ServerStalled {
        /// The server's number, from 0.
        server: usize,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Makes a share of a server's responses faulty.
    ServerResponsesFaulty {
        /// The server's number, from 0.
        server: usize,
        /// What is wrong with the responses.
        response_fault: ResponseFault,
        /// The affected share.
        share: f64,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Makes a server refuse new connections.
    ServerRefuses {
        /// The server's number, from 0.
        server: usize,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Moves a server to new addresses and announces them through discovery.
    ServerMoved {
        /// The server's number, from 0.
        server: usize,
    },
    /// Disconnects all servers of a zone at once; they restart cold.
    ZoneLost {
        /// The zone's number, from 0.
        zone: usize,
        /// The time from the fault to the next start.
        restart_after: Micros,
    },
    /// Cuts the link between a limiter and a zone.
    LinkCut {
        /// The limiter's number, from 0.
        limiter: usize,
        /// The zone's number, from 0.
        zone: usize,
        /// The direction in which nothing passes.
        direction: LinkDirection,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Delays the link between a limiter and a zone.
    LinkSlow {
        /// The limiter's number, from 0.
        limiter: usize,
        /// The zone's number, from 0.
        zone: usize,
        /// The added delay in each direction.
        delay: Micros,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Splits the network between the limiters into two groups.
    PeersSplit {
        /// The limiters of the first group; all others form the second.
        group: Vec<usize>,
        /// The direction in which nothing passes, seen from the first group.
        direction: LinkDirection,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Loses, delays and reorders messages between limiters.
    PeersLossy {
        /// Share of messages that are lost.
        loss: f64,
        /// Maximum delay of the other messages.
        delay: Micros,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Makes the discovery service accept calls and send nothing.
    DiscoverySilent {
        /// How long the fault lasts.
        length: Micros,
    },
    /// Takes the discovery service down: watches break, and calls are reset.
    DiscoveryDead {
        /// How long the fault lasts.
        length: Micros,
    },
    /// Makes the discovery service send false full lists.
    DiscoveryListFaulty {
        /// How the lists are falsified.
        list_fault: EndpointListFault,
        /// The limiters that get false lists; all if absent.
        group: Option<Vec<usize>>,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Pauses a limiter with SIGSTOP and resumes it with SIGCONT.
    LimiterPaused {
        /// The limiter's number, from 0.
        limiter: usize,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Makes a limiter pause itself with SIGSTOP when its first incarnation reaches a point of its code for the Nth
    /// time; only in builds with debug assertions.
    LimiterStopsAtPoint {
        /// The limiter's number, from 0.
        limiter: usize,
        /// The point and the count, `POINT:N`, as passed in the limiter's environment.
        point: String,
        /// How long the fault lasts.
        length: Micros,
        /// If present, the limiter is killed at the end of the pause instead of resumed, and restarts after this time.
        restart_after: Option<Micros>,
    },
    /// Makes the disk that holds a limiter's log faulty in all its incarnations; only in builds with debug assertions.
    DiskFaulty {
        /// The limiter's number, from 0.
        limiter: usize,
        /// The kind of fault and the first affected append, `KIND:N`, as passed in the limiter's environment.
        disk_fault: String,
    },
    /// Kills the first limiters with SIGKILL at one instant; they restart.
    LimitersKilled {
        /// How many limiters are affected.
        count: usize,
        /// The time from the fault to the next start.
        restart_after: Micros,
    },
    /// Sends SIGHUP to a limiter.
    LimiterHungUp {
        /// The limiter's number, from 0.
        limiter: usize,
    },
    /// Kills the next limiters that call the discovery service with SIGKILL, each as it calls; they restart.
    DiscoveryCallersKilled {
        /// How many limiters are affected.
        count: usize,
        /// The time from the fault to the next start.
        restart_after: Micros,
    },
    /// Moves a share of the customers to other limiters of their sets at one instant.
    CustomersMove {
        /// The affected share.
        share: f64,
    },
    /// Makes the first customer of a plan use a multiple of its quota and ignore `Retry-After`.
    CustomerFloods {
        /// The index of the plan.
        plan: usize,
        /// The multiple of the usual load.
        times: f64,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Multiplies the load of all customers.
    LoadSpike {
        /// The multiple of the usual load.
        times: f64,
        /// How long the fault lasts.
        length: Micros,
    },
}

/// A scenario as it is written in its file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    about: String,
    seed: u64,
    seconds: Spanned<f64>,
    site: Option<Spanned<Site>>,
    load: Option<Spanned<Load>>,
    #[serde(default)]
    rules: RuleSwitches,
    #[serde(default, rename = "fault")]
    faults: Vec<Spanned<RawFault>>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct RuleSwitches {
    #[serde(rename = "keys_once")]
    check_repeated_effects_per_key: bool,
}

/// A fault as it is written in its file. [`RawFault::check`] checks which fields a kind of fault needs and accepts.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFault {
    at_s: f64,
    #[serde(rename = "what")]
    kind: FaultKind,
    limiter: Option<usize>,
    server: Option<usize>,
    #[serde(rename = "hall")]
    zone: Option<usize>,
    plan: Option<String>,
    for_s: Option<f64>,
    back_s: Option<f64>,
    every_s: Option<f64>,
    share: Option<f64>,
    times: Option<f64>,
    delay_ms: Option<f64>,
    point: Option<String>,
    #[serde(rename = "lie")]
    disk_fault: Option<String>,
    how: Option<String>,
    #[serde(rename = "way")]
    direction: Option<LinkDirection>,
    group: Option<Vec<usize>>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum FaultKind {
    LimiterKilled,
    LimiterRestarted,
    LimitersRolled,
    ServerKilled,
    ServerReplaced,
    ServersRolled,
    ServerDrained,
    ServerStalled,
    #[serde(rename = "server-spoils")]
    ServerResponsesFaulty,
    ServerRefuses,
    ServerMoved,
    #[serde(rename = "hall-lost")]
    ZoneLost,
    LinkCut,
    LinkSlow,
    PeersSplit,
    #[serde(rename = "peers-poor")]
    PeersLossy,
    DiscoverySilent,
    DiscoveryDead,
    #[serde(rename = "discovery-tells")]
    DiscoveryListFaulty,
    LimiterPaused,
    #[serde(rename = "limiter-stops")]
    LimiterStopsAtPoint,
    #[serde(rename = "disk-lies")]
    DiskFaulty,
    LimitersKilled,
    #[serde(rename = "callers-killed")]
    DiscoveryCallersKilled,
    LimiterHungUp,
    #[serde(rename = "firms-hop")]
    CustomersMove,
    #[serde(rename = "firm-hammers")]
    CustomerFloods,
    #[serde(rename = "rush")]
    LoadSpike,
}

/// Bounds on what a scenario may ask for, so that every run is bounded.
const MAX_SECONDS: f64 = 7200.0;
const MIN_SECONDS: f64 = 0.1;
const MAX_LIMITERS: usize = 400;
const MAX_SERVERS: usize = 300;
const MAX_FAULTS: usize = 10_000;
const MAX_RATE: f64 = 20_000.0;

impl Scenario {
    /// The scenario that runs when no file is given: a site without faults.
    ///
    /// # Panics
    ///
    /// If the scenario file that is built into the program is invalid; a test parses it.
    pub fn calm() -> Scenario {
        Scenario::parse("calm.toml", include_str!("../scenarios/calm.toml"))
            .expect("the built-in scenario is valid")
    }

    /// Reads a scenario from a file.
    ///
    /// # Errors
    ///
    /// One line that names file, line, column, what was found and what was expected.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::Unreadable {
            path: shown.clone(),
            source,
        })?;
        Scenario::parse(&shown, &text)
    }

    /// Replaces the length of the run; faults that start later are left out.
    ///
    /// # Errors
    ///
    /// [`Problem::OutOfBounds`] if the length is out of bounds.
    pub fn set_seconds(&mut self, seconds: f64) -> Result<(), Problem> {
        number("seconds", seconds, MIN_SECONDS, MAX_SECONDS)?;
        self.length = micros(seconds);
        Ok(())
    }

    /// Parses a scenario; `file` is the name used in errors.
    ///
    /// # Errors
    ///
    /// The errors of [`Scenario::read`], except that of an unreadable file.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let raw: File = toml::from_str(text).map_err(|error| {
            ScenarioError::Syntax(emberpin_limiter::operate::operator::format_toml_error(
                file, text, &error,
            ))
        })?;
        let located = |offset: usize, problem: Problem| {
            let (line, column) = emberpin_limiter::operate::operator::position(text, offset);
            ScenarioError::Value {
                file: file.into(),
                line,
                column,
                problem: Box::new(problem),
            }
        };
        let seconds = *raw.seconds.get_ref();
        number("seconds", seconds, MIN_SECONDS, MAX_SECONDS)
            .map_err(|problem| located(raw.seconds.span().start, problem))?;
        let (site, site_at) = table(raw.site);
        let (load, load_at) = table(raw.load);
        site.check().map_err(|problem| located(site_at, problem))?;
        load.check().map_err(|problem| located(load_at, problem))?;
        let mut faults = Vec::new();
        for fault in &raw.faults {
            let checked = fault.get_ref().check(&site);
            faults.extend(checked.map_err(|problem| located(fault.span().start, problem))?);
        }
        if faults.len() > MAX_FAULTS {
            return Err(ScenarioError::TooManyFaults {
                file: file.into(),
                count: faults.len(),
                max: MAX_FAULTS,
            });
        }
        faults.sort_by_key(|fault| fault.at);
        Ok(Scenario {
            name: raw.name,
            about: raw.about,
            seed: raw.seed,
            length: micros(seconds),
            site,
            load,
            faults,
            check_repeated_effects_per_key: raw.rules.check_repeated_effects_per_key,
        })
    }
}

/// Returns a table and its offset in the text; a missing table gets its defaults.
fn table<T: Default>(table: Option<Spanned<T>>) -> (T, usize) {
    match table {
        Some(table) => {
            let start = table.span().start;
            (table.into_inner(), start)
        }
        None => (T::default(), 0),
    }
}

impl Site {
    fn check(&self) -> Result<(), Problem> {
        count("limiters", self.limiters, 1, MAX_LIMITERS)?;
        count("halls", self.zones, 1, 26)?;
        count("servers", self.servers, 1, MAX_SERVERS)?;
        count("cores", self.cores, 1, 64)?;
        count("queue", self.queue, 0, 100_000)?;
        count("connections", self.connections, 1, 100_000)?;
        range("speed", self.speed, 0.01, 100.0)?;
        range("notice_ms", self.notice_ms, 0.0, 60_000.0)?;
        number("idle_s", self.idle_s, 0.1, 3600.0)?;
        number("cold_from", self.initial_capacity_share, 0.01, 1.0)?;
        number("warm_s", self.warm_s, 0.0, 3600.0)?;
        number("report_ms", self.report_ms, 1.0, 60_000.0)?;
        number("connect_timeout_ms", self.connect_timeout_ms, 1.0, 60_000.0)?;
        number("list_power", self.discovery_rate, 0.0, 1e9)?;
        number("list_patience_s", self.discovery_timeout_s, 0.01, 60.0)?;
        number("list_warm_s", self.discovery_warmup_s, 0.0, 3600.0)?;
        number("error_rate", self.error_rate, 0.0, 1.0)
    }
}

impl Load {
    fn check(&self) -> Result<(), Problem> {
        number("rate", self.rate, 0.1, MAX_RATE)?;
        number("submit", self.submit, 0.0, 1.0)?;
        number("release", self.release, 0.0, 1.0 - self.submit)?;
        number("usage", self.usage, 0.01, 100.0)?;
        count("retries", self.retries as usize, 0, 10)?;
        number("honour", self.honor_share, 0.0, 1.0)?;
        number("backoff_ms", self.backoff_ms, 1.0, 60_000.0)?;
        range("patience", self.time_limit, 0.01, 1.0)?;
        number("impatient", self.cancel_share, 0.0, 1.0)?;
        number("shift_s", self.shift_s, 0.01, MAX_SECONDS)?;
        number("front_notice_s", self.front_notice_s, 0.0, 60.0)?;
        number("repeat_keys", self.repeat_keys, 0.0, 1.0)?;
        range("repeat_after_ms", self.repeat_after_ms, 0.0, 60_000.0)?;
        count("body", self.body, 0, 64 * 1024)?;
        number("work", self.work, 0.0, 1000.0)
    }
}

fn micros(seconds: f64) -> Micros {
    (seconds * SECOND as f64).round() as Micros
}
