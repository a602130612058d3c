//! The first start of the system: who writes the first roster, and who votes by it.
//!
//! A seed that starts for the first time is a *candidate*: it draws a number and syncs it before it says anything. The
//! seed of the lowest address asks all others for their word that they know no roster; one that knows a roster tells
//! it, which ends the candidacy. With the word of all, a majority of them candidates, the lowest one writes version 1
//! of the roster, with the candidates' numbers in it. A candidate votes once it learns a first roster with its own
//! number; any other store catches up like one that lost its disk.
//!
//! So a seed whose disk is lost beside a living roster founds nothing, whatever its settings say, as long as one of
//! the seeds knows the roster, or most of them are no candidates.

use super::{Action, Replica};
use crate::message::Message;
use crate::round::majority;
use crate::state::{first_roster_item, founder_number, roster_item};
use emberpin_config::Item;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// How often those that have not answered are asked again.
const ASK: u64 = 50;

/// A seed's wish to found the system, as it is kept on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidacy {
    /// Drawn at the first start, and another one after the disk was lost.
    pub number: u64,
    /// The seeds as they were then, sorted.
    pub seeds: Vec<Ipv4Addr>,
}

/// What a store without a roster keeps of the founding.
#[derive(Debug, Default)]
pub(super) struct Founding {
    /// Of the lowest seed: what each of the others said of itself, its number if it is a candidate.
    words: BTreeMap<Ipv4Addr, Option<u64>>,
    /// When it asks next.
    ask_at: u64,
    /// The write that has this store's number, until it is synced.
    token: Option<u64>,
    /// The number of the lowest seed that this store gave its word to last.
    told: Option<u64>,
}

impl Replica {
    /// Begins a candidacy, or goes on with the one on the disk.
    pub(super) fn stand(&mut self, out: &mut Vec<Action>) {
        let mut seeds = self.options.seeds.clone();
        seeds.sort_unstable();
        seeds.dedup();
        if !self.acceptor.guards.founding {
            self.acceptor.voting = seeds.contains(&self.options.me);
            self.learn(&[roster_item(1, &seeds)], out);
            return self.persist(Vec::new(), false, true, None, out);
        }
        if self.acceptor.candidacy.is_some() || !seeds.contains(&self.options.me) {
            return;
        }
        let number = self.draw(u64::MAX).max(1);
        self.acceptor.candidacy = Some(Candidacy { number, seeds });
        self.persist(Vec::new(), false, true, None, out);
        self.founding.token = Some(self.token);
    }

    /// This store's candidacy, once it is on the disk and as long as there is no roster.
    fn stands(&self) -> Option<&Candidacy> {
        let open = self.founding.token.is_none() && self.state().roster().is_none();
        self.acceptor.candidacy.as_ref().filter(|_| open)
    }

    /// Whether it is the one seed that may write the first roster.
    fn founds(&self) -> Option<&Candidacy> {
        self.stands()
            .filter(|candidacy| candidacy.seeds.first() == Some(&self.options.me))
    }

    /// When it next has to ask.
    pub(super) fn ask_at(&self) -> Option<u64> {
        self.founds().map(|_| self.founding.ask_at)
    }

    pub(super) fn candidacy_synced(&mut self, token: u64) {
        self.founding.token.take_if(|waits| *waits <= token);
    }

    /// Asks the seeds that have not answered, and writes the first roster once all have.
    pub(super) fn found(&mut self, now: u64, out: &mut Vec<Action>) {
        if now < self.founding.ask_at {
            return;
        }
        let Some(Candidacy { number, seeds }) = self.founds().cloned() else {
            return;
        };
        self.founding.ask_at = now + ASK;
        let mut missing: Vec<Ipv4Addr> = seeds.clone();
        missing.retain(|seed| *seed != self.options.me && !self.founding.words.contains_key(seed));
        if missing.is_empty() {
            return self.write_first_roster(number, &seeds, out);
        }
        for seed in missing {
            self.send(seed, Message::Candidacy { asker: number }, out);
        }
    }

    fn write_first_roster(&mut self, number: u64, seeds: &[Ipv4Addr], out: &mut Vec<Action>) {
        let mut numbers = std::mem::take(&mut self.founding.words);
        numbers.insert(self.options.me, Some(number));
        if numbers.values().flatten().count() < majority(seeds) {
            // Asked again, as more of them may be candidates by then.
            return;
        }
        let founders: Vec<(Ipv4Addr, u64)> = seeds
            .iter()
            .map(|seed| (*seed, numbers.get(seed).copied().flatten().unwrap_or(0)))
            .collect();
        let roster = first_roster_item(&founders);
        self.learn(std::slice::from_ref(&roster), out);
        let me = self.options.me;
        for seed in seeds.iter().filter(|seed| **seed != me) {
            let message = Message::Founded {
                asker: number,
                roster: roster.clone(),
            };
            self.persist(Vec::new(), false, true, Some((*seed, message)), out);
        }
    }

    /// The lowest seed asks for this store's word that it knows no roster.
    pub(super) fn give_word(&mut self, from: Ipv4Addr, asker: u64, out: &mut Vec<Action>) {
        if let Some(roster) = self.state().roster().cloned() {
            return self.send(
                from,
                Message::Chosen {
                    items: vec![roster],
                },
                out,
            );
        }
        if self.founding.token.is_some() {
            // Asked again once its number is on the disk.
            return;
        }
        self.founding.told = Some(asker);
        let candidate = self
            .stands()
            .filter(|candidacy| candidacy.seeds.first() == Some(&from));
        let candidate = candidate.map(|candidacy| candidacy.number);
        self.send(from, Message::Word { asker, candidate }, out);
    }

    pub(super) fn take_word(
        &mut self,
        now: u64,
        from: Ipv4Addr,
        asker: u64,
        candidate: Option<u64>,
    ) {
        let Some(Candidacy { number, seeds }) = self.founds().cloned() else {
            return;
        };
        // A word to the asker that this disk was before it was lost is void.
        if asker != number || !seeds.contains(&from) {
            return;
        }
        self.founding.words.insert(from, candidate);
        if seeds
            .iter()
            .all(|seed| *seed == self.options.me || self.founding.words.contains_key(seed))
        {
            self.founding.ask_at = now;
        }
    }

    /// The lowest seed has founded; if it lost its disk since and asked anew, that founding is void.
    pub(super) fn take_founded(&mut self, asker: u64, roster: &Item, out: &mut Vec<Action>) {
        if self.founding.told.is_none_or(|told| told == asker) {
            self.learn(std::slice::from_ref(roster), out);
        }
    }

    /// Votes at once, if the first roster names this very candidacy.
    pub(super) fn vote_as_founder(&mut self, out: &mut Vec<Action>) {
        if self.acceptor.voting {
            return;
        }
        let me = self.options.me;
        let named = self
            .state()
            .roster()
            .and_then(|roster| founder_number(roster, me));
        let number = self
            .acceptor
            .candidacy
            .as_ref()
            .map(|candidacy| candidacy.number);
        if number.is_some() && named == number {
            self.acceptor.voting = true;
            self.persist(Vec::new(), false, true, None, out);
        }
    }
}
