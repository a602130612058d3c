//! The record of a run's chosen and acknowledged items, and the checks on it.
//!
//! These invariants are checked in the simulator as a whole; the modules of `simulation` and `state` check those that
//! need more than the record:
//!
//! - no acknowledged change is lost, and each version of an item has one content;
//! - versions and drains never regress within an incarnation, and no invalid configuration takes effect, not even in
//!   part;
//! - no part of a rejected call takes effect;
//! - no warming server gets more requests than its limit;
//! - proxies in contact apply acknowledged changes within their time limits;
//! - operators' histories are linearizable (see `history`);
//! - after all faults have ended, a call is acknowledged, and all proxies apply it and are ready.

use crate::scenario::ExpectedItem;
use crate::violation::{StepFailure, Violation};
use emberpin_config::{parse_patch, Configuration, Item, ItemKey, ItemKind, Version};
use std::collections::BTreeMap;

/// One version of an item.
type ItemVersion = (ItemKey, Version);
/// The content of an item; `None` if that version dropped it.
type Content = Option<String>;

/// The items that were chosen and acknowledged in a run.
#[derive(Debug, Default)]
pub(crate) struct Record {
    chosen: BTreeMap<ItemVersion, Content>,
    acknowledged: BTreeMap<ItemVersion, Content>,
    highest_acknowledged: BTreeMap<ItemKey, Version>,
}

/// Parses the response to a read of the configuration.
pub(crate) fn parse_configuration(body: &str) -> Result<Configuration, Violation> {
    let patch = format!("{{\"upsert\":{body}}}");
    let patch = parse_patch(patch.as_bytes()).map_err(Violation::UnreadableConfiguration)?;
    Ok(patch.items.into_iter().collect())
}

/// Checks that the response to a read shows the expected version of an item, or does not show the item.
pub(crate) fn check_read(body: &str, expected: &ExpectedItem) -> Result<(), StepFailure> {
    let configuration = parse_configuration(body).map_err(Box::new)?;
    let key = ItemKey {
        kind: match expected.kind.as_str() {
            "route" => ItemKind::Route,
            _ => ItemKind::Service,
        },
        name: expected.name.clone(),
    };
    let found = configuration.get(&key).map(|item| item.version.0);
    let (kind, name) = (expected.kind.clone(), expected.name.clone());
    match expected.version {
        Some(version) if found != Some(version) => Err(StepFailure::ReadHolds {
            kind,
            name,
            expected: version,
            found,
        }),
        None if found.is_some() => Err(StepFailure::ReadLacks { kind, name, found }),
        _ => Ok(()),
    }
}

impl Record {
    /// Records that an item was chosen, and checks that no other content was chosen for its version.
    pub fn record_chosen(&mut self, item: &Item) -> Result<(), Violation> {
        let known = self
            .chosen
            .entry((item.key.clone(), item.version))
            .or_insert_with(|| item.body.clone());
        if *known == item.body {
            return Ok(());
        }
        Err(Violation::TwoChosenContents {
            key: item.key.clone(),
            version: item.version,
            known: known.clone(),
            found: item.body.clone(),
        })
    }

    /// Records that a patch with these items was acknowledged, and checks that they were chosen.
    pub fn record_acknowledged(&mut self, items: &[Item]) -> Result<(), Violation> {
        for item in items {
            let version = (item.key.clone(), item.version);
            let chosen = self.chosen.get(&version);
            let is_chosen = chosen == Some(&item.body);
            // An item with a lower version than a chosen one has no effect, so its content is not compared.
            let is_superseded = self.is_superseded(item);
            if !is_superseded && !is_chosen {
                return Err(Violation::AcknowledgedOtherContent {
                    key: item.key.clone(),
                    version: item.version,
                    acknowledged: item.body.clone(),
                    chosen: chosen.cloned(),
                });
            }
            if chosen.is_some() && !is_chosen {
                continue;
            }
            self.acknowledged.insert(version, item.body.clone());
            let highest = self
                .highest_acknowledged
                .entry(item.key.clone())
                .or_default();
            *highest = item.version.max(*highest);
        }
        Ok(())
    }

    fn is_superseded(&self, item: &Item) -> bool {
        self.chosen
            .keys()
            .any(|(key, version)| *key == item.key && *version > item.version)
    }

    /// Whether this content was chosen for the version of the item.
    pub fn was_chosen(&self, item: &Item) -> bool {
        self.chosen.get(&(item.key.clone(), item.version)) == Some(&item.body)
    }

    /// Checks that the configuration at the end is valid and contains all acknowledged items, or later versions of
    /// them.
    pub fn check_final_configuration(&self, body: &str) -> Result<(), Violation> {
        let configuration = parse_configuration(body)?;
        configuration
            .check()
            .map_err(Violation::InvalidConfiguration)?;
        for (key, version) in &self.highest_acknowledged {
            let found = configuration.get(key);
            if self.is_lost(key, *version, found) {
                return Err(Violation::ItemMissing {
                    key: key.clone(),
                    version: *version,
                    found: found.cloned(),
                });
            }
        }
        Ok(())
    }

    /// Whether `found` shows that an acknowledged version was lost.
    fn is_lost(&self, key: &ItemKey, version: Version, found: Option<&Item>) -> bool {
        let acknowledged = &self.acknowledged[&(key.clone(), version)];
        match (found, acknowledged) {
            (Some(item), _) if item.version > version => false,
            (Some(item), content) => item.version < version || item.body != *content,
            // A later drop may have been chosen without an acknowledgement.
            (None, Some(_)) => !self.has_chosen_later_drop(key, version),
            (None, None) => false,
        }
    }

    fn has_chosen_later_drop(&self, key: &ItemKey, version: Version) -> bool {
        self.chosen
            .iter()
            .any(|((chosen_key, chosen_version), content)| {
                chosen_key == key && *chosen_version > version && content.is_none()
            })
    }
}
