//! The interface between the failover core and its host: events in, actions out.

use crate::message::Message;
use crate::work::{FirstAttempt, Member, ServerGroup, Verdict, Work, WorkId};
use emberpin_peering::Incarnation;

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
        /// The work, as named when it was started or taken over.
        work_id: WorkId,
        /// Number of the attempt, repeated in the answer.
        attempt: u32,
        /// The servers it is to be sent to.
        group: ServerGroup,
        /// The request, as a candidate is to send it.
        work: Work,
    },
    /// A work started or taken over here has an outcome, and the holders of its key were sent it.
    WorkCompleted(WorkId),
    /// A work taken over here could not be run.
    TakeoverFailed(WorkId),
    /// This limiter has granted the key of a work, and is to take it over if its owner is lost.
    KeyGranted {
        /// The work that claimed the key.
        work_id: WorkId,
        /// The holders of its key.
        acceptors: Vec<Member>,
    },
    /// The key of a work has an outcome here, or is free: it is not to be taken over.
    KeyReleased(WorkId),
    /// A member runs in this incarnation.
    IncarnationObserved {
        /// The member that runs in it.
        member: Member,
        /// Its current incarnation.
        incarnation: Incarnation,
    },
    /// Messages to this member are delivered again.
    MemberReachable(Member),
    /// Messages to this member are not delivered.
    MemberUnreachable(Member),
    /// An incarnation of a member has ended; silence alone is no end.
    IncarnationEnded {
        /// The member that ran in it.
        member: Member,
        /// The incarnation that ended.
        incarnation: Incarnation,
    },
    /// A message from another member arrived.
    MessageReceived {
        /// The member at the other end of the link.
        from: Member,
        /// Decoded by the host.
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
        /// Never this limiter itself.
        to: Member,
        /// To be encoded by the host.
        message: Message,
    },
    /// Send the attempt: a majority has accepted it.
    AllowAttempt {
        /// The work of the request for an attempt.
        work_id: WorkId,
        /// Its number there.
        attempt: u32,
    },
    /// Do not send the attempt: another limiter runs the work, or no majority accepted in time.
    DenyAttempt {
        /// The work of the request for an attempt.
        work_id: WorkId,
        /// Its number there.
        attempt: u32,
    },
    /// Run this work of another limiter; report [`Event::WorkCompleted`] or [`Event::TakeoverFailed`].
    TakeOver {
        /// The work, under the identity that its claimant gave it.
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
        /// The work whose key was granted here.
        work_id: WorkId,
        /// What its key is to say.
        verdict: Verdict,
    },
}
