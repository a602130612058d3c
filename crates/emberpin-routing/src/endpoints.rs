//! The servers that this limiter knows, and which of them may get work now.
//!
//! Of two messages of one instance the later standing stands, then the higher `seq`, whatever comes last; so a
//! late `up` after `drain` has no effect. A limiter keeps what it knew: only a complete snapshot takes away
//! what it does not name.

use crate::guards::Guards;
use emberpin_membership::instance::{Instance, Status};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// Instances that have left and are remembered: an older message must not raise them.
const REMEMBERED: usize = 4_096;
/// How long a server of a service that is not known is taken to stay cold.
const WARMUP_MS: f64 = 10_000.0;

/// What a service says of its cold servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupProfile {
    /// How long they stay cold, in milliseconds.
    pub warmup_ms: f64,
    /// Requests a second that one bears.
    pub requests_per_second: f64,
}

/// What a server may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Availability {
    /// Requests.
    Available,
    /// Nothing new.
    Draining,
    /// Nothing new, and nothing more will come of it.
    Removed,
}

/// What a host that keeps connections to servers has to learn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// Whose server.
    pub service: String,
    /// Its instance.
    pub id: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it may get.
    pub availability: Availability,
}

/// Since an evacuation's end a server of that zone is cold, until a beat from behind it says how long it
/// really is.
#[derive(Clone, Copy, Debug)]
struct Returned {
    until: f64,
    /// Messages told before are not believed: their beat may be from before the end.
    heard_from: f64,
    seq: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    instance: Instance,
    /// On the local clock.
    cold_until: f64,
    returned: Option<Returned>,
    /// The highest `seq` at which its address was found to be another's.
    wrong: Option<u64>,
}

impl Entry {
    fn cold_until(&self) -> f64 {
        self.returned.map_or(self.cold_until, |returned| {
            self.cold_until.max(returned.until)
        })
    }

    fn wrong(&self) -> bool {
        self.wrong.is_some_and(|seq| self.instance.seq <= seq)
    }
}

/// All instances that are known.
#[derive(Debug, Default)]
pub struct EndpointTable {
    beat_ms: f64,
    instances: HashMap<String, Entry>,
    left: HashMap<String, (Status, u64)>,
    /// In the order in which they left.
    leaving: VecDeque<String>,
    evacuated: BTreeSet<String>,
    warmth: HashMap<String, WarmupProfile>,
    touched: BTreeSet<String>,
    /// What the host was told last.
    known: BTreeMap<String, EndpointChange>,
    generation: u64,
    pub(crate) guards: Guards,
}

impl EndpointTable {
    /// Knows nobody. `beat_ms`: the period in which servers beat.
    pub fn new(beat_ms: f64) -> EndpointTable {
        EndpointTable {
            beat_ms,
            ..EndpointTable::default()
        }
    }

    /// What the services say of their cold servers.
    pub fn set_warmup_profiles(&mut self, warmth: HashMap<String, WarmupProfile>) {
        self.warmth = warmth;
    }

    /// A service's word on its cold servers.
    pub fn warmup_profile(&self, service: &str) -> Option<WarmupProfile> {
        self.warmth.get(service).copied()
    }

    /// Instances as told now, with `cold_ms` from now on.
    pub fn update(&mut self, now: f64, instances: &[Instance]) {
        instances
            .iter()
            .for_each(|instance| self.merge(now, instance));
    }

    /// All instances that a registry knows. A `complete` one takes away those that it does not name.
    pub fn apply_snapshot(&mut self, now: f64, instances: &[Instance], complete: bool) {
        self.update(now, instances);
        if !complete {
            return;
        }
        let named: BTreeSet<&str> = instances
            .iter()
            .map(|instance| instance.id.as_str())
            .collect();
        let gone: Vec<String> = self
            .instances
            .keys()
            .filter(|id| !named.contains(id.as_str()))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id);
        }
    }

    fn merge(&mut self, now: f64, instance: &Instance) {
        let told = (instance.status, instance.seq);
        if self.guards.rises
            && self
                .left
                .get(&instance.id)
                .is_some_and(|left| told <= *left)
        {
            return;
        }
        let Some(entry) = self.instances.get_mut(&instance.id) else {
            self.enter(now, instance);
            return;
        };
        let known = (entry.instance.status, entry.instance.seq);
        if told < known && self.guards.rises {
            return;
        }
        let until = now + f64::from(instance.cold_ms);
        // The same beat told again says nothing new of how long it takes; the later of both is the safe one.
        let newer = instance.seq > entry.instance.seq;
        let until = if newer {
            until
        } else {
            until.max(entry.cold_until)
        };
        if entry
            .returned
            .is_some_and(|returned| instance.seq > returned.seq && now >= returned.heard_from)
        {
            entry.returned = None;
        }
        // A later standing may come with a lower number than was seen: the higher one stays known.
        let seq = entry.instance.seq.max(instance.seq);
        if told > known || !self.guards.rises {
            entry.instance = Instance {
                seq,
                ..instance.clone()
            };
        }
        if until > entry.cold_until {
            self.generation += 1;
        }
        entry.cold_until = until;
        if instance.status == Status::Gone {
            self.remove(&instance.id);
        } else if told > known || !self.guards.rises {
            self.touch(&instance.id);
        }
    }

    fn enter(&mut self, now: f64, instance: &Instance) {
        if instance.status == Status::Gone {
            self.remember(&instance.id, (instance.status, instance.seq));
            return;
        }
        // Only what stands over how it left comes here; its place in the queue stays and does no harm.
        self.left.remove(&instance.id);
        let cold_until = now + f64::from(instance.cold_ms);
        let entry = Entry {
            instance: instance.clone(),
            cold_until,
            returned: None,
            wrong: None,
        };
        self.instances.insert(instance.id.clone(), entry);
        self.touch(&instance.id);
    }

    fn remove(&mut self, id: &str) {
        if let Some(entry) = self.instances.remove(id) {
            self.remember(id, (entry.instance.status, entry.instance.seq));
            self.touch(id);
        }
    }

    fn remember(&mut self, id: &str, how: (Status, u64)) {
        if self.left.insert(id.into(), how).is_none() {
            self.leaving.push_back(id.into());
        }
        while self.leaving.len() > REMEMBERED {
            if let Some(oldest) = self.leaving.pop_front() {
                self.left.remove(&oldest);
            }
        }
    }

    /// The zones that are evacuated from now on; those that were and are not named have come back.
    pub fn set_evacuated_zones(&mut self, now: f64, zones: BTreeSet<String>) {
        if zones == self.evacuated {
            return;
        }
        let before = std::mem::replace(&mut self.evacuated, zones);
        let ids: Vec<String> = self.instances.keys().cloned().collect();
        for id in ids {
            let Some(entry) = self.instances.get_mut(&id) else {
                continue;
            };
            let (was, is) = (
                before.contains(&entry.instance.zone),
                self.evacuated.contains(&entry.instance.zone),
            );
            if was && !is && self.guards.returned {
                let warmup = self
                    .warmth
                    .get(&entry.instance.service)
                    .map_or(WARMUP_MS, |warmth| warmth.warmup_ms);
                entry.returned = Some(Returned {
                    until: now + warmup,
                    heard_from: now + self.beat_ms,
                    seq: entry.instance.seq,
                });
            }
            if was != is {
                self.touch(&id);
            }
        }
    }

    /// A server answered 421: this instance is not at its address. It gets nothing until it is told with a higher
    /// `seq`.
    pub fn mark_misdirected(&mut self, id: &str) {
        if let Some(entry) = self.instances.get_mut(id) {
            entry.wrong = Some(entry.instance.seq);
            self.touch(id);
        }
    }

    /// What an instance may get.
    pub fn availability(&self, id: &str) -> Availability {
        match self.instances.get(id) {
            None => Availability::Removed,
            Some(entry) if entry.wrong() => Availability::Removed,
            Some(entry) if entry.instance.status != Status::Up => Availability::Draining,
            Some(entry) if self.evacuated.contains(&entry.instance.zone) => Availability::Draining,
            Some(_) => Availability::Available,
        }
    }

    /// The instance of this id.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id).map(|entry| &entry.instance)
    }

    /// All instances that were not found wrong, to be told to a registry that knows less, each with what is left
    /// of its cold time.
    pub fn known_instances(&self, now: f64) -> Vec<Instance> {
        let left =
            |entry: &Entry| (entry.cold_until() - now).clamp(0.0, f64::from(u32::MAX)) as u32;
        let told = |entry: &Entry| Instance {
            cold_ms: left(entry),
            ..entry.instance.clone()
        };
        self.instances
            .values()
            .filter(|entry| !entry.wrong())
            .map(told)
            .collect()
    }

    /// Whether an instance is cold now.
    pub fn is_warming_up(&self, now: f64, id: &str) -> bool {
        self.instances
            .get(id)
            .is_some_and(|entry| now < entry.cold_until())
    }

    /// A server has said in an answer for how much longer it is cold (`Cold-Ms`).
    pub fn extend_warmup(&mut self, now: f64, id: &str, cold_ms: f64) {
        if let Some(entry) = self.instances.get_mut(id) {
            if now + cold_ms > entry.cold_until {
                entry.cold_until = now + cold_ms;
                self.generation += 1;
            }
        }
    }

    /// Whether a service has a server that may get work; the coldness of a server is asked when a request is
    /// sent.
    pub fn has_available(&self, service: &str) -> bool {
        self.instances.iter().any(|(id, entry)| {
            entry.instance.service == service && self.availability(id) == Availability::Available
        })
    }

    /// What has changed for a host since it was last asked, by id.
    pub fn take_changes(&mut self) -> Vec<EndpointChange> {
        let touched = std::mem::take(&mut self.touched);
        let mut changes = Vec::new();
        for id in touched {
            let availability = self.availability(&id);
            let now = match (self.instances.get(&id), self.known.get(&id)) {
                (Some(Entry { instance, .. }), _) => EndpointChange {
                    service: instance.service.clone(),
                    id: id.clone(),
                    address: instance.address,
                    zone: instance.zone.clone(),
                    slots: instance.slots,
                    availability,
                },
                (None, Some(known)) => EndpointChange {
                    availability,
                    ..known.clone()
                },
                (None, None) => continue,
            };
            if self.known.get(&id) == Some(&now) {
                continue;
            }
            let unheard = availability == Availability::Removed && !self.known.contains_key(&id);
            if availability == Availability::Removed {
                self.known.remove(&id);
            } else {
                self.known.insert(id, now.clone());
            }
            if !unheard {
                changes.push(now);
            }
        }
        changes
    }

    /// Rises whenever something changes that could forbid a send.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Instances that have left and are remembered.
    pub fn tombstones(&self) -> usize {
        self.left.len()
    }

    fn touch(&mut self, id: &str) {
        self.touched.insert(id.into());
        self.generation += 1;
    }
}
