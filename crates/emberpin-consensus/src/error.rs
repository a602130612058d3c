//! The reasons why calls are not acknowledged, and their HTTP statuses.

use emberpin_config::ValidationError;

/// The reason why a call is not acknowledged. Its text is the body of the reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallError {
    /// The call is invalid by itself or on top of the chosen items: a retry is rejected again unless other items
    /// change.
    #[error(transparent)]
    Invalid(ValidationError),
    /// An item has another content than the one acknowledged with its version, or every item is superseded.
    #[error(transparent)]
    Conflict(ValidationError),
    /// An item is so old that it is no longer known whether it was acknowledged.
    #[error(transparent)]
    Indeterminate(ValidationError),
    /// The configuration would be larger than replicas can exchange: items have to be removed first.
    #[error(transparent)]
    TooLarge(ValidationError),
    /// The replica's disk takes no writes; another replica may accept the call.
    #[error("{reason}")]
    DiskUnavailable {
        /// The reason, as reported by the host.
        reason: String,
    },
    /// The replica's queue of calls is full.
    #[error("too many calls wait")]
    QueueFull,
    /// The evacuation of the zone has changed since the caller was given its version.
    #[error("the evacuation has changed since the call was sent")]
    EvacuationChanged,
    /// An earlier proposal of the call may be chosen in part, so the reply must not say that the call is rejected; the
    /// caller has to retry.
    #[error("send it again")]
    Undecided,
    /// No majority of the voters answers this replica, so a retry at another replica may succeed.
    #[error("no majority of the stores is in contact")]
    NoContact,
    /// No round succeeded before the call's deadline.
    #[error("no majority of the stores answered in time")]
    Timeout,
}

impl CallError {
    /// The HTTP status of the reply. After a 503 the call may or may not take effect, and can be retried; after a 507
    /// (Insufficient Storage, RFC 4918) it has had no effect.
    pub fn status(&self) -> u16 {
        match self {
            CallError::Invalid(_) => 400,
            CallError::Conflict(_) => 409,
            CallError::TooLarge(_) => 507,
            CallError::Indeterminate(_)
            | CallError::DiskUnavailable { .. }
            | CallError::QueueFull
            | CallError::EvacuationChanged
            | CallError::Undecided
            | CallError::NoContact
            | CallError::Timeout => 503,
        }
    }
}
