//! Calls of servers: heartbeats, drains, ends, and silence.

use super::{Action, Answer, Pending, Registry, ALL_MS, MAJORITY_MS};
use crate::change_log::Change;
use crate::choice;
use crate::instance::{Instance, Status};
use crate::instances::Effect;
use crate::peers::{InstanceRecord, RegistryMessage};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

impl Registry {
    pub(super) fn beat_at(&self, now: u64, id: &str, zone: &str) -> Ipv4Addr {
        let me = (
            self.limits.me,
            self.limits.zone.as_str(),
            self.is_settled(now),
        );
        let peers = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.open && peer.in_contact(now));
        let peers = peers.map(|(ip, peer)| (*ip, peer.zone.as_str(), peer.settled));
        let settled: Vec<(Ipv4Addr, &str)> = peers
            .chain([me])
            .filter(|(_, _, settled)| *settled)
            .map(|(ip, zone, _)| (ip, zone))
            .collect();
        let near = settled
            .iter()
            .filter(|(_, its)| *its == zone)
            .map(|(ip, _)| *ip);
        choice::rendezvous(id, near)
            .or_else(|| choice::rendezvous(id, settled.iter().map(|(ip, _)| *ip)))
            .unwrap_or(self.limits.me)
    }

    pub(super) fn heartbeat(
        &mut self,
        now: u64,
        call: u64,
        instance: Instance,
        actions: &mut Vec<Action>,
    ) {
        let (id, zone, said) = (instance.id.clone(), instance.zone.clone(), instance.status);
        let told = InstanceRecord {
            instance,
            expired: false,
            owner: Some(self.limits.me),
        };
        let effect = self.instances.merge(now, told);
        let mut changed = self.take(now, &id, effect, true);
        let row = self.instances.get(&id);
        let kept =
            said == Status::Up || row.is_some_and(|row| row.kept || row.said() == Status::Gone);
        if kept && (effect.changed || effect.moved) {
            changed.push(id.clone());
        }
        self.say_changed(now, &changed, actions);
        if !kept {
            self.ask(now, call, id, said, actions);
            return;
        }
        // Where the others are not heard, they do not hear of this server either: it is to try them itself.
        // What it says is known to the limiters that are on this side.
        let young = now.saturating_sub(self.started) < self.expiry_ms();
        let answer = match said == Status::Up && !young && !self.is_connected(now) {
            true => Answer::Elsewhere,
            false => Answer::Taken {
                beat_at: self.beat_at(now, &id, &zone),
            },
        };
        actions.push(Action::Answer { call, answer });
    }

    pub(super) fn leave(&mut self, now: u64, call: u64, id: String, actions: &mut Vec<Action>) {
        let effect = self.instances.leave(now, &id);
        self.take(now, &id, effect, false);
        match self.instances.get(&id).is_some_and(|row| row.kept) {
            true => {
                let beat_at = self.limits.me;
                actions.push(Action::Answer {
                    call,
                    answer: Answer::Taken { beat_at },
                });
            }
            false => self.ask(now, call, id, Status::Gone, actions),
        }
    }

    /// Tells the limiters what a merge has changed, and finds out who had the address of a new instance before;
    /// those are given back.
    pub(super) fn take(
        &mut self,
        now: u64,
        id: &str,
        effect: Effect,
        displaces: bool,
    ) -> Vec<String> {
        if effect.changed {
            self.note(now, Change::Instance(id.to_string()));
        }
        let up = self
            .instances
            .get(id)
            .is_some_and(|row| row.status() == Status::Up);
        if !(effect.new && displaces && up && self.guards.displace) {
            return Vec::new();
        }
        let displaced = self.instances.displace(now, id);
        for id in &displaced {
            self.note(now, Change::Instance(id.clone()));
        }
        displaced
    }

    pub(super) fn say_changed(&self, now: u64, ids: &[String], actions: &mut Vec<Action>) {
        self.say_changed_to(now, self.open(), ids, actions);
    }

    pub(super) fn say_changed_to(
        &self,
        now: u64,
        to: Vec<Ipv4Addr>,
        ids: &[String],
        actions: &mut Vec<Action>,
    ) {
        if !ids.is_empty() && !to.is_empty() {
            let instances = ids
                .iter()
                .filter_map(|id| self.instances.get(id))
                .map(|row| row.told(now))
                .collect();
            actions.push(Action::Say {
                to,
                said: RegistryMessage::Changed {
                    ask: None,
                    instances,
                },
            });
        }
    }

    pub(super) fn open(&self) -> Vec<Ipv4Addr> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.open)
            .map(|(ip, _)| *ip)
            .collect()
    }

    /// What a server says of its end is acknowledged once a majority has it: whoever dies then, it is known.
    pub(super) fn ask(
        &mut self,
        now: u64,
        call: u64,
        id: String,
        status: Status,
        actions: &mut Vec<Action>,
    ) {
        let Some(row) = self.instances.get(&id) else {
            return;
        };
        self.asks += 1;
        let (ask, to) = (self.asks, self.open());
        let instances = vec![row.told(now)];
        let waits_for = to.iter().copied().collect();
        if !to.is_empty() {
            actions.push(Action::Say {
                to,
                said: RegistryMessage::Changed {
                    ask: Some(ask),
                    instances,
                },
            });
        }
        let taken = BTreeSet::new();
        self.pending.push(Pending {
            call,
            id,
            status,
            ask,
            since: now,
            waits_for,
            taken,
        });
    }

    pub(super) fn settle_pending(&mut self, now: u64, actions: &mut Vec<Action>) {
        for pending in std::mem::take(&mut self.pending) {
            let waited = now.saturating_sub(pending.since);
            let enough = self.majority(|peer| pending.taken.contains(peer));
            let enough = enough || !self.guards.majority;
            if enough && (pending.waits_for.is_empty() || waited >= ALL_MS || !self.guards.majority)
            {
                self.instances.keep(&pending.id, pending.status);
                let zone = self.instances.instance(now, &pending.id).zone;
                let beat_at = self.beat_at(now, &pending.id, &zone);
                actions.push(Action::Answer {
                    call: pending.call,
                    answer: Answer::Taken { beat_at },
                });
            } else if waited >= MAJORITY_MS {
                actions.push(Action::Answer {
                    call: pending.call,
                    answer: Answer::Elsewhere,
                });
            } else {
                self.pending.push(pending);
            }
        }
    }

    /// Finds instances that were not heard for too long; only while what is heard can be trusted to be all.
    pub(super) fn expire(&mut self, now: u64, actions: &mut Vec<Action>) {
        let expiry = self.expiry_ms();
        let trusted = self
            .settled_since
            .is_some_and(|since| now.saturating_sub(since) >= expiry);
        if !trusted && self.guards.silence {
            return;
        }
        let silent: Vec<String> = self
            .instances
            .iter()
            .filter(|(_, row)| row.status() != Status::Gone)
            .filter(|(_, row)| now.saturating_sub(self.heard_life(row)) >= expiry)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &silent {
            self.instances.expire(now, id);
            self.note(now, Change::Instance(id.clone()));
        }
        self.say_changed(now, &silent, actions);
    }
}
