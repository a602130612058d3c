//! The interface between the failover core and its host: events in, actions out.

use crate::message::Message;
use crate::work::{FirstAttempt, Member, ServerGroup, Verdict, Work, WorkId};
use emberpin_peering::Life;

/// An input of [`Failover::handle`](crate::Failover::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request of this limiter's own got its key; attempts may be requested for it.
    WorkStarted {
        /// Its identity from now on.
        work_id: WorkId,
        /// The holders of its key.
        acceptors: Vec<Member>,
    },
    /// An attempt is to be sent for a work started or taken over here. Answered by [`Action::AllowAttempt`] or
    /// [`Action::DenyAttempt`], unless another request replaces it or its work is completed first.
    AttemptRequested {
        /// The work.
        work_id: WorkId,
        /// Number of the attempt, repeated in the answer.
        attempt: u32,
        /// Where it is to be sent.
        group: ServerGroup,
        /// The request.
        work: Work,
    },
    /// A work started or taken over here has an outcome, and the holders of its key were sent it.
    WorkCompleted(WorkId),
    /// A work taken over here could not be run.
    TakeoverFailed(WorkId),
    /// This limiter has granted the key of a work, and is to take it over if its owner is lost.
    KeyGranted {
        /// The work.
        work_id: WorkId,
        /// The holders of its key.
        acceptors: Vec<Member>,
    },
    /// The key of a work has an outcome here, or is free: it is not to be taken over.
    KeyReleased(WorkId),
    /// A member runs in this incarnation.
    IncarnationObserved {
        /// The member.
        member: Member,
        /// Its current incarnation.
        incarnation: Life,
    },
    /// Messages to this member are delivered again.
    MemberReachable(Member),
    /// Messages to this member are not delivered.
    MemberUnreachable(Member),
    /// An incarnation of a member has ended; silence alone is no end.
    IncarnationEnded {
        /// The member.
        member: Member,
        /// The incarnation that ended.
        incarnation: Life,
    },
    /// A message from another member arrived.
    MessageReceived {
        /// The sender.
        from: Member,
        /// Its message.
        message: Message,
    },
    /// Time has passed: due timers run.
    Tick,
}

/// An output of [`Failover::handle`](crate::Failover::handle). The host carries actions out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another member.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        message: Message,
    },
    /// Send the attempt: a majority has accepted it.
    AllowAttempt {
        /// The work.
        work_id: WorkId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Do not send the attempt: another limiter runs the work, or no majority accepted in time.
    DenyAttempt {
        /// The work.
        work_id: WorkId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Run this work of another limiter; report [`Event::WorkCompleted`] or [`Event::TakeoverFailed`].
    TakeOver {
        /// The work.
        work_id: WorkId,
        /// The request; its time left counts from now.
        work: Work,
        /// Where it may have run already.
        first_attempt: FirstAttempt,
    },
    /// The client may get the outcome: a majority knows of it, the time for that is over, or this limiter has no say
    /// in the work any more.
    CompletionConfirmed(WorkId),
    /// Nobody runs this work; the holders of its key are to be told so.
    Abandoned {
        /// The work.
        work_id: WorkId,
        /// What its key is to say.
        verdict: Verdict,
    },
}
