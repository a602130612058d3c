//! Who calls from outside: operators, and servers that beat.

use crate::cores::BEAT;
use crate::ledger::Acknowledged;
use crate::net::{ip, number};
use crate::text::{Machine, Operation, Order, Way};
use crate::world::{Applied, Due, World};
use emberpin_config::{parse_patch, Item};
use emberpin_consensus::{Call, EvacuationChange, Event};
use emberpin_membership::ids::CallId;
use emberpin_membership::instance::{Instance, Status};
use emberpin_membership::registry::{self, ServerReply};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

/// A call that is silent for so long goes to another machine.
const SILENCE: u64 = 1_000;
/// Between two tries, growing.
const PAUSE: (u64, u64) = (100, 800);
/// `apply`, `drain` and `evac`.
const APPLY: u64 = 2_500;
const EVAC: u64 = 5_000;

/// One call of an operator.
#[derive(Clone, Debug)]
pub(crate) struct Called {
    pub who: String,
    way: Way,
    pub order: Option<Order>,
    /// What a `get` is expected to show, and where it is written.
    hope: Option<(usize, Operation)>,
    pub items: Vec<Item>,
    pub sent: u64,
    /// When its last attempt was sent.
    pub attempted: u64,
    pub attempts: u32,
    pub core: u8,
    /// Every attempt ended with an answer that says no.
    pub clear: bool,
    pub status: Option<u16>,
    pub body: String,
    pub ended: u64,
}

impl Called {
    /// Whether it is sent until it is answered.
    pub fn is_owed(&self) -> bool {
        !matches!(self.way, Way::Only(_))
    }
}

/// All calls of operators.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    pub calls: Vec<Called>,
    /// The latest call of each.
    pub latest: BTreeMap<String, usize>,
    /// By the number at the store: the call, its attempt, and the machine.
    asked: BTreeMap<u64, (usize, u32, u8)>,
    next: u64,
}

/// A server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    address: u16,
    pub up: bool,
    pub drains: bool,
    pub leaves: bool,
    /// It has said the last thing it says.
    over: bool,
    pub cold_until: u64,
    incarnation: u32,
    pub seq: u64,
    attempt: u64,
    /// Where it beats, if it was told.
    target: Option<u8>,
    /// When requests were sent to it, of late.
    pub sent: VecDeque<u64>,
}

impl World {
    pub fn operator(
        &mut self,
        who: &str,
        way: Way,
        order: Option<Order>,
        hope: Option<(usize, Operation)>,
    ) {
        let items = match &order {
            Some(Order::Patch(body)) => parse_patch(body)
                .map(|patch| patch.items)
                .unwrap_or_default(),
            _ => Vec::new(),
        };
        let call = self.operators.calls.len();
        self.operators.calls.push(Called {
            who: who.into(),
            way,
            order,
            hope,
            items,
            sent: self.now,
            attempted: self.now,
            attempts: 0,
            core: 0,
            clear: true,
            status: None,
            body: String::new(),
            ended: 0,
        });
        self.operators.latest.insert(who.into(), call);
        self.again(call, 0);
    }

    /// The next attempt of a call, unless it has ended or a later one is under way.
    pub fn again(&mut self, call: usize, attempt: u32) {
        let listed = self.listed();
        let drawn = listed[self.below(listed.len() as u64) as usize];
        let (now, pause) = (self.now, self.below(PAUSE.0));
        let Some(called) = self.operators.calls.get_mut(call) else {
            return;
        };
        if called.status.is_some() || called.attempts != attempt {
            return;
        }
        if attempt > 0 {
            called.clear = false;
        }
        called.core = match called.way {
            Way::Only(_) if attempt > 0 => return,
            Way::Only(core) => core,
            Way::Via(core) if attempt == 0 => core,
            Way::Via(_) | Way::Any => drawn,
        };
        called.attempts += 1;
        called.attempted = now;
        let (attempt, core) = (called.attempts, called.core);
        let pause = pause + (PAUSE.0 << attempt.min(3)).min(PAUSE.1);
        if self.runs(Machine::Core(core)) {
            self.at(
                now + 2,
                Due::Called {
                    call,
                    attempt,
                    core,
                },
            );
            self.at(now + SILENCE, Due::Again { call, attempt });
        } else {
            self.at(now + pause, Due::Again { call, attempt });
        }
    }

    pub fn called(&mut self, call: usize, attempt: u32, core: u8) {
        let Some(called) = self.operators.calls.get(call) else {
            return;
        };
        let asked = match &called.order {
            None => Call::Get,
            Some(Order::Patch(body)) => Call::Patch(body.clone()),
            Some(Order::Evacuate { zone, begin }) => Call::Evacuate {
                zone: zone.clone(),
                change: if *begin {
                    EvacuationChange::Begin
                } else {
                    EvacuationChange::End
                },
            },
        };
        self.operators.next += 1;
        let id = self.operators.next;
        self.operators.asked.insert(id, (call, attempt, core));
        self.store(
            core,
            Event::Call {
                call_id: emberpin_consensus::CallId(id),
                call: asked,
            },
        );
    }

    /// A store's answer is on its way.
    pub fn answered(&mut self, id: u64, status: u16, body: String) {
        let Some((call, attempt, _)) = self.operators.asked.remove(&id) else {
            return;
        };
        if self.answers_lost > 0 && self.below(100) < self.answers_lost {
            return;
        }
        self.at(
            self.now + 2,
            Due::OperatorAnswer {
                call,
                attempt,
                status,
                body,
            },
        );
    }

    pub fn told(&mut self, call: usize, attempt: u32, status: u16, body: &str) {
        let (now, pause) = (self.now, PAUSE.0 + self.below(PAUSE.0 * 3));
        let Some(called) = self.operators.calls.get_mut(call) else {
            return;
        };
        // Whoever has gone on to another machine hears no answer of this one.
        if called.status.is_some() || called.attempts != attempt {
            return;
        }
        if status == 503 {
            called.clear = false;
            return self.at(now + pause, Due::Again { call, attempt });
        }
        (called.status, called.body, called.ended) = (Some(status), body.into(), now);
        let called = called.clone();
        if let Some((line, hope)) = &called.hope {
            if let Err(wrong) = self.ledger.shows(body, hope) {
                self.fail(format!("line {line}: {wrong}"));
            }
            return;
        }
        if status != 200 {
            return;
        }
        match called.order {
            Some(Order::Patch(_)) => {
                if let Some(wrong) = self.ledger.acknowledged(Acknowledged::Items(&called.items)) {
                    return self.fail(wrong);
                }
                let what = Applied::Items(called.items);
                self.at(now + APPLY, Due::Applied { what, sent: now });
            }
            Some(Order::Evacuate { zone, begin: true }) => {
                self.at(
                    now + EVAC,
                    Due::Applied {
                        what: Applied::Evacuated(zone),
                        sent: now,
                    },
                );
            }
            Some(Order::Evacuate { .. }) | None => {}
        }
    }

    // ---- servers

    pub fn server_up(&mut self, name: &str, service: &str, zone: &str, address: u16, cold: u64) {
        let incarnation = self
            .servers
            .get(name)
            .map_or(1, |server| server.incarnation + 1);
        let server = Server {
            id: format!("{name}-{incarnation}"),
            service: service.into(),
            zone: zone.into(),
            address,
            up: true,
            drains: false,
            leaves: false,
            over: false,
            cold_until: self.now + cold,
            incarnation,
            seq: 0,
            attempt: 0,
            target: None,
            sent: VecDeque::new(),
        };
        self.servers.insert(name.into(), server);
        self.at(
            self.now,
            Due::Beat {
                server: name.into(),
                incarnation,
            },
        );
        if cold > 0 {
            self.load_from_now();
        }
    }

    /// The server says something now, out of its turn.
    pub fn server_speaks(&mut self, name: &str) {
        self.say(name, false);
    }

    /// A server of that incarnation, if it says anything.
    fn speaking(&mut self, name: &str, incarnation: u32) -> Option<&mut Server> {
        self.servers
            .get_mut(name)
            .filter(|server| server.incarnation == incarnation && server.up && !server.over)
    }

    pub fn beat(&mut self, name: &str, incarnation: u32) {
        if self.speaking(name, incarnation).is_none() {
            return;
        }
        self.at(
            self.now + BEAT,
            Due::Beat {
                server: name.into(),
                incarnation,
            },
        );
        self.say(name, false);
    }

    fn say(&mut self, name: &str, failed: bool) {
        let listed = self.listed();
        let drawn = listed[self.below(listed.len() as u64) as usize];
        let now = self.now;
        let Some(server) = self
            .servers
            .get_mut(name)
            .filter(|server| server.up && !server.over)
        else {
            return;
        };
        if failed {
            server.target = None;
        }
        let core = server.target.unwrap_or(drawn);
        server.seq += 1;
        server.attempt += 1;
        let (server, incarnation, attempt) = (name.to_owned(), server.incarnation, server.attempt);
        let (leave, drains, seq) = {
            let server = &self.servers[&server];
            (server.leaves, server.drains, server.seq)
        };
        if self.runs(Machine::Core(core)) {
            let said = Due::ServerCall {
                server: server.clone(),
                incarnation,
                attempt,
                core,
                leave,
                drains,
                seq,
            };
            self.at(now + 2, said);
            self.at(
                now + SILENCE,
                Due::Unanswered {
                    server,
                    incarnation,
                    attempt,
                },
            );
        } else {
            self.at(
                now + PAUSE.0,
                Due::Unanswered {
                    server,
                    incarnation,
                    attempt,
                },
            );
        }
    }

    #[allow(clippy::too_many_arguments, reason = "waits for a struct with names")]
    pub fn server_said(
        &mut self,
        name: &str,
        incarnation: u32,
        attempt: u64,
        core: u8,
        leave: bool,
        drains: bool,
        seq: u64,
    ) {
        let Some(server) = self.servers.get(name) else {
            return;
        };
        let id = if server.incarnation == incarnation {
            server.id.clone()
        } else {
            return;
        };
        self.operators.next += 1;
        let call = CallId(self.operators.next);
        self.ledger
            .beats
            .insert(call.0, (name.into(), incarnation, attempt, drains));
        let event = if leave {
            registry::Event::Leave {
                call,
                instance_id: id,
            }
        } else {
            let cold = server.cold_until.saturating_sub(self.now) as u32;
            registry::Event::Heartbeat {
                call,
                instance: Instance {
                    id,
                    service: server.service.clone(),
                    address: SocketAddr::from((Ipv4Addr::new(10, 0, 2, 1), server.address)),
                    zone: server.zone.clone(),
                    slots: 2,
                    status: if drains { Status::Draining } else { Status::Up },
                    seq,
                    cold_ms: cold,
                },
            }
        };
        self.registry(core, event);
    }

    pub fn answer_server(&mut self, call: CallId, answer: ServerReply) {
        let Some((server, incarnation, attempt, drains)) = self.ledger.beats.remove(&call.0) else {
            return;
        };
        self.at(
            self.now + 2,
            Due::Answered {
                server,
                incarnation,
                attempt,
                answer,
                drains,
            },
        );
    }

    pub fn server_answered(
        &mut self,
        name: &str,
        incarnation: u32,
        attempt: u64,
        answer: ServerReply,
        drains: bool,
    ) {
        let now = self.now;
        let Some(server) = self
            .speaking(name, incarnation)
            .filter(|server| server.attempt == attempt)
        else {
            return;
        };
        server.attempt += 1;
        match answer {
            ServerReply::Acknowledged { heartbeat_target } => {
                server.target = Some(number(heartbeat_target));
                if server.leaves {
                    server.over = true;
                }
                if drains {
                    let what = Applied::Drained(name.into());
                    self.at(now + APPLY, Due::Applied { what, sent: now });
                }
                let machine = number(heartbeat_target);
                if ip(machine) != heartbeat_target || !self.cores.contains_key(&machine) {
                    self.fail(format!(
                        "{name} is told to beat at {heartbeat_target}, which is no machine"
                    ));
                }
            }
            ServerReply::NotAcknowledged => {
                server.target = None;
                self.say(name, true);
            }
        }
    }

    pub fn server_unanswered(&mut self, name: &str, incarnation: u32, attempt: u64) {
        if self
            .speaking(name, incarnation)
            .is_some_and(|server| server.attempt == attempt)
        {
            self.say(name, true);
        }
    }

    /// Something comes late, with an old number.
    pub fn server_says(&mut self, name: &str, drains: bool, seq: u64, core: u8) {
        let Some(server) = self.servers.get(name) else {
            return;
        };
        let incarnation = server.incarnation;
        self.server_said(name, incarnation, u64::MAX, core, false, drains, seq);
    }
}
