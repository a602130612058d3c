//! The interface between the failover core and its host: events in, actions out.

use crate::message::Message;
use crate::work::{FirstAttempt, Member, ServerGroup, Verdict, Work, WorkId};
use emberpin_peering::Incarnation;

/// An input of [`Failover::handle`](crate::Failover::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request that this limiter received was granted its key. Attempts may be requested for it from now on.
    WorkStarted {
        /// Its identity from now on.
        work_id: WorkId,
        /// The holders of its key.
        acceptors: Vec<Member>,
    },
    /// Asks whether an attempt may be sent for a work that was started or taken over here. Answered by
    /// [`Action::AllowAttempt`] or [`Action::DenyAttempt`], unless the work ends or another attempt of it is requested
    /// first.
    AttemptRequested {
        /// The work, as named when it was started or taken over.
        work_id: WorkId,
        /// Number of the attempt, repeated in the answer.
        attempt: u32,
        /// The servers it is to be sent to.
        group: ServerGroup,
        /// The client's request, in the form that a limiter needs to send it after a takeover.
        work: Work,
    },
    /// A work that was started or taken over here has an outcome, which was sent to the holders of its key.
    WorkCompleted(WorkId),
    /// A work taken over here could not be run.
    TakeoverFailed(WorkId),
    /// This limiter has granted the key of a work, and may have to take the work over if its owner is lost.
    KeyGranted {
        /// The work that claimed the key.
        work_id: WorkId,
        /// The holders of its key.
        acceptors: Vec<Member>,
    },
    /// The work has an outcome at this limiter, or its key is free again: the work must not be taken over.
    KeyReleased(WorkId),
    /// The current incarnation of a member is known.
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
    /// An incarnation of a member has ended. Silence alone does not count as its end.
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
        /// The message, decoded by the host.
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
        /// The receiver; never this limiter itself.
        to: Member,
        /// The message, to be encoded by the host.
        message: Message,
    },
    /// Send the attempt: a majority has accepted it.
    AllowAttempt {
        /// The work in [`Event::AttemptRequested`].
        work_id: WorkId,
        /// The number of the attempt in [`Event::AttemptRequested`].
        attempt: u32,
    },
    /// Do not send the attempt: another limiter runs the work, or no majority accepted it in time.
    DenyAttempt {
        /// The work in [`Event::AttemptRequested`].
        work_id: WorkId,
        /// The number of the attempt in [`Event::AttemptRequested`].
        attempt: u32,
    },
    /// Run this work of another limiter; report [`Event::WorkCompleted`] or [`Event::TakeoverFailed`].
    TakeOver {
        /// The work's identity. It is unchanged: it still names the limiter that received the request.
        work_id: WorkId,
        /// The client's request; its time left counts from now.
        work: Work,
        /// The servers where it may have run already, and how long ago.
        first_attempt: FirstAttempt,
    },
    /// The client may be sent the outcome: a majority has acknowledged it, the completion time-out has passed, or this
    /// limiter no longer owns the work.
    AllowResponse(WorkId),
    /// No member runs this work any more. The host closes the claim on its key according to the verdict.
    Abandoned {
        /// The work whose key was granted here.
        work_id: WorkId,
        /// Whether the work may have run.
        verdict: Verdict,
    },
}
