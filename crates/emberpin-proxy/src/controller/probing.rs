//! Silent servers.

use crate::command::Command;
use emberpin_balancer::ServerId;
use emberpin_limiter::host::Upstream;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Pauses between questions to a silent server, at first and at most.
const ASK_ON: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(800));

/// Asks a silent server for a sign of instance until it gives one or nothing may go there any more.
pub(super) async fn ask_on(
    upstream: Rc<Upstream>,
    service: String,
    server: ServerId,
    commands: mpsc::WeakSender<Command>,
) {
    let mut pause = ASK_ON.0;
    loop {
        sleep(pause).await;
        if !upstream.is_open() {
            return;
        }
        if upstream.answers().await {
            break;
        }
        pause = (pause * 2).min(ASK_ON.1);
    }
    if let Some(commands) = commands.upgrade() {
        _ = commands.send(Command::Heard { service, server }).await;
    }
}
