//! Locks.
//!
//! A holder counts its lease from the moment at which it sent the call, on its own clock. Replicas count from the moment
//! at which they learned the lease, which is later. So a replica that has known a lease for longer than the lease itself,
//! and than the clocks may differ in that time, knows that the holder no longer counts itself as one. A replica that
//! starts counts from its start: a lock may be free later than it could be, and never sooner.

use crate::evaluate::Evaluation;
use crate::operation::FencingToken;
use crate::outcome::{HeldLock, Outcome};
use crate::register::{read, write, InvalidRegister, RegisterKey, RegisterKind, Registers};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Two steady clocks differ by less than one part in this many.
const MAX_CLOCK_DRIFT_DIVISOR: u32 = 200;
/// The resolution of replicas' clocks, with a margin.
const CLOCK_RESOLUTION: Duration = Duration::from_millis(5);

/// How many locks, held or not, one list goes through. The caller asks again for those that follow.
pub const MAX_LISTED_LOCKS: usize = 1_024;

/// A lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Lease {
    owner: String,
    /// How long it lasts from its last renewal on, in milliseconds.
    millis: u64,
}

/// The register of a lock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Lock {
    /// The token granted last; 0 before the first.
    fence: FencingToken,
    /// The token of the present owner's first call. It may not have been told of the later ones.
    first_fence: FencingToken,
    /// The present lease; `None` if the lock was released.
    lease: Option<Lease>,
    /// How often the lock was granted or renewed. Makes the content of each renewal differ from the one before.
    renewals: u64,
}

/// By how much longer than its duration a replica waits for the end of a lease.
pub fn clock_tolerance(lease: Duration) -> Duration {
    lease / MAX_CLOCK_DRIFT_DIVISOR + CLOCK_RESOLUTION
}

/// Grants the lock if it is free or its lease is over. The present owner gets its lease anew. Each grant has a token of its
/// own, so that a release which comes late does not end a later lease of the same owner.
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
        Some(held) if !is_over(held, age) => {
            return Ok(Evaluation::unchanged(Outcome::LockDenied));
        }
        _ => lock.first_fence = lock.fence.next(),
    }
    lock.fence = lock.fence.next();
    let outcome = Outcome::LockGranted { fence: lock.fence };
    Ok(extend(key, lock, owner, lease, age, outcome))
}

/// Renews the lock if the owner still has it, also when its lease is over and nobody else came. Any token of its tenure
/// will do: it may not have been told of the last one.
pub fn renew(
    registers: &impl Registers,
    name: &str,
    owner: &str,
    fence: FencingToken,
    lease: Duration,
) -> Result<Evaluation, InvalidRegister> {
    let key = RegisterKey::new(RegisterKind::Lock, name);
    let lock: Lock = read(registers, &key)?;
    let is_of_tenure = (lock.first_fence..=lock.fence).contains(&fence);
    if !is_held_by(&lock, owner) || !is_of_tenure {
        return Ok(Evaluation::unchanged(Outcome::LockDenied));
    }
    let age = registers.age(&key);
    Ok(extend(key, lock, owner, lease, age, Outcome::LockRenewed))
}

/// Releases the lock if the owner has it with this very token; otherwise there is nothing to do.
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

/// The locks that are held, of the first [`MAX_LISTED_LOCKS`] after a name.
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

/// The lock with a new lease of the owner. It does not end before the owner's present one: the owner counts by that one
/// if the response to this call is lost.
fn extend(
    key: RegisterKey,
    mut lock: Lock,
    owner: &str,
    lease: Duration,
    age: Duration,
    outcome: Outcome,
) -> Evaluation {
    let present = lock.lease.filter(|held| held.owner == owner);
    let remaining = present.map_or(Duration::ZERO, |held| latest_end(&held).saturating_sub(age));
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

/// Whether a lease that was chosen this long ago, at least, is over by its holder's clock.
fn is_over(lease: &Lease, age: Duration) -> bool {
    age > latest_end(lease)
}

/// How long after a lease was chosen its holder may count itself as one, by any clock.
fn latest_end(lease: &Lease) -> Duration {
    let duration = Duration::from_millis(lease.millis);
    duration + clock_tolerance(duration)
}

/// A duration in whole milliseconds, rounded up.
fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}
