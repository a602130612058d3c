//! One replica: receives calls, runs rounds, votes, compares its state with other replicas, and maintains the roster.
//!
//! [`Replica::handle`] dispatches each event to a function named after it. The submodules group these functions by
//! topic.

mod bootstrap;
mod calls;
mod comparison;
mod contact;
mod coordination;
mod disk_failure;
mod late_candidacy;
mod leadership;
mod membership;
mod messages;
mod pacing;
mod persistence;
mod proposal;
mod proposer;
mod register_view;
mod timers;

pub use comparison::COMPARISON_INTERVAL;
pub(crate) use contact::ContactCheck;

use crate::acceptor::{Acceptor, Learned};
use crate::event::{Action, Event, ReplicaOptions};
use crate::guards::Guards;
use crate::hash::{mix, SplitMix64};
use crate::message::{ComparisonId, ItemVersion, Message};
use crate::quorum::majority;
use crate::roster::{roster_key, voters};
use crate::round::Round;
use crate::state::{is_for_followers, State};
use crate::storage::{PersistedState, WriteToken};
use crate::task::Task;
use crate::time::{as_whole_millis, Timestamp};
use bootstrap::Bootstrap;
use comparison::{Comparisons, COMPARISON_VALIDITY};
use coordination::Coordination;
use disk_failure::DiskState;
use emberpin_config::Item;
use late_candidacy::LateCandidacy;
use leadership::{KnownLeader, Leadership};
use pacing::{Adaptation, Pacing};
use persistence::{AcceptedChange, DeferredMessage};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

/// The state that this replica keeps about another one.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// When its last message arrived; `None` if none has arrived since this process started.
    last_message_at: Option<Timestamp>,
    comparisons: Comparisons,
    /// The latest comparison with it, begun at `comparison_begun_at`.
    comparison_id: ComparisonId,
    comparison_begun_at: Timestamp,
    /// The newest comparison that it has answered, whatever the answer.
    answered_comparison: ComparisonId,
    /// The unchosen versions that it reported in the comparison `comparison_id`, if the digests differed.
    unchosen: Vec<ItemVersion>,
}

/// A replica of the configuration, as a state machine without I/O.
#[derive(Debug)]
pub struct Replica {
    options: ReplicaOptions,
    acceptor: Acceptor,
    random: SplitMix64,
    /// [`Ballot::start_nonce`](crate::Ballot::start_nonce) of this process' ballots.
    start_nonce: u32,
    /// The highest counter of the ballots that this replica began or promised, or for which it was rejected.
    highest_counter: u64,
    started_at: Timestamp,
    /// The time of the event in progress.
    now: Timestamp,
    peers: BTreeMap<Ipv4Addr, Peer>,
    /// Comparisons of this replica with itself, which cover the items that it has accepted.
    own_comparisons: Comparisons,
    last_comparison: ComparisonId,
    /// When `last_comparison` was begun.
    comparison_begun_at: Timestamp,
    next_comparison_at: Timestamp,
    tasks: VecDeque<Task>,
    round: Option<Round>,
    /// How often the round in progress was restarted since the last failure, because its ballot was outdated.
    round_restarts: u32,
    /// No round of this replica begins before this time.
    next_round_at: Timestamp,
    /// No round of this replica begins before this time either, because another replica's round is in progress.
    yields_until: Option<Timestamp>,
    pacing: Pacing,
    bootstrap: Bootstrap,
    late_candidacy: LateCandidacy,
    /// A roster that some voter accepted as a change of the current one. A round with joint quorums has to complete the
    /// change.
    next_roster: Option<Item>,
    /// Whether the process shuts down: the replica leaves the roster, and does not join it again.
    is_leaving: bool,
    /// Whether a change of the roster is chosen that a majority of its voters may not have on their disks yet.
    roster_unconfirmed: bool,
    /// When this replica completes, by a round of its own, the proposal that it has accepted and does not know to be
    /// chosen; `None` if there is none.
    repair_at: Option<Timestamp>,
    /// The state for the next round, which this replica may begin without phase 1; `None` if it does not lead.
    leadership: Option<Leadership>,
    /// The leader whose proposal this replica accepted last.
    known_leader: Option<KnownLeader>,
    coordination: Coordination,
    last_write: WriteToken,
    /// Messages that wait for a write to be synced.
    deferred_messages: BTreeMap<WriteToken, DeferredMessage>,
    /// Messages to this replica itself, handled before [`Replica::handle`] returns.
    messages_to_self: VecDeque<Message>,
    disk_state: DiskState,
}

impl Replica {
    /// Creates a replica with the state on its disk, which is `None` if the disk is empty. Appends the actions for the
    /// host.
    pub fn new(
        now: Timestamp,
        options: ReplicaOptions,
        persisted: Option<PersistedState>,
        actions: &mut Vec<Action>,
    ) -> Replica {
        Replica::with_guards(now, options, persisted, Guards::default(), actions)
    }

    /// For tests: creates a replica with some safeguards off.
    #[doc(hidden)]
    pub fn with_guards(
        now: Timestamp,
        options: ReplicaOptions,
        persisted: Option<PersistedState>,
        guards: Guards,
        actions: &mut Vec<Action>,
    ) -> Replica {
        let acceptor = Acceptor::new(persisted.unwrap_or_default(), guards);
        let pacing = Pacing::new(if guards.adaptive_timeouts {
            Adaptation::Adaptive
        } else {
            Adaptation::Fixed
        });
        let repair_at = acceptor
            .has_unchosen_items()
            .then(|| now + pacing.repair_delay(now));
        let mut replica = Replica {
            random: SplitMix64::new(options.random_seed),
            // The lower half of the bits is as random as all of them.
            start_nonce: mix(options.random_seed) as u32,
            options,
            highest_counter: acceptor.promised.counter,
            started_at: now,
            now,
            peers: BTreeMap::new(),
            own_comparisons: Comparisons::default(),
            last_comparison: ComparisonId::default(),
            comparison_begun_at: now,
            next_comparison_at: now,
            tasks: VecDeque::new(),
            round: None,
            round_restarts: 0,
            next_round_at: now,
            yields_until: None,
            pacing,
            bootstrap: Bootstrap::default(),
            late_candidacy: LateCandidacy::default(),
            next_roster: None,
            is_leaving: false,
            roster_unconfirmed: false,
            repair_at,
            leadership: None,
            known_leader: None,
            coordination: Coordination::default(),
            last_write: WriteToken::default(),
            deferred_messages: BTreeMap::new(),
            messages_to_self: VecDeque::new(),
            disk_state: DiskState::default(),
            acceptor,
        };
        // Begun here rather than with the first event: the whole system may be killed right after this, and restarted
        // with settings that no longer ask for a bootstrap.
        if replica.options.bootstrap && replica.state().roster().is_none() {
            replica.begin_bootstrap(actions);
        }
        replica
    }

    /// Handles one event, and appends the actions for the host. `now` must never go back.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        // Timers are handled before the event, so that a process that was paused does not continue with rounds and
        // calls that have expired.
        self.handle_timers(actions);
        match event {
            Event::Tick => {}
            Event::Call { call_id, call } => self.on_call(call_id, call, actions),
            Event::Message { from, message } => self.on_message(from, message, actions),
            Event::Persisted { token } => self.on_persisted(token, actions),
            Event::DiskFailed { reason } => self.on_disk_failed(reason, actions),
            Event::DiskRestored => self.on_disk_restored(actions),
            Event::Leave => self.on_leave(),
        }
        self.handle_timers(actions);
        while let Some(message) = self.messages_to_self.pop_front() {
            self.on_message(self.options.address, message, actions);
            self.handle_timers(actions);
        }
    }

    /// The items that this replica knows to be chosen.
    pub fn state(&self) -> &State {
        &self.acceptor.state
    }

    /// Whether this replica is on the roster and counts in quorums.
    pub fn is_voter(&self) -> bool {
        self.acceptor.voting && self.voters().contains(&self.options.address)
    }

    /// The voters of the newest known roster; empty before the bootstrap.
    pub fn voters(&self) -> Vec<Ipv4Addr> {
        self.state().roster().map(voters).unwrap_or_default()
    }

    /// Whether this replica knows everything that a majority of the voters held shortly before `now`.
    pub fn is_up_to_date(&self, now: Timestamp) -> bool {
        self.confirmed_age(now)
            .is_some_and(|age| age <= COMPARISON_VALIDITY)
    }

    /// How long ago this replica began its latest confirmed comparisons with a majority of the voters; `None` if fewer
    /// than a majority are confirmed. Everything acknowledged before that moment is in [`Replica::state`].
    pub fn confirmed_age(&self, now: Timestamp) -> Option<Duration> {
        let voters = self.voters();
        let age_of = |voter: &Ipv4Addr| {
            if *voter == self.options.address {
                return self.own_confirmed_age(now).filter(|_| self.acceptor.voting);
            }
            let confirmed_at = self.peers.get(voter)?.comparisons.confirmed_at?;
            Some(now.saturating_since(confirmed_at))
        };
        let mut ages: Vec<Duration> = voters.iter().filter_map(age_of).collect();
        ages.sort_unstable();
        ages.get(majority(&voters).checked_sub(1)?).copied()
    }

    /// Learns chosen items, writes those that are new, and notifies followers of them.
    fn learn(&mut self, items: &[Item], actions: &mut Vec<Action>) {
        let had_unchosen_items = self.acceptor.has_unchosen_items();
        let Learned { new, removed } = self.acceptor.learn(items);
        if new.is_empty() {
            return;
        }
        if let Some(round) = &mut self.round {
            round
                .learned
                .extend(new.iter().map(|item| item.key.clone()));
        }
        if new.iter().any(|item| item.key == roster_key()) && !self.is_voter() {
            // A roster change that this replica has requested is void by now. It requests one again with the next
            // comparison.
            self.next_comparison_at = self.now;
        }
        let has_unchosen_items = self.acceptor.has_unchosen_items();
        if !has_unchosen_items {
            self.repair_at = None;
        }
        self.confirm_comparisons();
        let guards = self.guards();
        self.coordination.record_learned(&new, self.now, &guards);
        let accepted = if had_unchosen_items && !has_unchosen_items {
            AcceptedChange::Changed
        } else {
            AcceptedChange::Unchanged
        };
        let for_followers: Vec<Item> = new
            .iter()
            .filter(|item| is_for_followers(item))
            .cloned()
            .collect();
        self.persist_learned(new, removed, accepted, actions);
        if !for_followers.is_empty() {
            actions.push(Action::Learned {
                items: for_followers,
            });
        }
        self.vote_as_founder(actions);
    }

    /// Sends a message at once. A message to this replica itself is handled before [`Replica::handle`] returns.
    fn send(&mut self, to: Ipv4Addr, message: Message, actions: &mut Vec<Action>) {
        if to == self.options.address {
            self.messages_to_self.push_back(message);
        } else {
            actions.push(Action::Send { to, message });
        }
    }

    fn guards(&self) -> Guards {
        self.acceptor.guards
    }

    /// A random duration below the bound, in whole milliseconds.
    fn random_delay(&mut self, bound: Duration) -> Duration {
        Duration::from_millis(self.random.below(as_whole_millis(bound)))
    }
}
