//! Parses the text of a scenario.

use super::commands::{
    CallTarget, Command, Expectation, ExpectedItem, Fault, Links, OperatorCommand, OperatorRequest,
    ServerCommand, StoreMessageKind, UnsyncedWrites,
};
use super::error::{ParseError, ParseErrorKind};
use super::patch::parse_patch_body;
use super::tokens::{parse_machine, parse_time, parse_token, Tokens};
use super::{Scenario, Step};
use crate::machine::{Machine, ProxyId};
use crate::mutants::{Guards, MUTANTS};
use emberpin_consensus::EvacuationChange;
use emberpin_routing::Availability;
use std::time::Duration;

// Descriptions of expected tokens for error messages.
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

/// Lower ports are reserved for the system, so servers do not get them.
const LOWEST_PORT: u16 = 1024;

/// Parses a scenario; `name` is the name of its file.
///
/// # Errors
///
/// [`ParseError`] for the first line that cannot be parsed.
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
    let mut tokens = Tokens::new(line, scenario.cores, scenario.proxies);
    let (at, command) = match tokens.next("a step")? {
        "at" => {
            let at = tokens.duration()?;
            (at, parse_command(scenario, &mut tokens)?)
        }
        "expect" => {
            tokens.expect_keyword("at")?;
            let at = tokens.duration()?;
            (
                at,
                Command::Expect(parse_expectation(scenario, &mut tokens)?),
            )
        }
        setting => {
            parse_setting(scenario, setting, &mut tokens)?;
            return tokens.expect_end();
        }
    };
    tokens.expect_end()?;
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
    tokens: &mut Tokens,
) -> Result<(), ParseErrorKind> {
    match setting {
        "cores" => scenario.cores = tokens.number("how many machines")?,
        "limiters" => scenario.proxies = tokens.number("how many limiters")?,
        "zones" => {
            scenario.zones = tokens.rest().map(str::to_owned).collect();
            if scenario.zones.is_empty() {
                return Err(ParseErrorKind::Missing("the names of zones"));
            }
        }
        "tolerance" => scenario.tolerance = tokens.number("how many disks may be lost")?,
        "seed" => scenario.seed = tokens.number("a seed")?,
        "end" => {
            tokens.expect_keyword("at")?;
            scenario.end = tokens.duration()?;
        }
        other => return Err(ParseErrorKind::unexpected(other, SETTINGS)),
    }
    Ok(())
}

fn parse_command(scenario: &Scenario, tokens: &mut Tokens) -> Result<Command, ParseErrorKind> {
    match tokens.next("what happens")? {
        "operator" => Ok(Command::Operator {
            operator: tokens.next(OPERATOR_NAME)?.into(),
            command: parse_operator_command(scenario, tokens)?,
        }),
        "server" => {
            let server: String = tokens.next(SERVER_NAME)?.into();
            let command = parse_server_command(scenario, &server, tokens)?;
            Ok(Command::Server { server, command })
        }
        fault => parse_fault(fault, tokens).map(Command::Fault),
    }
}

// ---- operators

fn parse_operator_command(
    scenario: &Scenario,
    tokens: &mut Tokens,
) -> Result<OperatorCommand, ParseErrorKind> {
    Ok(match tokens.next(OPERATOR_COMMANDS)? {
        "patch" => OperatorCommand::Send {
            target: parse_call_target(tokens)?,
            request: OperatorRequest::Patch(parse_patch_body(tokens)?),
        },
        "evac" => {
            let request = parse_evacuation(scenario, tokens)?;
            let target = parse_call_target(tokens)?;
            OperatorCommand::Send { target, request }
        }
        "get" => OperatorCommand::Read {
            target: parse_call_target(tokens)?,
        },
        "again" => OperatorCommand::Repeat {
            target: parse_call_target(tokens)?,
        },
        other => return Err(ParseErrorKind::unexpected(other, OPERATOR_COMMANDS)),
    })
}

fn parse_evacuation(
    scenario: &Scenario,
    tokens: &mut Tokens,
) -> Result<OperatorRequest, ParseErrorKind> {
    let zone = tokens.next("a zone")?.to_owned();
    if !scenario.zones.contains(&zone) {
        let expected = format!("one of the zones {:?}", scenario.zones);
        return Err(ParseErrorKind::unexpected(&zone, expected));
    }
    let choices = [
        ("begin", EvacuationChange::Begin),
        ("finish", EvacuationChange::End),
    ];
    let change = tokens.one_of("begin or finish", &choices)?;
    Ok(OperatorRequest::Evacuate { zone, change })
}

fn parse_call_target(tokens: &mut Tokens) -> Result<CallTarget, ParseErrorKind> {
    Ok(if tokens.next_if_is("via") {
        CallTarget::First(tokens.core()?)
    } else if tokens.next_if_is("only") {
        CallTarget::Only(tokens.core()?)
    } else {
        CallTarget::Any
    })
}

// ---- servers

fn parse_server_command(
    scenario: &Scenario,
    server: &str,
    tokens: &mut Tokens,
) -> Result<ServerCommand, ParseErrorKind> {
    Ok(match tokens.next(SERVER_COMMANDS)? {
        "up" => parse_server_start(scenario, server, tokens)?,
        "drain" => ServerCommand::Drain,
        "leave" => ServerCommand::Leave,
        "crash" => ServerCommand::Crash,
        "cold" => ServerCommand::WarmUp(tokens.duration()?),
        "says" => {
            let draining = tokens.one_of("up or drain", &[("up", false), ("drain", true)])?;
            tokens.expect_keyword("seq")?;
            let seq = tokens.number("a number")?;
            tokens.expect_keyword("to")?;
            let core = tokens.core()?;
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
    tokens: &mut Tokens,
) -> Result<ServerCommand, ParseErrorKind> {
    let (mut service, mut zone) = (None, scenario.zones[0].clone());
    let (mut port, mut warmup) = (default_port(server), Duration::ZERO);
    for token in tokens.rest() {
        match token.split_once('=') {
            Some(("svc", name)) => service = Some(name.to_owned()),
            Some(("zone", name)) if scenario.zones.iter().any(|zone| zone == name) => {
                zone = name.into();
            }
            Some(("addr", number)) => port = parse_token(number, "a number")?,
            Some(("cold", time)) => warmup = parse_time(time)?,
            _ => {
                let expected = "svc=, zone= (a known one), addr= or cold=";
                return Err(ParseErrorKind::unexpected(token, expected));
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

/// The port of a server without `addr=`: a hash of its name, so that different servers mostly have different ports.
fn default_port(server: &str) -> u16 {
    let hash = server.bytes().fold(7u16, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    });
    hash.max(LOWEST_PORT)
}

// ---- faults

fn parse_fault(fault: &str, tokens: &mut Tokens) -> Result<Fault, ParseErrorKind> {
    Ok(match fault {
        "kill" => Fault::Kill(tokens.machines()?),
        "power" => {
            let unsynced = if tokens.next_if_is("hard") {
                UnsyncedWrites::DropAll
            } else {
                UnsyncedWrites::KeepSome
            };
            let machines = tokens.machines()?;
            Fault::CutPower { machines, unsynced }
        }
        "wipe" => Fault::WipeDisk(tokens.machines()?),
        "start" => Fault::Start(tokens.machines()?),
        "bootstrap" => Fault::Bootstrap(tokens.machines()?),
        "seeds" => {
            let machines = tokens.machines()?;
            Fault::SetSeeds(machines.into_iter().filter_map(Machine::as_core).collect())
        }
        "stall" => Fault::StallDisk {
            duration: tokens.duration()?,
            machines: tokens.machines()?,
        },
        "replace" => Fault::Replace {
            old: tokens.core()?,
            new: tokens.core()?,
        },
        "freeze" => Fault::Freeze(tokens.machines()?),
        "thaw" => Fault::Thaw(tokens.machines()?),
        "clock" => parse_clock_rate(tokens)?,
        network_fault => return parse_network_fault(network_fault, tokens),
    })
}

fn parse_clock_rate(tokens: &mut Tokens) -> Result<Fault, ParseErrorKind> {
    let machine = tokens.machine()?;
    match tokens.percent()? {
        percent @ 50..=200 => Ok(Fault::SetClockRate { machine, percent }),
        _ => Err(ParseErrorKind::Missing("a rate of 50% to 200%")),
    }
}

fn parse_network_fault(fault: &str, tokens: &mut Tokens) -> Result<Fault, ParseErrorKind> {
    Ok(match fault {
        "cut" => Fault::Partition(parse_links(tokens)?),
        "slow" => Fault::Slow {
            delay: tokens.duration_range()?,
            links: parse_links(tokens)?,
        },
        "lose" => parse_message_loss(tokens)?,
        "lose-nothing" => Fault::EndMessageLoss,
        "heal" if tokens.is_at_end() => Fault::Heal(Vec::new()),
        "heal" => Fault::Heal(tokens.machines()?),
        "answers" => {
            tokens.expect_keyword("lost")?;
            let percent = tokens.percent()?;
            Fault::LoseResponses { percent }
        }
        "network" => parse_network_settings(tokens)?,
        "disk" => Fault::SetSyncTime(tokens.duration_range()?),
        other => return Err(ParseErrorKind::unexpected(other, COMMANDS)),
    })
}

fn parse_links(tokens: &mut Tokens) -> Result<Links, ParseErrorKind> {
    let from = tokens.machines()?;
    let one_way = tokens.next(LINK_SIGN)? == ">";
    let to = tokens.machines()?;
    Ok(Links { from, to, one_way })
}

fn parse_message_loss(tokens: &mut Tokens) -> Result<Fault, ParseErrorKind> {
    let kinds = [
        ("prepare", StoreMessageKind::Prepare),
        ("accept", StoreMessageKind::Accept),
        ("chosen", StoreMessageKind::Chosen),
        ("exchange", StoreMessageKind::Comparison),
        ("promise", StoreMessageKind::Promise),
        ("seats", StoreMessageKind::RosterChange),
    ];
    let kind = tokens.one_of(
        "prepare, accept, chosen, exchange, promise or seats",
        &kinds,
    )?;
    let from = tokens.machines()?;
    tokens.expect_keyword(">")?;
    let to = tokens.machines()?;
    Ok(Fault::LoseMessages { kind, from, to })
}

fn parse_network_settings(tokens: &mut Tokens) -> Result<Fault, ParseErrorKind> {
    tokens.expect_keyword("delay")?;
    let delay = tokens.duration_range()?;
    tokens.expect_keyword("late")?;
    let late_percent = tokens.percent()?;
    tokens.expect_keyword("twice")?;
    let duplicate_percent = tokens.percent()?;
    Ok(Fault::SetNetwork {
        delay,
        late_percent,
        duplicate_percent,
    })
}

// ---- expectations

fn parse_expectation(
    scenario: &Scenario,
    tokens: &mut Tokens,
) -> Result<Expectation, ParseErrorKind> {
    match tokens.next("what is expected")? {
        "operator" => parse_operator_status(tokens),
        "get" => parse_expected_item(tokens).map(Expectation::Read),
        "voters" => Ok(Expectation::Voters(tokens.number("how many voters")?)),
        "limiters" => {
            let proxies = (1..=scenario.proxies).map(ProxyId).collect();
            parse_proxy_expectation(proxies, tokens)
        }
        name => match parse_machine(name) {
            Ok(Machine::Proxy(proxy)) => parse_proxy_expectation(vec![proxy], tokens),
            Ok(Machine::Core(core)) => {
                let votes =
                    tokens.one_of("votes or waits", &[("votes", true), ("waits", false)])?;
                Ok(Expectation::Votes { core, votes })
            }
            Err(_) => Err(ParseErrorKind::unexpected(name, EXPECTATIONS)),
        },
    }
}

fn parse_operator_status(tokens: &mut Tokens) -> Result<Expectation, ParseErrorKind> {
    let expected = "a status or nothing";
    let operator = tokens.next(OPERATOR_NAME)?.into();
    tokens.expect_keyword("told")?;
    let status = match tokens.next(expected)? {
        "nothing" => None,
        status => Some(parse_token(status, expected)?),
    };
    Ok(Expectation::OperatorStatus { operator, status })
}

fn parse_expected_item(tokens: &mut Tokens) -> Result<ExpectedItem, ParseErrorKind> {
    let is_shown = tokens.one_of("holds or lacks", &[("holds", true), ("lacks", false)])?;
    let kind = tokens.one_of("route or svc", &[("route", "route"), ("svc", "svc")])?;
    let name = tokens.next("a name")?.to_owned();
    let version = if is_shown {
        tokens.expect_keyword("ver")?;
        Some(tokens.number("a version")?)
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
    tokens: &mut Tokens,
) -> Result<Expectation, ParseErrorKind> {
    Ok(match tokens.next(PROXY_EXPECTATIONS)? {
        "route" => {
            let (host, path) = parse_host_and_path(tokens)?;
            tokens.expect_keyword("ver")?;
            Expectation::Route {
                proxies,
                host,
                path,
                version: Some(tokens.number("a version")?),
            }
        }
        "no" => {
            tokens.expect_keyword("route")?;
            let (host, path) = parse_host_and_path(tokens)?;
            Expectation::Route {
                proxies,
                host,
                path,
                version: None,
            }
        }
        "server" => {
            let server = tokens.next(SERVER_NAME)?.into();
            let choices = [
                ("usable", Availability::Available),
                ("held", Availability::Draining),
                ("gone", Availability::Removed),
            ];
            let availability = tokens.one_of("usable, held or gone", &choices)?;
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

fn parse_host_and_path(tokens: &mut Tokens) -> Result<(String, String), ParseErrorKind> {
    let expected = "HOST/PREFIX/";
    let token = tokens.next(expected)?;
    let (host, path) = token
        .split_once('/')
        .ok_or_else(|| ParseErrorKind::unexpected(token, expected))?;
    Ok((host.into(), format!("/{path}")))
}
