//! A known instance: the latest report about it, and the conclusions of this proxy about its warm-up and address.

use emberpin_membership::clock::to_wire_precision;
use emberpin_membership::instance::{Instance, Status};
use std::time::Duration;

/// The order of reports about one instance: the later status wins, then the higher sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReportOrder {
    status: Status,
    seq: u64,
}

impl ReportOrder {
    pub(super) fn from_report(report: &Instance) -> ReportOrder {
        ReportOrder {
            status: report.status,
            seq: report.seq,
        }
    }
}

/// The warm-up that is assumed after the evacuation of a server's zone has ended, until a heartbeat that the server
/// sent after the end of the evacuation reports the actual warm-up.
#[derive(Clone, Copy, Debug)]
struct WarmupAfterEvacuation {
    /// The end of the assumed warm-up.
    until: Duration,
    /// Reports that arrive before this time are not trusted, since the server may have sent the heartbeat before the
    /// end of the evacuation.
    trusted_from: Duration,
    /// The sequence number at the end of the evacuation. A report must have a higher one to be trusted.
    seq: u64,
}

/// An instance that this proxy knows. All times are on the proxy's monotonic clock.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) instance: Instance,
    /// The end of the warm-up that the server reported.
    reported_warmup_until: Duration,
    after_evacuation: Option<WarmupAfterEvacuation>,
    /// The sequence number of the instance when a 421 response showed that another instance is at its address.
    misdirected_seq: Option<u64>,
}

impl Endpoint {
    pub(super) fn new(now: Duration, report: &Instance) -> Endpoint {
        Endpoint {
            instance: report.clone(),
            reported_warmup_until: now + report.warmup_left,
            after_evacuation: None,
            misdirected_seq: None,
        }
    }

    /// The end of the warm-up: the reported or the assumed one, whichever is later.
    pub(super) fn warmup_until(&self) -> Duration {
        match self.after_evacuation {
            Some(assumed) => self.reported_warmup_until.max(assumed.until),
            None => self.reported_warmup_until,
        }
    }

    /// Merges the warm-up time of a report that is not older than the known one. Returns whether the reported warm-up
    /// now ends later than before.
    pub(super) fn merge_warmup(&mut self, now: Duration, report: &Instance) -> bool {
        let mut until = now + report.warmup_left;
        // A repeated heartbeat has no new information about the remaining time, and the later end is the safe choice.
        let is_newer = report.seq > self.instance.seq;
        if !is_newer {
            until = until.max(self.reported_warmup_until);
        }
        let is_superseded = |assumed: WarmupAfterEvacuation| {
            report.seq > assumed.seq && now >= assumed.trusted_from
        };
        if self.after_evacuation.is_some_and(is_superseded) {
            self.after_evacuation = None;
        }
        let ends_later = until > self.reported_warmup_until;
        self.reported_warmup_until = until;
        ends_later
    }

    /// Extends the reported warm-up to this time, unless it ends later already. Returns whether it was extended.
    pub(super) fn extend_warmup(&mut self, until: Duration) -> bool {
        let ends_later = until > self.reported_warmup_until;
        if ends_later {
            self.reported_warmup_until = until;
        }
        ends_later
    }

    /// Assumes that the server warms up from now on, because the evacuation of its zone has ended.
    pub(super) fn begin_warmup_after_evacuation(
        &mut self,
        now: Duration,
        warmup: Duration,
        heartbeat_interval: Duration,
    ) {
        self.after_evacuation = Some(WarmupAfterEvacuation {
            until: now + warmup,
            trusted_from: now + heartbeat_interval,
            seq: self.instance.seq,
        });
    }

    /// Replaces the report about the instance, but keeps the highest sequence number so far: a report with a later
    /// status may have a lower one.
    pub(super) fn replace_instance(&mut self, report: &Instance) {
        let seq = self.instance.seq.max(report.seq);
        self.instance = Instance {
            seq,
            ..report.clone()
        };
    }

    /// Records that another instance is at the address of this one.
    pub(super) fn mark_misdirected(&mut self) {
        self.misdirected_seq = Some(self.instance.seq);
    }

    /// Whether the instance was marked as misdirected and no report with a higher sequence number has arrived since.
    pub(super) fn is_misdirected(&self) -> bool {
        self.misdirected_seq
            .is_some_and(|seq| self.instance.seq <= seq)
    }

    /// The instance as this proxy reports it to a registry, with the remaining warm-up in the precision of the wire
    /// format.
    pub(super) fn to_report(&self, now: Duration) -> Instance {
        let remaining = self.warmup_until().saturating_sub(now);
        Instance {
            warmup_left: to_wire_precision(remaining),
            ..self.instance.clone()
        }
    }
}
