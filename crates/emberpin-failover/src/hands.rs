//! The work in the hands of one limiter, as its claimant, as a keeper of others' and as one that takes over.

use crate::word::{Ballot, Member, Millis, Said, Verdict, Went, Work, WorkId};
use emberpin_peering::Life;
use std::collections::{BTreeMap, BTreeSet};

/// Of the time for which a hall drops a repeat, so much is left unused.
const MARGIN: f64 = 0.1;

/// How work is kept and taken over.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// This limiter.
    pub me: Member,
    /// Its own life.
    pub life: Life,
    /// A keeper that has not answered by then is not there.
    pub ask_within: Millis,
    /// An outcome is told to a client once a majority knows that there is one, or after so long: by then those that heard
    /// nothing suspect this limiter, and do not take its end for one.
    pub tell_within: Millis,
    /// Work is kept for so long beyond its own time, and a promise about work that is not known for so long.
    pub keep: Millis,
    /// Pieces of work that are kept at most, and bytes of them; new work goes out nowhere else then.
    pub entries: usize,
    /// Bytes of work that are kept at most.
    pub bytes: usize,
    /// Takeovers a second that this limiter begins; what does not fit ends as what may have run.
    pub per_s: f64,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request of this limiter's own was let on.
    Begun {
        /// Its name from now on.
        id: WorkId,
        /// Who keeps it.
        keepers: Vec<Member>,
    },
    /// An attempt would go out, of a work begun or taken over here.
    Go {
        /// Of which work.
        id: WorkId,
        /// Which attempt.
        attempt: u32,
        /// Where it goes.
        to: crate::Hall,
        /// The work.
        work: Work,
    },
    /// A work begun or taken over here has an outcome that others were told.
    Done(WorkId),
    /// A work taken over here came to nothing.
    Failed(WorkId),
    /// This limiter has granted the key of a work.
    Granted {
        /// Of which work.
        id: WorkId,
        /// Who keeps it.
        keepers: Vec<Member>,
    },
    /// The key has an outcome here, or is free: nothing is to be taken over.
    Settled(WorkId),
    /// A member has this life.
    Lives {
        /// Who.
        member: Member,
        /// Its life.
        life: Life,
    },
    /// Something can be told to a member.
    Reaches(Member, bool),
    /// A life of a member is gone.
    Gone(Member, Life),
    /// A member said something.
    Heard(Member, Said),
    /// Time has passed.
    Tick,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell a member.
    Say(Member, Said),
    /// The attempt may go out now.
    Send(WorkId, u32),
    /// It may not: another goes on with the work, or too few keep it.
    Withhold(WorkId, u32),
    /// Go on with this work, and say what came of it.
    TakeOver {
        /// Which.
        id: WorkId,
        /// What it is; its time counts from now.
        work: Work,
        /// Where it may have run.
        went: Went,
    },
    /// A majority knows that a work has its outcome, or enough time was given to it: its client may be told.
    Closed(WorkId),
    /// Nobody goes on with it.
    End(WorkId, Verdict),
}

/// A work that this limiter lets attempts out for.
#[derive(Clone, Debug)]
struct Own {
    ballot: Ballot,
    keepers: Vec<(Member, Option<Life>)>,
    /// When, here, the first attempt was about to go out, and where.
    went: Option<(crate::Hall, Millis)>,
    fenced: bool,
    asked: Option<Asked>,
}

/// An attempt that waits for its keepers.
#[derive(Clone, Debug)]
struct Asked {
    attempt: u32,
    noted: BTreeSet<Member>,
    refused: BTreeSet<Member>,
    until: Millis,
}

/// A work that this limiter keeps.
#[derive(Clone, Debug)]
struct Kept {
    promised: Ballot,
    /// Under which ballot it was told last, where it went and when, counted back to the first attempt, and what it is.
    told: Option<(Ballot, crate::Hall, Millis, Work)>,
    /// What became of it, for those that ask later: one that was cut off may not know.
    outcome: Option<Outcome>,
    expires: Millis,
}

/// What became of a work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Over,
    Ended(Verdict),
}

impl Outcome {
    fn said(self, id: WorkId) -> Said {
        match self {
            Outcome::Over => Said::Over(id),
            Outcome::Ended(verdict) => Said::Ended(id, verdict),
        }
    }
}

/// A work whose key this limiter has granted.
#[derive(Clone, Debug)]
struct Granted {
    keepers: Vec<(Member, Option<Life>)>,
    expires: Millis,
    /// Its limiter is gone: it is asked for then.
    due: Option<Millis>,
    /// Another than its claimant goes on with it, or tries to: asked for only once that one is gone.
    taker: Option<Member>,
    round: u32,
    asking: Option<Asking>,
}

/// Others are asked who may go on with it.
#[derive(Clone, Debug)]
struct Asking {
    ballot: Ballot,
    promises: BTreeMap<Member, Option<(Ballot, Went, Work)>>,
    until: Millis,
}

/// A work with an outcome of which its keepers are told.
#[derive(Clone, Debug)]
struct Closing {
    keepers: usize,
    known: BTreeSet<Member>,
    until: Millis,
}

/// The work in one limiter's hands.
#[derive(Clone, Debug)]
pub struct Hands {
    rules: Rules,
    now: Millis,
    lives: BTreeMap<Member, Life>,
    away: BTreeSet<Member>,
    own: BTreeMap<WorkId, Own>,
    closing: BTreeMap<WorkId, Closing>,
    kept: BTreeMap<WorkId, Kept>,
    bytes: usize,
    granted: BTreeMap<WorkId, Granted>,
    /// Takeovers that may be begun now.
    tokens: f64,
    filled: Millis,
    /// What this limiter says to itself, in order.
    to_self: Vec<Said>,
}

impl Hands {
    /// Nothing in hand yet, and nobody known.
    pub fn new(rules: Rules, now: Millis) -> Hands {
        let (tokens, lives) = (
            rules.per_s.max(1.0),
            BTreeMap::from([(rules.me, rules.life)]),
        );
        Hands {
            rules,
            now,
            lives,
            away: BTreeSet::new(),
            own: BTreeMap::new(),
            closing: BTreeMap::new(),
            kept: BTreeMap::new(),
            bytes: 0,
            granted: BTreeMap::new(),
            tokens,
            filled: now,
            to_self: Vec::new(),
        }
    }

    /// Pieces of work that are kept for others, and their bytes.
    pub fn kept(&self) -> (usize, usize) {
        (self.kept.len(), self.bytes)
    }

    /// Whether another goes on with a work that was begun here.
    pub fn is_fenced(&self, id: &WorkId) -> bool {
        let promised = self.kept.get(id).map(|kept| kept.promised);
        self.own
            .get(id)
            .is_some_and(|own| own.fenced || promised.is_some_and(|promised| promised > own.ballot))
    }

    /// Whether a keeper here has promised a work to another than its claimant: what the claimant says of it does not
    /// count any more.
    pub fn is_promised_away(&self, id: &WorkId) -> bool {
        self.kept
            .get(id)
            .is_some_and(|kept| kept.promised.round > 0)
    }

    /// Takes an event, and appends what is to be done about it.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Begun { id, keepers } => {
                let ballot = Ballot {
                    round: 0,
                    of: self.rules.me,
                };
                let keepers = self.seen(keepers);
                let own = Own {
                    ballot,
                    keepers,
                    went: None,
                    fenced: false,
                    asked: None,
                };
                self.own.insert(id, own);
            }
            Event::Go {
                id,
                attempt,
                to,
                work,
            } => self.go(id, attempt, to, work, actions),
            Event::Done(id) => self.done(id, Said::Over(id), actions),
            Event::Failed(id) => self.done(id, Said::Ended(id, Verdict::MayHaveRun), actions),
            Event::Granted { id, keepers } => {
                let (keepers, expires) = (self.seen(keepers), self.now + 2.0 * self.rules.keep);
                let granted = Granted {
                    keepers,
                    expires,
                    due: None,
                    taker: None,
                    round: 0,
                    asking: None,
                };
                self.granted.insert(id, granted);
            }
            Event::Settled(id) => _ = self.granted.remove(&id),
            Event::Lives { member, life } => _ = self.lives.insert(member, life),
            Event::Reaches(member, true) => self.returns(member),
            Event::Reaches(member, false) => {
                self.away.insert(member);
                self.misses(member, actions);
            }
            Event::Gone(member, life) => self.bereave(member, life),
            Event::Heard(from, said) => self.hear(from, said, actions),
            Event::Tick => self.tick(actions),
        }
        while !self.to_self.is_empty() {
            for said in std::mem::take(&mut self.to_self) {
                self.hear(self.rules.me, said, actions);
            }
        }
    }

    fn seen(&self, keepers: Vec<Member>) -> Vec<(Member, Option<Life>)> {
        keepers
            .into_iter()
            .map(|keeper| (keeper, self.lives.get(&keeper).copied()))
            .collect()
    }

    fn say(&mut self, to: Member, said: Said, actions: &mut Vec<Action>) {
        if to == self.rules.me {
            self.to_self.push(said);
        } else if !self.away.contains(&to) {
            actions.push(Action::Say(to, said));
        }
    }

    // As whoever lets attempts out.

    fn go(
        &mut self,
        id: WorkId,
        attempt: u32,
        to: crate::Hall,
        work: Work,
        actions: &mut Vec<Action>,
    ) {
        let (now, until) = (self.now, self.now + self.rules.ask_within);
        let Some(own) = self.own.get_mut(&id).filter(|own| !own.fenced) else {
            return actions.push(Action::Withhold(id, attempt));
        };
        // Another hall is gone to only where no attempt before can have run, or where all halls drop a repeat; the time
        // counts from the first attempt all the same.
        let (hall, at) = (to, own.went.map_or(now, |(_, at)| at));
        own.went = Some((hall, at));
        let (ballot, went, keepers) = (
            own.ballot,
            Went {
                hall,
                ago: now - at,
            },
            own.keepers.clone(),
        );
        own.asked = Some(Asked {
            attempt,
            noted: BTreeSet::new(),
            refused: BTreeSet::new(),
            until,
        });
        for (keeper, seen) in keepers {
            let there = keeper == self.rules.me || !self.away.contains(&keeper);
            match seen.filter(|_| there) {
                Some(seen) => {
                    let work = work.clone();
                    self.say(
                        keeper,
                        Said::Going {
                            id,
                            ballot,
                            seen,
                            went,
                            work,
                        },
                        actions,
                    );
                }
                None => self.refused(id, ballot, keeper, None, actions),
            }
        }
    }

    fn noted(&mut self, id: WorkId, ballot: Ballot, from: Member, actions: &mut Vec<Action>) {
        let Some(own) = self
            .own
            .get_mut(&id)
            .filter(|own| own.ballot == ballot && !own.fenced)
        else {
            return;
        };
        let Some(asked) = own.asked.as_mut().filter(|asked| self.now < asked.until) else {
            return;
        };
        asked.noted.insert(from);
        if asked.noted.len() > own.keepers.len() / 2 {
            let attempt = asked.attempt;
            own.asked = None;
            actions.push(Action::Send(id, attempt));
        }
    }

    fn refused(
        &mut self,
        id: WorkId,
        ballot: Ballot,
        from: Member,
        promised: Option<Ballot>,
        actions: &mut Vec<Action>,
    ) {
        let Some(own) = self.own.get_mut(&id).filter(|own| own.ballot == ballot) else {
            return;
        };
        own.fenced |= promised.is_some_and(|promised| promised > ballot);
        let Some(asked) = own.asked.as_mut() else {
            return;
        };
        asked.refused.insert(from);
        // Whoever is left is no majority.
        if own.fenced || (own.keepers.len() - asked.refused.len()) <= own.keepers.len() / 2 {
            let attempt = asked.attempt;
            own.asked = None;
            actions.push(Action::Withhold(id, attempt));
        }
    }

    fn done(&mut self, id: WorkId, said: Said, actions: &mut Vec<Action>) {
        // Whoever was overtaken has no say in what becomes of it.
        let Some(own) = self.own.remove(&id).filter(|own| !own.fenced) else {
            return actions.push(Action::Closed(id));
        };
        let until = self.now + self.rules.tell_within;
        let closing = Closing {
            keepers: own.keepers.len(),
            known: BTreeSet::new(),
            until,
        };
        self.closing.insert(id, closing);
        for (keeper, _) in own.keepers {
            self.say(keeper, said.clone(), actions);
        }
    }

    /// A keeper that can be told nothing answers nothing.
    fn misses(&mut self, member: Member, actions: &mut Vec<Action>) {
        let waits = |own: &Own| {
            let keeps = own.keepers.iter().any(|(keeper, _)| *keeper == member);
            own.asked
                .as_ref()
                .is_some_and(|asked| keeps && !asked.noted.contains(&member))
        };
        let ids: Vec<(WorkId, Ballot)> = self
            .own
            .iter()
            .filter(|(_, own)| waits(own))
            .map(|(id, own)| (*id, own.ballot))
            .collect();
        for (id, ballot) in ids {
            self.refused(id, ballot, member, None, actions);
        }
    }

    // As a keeper.

    fn hear(&mut self, from: Member, said: Said, actions: &mut Vec<Action>) {
        match said {
            Said::Going {
                id,
                ballot,
                seen,
                went,
                work,
            } => {
                let answer = match self.note(id, ballot, seen, went, work) {
                    Ok(()) => {
                        self.yields(id, ballot);
                        Said::Noted { id, ballot }
                    }
                    Err(promised) => Said::Refused {
                        id,
                        ballot,
                        promised,
                    },
                };
                self.say(from, answer, actions);
            }
            Said::Prepare { id, ballot, seen } => {
                let outcome = self.kept.get(&id).and_then(|kept| kept.outcome);
                let answer = match (outcome, self.promise(id, ballot, seen)) {
                    (Some(outcome), _) => outcome.said(id),
                    (None, Ok(kept)) => {
                        self.yields(id, ballot);
                        Said::Promised { id, ballot, kept }
                    }
                    (None, Err(promised)) => Said::Refused {
                        id,
                        ballot,
                        promised,
                    },
                };
                self.say(from, answer, actions);
            }
            Said::Noted { id, ballot } => self.noted(id, ballot, from, actions),
            Said::Refused {
                id,
                ballot,
                promised,
            } => {
                self.refused(id, ballot, from, promised, actions);
                self.outbid(id, ballot, promised);
            }
            Said::Promised { id, ballot, kept } => self.promised(id, ballot, from, kept, actions),
            Said::Over(id) => {
                self.conclude(id, Outcome::Over);
                self.granted.remove(&id);
                self.say(from, Said::Known(id), actions);
            }
            Said::Known(id) => {
                let Some(closing) = self.closing.get_mut(&id) else {
                    return;
                };
                closing.known.insert(from);
                if closing.known.len() > closing.keepers / 2 {
                    self.closing.remove(&id);
                    actions.push(Action::Closed(id));
                }
            }
            Said::Ended(id, verdict) => {
                self.conclude(id, Outcome::Ended(verdict));
                if self.granted.remove(&id).is_some() {
                    actions.push(Action::End(id, verdict));
                }
            }
        }
    }

    /// Writes down where an attempt goes.
    fn note(
        &mut self,
        id: WorkId,
        ballot: Ballot,
        seen: Life,
        went: Went,
        work: Work,
    ) -> Result<(), Option<Ballot>> {
        // One that has started since may have promised the work to another, and forgotten it.
        if seen != self.rules.life {
            return Err(None);
        }
        let before = self.kept.get(&id);
        if before.is_some_and(|kept| kept.outcome.is_some()) {
            return Err(None);
        }
        if let Some(kept) = before.filter(|kept| kept.promised > ballot) {
            return Err(Some(kept.promised));
        }
        let held = before
            .and_then(|kept| kept.told.as_ref())
            .map_or(0, |(_, _, _, work)| work.payload.len());
        let bytes = self.bytes - held + work.payload.len();
        let full = before.is_none() && self.kept.len() >= self.rules.entries;
        if full || bytes > self.rules.bytes {
            return Err(None);
        }
        self.bytes = bytes;
        let ago = if went.ago.is_finite() {
            went.ago.max(0.0)
        } else {
            f64::MAX
        };
        let expires = self.now + work.within.clamp(0.0, self.rules.keep) + self.rules.keep;
        let told = Some((ballot, went.hall, self.now - ago, work));
        self.kept.insert(
            id,
            Kept {
                promised: ballot,
                told,
                outcome: None,
                expires,
            },
        );
        Ok(())
    }

    /// Lets no lower ballot through from now on, and says what is known.
    #[allow(clippy::type_complexity, reason = "waits for a struct with names")]
    fn promise(
        &mut self,
        id: WorkId,
        ballot: Ballot,
        seen: Life,
    ) -> Result<Option<(Ballot, Went, Work)>, Option<Ballot>> {
        // One that has started since does not know whether it was sent.
        if seen != self.rules.life {
            return Err(None);
        }
        let full = self.kept.len() >= self.rules.entries;
        let Some(kept) = self.kept.get_mut(&id) else {
            if full {
                return Err(None);
            }
            let expires = self.now + 2.0 * self.rules.keep;
            self.kept.insert(
                id,
                Kept {
                    promised: ballot,
                    told: None,
                    outcome: None,
                    expires,
                },
            );
            return Ok(None);
        };
        if kept.promised > ballot {
            return Err(Some(kept.promised));
        }
        kept.promised = ballot;
        let now = self.now;
        Ok(kept.told.as_ref().map(|(told, hall, at, work)| {
            let left = (kept.expires - self.rules.keep - now).max(0.0);
            (
                *told,
                Went {
                    hall: *hall,
                    ago: now - at,
                },
                Work {
                    within: left.min(work.within),
                    ..work.clone()
                },
            )
        }))
    }

    /// A work has its outcome. The work goes; its promise and what became of it stand until its time is over, as its
    /// claimant may wake yet, and others may ask that have not heard.
    fn conclude(&mut self, id: WorkId, outcome: Outcome) {
        self.drop_work(&id);
        let (expires, full) = (
            self.now + 2.0 * self.rules.keep,
            self.kept.len() >= self.rules.entries,
        );
        match self.kept.get_mut(&id) {
            Some(kept) => kept.outcome = kept.outcome.or(Some(outcome)),
            None if full => {}
            None => {
                let promised = Ballot {
                    round: 0,
                    of: id.claimant,
                };
                let kept = Kept {
                    promised,
                    told: None,
                    outcome: Some(outcome),
                    expires,
                };
                self.kept.insert(id, kept);
            }
        }
    }

    fn forget(&mut self, id: &WorkId) {
        self.drop_work(id);
        self.kept.remove(id);
    }

    fn drop_work(&mut self, id: &WorkId) {
        let told = self.kept.get_mut(id).and_then(|kept| kept.told.take());
        self.bytes -= told.map_or(0, |(_, _, _, work)| work.payload.len());
    }

    // As one that takes over.

    /// A life is gone: what it claimed, or had taken over, is asked for; one keeper after the other, so that most often
    /// one alone asks.
    fn bereave(&mut self, member: Member, life: Life) {
        let (now, me, step) = (self.now, self.rules.me, self.rules.ask_within);
        for (id, granted) in &mut self.granted {
            let claimed = id.claimant == member && id.life == life;
            let taken = granted.taker == Some(member);
            let waits = granted.due.is_some() || granted.asking.is_some();
            if waits || !(taken || claimed && granted.taker.is_none()) {
                continue;
            }
            granted.taker = None;
            let others = granted
                .keepers
                .iter()
                .filter(|(keeper, _)| *keeper != member);
            let place = others.take_while(|(keeper, _)| *keeper != me).count();
            granted.due = Some(now + place as f64 * step);
        }
    }

    /// A member is there: what it had in hand is its own again, unless others were asked already.
    fn returns(&mut self, member: Member) {
        self.away.remove(&member);
        let life = self.lives.get(&member).copied();
        for (id, granted) in &mut self.granted {
            if id.claimant == member && Some(id.life) == life && granted.asking.is_none() {
                granted.due = None;
            }
        }
    }

    fn ask(&mut self, id: WorkId, actions: &mut Vec<Action>) {
        let promised = self.kept.get(&id).map_or(0, |kept| kept.promised.round);
        let Some(granted) = self.granted.get_mut(&id) else {
            return;
        };
        granted.round = granted.round.max(promised).saturating_add(1);
        let ballot = Ballot {
            round: granted.round,
            of: self.rules.me,
        };
        let until = self.now + self.rules.ask_within;
        (granted.due, granted.asking) = (
            None,
            Some(Asking {
                ballot,
                promises: BTreeMap::new(),
                until,
            }),
        );
        for (keeper, seen) in granted.keepers.clone() {
            if let Some(seen) = seen {
                self.say(keeper, Said::Prepare { id, ballot, seen }, actions);
            }
        }
    }

    /// Another asked under a higher ballot: let it.
    fn outbid(&mut self, id: WorkId, ballot: Ballot, promised: Option<Ballot>) {
        let granted = self
            .granted
            .get(&id)
            .and_then(|granted| granted.asking.as_ref());
        let ours = granted.is_some_and(|asking| asking.ballot == ballot);
        if let Some(higher) = promised.filter(|promised| ours && *promised > ballot) {
            self.yields(id, higher);
        }
    }

    /// Another asks for a work, or goes on with it.
    fn yields(&mut self, id: WorkId, to: Ballot) {
        if to.of == self.rules.me || to.round == 0 {
            return;
        }
        if let Some(granted) = self.granted.get_mut(&id) {
            granted.round = granted.round.max(to.round);
            (granted.asking, granted.due, granted.taker) = (None, None, Some(to.of));
        }
    }

    fn promised(
        &mut self,
        id: WorkId,
        ballot: Ballot,
        from: Member,
        kept: Option<(Ballot, Went, Work)>,
        actions: &mut Vec<Action>,
    ) {
        let Some(granted) = self.granted.get_mut(&id) else {
            return;
        };
        let Some(asking) = granted
            .asking
            .as_mut()
            .filter(|asking| asking.ballot == ballot)
        else {
            return;
        };
        asking.promises.insert(from, kept);
        if asking.promises.len() <= granted.keepers.len() / 2 {
            return;
        }
        let newest = asking
            .promises
            .values()
            .flatten()
            .max_by_key(|(ballot, _, _)| *ballot)
            .cloned();
        let keepers = granted.keepers.clone();
        (granted.asking, granted.taker) = (None, Some(self.rules.me));
        // A majority knows of no attempt, and lets none through any more: none was let out.
        let Some((_, went, work)) = newest else {
            return self.end(id, &keepers, Verdict::NotSent, actions);
        };
        let inside = work
            .window
            .is_some_and(|window| went.ago < window * (1.0 - MARGIN));
        if !inside || work.within <= 0.0 || self.tokens < 1.0 {
            return self.end(id, &keepers, Verdict::MayHaveRun, actions);
        }
        self.tokens -= 1.0;
        let first = Some((went.hall, self.now - went.ago));
        self.own.insert(
            id,
            Own {
                ballot,
                keepers,
                went: first,
                fenced: false,
                asked: None,
            },
        );
        actions.push(Action::TakeOver { id, work, went });
    }

    fn end(
        &mut self,
        id: WorkId,
        keepers: &[(Member, Option<Life>)],
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) {
        for (keeper, _) in keepers {
            self.say(*keeper, Said::Ended(id, verdict), actions);
        }
        if !keepers.iter().any(|(keeper, _)| *keeper == self.rules.me) {
            actions.push(Action::End(id, verdict));
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let fill = (now - self.filled).max(0.0) * self.rules.per_s / 1000.0;
        (self.tokens, self.filled) = ((self.tokens + fill).min(self.rules.per_s.max(1.0)), now);
        let late = |own: &Own| {
            own.asked
                .as_ref()
                .filter(|asked| asked.until <= now)
                .map(|asked| asked.attempt)
        };
        let late: Vec<(WorkId, u32)> = self
            .own
            .iter()
            .filter_map(|(id, own)| Some((*id, late(own)?)))
            .collect();
        for (id, attempt) in late {
            if let Some(own) = self.own.get_mut(&id) {
                own.asked = None;
            }
            actions.push(Action::Withhold(id, attempt));
        }
        let told: Vec<WorkId> = self
            .closing
            .iter()
            .filter(|(_, closing)| closing.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in told {
            self.closing.remove(&id);
            actions.push(Action::Closed(id));
        }
        let gone: Vec<WorkId> = self
            .kept
            .iter()
            .filter(|(_, kept)| kept.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        gone.iter().for_each(|id| self.forget(id));
        self.granted.retain(|_, granted| granted.expires > now);
        let due = |granted: &Granted| {
            let unheard = granted
                .asking
                .as_ref()
                .is_some_and(|asking| asking.until <= now);
            unheard || granted.due.is_some_and(|due| due <= now)
        };
        let due: Vec<WorkId> = self
            .granted
            .iter()
            .filter(|(_, granted)| due(granted))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.ask(id, actions);
        }
    }
}
