//! Sessions of limiters: snapshots, changes, and repair from what limiters know.

use super::snapshot::Part;
use super::{Action, Peer, Registry, Session, COUNTED_MS};
use crate::change_log::Change;
use crate::instance::{Instance, Status};
use crate::peers::{InstanceRecord, Limiter};
use crate::session::{FromLimiter, Revision, ToLimiter};
use crate::timing::BATCH;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

impl Registry {
    pub(super) fn own_limiters(&self) -> Vec<Limiter> {
        self.sessions
            .values()
            .map(|session| session.limiter.clone())
            .collect()
    }

    /// Too many do no harm; with too few, what is shared among all would be spent twice.
    pub(super) fn count_limiters(&mut self, now: u64) {
        let peers = self.peers.values().filter(|peer| peer.in_contact(now));
        let theirs = peers
            .flat_map(|peer| &peer.limiters)
            .map(|limiter| &limiter.name);
        let own = self.sessions.values().map(|session| &session.limiter.name);
        for name in theirs.chain(own) {
            match self.limiters.get_mut(name) {
                Some(at) => *at = now,
                None => _ = self.limiters.insert(name.clone(), now),
            }
        }
        self.limiters
            .retain(|_, at| now.saturating_sub(*at) < COUNTED_MS);
    }

    pub(super) fn limiter(
        &mut self,
        now: u64,
        session: u64,
        said: FromLimiter,
        actions: &mut Vec<Action>,
    ) {
        match said {
            FromLimiter::Hello {
                incarnation,
                name,
                zone,
                from,
                instances,
            } => {
                let instances = if self.guards.repair {
                    instances
                } else {
                    Vec::new()
                };
                let corrects = self.repair(now, instances, actions);
                self.say_at_place(now, session, from, corrects, actions);
                let at = None;
                self.limiters.insert(name.clone(), now);
                let limiter = Limiter {
                    incarnation,
                    name,
                    zone,
                };
                self.sessions.insert(
                    session,
                    Session {
                        limiter,
                        at,
                        heard: now,
                    },
                );
                self.sessions_changed = true;
            }
            FromLimiter::Pulse { at, question } => match self.sessions.get_mut(&session) {
                Some(known) => {
                    (known.heard, known.at) = (now, at);
                    let told = self.confirmation(now, question);
                    actions.push(Action::Tell {
                        to: vec![session],
                        told,
                    });
                }
                None => actions.push(Action::Close { session }),
            },
            FromLimiter::More { after } => self.more(now, session, &after, actions),
        }
    }

    /// Answers a limiter's pulse.
    fn confirmation(&self, now: u64, question: u64) -> ToLimiter {
        let age = self.confirmed_age(now);
        // Whoever can confirm nothing names all that it ever knew: the limiter may know nobody else.
        let named =
            |(ip, peer): (&Ipv4Addr, &Peer)| (age.is_none() || peer.in_contact(now)).then_some(*ip);
        let limiters = u32::try_from(self.limiters.len()).unwrap_or(u32::MAX);
        let registries = self
            .peers
            .iter()
            .filter_map(named)
            .chain([self.limits.me])
            .collect();
        ToLimiter::Pulse {
            question,
            age,
            limiters,
            registries,
        }
    }

    /// A limiter keeps what it was told when registries lose it. What it has wrong is given back.
    pub(super) fn repair(
        &mut self,
        now: u64,
        instances: Vec<Instance>,
        actions: &mut Vec<Action>,
    ) -> Vec<String> {
        let (mut learned, mut wrong) = (Vec::new(), Vec::new());
        for instance in instances {
            let id = instance.id.clone();
            match self.instances.get(&id) {
                None => {
                    // That it was gone may have been mere silence.
                    let expired = instance.status == Status::Gone;
                    let status = if expired { Status::Up } else { instance.status };
                    let instance = Instance { status, ..instance };
                    let effect = self.instances.merge(
                        now,
                        InstanceRecord {
                            instance,
                            expired,
                            owner: None,
                        },
                    );
                    self.take(now, &id, effect, false);
                    learned.push(id);
                }
                Some(row) if instance.status == Status::Drain && row.said() == Status::Up => {
                    let seq = instance.seq.min(row.told(now).instance.seq);
                    let told = InstanceRecord {
                        instance: Instance { seq, ..instance },
                        expired: false,
                        owner: None,
                    };
                    let effect = self.instances.merge(now, told);
                    self.take(now, &id, effect, false);
                    learned.push(id);
                }
                Some(row) if row.status() != instance.status => wrong.push(id),
                Some(_) => {}
            }
        }
        self.taken_back.retain(|_, until| now < *until);
        for zone in self.taken_back.keys().cloned().collect::<Vec<_>>() {
            self.presume_cold(now, &zone, |id, row| {
                row.owner.is_none() && learned.iter().any(|one| one == id)
            });
        }
        self.say_changed(now, &learned, actions);
        wrong
    }

    /// Brings a limiter from the place where it was to the one where the feed is.
    pub(super) fn say_at_place(
        &mut self,
        now: u64,
        session: u64,
        from: Option<Revision>,
        corrects: Vec<String>,
        actions: &mut Vec<Action>,
    ) {
        let corrects = corrects.into_iter().map(Change::Instance);
        let gap = (!self.guards.place).then(BTreeSet::new);
        let told = match from.and_then(|from| self.change_log.since(from).or(gap)) {
            Some(mut changes) => {
                changes.extend(corrects);
                self.changes(now, changes)
            }
            None => {
                let Part {
                    items,
                    mut instances,
                    rest,
                } = self.part(now, None);
                // Those that are gone are named to whoever believes otherwise.
                let gone = corrects.filter_map(|change| match change {
                    Change::Instance(id) => Some(self.instances.instance(now, &id)),
                    Change::Item(_) => None,
                });
                instances.extend(gone.filter(|instance| instance.status == Status::Gone));
                ToLimiter::Snapshot {
                    at: self.change_log.at(),
                    items,
                    instances,
                    complete: self.is_complete(now),
                    rest,
                }
            }
        };
        actions.push(Action::Tell {
            to: vec![session],
            told,
        });
    }

    pub(super) fn changes(&self, now: u64, changes: BTreeSet<Change>) -> ToLimiter {
        let (mut items, mut instances) = (Vec::new(), Vec::new());
        for change in changes {
            match change {
                Change::Item(key) => items.extend(self.items.get(&key).cloned()),
                Change::Instance(id) => instances.push(self.instances.instance(now, &id)),
            }
        }
        ToLimiter::Changes {
            at: self.change_log.at(),
            items,
            instances,
        }
    }

    pub(super) fn ended(&mut self, session: u64) {
        self.sessions_changed |= self.sessions.remove(&session).is_some();
    }

    pub(super) fn note(&mut self, now: u64, change: Change) {
        self.change_log.note(change);
        self.flush_at.get_or_insert(now + BATCH);
    }

    pub(super) fn flush(&mut self, now: u64, actions: &mut Vec<Action>) {
        if self.flush_at.is_none_or(|at| now < at) {
            return;
        }
        self.flush_at = None;
        let fresh = self.change_log.take();
        if !self.sessions.is_empty() {
            let told = self.changes(now, fresh);
            actions.push(Action::Tell {
                to: self.sessions.keys().copied().collect(),
                told,
            });
        }
    }
}
