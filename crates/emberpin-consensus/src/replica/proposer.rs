//! The proposer's side of a round: beginning it, sending its messages, handling the answers, and ending it.

use super::{Action, Replica};
use crate::ballot::Ballot;
use crate::message::{
    Accept, AcceptLed, Accepted, Chosen, Message, Prepare, Promise, Rejected, StaleRoster,
};
use crate::roster::{roster_item, roster_key};
use crate::round::{Round, VoterPromise};
use crate::task::{Operation, Task};
use emberpin_config::Item;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// How often a round with an outdated ballot is restarted at once before it counts as a failure. Other proposers may
/// begin rounds in the meantime, which make its ballot outdated again.
const MAX_ROUND_RESTARTS: u32 = 3;

impl Replica {
    /// Begins a round if there is a reason for one.
    pub(super) fn begin_round(&mut self, actions: &mut Vec<Action>) {
        if self.disk_unavailable_reason().is_some() {
            return;
        }
        let Some(roster) = self.state().roster().cloned() else {
            return;
        };
        // Drops changes of a roster that has been replaced, as they have no effect.
        self.tasks
            .retain(|task| !task.changes_roster() || task.replaces_roster(roster.version));
        self.next_roster
            .take_if(|next| next.version != roster.version.next());
        let recovers = !self.acceptor.voting;
        let repairs = self.repair_at.is_some_and(|at| self.now >= at) && self.is_voter();
        if !self.has_round_work() && !recovers && !repairs {
            return;
        }
        if repairs {
            self.schedule_repair();
        }
        let next_roster = self
            .take_next_roster()
            .filter(|_| self.guards().joint_quorums);
        let timeout = self.pacing.round_timeout(self.now);
        if next_roster.is_none() && !recovers && !repairs {
            if let Some(round) = self.begin_led_round(&roster, timeout) {
                self.round = Some(round);
                return self.propose(actions);
            }
        }
        self.announce(actions);
        self.leadership = None;
        let ballot = self.next_ballot();
        let mut round = Round::new(ballot, self.now, timeout, roster, next_roster);
        round.recovers = recovers;
        round.initial_state =
            (!self.guards().evaluate_on_quorum_state).then(|| self.state().configuration().clone());
        self.start_phase(round, actions);
    }

    /// Takes the roster to which the next round changes: one that some voter has accepted, or that of the first task. A
    /// change of the roster gets a round of its own, so that no call waits for machines that have not joined yet.
    fn take_next_roster(&mut self) -> Option<Item> {
        let accepted = self.next_roster.take();
        accepted.or_else(|| match &self.tasks.front()?.operation {
            Operation::ChangeRoster { version, voters } => {
                Some(roster_item(version.next(), voters))
            }
            _ => None,
        })
    }

    pub(super) fn next_ballot(&mut self) -> Ballot {
        self.highest_counter += 1;
        Ballot {
            counter: self.highest_counter,
            proposer: self.options.address.to_bits(),
            start_nonce: self.start_nonce,
        }
    }

    /// Begins a phase of a round: sends its message to all voters.
    pub(super) fn start_phase(&mut self, mut round: Round, actions: &mut Vec<Action>) {
        round.sent_at = self.now;
        round.resent = 0;
        round.resend_at = self.pacing.resend_delay(0).map(|delay| self.now + delay);
        let voters = round.all_voters();
        self.round = Some(round);
        self.send_to_voters(voters, actions);
    }

    /// Resends the message of the phase to the voters that have not answered, if that is due: a message or its answer
    /// may have been lost, and the deadline of the round may still be far off.
    pub(super) fn resend(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let is_due = |round: &&mut Round| round.resend_at.is_some_and(|at| now >= at);
        let Some(round) = self.round.as_mut().filter(is_due) else {
            return;
        };
        round.resend_at = self
            .pacing
            .resend_delay(round.resent)
            .map(|delay| now + delay);
        round.resent += 1;
        round.sent_at = now;
        let voters = round.unanswered();
        self.send_to_voters(voters, actions);
    }

    /// Sends the message of the round's phase.
    fn send_to_voters(&mut self, voters: BTreeSet<Ipv4Addr>, actions: &mut Vec<Action>) {
        let Some(round) = &self.round else { return };
        let (ballot, roster) = (round.ballot, round.roster.clone());
        let message = match (&round.proposal, round.next_ballot) {
            (Some(proposal), Some(next_ballot)) => Message::AcceptLed(AcceptLed {
                ballot,
                next_ballot,
                roster,
                chosen: proposal.transferred.clone(),
                items: proposal.items.clone(),
            }),
            (Some(proposal), None) => Message::Accept(Accept {
                ballot,
                roster,
                chosen: proposal.transferred.clone(),
                items: proposal.items.clone(),
            }),
            (None, _) => Message::Prepare(Prepare {
                ballot,
                roster,
                digests: self.state().digests().to_vec(),
                recovers: round.recovers,
            }),
        };
        for to in voters {
            self.send(to, message.clone(), actions);
        }
    }

    /// A voter has promised. Once a quorum has, the proposal is made.
    pub(super) fn on_promise(
        &mut self,
        from: Ipv4Addr,
        promise: Promise,
        actions: &mut Vec<Action>,
    ) {
        let Promise {
            ballot,
            incarnation,
            latest_incarnations,
            accepted,
            buckets,
            chosen,
        } = promise;
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        if round.proposal.is_some() {
            return;
        }
        let versions = chosen
            .iter()
            .map(|item| (item.key.clone(), item.version))
            .collect();
        let promise = VoterPromise {
            incarnation,
            latest_incarnations,
            buckets,
            versions,
        };
        if self.acceptor.guards.void_stale_promises {
            round.add_promise(from, promise);
        } else {
            round.promises.insert(from, promise);
        }
        if accepted.ballot > round.highest_accepted.ballot {
            round.highest_accepted = accepted;
        }
        self.learn(&chosen, actions);
        let proposer = self.options.address;
        let has_quorum = |round: &&Round| round.has_promise_quorum(proposer);
        let Some(round) = self.round.as_ref().filter(has_quorum) else {
            return;
        };
        self.round_restarts = 0;
        let (sent_at, roster_version) = (round.sent_at, round.roster.version);
        let newest_roster = self.state().roster();
        if newest_roster.is_some_and(|newest| newest.version > roster_version) {
            return self.end_round();
        }
        self.pacing
            .record_delay(self.now, self.now.saturating_since(sent_at));
        // Voters that promised in a round of this roster have it on their disks.
        self.roster_unconfirmed = false;
        self.propose(actions);
    }

    /// A voter has accepted. Once a quorum has, the items are chosen: all replicas are notified, and the callers get
    /// their replies.
    pub(super) fn on_accepted(
        &mut self,
        from: Ipv4Addr,
        accepted: Accepted,
        actions: &mut Vec<Action>,
    ) {
        let is_this_round = |round: &&mut Round| round.ballot == accepted.ballot;
        let Some(round) = self.round.as_mut().filter(is_this_round) else {
            return;
        };
        round.accepted.insert(from);
        let is_chosen = round.is_chosen(self.options.tolerated_failures);
        if !is_chosen && self.acceptor.guards.tolerance_quorum {
            return;
        }
        let Some(mut round) = self.round.take() else {
            return;
        };
        self.pacing
            .record_delay(self.now, self.now.saturating_since(round.sent_at));
        let proposal = round.proposal.take();
        let items = proposal.map_or_else(Vec::new, |proposal| proposal.items);
        self.learn(&items, actions);
        // While a majority of its voters may lack a new roster, the loss of one disk could leave no replica that knows
        // it.
        self.roster_unconfirmed |= items.iter().any(|item| item.key == roster_key());
        self.pacing.record_success();
        match round.next_ballot {
            Some(next_ballot) => {
                self.become_leader(&mut round, next_ballot, items);
                self.complete(round.outcomes, actions);
                self.serve_watches(actions);
            }
            None => {
                self.notify_chosen(&round, &items, actions);
                self.complete(round.outcomes, actions);
            }
        }
    }

    /// Notifies all replicas that the items of a round are chosen.
    fn notify_chosen(&mut self, round: &Round, items: &[Item], actions: &mut Vec<Action>) {
        let mut receivers = round.all_voters();
        receivers.extend(self.comparison_peers());
        receivers.remove(&self.options.address);
        for to in receivers {
            let items = items.to_vec();
            self.send(to, Message::Chosen(Chosen { items }), actions);
        }
    }

    /// A voter has promised a higher ballot. The round goes on for a while, as the other voters may be a majority.
    pub(super) fn on_rejected(
        &mut self,
        from: Ipv4Addr,
        rejected: Rejected,
        actions: &mut Vec<Action>,
    ) {
        let Rejected { ballot, promised } = rejected;
        self.highest_counter = self.highest_counter.max(promised.counter);
        let own_next = self.round.as_ref().and_then(|round| round.next_ballot);
        if promised <= ballot || Some(promised) == own_next {
            // The voter has promised or accepted this round, and received its message twice.
            return;
        }
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        round.rejected.insert(from);
        let grace = self.pacing.rejected_grace(self.now);
        round.deadline = round.deadline.min(self.now + grace);
        if round.is_quorum_impossible() {
            if self.has_outdated_ballot() {
                self.restart_round(actions);
            } else {
                self.fail_round();
            }
        }
    }

    /// Whether the round in progress was rejected because its ballot was outdated from the start. The ballot of a
    /// replica that is not a voter usually is, as it receives no [`Prepare`] of other proposers.
    fn has_outdated_ballot(&self) -> bool {
        let is_unpromised = |round: &Round| round.proposal.is_none() && round.promises.is_empty();
        self.guards().restart_outdated_rounds
            && !self.is_voter()
            && self.round_restarts < MAX_ROUND_RESTARTS
            && self.round.as_ref().is_some_and(is_unpromised)
    }

    /// Restarts the round at once, above the ballots that its voters have promised. This does not count as a failure:
    /// after a backoff the ballot would be outdated again, and a replica that wants to join the roster would not get
    /// its turn as long as other replicas receive calls.
    fn restart_round(&mut self, actions: &mut Vec<Action>) {
        self.round_restarts += 1;
        self.end_round();
        self.begin_round(actions);
    }

    /// The round's roster has been replaced: ends the round, so that the next one uses the newer roster.
    pub(super) fn on_stale_roster(&mut self, stale: StaleRoster, actions: &mut Vec<Action>) {
        let StaleRoster { ballot, roster } = stale;
        let newer_version = roster.version;
        self.learn(&[roster], actions);
        let is_stale =
            |round: &Round| round.ballot == ballot && round.roster.version < newer_version;
        if self.round.as_ref().is_some_and(is_stale) {
            self.end_round();
        }
    }

    /// Ends the round. Its tasks go back to the front of the queue, and the next round may begin at once.
    pub(super) fn end_round(&mut self) {
        let Some(round) = self.round.take() else {
            return;
        };
        for outcome in round.outcomes.into_iter().rev() {
            self.tasks.push_front(outcome.task);
        }
        self.next_round_at = self.now;
    }

    /// Ends the round as a failure: the next one begins after a random backoff.
    pub(super) fn fail_round(&mut self) {
        if self.round.is_none() {
            return;
        }
        self.round_restarts = 0;
        self.end_round();
        self.pacing.record_failure();
        let backoff = self.random_delay(self.pacing.max_backoff(self.now));
        self.next_round_at = self.now + backoff;
    }

    /// Postpones this replica's rounds in favour of the round that it has just promised, if its own last round failed,
    /// or if the proposer is not a voter and may join the roster by that round. The replica does not yield again before
    /// the postponement is over, so that it gets its turn however many other proposers there are.
    pub(super) fn yield_to(&mut self, from: Ipv4Addr, answer: &Message) {
        let has_promised_other =
            matches!(answer, Message::Promise(_)) && from != self.options.address;
        let is_joining = self.guards().restart_outdated_rounds && !self.voters().contains(&from);
        if has_promised_other
            && (is_joining || self.pacing.is_contended())
            && self.round.is_none()
            && self.now >= self.earliest_round_at()
        {
            self.yields_until = Some(self.now + self.pacing.yield_time(self.now));
        }
    }

    /// Restarts the repair timer: if the proposal that this replica accepted is not known to be chosen when the timer
    /// expires, the replica completes it by a round of its own. Clears the timer if there is no such proposal.
    pub(super) fn schedule_repair(&mut self) {
        let delay = self.pacing.repair_delay(self.now);
        self.repair_at = if self.acceptor.has_unchosen_items() {
            Some(self.now + delay + self.random_delay(delay))
        } else {
            None
        };
    }

    /// The queued tasks, and those that are proposed in the round in progress.
    pub(super) fn all_tasks(&self) -> impl Iterator<Item = &Task> {
        let outcomes = self.round.iter().flat_map(|round| &round.outcomes);
        self.tasks
            .iter()
            .chain(outcomes.map(|outcome| &outcome.task))
    }
}
