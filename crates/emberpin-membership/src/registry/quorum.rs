//! What the registry may confirm: contact with a majority of the registries, and a store that compared itself with a
//! majority of the stores.

use super::{Action, Registry};
use crate::clock::Timestamp;
use crate::ids::Nonce;
use crate::timing::{CHANGE_BATCH_DELAY, REGISTRY_LEASE_DURATION};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Where a call of the operator is to be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCallTarget {
    /// At the store that this registry follows.
    Local,
    /// At this registry, which was confirmed when it last reported.
    Peer(Ipv4Addr),
    /// Nowhere: no confirmed registry is known.
    Unavailable,
}

impl Registry {
    /// The machines whose registries make up the majority: those of the voters, or of the seeds until a store has named
    /// the voters.
    pub(super) fn voting_registries(&self) -> BTreeSet<Ipv4Addr> {
        if self.voters.is_empty() {
            let seeds = self.config.seeds.iter().copied();
            seeds.chain([self.config.address]).collect()
        } else {
            self.voters.iter().copied().collect()
        }
    }

    /// Whether this registry and the peers for which `holds` is true are a majority.
    pub(super) fn is_majority(&self, holds: impl Fn(&Ipv4Addr) -> bool) -> bool {
        let registries = self.voting_registries();
        let count = registries
            .iter()
            .filter(|registry| **registry == self.config.address || holds(registry))
            .count();
        count > registries.len() / 2
    }

    /// Whether the registry is in contact with a majority of the registries.
    pub fn has_contact_with_majority(&self, now: Timestamp) -> bool {
        self.contact_age(now)
            .is_some_and(|age| age <= REGISTRY_LEASE_DURATION)
    }

    /// The time since a majority of the registries had reported everything to this one; `None` if that was never the
    /// case.
    fn contact_age(&self, now: Timestamp) -> Option<Duration> {
        let registries = self.voting_registries();
        let age = |registry: &Ipv4Addr| {
            if *registry == self.config.address {
                Some(Duration::ZERO)
            } else {
                self.peers.get(registry)?.lease.age(now)
            }
        };
        let mut ages: Vec<Duration> = registries.iter().filter_map(age).collect();
        ages.sort_unstable();
        ages.get(registries.len() / 2).copied()
    }

    /// The greatest age of what this registry sends to proxies: everything that a majority of the stores and of the
    /// registries had by then has been sent. `None` if it is older than [`REGISTRY_LEASE_DURATION`], or unknown.
    pub fn confirmed_age(&self, now: Timestamp) -> Option<Duration> {
        // Changes that wait for their batch were recorded since then.
        let unsent = self.flush_at.map_or(Duration::ZERO, |flush_at| {
            now.duration_since(flush_at.saturating_sub(CHANGE_BATCH_DELAY))
        });
        let age = self
            .store_lease
            .age(now)?
            .max(self.contact_age(now)?)
            .max(unsent);
        (age <= REGISTRY_LEASE_DURATION).then_some(age)
    }

    /// Whether what this registry sends to proxies is confirmed by a majority; see [`Registry::confirmed_age`].
    pub fn is_confirmed(&self, now: Timestamp) -> bool {
        self.confirmed_age(now).is_some()
    }

    /// Whether the registry has been confirmed for long enough to have received a heartbeat from every live server.
    pub(super) fn is_complete(&self, now: Timestamp) -> bool {
        self.is_confirmed(now)
            && self
                .confirmed_since
                .is_some_and(|since| now.duration_since(since) >= self.completeness_delay())
    }

    /// Where a call of the operator is to be handled. A call that this registry's store cannot confirm would only be
    /// delayed here, so it goes to the peer that was confirmed most recently.
    pub fn operator_call_target(&self, now: Timestamp) -> OperatorCallTarget {
        let is_store_confirmed = self.store_lease.is_valid(now, REGISTRY_LEASE_DURATION);
        if is_store_confirmed || !self.guards.operator_redirect {
            return OperatorCallTarget::Local;
        }
        let registries = self.voting_registries();
        let confirmed = self
            .peers
            .iter()
            .filter(|(address, peer)| peer.is_confirmed && registries.contains(address));
        confirmed
            .max_by_key(|(_, peer)| peer.lease.confirmed_at())
            .map_or(OperatorCallTarget::Unavailable, |(address, _)| {
                OperatorCallTarget::Peer(*address)
            })
    }

    /// Asks the store for the age of its state, which renews the lease on it.
    pub(super) fn query_store(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let nonce = self.store_lease.begin_query(now);
        actions.push(Action::QueryStore { nonce });
    }

    pub(super) fn on_store_confirmed(
        &mut self,
        now: Timestamp,
        nonce: Nonce,
        age: Option<Duration>,
    ) {
        if self.guards.lease_from_query {
            self.store_lease.on_answer(nonce, age);
        } else {
            self.store_lease.on_answer_from_arrival(now, age);
        }
    }
}
