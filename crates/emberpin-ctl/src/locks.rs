//! The locks that applications hold, parsed from the JSON of `GET /locks`, and how one is released by hand.

use crate::client::{call, CallError, Request};
use crate::status::{list, milliseconds, number, text, InvalidStatus};
use jzon::{object, JsonValue};
use std::fmt;
use std::fmt::Write;
use std::time::Duration;

/// A list that is longer than this many responses is cut off: a registry that names no end must not keep the doctor.
const MAX_PAGES: usize = 256;
/// The status of a registry at which applications cannot hold locks.
const NO_SUCH_CALL: u16 = 404;

/// A lock that somebody holds, or held last without releasing it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLock {
    /// The lock's name.
    pub name: String,
    /// Who holds it.
    pub owner: String,
    /// The holder's fencing token.
    pub fence: u64,
    /// How long the hold lasts from its last renewal on.
    pub hold: Duration,
    /// For how long the leading store has known the last renewal: a lower bound of its age.
    pub known_for: Duration,
}

/// Why it is not known which locks are held.
#[derive(Debug, thiserror::Error)]
pub enum LocksError {
    /// No registry told it.
    #[error(transparent)]
    Call(#[from] CallError),
    /// What a registry told is no list of locks.
    #[error("not a list of locks: {0}")]
    Invalid(#[from] InvalidStatus),
}

impl LocksError {
    /// Whether the registries have no such call: applications cannot hold locks in this deployment.
    pub fn is_switched_off(&self) -> bool {
        matches!(
            self,
            LocksError::Call(CallError::Rejected {
                status: NO_SUCH_CALL,
                ..
            })
        )
    }
}

/// One response of a registry.
struct Page {
    locks: Vec<HeldLock>,
    /// The name after which the list goes on.
    next_after: Option<String>,
}

/// All locks that are held, in the order of their names.
///
/// # Errors
///
/// [`LocksError`] if no registry tells them.
pub async fn held_locks(addresses: &[String]) -> Result<Vec<HeldLock>, LocksError> {
    let mut locks = Vec::new();
    let mut path = "/locks".to_owned();
    for _ in 0..MAX_PAGES {
        let page = parse(&call(addresses, &Request::get(&path)).await?)?;
        locks.extend(page.locks);
        let Some(after) = page.next_after else { break };
        path = format!("/locks?after={}", percent_encode(&after));
    }
    Ok(locks)
}

/// Releases a lock, if it is still held as it was listed. A later hold stays.
///
/// # Errors
///
/// [`CallError`] if no registry acknowledges it.
pub async fn release(addresses: &[String], lock: &HeldLock) -> Result<(), CallError> {
    let path = format!("/locks/{}/finish", percent_encode(&lock.name));
    let body = object! { owner: lock.owner.as_str(), fence: lock.fence };
    call(addresses, &Request::post(&path, body.dump())).await?;
    Ok(())
}

fn parse(json: &str) -> Result<Page, InvalidStatus> {
    let value = jzon::parse(json)?;
    Ok(Page {
        locks: list(&value, "locks", parse_lock)?,
        next_after: value["next_after"].as_str().map(str::to_owned),
    })
}

fn parse_lock(value: &JsonValue) -> Result<HeldLock, InvalidStatus> {
    Ok(HeldLock {
        name: text(value, "name")?,
        owner: text(value, "owner")?,
        fence: number(value, "fence")?,
        hold: milliseconds(value, "hold_ms")?,
        known_for: milliseconds(value, "known_for_ms")?,
    })
}

impl fmt::Display for HeldLock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let HeldLock {
            name,
            owner,
            fence,
            hold,
            known_for,
        } = self;
        write!(
            f,
            "lock {name}: held by {owner} with fence {fence} for {} ms, renewed {} ms ago at least",
            hold.as_millis(),
            known_for.as_millis()
        )
    }
}

/// A text as one segment of a path or one value of a query (RFC 3986, section 2.1).
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
