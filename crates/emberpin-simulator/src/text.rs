//! Reads scenarios.

use crate::builds::{Build, WRONG};
use std::fmt::{self, Display};

/// A line that is no step.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {what}")]
pub struct Wrong {
    /// The scenario's name.
    pub file: String,
    /// Counted from 1.
    pub line: usize,
    /// What was expected there.
    pub what: String,
}

/// A machine with a store and a registry, or a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Machine {
    /// `core-N`
    Core(u8),
    /// `limiter-N`
    Limiter(u8),
}

impl Display for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Machine::Core(number) => write!(f, "core-{number}"),
            Machine::Limiter(number) => write!(f, "limiter-{number}"),
        }
    }
}

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its file's name.
    pub name: String,
    /// Machines with a store and a registry each.
    pub cores: u8,
    /// Limiters.
    pub limiters: u8,
    /// Zones.
    pub zones: Vec<String>,
    /// Disks that may be lost at once.
    pub tolerance: usize,
    /// All that is drawn comes from it.
    pub seed: u64,
    /// The builds that must fail.
    pub wrong: Vec<String>,
    /// In the order of time.
    pub steps: Vec<Step>,
    /// When the steps are over, in milliseconds.
    pub end: u64,
}

/// One step.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When, in milliseconds.
    pub at: u64,
    /// Its line.
    pub line: usize,
    /// As it is written.
    pub text: String,
    pub(crate) operation: Operation,
}

/// Which of the machines a call goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    Any,
    /// First there.
    Via(u8),
    /// Once, and there.
    Only(u8),
}

/// What an operator asks.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Order {
    Patch(Vec<u8>),
    Evacuate { zone: String, begin: bool },
}

/// How a server is to stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stand {
    Usable,
    Held,
    Gone,
}

/// Messages between stores that can be lost on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sort {
    Prepare,
    Accept,
    Chosen,
    Exchange,
    Promise,
    /// Accept, where it changes the roster.
    Seats,
}

/// What is done, or expected.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Operation {
    Operator {
        who: String,
        way: Way,
        order: Order,
    },
    /// The operator's last order once more, as a call of its own.
    Again {
        who: String,
        way: Way,
    },
    Read {
        who: String,
        way: Way,
    },
    /// Of a hundred answers to operators, so many are lost.
    AnswersLost(u64),
    Up {
        server: String,
        service: String,
        zone: String,
        address: u16,
        cold: u64,
    },
    Drain(String),
    Leave(String),
    Crash(String),
    Cold(String, u64),
    Says {
        server: String,
        drains: bool,
        seq: u64,
        to: u8,
    },
    Kill(Vec<Machine>),
    Power {
        machines: Vec<Machine>,
        hard: bool,
    },
    Wipe(Vec<Machine>),
    Start(Vec<Machine>),
    /// Starts as at the system's first start.
    Bootstrap(Vec<Machine>),
    /// The seeds that processes are told at later starts.
    Seeds(Vec<Machine>),
    /// Disks that answer nothing for so long.
    Stall {
        machines: Vec<Machine>,
        span: u64,
    },
    Replace {
        old: u8,
        new: u8,
    },
    Freeze(Vec<Machine>),
    Thaw(Vec<Machine>),
    Clock(Machine, u64),
    Cut {
        from: Vec<Machine>,
        to: Vec<Machine>,
        one_way: bool,
    },
    Lose {
        sort: Sort,
        from: Vec<Machine>,
        to: Vec<Machine>,
    },
    /// Bytes that are sent from here to there arrive later by so much.
    Slow {
        from: Vec<Machine>,
        to: Vec<Machine>,
        one_way: bool,
        by: (u64, u64),
    },
    Heal(Vec<Machine>),
    Found,
    Network {
        delay: (u64, u64),
        late: u64,
        twice: u64,
    },
    Disk(u64, u64),
    ToldStatus {
        who: String,
        status: Option<u16>,
    },
    GetHolds {
        kind: String,
        name: String,
        ver: u64,
    },
    GetLacks {
        kind: String,
        name: String,
    },
    Routed {
        limiters: Vec<Machine>,
        host: String,
        path: String,
        ver: Option<u64>,
    },
    Stands {
        limiters: Vec<Machine>,
        server: String,
        stand: Stand,
    },
    Voters(usize),
    Votes {
        core: u8,
        votes: bool,
    },
    Ready {
        limiters: Vec<Machine>,
        ready: bool,
    },
}

type Words<'a> = std::iter::Peekable<std::str::SplitWhitespace<'a>>;

/// Reads a scenario; `name` is its file's.
///
/// # Errors
///
/// [`Wrong`], for the first line that is no step.
pub fn read(name: &str, text: &str) -> Result<Scenario, Wrong> {
    let mut scenario = Scenario {
        name: name.into(),
        cores: 3,
        limiters: 0,
        zones: vec!["z1".into()],
        tolerance: 1,
        seed: 1,
        wrong: Vec::new(),
        steps: Vec::new(),
        end: 0,
    };
    let mut last = 0;
    for (line, whole) in text.lines().enumerate() {
        let words = whole.split('#').next().unwrap_or_default().trim();
        if words.is_empty() {
            continue;
        }
        let wrong = |what: String| Wrong {
            file: name.into(),
            line: line + 1,
            what,
        };
        let step = read_line(&mut scenario, words).map_err(wrong)?;
        let Some((at, operation)) = step else {
            continue;
        };
        if at < last {
            return Err(wrong(format!(
                "expected a time of {last}ms or later, as steps stand in their order"
            )));
        }
        last = at;
        scenario.steps.push(Step {
            at,
            line: line + 1,
            text: words.into(),
            operation,
        });
    }
    scenario.end = scenario.end.max(last);
    Ok(scenario)
}

fn read_line(scenario: &mut Scenario, line: &str) -> Result<Option<(u64, Operation)>, String> {
    if let Some(builds) = line.strip_prefix("wrong build:") {
        for build in builds.split_whitespace() {
            if !Build::default().without(build) {
                return Err(format!(
                    "expected one of the builds {}, not {build:?}",
                    WRONG.join(", ")
                ));
            }
            scenario.wrong.push(build.into());
        }
        return Ok(None);
    }
    let mut words = line.split_whitespace().peekable();
    let step = match next(&mut words, "a step")? {
        "cores" => {
            scenario.cores = number(&mut words, "how many machines")?;
            None
        }
        "limiters" => {
            scenario.limiters = number(&mut words, "how many limiters")?;
            None
        }
        "zones" => {
            scenario.zones = words.by_ref().map(str::to_owned).collect();
            if scenario.zones.is_empty() {
                return Err("expected the names of zones".into());
            }
            None
        }
        "tolerance" => {
            scenario.tolerance = number(&mut words, "how many disks may be lost")?;
            None
        }
        "seed" => {
            scenario.seed = number(&mut words, "a seed")?;
            None
        }
        "end" => {
            word(&mut words, "at")?;
            scenario.end = time(&mut words)?;
            None
        }
        "at" => {
            let at = time(&mut words)?;
            Some((at, read_deed(scenario, &mut words)?))
        }
        "expect" => {
            word(&mut words, "at")?;
            let at = time(&mut words)?;
            Some((at, read_hope(scenario, &mut words)?))
        }
        other => {
            let known = "cores, limiters, zones, tolerance, seed, wrong build:, at, expect, end";
            return Err(format!("expected one of {known}, not {other:?}"));
        }
    };
    match words.next() {
        Some(more) => Err(format!("expected the end of the line, not {more:?}")),
        None => Ok(step),
    }
}

fn next<'a>(words: &mut Words<'a>, what: &str) -> Result<&'a str, String> {
    words
        .next()
        .ok_or_else(|| format!("expected {what}, not the end of the line"))
}

fn word(words: &mut Words, expected: &str) -> Result<(), String> {
    match next(words, &format!("{expected:?}"))? {
        found if found == expected => Ok(()),
        found => Err(format!("expected {expected:?}, not {found:?}")),
    }
}

fn parsed<T: std::str::FromStr>(text: &str, what: &str) -> Result<T, String> {
    text.parse()
        .map_err(|_| format!("expected {what}, not {text:?}"))
}

fn number<T: std::str::FromStr>(words: &mut Words, what: &str) -> Result<T, String> {
    parsed(next(words, what)?, what)
}

fn millis(text: &str) -> Result<u64, String> {
    let time = emberpin_config::schema::parse_duration(text);
    let time = time.ok_or_else(|| format!("expected a time such as 2s or 1500ms, not {text:?}"))?;
    Ok(time.as_millis() as u64)
}

fn time(words: &mut Words) -> Result<u64, String> {
    millis(next(words, "a time such as 2s or 1500ms")?)
}

fn span(words: &mut Words) -> Result<(u64, u64), String> {
    let text = next(words, "two times such as 1ms..8ms")?;
    let (low, high) = text
        .split_once("..")
        .ok_or_else(|| format!("expected 1ms..8ms, not {text:?}"))?;
    let (low, high) = (millis(low)?, millis(high)?);
    if low < high {
        Ok((low, high))
    } else {
        Err(format!("expected a span that isn't empty, not {text:?}"))
    }
}

fn percent(words: &mut Words) -> Result<u64, String> {
    let text = next(words, "a part such as 5%")?;
    parsed(text.strip_suffix('%').unwrap_or("-"), "a part such as 5%")
}

fn machine(text: &str) -> Result<Machine, String> {
    let wrong = || format!("expected a machine such as core-1 or limiter-1, not {text:?}");
    let (sort, number) = text.split_once('-').ok_or_else(wrong)?;
    let number = number.parse().map_err(|_| wrong())?;
    match sort {
        "core" => Ok(Machine::Core(number)),
        "limiter" => Ok(Machine::Limiter(number)),
        _ => Err(wrong()),
    }
}

fn core(words: &mut Words) -> Result<u8, String> {
    match machine(next(words, "a machine such as core-1")?)? {
        Machine::Core(number) => Ok(number),
        Machine::Limiter(_) => Err("expected a core machine, not a limiter".into()),
    }
}

/// Machines, up to the end of the line or to a sign.
fn machines(scenario: &Scenario, words: &mut Words) -> Result<Vec<Machine>, String> {
    let mut all = Vec::new();
    while let Some(text) = words
        .peek()
        .copied()
        .filter(|text| !["|", ">"].contains(text))
    {
        words.next();
        match text {
            "cores" => all.extend((1..=scenario.cores).map(Machine::Core)),
            "limiters" => all.extend((1..=scenario.limiters).map(Machine::Limiter)),
            one => all.push(machine(one)?),
        }
    }
    if all.is_empty() {
        return Err("expected machines such as core-1 limiter-2".into());
    }
    Ok(all)
}

fn read_deed(scenario: &Scenario, words: &mut Words) -> Result<Operation, String> {
    Ok(match next(words, "what happens")? {
        "operator" => {
            let who = next(words, "the operator's name")?.into();
            let sort = next(words, "patch, evac, get or again")?;
            match sort {
                "patch" => {
                    let way = way(words)?;
                    Operation::Operator {
                        who,
                        way,
                        order: Order::Patch(patch(words)?),
                    }
                }
                "evac" => {
                    let zone = next(words, "a zone")?.to_owned();
                    if !scenario.zones.contains(&zone) {
                        return Err(format!(
                            "expected one of the zones {:?}, not {zone:?}",
                            scenario.zones
                        ));
                    }
                    let begin = match next(words, "begin or finish")? {
                        "begin" => true,
                        "finish" => false,
                        other => return Err(format!("expected begin or finish, not {other:?}")),
                    };
                    Operation::Operator {
                        who,
                        way: way(words)?,
                        order: Order::Evacuate { zone, begin },
                    }
                }
                "get" => Operation::Read {
                    who,
                    way: way(words)?,
                },
                "again" => Operation::Again {
                    who,
                    way: way(words)?,
                },
                other => return Err(format!("expected patch, evac, get or again, not {other:?}")),
            }
        }
        "server" => server(scenario, words)?,
        "kill" => Operation::Kill(machines(scenario, words)?),
        "power" => {
            let hard = words.next_if_eq(&"hard").is_some();
            Operation::Power {
                machines: machines(scenario, words)?,
                hard,
            }
        }
        "wipe" => Operation::Wipe(machines(scenario, words)?),
        "start" => Operation::Start(machines(scenario, words)?),
        "bootstrap" => Operation::Bootstrap(machines(scenario, words)?),
        "seeds" => Operation::Seeds(machines(scenario, words)?),
        "stall" => {
            let span = time(words)?;
            Operation::Stall {
                machines: machines(scenario, words)?,
                span,
            }
        }
        "answers" => {
            word(words, "lost")?;
            Operation::AnswersLost(percent(words)?)
        }
        "slow" => {
            let by = span(words)?;
            let from = machines(scenario, words)?;
            let one_way = next(words, "| or >")? == ">";
            Operation::Slow {
                from,
                to: machines(scenario, words)?,
                one_way,
                by,
            }
        }
        "freeze" => Operation::Freeze(machines(scenario, words)?),
        "thaw" => Operation::Thaw(machines(scenario, words)?),
        "replace" => Operation::Replace {
            old: core(words)?,
            new: core(words)?,
        },
        "clock" => {
            let machine = machine(next(words, "a machine")?)?;
            match percent(words)? {
                rate @ 50..=200 => Operation::Clock(machine, rate),
                _ => return Err("expected a rate of 50% to 200%".into()),
            }
        }
        "cut" => {
            let from = machines(scenario, words)?;
            let one_way = next(words, "| or >")? == ">";
            Operation::Cut {
                from,
                to: machines(scenario, words)?,
                one_way,
            }
        }
        "lose" => {
            let sort = match next(words, "prepare, accept, chosen, exchange, promise or seats")? {
                "prepare" => Sort::Prepare,
                "accept" => Sort::Accept,
                "chosen" => Sort::Chosen,
                "exchange" => Sort::Exchange,
                "promise" => Sort::Promise,
                "seats" => Sort::Seats,
                other => {
                    let known = "prepare, accept, chosen, exchange, promise or seats";
                    return Err(format!("expected {known}, not {other:?}"));
                }
            };
            let from = machines(scenario, words)?;
            word(words, ">")?;
            Operation::Lose {
                sort,
                from,
                to: machines(scenario, words)?,
            }
        }
        "heal" if words.peek().is_none() => Operation::Heal(Vec::new()),
        "heal" => Operation::Heal(machines(scenario, words)?),
        "lose-nothing" => Operation::Found,
        "network" => {
            word(words, "delay")?;
            let delay = span(words)?;
            word(words, "late")?;
            let late = percent(words)?;
            word(words, "twice")?;
            Operation::Network {
                delay,
                late,
                twice: percent(words)?,
            }
        }
        "disk" => {
            let (low, high) = span(words)?;
            Operation::Disk(low, high)
        }
        other => {
            let known =
                "operator, server, kill, power, wipe, start, bootstrap, seeds, replace, freeze, thaw, clock, \
                 cut, slow, lose, lose-nothing, heal, answers, network, disk, stall";
            return Err(format!("expected one of {known}, not {other:?}"));
        }
    })
}

fn way(words: &mut Words) -> Result<Way, String> {
    Ok(if words.next_if_eq(&"via").is_some() {
        Way::Via(core(words)?)
    } else if words.next_if_eq(&"only").is_some() {
        Way::Only(core(words)?)
    } else {
        Way::Any
    })
}

fn server(scenario: &Scenario, words: &mut Words) -> Result<Operation, String> {
    let server: String = next(words, "a server's name")?.into();
    Ok(
        match next(words, "up, drain, leave, crash, cold or says")? {
            "up" => {
                let (mut service, mut zone) = (None, scenario.zones[0].clone());
                let hash = server.bytes().fold(7u16, |all, byte| {
                    all.wrapping_mul(31).wrapping_add(byte.into())
                });
                let (mut address, mut cold) = (hash.max(1024), 0);
                for word in words.by_ref() {
                    match word.split_once('=') {
                        Some(("svc", name)) => service = Some(name.to_owned()),
                        Some(("zone", name)) if scenario.zones.iter().any(|zone| zone == name) => {
                            zone = name.into();
                        }
                        Some(("addr", port)) => address = parsed(port, "a number")?,
                        Some(("cold", time)) => cold = millis(time)?,
                        _ => {
                            return Err(format!(
                                "expected svc=, zone= (a known one), addr= or cold=, not {word:?}"
                            ))
                        }
                    }
                }
                let service = service.ok_or("expected svc=NAME")?;
                Operation::Up {
                    server,
                    service,
                    zone,
                    address,
                    cold,
                }
            }
            "drain" => Operation::Drain(server),
            "leave" => Operation::Leave(server),
            "crash" => Operation::Crash(server),
            "cold" => Operation::Cold(server, time(words)?),
            "says" => {
                let drains = match next(words, "up or drain")? {
                    "up" => false,
                    "drain" => true,
                    other => return Err(format!("expected up or drain, not {other:?}")),
                };
                word(words, "seq")?;
                let seq = number(words, "a number")?;
                word(words, "to")?;
                Operation::Says {
                    server,
                    drains,
                    seq,
                    to: core(words)?,
                }
            }
            other => {
                return Err(format!(
                    "expected up, drain, leave, crash, cold or says, not {other:?}"
                ))
            }
        },
    )
}

/// The body of a call.
fn patch(words: &mut Words) -> Result<Vec<u8>, String> {
    let (mut ver, mut timeout, mut torn) = (None, "1500ms", false);
    let mut items = Vec::new();
    for word in words.by_ref() {
        match word.split_once('=') {
            Some(("ver", number)) => ver = Some(parsed::<u64>(number, "a version")?),
            Some(("timeout", time)) => timeout = time,
            Some((sort @ ("svc" | "route" | "drop" | "dropsvc"), item)) => items.push((sort, item)),
            None if word == "torn" => torn = true,
            _ => {
                let known = "svc=, route=, drop=, dropsvc=, ver=, timeout= or torn";
                return Err(format!("expected {known}, not {word:?}"));
            }
        }
    }
    let (mut services, mut hosts, mut routes, mut gone) = (vec![], vec![], vec![], vec![]);
    for (sort, item) in items {
        let (item, ver) = match item.split_once('@') {
            Some((item, ver)) => (item, parsed::<u64>(ver, "a version")?),
            None => (
                item,
                ver.ok_or("expected ver=NUMBER, or @NUMBER after each item")?,
            ),
        };
        match sort {
            "svc" => services.push(format!(
                "{{\"name\":\"{item}\",\"hcheck\":\"/h\",\"maxconn\":120,\"proto\":\"h1\",\"tls\":false,\
                 \"warmup\":\"3s\",\"warmup_per_s\":10.0,\"ver\":{ver}}}"
            )),
            "drop" => routes.push(format!("{{\"name\":\"{item}\",\"ver\":{ver}}}")),
            "dropsvc" => gone.push(format!("{{\"name\":\"{item}\",\"ver\":{ver}}}")),
            _ => hosts.push(route(item, ver, timeout)?),
        }
    }
    let (services, hosts) = (services.join(","), hosts.join(","));
    let (routes, gone) = (routes.join(","), gone.join(","));
    let body = format!(
        "{{\"upsert\":{{\"svcs\":[{services}],\"vhosts\":[{hosts}]}},\
         \"remove\":{{\"rtab\":[{routes}],\"svcs\":[{gone}]}}}}"
    );
    let length = if torn { body.len() * 2 / 3 } else { body.len() };
    Ok(body.as_bytes()[..length].to_vec())
}

fn route(item: &str, ver: u64, timeout: &str) -> Result<String, String> {
    let wrong = || format!("expected route=NAME:HOST/PREFIX/:SERVICE, not {item:?}");
    let (name, rest) = item.split_once(':').ok_or_else(wrong)?;
    let (place, to) = rest.rsplit_once(':').ok_or_else(wrong)?;
    let (host, prefix) = place.split_once('/').ok_or_else(wrong)?;
    let targets: Vec<String> = to
        .split('+')
        .map(|target| {
            let (service, weight) = target.split_once('*').unwrap_or((target, "1"));
            format!("{{\"svc\":\"{service}\",\"wt\":{weight}}}")
        })
        .collect();
    let target = match to.contains('+') {
        true => format!("\"dist\":[{}]", targets.join(",")),
        false => format!("\"svc\":\"{to}\""),
    };
    Ok(format!(
        "{{\"hostname\":\"{host}\",\"locs\":[{{\"name\":\"{name}\",\"pfx\":\"/{prefix}\",\"type\":\"readonly\",\
         \"timeout\":\"{timeout}\",\"target_time\":\"250ms\",\"prio\":1,{target},\"tries\":2,\"ver\":{ver}}}]}}"
    ))
}

fn read_hope(scenario: &Scenario, words: &mut Words) -> Result<Operation, String> {
    let first = next(words, "what is expected")?;
    Ok(match first {
        "operator" => {
            let who = next(words, "the operator's name")?.into();
            word(words, "told")?;
            let status = match next(words, "a status or nothing")? {
                "nothing" => None,
                status => Some(parsed(status, "a status or nothing")?),
            };
            Operation::ToldStatus { who, status }
        }
        "get" => {
            let holds = match next(words, "holds or lacks")? {
                "holds" => true,
                "lacks" => false,
                other => return Err(format!("expected holds or lacks, not {other:?}")),
            };
            let kind = match next(words, "route or svc")? {
                kind @ ("route" | "svc") => kind.to_owned(),
                other => return Err(format!("expected route or svc, not {other:?}")),
            };
            let name = next(words, "a name")?.to_owned();
            if holds {
                word(words, "ver")?;
                Operation::GetHolds {
                    kind,
                    name,
                    ver: number(words, "a version")?,
                }
            } else {
                Operation::GetLacks { kind, name }
            }
        }
        "voters" => Operation::Voters(number(words, "how many voters")?),
        machines => match machines {
            "limiters" => limiters(
                (1..=scenario.limiters).map(Machine::Limiter).collect(),
                words,
            )?,
            one => match machine(one).map_err(|_| {
                format!(
                    "expected operator, get, voters, limiters, limiter-N or core-N, not {one:?}"
                )
            })? {
                Machine::Limiter(number) => limiters(vec![Machine::Limiter(number)], words)?,
                Machine::Core(core) => match next(words, "votes or waits")? {
                    "votes" => Operation::Votes { core, votes: true },
                    "waits" => Operation::Votes { core, votes: false },
                    other => return Err(format!("expected votes or waits, not {other:?}")),
                },
            },
        },
    })
}

fn limiters(limiters: Vec<Machine>, words: &mut Words) -> Result<Operation, String> {
    let place = |words: &mut Words| -> Result<(String, String), String> {
        let place = next(words, "HOST/PREFIX/")?;
        let (host, path) = place
            .split_once('/')
            .ok_or(format!("expected HOST/PREFIX/, not {place:?}"))?;
        Ok((host.into(), format!("/{path}")))
    };
    Ok(match next(words, "route, no, server, ready or unready")? {
        "route" => {
            let (host, path) = place(words)?;
            word(words, "ver")?;
            Operation::Routed {
                limiters,
                host,
                path,
                ver: Some(number(words, "a version")?),
            }
        }
        "no" => {
            word(words, "route")?;
            let (host, path) = place(words)?;
            Operation::Routed {
                limiters,
                host,
                path,
                ver: None,
            }
        }
        "server" => {
            let server = next(words, "a server's name")?.into();
            let stand = match next(words, "usable, held or gone")? {
                "usable" => Stand::Usable,
                "held" => Stand::Held,
                "gone" => Stand::Gone,
                other => return Err(format!("expected usable, held or gone, not {other:?}")),
            };
            Operation::Stands {
                limiters,
                server,
                stand,
            }
        }
        "ready" => Operation::Ready {
            limiters,
            ready: true,
        },
        "unready" => Operation::Ready {
            limiters,
            ready: false,
        },
        other => {
            return Err(format!(
                "expected route, no, server, ready or unready, not {other:?}"
            ))
        }
    })
}
