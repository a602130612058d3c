//! The requests that an engine has in flight.

use crate::messages::{AdmittedRequest, Answer, AttemptId, Reply, UpstreamRequest};
use emberpin_balancer::Outcome;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request that awaits its answer, or has an attempt running.
pub(super) struct InFlightRequest {
    pub(super) outgoing: Rc<UpstreamRequest>,
    pub(super) expires: Instant,
    /// How long the request may take, counted from the last byte of its body.
    pub(super) time_limit: Duration,
    /// Receives the reply; `None` once the reply was sent, the client has disconnected or the request was withdrawn.
    pub(super) reply_to: Option<oneshot::Sender<Reply>>,
    /// Number of attempts so far, including those that were not sent.
    pub(super) attempts: u32,
    pub(super) running: Option<RunningAttempt>,
    /// Whether an earlier attempt, here or at another limiter, may have run the request.
    pub(super) may_have_run: bool,
    /// The latest error response that may be forwarded; the client receives it if no attempt succeeds.
    pub(super) error_response: Option<Reply>,
}

/// An attempt whose end has not been reported.
pub(super) struct RunningAttempt {
    pub(super) id: AttemptId,
    /// Cancels the attempt when dropped, or ends it with the outcome that is sent; `None` once either was done.
    pub(super) cancel: Option<oneshot::Sender<Outcome>>,
}

impl InFlightRequest {
    pub(super) fn new(admitted: AdmittedRequest) -> InFlightRequest {
        InFlightRequest {
            outgoing: admitted.outgoing,
            expires: admitted.expires,
            time_limit: admitted.time_limit,
            reply_to: Some(admitted.reply_to),
            attempts: 0,
            running: None,
            may_have_run: admitted.prior_attempt.is_some(),
            error_response: None,
        }
    }

    /// Whether `attempt` is the number of the latest attempt.
    pub(super) fn is_latest_attempt(&self, attempt: u32) -> bool {
        self.attempts == attempt + 1
    }

    /// Gives up an error response that is still being received, as another attempt is sent.
    pub(super) fn abandon_streamed_error(&mut self) {
        match self.error_response.take() {
            Some(Reply::Streamed(response)) => response.stream.abandon(),
            complete => self.error_response = complete,
        }
    }

    /// Whether the request is answered and has no running attempt.
    pub(super) fn is_finished(&self) -> bool {
        self.reply_to.is_none() && self.running.is_none()
    }

    /// Sends the reply, unless one was sent before.
    pub(super) fn reply(&mut self, reply: Reply) {
        if let Some(reply_to) = self.reply_to.take() {
            _ = reply_to.send(reply);
        }
    }

    /// Replies with the server's error response if there is one, else with `answer`.
    pub(super) fn reply_with_error_response_or(&mut self, answer: Answer) {
        if let Some(reply_to) = self.reply_to.take() {
            let reply = self.error_response.take();
            _ = reply_to.send(reply.unwrap_or(Reply::Answer(answer)));
        }
    }
}
