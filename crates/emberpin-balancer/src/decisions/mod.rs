//! Every decision of a gateway. The interface (settings, events, actions) is `src/interface.rs`;
//! `src/gossip.rs` knows the bytes of peer messages only. A request meets admission, quotas, balancing,
//! attempts and health in turn. Source of the ordinary path: Roughan and Pearce, "A Martingale Analysis
//! of Hysteretic Overload Control"; see `docs/DESIGN.md`.

mod admission;
mod attempts;
mod balancing;
mod health;
mod peers;
mod quotas;

pub(crate) use admission::LEVELS;

use crate::gossip::{self, Entry};
use crate::interface::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

// ---- Constants of several modules. Each has its reason; none comes from a deployment's figures. ----

/// Share of the aim that waiting and service may take before a gateway calls itself congested.
const AIM_SHARE: f64 = 0.32;
/// Throughput is averaged over the first, and its peak remembered over the second time.
const RATE_TIME: Millis = 1_000.0;
const PEAK_TIME: Millis = 5_000.0;
/// No event for so long beyond the period is a gap of this gateway's own.
const GAP: Millis = 300.0;
/// Gossip and housekeeping period, or so long that gossip fills this share of the peers' intake; where
/// that would be longer than the second time, peers are too many to tell each.
const TICK: Millis = 100.0;
const MAIL_SHARE: f64 = 0.75;
const ALL_TOLD: Millis = 500.0;
/// No message from any peer for so long makes a gateway count alone.
const SILENT: Millis = 1_500.0;
/// Second attempts after one that may have run are held to this share of the requests.
const RETRY_SHARE: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;
/// A common start has so many over all gateways, and one each.
const RETRY_FLEET: f64 = 60.0;
/// The same log line appears once in this time at most.
const LOG_EVERY: Millis = 5_000.0;
const TICK_TOKEN: u64 = 0;

/// One gateway's decisions: feed it events, carry out its actions.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) rng: oorandom::Rand64,
    pub(crate) born: Millis,
    pub(crate) life: u64,
    /// The last event, and when the last gap of this gateway's own ended.
    pub(crate) seen: Option<Millis>,
    pub(crate) woke: Millis,
    pub(crate) ticked: Millis,
    pub(crate) servers: BTreeMap<ServerId, Backend>,
    /// Out of service by hand, and when servers were put back lately.
    pub(crate) banned: BTreeSet<ServerId>,
    pub(crate) returned: BTreeMap<ServerId, Millis>,
    pub(crate) requests: BTreeMap<RequestId, Open>,
    pub(crate) customers: BTreeMap<u64, Customer>,
    /// The life that each peer told last.
    pub(crate) peers: BTreeMap<u32, u64>,
    /// The group was seen to start together with this life.
    pub(crate) first: bool,
    /// Customers with something to tell, those kept here, and those that their keepers said to refuse.
    pub(crate) news: BTreeSet<u64>,
    pub(crate) kept: BTreeSet<u64>,
    pub(crate) advice: BTreeMap<u64, (f64, Millis)>,
    pub(crate) mail: Bucket,
    pub(crate) latency: Vec<Latencies>,
    pub(crate) load: Load,
    /// Mean aim of what was answered, and when a peer was last heard.
    pub(crate) aim: Millis,
    pub(crate) heard: Millis,
    /// When peers were heard again after a silence.
    pub(crate) joined: Millis,
    pub(crate) retries: f64,
    /// Another process of this gateway is there beside this one.
    pub(crate) paired: bool,
    pub(crate) logged: BTreeMap<&'static str, Millis>,
}

impl Gateway {
    /// A gateway that starts now and knows only its settings.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Gateway {
        let latency = settings.classes.iter().map(|c| Latency {
            mean: c.latency_target * 0.25,
            deviation: c.latency_target * 0.1,
        });
        Gateway {
            rng: oorandom::Rand64::new(u128::from(seed)),
            born: now,
            life: now.max(0.0) as u64,
            seen: None,
            woke: f64::NEG_INFINITY,
            ticked: now,
            servers: BTreeMap::new(),
            banned: BTreeSet::new(),
            returned: BTreeMap::new(),
            requests: BTreeMap::new(),
            customers: BTreeMap::new(),
            peers: BTreeMap::new(),
            first: false,
            news: BTreeSet::new(),
            kept: BTreeSet::new(),
            advice: BTreeMap::new(),
            mail: Bucket {
                level: 0.0,
                at: now,
            },
            latency: latency.map(Latencies::new).collect(),
            load: Load {
                warm_share: 1.0,
                cold_told: now - 2.0 * balancing::COLD_NEWS,
                ..Load::default()
            },
            aim: settings
                .classes
                .iter()
                .map(|c| c.latency_target)
                .fold(f64::INFINITY, f64::min),
            heard: f64::NEG_INFINITY,
            joined: f64::NEG_INFINITY,
            retries: (RETRY_FLEET / f64::from(settings.group_size.max(1))).clamp(1.0, RETRY_BURST),
            paired: false,
            logged: BTreeMap::new(),
            settings,
        }
    }

    /// How many servers are ejected as outliers now.
    pub fn ejected_count(&self, now: Millis) -> u32 {
        self.servers
            .values()
            .map(|server| u32::from(now < server.ejected_until))
            .sum()
    }

    /// Whether an operator took a server out of service, see [`Event::Maintenance`].
    pub fn is_in_maintenance(&self, server: ServerId) -> bool {
        self.banned.contains(&server)
    }

    /// The failure domains of a server; `None` for a server that is not known (any more).
    pub fn location(&self, server: ServerId) -> Option<Location> {
        self.servers
            .get(&server)
            .map(|server| server.info.location())
    }

    /// How many servers the endpoint list names, and how many of them get no requests now.
    pub fn pool_size(&self, now: Millis) -> PoolSize {
        let listed = self
            .servers
            .values()
            .filter(|server| server.info.status != ServerStatus::Removed);
        let avoided = |s: &&Backend| now < s.ejected_until || self.banned.contains(&s.info.id);
        PoolSize {
            listed: listed.clone().count(),
            avoided: listed.filter(avoided).count(),
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match self.seen.replace(now) {
            Some(seen) => self.notice_gap(now, now - seen),
            None => {
                actions.push(Action::SetTimer {
                    delay: self.period(),
                    token: TICK_TOKEN,
                });
                if self.settings.subscribe_servers {
                    actions.push(Action::WatchServers { on: true });
                }
            }
        }
        match event {
            Event::Request(request) => self.arrive(now, request, actions),
            Event::AttemptEnded(attempt) => {
                self.learn(now, &attempt, actions);
                self.conclude(now, &attempt, actions);
            }
            Event::ResponseStarted { request } => drop(self.finish(request)),
            Event::Abandoned { request } => {
                // Nobody waits for it any more: spares the server work that clients repeat elsewhere.
                let open = self
                    .finish(request)
                    .filter(|o| o.out.is_some() && self.settings.can_cancel);
                actions.extend(open.map(|o| Action::Cancel {
                    request,
                    attempt: o.attempts - 1,
                }));
            }
            Event::Timer { token: TICK_TOKEN } => self.tick(now, actions),
            Event::Membership(news) => self.membership(now, news),
            Event::Maintenance {
                server,
                out_of_service: out,
            } => self.maintain(now, server, out, actions),
            Event::PeerMessage { from, bytes } => self.hear(now, from, &bytes),
            Event::SiblingChanged { running: on } => self.paired = on,
            Event::SiblingUsage(spent) => self.share(now, spent),
            Event::Timer { .. } | Event::ProbeEnded { .. } | Event::CounterReply { .. } => {}
        }
    }

    /// A gateway that had no turn finds its timers late and all events in a pile: no fault of peers or
    /// servers, and what it had out has long ended. Harm: dropped timers make it forget what is out.
    fn notice_gap(&mut self, now: Millis, gap: Millis) {
        if gap > self.period() + GAP {
            self.woke = now;
            self.ticked = now;
            self.load.out = 0.0;
            self.heard += gap;
        }
    }

    fn log(&mut self, now: Millis, text: &'static str, actions: &mut Vec<Action>) {
        if self.logged.get(text).is_none_or(|at| now - at >= LOG_EVERY) {
            self.logged.insert(text, now);
            actions.push(Action::Log(text.to_string()));
        }
    }
}
