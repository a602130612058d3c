//! The table of servers' instances and how what is told of one instance merges: copies that heard the same agree, in
//! whatever order they heard it.
//!
//! What a server said only rises (up, drain, gone), and so does its `seq`. That it was not heard is no word
//! of its own but a mark on the `seq` that was heard last: a later beat takes it off, whereas one that left
//! stays gone.

use crate::choice;
use crate::instance::{Instance, Status};
use crate::peers::InstanceRecord;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Bound;

/// Instances that are gone are remembered for so long, so that a late beat does not raise them.
const TOMBSTONE_MS: u64 = 600_000;
/// And no more of them than these.
const TOMBSTONES: usize = 10_000;
/// A instance that has been gone for longer is not told to a registry that comes (back): no beat is so late.
const LATE_MS: u64 = 60_000;
/// Ends of a cold time that are later by no more, or earlier, are the same, told by a server with some delay.
const LATER_MS: u64 = 50;
const EARLIER_MS: u64 = 250;

/// What is known of one instance.
#[derive(Clone, Debug)]
pub struct Row {
    /// With the standing that the server said, and no `cold_ms`.
    instance: Instance,
    expired: bool,
    /// Where it beats, if that is known.
    pub owner: Option<Ipv4Addr>,
    /// On the local clock.
    pub cold_until: u64,
    /// When it, or somebody who knows it, was heard last.
    pub heard: u64,
    /// Its zone was just taken back: before this time, no word makes it less cold.
    presumed_until: u64,
    /// A majority of the registries has the standing that the server said.
    pub kept: bool,
    /// When it was found to be gone.
    gone_at: u64,
}

impl Row {
    /// How it stands, all in all.
    pub fn status(&self) -> Status {
        if self.expired {
            Status::Gone
        } else {
            self.instance.status
        }
    }

    /// What the server itself said.
    pub fn said(&self) -> Status {
        self.instance.status
    }

    /// The instance, for a limiter.
    pub fn instance(&self, now: u64) -> Instance {
        Instance {
            status: self.status(),
            cold_ms: self.cold_ms(now),
            ..self.instance.clone()
        }
    }

    /// For another registry.
    pub fn told(&self, now: u64) -> InstanceRecord {
        let instance = Instance {
            cold_ms: self.cold_ms(now),
            ..self.instance.clone()
        };
        InstanceRecord {
            instance,
            expired: self.expired,
            owner: self.owner,
        }
    }

    fn cold_ms(&self, now: u64) -> u32 {
        u32::try_from(self.cold_until.saturating_sub(now)).unwrap_or(u32::MAX)
    }

    /// What limiters see of it, time aside.
    fn seen(&self) -> (Status, SocketAddr, u32) {
        (self.status(), self.instance.address, self.instance.slots)
    }

    fn cool(&mut self, now: u64, until: u64) -> bool {
        let until = if now < self.presumed_until {
            until.max(self.cold_until)
        } else {
            until
        };
        let (until, known) = (until.max(now), self.cold_until.max(now));
        let differs = until > known + LATER_MS || known > until + EARLIER_MS;
        if differs {
            self.cold_until = until;
        }
        differs
    }
}

/// What became of what was told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effect {
    /// The instance was not known.
    pub new: bool,
    /// What limiters see has changed.
    pub changed: bool,
    /// It beats at another registry than before.
    pub moved: bool,
    /// The server is now known to have said that it ends.
    pub ends: bool,
}

/// All instances, by id.
#[derive(Clone, Debug, Default)]
pub struct Instances {
    rows: BTreeMap<String, Row>,
    /// Those that are gone, the oldest first.
    tombstones: VecDeque<(u64, String)>,
    /// Guards against words that come late are off; see [`crate::guards::Guards::rises`].
    pub(crate) falls: bool,
}

impl Instances {
    /// One of them.
    pub fn get(&self, id: &str) -> Option<&Row> {
        self.rows.get(id)
    }

    /// All, with those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Row)> {
        self.rows.iter()
    }

    /// All behind an id.
    pub fn after(&self, from: Bound<&str>) -> impl Iterator<Item = (&String, &Row)> {
        self.rows.range::<str, _>((from, Bound::Unbounded))
    }

    /// As it is told to limiters; one that is forgotten is gone.
    pub fn instance(&self, now: u64, id: &str) -> Instance {
        self.rows
            .get(id)
            .map_or_else(|| unknown(id), |row| row.instance(now))
    }

    /// What a registry that comes (back) needs to know.
    pub fn table(&self, now: u64) -> Vec<InstanceRecord> {
        let recent = |row: &&Row| row.status() != Status::Gone || now - row.gone_at < LATE_MS;
        self.rows
            .values()
            .filter(recent)
            .map(|row| row.told(now))
            .collect()
    }

    /// Those that beat at this registry and are not gone.
    pub fn owned(&self, owner: Ipv4Addr) -> impl Iterator<Item = (&String, &Row)> {
        let here = move |row: &Row| row.owner == Some(owner) && row.status() != Status::Gone;
        self.rows.iter().filter(move |(_, row)| here(row))
    }

    /// Of what an owner says about its own: the same in two tables if they agree on it.
    pub fn digest(&self, owner: Ipv4Addr) -> u64 {
        let one =
            |(id, row): (&String, &Row)| choice::hash(&[id.as_bytes(), &[row.status() as u8]]);
        self.owned(owner).map(one).fold(0, |all, one| all ^ one)
    }

    /// Takes what is told of an instance: by a server's beat (`owner` is this registry), by another registry, or
    /// by a limiter.
    pub fn merge(&mut self, now: u64, told: InstanceRecord) -> Effect {
        let cold_until = now + u64::from(told.instance.cold_ms);
        let Some(row) = self.rows.get_mut(&told.instance.id) else {
            let row = Row {
                expired: told.expired,
                owner: told.owner,
                cold_until,
                heard: now,
                presumed_until: 0,
                kept: false,
                gone_at: now,
                instance: Instance {
                    cold_ms: 0,
                    ..told.instance
                },
            };
            let (id, gone) = (row.instance.id.clone(), row.status() == Status::Gone);
            let ends = row.said() > Status::Up;
            if gone {
                self.tombstones.push_back((now, id.clone()));
            }
            self.rows.insert(id, row);
            return Effect {
                new: true,
                changed: true,
                moved: told.owner.is_some(),
                ends,
            };
        };
        let (seen, owner) = (row.seen(), row.owner);
        let mut changed = false;
        let status = if self.falls {
            told.instance.status
        } else {
            row.instance.status.max(told.instance.status)
        };
        let ends = status > row.instance.status;
        row.kept &= !ends;
        if told.instance.seq > row.instance.seq {
            row.expired = told.expired;
            row.owner = told.owner.or(row.owner);
            row.heard = now;
            changed |= row.cool(now, cold_until);
            // A word without the rest (a leave of an instance that nobody knew) takes nothing away.
            if !told.instance.service.is_empty() {
                row.instance = Instance {
                    cold_ms: 0,
                    ..told.instance
                };
            }
        } else {
            if told.instance.seq == row.instance.seq {
                row.expired |= told.expired;
                changed |= row.cool(now, cold_until.max(row.cold_until));
            }
            if row.instance.service.is_empty() {
                row.instance = Instance {
                    cold_ms: 0,
                    seq: row.instance.seq,
                    ..told.instance
                };
            }
        }
        row.instance.status = status;
        changed |= row.seen() != seen;
        if seen.0 != Status::Gone && row.status() == Status::Gone {
            row.gone_at = now;
            self.tombstones.push_back((now, row.instance.id.clone()));
        }
        Effect {
            new: false,
            changed,
            moved: row.owner != owner,
            ends,
        }
    }

    /// A server has said that it ends; before `drain` or of an instance that nobody knows, too.
    pub fn leave(&mut self, now: u64, id: &str) -> Effect {
        let row = self.rows.get(id);
        let told = row.map_or_else(
            || InstanceRecord {
                instance: unknown(id),
                expired: false,
                owner: None,
            },
            |row| InstanceRecord {
                expired: false,
                ..row.told(now)
            },
        );
        self.merge(
            now,
            InstanceRecord {
                instance: Instance {
                    status: Status::Gone,
                    ..told.instance
                },
                ..told
            },
        )
    }

    /// A majority has what the server said, if it still says the same.
    pub fn keep(&mut self, id: &str, status: Status) {
        if let Some(row) = self
            .rows
            .get_mut(id)
            .filter(|row| row.instance.status == status)
        {
            row.kept = true;
        }
    }

    /// Nobody is known to own it any more; its time runs from now.
    pub fn disown(&mut self, now: u64, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            (row.owner, row.heard) = (None, now);
        }
    }

    /// It was not heard for too long.
    pub fn expire(&mut self, now: u64, id: &str) {
        if let Some(row) = self
            .rows
            .get_mut(id)
            .filter(|row| row.status() != Status::Gone)
        {
            (row.expired, row.gone_at) = (true, now);
            self.tombstones.push_back((now, id.to_string()));
        }
    }

    /// A new instance has an address: others that had it are gone, even if they said nothing.
    pub fn displace(&mut self, now: u64, id: &str) -> Vec<String> {
        let Some(address) = self.rows.get(id).map(|row| row.instance.address) else {
            return Vec::new();
        };
        let there = |(other, row): &(&String, &Row)| {
            row.instance.address == address && *other != id && row.status() != Status::Gone
        };
        let displaced: Vec<String> = self
            .rows
            .iter()
            .filter(there)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &displaced {
            self.expire(now, id);
        }
        displaced
    }

    /// A zone was taken back: these of its servers count as cold for so long by service. Until `presumed_until` no
    /// word makes them less so, as it may be from before.
    pub fn presume_cold(
        &mut self,
        now: u64,
        zone: &str,
        presumed_until: u64,
        which: impl Fn(&str, &Row) -> bool,
        warmup: impl Fn(&str) -> u64,
    ) -> Vec<String> {
        let mut changed = Vec::new();
        for (id, row) in &mut self.rows {
            if row.instance.zone == zone && row.status() != Status::Gone && which(id, row) {
                row.presumed_until = presumed_until;
                let until = row.cold_until.max(now + warmup(&row.instance.service));
                if row.cool(now, until) {
                    changed.push(id.clone());
                }
            }
        }
        changed
    }

    /// Forgets those that have been gone for long.
    pub fn forget(&mut self, now: u64) {
        while let Some((at, id)) = self.tombstones.front() {
            if now.saturating_sub(*at) < TOMBSTONE_MS && self.tombstones.len() <= TOMBSTONES {
                break;
            }
            // One that was raised and is gone again has a later tombstone.
            let same = |row: &Row| row.status() == Status::Gone && row.gone_at == *at;
            if self.rows.get(id).is_some_and(same) {
                self.rows.remove(id);
            }
            self.tombstones.pop_front();
        }
    }
}

/// A instance of which nothing but its end is known.
fn unknown(id: &str) -> Instance {
    Instance {
        id: id.to_string(),
        service: String::new(),
        address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        zone: String::new(),
        slots: 0,
        status: Status::Gone,
        seq: 0,
        cold_ms: 0,
    }
}
