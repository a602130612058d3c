//! Detection of clients that disconnect before their reply.

use crate::command::Command;
use emberpin_balancer::RequestId;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// A request whose reply from the controller is pending. When this is dropped before the reply, as it is together with
/// the connection of a client that disconnects, the controller is notified and cancels the request.
pub(super) struct PendingReply {
    commands: mpsc::Sender<Command>,
    id: RequestId,
    answered: bool,
}

impl PendingReply {
    pub(super) fn new(commands: mpsc::Sender<Command>, id: RequestId) -> PendingReply {
        PendingReply {
            commands,
            id,
            answered: false,
        }
    }

    /// Records that the reply has been received, so that nothing is left to cancel.
    pub(super) fn set_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let cancel = Command::ClientDisconnected(self.id);
        if let Err(mpsc::error::TrySendError::Full(cancel)) = self.commands.try_send(cancel) {
            let commands = self.commands.clone();
            spawn_local(async move { _ = commands.send(cancel).await });
        }
    }
}
