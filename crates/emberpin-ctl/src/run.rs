//! Executes a command. The result is the text to print, or an error if the command was rejected, failed, or found
//! problems to report.

use crate::checks::{check_all, Finding};
use crate::client::{call, CallError, Request};
use crate::command_line::{Command, CommandLine, USAGE};
use crate::fleet::{self, ConfigurationError, FleetReport};
use crate::locks::{self, percent_encode, HeldLock, LocksError};
use crate::members;
use emberpin_config::{parse_patch, validate, ItemKind, PatchOutcome, ValidationError};
use std::io;
use std::string::FromUtf8Error;

/// Why a command did not succeed. The program prints the error and exits with status 1.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The patch file cannot be read.
    #[error("{file}: {source}")]
    ReadFile {
        /// The file's name.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The patch in a file is invalid or was not applied.
    #[error("{file}: {source}")]
    PatchFile {
        /// The file's name.
        file: String,
        /// Why the patch was not applied. Boxed because it is much larger than the other variants.
        source: Box<PatchError>,
    },
    /// A patch that was built from the arguments (`drop`) was not applied.
    #[error(transparent)]
    Patch(#[from] PatchError),
    /// A call failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The held locks could not be read.
    #[error(transparent)]
    Locks(#[from] LocksError),
    /// The lock that the command names is not held.
    #[error("nobody holds the lock {0}")]
    LockNotHeld(String),
    /// No registry reported its status. The text has one line for each registry.
    #[error("{0}")]
    NoRegistryReachable(String),
    /// `doctor` found at least one problem.
    #[error("{}", render_findings(.0))]
    Findings(Vec<Finding>),
}

/// Why a patch was not applied.
#[derive(Debug, thiserror::Error)]
pub enum PatchError {
    /// The patch is invalid by itself, or on top of the newest configuration.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
    /// The body of the patch is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] FromUtf8Error),
    /// The call failed, or a registry rejected it.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The newest configuration, against which the patch is validated, could not be read.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
}

/// Executes a command and returns the text to print.
///
/// # Errors
///
/// [`RunError`] if the command failed, was rejected, or found problems to report.
pub async fn run(command_line: CommandLine) -> Result<String, RunError> {
    let addresses = &command_line.addresses;
    match command_line.command {
        Command::Help => Ok(USAGE.into()),
        Command::Get => Ok(fleet::fetch_configuration_json(addresses).await?),
        Command::Patch { file, dry_run } => patch_file(addresses, file, dry_run).await,
        Command::Drop {
            kind,
            name,
            version,
        } => {
            let body = drop_body(kind, name, version).into_bytes();
            Ok(send_patch(addresses, body).await?)
        }
        Command::Evacuate(zone) => {
            Ok(send_change(addresses, &format!("/evac/{zone}/begin"), String::new()).await?)
        }
        Command::Return(zone) => {
            Ok(send_change(addresses, &format!("/evac/{zone}/finish"), String::new()).await?)
        }
        Command::ListLocks => Ok(render_locks(&locks::fetch_held_locks(addresses).await?)),
        Command::ShowLock(name) => Ok(find_held_lock(addresses, name).await?.to_string()),
        Command::ReleaseLock(name) => {
            let lock = find_held_lock(addresses, name).await?;
            locks::release(addresses, &lock).await?;
            Ok(format!("released {lock}"))
        }
        Command::GetCell(name) => {
            let path = format!("/cells/{}/get", percent_encode(&name));
            Ok(call(addresses, &Request::get(&path)).await?)
        }
        Command::NextNumber(name) => {
            let path = format!("/numbers/{}", percent_encode(&name));
            Ok(call(addresses, &Request::post(&path, "{}".into())).await?)
        }
        Command::Members => list_members(&fleet::collect(addresses).await),
        Command::Doctor => diagnose(&fleet::collect(addresses).await),
    }
}

async fn find_held_lock(addresses: &[String], name: String) -> Result<HeldLock, RunError> {
    let mut locks = locks::fetch_held_locks(addresses).await?.into_iter();
    locks
        .find(|lock| lock.name == name)
        .ok_or(RunError::LockNotHeld(name))
}

fn render_locks(locks: &[HeldLock]) -> String {
    if locks.is_empty() {
        return "no lock is held".into();
    }
    let lines: Vec<String> = locks.iter().map(HeldLock::to_string).collect();
    lines.join("\n")
}

/// Posts a change; a 2xx response acknowledges it.
async fn send_change(addresses: &[String], path: &str, body: String) -> Result<String, CallError> {
    call(addresses, &Request::post(path, body)).await?;
    Ok("acknowledged".into())
}

async fn patch_file(addresses: &[String], file: String, dry_run: bool) -> Result<String, RunError> {
    let body = match std::fs::read(&file) {
        Ok(body) => body,
        Err(source) => return Err(RunError::ReadFile { file, source }),
    };
    let patched = if dry_run {
        validate_patch(addresses, &body).await
    } else {
        send_patch(addresses, body).await
    };
    patched.map_err(|error| RunError::PatchFile {
        file,
        source: Box::new(error),
    })
}

/// Builds the body of a patch that removes one item.
fn drop_body(kind: ItemKind, name: String, version: u64) -> String {
    let name = jzon::JsonValue::from(name).dump();
    let list = if kind == ItemKind::Route {
        "rtab"
    } else {
        "svcs"
    };
    format!(r#"{{"remove":{{"{list}":[{{"name":{name},"ver":{version}}}]}}}}"#)
}

/// Sends a patch after validating it by itself.
async fn send_patch(addresses: &[String], body: Vec<u8>) -> Result<String, PatchError> {
    parse_patch(&body)?;
    let body = String::from_utf8(body)?;
    Ok(send_change(addresses, "/config/patch", body).await?)
}

/// Validates a patch without sending it: by itself without addresses, otherwise on top of the newest configuration.
async fn validate_patch(addresses: &[String], body: &[u8]) -> Result<String, PatchError> {
    let patch = parse_patch(body)?;
    let count = patch.items.len();
    if addresses.is_empty() {
        return Ok(format!("{count} items, each of them valid"));
    }
    // Registries do not return tombstones, so a version below that of a removed item is detected only when the patch is
    // sent.
    match validate(&fleet::fetch_configuration(addresses).await?, &patch) {
        PatchOutcome::Apply(newer) => Ok(format!(
            "{count} items, {} of them newer; valid as a whole",
            newer.len()
        )),
        PatchOutcome::Duplicate => Ok(format!("{count} items, all of them known")),
        PatchOutcome::Conflict(error)
        | PatchOutcome::Indeterminate(error)
        | PatchOutcome::Invalid(error)
        | PatchOutcome::TooLarge(error) => Err(error.into()),
    }
}

fn list_members(fleet: &FleetReport) -> Result<String, RunError> {
    let members = members::render(fleet);
    if fleet.reachable().next().is_none() {
        return Err(RunError::NoRegistryReachable(members));
    }
    Ok(members)
}

fn diagnose(fleet: &FleetReport) -> Result<String, RunError> {
    let findings = check_all(fleet);
    if !findings.is_empty() {
        return Err(RunError::Findings(findings));
    }
    let registries = fleet.registries.len();
    Ok(format!(
        "nothing ails, by the word of {registries} registries"
    ))
}

fn render_findings(findings: &[Finding]) -> String {
    let findings: Vec<String> = findings
        .iter()
        .map(|finding| format!("{}\n  -> {}", finding.problem, finding.remedy))
        .collect();
    findings.join("\n")
}
