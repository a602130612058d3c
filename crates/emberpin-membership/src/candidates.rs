//! With which registry a proxy begins its next session.

use crate::timing::AVOIDED;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// No more registries than these are remembered from one that could confirm nothing, and as many that were left.
const REMEMBERED: usize = 64;

/// The registries that a proxy knows beside those of its settings. Times are in milliseconds on the local clock.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// Named by a registry that heard a majority.
    confirmed: BTreeSet<Ipv4Addr>,
    /// Named by one that did not; they may be long gone, but all that the settings name may be cut off.
    hinted: BTreeSet<Ipv4Addr>,
    /// Those that a session is with, by session.
    with: BTreeMap<usize, Ipv4Addr>,
    /// When those that could confirm nothing were left.
    left: BTreeMap<Ipv4Addr, u64>,
}

impl Candidates {
    /// A registry without a session, by a number drawn at random: not the last one of this session, nor one that was
    /// left a moment ago, as long as there is another; and rather one that was heard by a majority than one that the
    /// settings name, which may be long gone.
    pub fn choose(
        &mut self,
        now: u64,
        session: usize,
        seeds: impl Iterator<Item = Ipv4Addr>,
        last: Option<Ipv4Addr>,
        draw: u64,
    ) -> Option<Ipv4Addr> {
        self.left.retain(|_, at| now.saturating_sub(*at) < AVOIDED);
        let mut known: BTreeSet<Ipv4Addr> = seeds.collect();
        known.extend(self.confirmed.iter().chain(&self.hinted));
        self.with.values().for_each(|taken| _ = known.remove(taken));
        if known.len() > 1 {
            last.map(|last| known.remove(&last));
        }
        let fresh: Vec<Ipv4Addr> = known
            .iter()
            .copied()
            .filter(|ip| !self.left.contains_key(ip))
            .collect();
        let there: Vec<Ipv4Addr> = fresh
            .iter()
            .copied()
            .filter(|ip| self.confirmed.contains(ip))
            .collect();
        let all = known.into_iter().collect();
        let among = [there, fresh, all]
            .into_iter()
            .find(|some: &Vec<_>| !some.is_empty())?;
        let at = usize::try_from(draw).unwrap_or(usize::MAX) % among.len().max(1);
        let chosen = among.get(at).copied()?;
        self.with.insert(session, chosen);
        Some(chosen)
    }

    /// A session is over; not `confirmed`: its registry was not reached, or left for want of a majority.
    pub fn ended(&mut self, now: u64, session: usize, confirmed: bool) {
        let Some(registry) = self.with.remove(&session) else {
            return;
        };
        if !confirmed && (self.left.len() < REMEMBERED || self.left.contains_key(&registry)) {
            self.left.insert(registry, now);
        }
    }

    /// What a registry names; one that hears a majority knows who there is.
    pub fn told(&mut self, registries: Vec<Ipv4Addr>, confirmed: bool) {
        if confirmed {
            self.confirmed = registries.into_iter().collect();
            self.hinted.clear();
        } else {
            self.hinted.extend(registries);
            while self.hinted.len() > REMEMBERED {
                self.hinted.pop_last();
            }
        }
    }
}
