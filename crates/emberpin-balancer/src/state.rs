//! What a gateway remembers: plain data without decisions; `decisions` says what is done with it.

use crate::gossip::Entry;
use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A store of units: filled at a rate, capped at a burst.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Bucket {
    pub level: f64,
    pub at: Millis,
}

impl Bucket {
    pub fn fill(&mut self, now: Millis, rate: f64, burst: f64) -> f64 {
        self.level = (self.level + (now - self.at).max(0.0) * rate / 1000.0).min(burst);
        self.at = now;
        self.level
    }

    pub fn take(&mut self, units: f64, least: f64) {
        self.level = (self.level - units).max(least);
    }
}

/// What a gateway knows of one customer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Customer {
    pub plan: usize,
    pub gateways: GatewaySet,
    /// The peers that are told of its use, and whether this gateway is one of those that keep it.
    pub keepers: Vec<u32>,
    pub keeper: bool,
    pub quota: Bucket,
    /// Units held back from its store while no peer was heard: the part of the set's others.
    pub withheld: f64,
    pub ceiling: Bucket,
    /// Own units let in so far, and asked for since last told.
    pub own: f64,
    pub asked: f64,
    pub told_at: Millis,
    pub tell: u32,
    /// What each peer last told of its own units, and when.
    pub told: BTreeMap<u32, (f64, Millis)>,
    /// A keeper's fading sum of the units that the set was asked for, and the member to advise next.
    pub demand: f64,
    pub demand_at: Millis,
    pub since: Millis,
    pub cursor: u32,
    pub owed: u32,
    pub advised: Millis,
    pub open: u32,
    pub used: Millis,
}

impl Customer {
    /// Whether its set is too large for all to tell all.
    pub fn kept(&self) -> bool {
        self.keepers.len() + usize::from(self.keeper) < self.gateways.size as usize
    }

    pub fn count(&self, id: u64) -> Entry {
        Entry::Count {
            customer: id,
            plan: self.plan,
            first: self.gateways.first.0,
            size: self.gateways.size,
            units: self.own,
            asked: self.asked,
        }
    }
}

/// An outstanding attempt: when it was sent, and how long the like of it takes.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub at: Millis,
    pub usual: Millis,
}

/// A server as this gateway sees it.
#[derive(Debug)]
pub struct Backend {
    pub info: Server,
    /// The outstanding attempts.
    pub out: BTreeMap<(RequestId, u32), Sent>,
    /// Latency relative to the classes' means.
    pub ratio: f64,
    pub heard: Millis,
    pub queue: f64,
    pub strikes: f64,
    /// Share of its newest attempts that failed.
    pub faults: f64,
    pub ejected_until: Millis,
    pub ejection: Millis,
    pub cold: Bucket,
    /// Place of this gateway among all in the hashed order for this life of the server.
    pub rank: u32,
    /// Its place among all servers, as a part of a round.
    pub turn: f64,
}

impl Backend {
    pub fn new(info: Server, now: Millis) -> Backend {
        Backend {
            info,
            out: BTreeMap::new(),
            ratio: 1.0,
            heard: now,
            queue: 0.0,
            strikes: 0.0,
            faults: 0.0,
            ejected_until: now,
            ejection: 0.0,
            cold: Bucket {
                level: 0.0,
                at: now,
            },
            rank: 0,
            turn: 0.0,
        }
    }
}

/// What a gateway knows of the load.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Load {
    /// Attempts that may be out by the servers' own word, this gateway's part; 0 where they give none.
    pub reported_capacity: f64,
    /// The congestion level.
    pub level: usize,
    /// Answers since the last tick, their rate a second, and the remembered peak of the joint rate.
    pub answered: f64,
    pub rate: f64,
    pub peak: f64,
    /// Own attempts outstanding, smoothed.
    pub out: f64,
    /// How many answers the mean aim is of.
    pub aims: f64,
    /// When an answer last came well within its aim.
    pub quick: Millis,
    /// Mean latency of what was answered, over all classes.
    pub usual: Millis,
    /// Mean attempts outstanding and answers a second of peers.
    pub peers_out: f64,
    pub peers_rate: f64,
    /// What a warm server of size 1 carries: answers a second over all gateways; and the part of this
    /// gateway's own answers that came from warm servers.
    pub carry: f64,
    pub warm_share: f64,
    /// What waits at cold servers by their newest reports, when they last told, and how many times the guess they are held
    /// to bear for that.
    #[serde(default)]
    pub cold_waits: f64,
    #[serde(default)]
    pub cold_told: Millis,
    #[serde(default)]
    pub cold_times: f64,
}

/// A request that still owes an answer.
#[derive(Debug)]
pub struct Open {
    pub request: Request,
    pub deadline: Millis,
    pub attempts: u32,
    pub out: Option<ServerId>,
    pub sent: Millis,
    /// When and where the first attempt that may have run was sent.
    pub ran: Option<FirstRun>,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub struct FirstRun {
    pub sent_at: Millis,
    pub location: Location,
}

/// The servers that a repeat of a keyed request may go to: those that know its key from the first attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryScope {
    pub scope: DedupScope,
    /// Where the first attempt was sent.
    pub location: Location,
}

impl RetryScope {
    pub fn contains(&self, server: &Server) -> bool {
        match self.scope {
            DedupScope::All => true,
            DedupScope::Zone => server.zone == self.location.zone,
            DedupScope::Cell => server.cell == self.location.cell,
        }
    }
}

/// Mean and mean deviation of a latency over all servers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Latency {
    pub mean: Millis,
    pub deviation: Millis,
}

impl Latency {
    fn learn(&mut self, elapsed: Millis, gain: f64) {
        self.deviation += ((elapsed - self.mean).abs() - self.deviation) * gain;
        self.mean += (elapsed - self.mean) * gain;
    }
}

/// Units are told apart up to this number.
const SIZES: usize = 8;
/// So many answers of one size weigh as much as what is known of the whole class.
const FEW: f64 = 4.0;

/// What the answers of one class take, by the units that its requests count. Guards against taking the
/// work for the same within a class: where units go by the work of a request, a large one looks like a
/// fault, of its server or its own, to whoever knows the mean of its class only.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Latencies {
    pub all: Latency,
    seen: f64,
    /// For each number of units: how many answers were seen, and what they took.
    sizes: [(f64, Latency); SIZES],
}

impl Latencies {
    pub fn new(first: Latency) -> Latencies {
        Latencies {
            all: first,
            seen: 0.0,
            sizes: [(0.0, first); SIZES],
        }
    }

    fn size(units: f64) -> usize {
        (units.max(1.0).round() as usize).min(SIZES) - 1
    }

    /// What a request of so many units takes: nearer to its own size the more of it was seen.
    pub fn of(&self, units: f64) -> Latency {
        let (seen, own) = self.sizes[Latencies::size(units)];
        let weight = seen / (seen + FEW);
        let mix = |all: Millis, own: Millis| all + (own - all) * weight;
        Latency {
            mean: mix(self.all.mean, own.mean),
            deviation: mix(self.all.deviation, own.deviation),
        }
    }

    /// Takes an answer in; the newest counts for this part.
    pub fn learn(&mut self, units: f64, elapsed: Millis, gain: f64) {
        self.seen += 1.0;
        self.all.learn(elapsed, gain.max(1.0 / self.seen));
        let (seen, own) = &mut self.sizes[Latencies::size(units)];
        *seen += 1.0;
        own.learn(elapsed, gain.max(1.0 / *seen));
    }
}

/// A well-mixed hash, the same at every gateway.
pub fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
