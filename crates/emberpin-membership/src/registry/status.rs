//! The state of a registry as reported to the operator.

use super::Registry;
use crate::clock::Timestamp;
use crate::instance_table::{InstanceEntry, InstanceTable};
use crate::peers::ProxyIdentity;
use emberpin_config::Item;
use std::net::Ipv4Addr;

/// How far a proxy is behind the registry's change log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyLag {
    /// The proxy that is behind.
    pub proxy: ProxyIdentity,
    /// The number of changes that were not in force at the proxy when it last sent a keep-alive.
    pub changes_behind: u64,
}

impl Registry {
    /// The table of instances.
    pub fn instances(&self) -> &InstanceTable {
        &self.instances
    }

    /// How many times an instance, or the drain of one, was learned from a proxy since the start.
    pub fn learned_from_proxies(&self) -> u64 {
        self.learned_from_proxies
    }

    /// The number of drains and exits of servers that are not on this registry's disk yet.
    pub fn unsynced_shutdowns(&self) -> usize {
        self.shutdown_log.unsynced_count()
    }

    /// The configuration items, including tombstones of deleted ones.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// The number of configuration items, including tombstones of deleted ones.
    pub fn item_count(&self) -> usize {
        self.items.len()
    }

    /// The time of the last contact with an instance, either directly by a heartbeat or a newer record, or through the
    /// registry that owns it.
    pub fn last_contact(&self, entry: &InstanceEntry) -> Timestamp {
        let owner = entry.owner.and_then(|owner| self.peers.get(&owner));
        let owner_confirmed_at = owner.and_then(|peer| peer.lease.confirmed_at());
        entry
            .last_contact
            .max(owner_confirmed_at.unwrap_or(Timestamp::ZERO))
    }

    /// The machines whose stores vote, as last named by a store; empty until a store has named them.
    pub fn voters(&self) -> &[Ipv4Addr] {
        &self.voters
    }

    /// The registries with which this one is in contact, including itself.
    pub fn registries_in_contact(&self, now: Timestamp) -> Vec<Ipv4Addr> {
        let peers = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_in_contact(now))
            .map(|(address, _)| *address);
        peers.chain([self.config.address]).collect()
    }

    /// The lag of every proxy that has a session with this registry.
    pub fn proxy_lags(&self) -> impl Iterator<Item = ProxyLag> + '_ {
        let newest = self.change_log.revision().number;
        self.sessions.values().map(move |session| {
            let applied = session.applied.map_or(0, |revision| revision.number);
            ProxyLag {
                proxy: session.proxy.clone(),
                changes_behind: newest.saturating_sub(applied),
            }
        })
    }
}
