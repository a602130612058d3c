//! The choice of the registry with which a proxy opens its next session.

use crate::clock::Timestamp;
use crate::timing::AVOIDANCE_PERIOD;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// The maximum number of hinted registries, and also of avoided ones, that are remembered.
const MAX_REMEMBERED: usize = 64;

/// Whether a registry is confirmed by a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The registry is confirmed: the registries that it names are those that exist.
    Confirmed,
    /// The registry is not confirmed, or could not be reached: the registries that it names are only hints.
    Unconfirmed,
}

/// The registries that a proxy knows in addition to the seeds of its settings, and those that it avoids for a while. A
/// proxy has a fixed number of sessions; a slot is the index of one of them.
#[derive(Clone, Debug, Default)]
pub struct RegistryCandidates {
    /// The registries named by a confirmed registry.
    confirmed: BTreeSet<Ipv4Addr>,
    /// The registries named by an unconfirmed registry. They may have been removed from the system long ago, but are
    /// needed when all seeds are cut off.
    hinted: BTreeSet<Ipv4Addr>,
    /// The registry that each slot is connected to, or tries to connect to.
    in_use: BTreeMap<usize, Ipv4Addr>,
    /// The registries with which a session or an attempt to open one ended unconfirmed, each with the time of that end.
    /// They are chosen last for [`AVOIDANCE_PERIOD`].
    avoided: BTreeMap<Ipv4Addr, Timestamp>,
}

impl RegistryCandidates {
    /// Chooses a registry that no slot uses, and assigns it to `slot`. In order of preference: one that is named by a
    /// confirmed registry and not avoided, any other that is not avoided, one that is avoided; `random` decides among
    /// equals. The registry `last`, to which the slot was connected before, is chosen only if there is no other. `None`
    /// if no registry is left.
    pub fn choose(
        &mut self,
        now: Timestamp,
        slot: usize,
        seeds: impl Iterator<Item = Ipv4Addr>,
        last: Option<Ipv4Addr>,
        random: u64,
    ) -> Option<Ipv4Addr> {
        self.avoided
            .retain(|_, ended_at| now.duration_since(*ended_at) < AVOIDANCE_PERIOD);
        let known = self.available(seeds, last);
        let preferred: Vec<Ipv4Addr> = known
            .iter()
            .copied()
            .filter(|registry| !self.avoided.contains_key(registry))
            .collect();
        let confirmed: Vec<Ipv4Addr> = preferred
            .iter()
            .copied()
            .filter(|registry| self.confirmed.contains(registry))
            .collect();
        let known = known.into_iter().collect();
        let choices = [confirmed, preferred, known]
            .into_iter()
            .find(|choices: &Vec<_>| !choices.is_empty())?;
        let index = usize::try_from(random).unwrap_or(usize::MAX) % choices.len().max(1);
        let chosen = choices.get(index).copied()?;
        self.in_use.insert(slot, chosen);
        Some(chosen)
    }

    /// All known registries that no slot uses, without `last` unless it is the only one.
    fn available(
        &self,
        seeds: impl Iterator<Item = Ipv4Addr>,
        last: Option<Ipv4Addr>,
    ) -> BTreeSet<Ipv4Addr> {
        let mut known: BTreeSet<Ipv4Addr> = seeds.collect();
        known.extend(self.confirmed.iter().chain(&self.hinted));
        for registry in self.in_use.values() {
            known.remove(registry);
        }
        if known.len() > 1 {
            if let Some(last) = last {
                known.remove(&last);
            }
        }
        known
    }

    /// Records that the session of a slot has ended. Its registry is avoided for a while if it was unconfirmed, unless
    /// too many registries are avoided already.
    pub fn on_session_ended(&mut self, now: Timestamp, slot: usize, confirmation: Confirmation) {
        let Some(registry) = self.in_use.remove(&slot) else {
            return;
        };
        let has_capacity =
            self.avoided.len() < MAX_REMEMBERED || self.avoided.contains_key(&registry);
        if confirmation == Confirmation::Unconfirmed && has_capacity {
            self.avoided.insert(registry, now);
        }
    }

    /// Records the registries that a registry has named. Those of a confirmed registry replace all that were named
    /// before; those of an unconfirmed one are added as hints.
    pub fn on_registries_named(&mut self, registries: Vec<Ipv4Addr>, confirmation: Confirmation) {
        match confirmation {
            Confirmation::Confirmed => {
                self.confirmed = registries.into_iter().collect();
                self.hinted.clear();
            }
            Confirmation::Unconfirmed => {
                self.hinted.extend(registries);
                while self.hinted.len() > MAX_REMEMBERED {
                    self.hinted.pop_last();
                }
            }
        }
    }
}
