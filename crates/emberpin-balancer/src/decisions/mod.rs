//! All decisions of a gateway, one file for each concern. [`Gateway::handle`] dispatches each event to the
//! method that is named after it. A request passes through admission control, congestion control, quotas,
//! load balancing and attempts, in this order.
//!
//! A group of gateways is *small* if every peer can be sent every announcement, and *large* if that would
//! exceed what peers can receive (`Gateway::gossips_to_all`). Gateways of a large group exchange less: a
//! few owners handle each customer's quota, and loads are smoothed over time.
//!
//! Congestion control follows Roughan and Pearce, "A Martingale Analysis of Hysteretic Overload Control";
//! `docs/DESIGN.md` lists what differs from that paper.

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
    mix_hash, Advice, ClassLatency, CustomerState, FirstRun, InFlightAttempt, Latency, LoadState,
    PeerCount, PendingRequest, RetryScope, ServerState, TokenBucket,
};
use std::collections::{BTreeMap, BTreeSet};

// Constants that several files use. None is derived from the figures of a deployment.

/// Share of the latency target that queueing and service of one attempt may take before a gateway counts as
/// congested.
const ATTEMPT_TARGET_SHARE: f64 = 0.32;
/// Time over which throughput is averaged.
const THROUGHPUT_WINDOW: Millis = 1_000.0;
/// Time constant with which the recorded peak of the throughput decays.
const PEAK_WINDOW: Millis = 5_000.0;
/// Shortest period of gossip and housekeeping. It is longer where peers cannot receive messages that often.
const TICK_PERIOD: Millis = 100.0;
/// Share of a peer's message rate that gossip may use.
const GOSSIP_SHARE: f64 = 0.75;
/// Longest gossip period at which every peer is sent every announcement. A group that would need a longer
/// one uses a few owners for each customer instead.
const MAX_GOSSIP_PERIOD: Millis = 500.0;
/// A gateway that has received no peer message for this time counts as isolated.
const ISOLATION_TIMEOUT: Millis = 1_500.0;
/// Time without any event, beyond the gossip period, after which a gateway concludes that its own process
/// was paused.
const PAUSE_THRESHOLD: Millis = 300.0;
/// Share of the requests that may be retried after an attempt that may have run.
const RETRY_BUDGET_RATIO: f64 = 0.1;
/// Capacity of the retry budget, in retries.
const RETRY_BUDGET_MAX: f64 = 10.0;
/// Retries in the budgets of all gateways together at a common start; each gateway starts with at least
/// one.
const INITIAL_GROUP_RETRIES: f64 = 60.0;
/// Mean latency that is assumed before the first answer, as a share of the latency target.
const INITIAL_LATENCY_SHARE: f64 = 0.25;
/// Mean deviation that is assumed before the first answer, as a share of the latency target.
const INITIAL_DEVIATION_SHARE: f64 = 0.1;
/// Shortest time between two log lines with the same text.
const LOG_INTERVAL: Millis = 5_000.0;
/// Token of the only timer; it triggers the next tick.
const TICK_TOKEN: u64 = 0;

/// The state machine of one gateway: [`Gateway::handle`] receives events and appends the actions that the
/// host has to carry out.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: Settings,
    /// The only source of randomness. The order of draws is part of the behaviour: equal seeds and events
    /// give equal actions.
    pub(crate) rng: oorandom::Rand64,
    pub(crate) started_at: Millis,
    /// Start of this incarnation in whole milliseconds. Peers treat a higher value as a restart and reset
    /// the counts of this gateway.
    pub(crate) incarnation: u64,
    /// When the last event was received; `None` before the first.
    pub(crate) last_event_at: Option<Millis>,
    /// When the last pause of this gateway's process ended. Results of attempts sent before say nothing
    /// about the load or the servers.
    pub(crate) resumed_at: Millis,
    /// When the last tick ran.
    pub(crate) ticked_at: Millis,
    pub(crate) servers: BTreeMap<ServerId, ServerState>,
    /// Servers that an operator has taken out of service.
    pub(crate) in_maintenance: BTreeSet<ServerId>,
    /// When an operator put servers back into service, for as long as their slow start lasts. They count as
    /// started at that time.
    pub(crate) returned_at: BTreeMap<ServerId, Millis>,
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    /// Customers, keyed by their hash within [`gossip::ID_MASK`].
    pub(crate) customers: BTreeMap<u64, CustomerState>,
    /// The newest incarnation of each peer.
    pub(crate) peer_incarnations: BTreeMap<GatewayId, u64>,
    /// Whether this gateway and its peers are known to have started together, so that no quota was used
    /// before.
    pub(crate) common_start: bool,
    /// Customers whose counts have yet to be announced to peers.
    pub(crate) unannounced: BTreeSet<u64>,
    /// Customers that have only a few owners, of which this gateway is one.
    pub(crate) owned: BTreeSet<u64>,
    /// The newest advice from a customer's owners.
    pub(crate) advice: BTreeMap<u64, Advice>,
    /// Budget of messages to peers.
    pub(crate) message_budget: TokenBucket,
    /// Learned latencies, indexed by class.
    pub(crate) latencies: Vec<ClassLatency>,
    pub(crate) load: LoadState,
    /// Mean latency target of the answered requests.
    pub(crate) mean_latency_target: Millis,
    /// When a peer message was last received.
    pub(crate) last_peer_message_at: Millis,
    /// When a peer message first arrived after this gateway had been isolated.
    pub(crate) rejoined_at: Millis,
    /// Retries that are left for requests that may have run.
    pub(crate) retry_budget: f64,
    /// Whether a second process of this gateway is running, as during an upgrade.
    pub(crate) sibling_running: bool,
    /// When each log text was last written.
    pub(crate) logged_at: BTreeMap<&'static str, Millis>,
}

impl Gateway {
    /// Creates a gateway that starts now, without any learned state. Equal seeds and events give equal
    /// actions.
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
                warming_reported_at: now - 2.0 * slow_start::QUEUE_REPORT_VALIDITY,
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

    /// Handles one event and appends the resulting actions to `actions`. It never fails: an event without a
    /// meaning, such as the end of an unknown attempt, is ignored.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match self.last_event_at.replace(now) {
            Some(last) => self.detect_pause(now, now - last),
            None => self.on_first_event(actions),
        }
        match event {
            Event::Request(request) => self.on_request(now, request, actions),
            Event::AttemptEnded(result) => {
                // Learn from the result first: it affects which server the request is sent to next.
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

    /// Detects that this gateway's own process was paused: its timers are late, and events arrive all at
    /// once. Peers and servers are not at fault, and the attempts in flight have ended long ago. Drawback:
    /// a host that drops timers makes the gateway reset its smoothed count of attempts in flight.
    fn detect_pause(&mut self, now: Millis, gap: Millis) {
        if gap > self.gossip_period() + PAUSE_THRESHOLD {
            self.resumed_at = now;
            self.ticked_at = now;
            self.load.in_flight = 0.0;
            self.last_peer_message_at += gap;
        }
    }

    /// Logs a line, unless the same text was logged within [`LOG_INTERVAL`].
    fn log(&mut self, now: Millis, text: &'static str, actions: &mut Vec<Action>) {
        let due = |at: &Millis| now - *at >= LOG_INTERVAL;
        if self.logged_at.get(text).is_none_or(due) {
            self.logged_at.insert(text, now);
            actions.push(Action::Log(text.to_string()));
        }
    }

    /// Number of gateways in the group, including this one; at least 1.
    fn group_size(&self) -> f64 {
        f64::from(self.settings.group_size.max(1))
    }
}

/// The latency that is assumed for a class before its first answer.
pub(crate) fn initial_latency(class: &Class) -> ClassLatency {
    ClassLatency::new(Latency {
        mean: class.latency_target * INITIAL_LATENCY_SHARE,
        deviation: class.latency_target * INITIAL_DEVIATION_SHARE,
    })
}
