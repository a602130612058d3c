//! Configuration items and voters, as the store delivers them.

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

/// Whether items are the first that this incarnation of the registry receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// The first items: their content may be much older than their arrival.
    Initial,
    /// Later items: their content has just changed.
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

    /// Whether the zone of an evacuation's item may have been evacuated just before this version of the item. That is
    /// ruled out only if the version directly before it is known and has no body, which means that the zone was not
    /// evacuated.
    fn may_have_been_evacuated(&self, item: &Item) -> bool {
        let known = self.items.get(&item.key);
        known.is_none_or(|known| known.body.is_some() || known.version.next() != item.version)
    }

    /// Stores an item unless the known version is as new or newer. Returns whether it was stored.
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

    /// Restarts the warm-up of a zone's servers when the evacuation of the zone has ended, as they got no requests
    /// during it.
    ///
    /// If the item is one of the first of this incarnation, the evacuation may have ended long ago. The warm-up of
    /// instances with an owner is then left as the owner reports it. Instances without an owner warm up again: if all
    /// registries have just restarted, such instances are known only from proxies, whose information may date from
    /// before the end of the evacuation.
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
            self.zones_after_evacuation
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
        // Peers that have just started cannot derive the restarted warm-up from their items.
        self.replicate(now, &owned, actions);
    }

    /// Restarts the warm-up of the servers of a zone for which `is_affected` holds. Reports do not shorten it until the
    /// servers have had time for a new heartbeat. Returns the ids of the instances whose end of the warm-up has
    /// changed.
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

/// The `warmup` of a service's item, which is a number with the unit `s` or `ms`; `None` if it is missing or invalid.
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
