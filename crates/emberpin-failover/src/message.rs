//! Messages between limiters about work in flight.
//!
//! | step | from | to | message | answer |
//! | --- | --- | --- | --- | --- |
//! | before each attempt | owner | acceptors | `Accept` | `Accepted` or `Rejected` |
//! | owner lost | candidate | acceptors | `Prepare` | `Promise`, `Rejected`, or the outcome |
//! | outcome known | owner | acceptors | `Completed` | `CompletionAcknowledged` |
//! | no outcome of its own | candidate or owner | acceptors | `Abandoned` | none |
//!
//! Encoded with postcard: the order of variants and fields is the wire format. `tests/recorded.rs` fails if it changes.

use crate::work::{Ballot, FirstAttempt, Verdict, Work, WorkId};
use emberpin_peering::Incarnation;
use serde::{Deserialize, Serialize};

/// A message from one limiter to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks an acceptor to accept an attempt that is about to be sent.
    Accept {
        /// The work whose attempt it is.
        work_id: WorkId,
        /// The ballot under which the sender runs the work.
        ballot: Ballot,
        /// The acceptor's incarnation when the work began. A later one may have forgotten a promise, and rejects.
        acceptor_incarnation: Incarnation,
        /// The attempt from which the deduplication window counts.
        first_attempt: FirstAttempt,
        /// The request, in the form that a candidate needs to send it.
        work: Work,
    },
    /// The attempt is accepted.
    Accepted {
        /// The work of the [`Message::Accept`].
        work_id: WorkId,
        /// The ballot of the [`Message::Accept`].
        ballot: Ballot,
    },
    /// An [`Message::Accept`] or [`Message::Prepare`] is rejected.
    Rejected {
        /// The work of the rejected message.
        work_id: WorkId,
        /// The ballot that is rejected.
        ballot: Ballot,
        /// The higher ballot that was promised, if that is the reason. Otherwise the acceptor has restarted, has no
        /// capacity left, or knows an outcome.
        promised: Option<Ballot>,
    },
    /// Asks an acceptor to promise a ballot.
    Prepare {
        /// The work that the sender is a candidate for.
        work_id: WorkId,
        /// The candidate's ballot.
        ballot: Ballot,
        /// The acceptor's incarnation when the key was granted. A later one may have forgotten an attempt, and rejects.
        acceptor_incarnation: Incarnation,
    },
    /// The sender accepts nothing of a lower ballot from now on.
    Promise {
        /// The work of the [`Message::Prepare`].
        work_id: WorkId,
        /// The ballot that is promised.
        ballot: Ballot,
        /// The attempt that the sender accepted last, if any.
        accepted: Option<AcceptedAttempt>,
    },
    /// The work has an outcome, which the holders of its key know: no member may take it over.
    Completed(WorkId),
    /// Acknowledges a [`Message::Completed`].
    CompletionAcknowledged(WorkId),
    /// The work has ended without an outcome of its own.
    Abandoned(WorkId, Verdict),
}

/// The attempt that an acceptor accepted last for a work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedAttempt {
    /// The ballot under which it was accepted. A candidate follows the attempt with the highest ballot.
    pub ballot: Ballot,
    /// The attempt from which the deduplication window counts.
    pub first_attempt: FirstAttempt,
    /// The request, with the time that is left for it now.
    pub work: Work,
}
