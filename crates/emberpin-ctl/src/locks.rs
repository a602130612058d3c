//! Lists the locks that applications hold (`GET /locks`), and releases one on behalf of its owner.

use crate::client::{call, CallError, Request};
use crate::status::{duration_field, list_field, string_field, u64_field, InvalidStatus};
use jzon::{object, JsonValue};
use std::fmt;
use std::fmt::Write;
use std::time::Duration;

/// The list is truncated after this many pages, so that a registry that always names a next page does not block
/// `doctor`.
const MAX_PAGES: usize = 256;
/// The HTTP status of a registry in a deployment that does not offer locks.
const LOCKS_UNSUPPORTED_STATUS: u16 = 404;

/// A lock with its current holder, or its last one if the lease has expired without a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLock {
    /// The lock's name.
    pub name: String,
    /// The holder of the lock.
    pub owner: String,
    /// The holder's fencing token.
    pub fencing_token: u64,
    /// The duration of the lease, counted from its last renewal.
    pub lease: Duration,
    /// How long the leading store has known the last renewal: a lower bound of the renewal's age.
    pub min_renewal_age: Duration,
}

/// Why the held locks could not be read.
#[derive(Debug, thiserror::Error)]
pub enum LocksError {
    /// No registry returned the list.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The response of a registry is not a list of locks.
    #[error("not a list of locks: {0}")]
    Invalid(#[from] InvalidStatus),
}

impl LocksError {
    /// Whether the registries do not serve `/locks`, because the deployment does not offer locks.
    pub fn is_unsupported(&self) -> bool {
        matches!(
            self,
            LocksError::Call(CallError::Rejected {
                status: LOCKS_UNSUPPORTED_STATUS,
                ..
            })
        )
    }
}

/// One page of the list of locks.
struct Page {
    locks: Vec<HeldLock>,
    /// The name after which the next page begins; `None` on the last page.
    next_after: Option<String>,
}

/// Reads all held locks, in the order of their names.
///
/// # Errors
///
/// [`LocksError`] if no registry returns a valid list.
pub async fn fetch_held_locks(addresses: &[String]) -> Result<Vec<HeldLock>, LocksError> {
    let mut locks = Vec::new();
    let mut path = "/locks".to_owned();
    for _ in 0..MAX_PAGES {
        let page = parse_page(&call(addresses, &Request::get(&path)).await?)?;
        locks.extend(page.locks);
        let Some(after) = page.next_after else { break };
        path = format!("/locks?after={}", percent_encode(&after));
    }
    Ok(locks)
}

/// Releases a lock if it still has the listed owner and fencing token. A lease that was granted later is not affected.
///
/// # Errors
///
/// [`CallError`] if no registry acknowledges it.
pub async fn release(addresses: &[String], lock: &HeldLock) -> Result<(), CallError> {
    let path = format!("/locks/{}/finish", percent_encode(&lock.name));
    let body = object! { owner: lock.owner.as_str(), fence: lock.fencing_token };
    call(addresses, &Request::post(&path, body.dump())).await?;
    Ok(())
}

fn parse_page(json: &str) -> Result<Page, InvalidStatus> {
    let value = jzon::parse(json)?;
    Ok(Page {
        locks: list_field(&value, "locks", parse_lock)?,
        next_after: value["next_after"].as_str().map(str::to_owned),
    })
}

fn parse_lock(value: &JsonValue) -> Result<HeldLock, InvalidStatus> {
    Ok(HeldLock {
        name: string_field(value, "name")?,
        owner: string_field(value, "owner")?,
        fencing_token: u64_field(value, "fence")?,
        lease: duration_field(value, "hold_ms")?,
        min_renewal_age: duration_field(value, "known_for_ms")?,
    })
}

impl fmt::Display for HeldLock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let HeldLock {
            name,
            owner,
            fencing_token,
            lease,
            min_renewal_age,
        } = self;
        write!(
            f,
            "lock {name}: held by {owner} with fence {fencing_token} for {} ms, renewed {} ms ago at least",
            lease.as_millis(),
            min_renewal_age.as_millis()
        )
    }
}

/// Percent-encodes a text (RFC 3986, section 2.1), for use as a path segment or a query value.
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
