//! The servers that this limiter knows, and which of them may get work now.
//!
//! Of two messages of one life the later standing stands, then the higher `seq`, whatever comes last; so a
//! late `up` after `drain` has no effect. A limiter keeps what it knew: only a complete snapshot takes away
//! what it does not name.

use crate::guards::Guards;
use emberpin_watch::life::{Life, Standing};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// Lives that have left and are remembered: an older message must not raise them.
const REMEMBERED: usize = 4_096;
/// How long a server of a service that is not known is taken to stay cold.
const WARMUP_MS: f64 = 10_000.0;

/// What a service says of its cold servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmth {
    /// How long they stay cold, in milliseconds.
    pub warmup_ms: f64,
    /// Requests a second that one bears.
    pub per_s: f64,
}

/// What a server may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Work {
    /// Requests.
    Usable,
    /// Nothing new.
    Held,
    /// Nothing new, and nothing more will come of it.
    Gone,
}

/// What a host that keeps connections to servers has to learn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Whose server.
    pub service: String,
    /// Its life.
    pub id: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it may get.
    pub work: Work,
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
    life: Life,
    /// On the local clock.
    cold_until: f64,
    returned: Option<Returned>,
    /// The highest `seq` at which its address was found to be another's.
    wrong: Option<u64>,
}

impl Entry {
    fn cold_until(&self) -> f64 {
        self.returned.map_or(self.cold_until, |returned| self.cold_until.max(returned.until))
    }

    fn wrong(&self) -> bool {
        self.wrong.is_some_and(|seq| self.life.seq <= seq)
    }
}

/// All lives that are known.
#[derive(Debug, Default)]
pub struct Fleet {
    beat_ms: f64,
    lives: HashMap<String, Entry>,
    left: HashMap<String, (Standing, u64)>,
    /// In the order in which they left.
    leaving: VecDeque<String>,
    evacuated: BTreeSet<String>,
    warmth: HashMap<String, Warmth>,
    touched: BTreeSet<String>,
    /// What the host was told last.
    known: BTreeMap<String, Change>,
    generation: u64,
    pub(crate) guards: Guards,
}

impl Fleet {
    /// Knows nobody. `beat_ms`: the period in which servers beat.
    pub fn new(beat_ms: f64) -> Fleet {
        Fleet { beat_ms, ..Fleet::default() }
    }

    /// What the services say of their cold servers.
    pub fn warmth(&mut self, warmth: HashMap<String, Warmth>) {
        self.warmth = warmth;
    }

    /// A service's word on its cold servers.
    pub fn warmth_of(&self, service: &str) -> Option<Warmth> {
        self.warmth.get(service).copied()
    }

    /// Lives as told now, with `cold_ms` from now on.
    pub fn tell(&mut self, now: f64, lives: &[Life]) {
        lives.iter().for_each(|life| self.merge(now, life));
    }

    /// All lives that a registry knows. A `complete` one takes away those that it does not name.
    pub fn snapshot(&mut self, now: f64, lives: &[Life], complete: bool) {
        self.tell(now, lives);
        if !complete {
            return;
        }
        let named: BTreeSet<&str> = lives.iter().map(|life| life.id.as_str()).collect();
        let gone: Vec<String> =
            self.lives.keys().filter(|id| !named.contains(id.as_str())).cloned().collect();
        for id in gone {
            self.remove(&id);
        }
    }

    fn merge(&mut self, now: f64, life: &Life) {
        let told = (life.standing, life.seq);
        if self.guards.rises && self.left.get(&life.id).is_some_and(|left| told <= *left) {
            return;
        }
        let Some(entry) = self.lives.get_mut(&life.id) else {
            self.enter(now, life);
            return;
        };
        let known = (entry.life.standing, entry.life.seq);
        if told < known && self.guards.rises {
            return;
        }
        let until = now + f64::from(life.cold_ms);
        // The same beat told again says nothing new of how long it takes; the later of both is the safe one.
        let newer = life.seq > entry.life.seq;
        let until = if newer { until } else { until.max(entry.cold_until) };
        if entry.returned.is_some_and(|returned| life.seq > returned.seq && now >= returned.heard_from) {
            entry.returned = None;
        }
        // A later standing may come with a lower number than was seen: the higher one stays known.
        let seq = entry.life.seq.max(life.seq);
        if told > known || !self.guards.rises {
            entry.life = Life { seq, ..life.clone() };
        }
        if until > entry.cold_until {
            self.generation += 1;
        }
        entry.cold_until = until;
        if life.standing == Standing::Gone {
            self.remove(&life.id);
        } else if told > known || !self.guards.rises {
            self.touch(&life.id);
        }
    }

    fn enter(&mut self, now: f64, life: &Life) {
        if life.standing == Standing::Gone {
            self.remember(&life.id, (life.standing, life.seq));
            return;
        }
        // Only what stands over how it left comes here; its place in the queue stays and does no harm.
        self.left.remove(&life.id);
        let cold_until = now + f64::from(life.cold_ms);
        let entry = Entry { life: life.clone(), cold_until, returned: None, wrong: None };
        self.lives.insert(life.id.clone(), entry);
        self.touch(&life.id);
    }

    fn remove(&mut self, id: &str) {
        if let Some(entry) = self.lives.remove(id) {
            self.remember(id, (entry.life.standing, entry.life.seq));
            self.touch(id);
        }
    }

    fn remember(&mut self, id: &str, how: (Standing, u64)) {
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
    pub fn evacuated(&mut self, now: f64, zones: BTreeSet<String>) {
        if zones == self.evacuated {
            return;
        }
        let before = std::mem::replace(&mut self.evacuated, zones);
        let ids: Vec<String> = self.lives.keys().cloned().collect();
        for id in ids {
            let Some(entry) = self.lives.get_mut(&id) else { continue };
            let (was, is) = (before.contains(&entry.life.zone), self.evacuated.contains(&entry.life.zone));
            if was && !is && self.guards.returned {
                let warmup =
                    self.warmth.get(&entry.life.service).map_or(WARMUP_MS, |warmth| warmth.warmup_ms);
                entry.returned = Some(Returned {
                    until: now + warmup,
                    heard_from: now + self.beat_ms,
                    seq: entry.life.seq,
                });
            }
            if was != is {
                self.touch(&id);
            }
        }
    }

    /// A server answered 421: this life is not at its address. It gets nothing until it is told with a higher
    /// `seq`.
    pub fn wrong_instance(&mut self, id: &str) {
        if let Some(entry) = self.lives.get_mut(id) {
            entry.wrong = Some(entry.life.seq);
            self.touch(id);
        }
    }

    /// What a life may get.
    pub fn work(&self, id: &str) -> Work {
        match self.lives.get(id) {
            None => Work::Gone,
            Some(entry) if entry.wrong() => Work::Gone,
            Some(entry) if entry.life.standing != Standing::Up => Work::Held,
            Some(entry) if self.evacuated.contains(&entry.life.zone) => Work::Held,
            Some(_) => Work::Usable,
        }
    }

    /// The life of this id.
    pub fn life(&self, id: &str) -> Option<&Life> {
        self.lives.get(id).map(|entry| &entry.life)
    }

    /// All lives that were not found wrong, to be told to a registry that knows less, each with what is left
    /// of its cold time.
    pub fn lives(&self, now: f64) -> Vec<Life> {
        let left = |entry: &Entry| (entry.cold_until() - now).clamp(0.0, f64::from(u32::MAX)) as u32;
        let told = |entry: &Entry| Life { cold_ms: left(entry), ..entry.life.clone() };
        self.lives.values().filter(|entry| !entry.wrong()).map(told).collect()
    }

    /// Whether a life is cold now.
    pub fn cold(&self, now: f64, id: &str) -> bool {
        self.lives.get(id).is_some_and(|entry| now < entry.cold_until())
    }

    /// A server has said in an answer for how much longer it is cold (`Cold-Ms`).
    pub fn cold_for(&mut self, now: f64, id: &str, cold_ms: f64) {
        if let Some(entry) = self.lives.get_mut(id) {
            if now + cold_ms > entry.cold_until {
                entry.cold_until = now + cold_ms;
                self.generation += 1;
            }
        }
    }

    /// Whether a service has a server that may get work; the coldness of a server is asked when a request is
    /// sent.
    pub fn usable(&self, service: &str) -> bool {
        self.lives.iter().any(|(id, entry)| entry.life.service == service && self.work(id) == Work::Usable)
    }

    /// What has changed for a host since it was last asked, by id.
    pub fn changes(&mut self) -> Vec<Change> {
        let touched = std::mem::take(&mut self.touched);
        let mut changes = Vec::new();
        for id in touched {
            let work = self.work(&id);
            let now = match (self.lives.get(&id), self.known.get(&id)) {
                (Some(Entry { life, .. }), _) => Change {
                    service: life.service.clone(),
                    id: id.clone(),
                    address: life.address,
                    zone: life.zone.clone(),
                    slots: life.slots,
                    work,
                },
                (None, Some(known)) => Change { work, ..known.clone() },
                (None, None) => continue,
            };
            if self.known.get(&id) == Some(&now) {
                continue;
            }
            let unheard = work == Work::Gone && !self.known.contains_key(&id);
            if work == Work::Gone {
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

    /// Lives that have left and are remembered.
    pub fn remembered(&self) -> usize {
        self.left.len()
    }

    fn touch(&mut self, id: &str) {
        self.touched.insert(id.into());
        self.generation += 1;
    }
}
