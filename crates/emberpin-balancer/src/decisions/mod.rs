//! Every decision of a gateway, one file for each concern. An event passes from [`Gateway::handle`] to the
//! function that is named for what happened; a request meets admission, congestion, quotas, balancing and
//! attempts in turn.
//!
//! The ordinary path follows Roughan and Pearce, "A Martingale Analysis of Hysteretic Overload Control";
//! `docs/DESIGN.md` says what is not from there.

mod admission;
mod announcements;
mod attempts;
mod balancing;
mod congestion;
mod health;
mod housekeeping;
mod membership;
mod peers;
mod quotas;
mod slow_start;

pub(crate) use congestion::CONGESTION_LEVELS;

use crate::gossip::{self, Entry};
use crate::interface::{
    Action, AttemptResult, Class, CustomerId, DedupScope, Event, GatewayId, GatewaySet,
    Idempotency, MembershipUpdate, Millis, Outcome, Plan, PlanId, PriorAttempt, Request, RequestId,
    Server, ServerId, ServerStatus, Settings, Usage,
};
use crate::state::{
    mix, Advice, ClassLatency, CustomerState, FirstRun, InFlightAttempt, Latency, LoadState,
    PeerCount, PendingRequest, RetryScope, ServerState, TokenBucket,
};
use std::collections::{BTreeMap, BTreeSet};

// Constants of several files. Each has its reason; none comes from a deployment's figures.

/// Share of the latency target that queueing and service may take before a gateway counts as congested.
const ATTEMPT_TARGET_SHARE: f64 = 0.32;
/// Throughput is averaged over this time.
const THROUGHPUT_WINDOW: Millis = 1_000.0;
/// The peak of the throughput is remembered for this time.
const PEAK_WINDOW: Millis = 5_000.0;
/// Period of gossip and housekeeping, where peers can receive that often.
const TICK_PERIOD: Millis = 100.0;
/// Share of the messages that peers can receive which gossip may fill.
const GOSSIP_SHARE: f64 = 0.75;
/// Longest gossip period. Where it would have to be longer, peers are too many for each to be sent every
/// announcement.
const MAX_GOSSIP_PERIOD: Millis = 500.0;
/// A gateway that receives no message of any peer for this time counts as isolated.
const ISOLATION_TIMEOUT: Millis = 1_500.0;
/// A gateway that gets no event for this time beyond the period was paused itself.
const PAUSE_THRESHOLD: Millis = 300.0;
/// Retries of what may have run are held to this share of the requests.
const RETRY_BUDGET_RATIO: f64 = 0.1;
/// Retries that the budget holds at most.
const RETRY_BUDGET_MAX: f64 = 10.0;
/// Retries in the budgets of all gateways together at a common start; each has one at least.
const INITIAL_GROUP_RETRIES: f64 = 60.0;
/// Before any answer, requests are taken to need this share of their latency target.
const INITIAL_LATENCY_SHARE: f64 = 0.25;
/// And to deviate by this share of it.
const INITIAL_DEVIATION_SHARE: f64 = 0.1;
/// The same line is logged once in this time at most.
const LOG_INTERVAL: Millis = 5_000.0;
/// Token of the only timer, which calls for the next tick.
const TICK_TOKEN: u64 = 0;

/// One gateway's decisions: feed it events and carry out the actions that it appends.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: Settings,
    /// The only source of randomness. The order of draws is part of the behaviour: equal events give equal
    /// actions.
    pub(crate) rng: oorandom::Rand64,
    pub(crate) started_at: Millis,
    /// Start of this incarnation in whole milliseconds. Peers take a higher one for a restart and begin to
    /// count anew.
    pub(crate) incarnation: u64,
    /// When the last event came; `None` before the first.
    pub(crate) last_event_at: Option<Millis>,
    /// When the last pause of this gateway ended. What was sent before is no measure of the load or the
    /// servers.
    pub(crate) resumed_at: Millis,
    pub(crate) ticked_at: Millis,
    pub(crate) servers: BTreeMap<ServerId, ServerState>,
    /// Servers that an operator took out of service.
    pub(crate) in_maintenance: BTreeSet<ServerId>,
    /// When servers were lately put back into service. They count as started then.
    pub(crate) returned_at: BTreeMap<ServerId, Millis>,
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    /// Customers by their hash within [`gossip::ID_MASK`].
    pub(crate) customers: BTreeMap<u64, CustomerState>,
    /// The newest incarnation of each peer.
    pub(crate) peer_incarnations: BTreeMap<GatewayId, u64>,
    /// Whether the peers were seen to have started together with this gateway, so that no quota was used
    /// before.
    pub(crate) common_start: bool,
    /// Customers whose counts are to be announced.
    pub(crate) unannounced: BTreeSet<u64>,
    /// Customers of whose few owners this gateway is one.
    pub(crate) owned: BTreeSet<u64>,
    /// The newest advice of a customer's owners.
    pub(crate) advice: BTreeMap<u64, Advice>,
    /// Messages that may be sent to peers.
    pub(crate) message_budget: TokenBucket,
    /// Learned latencies, at the index of the class.
    pub(crate) latencies: Vec<ClassLatency>,
    pub(crate) load: LoadState,
    /// Mean latency target of what was answered.
    pub(crate) mean_latency_target: Millis,
    /// When a message of a peer last came.
    pub(crate) last_peer_message_at: Millis,
    /// When peers were heard again after this gateway was isolated.
    pub(crate) rejoined_at: Millis,
    /// Retries of what may have run that are left.
    pub(crate) retry_budget: f64,
    /// Whether a second process of this gateway runs beside this one.
    pub(crate) sibling_running: bool,
    /// When each line was last logged.
    pub(crate) logged_at: BTreeMap<&'static str, Millis>,
}

impl Gateway {
    /// A gateway that starts now and knows only its settings. Equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Gateway {
        let group_size = f64::from(settings.group_size.max(1));
        Gateway {
            rng: oorandom::Rand64::new(u128::from(seed)),
            started_at: now,
            incarnation: now.max(0.0) as u64,
            last_event_at: None,
            resumed_at: f64::NEG_INFINITY,
            ticked_at: now,
            servers: BTreeMap::new(),
            in_maintenance: BTreeSet::new(),
            returned_at: BTreeMap::new(),
            pending: BTreeMap::new(),
            customers: BTreeMap::new(),
            peer_incarnations: BTreeMap::new(),
            common_start: false,
            unannounced: BTreeSet::new(),
            owned: BTreeSet::new(),
            advice: BTreeMap::new(),
            message_budget: TokenBucket {
                tokens: 0.0,
                updated_at: now,
            },
            latencies: settings.classes.iter().map(initial_latency).collect(),
            load: LoadState {
                warm_share: 1.0,
                cold_reported_at: now - 2.0 * slow_start::COLD_REPORT_VALIDITY,
                ..LoadState::default()
            },
            mean_latency_target: settings
                .classes
                .iter()
                .map(|class| class.latency_target)
                .fold(f64::INFINITY, f64::min),
            last_peer_message_at: f64::NEG_INFINITY,
            rejoined_at: f64::NEG_INFINITY,
            retry_budget: (INITIAL_GROUP_RETRIES / group_size).clamp(1.0, RETRY_BUDGET_MAX),
            sibling_running: false,
            logged_at: BTreeMap::new(),
            settings,
        }
    }

    /// Takes one event and appends what has to be done to `actions`. It never fails: what makes no sense,
    /// such as the end of an attempt that nobody knows, is ignored.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match self.last_event_at.replace(now) {
            Some(last) => self.detect_pause(now, now - last),
            None => self.on_first_event(actions),
        }
        match event {
            Event::Request(request) => self.on_request(now, request, actions),
            Event::AttemptEnded(result) => {
                // First what is learned of the server, as it decides where the request goes next.
                self.learn_from_attempt(now, &result, actions);
                self.on_attempt_ended(now, &result, actions);
            }
            Event::ResponseStarted { request } => drop(self.close_request(request)),
            Event::Abandoned { request } => self.on_abandoned(request, actions),
            Event::Timer { token: TICK_TOKEN } => self.on_tick(now, actions),
            Event::Membership(update) => self.on_membership(now, update),
            Event::Maintenance {
                server,
                out_of_service: true,
            } => self.take_out_of_service(now, server, actions),
            Event::Maintenance {
                server,
                out_of_service: false,
            } => self.return_to_service(now, server),
            Event::PeerMessage { from, bytes } => self.on_peer_message(now, from, &bytes),
            Event::SiblingChanged { running } => self.sibling_running = running,
            Event::SiblingUsage(usage) => self.on_sibling_usage(now, usage),
            Event::Timer { .. } | Event::ProbeEnded { .. } | Event::CounterReply { .. } => {}
        }
    }

    fn on_first_event(&self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            delay: self.gossip_period(),
            token: TICK_TOKEN,
        });
        if self.settings.subscribe_servers {
            actions.push(Action::WatchServers { on: true });
        }
    }

    /// Detects a pause of this gateway itself: it finds its timers late and all events in a pile. That is
    /// no fault of peers or servers, and what it had in flight has long ended. Harm: a host that drops
    /// timers makes it forget what is in flight.
    fn detect_pause(&mut self, now: Millis, gap: Millis) {
        if gap > self.gossip_period() + PAUSE_THRESHOLD {
            self.resumed_at = now;
            self.ticked_at = now;
            self.load.in_flight = 0.0;
            self.last_peer_message_at += gap;
        }
    }

    fn log(&mut self, now: Millis, text: &'static str, actions: &mut Vec<Action>) {
        let due = |at: &Millis| now - *at >= LOG_INTERVAL;
        if self.logged_at.get(text).is_none_or(due) {
            self.logged_at.insert(text, now);
            actions.push(Action::Log(text.to_string()));
        }
    }

    /// How many gateways there are, itself included.
    fn group_size(&self) -> f64 {
        f64::from(self.settings.group_size.max(1))
    }
}

/// What is taken for the latencies of a class before any answer.
pub(crate) fn initial_latency(class: &Class) -> ClassLatency {
    ClassLatency::new(Latency {
        mean: class.latency_target * INITIAL_LATENCY_SHARE,
        deviation: class.latency_target * INITIAL_DEVIATION_SHARE,
    })
}
