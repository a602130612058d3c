//! The conditions under which the registry confirms its state: contact with a majority of the registries, and a store
//! that has compared itself with a majority of the stores.

use super::{Action, Registry};
use crate::clock::Timestamp;
use crate::ids::Nonce;
use crate::timing::{CHANGE_BATCH_DELAY, REGISTRY_LEASE_DURATION};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Where a call of the operator must be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCallTarget {
    /// By this registry, with the store that it follows.
    Local,
    /// By the registry of this address, which was confirmed when it last reported.
    Peer(Ipv4Addr),
    /// No confirmed registry is known.
    Unavailable,
}

impl Registry {
    /// The machines whose registries count for majorities: those of the voters, or this machine and the seeds until a
    /// store has named the voters.
    pub(super) fn voting_registries(&self) -> BTreeSet<Ipv4Addr> {
        if self.voters.is_empty() {
            let seeds = self.config.seeds.iter().copied();
            seeds.chain([self.config.address]).collect()
        } else {
            self.voters.iter().copied().collect()
        }
    }

    /// Whether the voting registries for which `is_counted` is true are a majority of them.
    pub(super) fn is_majority(&self, is_counted: impl Fn(&Ipv4Addr) -> bool) -> bool {
        let registries = self.voting_registries();
        let count = registries
            .iter()
            .filter(|registry| is_counted(registry))
            .count();
        count > registries.len() / 2
    }

    /// Whether the registry is in contact with a majority of the registries.
    pub fn has_contact_with_majority(&self, now: Timestamp) -> bool {
        self.contact_age(now)
            .is_some_and(|age| age <= REGISTRY_LEASE_DURATION)
    }

    /// The time that has passed since a majority of the registries had last reported all their state to this one;
    /// `None` if that was never the case.
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

    /// The greatest age of the state that this registry has sent to proxies: everything that a majority of the stores
    /// and of the registries knew that long ago has been sent. `None` if the age exceeds [`REGISTRY_LEASE_DURATION`] or
    /// is unknown, or if the shutdowns on this registry's disk have not been restored yet.
    pub fn confirmed_age(&self, now: Timestamp) -> Option<Duration> {
        if !self.shutdown_log.is_restored() {
            return None;
        }
        // The oldest unsent change was recorded one batch delay before the flush is due.
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

    /// Where a call of the operator must be handled. This registry would only delay a call that its store cannot
    /// confirm, so such a call goes to the confirmed peer with the most recent contact.
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

    /// Queries the store for the age of its state. The answer renews the lease on the store.
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
