//! Waiting for events.

use std::future::Future;
use std::time::Duration;
use tokio::time::{interval, timeout};

/// Time limit of everything that a test waits for.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Waits for an event, and panics with its description `what` if it does not happen within [`WAIT_LIMIT`].
pub async fn within_limit<T>(what: &str, event: impl Future<Output = T>) -> T {
    timeout(WAIT_LIMIT, event)
        .await
        .unwrap_or_else(|_| panic!("timed out while waiting for {what}"))
}

/// Polls until there is a value, and panics with the description `what` if there is none within [`WAIT_LIMIT`].
pub async fn poll_until<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut poll: impl FnMut() -> F,
) -> T {
    let mut period = interval(POLL_PERIOD);
    let polling = async {
        loop {
            period.tick().await;
            if let Some(value) = poll().await {
                return value;
            }
        }
    };
    within_limit(what, polling).await
}
