//! What the store delivers: configuration items and the voters.

use super::{Action, Registry};
use crate::change_log::Change;
use crate::clock::Timestamp;
use crate::instance_table::InstanceEntry;
use emberpin_config::{Item, ItemKind};
use std::collections::btree_map::Entry;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The warm-up time of a service whose item does not name one.
const DEFAULT_WARMUP: Duration = Duration::from_millis(3_000);

/// Whether items are the first that this incarnation of the registry gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// They are: what they say may have been so for long.
    Initial,
    /// They are not: what they say has just changed.
    Update,
}

impl Registry {
    pub(super) fn on_items(&mut self, now: Timestamp, items: Vec<Item>, actions: &mut Vec<Action>) {
        let delivery = if self.items.is_empty() {
            Delivery::Initial
        } else {
            Delivery::Update
        };
        for item in items {
            let was_evacuated = self.may_have_been_evacuated(&item);
            if !self.store_item(&item) {
                continue;
            }
            match (item.key.kind, &item.body) {
                (ItemKind::Service, Some(body)) => {
                    let warmup = parse_warmup(body).unwrap_or(DEFAULT_WARMUP);
                    self.warmups.insert(item.key.name.clone(), warmup);
                }
                (ItemKind::Evacuation, None) if was_evacuated => {
                    self.on_evacuation_ended(now, &item.key.name, delivery, actions);
                }
                _ => {}
            }
            self.record_change(now, Change::Item(item.key));
        }
    }

    /// Whether the zone of an evacuation's item may have been evacuated shortly before this version: not if the version
    /// before it is known, and was the end of an evacuation itself.
    fn may_have_been_evacuated(&self, item: &Item) -> bool {
        let known = self.items.get(&item.key);
        known.is_none_or(|known| known.body.is_some() || known.version.next() != item.version)
    }

    /// Stores an item unless the known version is as new; whether it was stored.
    fn store_item(&mut self, item: &Item) -> bool {
        match self.items.entry(item.key.clone()) {
            Entry::Occupied(mut known) => {
                let is_newer = known.get().version < item.version;
                if is_newer {
                    known.insert(item.clone());
                }
                is_newer
            }
            Entry::Vacant(vacant) => {
                vacant.insert(item.clone());
                true
            }
        }
    }

    /// The evacuation of a zone has ended; its servers must warm up again, as they got no requests meanwhile.
    ///
    /// If the item is one of the first of this incarnation, the evacuation may have ended long ago. Then the peers know
    /// for how long their servers warm up; but what proxies report where all registries have just restarted may be from
    /// before.
    fn on_evacuation_ended(
        &mut self,
        now: Timestamp,
        zone: &str,
        delivery: Delivery,
        actions: &mut Vec<Action>,
    ) {
        if !self.guards.warmup_after_evacuation {
            return;
        }
        if delivery == Delivery::Initial {
            self.returned_zones
                .insert(zone.to_string(), now + self.config.heartbeat_interval);
        }
        let changed = self.restart_warmup(now, zone, |_, entry| {
            delivery == Delivery::Update || entry.owner.is_none()
        });
        let owned: Vec<String> = changed
            .into_iter()
            .filter(|id| {
                self.instances
                    .get(id)
                    .is_some_and(|entry| entry.owner == Some(self.config.address))
            })
            .collect();
        // For registries that have just started, which cannot tell it from the items.
        self.replicate(now, &owned, actions);
    }

    /// Has servers of a zone warm up again, until they have had time for a new heartbeat; gives the ids of those whose end
    /// of the warm-up has changed.
    pub(super) fn restart_warmup(
        &mut self,
        now: Timestamp,
        zone: &str,
        is_affected: impl Fn(&str, &InstanceEntry) -> bool,
    ) -> Vec<String> {
        let warmups = &self.warmups;
        let warmup = |service: &str| warmups.get(service).copied().unwrap_or(DEFAULT_WARMUP);
        let assumed_until = now + self.config.heartbeat_interval;
        let changed = self
            .instances
            .restart_warmup(now, zone, assumed_until, is_affected, warmup);
        for id in &changed {
            self.record_change(now, Change::Instance(id.clone()));
        }
        changed
    }

    pub(super) fn on_voters_changed(
        &mut self,
        now: Timestamp,
        voters: Vec<Ipv4Addr>,
        actions: &mut Vec<Action>,
    ) {
        if !voters.is_empty() && voters != self.voters {
            self.voters = voters;
            self.update_peers(now, actions);
        }
    }
}

/// The `warmup` of a service's item, in seconds or milliseconds; `None` if it names none that is valid.
fn parse_warmup(body: &str) -> Option<Duration> {
    let item = jzon::parse(body).ok()?;
    let text = item["warmup"].as_str()?;
    let (number, millis_per_unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1_000.0),
    };
    let millis = number.trim().parse::<f64>().ok()? * millis_per_unit;
    (millis.is_finite() && millis >= 0.0).then_some(Duration::from_millis(millis as u64))
}
