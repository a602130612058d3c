//! Tombstones: a record of removed instances, so that an older report that arrives late does not bring one back.

use super::endpoint::ReportOrder;
use std::collections::{HashMap, VecDeque};

/// The maximum number of tombstones. When it is exceeded, the oldest ones are removed.
const MAX_TOMBSTONES: usize = 4_096;

/// The last reports about the instances that were removed most recently.
#[derive(Debug, Default)]
pub(super) struct Tombstones {
    last_reports: HashMap<String, ReportOrder>,
    /// The ids in the order of removal. An id whose tombstone was removed stays here until it is the oldest one, which
    /// does no harm.
    removal_order: VecDeque<String>,
}

impl Tombstones {
    /// The order of the last report about a removed instance.
    pub(super) fn get(&self, id: &str) -> Option<ReportOrder> {
        self.last_reports.get(id).copied()
    }

    pub(super) fn insert(&mut self, id: &str, last: ReportOrder) {
        if self.last_reports.insert(id.into(), last).is_none() {
            self.removal_order.push_back(id.into());
        }
        while self.removal_order.len() > MAX_TOMBSTONES {
            if let Some(oldest) = self.removal_order.pop_front() {
                self.last_reports.remove(&oldest);
            }
        }
    }

    pub(super) fn remove(&mut self, id: &str) {
        self.last_reports.remove(id);
    }

    pub(super) fn len(&self) -> usize {
        self.last_reports.len()
    }
}
