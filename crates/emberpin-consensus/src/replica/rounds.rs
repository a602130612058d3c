//! Rounds: preparing a ballot, judging calls on what a majority knows, and having the outcome accepted.

use super::{Action, Replica, EXCHANGE};
use crate::call::{Verdict, Work};
use crate::message::{Ballot, Message, Pending};
use crate::renewals::Incarnation;
use crate::round::{Outcome, Promised, Round, Task};
use crate::state::{roster_item, roster_key};
use emberpin_config::Item;
use std::borrow::Cow;
use std::collections::{BTreeSet, VecDeque};
use std::net::Ipv4Addr;

impl Replica {
    pub(super) fn settle_timers(&mut self, now: u64, out: &mut Vec<Action>) {
        if self.round.as_ref().is_some_and(|round| now >= round.until) {
            self.give_way(now, true);
        }
        let (due, kept) = self.tasks.drain(..).partition(|task| now >= task.until);
        self.tasks = kept;
        let due: VecDeque<Task> = due;
        due.into_iter().for_each(|task| again(task, out));
        // Also those whose items are proposed: they may come to be chosen, which 503 leaves open.
        if let Some(round) = &mut self.round {
            let (due, kept) = round
                .outcomes
                .drain(..)
                .partition(|outcome| now >= outcome.task.until);
            round.outcomes = kept;
            let due: Vec<Outcome> = due;
            due.into_iter().for_each(|outcome| again(outcome.task, out));
        }
        if now >= self.exchange_at {
            self.exchange_at = now + EXCHANGE;
            self.exchange(now, out);
            self.tend_roster(now);
        }
        self.found(now, out);
        if self.leaving {
            // Another change may have come first.
            self.leave(now);
        }
        if self.round.is_none() && now >= self.earliest_round() {
            self.begin(now, out);
        }
        self.resend(now, out);
    }

    pub(super) fn earliest_round(&self) -> u64 {
        self.round_at.max(self.yields_until)
    }

    /// A store whose last round failed leaves the field to one that it just made a promise to; not again before
    /// that time is over, so that it comes to its turn however many others there are.
    pub(super) fn yield_to(&mut self, now: u64, from: Ipv4Addr, answer: &Message) {
        let promised = matches!(answer, Message::Promise { .. }) && from != self.options.me;
        if promised
            && self.pacing.contended()
            && self.round.is_none()
            && now >= self.earliest_round()
        {
            self.yields_until = now + self.pacing.yield_time(now);
        }
    }

    /// Sends the round's messages again to those that have not answered; such a message or its answer may be lost,
    /// and the round may have a long time yet.
    fn resend(&mut self, now: u64, out: &mut Vec<Action>) {
        let Some(round) = self.round.as_mut().filter(|round| now >= round.resend_at) else {
            return;
        };
        round.resend_at = now + self.pacing.resend_delay(round.resent);
        round.resent += 1;
        round.asked_at = now;
        let targets = round.unanswered();
        self.ask(targets, out);
    }

    /// Sends what the round asks in its phase.
    fn ask(&mut self, targets: BTreeSet<Ipv4Addr>, out: &mut Vec<Action>) {
        let Some(round) = &self.round else { return };
        let (ballot, roster) = (round.ballot, round.roster.clone());
        let message = match &round.proposal {
            Some(items) => {
                let (chosen, items) = (round.transferred.clone(), items.clone());
                Message::Accept {
                    ballot,
                    roster,
                    chosen,
                    items,
                }
            }
            None => {
                let (digests, recovers) = (self.state().digests().to_vec(), round.recovers);
                Message::Prepare {
                    ballot,
                    roster,
                    digests,
                    recovers,
                }
            }
        };
        targets
            .into_iter()
            .for_each(|to| self.send(to, message.clone(), out));
    }

    /// When the round's messages first go out again, of a phase that begins now.
    fn first_resend(&self, now: u64) -> u64 {
        match self.pacing.resends() {
            true => now + self.pacing.resend_delay(0),
            false => u64::MAX,
        }
    }

    pub(super) fn begin(&mut self, now: u64, out: &mut Vec<Action>) {
        if self.storage_refusal().is_some() {
            return;
        }
        let Some(roster) = self.state().roster().cloned() else {
            return;
        };
        let me = self.options.me;
        self.tasks
            .retain(|task| !matches!(task.work, Work::Roster { ver, .. } if ver != roster.version));
        self.next.take_if(|next| next.version != roster.version + 1);
        let recovers = !self.acceptor.voting;
        let repairs = self.open_until.is_some_and(|at| now >= at) && self.votes();
        if self.tasks.is_empty()
            && !recovers
            && !repairs
            && self.next.is_none()
            && !self.unconfirmed
        {
            return;
        }
        if repairs {
            self.watch_open(now);
        }
        // A change of the roster goes alone, so that no call waits for machines that are yet to join.
        let mut next = self.next.take();
        if let (
            None,
            Some(Task {
                work: Work::Roster { ver, voters },
                ..
            }),
        ) = (&next, self.tasks.front())
        {
            next = Some(roster_item(ver + 1, voters));
        }
        self.counter += 1;
        let ballot = Ballot {
            counter: self.counter,
            node: me.to_bits(),
            incarnation: self.incarnation,
        };
        let until = now + self.pacing.round_timeout(now);
        let mut round = Round::new(
            ballot,
            until,
            roster.clone(),
            next.filter(|_| self.acceptor.guards.joint),
        );
        round.recovers = recovers;
        round.known = (!self.acceptor.guards.newest).then(|| self.state().configuration().clone());
        round.asked_at = now;
        round.resend_at = self.first_resend(now);
        let targets = round.targets();
        self.round = Some(round);
        self.ask(targets, out);
    }

    pub(super) fn refused(&mut self, now: u64, from: Ipv4Addr, ballot: Ballot) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        round.refused.insert(from);
        round.until = round.until.min(now + self.pacing.refused_grace(now));
        if round.lost() {
            self.give_way(now, true);
        }
    }

    /// Ends the round for a later one.
    pub(super) fn give_way(&mut self, now: u64, pause: bool) {
        let Some(round) = self.round.take() else {
            return;
        };
        for outcome in round.outcomes.into_iter().rev() {
            self.tasks.push_front(outcome.task);
        }
        self.round_at = now;
        if pause {
            self.pacing.failed();
            self.round_at += self.draw(self.pacing.pause_bound(now));
        }
    }

    #[allow(clippy::too_many_arguments, reason = "waits for a struct with names")]
    pub(super) fn promise(
        &mut self,
        now: u64,
        from: Ipv4Addr,
        ballot: Ballot,
        promised: Promised,
        pending: Pending,
        chosen: Vec<Item>,
        out: &mut Vec<Action>,
    ) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        if round.proposal.is_some() {
            return;
        }
        if self.acceptor.guards.incarnations {
            round.take_promise(from, promised);
        } else {
            round.promises.insert(from, promised);
        }
        if pending.ballot > round.latest.ballot {
            round.latest = pending;
        }
        self.learn(&chosen, out);
        let Some(round) = self
            .round
            .as_ref()
            .filter(|round| round.promised(self.options.me))
        else {
            return;
        };
        if self
            .state()
            .roster()
            .is_some_and(|roster| roster.version > round.roster.version)
        {
            return self.give_way(now, false);
        }
        self.pacing.observe(now, now.saturating_sub(round.asked_at));
        // Whoever has promised by this roster has it on its disk.
        self.unconfirmed = false;
        self.propose(now, out);
    }

    /// Judges what is asked on all that is or may be chosen, and proposes.
    pub(super) fn propose(&mut self, now: u64, out: &mut Vec<Action>) {
        let Some(mut round) = self.round.take() else {
            return;
        };
        let open = round
            .latest
            .items
            .iter()
            .filter(|item| !self.state().covers(item));
        let mut items: Vec<Item> = open
            .filter(|_| self.acceptor.guards.carry)
            .cloned()
            .collect();
        let change = items.iter().find(|item| item.key == roster_key()).cloned();
        if change.is_some() && change != round.next && self.acceptor.guards.joint {
            // Whoever it seats has to promise too.
            self.next = change;
            self.round = Some(round);
            return self.give_way(now, false);
        }
        if round.recovers {
            // All that this store may have had a part in is on one of those that promised.
            self.acceptor.promised = self.acceptor.promised.max(round.ballot);
            self.acceptor.incarnation = Incarnation(round.ballot);
            round
                .promises
                .values()
                .for_each(|told| self.acceptor.renewals.merge(&told.renewals));
            self.acceptor.pending = Pending {
                ballot: round.latest.ballot,
                items,
            };
            self.watch_open(now);
            self.acceptor.voting = true;
            let all = self.state().iter().cloned().collect();
            self.pacing.succeeded();
            return self.persist(all, true, true, None, out);
        }
        let carried = !items.is_empty();
        let mut whole = round.known.take().map_or(
            Cow::Borrowed(self.acceptor.state.configuration()),
            Cow::Owned,
        );
        items
            .iter()
            .for_each(|item| _ = whole.to_mut().merge(item.clone()));
        for mut task in std::mem::take(&mut self.tasks) {
            // A change of the roster, and what it must not hold up, each have their own rounds.
            let waits = match &task.work {
                Work::Roster { ver, voters } => {
                    change.is_some() || round.next != Some(roster_item(ver + 1, voters))
                }
                _ => round.next.is_some(),
            };
            if waits && self.acceptor.guards.joint {
                self.tasks.push_back(task);
                continue;
            }
            let (status, body) = match task.work.evaluate(&whole, &self.acceptor.guards) {
                Verdict::Choose(new) => {
                    new.iter()
                        .for_each(|item| _ = whole.to_mut().merge(item.clone()));
                    items.extend(new);
                    task.proposed = true;
                    (200, String::new())
                }
                Verdict::Done(body) => (200, body),
                // Something of it may be in force.
                Verdict::Refuse(..) if task.proposed => (503, "send it again".into()),
                Verdict::Refuse(status, body) => {
                    if !self.acceptor.guards.whole {
                        items.extend(task.work.alone(&whole));
                    }
                    (status, body)
                }
            };
            round.outcomes.push(Outcome { task, status, body });
        }
        if !carried && items.is_empty() {
            self.pacing.succeeded();
            return tell(round.outcomes, out);
        }
        let chosen = if self.acceptor.guards.lacking {
            round.lacking(self.state())
        } else {
            Vec::new()
        };
        let targets = round.targets();
        round.proposal = Some(items);
        round.transferred = chosen;
        round.asked_at = now;
        (round.resend_at, round.resent) = (self.first_resend(now), 0);
        self.round = Some(round);
        self.ask(targets, out);
    }

    pub(super) fn accepted(
        &mut self,
        now: u64,
        from: Ipv4Addr,
        ballot: Ballot,
        out: &mut Vec<Action>,
    ) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        round.accepted.insert(from);
        if !round.chosen(self.options.tolerated) && self.acceptor.guards.spread {
            return;
        }
        let Some(round) = self.round.take() else {
            return;
        };
        self.pacing.observe(now, now.saturating_sub(round.asked_at));
        let items = round.proposal.clone().unwrap_or_default();
        self.learn(&items, out);
        // Until its own majority has it, a lost disk might leave none that knows, and of the old one too few.
        self.unconfirmed |= items.iter().any(|item| item.key == roster_key());
        let mut told: BTreeSet<Ipv4Addr> = round.targets();
        told.extend(self.others(now));
        told.remove(&self.options.me);
        for to in told {
            self.send(
                to,
                Message::Chosen {
                    items: items.clone(),
                },
                out,
            );
        }
        self.pacing.succeeded();
        tell(round.outcomes, out);
    }
}

pub(super) fn tell(outcomes: Vec<Outcome>, out: &mut Vec<Action>) {
    for Outcome { task, status, body } in outcomes {
        if let Some(id) = task.work.id() {
            out.push(Action::Answer { id, status, body });
        }
    }
}

pub(super) fn again(task: Task, out: &mut Vec<Action>) {
    if let Some(id) = task.work.id() {
        out.push(Action::Answer {
            id,
            status: 503,
            body: "no majority of the stores answered in time".into(),
        });
    }
}
