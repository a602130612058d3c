//! What the command line asks for.

use emberpin_config::ItemKind;
use getopts::Options;

/// How the program is called.
pub const USAGE: &str = "\
emberpinctl --at HOST:PORT[,HOST:PORT...] COMMAND

  get                           print the newest configuration
  patch FILE                    check a call's body here, then send it
  patch --dry-run FILE          only check it; with --at, on top of the newest configuration
  drop route|service NAME VER   drop an item
  evacuate ZONE                 send nothing further to the servers of a zone
  return ZONE                   end an evacuation
  members                       print who is there
  doctor                        print what ails, and what to do about it

Ends with 0 when all is well, 1 when it was refused, failed or something ails, 2 for a wrong call.";

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Print the usage.
    Help,
    /// Print the newest configuration.
    Get,
    /// Send the body of a call.
    Patch {
        /// Where it is.
        file: String,
        /// Only check it.
        dry_run: bool,
    },
    /// Drop an item.
    Drop {
        /// A route or a service.
        kind: ItemKind,
        /// Its name.
        name: String,
        /// The version of its tombstone.
        ver: u64,
    },
    /// Begin the evacuation of a zone.
    Evacuate(String),
    /// End it.
    Return(String),
    /// Print who is there.
    Members,
    /// Print what ails.
    Doctor,
}

/// A whole command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The addresses to ask, in the order of asking.
    pub at: Vec<String>,
    /// What to do.
    pub order: Order,
}

/// Why a command line can't be followed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Usage(pub String);

impl Command {
    /// Reads the words after the program's name.
    pub fn read(words: impl IntoIterator<Item = String>) -> Result<Command, Usage> {
        let mut options = Options::new();
        options
            .optopt("", "at", "", "")
            .optflag("", "dry-run", "")
            .optflag("h", "help", "");
        let read = options
            .parse(words)
            .map_err(|wrong| Usage(wrong.to_string()))?;
        if read.opt_present("help") {
            return Ok(Command {
                at: Vec::new(),
                order: Order::Help,
            });
        }
        let dry_run = read.opt_present("dry-run");
        let words: Vec<&str> = read.free.iter().map(String::as_str).collect();
        let not = || Usage(format!("not a command: {}", words.join(" ")));
        let order = match words[..] {
            ["get"] => Order::Get,
            ["patch", file] => Order::Patch {
                file: file.into(),
                dry_run,
            },
            ["drop", kind, name, ver] => {
                let kind = match kind {
                    "route" => ItemKind::Route,
                    "service" => ItemKind::Service,
                    _ => return Err(not()),
                };
                Order::Drop {
                    kind,
                    name: name.into(),
                    ver: ver.parse().map_err(|_| not())?,
                }
            }
            ["evacuate", zone] if is_zone(zone) => Order::Evacuate(zone.into()),
            ["return", zone] if is_zone(zone) => Order::Return(zone.into()),
            ["members"] => Order::Members,
            ["doctor"] => Order::Doctor,
            _ => return Err(not()),
        };
        if dry_run && !matches!(order, Order::Patch { .. }) {
            return Err(Usage("only patch has a --dry-run".into()));
        }
        let at: Vec<String> = read
            .opt_str("at")
            .map_or(Vec::new(), |at| at.split(',').map(str::to_owned).collect());
        if let Some(wrong) = at.iter().find(|address| !is_address(address)) {
            return Err(Usage(format!("not an address: {wrong}")));
        }
        if at.is_empty() && !dry_run {
            return Err(Usage("--at is missing".into()));
        }
        Ok(Command { at, order })
    }
}

/// A zone becomes part of a path, so it must not hold what has a meaning there.
fn is_zone(zone: &str) -> bool {
    !zone.is_empty()
        && zone
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
        && !matches!(zone, "." | "..")
}

fn is_address(address: &str) -> bool {
    address.rsplit_once(':').is_some_and(|(host, port)| {
        !host.is_empty() && port.parse::<u16>().is_ok_and(|port| port > 0)
    })
}
