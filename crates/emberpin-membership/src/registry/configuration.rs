//! Items and status from the store.

use super::{Action, Registry, WARMUP_MS};
use crate::change_log::Change;
use crate::instances::Row;
use crate::timing::STORE_QUESTION;
use emberpin_config::{Item, ItemKind};
use std::collections::btree_map::Entry;
use std::net::Ipv4Addr;

impl Registry {
    pub(super) fn news(&mut self, now: u64, items: Vec<Item>, actions: &mut Vec<Action>) {
        let first = self.items.is_empty();
        for item in items {
            match self.items.entry(item.key.clone()) {
                Entry::Occupied(mut known) if known.get().version < item.version => {
                    _ = known.insert(item.clone());
                }
                Entry::Occupied(_) => continue,
                Entry::Vacant(place) => _ = place.insert(item.clone()),
            }
            match (item.key.kind, &item.body) {
                (ItemKind::Service, Some(body)) => {
                    let warmup = warmup_ms(body).unwrap_or(WARMUP_MS);
                    self.warmups.insert(item.key.name.clone(), warmup);
                }
                (ItemKind::Evacuation, None) => {
                    self.taken_back(now, &item.key.name, first, actions)
                }
                _ => {}
            }
            self.note(now, Change::Item(item.key));
        }
    }

    /// An evacuation is over; the zone's servers may have become cold while nobody asked them.
    ///
    /// What the first items of this instance tell may be long over. Then the other registries know how cold their
    /// servers are; but what limiters tell where all registries have begun anew may be from before.
    pub(super) fn taken_back(
        &mut self,
        now: u64,
        zone: &str,
        first: bool,
        actions: &mut Vec<Action>,
    ) {
        if !self.guards.returned {
            return;
        }
        if first {
            self.taken_back
                .insert(zone.to_string(), now + self.limits.beat_ms);
        }
        let presumed = self.presume_cold(now, zone, |_, row| !first || row.owner.is_none());
        let owned = |id: &String| {
            self.instances
                .get(id)
                .is_some_and(|row| row.owner == Some(self.limits.me))
        };
        let owned: Vec<String> = presumed.into_iter().filter(owned).collect();
        // To registries that have just started, which cannot know it from the items.
        self.say_changed(now, &owned, actions);
    }

    pub(super) fn presume_cold(
        &mut self,
        now: u64,
        zone: &str,
        which: impl Fn(&str, &Row) -> bool,
    ) -> Vec<String> {
        let warmups = &self.warmups;
        let warmup = |service: &str| warmups.get(service).copied().unwrap_or(WARMUP_MS);
        let presumed =
            self.instances
                .presume_cold(now, zone, now + self.limits.beat_ms, which, warmup);
        for id in &presumed {
            self.note(now, Change::Instance(id.clone()));
        }
        presumed
    }

    pub(super) fn voters_told(
        &mut self,
        now: u64,
        voters: Vec<Ipv4Addr>,
        actions: &mut Vec<Action>,
    ) {
        if !voters.is_empty() && voters != self.voters {
            self.voters = voters;
            self.meet(now, actions);
        }
    }
}

impl Registry {
    /// Asks the store how old what it tells is, whenever that is due.
    pub(super) fn ask_store(&mut self, now: u64, actions: &mut Vec<Action>) {
        if now >= self.ask_store_at {
            self.ask_store_at = now + STORE_QUESTION;
            actions.push(Action::AskStore {
                question: self.store.ask(now),
            });
        }
    }

    pub(super) fn store_confirmed(&mut self, now: u64, question: u64, age: Option<u64>) {
        match self.guards.lease {
            true => self.store.answer(question, age),
            false => self.store.answer_on_arrival(now, age),
        }
    }
}

/// The `warmup` of a service's item.
pub(super) fn warmup_ms(body: &str) -> Option<u64> {
    let item = jzon::parse(body).ok()?;
    let text = item["warmup"].as_str()?;
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1_000.0),
    };
    let time = number.trim().parse::<f64>().ok()? * unit;
    (time.is_finite() && time >= 0.0).then_some(time as u64)
}
