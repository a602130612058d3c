//! The record of the requests that reached servers, and the checks of the responses that clients received.

use crate::cases::{ClientRequest, ServerAction};
use crate::common::Message;
use crate::MAX_ATTEMPTS;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// One request as it reached a server.
pub struct Arrival {
    pub id: String,
    /// Whether its response states that it has not run.
    pub not_run: bool,
    /// The body of its response, or the one that it would have without its fault.
    pub body: Vec<u8>,
    /// Whether its response is a success without a fault.
    pub good: bool,
    /// Whether its server truncates the response, or resets the connection after it.
    pub breaks_off: bool,
}

/// The requests of one case that have reached servers, and the actions that are left.
#[derive(Default)]
pub struct History {
    pub arrivals: Vec<Arrival>,
    /// Actions for the next requests, the next one first.
    pub actions: VecDeque<ServerAction>,
}

pub type SharedHistory = Rc<RefCell<History>>;

impl History {
    fn arrivals_of(&self, id: &str) -> Vec<&Arrival> {
        self.arrivals
            .iter()
            .filter(|arrival| arrival.id == id)
            .collect()
    }

    /// Checks which attempts of a request reached servers.
    pub fn check_attempts(&self, request: &ClientRequest, id: &str) -> Result<(), String> {
        let arrivals = self.arrivals_of(id);
        if arrivals.len() > MAX_ATTEMPTS as usize {
            return Err(format!("{id} reached servers {} times", arrivals.len()));
        }
        let repeated = arrivals
            .split_last()
            .is_some_and(|(_, earlier)| earlier.iter().any(|attempt| !attempt.not_run));
        if request.mutating && repeated {
            return Err(format!("{id} was sent again although it may have run"));
        }
        Ok(())
    }

    /// Checks whether a client may see its connection reset before the head of a response: the reset of a streamed
    /// response that was truncated discards what the client has not read yet.
    pub fn check_missing_response(&self, id: &str) -> Result<(), String> {
        let broken_off = self
            .arrivals_of(id)
            .last()
            .is_some_and(|arrival| arrival.breaks_off);
        broken_off
            .then_some(())
            .ok_or_else(|| format!("{id} got no response"))
    }

    /// Checks the response that a client received; returns its status.
    pub fn check_response(&self, id: &str, message: &Message) -> Result<u16, String> {
        let arrivals = self.arrivals_of(id);
        let status: u16 = message
            .first_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .ok_or("no status")?;
        let all_not_run = arrivals.iter().all(|arrival| arrival.not_run);
        if matches!(status, 408 | 421 | 429 | 503) && !all_not_run {
            return Err(format!(
                "{id} got {status}, which claims that it has not run, although it may have"
            ));
        }
        let belongs = |arrival: &&Arrival| match (status, message.complete) {
            (200..=299, true) => arrival.good && arrival.body == message.body,
            (_, true) => arrival.body == message.body,
            (_, false) => arrival.body.starts_with(&message.body),
        };
        let rejected_by_proxy = message.body.is_empty() && !(200..=299).contains(&status);
        if !rejected_by_proxy && !arrivals.iter().any(belongs) {
            let beginning =
                String::from_utf8_lossy(&message.body[..message.body.len().min(40)]).into_owned();
            return Err(format!(
                "{id} got {status}, complete: {}, with bytes of another response: {beginning:?}",
                message.complete
            ));
        }
        if (200..=299).contains(&status) && message.header("seal") != Some(&format!("s.{id}")) {
            return Err(format!("{id} got a success without its seal"));
        }
        Ok(status)
    }
}
