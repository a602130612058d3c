//! Clients: their calls, and the replies to them.

use super::{Cluster, MAX_REPLY_TIME};
use emberpin_config::Item;
use emberpin_consensus::{Call, CallId, Event};
use std::net::Ipv4Addr;

/// A client's call, and its reply once there is one.
#[derive(Clone, Debug)]
pub struct ClientCall {
    pub to: Ipv4Addr,
    pub call: Call,
    /// The items of a patch.
    pub items: Vec<Item>,
    pub sent_at: u64,
    pub reply: Option<Reply>,
}

impl ClientCall {
    pub fn status(&self) -> Option<u16> {
        self.reply.as_ref().map(|reply| reply.status)
    }
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub body: String,
}

/// An entry of the history of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryEvent {
    /// The call of this index in [`Cluster::calls`] was sent.
    Called(usize),
    /// It was answered.
    Replied(usize),
}

impl Cluster {
    /// Sends a call to a replica; returns its index in [`Cluster::calls`].
    pub fn call(&mut self, to: Ipv4Addr, call: Call) -> usize {
        let items = match &call {
            Call::Patch(body) => emberpin_config::parse_patch(body)
                .map(|patch| patch.items)
                .unwrap_or_default(),
            _ => Vec::new(),
        };
        let id = self.calls.len();
        self.history.push(HistoryEvent::Called(id));
        self.calls.push(ClientCall {
            to,
            call: call.clone(),
            items,
            sent_at: self.now,
            reply: None,
        });
        let call_id = CallId(id as u64);
        self.handle(to, Event::Call { call_id, call });
        id
    }

    /// Sends a call and waits for its reply, and retries it after a 503 as operators do. Returns the last reply, or a
    /// 503 after 20 attempts.
    pub fn call_until_done(&mut self, to: Ipv4Addr, call: Call) -> Reply {
        for _ in 0..20 {
            let id = self.call(to, call.clone());
            self.run_while(MAX_REPLY_TIME, |cluster| cluster.calls[id].reply.is_none());
            match self.calls[id].reply.clone() {
                Some(reply) if reply.status != 503 => return reply,
                _ => {}
            }
        }
        Reply {
            status: 503,
            body: "no reply other than 503 in 20 attempts".into(),
        }
    }

    /// The status of [`Cluster::call_until_done`].
    pub fn status_of(&mut self, to: Ipv4Addr, call: &Call) -> u16 {
        self.call_until_done(to, call.clone()).status
    }
}
