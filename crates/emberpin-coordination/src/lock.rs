//! Grants, renews, releases and lists locks with leases.
//!
//! A lease holder counts its lease from the moment at which it sent the request, on its own clock. A replica counts
//! from the moment at which it learned of the lease, which is later. So once a replica has known a lease for longer
//! than the lease's duration plus the clock tolerance, the holder no longer considers itself the holder. A replica that
//! restarts counts from its start: it may consider a lock free too late, but never too early.

use crate::evaluate::Evaluation;
use crate::operation::FencingToken;
use crate::outcome::{HeldLock, Outcome};
use crate::register::{read, write, InvalidRegister, RegisterKey, RegisterKind, Registers};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Over any period, two monotonic clocks differ by less than the period divided by this.
const MAX_CLOCK_DRIFT_DIVISOR: u32 = 200;
/// The resolution of replicas' clocks, with a margin.
const CLOCK_RESOLUTION: Duration = Duration::from_millis(5);

/// The maximum number of locks, held or not, that one list request examines. The caller sends another request for the
/// locks that follow.
pub const MAX_LISTED_LOCKS: usize = 1_024;

/// The lease in a lock's register, stored as JSON under these field names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Lease {
    owner: String,
    /// The duration of the lease, counted from its last renewal, in milliseconds.
    millis: u64,
}

/// The content of a lock's register, stored as JSON under these field names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Lock {
    /// The fencing token of the latest grant; 0 before the first.
    fence: FencingToken,
    /// The fencing token of the first grant in the current tenure: the time in which one owner holds the lock without a
    /// release or another owner in between. The responses with the later tokens may have been lost.
    first_fence: FencingToken,
    /// The current lease, which may have expired; `None` if the lock was released.
    lease: Option<Lease>,
    /// The number of grants and renewals, so that the content changes with each of them.
    renewals: u64,
}

/// How long a replica waits beyond the duration of a lease before it considers the lease expired.
pub fn clock_tolerance(lease: Duration) -> Duration {
    lease / MAX_CLOCK_DRIFT_DIVISOR + CLOCK_RESOLUTION
}

/// Grants the lock if it is free, if its lease has expired, or if the caller is the current lease holder. Each grant
/// has a new fencing token, so that a delayed release does not end a later lease of the same owner.
pub fn acquire(
    registers: &impl Registers,
    name: &str,
    owner: &str,
    lease: Duration,
) -> Result<Evaluation, InvalidRegister> {
    let key = RegisterKey::new(RegisterKind::Lock, name);
    let mut lock: Lock = read(registers, &key)?;
    let age = registers.age(&key);
    match &lock.lease {
        Some(held) if held.owner == owner => {}
        Some(held) if !has_expired(held, age) => {
            return Ok(Evaluation::unchanged(Outcome::LockDenied));
        }
        _ => lock.first_fence = lock.fence.next(),
    }
    lock.fence = lock.fence.next();
    let outcome = Outcome::LockGranted { fence: lock.fence };
    Ok(extend(key, lock, owner, lease, age, outcome))
}

/// Renews the lease if the owner still has the lock, even after the lease has expired, as long as nobody else acquired
/// the lock. Any fencing token of the current tenure is valid, since the response with the latest one may have been
/// lost.
pub fn renew(
    registers: &impl Registers,
    name: &str,
    owner: &str,
    fence: FencingToken,
    lease: Duration,
) -> Result<Evaluation, InvalidRegister> {
    let key = RegisterKey::new(RegisterKind::Lock, name);
    let lock: Lock = read(registers, &key)?;
    let is_token_of_tenure = (lock.first_fence..=lock.fence).contains(&fence);
    if !is_held_by(&lock, owner) || !is_token_of_tenure {
        return Ok(Evaluation::unchanged(Outcome::LockDenied));
    }
    let age = registers.age(&key);
    Ok(extend(key, lock, owner, lease, age, Outcome::LockRenewed))
}

/// Releases the lock if the owner holds it and `fence` is the latest fencing token; otherwise changes nothing.
pub fn release(
    registers: &impl Registers,
    name: &str,
    owner: &str,
    fence: FencingToken,
) -> Result<Evaluation, InvalidRegister> {
    let key = RegisterKey::new(RegisterKind::Lock, name);
    let mut lock: Lock = read(registers, &key)?;
    if !is_held_by(&lock, owner) || lock.fence != fence {
        return Ok(Evaluation::unchanged(Outcome::LockReleased));
    }
    lock.lease = None;
    Ok(Evaluation::Complete {
        outcome: Outcome::LockReleased,
        changes: vec![write(key, &lock)],
    })
}

/// Lists those locks that are held among the first [`MAX_LISTED_LOCKS`] whose names sort after `after`.
pub fn list(registers: &impl Registers, after: &str) -> Result<Evaluation, InvalidRegister> {
    let names = registers.names_after(RegisterKind::Lock, after, MAX_LISTED_LOCKS);
    let next_after = names
        .last()
        .filter(|_| names.len() == MAX_LISTED_LOCKS)
        .cloned();
    let mut locks = Vec::new();
    for name in names {
        let key = RegisterKey::new(RegisterKind::Lock, name);
        let Lock { fence, lease, .. } = read(registers, &key)?;
        let Some(Lease { owner, millis }) = lease else {
            continue;
        };
        let known_for = registers.age(&key);
        locks.push(HeldLock {
            name: key.name,
            owner,
            fence,
            lease: Duration::from_millis(millis),
            known_for,
        });
    }
    Ok(Evaluation::unchanged(Outcome::Locks { locks, next_after }))
}

/// Writes the lock with a new lease of the owner. The new lease does not end before the owner's current one, by which
/// the owner still counts if the response to this request is lost.
fn extend(
    key: RegisterKey,
    mut lock: Lock,
    owner: &str,
    lease: Duration,
    age: Duration,
    outcome: Outcome,
) -> Evaluation {
    let current = lock.lease.filter(|held| held.owner == owner);
    let remaining = current.map_or(Duration::ZERO, |held| latest_end(&held).saturating_sub(age));
    lock.lease = Some(Lease {
        owner: owner.into(),
        millis: whole_millis(lease.max(remaining)),
    });
    lock.renewals += 1;
    Evaluation::Complete {
        outcome,
        changes: vec![write(key, &lock)],
    }
}

fn is_held_by(lock: &Lock, owner: &str) -> bool {
    lock.lease
        .as_ref()
        .is_some_and(|lease| lease.owner == owner)
}

/// Whether a lease has expired by its holder's clock. `age` is a lower bound of the time since the lease was chosen.
fn has_expired(lease: &Lease, age: Duration) -> bool {
    age > latest_end(lease)
}

/// The longest time after a lease was chosen in which its holder may consider itself the holder, by any clock.
fn latest_end(lease: &Lease) -> Duration {
    let duration = Duration::from_millis(lease.millis);
    duration + clock_tolerance(duration)
}

/// The duration in whole milliseconds, rounded up.
fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}
