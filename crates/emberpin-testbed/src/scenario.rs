//! Scenarios: site, load and faults as data. Read from TOML with unknown keys refused; every error is one line
//! that names file, line, column, what was found and what was expected.

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

/// One scenario, checked.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What there is to see, in a sentence.
    pub about: String,
    /// Everything random comes from it.
    pub seed: u64,
    /// Requests come for so long.
    pub length: Micros,
    /// What stands there.
    pub site: Site,
    /// What is asked of it.
    pub load: Load,
    /// What goes wrong, by time.
    pub faults: Vec<TimedFault>,
    /// A key's second effect is a broken rule even over several tries.
    pub check_repeated_effects_per_key: bool,
}

/// Limiters, halls and servers: the table `[site]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Site {
    /// How many limiters.
    pub limiters: usize,
    /// How many halls; servers and limiters are dealt round over them.
    pub halls: usize,
    /// How many servers.
    pub servers: usize,
    /// Cores of each server.
    pub cores: usize,
    /// Least and greatest speed of a core; 1 is the yardstick.
    pub speed: [f64; 2],
    /// Requests that wait at a server at most.
    pub queue: usize,
    /// Connections that a server holds at most.
    pub connections: usize,
    /// A server closes connections that were idle for so long, in seconds.
    pub idle_s: f64,
    /// The part of its capacity that a server has when it starts.
    pub cold_from: f64,
    /// How long it takes to be warm, in seconds.
    pub warm_s: f64,
    /// All servers have just started when the load begins.
    pub cold: bool,
    /// All limiters start in the instant in which the load begins, and not before it.
    pub together: bool,
    /// Limiters are given the list of servers at their start, as they last had it.
    pub known: bool,
    /// All limiters reach a server at one address, as they must where they tell each other the list; links to halls
    /// cannot be cut then.
    pub one_address: bool,
    /// How many limiters there are by their settings; 0 for as many as there are.
    #[serde(rename = "told_limiters")]
    pub configured_limiters: usize,
    /// Calls a second that the list service answers; calls that wait share it. 0 for as many as come.
    #[serde(rename = "list_power")]
    pub discovery_rate: f64,
    /// A call that waits there for so long fails, and has cost as much as one that was answered, in seconds.
    #[serde(rename = "list_patience_s")]
    pub discovery_timeout_s: f64,
    /// Lists come indented over several lines.
    #[serde(rename = "list_indented")]
    pub discovery_indented: bool,
    /// The list service itself has just started: from a quarter of its power it grows to all in so long, in seconds.
    #[serde(rename = "list_warm_s")]
    pub discovery_warmup_s: f64,
    /// A change of the list reaches a limiter between the first and the second of these, in milliseconds.
    pub notice_ms: [f64; 2],
    /// Load reports and the meter are refreshed this often, in milliseconds.
    pub report_ms: f64,
    /// A connection that is not up by then counts as failed, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Share of requests that end as an error.
    pub error_rate: f64,
}

impl Default for Site {
    fn default() -> Site {
        Site {
            limiters: 3,
            halls: 3,
            servers: 9,
            cores: 2,
            speed: [0.85, 1.1],
            queue: 40,
            connections: 1000,
            idle_s: 15.0,
            cold_from: 0.35,
            warm_s: 8.0,
            cold: false,
            together: false,
            known: true,
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

/// What clients ask: the table `[load]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// First tries a second.
    pub rate: f64,
    /// Share of `job-submit`.
    pub submit: f64,
    /// Share of `job-release`, which may never be repeated.
    pub release: f64,
    /// What customers use of their quotas, on the mean.
    pub usage: f64,
    /// Times that a client tries again.
    pub retries: u32,
    /// Share of clients that wait as advised.
    #[serde(rename = "honour")]
    pub honor_share: f64,
    /// Mean of a client's own first wait before it tries again, in milliseconds; doubled each time.
    pub backoff_ms: f64,
    /// A try is given up after this part of its class's deadline, from the first to the second.
    #[serde(rename = "patience")]
    pub time_limit: [f64; 2],
    /// Share of clients that leave before their time.
    #[serde(rename = "impatient")]
    pub cancel_share: f64,
    /// A customer's busiest limiter changes this often, in seconds.
    pub shift_s: f64,
    /// The front goes on sending to a dead limiter for so long, in seconds.
    pub front_notice_s: f64,
    /// Share of keyed requests that are asked again, with the same key and a new id.
    pub repeat_keys: f64,
    /// How long after the first, from the first to the second, in milliseconds.
    pub repeat_after_ms: [f64; 2],
    /// Bytes of a body.
    pub body: usize,
    /// Multiply all work of requests, to make a run cheap or servers slow.
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

/// A fault and when it begins.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// When.
    pub at: Micros,
    /// What.
    pub fault: Fault,
}

/// Which way a link is cut, as the limiter sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkDirection {
    /// Nothing passes.
    Both,
    /// Requests do not reach the servers; answers to earlier ones still come.
    Out,
    /// Requests arrive and run; their answers do not come.
    Back,
}

/// How a server spoils its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResponseFault {
    /// 500.
    Error,
    /// Declines everything.
    Decline,
    /// Stops in the middle of its answer and leaves the connection open.
    Stall,
    /// Half a body, then the connection ends.
    Half,
    /// Resets the connection once it has the request's last byte; the work runs.
    Reset,
    /// Bytes that are no HTTP.
    Garbled,
    /// A byte at a time, slower than any client waits.
    Trickle,
    /// Runs the work and never answers.
    Mute,
}

/// A list that is not so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointListFault {
    /// No server at all.
    Empty,
    /// Every other server.
    Half,
    /// An earlier version, with all that it named then.
    Older,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// kill -9; the limiter starts again after `back`.
    LimiterKilled {
        /// The limiter's number, from 0.
        limiter: usize,
        /// The time from the fault to the next start.
        restart_after: Micros,
    },
    /// SIGTERM; it starts again as soon as it has left.
    LimiterRestarted {
        /// The limiter's number, from 0.
        limiter: usize,
    },
    /// Its process dies; the same server comes back cold.
    ServerKilled {
        /// The server's number, from 0.
        server: usize,
        /// The time from the fault to the next start.
        restart_after: Micros,
    },
    /// It drains, and a successor with a new id starts cold at the same address.
    ServerReplaced {
        /// The server's number, from 0.
        server: usize,
    },
    /// It drains for a while and then takes work again.
    ServerDrained {
        /// The server's number, from 0.
        server: usize,
        /// How long the fault lasts.
        length: Micros,
    },
    /// It stands still: takes connections, answers nothing.
    ServerStalled {
        /// The server's number, from 0.
        server: usize,
        /// How long the fault lasts.
        length: Micros,
    },
    /// It spoils answers.
    ServerResponsesFaulty {
        /// The server's number, from 0.
        server: usize,
        /// What is wrong with it.
        how: ResponseFault,
        /// What share of them.
        share: f64,
        /// How long the fault lasts.
        length: Micros,
    },
    /// It takes no new connections.
    ServerRefuses {
        /// The server's number, from 0.
        server: usize,
        /// How long the fault lasts.
        length: Micros,
    },
    /// It listens elsewhere from now on; discovery tells so.
    ServerMoved {
        /// The server's number, from 0.
        server: usize,
    },
    /// All servers of a hall fall silent and come back cold.
    ZoneLost {
        /// The hall's number, from 0.
        zone: usize,
        /// The time from the fault to the next start.
        restart_after: Micros,
    },
    /// The link between a limiter and a hall is cut.
    LinkCut {
        /// The limiter's number, from 0.
        limiter: usize,
        /// The hall's number, from 0.
        zone: usize,
        /// The direction in which nothing passes.
        direction: LinkDirection,
        /// How long the fault lasts.
        length: Micros,
    },
    /// The link between a limiter and a hall is slow.
    LinkSlow {
        /// The limiter's number, from 0.
        limiter: usize,
        /// The hall's number, from 0.
        zone: usize,
        /// So much later each way.
        delay: Micros,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Limiters hear only those of their own group.
    PeersSplit {
        /// The first group; the others are the second.
        group: Vec<usize>,
        /// Which way nothing passes, as the group sees it.
        direction: LinkDirection,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Messages between limiters are lost or late, and overtake each other.
    PeersLossy {
        /// Share that is lost.
        loss: f64,
        /// The rest comes up to so much later.
        delay: Micros,
        /// How long the fault lasts.
        length: Micros,
    },
    /// Discovery tells nothing.
    DiscoverySilent {
        /// How long the fault lasts.
        length: Micros,
    },
    /// The list service is dead: watches break, and calls are reset.
    DiscoveryDead {
        /// How long the fault lasts.
        length: Micros,
    },
    /// The list service tells whole lists that are not so.
    DiscoveryListFaulty {
        /// What is wrong with it.
        how: EndpointListFault,
        /// To whom; to all without it.
        group: Option<Vec<usize>>,
        /// How long the fault lasts.
        length: Micros,
    },
    /// SIGSTOP; SIGCONT follows.
    LimiterPaused {
        /// The limiter's number, from 0.
        limiter: usize,
        /// How long the fault lasts.
        length: Micros,
    },
    /// It stands still when it meets a point of its code for the Nth time, in its first life; test builds only.
    LimiterStopsAtPoint {
        /// The limiter's number, from 0.
        limiter: usize,
        /// The point and which time, as its environment has it.
        point: String,
        /// How long the fault lasts.
        length: Micros,
        /// It is killed then and not woken, and starts again after so long.
        restart_after: Option<Micros>,
    },
    /// The disk under its log lies, in all its lives; test builds only.
    DiskFaulty {
        /// The limiter's number, from 0.
        limiter: usize,
        /// How, and from which append on, as its environment has it.
        disk_fault: String,
    },
    /// kill -9 to the first limiters of a share at one instant; they start again.
    LimitersKilled {
        /// How many limiters are affected.
        count: usize,
        /// The time from the fault to the next start.
        restart_after: Micros,
    },
    /// SIGHUP.
    LimiterHungUp {
        /// The limiter's number, from 0.
        limiter: usize,
    },
    /// kill -9 to the next limiters that call the list service, each just as it calls; they start again.
    DiscoveryCallersKilled {
        /// How many limiters are affected.
        count: usize,
        /// The time from the fault to the next start.
        restart_after: Micros,
    },
    /// Customers move to others of their limiters at one stroke.
    CustomersMove {
        /// What share of them.
        share: f64,
    },
    /// The first customer of a plan asks for a multiple of its quota, and never waits as advised.
    CustomerFloods {
        /// The index of the plan.
        plan: usize,
        /// The multiple of the usual load.
        times: f64,
        /// How long the fault lasts.
        length: Micros,
    },
    /// All customers ask for so many times as much.
    LoadSpike {
        /// The multiple of the usual load.
        times: f64,
        /// How long the fault lasts.
        length: Micros,
    },
}

/// The scenario as its file has it.
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
    check_repeated_effects_per_key: bool,
}

/// All that any fault may be told; which of it one needs and takes is checked by [`RawFault::check`].
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

/// Longest run, and most of anything else that a scenario may ask for: it is bounded whatever it says.
const MAX_SECONDS: f64 = 7200.0;
const MIN_SECONDS: f64 = 0.1;
const MAX_LIMITERS: usize = 400;
const MAX_SERVERS: usize = 300;
const MAX_FAULTS: usize = 10_000;
const MAX_RATE: f64 = 20_000.0;

impl Scenario {
    /// The scenario of the newcomer's command: a calm site.
    ///
    /// # Panics
    ///
    /// If the file that is built into the program cannot be read; a test reads it.
    pub fn calm() -> Scenario {
        Scenario::parse("calm.toml", include_str!("../scenarios/calm.toml"))
            .expect("the built-in scenario is sound")
    }

    /// Reads one from a file.
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

    /// Plays so many seconds instead; faults beyond them are left out.
    ///
    /// # Errors
    ///
    /// A length out of bounds, with the bounds.
    pub fn set_seconds(&mut self, seconds: f64) -> Result<(), Problem> {
        number("seconds", seconds, MIN_SECONDS, MAX_SECONDS)?;
        self.length = micros(seconds);
        Ok(())
    }

    /// Reads one from text; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Those of [`Scenario::read`].
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let raw: File = toml::from_str(text).map_err(|error| {
            ScenarioError::Syntax(emberpin_limiter::operate::operator::place(
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

/// A table and where it stands; without one its defaults hold.
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
        count("halls", self.halls, 1, 26)?;
        count("servers", self.servers, 1, MAX_SERVERS)?;
        count("cores", self.cores, 1, 64)?;
        count("queue", self.queue, 0, 100_000)?;
        count("connections", self.connections, 1, 100_000)?;
        range("speed", self.speed, 0.01, 100.0)?;
        range("notice_ms", self.notice_ms, 0.0, 60_000.0)?;
        number("idle_s", self.idle_s, 0.1, 3600.0)?;
        number("cold_from", self.cold_from, 0.01, 1.0)?;
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
