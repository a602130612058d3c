//! Operations of applications, and the replies to them.

use super::Cluster;
use emberpin_consensus::{Call, CallId, CoordinationReply, Event, WhenLed};
use emberpin_coordination::{Operation, Outcome};
use std::net::Ipv4Addr;

/// The longest time until an operation that does not wait for a change is answered, in milliseconds: its timeout, and
/// the delay of a timer.
const MAX_OPERATION_TIME: u64 = 600 + 2;

impl Cluster {
    /// Sends an operation to a replica; returns its index in [`Cluster::operations`].
    pub fn send_operation(
        &mut self,
        to: Ipv4Addr,
        operation: Operation,
        when_led: WhenLed,
    ) -> usize {
        let index = self.operations.len();
        self.operations.push(None);
        let call_id = CallId(index as u64);
        let call = Call::Coordinate {
            operation,
            when_led,
        };
        self.handle(to, Event::Call { call_id, call });
        index
    }

    /// Has a replica carry out an operation, for which it takes the lead if necessary. Returns the outcome; `None` if
    /// the operation is undecided.
    pub fn operate(&mut self, to: Ipv4Addr, operation: Operation) -> Option<Outcome> {
        let index = self.send_operation(to, operation, WhenLed::TakeOver);
        self.run_while(MAX_OPERATION_TIME, |cluster| {
            cluster.operations[index].is_none()
        });
        match self.operations[index].clone() {
            Some(CoordinationReply::Done(outcome)) => Some(outcome),
            _ => None,
        }
    }

    /// An application receives a reply. Checks that it is the only one.
    pub(super) fn on_application_reply(&mut self, call_id: CallId, reply: CoordinationReply) {
        let index = call_id.0 as usize;
        if self.operations[index].replace(reply).is_some() {
            self.fail(format!("operation {index} was answered twice"));
        }
    }
}
