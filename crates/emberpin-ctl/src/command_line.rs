//! The arguments of the program.

use emberpin_config::ItemKind;
use getopts::{Fail, Options};

/// How the program is called.
pub const USAGE: &str = "\
emberpinctl --at HOST:PORT[,HOST:PORT...] COMMAND

  get                           print the newest configuration
  patch FILE                    check a call's body here, then send it
  patch --dry-run FILE          only check it; with --at, on top of the newest configuration
  drop route|service NAME VER   drop an item
  evacuate ZONE                 send nothing further to the servers of a zone
  return ZONE                   end an evacuation
  lock list                     print the locks that applications hold
  lock show NAME                print who holds a lock
  lock release NAME             release a lock whose owner acts no longer
  cell get NAME                 print a cell's value and revision
  number next NAME              take the next number of a name, and print it
  members                       print who is there
  doctor                        print what ails, and what to do about it

Ends with 0 when all is well, 1 when it was refused, failed or something ails, 2 for a wrong call.";

/// The longest name of a lock, a number or a cell.
const MAX_NAME_BYTES: usize = 128;

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the usage.
    Help,
    /// Print the newest configuration.
    Get,
    /// Send a patch of the configuration.
    Patch {
        /// The file with its body.
        file: String,
        /// Only validate it.
        dry_run: bool,
    },
    /// Drop an item of the configuration.
    Drop {
        /// A route or a service.
        kind: ItemKind,
        /// The name of the item.
        name: String,
        /// The version of its tombstone.
        version: u64,
    },
    /// Begin the evacuation of a zone.
    Evacuate(String),
    /// End the evacuation of a zone.
    Return(String),
    /// Print the locks that are held.
    ListLocks,
    /// Print who holds a lock.
    ShowLock(String),
    /// Release a lock in the place of its owner.
    ReleaseLock(String),
    /// Print a cell.
    GetCell(String),
    /// Take a number, which no application gets then.
    NextNumber(String),
    /// Print the registries, proxies and servers.
    Members,
    /// Diagnose the fleet.
    Doctor,
}

/// The arguments of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandLine {
    /// The addresses of registries to call, in this order.
    pub addresses: Vec<String>,
    /// What to do.
    pub command: Command,
}

/// Why arguments are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UsageError {
    /// An option is unknown, or lacks its value.
    #[error(transparent)]
    Option(#[from] Fail),
    /// The words beside the options are no command.
    #[error("not a command: {0}")]
    UnknownCommand(String),
    /// `--dry-run` with another command than `patch`.
    #[error("only patch has a --dry-run")]
    DryRunWithoutPatch,
    /// One of the addresses is not `HOST:PORT`.
    #[error("not an address: {0}")]
    InvalidAddress(String),
    /// The command needs addresses to call.
    #[error("--at is missing")]
    MissingAddresses,
}

impl CommandLine {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// [`UsageError`] names the first argument that is invalid.
    pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<CommandLine, UsageError> {
        let mut options = Options::new();
        options
            .optopt("", "at", "", "")
            .optflag("", "dry-run", "")
            .optflag("h", "help", "");
        let matches = options.parse(arguments)?;
        if matches.opt_present("help") {
            return Ok(CommandLine {
                addresses: Vec::new(),
                command: Command::Help,
            });
        }
        let dry_run = matches.opt_present("dry-run");
        let command = parse_command(&matches.free, dry_run)?;
        if dry_run && !matches!(command, Command::Patch { .. }) {
            return Err(UsageError::DryRunWithoutPatch);
        }
        let addresses = parse_addresses(matches.opt_str("at"))?;
        if addresses.is_empty() && !dry_run {
            return Err(UsageError::MissingAddresses);
        }
        Ok(CommandLine { addresses, command })
    }
}

fn parse_command(words: &[String], dry_run: bool) -> Result<Command, UsageError> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let unknown = || UsageError::UnknownCommand(words.join(" "));
    Ok(match words[..] {
        ["get"] => Command::Get,
        ["patch", file] => Command::Patch {
            file: file.into(),
            dry_run,
        },
        ["drop", kind, name, version] => Command::Drop {
            kind: parse_kind(kind).ok_or_else(unknown)?,
            name: name.into(),
            version: version.parse().map_err(|_| unknown())?,
        },
        ["evacuate", zone] if is_zone(zone) => Command::Evacuate(zone.into()),
        ["return", zone] if is_zone(zone) => Command::Return(zone.into()),
        ["lock", "list"] => Command::ListLocks,
        ["lock", "show", name] if is_name(name) => Command::ShowLock(name.into()),
        ["lock", "release", name] if is_name(name) => Command::ReleaseLock(name.into()),
        ["cell", "get", name] if is_name(name) => Command::GetCell(name.into()),
        ["number", "next", name] if is_name(name) => Command::NextNumber(name.into()),
        ["members"] => Command::Members,
        ["doctor"] => Command::Doctor,
        _ => return Err(unknown()),
    })
}

fn parse_kind(word: &str) -> Option<ItemKind> {
    match word {
        "route" => Some(ItemKind::Route),
        "service" => Some(ItemKind::Service),
        _ => None,
    }
}

/// The addresses of `--at`; none if it is missing.
fn parse_addresses(list: Option<String>) -> Result<Vec<String>, UsageError> {
    let Some(list) = list else {
        return Ok(Vec::new());
    };
    let addresses: Vec<String> = list.split(',').map(str::to_owned).collect();
    match addresses.iter().find(|address| !is_address(address)) {
        Some(invalid) => Err(UsageError::InvalidAddress(invalid.clone())),
        None => Ok(addresses),
    }
}

/// Whether a zone may become part of a path: it must hold nothing that has a meaning there.
fn is_zone(zone: &str) -> bool {
    !zone.is_empty()
        && zone
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
        && !matches!(zone, "." | "..")
}

/// Whether applications can use a name. What has a meaning in a path is escaped, but for the segments that stand for
/// folders.
fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !matches!(name, "." | "..")
}

fn is_address(address: &str) -> bool {
    address.rsplit_once(':').is_some_and(|(host, port)| {
        !host.is_empty() && port.parse::<u16>().is_ok_and(|port| port > 0)
    })
}
