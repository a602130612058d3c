//! Checks that proxies in contact apply acknowledged changes within their time limits.

use super::Simulation;
use crate::machine::ProxyId;
use crate::scenario::OperatorRequest;
use crate::state::event::Effect;
use crate::state::proxy::ProxyProcess;
use crate::violation::{MissingEffect, Violation};
use emberpin_config::Item;
use emberpin_consensus::EvacuationChange;
use emberpin_routing::Availability;
use std::time::Duration;

/// The effect of an evacuation is checked only if each call to end it was sent, and answered if at all, at least this
/// long before the evacuation was acknowledged.
const EVACUATION_OVERLAP: Duration = Duration::from_millis(1_000);

impl Simulation {
    pub(super) fn check_effect(&mut self, effect: &Effect, acknowledged_at: Duration) {
        if let Effect::Evacuated(zone) = effect {
            if self.was_evacuation_ended(zone, acknowledged_at) {
                return;
            }
        }
        let proxies: Vec<ProxyId> = self
            .proxies
            .keys()
            .copied()
            .filter(|proxy| self.is_in_contact(*proxy))
            .collect();
        for proxy in proxies {
            self.counters.effect_checks += 1;
            let running = self.proxies[&proxy].running.as_ref();
            let missing = running.and_then(|running| self.missing_effect(running, effect));
            if let Some(missing) = missing {
                return self.fail(Violation::NotApplied { proxy, missing });
            }
        }
    }

    /// Whether an operator requested the end of a zone's evacuation around the time of its acknowledgement or later.
    fn was_evacuation_ended(&self, zone: &str, acknowledged_at: Duration) -> bool {
        self.operators.calls.iter().any(|call| {
            let ends_evacuation = matches!(
                &call.request,
                Some(OperatorRequest::Evacuate { zone: ended, change: EvacuationChange::End }) if ended == zone
            );
            let last_seen = call.ended_at.max(call.sent_at);
            ends_evacuation && last_seen + EVACUATION_OVERLAP > acknowledged_at
        })
    }

    fn missing_effect(&self, proxy: &ProxyProcess, effect: &Effect) -> Option<MissingEffect> {
        match effect {
            Effect::Items(items) => missing_item(proxy, items),
            Effect::Drained(server) => {
                let server = self.servers.get(server)?;
                let is_available =
                    proxy.availability(&server.instance_id) == Availability::Available;
                (server.is_draining && is_available).then(|| MissingEffect::Drain {
                    instance_id: server.instance_id.clone(),
                })
            }
            Effect::Evacuated(zone) => {
                let available = self.servers.values().find(|server| {
                    server.zone == *zone
                        && server.is_up
                        && proxy.availability(&server.instance_id) == Availability::Available
                })?;
                Some(MissingEffect::Evacuation {
                    instance_id: available.instance_id.clone(),
                })
            }
        }
    }
}

/// The first of these items that a proxy does not have, or has in an older version.
fn missing_item(proxy: &ProxyProcess, items: &[Item]) -> Option<MissingEffect> {
    let is_missing = |item: &&Item| {
        let known = proxy.configuration.get(&item.key);
        known.is_none_or(|known| known.version < item.version)
    };
    let missing = items.iter().find(is_missing)?;
    Some(MissingEffect::Item {
        key: missing.key.clone(),
        version: missing.version,
    })
}
