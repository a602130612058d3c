//! The end of a run: ends all faults, and checks recovery and the final state.

use super::Simulation;
use crate::history::{self, Call, Outcome, VersionedItem};
use crate::invariants::parse_configuration;
use crate::machine::ProxyId;
use crate::scenario::{CallTarget, OperatorRequest};
use crate::state::operator::OperatorCall;
use crate::violation::Violation;
use emberpin_config::{Item, ItemKey, ItemKind};
use emberpin_consensus::EvacuationChange;
use emberpin_membership::timing::bounds::APPLY;
use std::collections::BTreeMap;
use std::time::Duration;

/// The recovery time after the end of all faults, after which the final calls are made.
const RECOVERY_TIME: Duration = Duration::from_millis(14_000);
/// The time limit of each final call.
const FINAL_CALL_LIMIT: Duration = Duration::from_millis(10_000);
/// How often the simulation checks for the response to a final call.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The operator of the final patch.
const FINAL_PATCH: &str = "after all";
/// The operator of the final read.
const FINAL_READ: &str = "at the end";
const FINAL_PATCH_BODY: &str =
    "{\"upsert\":{\"svcs\":[{\"name\":\"after-all\",\"hcheck\":\"/h\",\"maxconn\":1,\"ver\":1}]}}";

const OK: u16 = 200;

/// A call about a zone's evacuation.
struct EvacuationCall {
    sent_at: Duration,
    /// `None`: it was not acknowledged.
    acknowledged_at: Option<Duration>,
    change: EvacuationChange,
}

impl Simulation {
    /// Ends all faults, and checks the invariants of the final state.
    pub fn finish(&mut self) {
        if self.violation.is_some() {
            return;
        }
        self.end_faults();
        self.run_until(self.now + RECOVERY_TIME);
        let patch = OperatorRequest::Patch(FINAL_PATCH_BODY.as_bytes().to_vec());
        self.make_final_call(FINAL_PATCH, Some(patch));
        self.run_until(self.now + APPLY);
        let body = self.make_final_call(FINAL_READ, None);
        if self.violation.is_some() {
            return;
        }
        let result = self.check_final_state(&body);
        self.fail_on_violation(result);
        if self.violation.is_none() {
            self.check_linearizability();
        }
    }

    /// Makes a call, and runs the simulation until its response arrives. Returns the response's body.
    fn make_final_call(&mut self, name: &str, request: Option<OperatorRequest>) -> String {
        self.call_as_operator(name, CallTarget::Any, request, None);
        let Some(call) = self.operators.latest_id(name) else {
            return String::new();
        };
        let until = self.now + FINAL_CALL_LIMIT;
        let has_response =
            |simulation: &Simulation| simulation.operators.call(call).status.is_some();
        while self.violation.is_none() && !has_response(self) && self.now < until {
            self.run_until(self.now + POLL_INTERVAL);
        }
        let call = self.operators.call(call);
        let (status, body) = (call.status, call.body.clone());
        if status != Some(OK) {
            self.fail(Violation::FinalCallFailed {
                operator: name.into(),
                status,
            });
        }
        body
    }

    fn check_final_state(&self, configuration: &str) -> Result<(), Violation> {
        self.check_readiness()?;
        self.check_responses()?;
        self.record.check_final_configuration(configuration)?;
        self.check_rejected_calls()?;
        self.check_evacuations()
    }

    fn check_readiness(&self) -> Result<(), Violation> {
        for (proxy, node) in &self.proxies {
            if node
                .running
                .as_ref()
                .is_some_and(|running| !running.is_ready)
            {
                return Err(Violation::NotReady(*proxy));
            }
        }
        Ok(())
    }

    /// Checks that each call that is retried got a response.
    fn check_responses(&self) -> Result<(), Violation> {
        let mut calls = self.operators.calls.iter();
        match calls.find(|call| call.is_retried() && call.status.is_none()) {
            Some(call) => Err(Violation::MissingResponse {
                operator: call.operator.clone(),
            }),
            None => Ok(()),
        }
    }

    /// Checks that no item of a rejected call was chosen, unless another call contained the same item.
    fn check_rejected_calls(&self) -> Result<(), Violation> {
        let calls = &self.operators.calls;
        let is_requested_otherwise = |item: &Item| {
            calls
                .iter()
                .any(|call| !call.is_rejected() && call.items.contains(item))
        };
        for call in calls.iter().filter(|call| call.is_rejected()) {
            for item in call
                .items
                .iter()
                .filter(|item| self.record.was_chosen(item))
            {
                if !is_requested_otherwise(item) {
                    return Err(Violation::RejectedItemChosen {
                        key: item.key.clone(),
                        version: item.version,
                    });
                }
            }
        }
        Ok(())
    }

    /// Checks that the last change of each zone's evacuation is in force on all proxies, unless an opposite change was
    /// in progress at the same time.
    fn check_evacuations(&self) -> Result<(), Violation> {
        for (zone, calls) in self.evacuation_calls() {
            let Some(last) = last_call(&calls) else {
                continue;
            };
            let is_concurrent = |other: &EvacuationCall| {
                // Concurrent calls may take effect in either order.
                other.change != last.change
                    && other.acknowledged_at.is_none_or(|at| at >= last.sent_at)
            };
            if last.acknowledged_at.is_some() && !calls.iter().any(is_concurrent) {
                self.check_evacuation(zone, last.change)?;
            }
        }
        Ok(())
    }

    fn evacuation_calls(&self) -> BTreeMap<&String, Vec<EvacuationCall>> {
        let mut by_zone: BTreeMap<&String, Vec<EvacuationCall>> = BTreeMap::new();
        for call in &self.operators.calls {
            if let Some(OperatorRequest::Evacuate { zone, change }) = &call.request {
                by_zone.entry(zone).or_default().push(EvacuationCall {
                    sent_at: call.sent_at,
                    acknowledged_at: (call.status == Some(OK)).then_some(call.ended_at),
                    change: *change,
                });
            }
        }
        by_zone
    }

    fn check_evacuation(&self, zone: &str, change: EvacuationChange) -> Result<(), Violation> {
        let acknowledged = change == EvacuationChange::Begin;
        let key = ItemKey {
            kind: ItemKind::Evacuation,
            name: zone.into(),
        };
        let has_mismatch = |proxy: &ProxyId| {
            let running = self.proxies[proxy].running.as_ref();
            running.is_some_and(|running| {
                let item = running.configuration.get(&key);
                item.is_some_and(|item| item.body.is_some()) != acknowledged
            })
        };
        match self.proxies.keys().find(|proxy| has_mismatch(proxy)) {
            Some(proxy) => Err(Violation::EvacuationMissing {
                zone: zone.into(),
                acknowledged,
                found: !acknowledged,
                proxy: *proxy,
            }),
            None => Ok(()),
        }
    }

    /// Checks that the operators' calls are linearizable.
    fn check_linearizability(&mut self) {
        let calls = self.operators.calls.iter();
        let calls: Vec<Call> = calls.filter_map(history_call).collect();
        match history::check(&calls) {
            Ok(checked) => {
                self.counters.checked_operations = checked.operations;
                self.counters.unchecked_operations = checked.unchecked;
            }
            Err(violation) => self.fail(violation),
        }
    }
}

/// The call that was sent last; of several at the same time, the last one in the list.
fn last_call(calls: &[EvacuationCall]) -> Option<&EvacuationCall> {
    calls.iter().max_by_key(|call| call.sent_at)
}

fn versioned_item(item: &Item) -> VersionedItem {
    VersionedItem {
        name: format!("{:?} {}", item.key.kind, item.key.name),
        version: item.version.0,
        content: item.body.clone(),
    }
}

/// Converts a call for the history. `None` for evacuations, which no read shows, for reads without a response, and for
/// calls and responses that cannot be parsed.
fn history_call(call: &OperatorCall) -> Option<Call> {
    let outcome = match (&call.request, call.status) {
        (None, Some(_)) => {
            let configuration = parse_configuration(&call.body).ok()?;
            Outcome::Read(configuration.live().map(versioned_item).collect())
        }
        (Some(OperatorRequest::Patch(_)), Some(OK)) => Outcome::Confirmed,
        (Some(OperatorRequest::Patch(_)), Some(_)) => Outcome::Rejected {
            last_attempt_at: call.last_attempt_at,
            is_only_attempt: call.attempts == 1,
        },
        (Some(OperatorRequest::Patch(_)), None) => Outcome::Unknown,
        (None, None) | (Some(OperatorRequest::Evacuate { .. }), _) => return None,
    };
    let is_read = call.request.is_none();
    let items: Vec<VersionedItem> = call.items.iter().map(versioned_item).collect();
    if !is_read && items.is_empty() {
        return None;
    }
    Some(Call {
        sent_at: if is_read {
            call.last_attempt_at
        } else {
            call.sent_at
        },
        ended_at: call.ended_at,
        items,
        outcome,
    })
}
