//! Parses the text of a scenario.

use super::commands::{
    CallTarget, Command, Expectation, ExpectedItem, Fault, Links, OperatorCommand, OperatorRequest,
    ServerCommand, StoreMessageKind, UnsyncedWrites,
};
use super::error::{ParseError, ParseErrorKind};
use super::patch::parse_patch_body;
use super::words::{parse_machine, parse_time, parse_word, Words};
use super::{Scenario, Step};
use crate::machine::{Machine, ProxyId};
use crate::mutants::{Guards, MUTANTS};
use emberpin_consensus::EvacuationChange;
use emberpin_routing::Availability;
use std::time::Duration;

const SETTINGS: &str =
    "one of cores, limiters, zones, tolerance, seed, wrong build:, at, expect, end";
const COMMANDS: &str =
    "one of operator, server, kill, power, wipe, start, bootstrap, seeds, replace, freeze, thaw, clock, cut, slow, \
     lose, lose-nothing, heal, answers, network, disk, stall";
const EXPECTATIONS: &str = "operator, get, voters, limiters, limiter-N or core-N";
const PROXY_EXPECTATIONS: &str = "route, no, server, ready or unready";
const OPERATOR_COMMANDS: &str = "patch, evac, get or again";
const SERVER_COMMANDS: &str = "up, drain, leave, crash, cold or says";
const SERVER_NAME: &str = "a server's name";
const OPERATOR_NAME: &str = "the operator's name";
const LINK_SIGN: &str = "| or >";

/// The ports below are for the system's own use, so servers do not get them.
const LOWEST_PORT: u16 = 1024;

/// Parses a scenario; `name` is the name of its file.
///
/// # Errors
///
/// [`ParseError`], for the first line that is not a step.
pub fn parse(name: &str, text: &str) -> Result<Scenario, ParseError> {
    let mut scenario = Scenario {
        name: name.into(),
        cores: 3,
        proxies: 0,
        zones: vec!["z1".into()],
        tolerance: 1,
        seed: 1,
        mutants: Vec::new(),
        steps: Vec::new(),
        end: Duration::ZERO,
    };
    for (index, whole_line) in text.lines().enumerate() {
        let line = whole_line.split('#').next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        let number = index + 1;
        parse_line(&mut scenario, number, line).map_err(|kind| ParseError {
            file: name.into(),
            line: number,
            kind,
        })?;
    }
    scenario.end = scenario.end.max(time_of_last_step(&scenario));
    Ok(scenario)
}

fn time_of_last_step(scenario: &Scenario) -> Duration {
    scenario.steps.last().map_or(Duration::ZERO, |step| step.at)
}

fn parse_line(scenario: &mut Scenario, number: usize, line: &str) -> Result<(), ParseErrorKind> {
    if let Some(mutants) = line.strip_prefix("wrong build:") {
        return parse_mutants(scenario, mutants);
    }
    let mut words = Words::new(line, scenario.cores, scenario.proxies);
    let (at, command) = match words.next("a step")? {
        "at" => {
            let at = words.duration()?;
            (at, parse_command(scenario, &mut words)?)
        }
        "expect" => {
            words.keyword("at")?;
            let at = words.duration()?;
            (
                at,
                Command::Expect(parse_expectation(scenario, &mut words)?),
            )
        }
        setting => {
            parse_setting(scenario, setting, &mut words)?;
            return words.expect_end();
        }
    };
    words.expect_end()?;
    let earliest = time_of_last_step(scenario);
    if at < earliest {
        return Err(ParseErrorKind::OutOfOrder {
            earliest_ms: earliest.as_millis(),
        });
    }
    scenario.steps.push(Step {
        at,
        line: number,
        text: line.into(),
        command,
    });
    Ok(())
}

fn parse_mutants(scenario: &mut Scenario, mutants: &str) -> Result<(), ParseErrorKind> {
    for mutant in mutants.split_whitespace() {
        if !Guards::default().disable(mutant) {
            let expected = format!("one of the builds {}", MUTANTS.join(", "));
            return Err(ParseErrorKind::unexpected(mutant, expected));
        }
        scenario.mutants.push(mutant.into());
    }
    Ok(())
}

fn parse_setting(
    scenario: &mut Scenario,
    setting: &str,
    words: &mut Words,
) -> Result<(), ParseErrorKind> {
    match setting {
        "cores" => scenario.cores = words.number("how many machines")?,
        "limiters" => scenario.proxies = words.number("how many limiters")?,
        "zones" => {
            scenario.zones = words.rest().map(str::to_owned).collect();
            if scenario.zones.is_empty() {
                return Err(ParseErrorKind::Missing("the names of zones"));
            }
        }
        "tolerance" => scenario.tolerance = words.number("how many disks may be lost")?,
        "seed" => scenario.seed = words.number("a seed")?,
        "end" => {
            words.keyword("at")?;
            scenario.end = words.duration()?;
        }
        other => return Err(ParseErrorKind::unexpected(other, SETTINGS)),
    }
    Ok(())
}

fn parse_command(scenario: &Scenario, words: &mut Words) -> Result<Command, ParseErrorKind> {
    match words.next("what happens")? {
        "operator" => Ok(Command::Operator {
            operator: words.next(OPERATOR_NAME)?.into(),
            command: parse_operator_command(scenario, words)?,
        }),
        "server" => {
            let server: String = words.next(SERVER_NAME)?.into();
            let command = parse_server_command(scenario, &server, words)?;
            Ok(Command::Server { server, command })
        }
        fault => parse_fault(fault, words).map(Command::Fault),
    }
}

// ---- operators

fn parse_operator_command(
    scenario: &Scenario,
    words: &mut Words,
) -> Result<OperatorCommand, ParseErrorKind> {
    Ok(match words.next(OPERATOR_COMMANDS)? {
        "patch" => OperatorCommand::Send {
            target: parse_call_target(words)?,
            request: OperatorRequest::Patch(parse_patch_body(words)?),
        },
        "evac" => {
            let request = parse_evacuation(scenario, words)?;
            let target = parse_call_target(words)?;
            OperatorCommand::Send { target, request }
        }
        "get" => OperatorCommand::Read {
            target: parse_call_target(words)?,
        },
        "again" => OperatorCommand::Repeat {
            target: parse_call_target(words)?,
        },
        other => return Err(ParseErrorKind::unexpected(other, OPERATOR_COMMANDS)),
    })
}

fn parse_evacuation(
    scenario: &Scenario,
    words: &mut Words,
) -> Result<OperatorRequest, ParseErrorKind> {
    let zone = words.next("a zone")?.to_owned();
    if !scenario.zones.contains(&zone) {
        let expected = format!("one of the zones {:?}", scenario.zones);
        return Err(ParseErrorKind::unexpected(&zone, expected));
    }
    let choices = [
        ("begin", EvacuationChange::Begin),
        ("finish", EvacuationChange::End),
    ];
    let change = words.one_of("begin or finish", &choices)?;
    Ok(OperatorRequest::Evacuate { zone, change })
}

fn parse_call_target(words: &mut Words) -> Result<CallTarget, ParseErrorKind> {
    Ok(if words.take("via") {
        CallTarget::First(words.core()?)
    } else if words.take("only") {
        CallTarget::Only(words.core()?)
    } else {
        CallTarget::Any
    })
}

// ---- servers

fn parse_server_command(
    scenario: &Scenario,
    server: &str,
    words: &mut Words,
) -> Result<ServerCommand, ParseErrorKind> {
    Ok(match words.next(SERVER_COMMANDS)? {
        "up" => parse_server_start(scenario, server, words)?,
        "drain" => ServerCommand::Drain,
        "leave" => ServerCommand::Leave,
        "crash" => ServerCommand::Crash,
        "cold" => ServerCommand::WarmUp(words.duration()?),
        "says" => {
            let draining = words.one_of("up or drain", &[("up", false), ("drain", true)])?;
            words.keyword("seq")?;
            let seq = words.number("a number")?;
            words.keyword("to")?;
            let core = words.core()?;
            ServerCommand::LateHeartbeat {
                draining,
                seq,
                core,
            }
        }
        other => return Err(ParseErrorKind::unexpected(other, SERVER_COMMANDS)),
    })
}

fn parse_server_start(
    scenario: &Scenario,
    server: &str,
    words: &mut Words,
) -> Result<ServerCommand, ParseErrorKind> {
    let (mut service, mut zone) = (None, scenario.zones[0].clone());
    let (mut port, mut warmup) = (default_port(server), Duration::ZERO);
    for word in words.rest() {
        match word.split_once('=') {
            Some(("svc", name)) => service = Some(name.to_owned()),
            Some(("zone", name)) if scenario.zones.iter().any(|zone| zone == name) => {
                zone = name.into();
            }
            Some(("addr", number)) => port = parse_word(number, "a number")?,
            Some(("cold", time)) => warmup = parse_time(time)?,
            _ => {
                let expected = "svc=, zone= (a known one), addr= or cold=";
                return Err(ParseErrorKind::unexpected(word, expected));
            }
        }
    }
    Ok(ServerCommand::Start {
        service: service.ok_or(ParseErrorKind::Missing("svc=NAME"))?,
        zone,
        port,
        warmup,
    })
}

/// A port for a server that is given none, so that servers of different names mostly have different ones.
fn default_port(server: &str) -> u16 {
    let hash = server.bytes().fold(7u16, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    });
    hash.max(LOWEST_PORT)
}

// ---- faults

fn parse_fault(fault: &str, words: &mut Words) -> Result<Fault, ParseErrorKind> {
    Ok(match fault {
        "kill" => Fault::Kill(words.machines()?),
        "power" => {
            let unsynced = if words.take("hard") {
                UnsyncedWrites::DropAll
            } else {
                UnsyncedWrites::KeepSome
            };
            let machines = words.machines()?;
            Fault::CutPower { machines, unsynced }
        }
        "wipe" => Fault::WipeDisk(words.machines()?),
        "start" => Fault::Start(words.machines()?),
        "bootstrap" => Fault::Bootstrap(words.machines()?),
        "seeds" => {
            let machines = words.machines()?;
            Fault::SetSeeds(machines.into_iter().filter_map(Machine::as_core).collect())
        }
        "stall" => Fault::StallDisk {
            duration: words.duration()?,
            machines: words.machines()?,
        },
        "replace" => Fault::Replace {
            old: words.core()?,
            new: words.core()?,
        },
        "freeze" => Fault::Freeze(words.machines()?),
        "thaw" => Fault::Thaw(words.machines()?),
        "clock" => parse_clock_rate(words)?,
        network_fault => return parse_network_fault(network_fault, words),
    })
}

fn parse_clock_rate(words: &mut Words) -> Result<Fault, ParseErrorKind> {
    let machine = words.machine()?;
    match words.percent()? {
        percent @ 50..=200 => Ok(Fault::SetClockRate { machine, percent }),
        _ => Err(ParseErrorKind::Missing("a rate of 50% to 200%")),
    }
}

fn parse_network_fault(fault: &str, words: &mut Words) -> Result<Fault, ParseErrorKind> {
    Ok(match fault {
        "cut" => Fault::Partition(parse_links(words)?),
        "slow" => Fault::Slow {
            delay: words.duration_range()?,
            links: parse_links(words)?,
        },
        "lose" => parse_message_loss(words)?,
        "lose-nothing" => Fault::EndMessageLoss,
        "heal" if words.is_at_end() => Fault::Heal(Vec::new()),
        "heal" => Fault::Heal(words.machines()?),
        "answers" => {
            words.keyword("lost")?;
            let percent = words.percent()?;
            Fault::LoseResponses { percent }
        }
        "network" => parse_network_settings(words)?,
        "disk" => Fault::SetSyncTime(words.duration_range()?),
        other => return Err(ParseErrorKind::unexpected(other, COMMANDS)),
    })
}

fn parse_links(words: &mut Words) -> Result<Links, ParseErrorKind> {
    let from = words.machines()?;
    let one_way = words.next(LINK_SIGN)? == ">";
    let to = words.machines()?;
    Ok(Links { from, to, one_way })
}

fn parse_message_loss(words: &mut Words) -> Result<Fault, ParseErrorKind> {
    let kinds = [
        ("prepare", StoreMessageKind::Prepare),
        ("accept", StoreMessageKind::Accept),
        ("chosen", StoreMessageKind::Chosen),
        ("exchange", StoreMessageKind::Comparison),
        ("promise", StoreMessageKind::Promise),
        ("seats", StoreMessageKind::RosterChange),
    ];
    let kind = words.one_of(
        "prepare, accept, chosen, exchange, promise or seats",
        &kinds,
    )?;
    let from = words.machines()?;
    words.keyword(">")?;
    let to = words.machines()?;
    Ok(Fault::LoseMessages { kind, from, to })
}

fn parse_network_settings(words: &mut Words) -> Result<Fault, ParseErrorKind> {
    words.keyword("delay")?;
    let delay = words.duration_range()?;
    words.keyword("late")?;
    let late_percent = words.percent()?;
    words.keyword("twice")?;
    let duplicate_percent = words.percent()?;
    Ok(Fault::SetNetwork {
        delay,
        late_percent,
        duplicate_percent,
    })
}

// ---- expectations

fn parse_expectation(
    scenario: &Scenario,
    words: &mut Words,
) -> Result<Expectation, ParseErrorKind> {
    match words.next("what is expected")? {
        "operator" => parse_operator_status(words),
        "get" => parse_expected_item(words).map(Expectation::Read),
        "voters" => Ok(Expectation::Voters(words.number("how many voters")?)),
        "limiters" => {
            let proxies = (1..=scenario.proxies).map(ProxyId).collect();
            parse_proxy_expectation(proxies, words)
        }
        name => match parse_machine(name) {
            Ok(Machine::Proxy(proxy)) => parse_proxy_expectation(vec![proxy], words),
            Ok(Machine::Core(core)) => {
                let votes = words.one_of("votes or waits", &[("votes", true), ("waits", false)])?;
                Ok(Expectation::Votes { core, votes })
            }
            Err(_) => Err(ParseErrorKind::unexpected(name, EXPECTATIONS)),
        },
    }
}

fn parse_operator_status(words: &mut Words) -> Result<Expectation, ParseErrorKind> {
    let expected = "a status or nothing";
    let operator = words.next(OPERATOR_NAME)?.into();
    words.keyword("told")?;
    let status = match words.next(expected)? {
        "nothing" => None,
        status => Some(parse_word(status, expected)?),
    };
    Ok(Expectation::OperatorStatus { operator, status })
}

fn parse_expected_item(words: &mut Words) -> Result<ExpectedItem, ParseErrorKind> {
    let is_shown = words.one_of("holds or lacks", &[("holds", true), ("lacks", false)])?;
    let kind = words.one_of("route or svc", &[("route", "route"), ("svc", "svc")])?;
    let name = words.next("a name")?.to_owned();
    let version = if is_shown {
        words.keyword("ver")?;
        Some(words.number("a version")?)
    } else {
        None
    };
    Ok(ExpectedItem {
        kind: kind.into(),
        name,
        version,
    })
}

fn parse_proxy_expectation(
    proxies: Vec<ProxyId>,
    words: &mut Words,
) -> Result<Expectation, ParseErrorKind> {
    Ok(match words.next(PROXY_EXPECTATIONS)? {
        "route" => {
            let (host, path) = parse_host_and_path(words)?;
            words.keyword("ver")?;
            Expectation::Route {
                proxies,
                host,
                path,
                version: Some(words.number("a version")?),
            }
        }
        "no" => {
            words.keyword("route")?;
            let (host, path) = parse_host_and_path(words)?;
            Expectation::Route {
                proxies,
                host,
                path,
                version: None,
            }
        }
        "server" => {
            let server = words.next(SERVER_NAME)?.into();
            let choices = [
                ("usable", Availability::Available),
                ("held", Availability::Draining),
                ("gone", Availability::Removed),
            ];
            let availability = words.one_of("usable, held or gone", &choices)?;
            Expectation::ServerAvailability {
                proxies,
                server,
                availability,
            }
        }
        "ready" => Expectation::Ready {
            proxies,
            ready: true,
        },
        "unready" => Expectation::Ready {
            proxies,
            ready: false,
        },
        other => return Err(ParseErrorKind::unexpected(other, PROXY_EXPECTATIONS)),
    })
}

fn parse_host_and_path(words: &mut Words) -> Result<(String, String), ParseErrorKind> {
    let expected = "HOST/PREFIX/";
    let word = words.next(expected)?;
    let (host, path) = word
        .split_once('/')
        .ok_or_else(|| ParseErrorKind::unexpected(word, expected))?;
    Ok((host.into(), format!("/{path}")))
}
