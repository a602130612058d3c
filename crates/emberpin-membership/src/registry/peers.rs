//! Other registries: contact with them, and what they replicate.

use super::{Action, Peer, Registry, NEWCOMERS, NEWCOMER_MS, PULSE_MS, SILENCE_MS};
use crate::peers::{Ack, InstanceRecord, RegistryMessage};
use std::collections::btree_map::Entry;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

impl Registry {
    /// Speaks to those that count, and not to those that do not.
    pub(super) fn meet(&mut self, now: u64, actions: &mut Vec<Action>) {
        let registries = self.registries();
        for peer in registries.iter().filter(|peer| **peer != self.limits.me) {
            if let Entry::Vacant(place) = self.peers.entry(*peer) {
                place.insert(Peer {
                    since: now,
                    ..Peer::default()
                });
                actions.push(Action::Call { peer: *peer });
            }
        }
        self.peers.retain(|ip, peer| {
            let heard = peer.lease.confirmed_from().unwrap_or(0).max(peer.since);
            let stays = registries.contains(ip) || now.saturating_sub(heard) < NEWCOMER_MS;
            if !stays {
                actions.push(Action::Drop { peer: *ip });
            }
            stays
        });
    }

    pub(super) fn reached(
        &mut self,
        now: u64,
        ip: Ipv4Addr,
        open: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(&ip) else {
            return;
        };
        peer.open = open;
        if !open {
            self.pending
                .iter_mut()
                .for_each(|pending| _ = pending.waits_for.remove(&ip));
            return;
        }
        let hello = RegistryMessage::Hello {
            zone: self.limits.zone.clone(),
            settled: self.is_settled(now),
            instances: self.instances.table(now),
            limiters: self.own_limiters(),
        };
        actions.push(Action::Say {
            to: vec![ip],
            said: hello,
        });
        for pending in &mut self.pending {
            if let Some(row) = self.instances.get(&pending.id) {
                let said = RegistryMessage::Changed {
                    ask: Some(pending.ask),
                    instances: vec![row.told(now)],
                };
                actions.push(Action::Say { to: vec![ip], said });
                pending.waits_for.insert(ip);
            }
        }
        self.pulse_to(now, ip, actions);
    }

    pub(super) fn peer(
        &mut self,
        now: u64,
        ip: Ipv4Addr,
        said: RegistryMessage,
        actions: &mut Vec<Action>,
    ) {
        if ip == self.limits.me {
            return;
        }
        if !self.peers.contains_key(&ip) {
            if self.peers.len() >= self.registries().len() + NEWCOMERS {
                return;
            }
            self.peers.insert(
                ip,
                Peer {
                    since: now,
                    ..Peer::default()
                },
            );
            actions.push(Action::Call { peer: ip });
        }
        let Some(peer) = self.peers.get_mut(&ip) else {
            return;
        };
        match said {
            RegistryMessage::Hello {
                zone,
                settled,
                instances,
                limiters,
            } => {
                (peer.zone, peer.settled, peer.limiters) = (zone, settled, limiters);
                self.count_limiters(now);
                self.merge(now, ip, instances, false, actions);
            }
            RegistryMessage::Changed { ask, instances } => {
                self.merge(now, ip, instances, true, actions);
                if let Some(ask) = ask {
                    actions.push(Action::Ack {
                        to: ip,
                        ack: Ack { ask },
                    });
                }
            }
            RegistryMessage::Alive { question } => match self.guards.lease {
                true => peer.lease.answer(question, Some(0)),
                false => peer.lease.answer_on_arrival(now, Some(0)),
            },
            RegistryMessage::Pulse {
                settled,
                digest,
                question,
            } => {
                peer.settled = settled;
                actions.push(Action::Say {
                    to: vec![ip],
                    said: RegistryMessage::Alive { question },
                });
                // Asked once in a while: what the sender says meanwhile is on its way.
                if self.instances.digest(ip) != digest
                    && now.saturating_sub(peer.wanted) >= PULSE_MS
                {
                    peer.wanted = now;
                    actions.push(Action::Say {
                        to: vec![ip],
                        said: RegistryMessage::Want,
                    });
                }
            }
            RegistryMessage::Want => {
                let instances = self
                    .instances
                    .owned(self.limits.me)
                    .map(|(_, row)| row.told(now))
                    .collect();
                actions.push(Action::Say {
                    to: vec![ip],
                    said: RegistryMessage::Owned { instances },
                });
            }
            RegistryMessage::Owned { instances } => {
                let named: BTreeSet<&str> = instances
                    .iter()
                    .map(|told| told.instance.id.as_str())
                    .collect();
                let owned = self.instances.owned(ip).map(|(id, _)| id.clone());
                let others: Vec<String> = owned.filter(|id| !named.contains(id.as_str())).collect();
                for id in others {
                    self.instances.disown(now, &id);
                }
                self.merge(now, ip, instances, false, actions);
            }
            RegistryMessage::Sessions { limiters } => {
                peer.limiters = limiters;
                self.count_limiters(now);
            }
        }
    }

    /// Takes instances that another registry tells.
    pub(super) fn merge(
        &mut self,
        now: u64,
        from: Ipv4Addr,
        instances: Vec<InstanceRecord>,
        displaces: bool,
        actions: &mut Vec<Action>,
    ) {
        let mut ends = Vec::new();
        for mut told in instances {
            let id = told.instance.id.clone();
            // Whoever does not hear an instance's owner has not heard the instance; it is the owner's word that counts
            // here.
            let owner = self
                .instances
                .get(&id)
                .and_then(|row| row.owner)
                .filter(|owner| *owner != from);
            let hears = |owner| {
                owner == self.limits.me
                    || self
                        .peers
                        .get(&owner)
                        .is_some_and(|peer| peer.in_contact(now))
            };
            told.expired &= !owner.is_some_and(hears);
            let effect = self.instances.merge(now, told);
            self.take(now, &id, effect, displaces);
            // Whole tables name many ends that everybody knows.
            if effect.ends && (displaces || !effect.new) {
                ends.push(id);
            }
        }
        // Whoever told them may be dead before all have heard: whoever has them passes them on, once.
        let to: Vec<Ipv4Addr> = self.open().into_iter().filter(|ip| *ip != from).collect();
        self.say_changed_to(now, to, &ends, actions);
    }

    /// Twice a second: says that this registry is there, and looks after the tables.
    pub(super) fn beat(&mut self, now: u64, actions: &mut Vec<Action>) {
        self.meet(now, actions);
        let settled = self.is_settled(now);
        self.settled_since = settled.then(|| self.settled_since.unwrap_or(now));
        self.expire(now, actions);
        self.instances.forget(now);
        let to = self.open();
        if !to.is_empty() {
            to.iter()
                .for_each(|peer| self.pulse_to(now, *peer, actions));
            if std::mem::take(&mut self.sessions_changed) {
                let limiters = self.own_limiters();
                actions.push(Action::Say {
                    to,
                    said: RegistryMessage::Sessions { limiters },
                });
            }
        }
        let silent: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, session)| now.saturating_sub(session.heard) >= SILENCE_MS)
            .map(|(number, _)| *number)
            .collect();
        for session in silent {
            self.ended(session);
            actions.push(Action::Close { session });
        }
        self.count_limiters(now);
    }

    /// Says that this registry is there, and asks whether another one is.
    pub(super) fn pulse_to(&mut self, now: u64, ip: Ipv4Addr, actions: &mut Vec<Action>) {
        let (settled, digest) = (self.is_settled(now), self.instances.digest(self.limits.me));
        let Some(peer) = self.peers.get_mut(&ip) else {
            return;
        };
        let question = peer.lease.ask(now);
        let said = RegistryMessage::Pulse {
            settled,
            digest,
            question,
        };
        actions.push(Action::Say { to: vec![ip], said });
    }
}
