//! Lists told by peers: a few limiters hold a watch of the list service, and the others learn from them over the link.
//!
//! Callers are found, not appointed. Whoever lacks callers calls when its slot comes; whoever hears of enough waits. A
//! caller whose watch lives says so each [`Limits::pulse`], with the version that it holds; pulses go from neighbour to
//! neighbour, and whoever holds an older version asks the neighbour that passed one on for the list. A caller that dies,
//! stands still, is cut off, or whose watch breaks, is missed after [`Limits::fresh`] and replaced by slot, so that the
//! loss of all of them costs no more calls than their replacement.
//!
//! Versions only rise here. A list that is older than the one held, or was doubted for another reason, and is believed by
//! the operator's word or because the doubt's time was over, comes under a further word: so a word at one is enough.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A list that was asked for and did not come is asked for again after so long.
const AGAIN: Duration = Duration::from_millis(400);
/// One that came and was not believed, after so long.
const DOUBTED: Duration = Duration::from_secs(5);
/// Whoever lacks callers hears for so long before its slot begins: a link comes up meanwhile.
pub const LULL: Duration = Duration::from_millis(300);

/// How lists are told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// So many limiters hold a watch; more call only while fewer are heard of.
    pub callers: usize,
    /// How often each says that its watch lives.
    pub pulse: Duration,
    /// One that was not heard for so long counts no more.
    pub fresh: Duration,
}

/// Which of two lists is the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// How often a doubt of the service ended in believing it, as far as was heard.
    pub word: u32,
    /// The service's own count.
    pub rev: u64,
}

/// A caller's word that its watch of the service lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    /// The caller's number.
    pub caller: u32,
    /// Its life, later ones higher.
    pub life: u64,
    /// 1, 2, 3 and so on in each life.
    pub seq: u64,
    /// Of the list that it holds.
    pub version: Version,
}

/// What limiters say to each other about lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// Passed on by everyone who hears it for the first time and holds as new a list.
    Pulse(Pulse),
    /// The sender wants the list of this version or a later one.
    Want {
        /// The version.
        version: Version,
    },
    /// The whole list.
    List {
        /// Its version.
        version: Version,
        /// Its entries, as the host writes them.
        entries: Vec<u8>,
    },
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Say this to a neighbour.
    Say {
        /// To whom.
        to: u32,
        /// What.
        said: Said,
    },
    /// Say the whole list that is held to a neighbour.
    Tell {
        /// To whom.
        to: u32,
    },
    /// Look at this list: take, doubt or ignore it, and tell [`Feed::hold`] if it was taken.
    Judge {
        /// Its version.
        version: Version,
        /// It is believed after a doubt: it is to be taken.
        sure: bool,
        /// Its entries.
        entries: Vec<u8>,
    },
}

/// The last pulse of a caller.
#[derive(Clone, Copy, Debug)]
struct Heard {
    pulse: Pulse,
    at: Duration,
    /// Its caller has been heard of without a break since then.
    since: Duration,
    /// It was not passed on yet, as the list held was older.
    from: Option<u32>,
}

/// What one limiter knows of the callers.
#[derive(Clone, Debug)]
pub struct Feed {
    me: u32,
    life: u64,
    /// By number, its place in the order in which limiters call.
    slots: BTreeMap<u32, u32>,
    limits: Limits,
    reached: BTreeSet<u32>,
    heard: BTreeMap<u32, Heard>,
    held: Option<Version>,
    /// This limiter's own watch tells.
    watching: bool,
    seq: u64,
    pulsed: Option<Duration>,
    /// Since when too few callers are heard of.
    lacking: Option<Duration>,
    /// The version that was asked for, until when no other neighbour is asked.
    wanted: Option<(Version, Duration)>,
}

impl Feed {
    /// For a life that starts now, one of these members; `held` is the version of the list that it was given.
    pub fn new(
        me: u32,
        life: u64,
        members: &BTreeSet<u32>,
        limits: Limits,
        held: Option<u64>,
    ) -> Feed {
        let size = u32::try_from(members.len()).unwrap_or(u32::MAX).max(1);
        let place = |(at, number): (usize, &u32)| (*number, crate::calls::spread(at as u32, size));
        Feed {
            me,
            life,
            slots: members.iter().enumerate().map(place).collect(),
            limits,
            reached: BTreeSet::new(),
            heard: BTreeMap::new(),
            held: held.map(|rev| Version { word: 0, rev }),
            watching: false,
            seq: 0,
            pulsed: None,
            lacking: Some(Duration::ZERO),
            wanted: None,
        }
    }

    /// The version of the list that is held.
    pub fn held(&self) -> Option<Version> {
        self.held
    }

    /// Callers that are heard of and hold as new a list, this limiter aside.
    pub fn callers(&self, now: Duration) -> usize {
        self.fresh(now).count()
    }

    fn fresh(&self, now: Duration) -> impl Iterator<Item = &Heard> {
        let (fresh, held) = (self.limits.fresh, self.held);
        let counts = move |heard: &&Heard| {
            now.saturating_sub(heard.at) < fresh && held == Some(heard.pulse.version)
        };
        self.heard.values().filter(counts)
    }

    /// When this limiter is to call, in time since the start, if nothing else is heard; `slot` is its own in a round of
    /// all. Never, while its watch tells or enough others call.
    pub fn due(&self, slot: Duration) -> Option<Duration> {
        self.lacking
            .filter(|_| !self.watching)
            .map(|since| since + LULL + slot)
    }

    /// This limiter's own watch of the service tells, or does not any more.
    pub fn watch(&mut self, now: Duration, on: bool, actions: &mut Vec<Action>) {
        self.watching = on;
        self.pulse(now, true, actions);
        self.look(now);
    }

    /// The list of this version is held and not doubted.
    pub fn hold(&mut self, now: Duration, version: Version, actions: &mut Vec<Action>) {
        if self.held.is_some_and(|held| version <= held) {
            return;
        }
        self.held = Some(version);
        self.wanted = None;
        let late: Vec<(u32, Pulse)> = self
            .heard
            .values_mut()
            .filter(|heard| heard.pulse.version <= version)
            .filter_map(|heard| heard.from.take().map(|from| (from, heard.pulse)))
            .collect();
        for (from, pulse) in late {
            self.pass_on(from, pulse, actions);
        }
        self.pulse(now, true, actions);
        self.look(now);
    }

    /// The service is another one from now on: versions start anew.
    pub fn moved(&mut self, now: Duration) {
        self.heard.clear();
        (self.held, self.wanted) = (None, None);
        self.lacking = Some(now);
    }

    /// A neighbour can be told something, or cannot any more.
    pub fn reach(
        &mut self,
        now: Duration,
        neighbour: u32,
        reached: bool,
        actions: &mut Vec<Action>,
    ) {
        match reached {
            true => {
                if !self.reached.insert(neighbour) {
                    return;
                }
                // What it missed: of the others, and of this one.
                let said = |heard: &Heard| Action::Say {
                    to: neighbour,
                    said: Said::Pulse(heard.pulse),
                };
                actions.extend(self.fresh(now).map(said));
                self.pulse(now, true, actions);
            }
            false => _ = self.reached.remove(&neighbour),
        }
    }

    /// A neighbour has said something.
    pub fn hear(&mut self, now: Duration, from: u32, said: Said, actions: &mut Vec<Action>) {
        match said {
            Said::Pulse(pulse) => self.hear_pulse(now, from, pulse, actions),
            Said::Want { version } => {
                if self.held >= Some(version) {
                    actions.push(Action::Tell { to: from });
                }
            }
            Said::List { version, entries } => {
                // One that nobody asked for, or an old one, is not looked at.
                let wanted = self.wanted.is_some_and(|(wanted, _)| version >= wanted);
                if wanted && self.held < Some(version) {
                    // Until it is held, it was not believed.
                    self.wanted = Some((version, now + DOUBTED));
                    let sure = version.word > self.held.map_or(0, |held| held.word);
                    actions.push(Action::Judge {
                        version,
                        sure,
                        entries,
                    });
                }
            }
        }
        self.look(now);
    }

    fn hear_pulse(&mut self, now: Duration, from: u32, pulse: Pulse, actions: &mut Vec<Action>) {
        // Those that are no members are not remembered: what is kept is bounded.
        if pulse.caller == self.me || !self.slots.contains_key(&pulse.caller) {
            return;
        }
        let before = self.heard.get(&pulse.caller).copied();
        let newer = before
            .is_none_or(|before| (pulse.life, pulse.seq) > (before.pulse.life, before.pulse.seq));
        let behind = self.held < Some(pulse.version);
        if newer {
            let unbroken =
                before.filter(|before| now.saturating_sub(before.at) < self.limits.fresh);
            let since = unbroken.map_or(now, |before| before.since);
            let heard = Heard {
                pulse,
                at: now,
                since,
                from: behind.then_some(from),
            };
            self.heard.insert(pulse.caller, heard);
            // The pulses of callers that are too many need not go round, and are many where many called at once.
            if !behind && self.before(now, pulse.caller).count() < self.limits.callers {
                self.pass_on(from, pulse, actions);
            }
        }
        // Heard again by another way, it is another one to ask.
        let asks = match self.wanted {
            Some((version, until)) => now >= until || pulse.version > version,
            None => true,
        };
        if behind && asks {
            self.wanted = Some((pulse.version, now + AGAIN));
            let said = Said::Want {
                version: pulse.version,
            };
            actions.push(Action::Say { to: from, said });
        }
    }

    fn pass_on(&self, from: u32, pulse: Pulse, actions: &mut Vec<Action>) {
        let others = self
            .reached
            .iter()
            .filter(|to| **to != from && **to != pulse.caller);
        actions.extend(others.map(|to| Action::Say {
            to: *to,
            said: Said::Pulse(pulse),
        }));
    }

    /// Time has passed; at least each tenth of [`Limits::fresh`].
    pub fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.pulse(now, false, actions);
        self.look(now);
    }

    fn pulse(&mut self, now: Duration, at_once: bool, actions: &mut Vec<Action>) {
        let Some(version) = self.held.filter(|_| self.watching) else {
            return;
        };
        let due = self
            .pulsed
            .is_none_or(|last| now >= last + self.limits.pulse);
        if !due && !at_once {
            return;
        }
        (self.pulsed, self.seq) = (Some(now), self.seq + 1);
        let pulse = Pulse {
            caller: self.me,
            life: self.life,
            seq: self.seq,
            version,
        };
        self.pass_on(self.me, pulse, actions);
    }

    /// Whether callers are lacking.
    fn look(&mut self, now: Duration) {
        let enough = self.callers(now) + usize::from(self.watching) >= self.limits.callers;
        self.lacking = match enough {
            true => None,
            false => Some(self.lacking.unwrap_or(now)),
        };
    }

    /// Enough others call that come before this one: its own watch is to end. They were there all along, so that two do
    /// not give way to each other.
    pub fn is_surplus(&self, now: Duration) -> bool {
        let long = |heard: &&Heard| now.saturating_sub(heard.since) >= self.limits.fresh;
        self.watching && self.before(now, self.me).filter(long).count() >= self.limits.callers
    }

    /// Callers that count and come before another by slot.
    fn before(&self, now: Duration, caller: u32) -> impl Iterator<Item = &Heard> {
        let slot = |number: u32| self.slots.get(&number).copied().unwrap_or(u32::MAX);
        self.fresh(now)
            .filter(move |heard| slot(heard.pulse.caller) < slot(caller))
    }
}

/// Whom each of the members speaks to: so many steps round the ring of all, both ways. With steps of 1, 4, 16 and so on a
/// word needs nine hops at most among 400.
pub fn neighbours(me: u32, members: &BTreeSet<u32>) -> BTreeSet<u32> {
    let all: Vec<u32> = members.iter().copied().collect();
    let Some(at) = all.iter().position(|number| *number == me) else {
        return BTreeSet::new();
    };
    let mut chosen = BTreeSet::new();
    let mut step = 1;
    while step < all.len() {
        chosen.insert(all[(at + step) % all.len()]);
        chosen.insert(all[(at + all.len() - step) % all.len()]);
        step *= 4;
    }
    chosen.remove(&me);
    chosen
}
