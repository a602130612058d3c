//! A simulated registry: chooses the replica to which an operation is sent, and handles time-outs.

use super::OperationResult;
use crate::cluster::Cluster;
use emberpin_consensus::{CoordinationReply, PossibleEffect, WhenLed};
use emberpin_coordination::{Operation, Outcome};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Time limit of an operation, in addition to the time that it waits for changes; in milliseconds.
const OPERATION_TIMEOUT: u64 = 900;
/// A replica that sends no reply for this long is suspected to be down; in milliseconds.
const REPLY_TIMEOUT: u64 = 250;
/// How long a replica stays suspected, in milliseconds. Shorter than in a real registry, so that more operations are
/// sent.
const SUSPICION_PERIOD: u64 = 700;
/// The percentage of requests and of replies that are lost.
const LOST_PERCENT: u64 = 1;
/// The percentage of requests that are late by up to [`MAX_LATENESS`] milliseconds.
const LATE_PERCENT: u64 = 3;
const MAX_LATENESS: u64 = 1_500;
/// The usual delay of a request or reply is below this; in milliseconds.
const DELAY: u64 = 4;

/// Requests in flight whose registry has stopped waiting for the reply. They still arrive later.
#[derive(Default)]
pub struct LateRequests(Vec<Request>);

#[derive(Clone, Debug)]
struct Request {
    arrives_at: u64,
    to: Ipv4Addr,
    operation: Operation,
    when_led: WhenLed,
}

#[derive(Debug)]
enum AttemptState {
    InFlight(Request),
    Lost,
    /// The replica has received it; holds the index of its reply.
    Arrived(usize),
    Replied {
        at: u64,
        reply: CoordinationReply,
    },
}

/// One attempt of a call.
#[derive(Debug)]
struct Attempt {
    to: Ipv4Addr,
    times_out_at: u64,
    state: AttemptState,
}

/// The call in progress.
#[derive(Debug)]
struct Call {
    operation: Operation,
    wait: u64,
    deadline: u64,
    /// Whether an attempt may have had an effect; unknown while one is in progress.
    effect: PossibleEffect,
    /// Whether an attempt before the one in progress may have had an effect.
    effect_before_attempt: PossibleEffect,
    attempt: Option<Attempt>,
}

#[derive(Debug)]
pub struct Registry {
    leader: Option<Ipv4Addr>,
    /// Until when each replica is suspected to be down.
    suspects: BTreeMap<Ipv4Addr, u64>,
    /// Whether it tries replicas in the order of their addresses.
    is_in_order: bool,
    call: Option<Call>,
}

impl LateRequests {
    /// Delivers the requests that have arrived by now.
    pub fn deliver(&mut self, cluster: &mut Cluster) {
        let now = cluster.now;
        let arriving = self.0.extract_if(.., |request| now >= request.arrives_at);
        for request in arriving.collect::<Vec<_>>() {
            if cluster.replica(request.to).is_some() {
                cluster.send_operation(request.to, request.operation, request.when_led);
            }
        }
    }
}

impl Registry {
    pub fn new(is_in_order: bool) -> Registry {
        Registry {
            leader: None,
            suspects: BTreeMap::new(),
            is_in_order,
            call: None,
        }
    }

    pub fn begin(&mut self, cluster: &Cluster, operation: Operation) {
        let wait = match &operation {
            Operation::WatchGroup { wait, .. } => wait.as_millis() as u64,
            _ => 0,
        };
        self.call = Some(Call {
            operation,
            wait,
            deadline: cluster.now + OPERATION_TIMEOUT + wait,
            effect: PossibleEffect::None,
            effect_before_attempt: PossibleEffect::None,
            attempt: None,
        });
    }

    /// Abandons the call in progress. Its request may still arrive.
    pub fn abandon(&mut self, late: &mut LateRequests) {
        if let Some(call) = self.call.take() {
            call.abandon_attempt(late);
        }
    }

    /// Advances the call in progress. Returns its result once there is one.
    pub fn step(
        &mut self,
        cluster: &mut Cluster,
        late: &mut LateRequests,
    ) -> Option<OperationResult> {
        let now = cluster.now;
        let mut call = self.call.take()?;
        if now >= call.deadline {
            let result = if call.effect == PossibleEffect::None || call.operation.is_read() {
                OperationResult::Unavailable
            } else {
                OperationResult::Unknown
            };
            call.abandon_attempt(late);
            return Some(result);
        }
        let outcome = match call.attempt.take() {
            None => {
                self.begin_attempt(cluster, &mut call);
                None
            }
            Some(attempt) => self.advance(cluster, &mut call, attempt, late),
        };
        match outcome {
            Some(Outcome::OutOfSpace) if call.effect == PossibleEffect::Unknown => {
                Some(OperationResult::Unknown)
            }
            Some(outcome) => Some(OperationResult::Done(outcome)),
            None => {
                self.call = Some(call);
                None
            }
        }
    }

    fn begin_attempt(&mut self, cluster: &mut Cluster, call: &mut Call) {
        let now = cluster.now;
        let Some((to, when_led)) = self.target(cluster) else {
            return;
        };
        call.effect_before_attempt = call.effect;
        call.effect = PossibleEffect::Unknown;
        let mut delay = cluster.below(DELAY);
        if cluster.below(100) < LATE_PERCENT {
            delay += cluster.below(MAX_LATENESS);
        }
        let state = if cluster.below(100) < LOST_PERCENT {
            AttemptState::Lost
        } else {
            AttemptState::InFlight(Request {
                arrives_at: now + delay,
                to,
                operation: call.operation.clone(),
                when_led,
            })
        };
        call.attempt = Some(Attempt {
            to,
            times_out_at: now + call.wait + REPLY_TIMEOUT,
            state,
        });
    }

    /// The target of the next attempt: the leader, or another replica that is not suspected, which takes the lead if
    /// the leader is suspected.
    fn target(&self, cluster: &mut Cluster) -> Option<(Ipv4Addr, WhenLed)> {
        let now = cluster.now;
        let is_suspected = |to: &Ipv4Addr| self.suspects.get(to).is_some_and(|until| now < *until);
        if let Some(leader) = self.leader.filter(|leader| !is_suspected(leader)) {
            return Some((leader, WhenLed::Redirect));
        }
        let when_led = match self.leader {
            Some(_) => WhenLed::TakeOver,
            None => WhenLed::Redirect,
        };
        let nodes = cluster.nodes.iter();
        let listed = nodes.filter(|(_, node)| !node.decommissioned);
        let candidates: Vec<Ipv4Addr> = listed
            .map(|(ip, _)| *ip)
            .filter(|ip| !is_suspected(ip))
            .collect();
        let first = *candidates.first()?;
        let to = if self.is_in_order {
            first
        } else {
            cluster.choose(&candidates)
        };
        Some((to, when_led))
    }

    fn advance(
        &mut self,
        cluster: &mut Cluster,
        call: &mut Call,
        mut attempt: Attempt,
        late: &mut LateRequests,
    ) -> Option<Outcome> {
        let now = cluster.now;
        let to = attempt.to;
        match attempt.state {
            AttemptState::InFlight(request) if now >= request.arrives_at => {
                if cluster.replica(to).is_none() {
                    call.effect = call.effect_before_attempt;
                    self.suspect(to, now);
                    return None;
                }
                let index = cluster.send_operation(to, request.operation, request.when_led);
                attempt.state = AttemptState::Arrived(index);
            }
            AttemptState::Arrived(index) => {
                if let Some(reply) = cluster.operations[index].clone() {
                    let at = now + cluster.below(DELAY);
                    attempt.state = if cluster.below(100) < LOST_PERCENT {
                        AttemptState::Lost
                    } else {
                        AttemptState::Replied { at, reply }
                    };
                }
            }
            AttemptState::Replied { at, reply } if now >= at => {
                return self.on_reply(now, call, to, reply)
            }
            _ => {}
        }
        let times_out_at = attempt.times_out_at;
        call.attempt = Some(attempt);
        if now >= times_out_at {
            self.suspect(to, now);
            call.abandon_attempt_in_place(late);
        }
        None
    }

    fn on_reply(
        &mut self,
        now: u64,
        call: &mut Call,
        from: Ipv4Addr,
        reply: CoordinationReply,
    ) -> Option<Outcome> {
        match reply {
            CoordinationReply::Done(outcome) => {
                call.effect = call.effect_before_attempt;
                self.leader = Some(from);
                return Some(outcome);
            }
            CoordinationReply::NotLeader { leader, effect } => {
                call.effect = call.effect_before_attempt.max(effect);
                self.leader = Some(leader);
            }
            CoordinationReply::Undecided { effect } => {
                call.effect = call.effect_before_attempt.max(effect);
                self.suspect(from, now);
            }
        }
        None
    }

    fn suspect(&mut self, replica: Ipv4Addr, now: u64) {
        self.suspects.insert(replica, now + SUSPICION_PERIOD);
    }
}

impl Call {
    fn abandon_attempt(mut self, late: &mut LateRequests) {
        self.abandon_attempt_in_place(late);
    }

    fn abandon_attempt_in_place(&mut self, late: &mut LateRequests) {
        if let Some(Attempt {
            state: AttemptState::InFlight(request),
            ..
        }) = self.attempt.take()
        {
            late.0.push(request);
        }
    }
}
