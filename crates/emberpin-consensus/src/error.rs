//! Why calls are not acknowledged.

use emberpin_config::ValidationError;

/// Why a call is not acknowledged. Its text is the body of the reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallError {
    /// The call is invalid, alone or on top of what is chosen: sent again, it is rejected again, unless something else
    /// changes.
    #[error(transparent)]
    Invalid(ValidationError),
    /// An item has another content than the one acknowledged with its version, or every item is superseded.
    #[error(transparent)]
    Conflict(ValidationError),
    /// An item is so old that it is not known any more whether it was acknowledged.
    #[error(transparent)]
    Indeterminate(ValidationError),
    /// The configuration would be larger than replicas can exchange: items have to be removed first.
    #[error(transparent)]
    TooLarge(ValidationError),
    /// The replica's disk takes no writes; another replica may take the call.
    #[error("{reason}")]
    DiskUnavailable {
        /// Why, as the host states it.
        reason: String,
    },
    /// More calls are queued than the replica takes.
    #[error("too many calls wait")]
    QueueFull,
    /// The evacuation of the zone has changed since the caller was told its version.
    #[error("the evacuation has changed since the call was sent")]
    EvacuationChanged,
    /// An earlier proposal of the call may be chosen in part, so it must not be rejected for good.
    #[error("send it again")]
    Undecided,
    /// No majority of the voters answers at all, so another replica may do better.
    #[error("no majority of the stores is in contact")]
    NoContact,
    /// No round succeeded before the call's deadline.
    #[error("no majority of the stores answered in time")]
    Timeout,
}

impl CallError {
    /// The HTTP status of the reply. After a 503 the call may take effect or not, and can be sent again;
    /// after a 507 (Insufficient Storage, RFC 4918) it has not.
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
