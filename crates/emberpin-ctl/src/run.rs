//! Does what the command line asks for: `Ok` with what to print, `Err` with what failed, was refused or ails.

use crate::calls::{call, once, Call};
use crate::command::{Command, Order, USAGE};
use crate::findings::{all, Gathered, Reading};
use crate::status::Status;
use emberpin_config::{parse_patch, validate, Configuration, ItemKind, PatchOutcome};
use std::collections::BTreeSet;
use std::time::{SystemTime, UNIX_EPOCH};

/// How often a registry is asked for its status before it counts as silent.
const ASKED: usize = 2;

/// Follows one command line.
pub async fn run(command: Command) -> Result<String, String> {
    let at = &command.at;
    match command.order {
        Order::Help => Ok(USAGE.into()),
        Order::Get => newest(at).await,
        Order::Patch { file, dry_run } => {
            let body = std::fs::read(&file).map_err(|wrong| format!("{file}: {wrong}"))?;
            patch(at, body, dry_run)
                .await
                .map_err(|wrong| format!("{file}: {wrong}"))
        }
        Order::Drop { kind, name, ver } => {
            let name = jzon::JsonValue::from(name).dump();
            let list = if kind == ItemKind::Route {
                "rtab"
            } else {
                "svcs"
            };
            let body = format!(r#"{{"remove":{{"{list}":[{{"name":{name},"ver":{ver}}}]}}}}"#);
            patch(at, body.into_bytes(), false).await
        }
        Order::Evacuate(zone) => order(at, &format!("/evac/{zone}/begin"), String::new()).await,
        Order::Return(zone) => order(at, &format!("/evac/{zone}/finish"), String::new()).await,
        Order::Members => members(&gather(at).await),
        Order::Doctor => doctor(&gather(at).await),
    }
}

async fn newest(at: &[String]) -> Result<String, String> {
    call(at, &Call::get("/config/get")).await
}

async fn order(at: &[String], path: &str, body: String) -> Result<String, String> {
    call(at, &Call::post(path, body)).await?;
    Ok("acknowledged".into())
}

async fn patch(at: &[String], body: Vec<u8>, dry_run: bool) -> Result<String, String> {
    let patch = parse_patch(&body).map_err(|wrong| wrong.to_string())?;
    let count = patch.items.len();
    if !dry_run {
        let body = String::from_utf8(body).map_err(|wrong| wrong.to_string())?;
        return order(at, "/config/patch", body).await;
    }
    if at.is_empty() {
        return Ok(format!("{count} items, each of them valid"));
    }
    // What was dropped isn't handed out, so a version below that of a tombstone is found only when it is
    // sent.
    match validate(&configuration(&newest(at).await?)?, &patch) {
        PatchOutcome::Apply(newer) => Ok(format!(
            "{count} items, {} of them newer; valid as a whole",
            newer.len()
        )),
        PatchOutcome::Duplicate => Ok(format!("{count} items, all of them known")),
        PatchOutcome::Conflict(wrong)
        | PatchOutcome::Indeterminate(wrong)
        | PatchOutcome::Invalid(wrong) => Err(wrong.to_string()),
    }
}

fn configuration(config: &str) -> Result<Configuration, String> {
    let patch = parse_patch(format!("{{\"upsert\":{config}}}").as_bytes())
        .map_err(|wrong| wrong.to_string())?;
    Ok(patch.items.into_iter().collect())
}

fn now_ms() -> i64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    i64::try_from(now.as_millis()).unwrap_or(i64::MAX)
}

async fn ask(address: String) -> Reading {
    let mut status = Err(String::new());
    for _ in 0..ASKED {
        status = match once(&address, &Call::get("/status")).await {
            Ok((answer, _)) if answer.status == 200 => {
                Status::read(&answer.body).map_err(|wrong| wrong.to_string())
            }
            Ok((answer, _)) => Err(format!("status {}", answer.status)),
            Err(what) => Err(what),
        };
        if status.is_ok() {
            break;
        }
    }
    Reading {
        address,
        status,
        at_ms: now_ms(),
    }
}

/// Asks the addresses, then the registries that they name, until all that are named have been asked.
async fn gather(at: &[String]) -> Gathered {
    let (mut asked, mut readings) = (BTreeSet::new(), Vec::new());
    let mut next: Vec<String> = at.to_vec();
    while !next.is_empty() {
        next.retain(|address| asked.insert(address.clone()));
        let asking: Vec<_> = next
            .drain(..)
            .map(|address| tokio::spawn(ask(address)))
            .collect();
        for reading in asking {
            let Ok(reading) = reading.await else { continue };
            let named = reading
                .status
                .iter()
                .flat_map(|status| status.registries.iter().chain(&status.voters));
            next.extend(named.map(|named| beside(named, &reading.address)));
            readings.push(reading);
        }
    }
    let services = newest(at)
        .await
        .and_then(|config| configuration(&config))
        .map(|configuration| {
            configuration
                .live()
                .filter(|item| item.key.kind == ItemKind::Service)
                .map(|item| item.key.name.clone())
                .collect()
        });
    Gathered { readings, services }
}

/// The address of a registry that another one names by its IP address: all of them use one port.
fn beside(named: &str, other: &str) -> String {
    match (named.parse::<std::net::IpAddr>(), other.rsplit_once(':')) {
        (Ok(std::net::IpAddr::V6(ip)), Some((_, port))) => format!("[{ip}]:{port}"),
        (Ok(ip), Some((_, port))) => format!("{ip}:{port}"),
        _ => named.to_owned(),
    }
}

fn members(gathered: &Gathered) -> Result<String, String> {
    let mut lines = Vec::new();
    for reading in &gathered.readings {
        let status = match &reading.status {
            Ok(status) => status,
            Err(why) => {
                lines.push(format!("registry {}: {why}", reading.address));
                continue;
            }
        };
        let settled = if status.settled {
            "settled"
        } else {
            "not settled"
        };
        let voters = status.voters.join(" ");
        lines.push(format!(
            "registry {} {}: {settled}, {} items, voters {voters}",
            reading.address, status.name, status.items
        ));
        for limiter in &status.limiters {
            lines.push(format!(
                "  limiter {} in {}: {} behind",
                limiter.name, limiter.zone, limiter.behind
            ));
        }
        for instance in &status.instances {
            lines.push(format!(
                "  server {} of {} at {} in {}: {}, cold for {} ms, heard {} ms ago",
                instance.id,
                instance.service,
                instance.address,
                instance.zone,
                instance.status,
                instance.cold_ms,
                instance.heard_ms
            ));
        }
    }
    match gathered
        .readings
        .iter()
        .any(|reading| reading.status.is_ok())
    {
        true => Ok(lines.join("\n")),
        false => Err(lines.join("\n")),
    }
}

fn doctor(gathered: &Gathered) -> Result<String, String> {
    let findings: Vec<String> = all(gathered)
        .into_iter()
        .map(|finding| format!("{}\n  -> {}", finding.what, finding.way_out))
        .collect();
    match findings.is_empty() {
        true => Ok(format!(
            "nothing ails, by the word of {} registries",
            gathered.readings.len()
        )),
        false => Err(findings.join("\n")),
    }
}
