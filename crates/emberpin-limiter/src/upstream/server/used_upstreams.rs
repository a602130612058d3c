//! Which servers have received an attempt of a request, so that no connection carries the same request twice.

use super::pool::UpstreamKey;
use std::cell::RefCell;

/// The upstreams to which an attempt of a request was written, in this or an earlier routing of the request. Its length
/// is bounded by the number of attempts.
///
/// All attempts of a request carry the same id. On a connection that carries two of them, a late second response to the
/// earlier attempt could not be told from the response to the later one.
#[derive(Clone, Debug, Default)]
pub struct UsedUpstreams(RefCell<Vec<UpstreamKey>>);

impl UsedUpstreams {
    /// Records that an attempt is written to this upstream.
    pub(super) fn record(&self, upstream: UpstreamKey) {
        self.0.borrow_mut().push(upstream);
    }

    /// Whether an attempt was written to this upstream before.
    pub(super) fn contains(&self, upstream: UpstreamKey) -> bool {
        self.0.borrow().contains(&upstream)
    }
}
