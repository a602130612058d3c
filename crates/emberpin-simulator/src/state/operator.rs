//! Operators and their calls.

use crate::machine::CoreId;
use crate::scenario::{CallTarget, ExpectedItem, OperatorRequest};
use emberpin_config::{parse_patch, Item};
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a call of an operator: its index among all calls of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct OperatorCallId(usize);

/// An attempt of a call. Attempts are counted from 1; 0 stands for a call without an attempt yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OperatorAttempt {
    pub call: OperatorCallId,
    pub number: u32,
}

/// The expectation that a read checks.
#[derive(Clone, Debug)]
pub(crate) struct ReadExpectation {
    /// The line of the scenario that expects it.
    pub line: usize,
    pub item: ExpectedItem,
}

/// One call of an operator, with all its attempts.
#[derive(Clone, Debug)]
pub(crate) struct OperatorCall {
    pub operator: String,
    pub target: CallTarget,
    /// `None`: the call reads the configuration.
    pub request: Option<OperatorRequest>,
    pub expectation: Option<ReadExpectation>,
    /// The items of a patch; empty if its body cannot be parsed, and for other calls.
    pub items: Vec<Item>,
    pub sent_at: Duration,
    pub last_attempt_at: Duration,
    pub attempts: u32,
    /// The target of the last attempt.
    pub core: CoreId,
    /// No attempt before the last one has an unknown outcome, so a rejection means that nothing was accepted.
    pub has_no_unknown_attempt: bool,
    pub status: Option<u16>,
    pub body: String,
    pub ended_at: Duration,
}

impl OperatorCall {
    fn new(
        now: Duration,
        operator: &str,
        target: CallTarget,
        request: Option<OperatorRequest>,
        expectation: Option<ReadExpectation>,
    ) -> OperatorCall {
        let items = match &request {
            Some(OperatorRequest::Patch(body)) => parse_patch(body)
                .map(|patch| patch.items)
                .unwrap_or_default(),
            _ => Vec::new(),
        };
        OperatorCall {
            operator: operator.into(),
            target,
            request,
            expectation,
            items,
            sent_at: now,
            last_attempt_at: now,
            attempts: 0,
            core: CoreId(0),
            has_no_unknown_attempt: true,
            status: None,
            body: String::new(),
            ended_at: Duration::ZERO,
        }
    }

    /// Whether the call is retried until it gets a response.
    pub fn is_retried(&self) -> bool {
        !matches!(self.target, CallTarget::Only(_))
    }

    /// Whether it was rejected, and no part of it can have been accepted by an earlier attempt.
    pub fn is_rejected(&self) -> bool {
        self.status == Some(400) && self.has_no_unknown_attempt
    }
}

/// All calls of operators in the run.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    pub calls: Vec<OperatorCall>,
    latest_calls: BTreeMap<String, OperatorCallId>,
    /// The attempt for each id of a pending call at a store.
    attempts_at_stores: BTreeMap<u64, OperatorAttempt>,
    last_call_id: u64,
}

impl Operators {
    /// Adds a call.
    pub fn add(
        &mut self,
        now: Duration,
        operator: &str,
        target: CallTarget,
        request: Option<OperatorRequest>,
        expectation: Option<ReadExpectation>,
    ) -> OperatorCallId {
        let id = OperatorCallId(self.calls.len());
        let call = OperatorCall::new(now, operator, target, request, expectation);
        self.calls.push(call);
        self.latest_calls.insert(operator.into(), id);
        id
    }

    /// The call of this id, which [`Operators::add`] returned.
    pub fn call(&self, id: OperatorCallId) -> &OperatorCall {
        &self.calls[id.0]
    }

    /// The call of an attempt, if the attempt is its latest one and the call has not ended.
    pub fn call_in_progress(&mut self, attempt: OperatorAttempt) -> Option<&mut OperatorCall> {
        self.calls
            .get_mut(attempt.call.0)
            .filter(|call| call.status.is_none() && call.attempts == attempt.number)
    }

    /// The id of an operator's latest call.
    pub fn latest_id(&self, operator: &str) -> Option<OperatorCallId> {
        self.latest_calls.get(operator).copied()
    }

    pub fn latest(&self, operator: &str) -> Option<&OperatorCall> {
        Some(self.call(self.latest_id(operator)?))
    }

    /// Returns a new id for a call at a store or a registry, unique in the run.
    pub fn next_call_id(&mut self) -> u64 {
        self.last_call_id += 1;
        self.last_call_id
    }

    /// Records the attempt that a call id at a store belongs to.
    pub fn register_attempt(&mut self, call_id: u64, attempt: OperatorAttempt) {
        self.attempts_at_stores.insert(call_id, attempt);
    }

    pub fn take_attempt(&mut self, call_id: u64) -> Option<OperatorAttempt> {
        self.attempts_at_stores.remove(&call_id)
    }
}
