//! Parses the command-line arguments of the program.

use emberpin_config::ItemKind;
use getopts::{Fail, Options};

/// The usage text that `--help` and a [`UsageError`] print.
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

/// The maximum length of the name of a lock, a number or a cell.
const MAX_NAME_BYTES: usize = 128;

/// A command of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the usage.
    Help,
    /// Print the newest configuration as JSON.
    Get,
    /// Send a patch of the configuration.
    Patch {
        /// The file that contains the body of the patch.
        file: String,
        /// Whether the patch is only validated and not sent.
        dry_run: bool,
    },
    /// Remove an item from the configuration.
    Drop {
        /// The kind of the item: a route or a service.
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
    /// Release a lock on behalf of its owner.
    ReleaseLock(String),
    /// Print the value and the revision of a cell.
    GetCell(String),
    /// Take the next number of a name; no application receives the same number.
    NextNumber(String),
    /// Print the registries, proxies and servers.
    Members,
    /// Diagnose the fleet.
    Doctor,
}

/// The parsed arguments of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandLine {
    /// The addresses of the registries, in the order in which they are called.
    pub addresses: Vec<String>,
    /// The command to run.
    pub command: Command,
}

/// Why the arguments are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UsageError {
    /// An option is unknown or lacks its value.
    #[error(transparent)]
    Option(#[from] Fail),
    /// The positional arguments are not a command.
    #[error("not a command: {0}")]
    UnknownCommand(String),
    /// `--dry-run` was given with a command other than `patch`.
    #[error("only patch has a --dry-run")]
    DryRunWithoutPatch,
    /// An address of `--at` is not `HOST:PORT`.
    #[error("not an address: {0}")]
    InvalidAddress(String),
    /// The command calls registries, but `--at` is missing.
    #[error("--at is missing")]
    MissingAddresses,
}

impl CommandLine {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// [`UsageError`] for the first invalid argument.
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

/// Parses the value of `--at`; a missing option gives no addresses.
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

/// Whether a zone can be inserted into a URL path unescaped: it has no characters that are special in a path, and is
/// not a dot segment.
fn is_zone(zone: &str) -> bool {
    !zone.is_empty()
        && zone
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
        && !matches!(zone, "." | "..")
}

/// Whether a lock, a number or a cell can have this name. Special characters are escaped in the URL path; the dot
/// segments `.` and `..` cannot be escaped and are rejected.
fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !matches!(name, "." | "..")
}

fn is_address(address: &str) -> bool {
    address.rsplit_once(':').is_some_and(|(host, port)| {
        !host.is_empty() && port.parse::<u16>().is_ok_and(|port| port > 0)
    })
}
